"""Test that only the run of a server that had a request vouches for its answer."""

from typing import Final

import orjson
import pytest

from bramleyturn.core.catalog.model import RouteKind
from bramleyturn.core.catalog.server_registry import register
from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.gateway.server_check import MAX_TRIES, SETTLE_MS
from tests.gateway.one_entry import (
    BORN_MS,
    SIGNATURE,
    CalledServer,
    Caller,
    OneEntry,
    plain_route,
    server,
)

REPORT: Final = "/bramleyturn/report"
LATER_MS: Final = BORN_MS + 3_000
WAIT_MS: Final = 8_000
KINDS = [RouteKind.STREAM, RouteKind.NON_IDEMPOTENT]


def entry_of(kind: RouteKind, target: str = REPORT, **changes: object) -> OneEntry:
    """Return an instance with one server that tells its status at ``target``."""
    return OneEntry([plain_route(kind, **changes)], [server("i-1")], target)


def head(attempt_id: str = "a1") -> bytes:
    """Return the head of an answer whose end only the connection marks."""
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Bramleyturn-Attempt-Id: %b\r\n%b\r\n" % (attempt_id.encode(), SIGNATURE)
    )


def events(first: int, last: int) -> bytes:
    """Return events of a stream, by their numbers."""
    return b"".join(
        b"id: %d\ndata: piece\n\n" % number for number in range(first, last + 1)
    )


def send_and_close(entry: OneEntry, attempt_id: str = "a1") -> Caller:
    """Let the server answer with two events and close the connection."""
    caller = Caller(entry)
    caller.send(attempt_id, wait_ms=WAIT_MS)
    entry.run(10)
    called = entry.accept()
    called.answer(head(attempt_id) + events(1, 2))
    entry.run(10)
    called.close()
    return caller


def report(entry: OneEntry, started_ms: object, status: int = 200) -> None:
    """Answer the request for the server's status, as the run that began then."""
    checked = entry.accept()
    assert checked.received().startswith(b"GET ")
    document = {"running": 0, "waiting": 0}
    if started_ms is not None:
        document["born"] = started_ms  # type: ignore[assignment]
    body = orjson.dumps(document)
    checked.answer(
        b"HTTP/1.1 %d OK\r\nBramleyturn-Instance-Id: i-1\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (status, len(body), body)
    )


def register_run(entry: OneEntry, started_ms: int) -> None:
    """Let the store have the entry of a run of the server."""
    run = server("i-1", started_ms=started_ms)
    register(entry.serving.registry, run, StoreRevision(0, 2))


def is_cut(caller: Caller) -> bool:
    """Return whether the caller was shown that its answer is not whole."""
    return caller.status() == 502 or (
        caller.transport.disconnecting and not caller.is_whole()
    )


def is_complete(caller: Caller) -> bool:
    """Return whether the caller was shown a whole answer."""
    received = caller.received()
    return caller.status() == 200 and (
        caller.is_whole() or b"Content-Length" in received
    )


class TestRestartedServer:
    """A server crashed and runs again under its id when its answer ends.

    Guards against streams that were cut by a crash behind a partition and ended as
    complete, because the server's next run was asked whether it runs.
    """

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("started_ms", [LATER_MS, BORN_MS - 1])
    def test_next_run_vouches_for_no_answer(
        self, kind: RouteKind, started_ms: int
    ) -> None:
        entry = entry_of(kind)
        caller = send_and_close(entry)
        report(entry, started_ms)
        assert is_cut(caller)

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("target", [REPORT, "/health"])
    def test_entry_of_the_next_run_shows_the_restart(
        self, kind: RouteKind, target: str
    ) -> None:
        entry = entry_of(kind, target)
        caller = send_and_close(entry)
        register_run(entry, LATER_MS)
        report(entry, None)
        assert is_cut(caller)

    @pytest.mark.parametrize("started_ms", [True, 1.5, "soon", -1])
    def test_malformed_start_shows_nothing(self, started_ms: object) -> None:
        entry = entry_of(RouteKind.STREAM)
        caller = send_and_close(entry)
        report(entry, started_ms)
        assert is_complete(caller)

    def test_request_counts_as_one_that_was_on_the_crashed_run(self) -> None:
        entry = entry_of(RouteKind.STREAM)
        send_and_close(entry)
        report(entry, LATER_MS)
        (crash,) = entry.serving.suspects.crashes
        assert crash.server == f"i-1@{BORN_MS}"

    def test_stream_goes_on_after_the_last_whole_event(self) -> None:
        entry = entry_of(RouteKind.STREAM, is_resumable=True)
        register(
            entry.serving.registry, server("i-2", host="10.0.0.2"), StoreRevision(0, 3)
        )
        caller = Caller(entry)
        caller.send(wait_ms=WAIT_MS)
        called = entry.accept()
        name = b"i-1" if b"Instance: i-1" in called.received() else b"i-2"
        called.answer(head() + events(1, 2))
        called.close()
        checked = entry.accept()
        body = orjson.dumps({"born": LATER_MS})
        checked.answer(
            b"HTTP/1.1 200 OK\r\nBramleyturn-Instance-Id: %b\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (name, len(body), body)
        )
        # The crash itself is not checked any further.
        resumed = entry.accept()
        assert b"Last-Event-Id: 2" in resumed.received()
        resumed.answer(head() + events(3, 4))
        assert caller.received().count(b"data: piece") == 4

    @pytest.mark.parametrize("is_stopped", [False, True])
    def test_end_during_the_check_shows_no_whole_answer(self, is_stopped: bool) -> None:
        entry = entry_of(RouteKind.STREAM)
        caller = send_and_close(entry)
        entry.accept()
        if is_stopped:
            entry.flow.end_all()
        entry.run(WAIT_MS)
        assert is_cut(caller)


