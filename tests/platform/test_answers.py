"""Test how the headers of servers' answers are read."""

import pytest

from bramleyturn.platform.answers import (
    caller_headers,
    read_answer_head,
    read_limit,
    read_load,
)


class TestServerLimit:
    """A server in need names how many requests a second it accepts."""

    @pytest.mark.parametrize(
        ("value", "limit_per_s"),
        [(b"1", 1.0), (b" 2.50 ", 2.5), (b"0", 0.0), (b".5", 0.5), (b"3.", 3.0)],
    )
    def test_decimal_number_is_read(self, value: bytes, limit_per_s: float) -> None:
        """The limit is a decimal number."""
        assert read_limit(value) == limit_per_s

    @pytest.mark.parametrize(
        "value", [b"", b"none", b"-1", b"1e9", b"nan", b"1 2", b".", b"\xff"]
    )
    def test_malformed_limit_is_none(self, value: bytes) -> None:
        """A malformed header names no limit."""
        assert read_limit(value) is None

    def test_it_is_not_forwarded_to_callers(self) -> None:
        """The limit is meant for all instances together, not for a caller."""
        headers = [(b"server-limit", b"1"), (b"x-other", b"2")]
        assert read_answer_head(200, headers).limit_per_s == 1.0
        assert caller_headers(headers) == [(b"x-other", b"2")]


class TestLoad:
    """Servers tell their load; a load that is not read leaves them to chance."""

    def test_three_figures_are_read_as_before(self) -> None:
        assert read_load(b" 3,1,6 ") == (3, 1, 6, None)

    def test_fourth_figure_is_read(self) -> None:
        """The whole header was dropped if it had a fourth figure."""
        assert read_load(b"3,1,6,160") == (3, 1, 6, 160)

    @pytest.mark.parametrize(
        "figure",
        [b"", b"0", b"-5", b"1.5", b"10001", b"9" * 400, b"nan", b"1,2", b"\xb2"],
    )
    def test_malformed_fourth_figure_drops_nothing_else(self, figure: bytes) -> None:
        assert read_load(b"3,1,6," + figure) == (3, 1, 6, None)

    @pytest.mark.parametrize("value", [b"", b"3,1", b"3,,6,100", b"a,1,6,100"])
    def test_malformed_load_is_none(self, value: bytes) -> None:
        assert read_load(value) is None


class TestNotices:
    """Servers say of themselves that they leave, or want no requests for a time."""

    @pytest.mark.parametrize(
        ("value", "pause_ms"),
        [(b"2", 2_000), (b" 0.25 ", 250), (b"0", 0), (b".5", 500)],
    )
    def test_seconds_of_a_refusal_are_read(self, value: bytes, pause_ms: int) -> None:
        head = read_answer_head(503, [(b"retry-after", value)])
        assert head.pause_ms == pause_ms
        assert not head.is_pause_malformed

    @pytest.mark.parametrize(
        "value",
        [b"", b"-1", b"soon", b"1e9", b"Sat, 05 Dec 2026 09:00:00 GMT", b"9" * 40],
    )
    def test_other_values_of_a_refusal_name_no_time(self, value: bytes) -> None:
        head = read_answer_head(503, [(b"retry-after", value)])
        assert head.pause_ms is None
        assert head.is_pause_malformed

    @pytest.mark.parametrize("status", [200, 429, 502])
    def test_other_answers_name_no_time(self, status: int) -> None:
        assert read_answer_head(status, [(b"retry-after", b"2")]).pause_ms is None

    @pytest.mark.parametrize(("value", "is_leaving"), [(b"1", True), (b"0", False)])
    def test_end_of_a_server_is_read_and_not_passed_on(
        self, value: bytes, is_leaving: bool
    ) -> None:
        headers = [(b"server-leaving", value)]
        assert read_answer_head(200, headers).is_leaving is is_leaving
        assert caller_headers(headers) == []
