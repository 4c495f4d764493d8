"""Test that the log holds a bounded part of what is not read."""

import logging
import os

import pytest
from twisted.internet.task import Clock as Reactor

from bramleyturn.core.clock import Clock
from bramleyturn.gateway.event_log import MAX_BUFFERED_BYTES, EventLog


class TestSlowReader:
    """Nobody reads the log.

    Guards against a buffer that grew with what callers made a process log.
    """

    def test_lines_are_dropped_once_too_many_bytes_wait(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def write(_descriptor: int, _data: bytes) -> int:
            raise BlockingIOError

        monkeypatch.setattr(os, "write", write)
        reactor = Reactor()
        clock = Clock(lambda: int(reactor.seconds() * 1_000), lambda: 0)
        log = EventLog(reactor, clock, "a", "north")
        for _ in range(600):
            reactor.advance(0.1)
            record = logging.makeLogRecord(
                {"msg": "request refused", "request_id": "x" * 16_000}
            )
            log.emit(record)
        held = len(log.unwritten) + sum(map(len, log.lines))
        assert held <= MAX_BUFFERED_BYTES + 20_000
        assert log.dropped
