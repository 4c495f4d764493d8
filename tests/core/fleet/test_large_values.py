"""Test large values that instances send each other by digest."""

import base64
import zlib

import pytest

from bramleyturn.core.fleet.large_values import (
    KEPT_VALUES,
    LARGE_VALUE_BYTES,
    PackedValues,
    digest_of,
    is_large,
    pack,
    unpack_all,
)

VALUE = b'{"routes": ["one", "two"]}' * 1_000


def text_of(value: bytes) -> str:
    """Return a value as it is sent."""
    return base64.b64encode(zlib.compress(value)).decode()


class TestPack:
    """Values on their way to another instance."""

    def test_value_arrives_as_it_was(self) -> None:
        packed = pack(PackedValues(), VALUE)
        assert unpack_all({packed.digest: packed.text}, len(VALUE)) == {
            digest_of(VALUE): VALUE
        }

    def test_routes_that_resemble_one_another_shrink_to_a_tenth(self) -> None:
        assert len(pack(PackedValues(), VALUE).text) < len(VALUE) / 10

    def test_keeps_the_last_values_only(self) -> None:
        packed = PackedValues()
        for number in range(10):
            pack(packed, VALUE + b"%d" % number)
        assert len(packed.by_value) == KEPT_VALUES

    def test_small_and_removed_values_are_sent_as_they_are(self) -> None:
        assert not is_large(None)
        assert not is_large(b"x" * (LARGE_VALUE_BYTES - 1))


class TestUnpack:
    """Values that are not what they should be."""

    @pytest.mark.parametrize(
        "texts",
        [
            {digest_of(VALUE): "not base64"},
            {digest_of(VALUE): base64.b64encode(b"not compressed").decode()},
            {digest_of(VALUE): text_of(VALUE)[:-16]},
            {digest_of(VALUE): text_of(VALUE + b"x")},
            {"another": text_of(VALUE)},
        ],
    )
    def test_rejects_a_malformed_value(self, texts: dict[str, str]) -> None:
        with pytest.raises(ValueError, match="value"):
            unpack_all(texts, 10 * len(VALUE))

    def test_rejects_a_value_that_grows_beyond_the_bound(self) -> None:
        bomb = b"\0" * 10_000_000
        with pytest.raises(ValueError, match="too large"):
            unpack_all({digest_of(bomb): text_of(bomb)}, 1_000_000)

    def test_bound_holds_for_all_values_together(self) -> None:
        other = VALUE + b"x"
        texts = {digest_of(each): text_of(each) for each in (VALUE, other)}
        with pytest.raises(ValueError, match="too large"):
            unpack_all(texts, len(VALUE) + 10)