class TestSilentServer:
    """A server accepts connections and does not tell its status."""

    def test_report_that_never_comes_vouches_for_no_answer(self) -> None:
        entry = entry_of(RouteKind.STREAM)
        caller = send_and_close(entry)
        for _ in range(MAX_TRIES):
            entry.accept()
            entry.run(SETTLE_MS + 10)
        assert is_cut(caller)

    def test_report_that_comes_at_the_second_request_is_enough(self) -> None:
        entry = entry_of(RouteKind.STREAM)
        caller = send_and_close(entry)
        entry.accept()
        entry.run(SETTLE_MS + 10)
        report(entry, BORN_MS)
        assert is_complete(caller)

    def test_health_that_waits_for_a_slot_is_no_sign_of_an_end(self) -> None:
        entry = entry_of(RouteKind.STREAM, "/health")
        caller = send_and_close(entry)
        entry.accept()
        entry.run(SETTLE_MS + 10)
        assert is_complete(caller)


class TestSoundServer:
    """Answers of a run that goes on are whole."""

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("status", [200, 503])
    @pytest.mark.parametrize("started_ms", [BORN_MS, None])
    def test_same_run(
        self, kind: RouteKind, status: int, started_ms: int | None
    ) -> None:
        entry = entry_of(kind)
        caller = send_and_close(entry)
        report(entry, started_ms, status)
        assert is_complete(caller)

    def test_run_that_its_entry_does_not_have_yet_is_known_from_its_report(
        self,
    ) -> None:
        entry = entry_of(RouteKind.STREAM)
        first = send_and_close(entry, "a1")
        report(entry, LATER_MS)
        assert is_cut(first)
        entry.run(10)
        for number in (2, 3):
            caller = send_and_close(entry, f"a{number}")
            report(entry, LATER_MS)
            assert is_complete(caller)

    def test_request_is_known_by_the_run_of_its_time(self) -> None:
        entry = entry_of(RouteKind.STREAM)
        send_and_close(entry, "a1")
        report(entry, LATER_MS)
        entry.run(10)
        caller = send_and_close(entry, "a2")
        # The store has the entry of the run meanwhile.
        register_run(entry, LATER_MS)
        report(entry, LATER_MS)
        assert is_complete(caller)

    def test_run_after_the_reported_one_is_another(self) -> None:
        entry = entry_of(RouteKind.STREAM)
        send_and_close(entry, "a1")
        report(entry, LATER_MS)
        entry.run(10)
        caller = send_and_close(entry, "a2")
        report(entry, LATER_MS + 1)
        assert is_cut(caller)

    def test_server_without_a_start_is_believed_as_before(self) -> None:
        entry = entry_of(RouteKind.STREAM)
        register_run(entry, 0)
        caller = send_and_close(entry)
        report(entry, LATER_MS)
        assert is_complete(caller)


class TestConnectionsLeft:
    """A server closes its connection without an answer to a request for its status."""

    def test_connection_lost_each_time(self) -> None:
        entry = entry_of(RouteKind.STREAM)
        caller = send_and_close(entry)
        for _ in range(MAX_TRIES):
            checked: CalledServer = entry.accept()
            checked.reset()
        assert is_cut(caller)
