"""Tests of parsing the start time of a query."""

import pytest

from bramleyturn.core.since import parse_since_ms

NOW_MS = 1_000_000_000


class TestParseSince:
    @pytest.mark.parametrize(
        ("text", "since_ms"),
        [
            ("90s", NOW_MS - 90_000),
            ("10m", NOW_MS - 600_000),
            ("2h", NOW_MS - 7_200_000),
            ("1970-01-02T00:00:00Z", 86_400_000),
            ("1970-01-02T00:00:00", 86_400_000),
            ("1970-01-02T01:00:00+01:00", 86_400_000),
            ("yesterday", None),
            ("-5s", None),
            ("", None),
        ],
    )
    def test_accepts_an_age_or_a_time(self, text: str, since_ms: int | None) -> None:
        assert parse_since_ms(text, NOW_MS) == since_ms
