"""Test that what callers leave unread of their answers is bounded."""

from typing import Final

import pytest

from bramleyturn.core.catalog.model import RouteKind
from bramleyturn.gateway.answer_bounds import MAX_BODY_BYTES
from bramleyturn.gateway.http1_server import CallerConnection
from bramleyturn.gateway.unread_answers import (
    MAX_BUFFERED_BYTES,
    MAX_UNREAD_BYTES,
)
from tests.gateway.one_entry import (
    SIGNATURE,
    CalledServer,
    Caller,
    OneEntry,
    plain_route,
    server,
)
from tests.gateway.wire import ServedConnection

WAIT_MS: Final = 8_000
LARGE_EVENT: Final = b"data: %b\n\n" % (b"x" * 200_000)
CALLERS: Final = 12


def stream_entry(**changes: object) -> OneEntry:
    """Return an instance with a route of streams and one server."""
    return OneEntry([plain_route(RouteKind.STREAM, **changes)], [server("i-1")])


def head(attempt_id: str, framing: bytes = b"Transfer-Encoding: chunked\r\n") -> bytes:
    """Return the head of a stream."""
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%b"
        b"Bramleyturn-Attempt-Id: %b\r\n%b\r\n"
        % (framing, attempt_id.encode(), SIGNATURE)
    )


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def begin(entry: OneEntry, attempt_id: str = "a1") -> tuple[Caller, CalledServer]:
    """Begin a stream."""
    caller = Caller(entry)
    caller.send(attempt_id, wait_ms=WAIT_MS)
    called = entry.accept()
    called.answer(head(attempt_id))
    return caller, called


def block(caller: Caller) -> None:
    """Let the caller read nothing more."""
    caller.connection.pauseProducing()


def read_all(caller: Caller) -> None:
    """Let the caller have read everything."""
    caller.connection.resumeProducing()


def is_read(called: CalledServer) -> bool:
    """Return whether the instance reads what a server sends."""
    state: str = called.transport.producerState
    return state == "producing"


class TestSlowCaller:
    """A caller reads its stream more slowly than the server sends it.

    Guards against streams that were buffered whole for slow callers, so that an
    instance exceeded its memory and was killed with the requests of others.
    """

    def test_stream_is_not_read_on_until_its_caller_has_read(self) -> None:
        entry = stream_entry()
        caller, called = begin(entry)
        called.answer(chunk(LARGE_EVENT))
        assert is_read(called)
        block(caller)
        assert not is_read(called)
        read_all(caller)
        assert is_read(called)

    def test_transport_reports_what_it_buffers(self) -> None:
        caller = Caller(stream_entry())
        assert caller.transport.producer is caller.connection
        assert caller.transport.bufferSize == MAX_BUFFERED_BYTES

    def test_stream_that_goes_on_elsewhere_is_held_back_too(self) -> None:
        entry = stream_entry(is_resumable=True)
        entry.serving.registry.entries["i-2"] = entry.serving.registry.entries[
            "i-1"
        ]._replace(server=server("i-2", host="10.0.0.2"))
        caller, called = begin(entry)
        called.answer(chunk(b"id: 1\ndata: x\n\n"))
        block(caller)
        called.reset()
        entry.accept().close()
        entry.run(400)
        resumed = [each for each in entry.accept_all() if b"POST" in each.received()]
        assert len(resumed) == 1
        assert not is_read(resumed[0])

    def test_connection_is_read_again_once_its_answer_has_ended(self) -> None:
        entry = stream_entry()
        caller, called = begin(entry)
        block(caller)
        # Read together with what came before the pause.
        called.answer(chunk(b"data: x\n\n") + b"0\r\n\r\n")
        assert caller.is_whole()
        assert len(entry.serving.servers_pool.idle["i-1"]) == 1
        assert is_read(called)

    def test_deadline_ends_a_stream_that_is_held_back(self) -> None:
        entry = stream_entry()
        caller, called = begin(entry)
        called.answer(chunk(LARGE_EVENT))
        block(caller)
        entry.run(WAIT_MS)
        assert called.transport.is_reset
        assert caller.transport.disconnecting
        assert not caller.is_whole()

    def test_caller_that_is_closed_has_no_producer(self) -> None:
        entry = stream_entry()
        caller, called = begin(entry)
        called.answer(chunk(LARGE_EVENT))
        block(caller)
        called.reset()
        entry.run(WAIT_MS)
        assert caller.transport.disconnecting
        assert caller.transport.producer is None

    def test_other_producer_of_a_connection_is_left_to_it(self) -> None:
        """Guards against stand-ins that were never told that their caller had left."""
        caller = Caller(stream_entry())
        other = CallerConnection(caller.connection.server)
        caller.transport.unregisterProducer()
        caller.transport.registerProducer(other, True)
        caller.connection.readConnectionLost()
        assert caller.transport.producer is other

    def test_caller_that_leaves_holds_nothing(self) -> None:
        entry = stream_entry()
        caller, called = begin(entry)
        block(caller)
        called.answer(chunk(LARGE_EVENT))
        assert entry.serving.unread.total > len(LARGE_EVENT)
        caller.lose()
        assert (entry.serving.unread.total, entry.serving.unread.sizes) == (0, {})
        assert called.transport.is_reset


