"""Tests of the encoding of tickets."""

import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.tickets import (
    MAX_TICKET_CHARS,
    ProcessRef,
    Ticket,
    TicketFault,
    TicketRejected,
    decode_ticket,
    encode_ticket,
)

PRIMARY = ProcessRef("127.0.0.1:7010", "aa01")
BACKUP = ProcessRef("127.0.0.1:7020", "bb01")
TICKET = Ticket(7, "lessons", "packet-order", PRIMARY, BACKUP, 60_000, 30_000)
KEY = "first key"
TEXT = encode_ticket(TICKET, KEY)
URL_SAFE = set(string.ascii_letters + string.digits + "-_")


def decode(text: str, keys: tuple[str, ...] = (KEY,)) -> Ticket | TicketRejected:
    return decode_ticket(text, keys, "lessons", "packet-order")


class TestEncoding:
    @pytest.mark.parametrize("backup", [BACKUP, None])
    def test_is_decoded_unchanged(self, backup: ProcessRef | None) -> None:
        ticket = TICKET._replace(backup=backup)
        assert decode(encode_ticket(ticket, KEY)) == ticket

    def test_is_url_safe(self) -> None:
        assert set(TEXT) <= URL_SAFE

    def test_length_is_bounded(self) -> None:
        with pytest.raises(ValueError, match="at most"):
            encode_ticket(TICKET._replace(workspace="w" * MAX_TICKET_CHARS), KEY)


class TestKeyRotation:
    def test_either_key_is_accepted(self) -> None:
        assert decode(TEXT, ("next key", KEY)) == TICKET

    def test_ticket_of_another_key_is_rejected(self) -> None:
        assert decode(TEXT, ("next key",)) == TicketRejected(TicketFault.BAD_MAC)

    def test_ticket_signed_with_an_empty_key_is_rejected(self) -> None:
        forged = encode_ticket(TICKET, "")
        assert decode(forged, (KEY, "")) == TicketRejected(TicketFault.BAD_MAC)

    def test_long_keys_differ_beyond_the_size_of_a_digest(self) -> None:
        text = encode_ticket(TICKET, "k" * 100)
        assert decode(text, ("k" * 101,)) == TicketRejected(TicketFault.BAD_MAC)


class TestUse:
    def test_ticket_of_another_workspace_is_rejected(self) -> None:
        rejected = decode_ticket(TEXT, (KEY,), "diaries", "packet-order")
        assert rejected == TicketRejected(TicketFault.OTHER_WORKSPACE)

    def test_ticket_of_another_pipeline_is_rejected(self) -> None:
        rejected = decode_ticket(TEXT, (KEY,), "lessons", "roster-signup")
        assert rejected == TicketRejected(TicketFault.OTHER_PIPELINE)


class TestMalformedText:
    def test_too_long_text_is_rejected(self) -> None:
        rejected = decode("A" * (MAX_TICKET_CHARS + 1))
        assert rejected == TicketRejected(TicketFault.TOO_LONG)

    @settings(derandomize=True)
    @given(text=st.text(max_size=400))
    def test_any_text_is_rejected(self, text: str) -> None:
        assert isinstance(decode(text), TicketRejected)

    @settings(derandomize=True)
    @given(
        index=st.integers(0, len(TEXT) - 1), character=st.sampled_from(sorted(URL_SAFE))
    )
    def test_any_changed_character_is_rejected(
        self, index: int, character: str
    ) -> None:
        changed = TEXT[:index] + character + TEXT[index + 1 :]
        if changed != TEXT:
            assert isinstance(decode(changed), TicketRejected)

    @settings(derandomize=True)
    @given(cut=st.integers(0, len(TEXT) - 1))
    def test_any_truncated_ticket_is_rejected(self, cut: int) -> None:
        assert isinstance(decode(TEXT[:cut]), TicketRejected)
