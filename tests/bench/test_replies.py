"""Tests of parsing an entry's response."""

import pytest

from bramleyturn.bench.replies import NoReply, Reply, parse_reply
from bramleyturn.bench.verdicts import Outcome


class TestParseReply:
    @pytest.mark.parametrize(
        ("status", "body", "outcome"),
        [
            (200, b'{"outcome": "answered", "output": 1}', Outcome.ANSWERED),
            (503, b'{"outcome": "not_run", "retry_after_ms": 5}', Outcome.NOT_RUN),
            (504, b'{"outcome": "unknown", "stages": null}', Outcome.UNKNOWN),
            (400, b'{"title": "Bad input"}', Outcome.REFUSED),
        ],
    )
    def test_final(self, status: int, body: bytes, outcome: Outcome) -> None:
        reply = parse_reply(status, body)
        assert isinstance(reply, Reply)
        assert reply.outcome is outcome

    @pytest.mark.parametrize(
        ("status", "body"),
        [
            (200, b'{"outcome": "answ'),
            (200, b"[]"),
            (200, b'{"outcome": "maybe"}'),
            (503, b'{"title": "Not ready"}'),
        ],
    )
    def test_not_final(self, status: int, body: bytes) -> None:
        assert isinstance(parse_reply(status, body), NoReply)

    def test_stages(self) -> None:
        body = (
            b'{"outcome": "answered", "stages": {"encode": {"outcome": "answered",'
            b' "attempts": 2, "elapsed_ms": 8, "cost_micros": 40}}}'
        )
        reply = parse_reply(200, body)
        assert isinstance(reply, Reply)
        assert reply.stages["encode"].attempts == 2