class TestBeliefs:
    """A slow caller says nothing about the server of its stream.

    Guards against late streams that were refused, and servers that were checked, since
    a stream before them had waited for its caller.
    """

    def test_time_of_a_stream_that_was_held_back_is_not_recorded(self) -> None:
        entry = stream_entry()
        caller, called = begin(entry)
        called.answer(chunk(b"data: x\n\n"))
        block(caller)
        entry.run(3_000)
        read_all(caller)
        called.answer(b"0\r\n\r\n")
        assert caller.is_whole()
        assert entry.serving.run_times.by_name == {}

    def test_server_that_is_not_read_is_not_silent(self) -> None:
        entry = stream_entry()
        caller, called = begin(entry)
        called.answer(chunk(LARGE_EVENT))
        block(caller)
        entry.run(2_000)
        caller.lose()
        assert called.transport.is_reset
        assert not entry.is_connecting()


class TestManyCallers:
    """Callers that read nothing get large answers."""

    def serve(self, callers: int, size: int) -> list[ServedConnection]:
        """Answer callers that read nothing; return their connections."""
        served = [ServedConnection() for _ in range(callers)]
        unread = served[0].server.unread
        for each in served:
            each.server.unread = unread
            each.receive(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            each.connection.pauseProducing()
            each.exchanges[0].answer(200, [], b"x" * size)
            assert unread.total <= MAX_UNREAD_BYTES
        return served

    def test_all_together_hold_no_more_than_the_bound(self) -> None:
        served = self.serve(CALLERS, MAX_BODY_BYTES // 2)
        open_ones = [each for each in served if not each.transport.is_reset]
        held = sum(len(each.written()) for each in open_ones)
        assert 0 < held <= MAX_UNREAD_BYTES

    def test_largest_is_closed_and_reported(self) -> None:
        found: list[int] = []
        served = self.serve(1, MAX_BODY_BYTES)
        unread = served[0].server.unread
        unread.on_over_bound = lambda _address, size: found.append(size)
        others = [ServedConnection() for _ in range(3)]
        for each in others:
            each.server.unread = unread
            each.receive(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            each.connection.pauseProducing()
            each.exchanges[0].answer(200, [], b"x" * (MAX_BODY_BYTES // 2 - 100_000))
        assert served[0].transport.is_reset
        assert not any(each.transport.is_reset for each in others)
        assert [size > MAX_BODY_BYTES for size in found] == [True]

    @pytest.mark.parametrize("size", [100, MAX_BODY_BYTES])
    def test_answer_to_a_caller_that_reads_is_not_counted(self, size: int) -> None:
        served = ServedConnection()
        for _ in range(5):
            served.receive(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            served.exchanges.pop().answer(200, [], b"x" * size)
        assert served.server.unread.total == 0
        assert not served.transport.is_reset

    def test_close_after_a_large_answer_waits_until_it_is_read(self) -> None:
        served = self.serve(1, MAX_BODY_BYTES)[0]
        connection: CallerConnection = served.connection
        connection.close()
        assert served.transport.producer is None
        assert served.transport.disconnecting
        connection.writeConnectionLost()
        assert served.server.unread.total == 0


class TestManyEvents:
    """A server sends whole events in one packet."""

    def test_events_that_arrive_together_are_passed_on_together(self) -> None:
        entry = stream_entry()
        caller, called = begin(entry)
        before = len(caller.received())
        events = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 100))
        called.answer(chunk(events))
        assert caller.received()[before:].count(b"\r\n") == 2 + before_fields(caller)
        assert events in caller.received()

    def test_event_that_came_before_is_left_out(self) -> None:
        entry = stream_entry()
        caller = Caller(entry)
        caller.send(wait_ms=WAIT_MS, fields=["Last-Event-Id: 2"])
        called = entry.accept()
        called.answer(head("a1") + chunk(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
        assert b"id: 2" not in caller.received()
        assert b"id: 3\ndata: c\n\n" in caller.received()


def before_fields(caller: Caller) -> int:
    """Return how many lines the head of an answer has."""
    return caller.received().partition(b"\r\n\r\n")[0].count(b"\r\n") + 2
