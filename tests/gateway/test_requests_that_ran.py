"""Test that no request that may have run is answered as one that has not run."""

from collections.abc import Callable

import pytest
from twisted.internet.error import ConnectionRefusedError, TimeoutError

from bramleyturn.core.catalog.model import RouteKind
from bramleyturn.core.waiting.shutdown import plan_shutdown
from tests.gateway.one_entry import (
    CalledServer,
    Caller,
    OneEntry,
    plain_route,
    server,
)

WAIT_MS = 300
# Statuses that promise that a request has not run and never will.
PROMISES = {408, 421, 429, 503}
# Ends of a connection after which the instance checks the server.
BREAKS = {"reset": CalledServer.reset, "closed": CalledServer.close}


def entry_of(kind: RouteKind) -> OneEntry:
    """Return an instance with one route and one server."""
    return OneEntry([plain_route(kind)], [server("i-1")])


def send_and_break(
    entry: OneEntry, end: Callable[[CalledServer], None], wait_ms: int = WAIT_MS
) -> Caller:
    """Let a server run a request and break its connection."""
    caller = Caller(entry)
    caller.send(wait_ms=wait_ms)
    called = entry.accept()
    assert b"POST /1" in called.received()
    entry.run(30)
    end(called)
    assert entry.is_connecting()
    return caller


class TestServerCheckPending:
    """The server of a request whose answer was lost is being checked.

    Guards against orders that ran and were answered 503 meanwhile, so that callers sent
    them again and were charged twice.
    """

    @pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
    @pytest.mark.parametrize("end", BREAKS)
    def test_deadline(self, kind: RouteKind, end: str) -> None:
        entry = entry_of(kind)
        caller = send_and_break(entry, BREAKS[end])
        entry.run(WAIT_MS)
        assert caller.status() in {502, 504}

    @pytest.mark.parametrize("end", BREAKS)
    def test_end_of_the_grace_period(self, end: str) -> None:
        entry = entry_of(RouteKind.NON_IDEMPOTENT)
        caller = send_and_break(entry, BREAKS[end], 5_000)
        entry.serving.shutdown = plan_shutdown(0, 0, 300, 0)
        entry.flow.end_all()
        assert caller.status() in {502, 504}

    def test_caller_gone(self) -> None:
        entry = entry_of(RouteKind.NON_IDEMPOTENT)
        caller = send_and_break(entry, CalledServer.reset)
        caller.connection.readConnectionLost()
        entry.run(WAIT_MS)
        assert caller.received() == b""
        assert entry.serving.in_progress.total == 0

    @pytest.mark.parametrize("error", [ConnectionRefusedError(), TimeoutError()])
    def test_end_of_the_check(self, error: Exception) -> None:
        entry = entry_of(RouteKind.NON_IDEMPOTENT)
        caller = send_and_break(entry, CalledServer.reset)
        entry.refuse(error)
        assert caller.status() == 502

    def test_lookup_whose_deadline_passes(self) -> None:
        entry = entry_of(RouteKind.IDEMPOTENT)
        caller = send_and_break(entry, CalledServer.reset)
        entry.run(WAIT_MS)
        assert caller.status() in {502, 504}


class TestUnframedAnswers:
    """The end of an answer without a length is being confirmed."""

    @pytest.mark.parametrize("is_stopped", [False, True])
    def test_order_is_not_called_unrun(self, is_stopped: bool) -> None:
        entry = entry_of(RouteKind.NON_IDEMPOTENT)
        caller = Caller(entry)
        caller.send(wait_ms=WAIT_MS)
        called = entry.accept()
        called.answer(
            b"HTTP/1.1 200 OK\r\nBramleyturn-Attempt-Id: a1\r\n"
            b"Bramleyturn-Response-Signature: s\r\n\r\nmade"
        )
        called.close()
        assert entry.is_connecting()
        if is_stopped:
            entry.flow.end_all()
        entry.run(WAIT_MS)
        assert caller.status() in {502, 504}


class TestRequestsThatDidNotRun:
    """Requests that no server can have run are answered with a promise."""

    def test_request_that_was_not_sent(self) -> None:
        entry = entry_of(RouteKind.NON_IDEMPOTENT)
        caller = Caller(entry)
        caller.send(wait_ms=WAIT_MS)
        entry.run(WAIT_MS)
        assert caller.status() in PROMISES

    def test_request_that_its_server_rejected(self) -> None:
        entry = entry_of(RouteKind.NON_IDEMPOTENT)
        caller = Caller(entry)
        caller.send(wait_ms=WAIT_MS)
        entry.accept().answer(
            b"HTTP/1.1 503 Full\r\nBramleyturn-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        assert caller.status() in PROMISES
