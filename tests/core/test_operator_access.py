"""Tests of the access of operators and of processes of the fleet."""

import pytest

from bramleyturn.core.intake import key_digest
from bramleyturn.core.model import AdminSettings
from bramleyturn.core.operator_access import (
    check_operator,
    is_same_machine,
    is_signed,
    target_mac,
)

CURRENT, PREVIOUS = key_digest("current"), key_digest("previous")


class TestOperators:
    @pytest.mark.parametrize("key", ["current", "previous"])
    def test_both_keys_are_accepted_during_rotation(self, key: str) -> None:
        admin = AdminSettings(CURRENT, PREVIOUS)
        assert check_operator(admin, f"Bearer {key}") is None

    @pytest.mark.parametrize(
        ("admin", "authorization"),
        [
            (AdminSettings(CURRENT, ""), "Bearer previous"),
            (AdminSettings(CURRENT, PREVIOUS), "Bearer other"),
            (AdminSettings(CURRENT, PREVIOUS), "Bearer "),
            (AdminSettings(CURRENT, PREVIOUS), "Basic current"),
            (AdminSettings(CURRENT, PREVIOUS), f"Bearer {CURRENT}"),
            (AdminSettings("", ""), "Bearer current"),
            (AdminSettings("", ""), f"Bearer {key_digest('')}"),
            (AdminSettings("", PREVIOUS), "Bearer previous"),
        ],
    )
    def test_others_are_refused(self, admin: AdminSettings, authorization: str) -> None:
        refused = check_operator(admin, authorization)
        assert refused is not None
        assert refused.status == 401


class TestSameMachine:
    @pytest.mark.parametrize(
        ("peer", "own", "same"),
        [
            ("127.0.0.1", "127.0.0.1", True),
            ("::1", "::1", True),
            ("10.0.0.5", "10.0.0.5", True),
            ("10.0.0.6", "10.0.0.5", False),
            ("", "", False),
        ],
    )
    def test_compares_the_addresses_of_the_connection(
        self, peer: str, own: str, same: bool
    ) -> None:
        assert is_same_machine(peer, own) is same


class TestSignature:
    def test_either_key_is_accepted(self) -> None:
        mac = target_mac("/v1/config?after=1", "old")
        assert is_signed("/v1/config?after=1", mac, ("new", "old"))

    @pytest.mark.parametrize(
        ("target", "key", "accepted"),
        [
            ("/v1/status", "key", ("key", "")),
            ("/v1/config", "other", ("key", "")),
            ("/v1/config", "", ("", "")),
        ],
    )
    def test_other_target_or_key_is_refused(
        self, target: str, key: str, accepted: tuple[str, ...]
    ) -> None:
        assert not is_signed("/v1/config", target_mac(target, key), accepted)

    def test_non_ascii_mac_is_refused(self) -> None:
        assert not is_signed("/v1/config", "ü", ("key",))
