"""Test that answers without end are closed at a bound, and sound ones pass."""

from collections.abc import Sequence
from typing import Any, Final

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.event_splitter import StreamEvent
from bramleyturn.gateway.attempts import AttemptEnd, AttemptRequest, run_attempt
from bramleyturn.gateway.calls import CallFailed, Peer, WholeAnswer, call
from bramleyturn.gateway.connection_pool import ConnectionPool
from bramleyturn.gateway.http1_client import Headers
from bramleyturn.gateway.server_check import ServerState, check_server
from tests.gateway.wire import CalledConnection, WireTransport

SERVER = BackendServer("i-1", "desk", "10.0.0.1", 80, "north", "1", 6, False, 0, 0)
KIB: Final = 1024
PIECE_BYTES: Final = 64 * KIB
# Answers at once.
BODIES: Final = 8
# Received by a connection that is not closed at a bound.
ENOUGH_BYTES: Final = 24 * KIB * KIB
ENOUGH_OF_A_STREAM_BYTES: Final = 4 * KIB * KIB
LARGEST_BODY_BYTES: Final = 16 * KIB * KIB
LARGEST_EVENT_BYTES: Final = KIB * KIB
MANY_STREAMS: Final = 80
OVER_BOUND = "over_bound"
INTERIM = b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
SIGNED = b"Bramleyturn-Attempt-Id: a\r\nBramleyturn-Response-Signature: s\r\n"
WHOLE = OK + b"Content-Length: 2\r\n\r\nok"
FRAMINGS = {"length": b"Content-Length: 1000000000\r\n", "close": b""}
LINES = {"bytes": b"x", "lines": b"data: x\n", "other_lines": b"id: 1\r\n"}
UNUSED_HEADS = {
    "not_run": b"HTTP/1.1 503 Full\r\nBramleyturn-Not-Executed: 1\r\n",
    "no_proof": b"HTTP/1.1 503 Full\r\n",
    "unsigned": OK,
    "other": OK + b"Bramleyturn-Attempt-Id: other\r\n",
}
HEAD_FILLINGS = {
    "field": (OK + b"Filler: ", b"x"),
    "fields": (OK, b"Filler: x\r\n"),
    "interim": (b"", INTERIM),
    "large_interim": (b"", INTERIM[:-4] + b"x" * 30_000 + b"\r\n\r\n"),
    "chunk_head": (CHUNKED + b"1;", b"x"),
    "chunk_heads": (CHUNKED, b"1;" + b"x" * 1_000 + b"\r\nx\r\n"),
    "trailer": (CHUNKED + b"0\r\n", b"Filler: x\r\n"),
}


def received_bytes(
    connection: Any, start: bytes, repeated: bytes, enough_bytes: int = ENOUGH_BYTES
) -> int:
    """Deliver bytes without end; return how many until the connection was reset."""
    connection.receive(start) if start else None
    piece = repeated * (PIECE_BYTES // len(repeated) + 1)
    received = len(start)
    while not connection.transport.is_reset and received < enough_bytes:
        connection.receive(piece)
        received += len(piece)
    return received


def reasons(ended: Sequence[object]) -> list[str]:
    """Return why each of the attempts or calls failed, or that it did not."""
    return [str(getattr(end, "reason", "whole")) for end in ended]


def is_read(connection: Any) -> bool:
    """Return whether a connection is open and its reading isn't paused."""
    transport = connection.transport
    return not transport.is_reset and transport.producerState == "producing"


class OneServer:
    """Hold the connection to a server that the test simulates."""

    def __init__(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.pool = ConnectionPool(
            self.reactor, lambda: int(self.reactor.seconds() * 1_000)
        )
        self.transport = WireTransport()  # type: ignore[no-untyped-call]
        self.connection: Any = None
        self.connections: list[Any] = []
        self.events: list[StreamEvent] = []

    def accept(self) -> None:
        """Accept the connection."""
        factory = self.reactor.tcpClients.pop()[2]
        self.transport = WireTransport()  # type: ignore[no-untyped-call]
        self.connection = factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)
        self.connections.append(self.connection)

    def receive(self, data: bytes) -> None:
        """Deliver bytes of the server that was connected last."""
        self.deliver(self.connection, data)

    def deliver(self, connection: Any, data: bytes) -> None:
        """Deliver bytes of a server, and let the event loop parse them."""
        connection.dataReceived(data)
        self.reactor.advance(0)

    def call(self) -> list[WholeAnswer | CallFailed]:
        """Start a call; return the list that receives its end."""
        peer = Peer("i-1", "10.0.0.1", 80)
        ended: list[WholeAnswer | CallFailed] = []
        work = call(self.pool, peer, b"GET", "/", [], b"", 60_000)
        Deferred.fromCoroutine(work).addCallback(ended.append)
        self.accept()
        return ended

    def attempt(self) -> list[AttemptEnd]:
        """Start an attempt; return the list that receives its end."""

        def on_events(_headers: Headers, events: list[StreamEvent]) -> None:
            self.events += events

        request = AttemptRequest(
            SERVER,
            b"POST",
            b"/",
            [(b"Host", b"a")],
            b"",
            "a",
            on_events,
            lambda _: None,
        )
        ended: list[AttemptEnd] = []
        work = run_attempt(self.pool, request, False, lambda: True)
        Deferred.fromCoroutine(work).addCallback(ended.append)
        self.accept()
        return ended


class TestHeads:
    """A head, an interim answer or a chunk's head has no end."""

    @pytest.mark.parametrize("filling", HEAD_FILLINGS)
    def test_connection_is_closed_at_a_bound(self, filling: str) -> None:
        connection = CalledConnection()
        connection.send()
        received = received_bytes(connection, *HEAD_FILLINGS[filling])
        assert connection.transport.is_reset
        assert received <= 4 * PIECE_BYTES
        assert connection.answer.parts[-1] == OVER_BOUND

    @pytest.mark.parametrize("size", [1, 7, PIECE_BYTES])
    def test_sound_interim_answers_are_passed_over(self, size: int) -> None:
        connection = CalledConnection()
        connection.send()
        data = INTERIM * 3 + WHOLE
        for start in range(0, len(data), size):
            connection.receive(data[start : start + size])
        assert connection.answer.parts[0] == ("head", 200)
        assert connection.answer.parts[-1] == "end"

    def test_each_answer_on_a_connection_has_a_bound_of_its_own(self) -> None:
        connection = CalledConnection()
        for _ in range(100):
            connection.send()
            connection.receive(INTERIM * 3 + OK + b"Filler: " + b"x" * 10_000 + b"\r\n")
            connection.receive(b"Content-Length: 2\r\n\r\nok")
            assert connection.answer.parts[-1] == "end"

    def test_body_in_one_piece_with_its_head_is_no_part_of_it(self) -> None:
        connection = CalledConnection()
        connection.send()
        length = 1_000_000
        head = OK + b"Content-Length: %d\r\n\r\n" % length
        connection.receive(head + b"x" * length)
        assert connection.answer.parts[-1] == "end"


class TestChunks:
    """Sound chunks of any size are whole."""

    @pytest.mark.parametrize("size", [1, 16, 1_000, 500_000])
    @pytest.mark.parametrize("extension", [b"", b";a=b"], ids=["plain", "extended"])
    def test_sound_chunks_are_accepted(self, size: int, extension: bytes) -> None:
        connection = CalledConnection()
        connection.send()
        connection.receive(CHUNKED)
        chunk = b"%x%b\r\n%b\r\n" % (size, extension, b"x" * size)
        chunks = 1 + 100_000 // size
        data = chunk * chunks + b"0\r\nFiller: x\r\n\r\n"
        for start in range(0, len(data), 1_460):
            connection.receive(data[start : start + 1_460])
        parts = [each[1] for each in connection.answer.parts[1:-1]]
        assert connection.answer.parts[-1] == "end"
        assert sum(map(len, parts)) == size * chunks


class TestCalls:
    """The answer to a call has no end."""

    @pytest.mark.parametrize("framing", FRAMINGS.values(), ids=FRAMINGS)
    def test_connection_is_closed_at_the_bound(self, framing: bytes) -> None:
        server = OneServer()
        ended = server.call()
        received = received_bytes(server, OK + framing + b"\r\n", b"x")
        assert reasons(ended) == [OVER_BOUND]
        assert received <= LARGEST_BODY_BYTES + 2 * PIECE_BYTES

    def test_length_over_the_bound_is_not_read(self) -> None:
        server = OneServer()
        ended = server.call()
        server.receive(OK + b"Content-Length: 1000000000\r\n\r\n")
        assert reasons(ended) == [OVER_BOUND]
        assert server.transport.is_reset

    def test_body_that_no_one_needs_is_not_read_on(self) -> None:
        server = OneServer()
        ended = server.call()
        received = received_bytes(server, b"HTTP/1.1 500 Error\r\n\r\n", b"x")
        assert reasons(ended) == [OVER_BOUND]
        assert received <= 512 * KIB

    def test_large_sound_answer_is_whole(self) -> None:
        server = OneServer()
        ended = server.call()
        server.receive(OK + b"Content-Length: %d\r\n\r\n" % LARGEST_BODY_BYTES)
        for _ in range(LARGEST_BODY_BYTES // PIECE_BYTES):
            server.receive(b"x" * PIECE_BYTES)
        (answer,) = ended
        assert isinstance(answer, WholeAnswer)
        assert len(answer.body) == LARGEST_BODY_BYTES

    def test_status_without_end_shows_no_running_server(self) -> None:
        server = OneServer()
        states: list[ServerState] = []
        work = check_server(server.pool, SERVER, "/health")
        Deferred.fromCoroutine(work).addCallback(states.append)
        while not states and server.reactor.tcpClients:
            server.accept()
            received_bytes(server, OK + b"\r\n", b"x")
        assert states == [ServerState.UNKNOWN]


class TestBodiesTogether:
    """Many large bodies arrive at once."""

    def test_they_hold_no_more_than_three_of_the_largest(self) -> None:
        server = OneServer()
        calls = [server.call() for _ in range(BODIES)]
        connections = list(server.connections)
        for connection in connections:
            server.deliver(connection, OK + b"\r\n")
        held, largest = server.pool.held_bodies, 0
        for _ in range(LARGEST_BODY_BYTES // PIECE_BYTES * BODIES):
            reading = [each for each in connections if is_read(each)]
            for each in reading:
                server.deliver(each, b"x" * PIECE_BYTES)
            largest = max(largest, held.total)
        assert largest <= 3 * LARGEST_BODY_BYTES + BODIES * PIECE_BYTES
        assert [reasons(ended) for ended in calls] == [[OVER_BOUND]] * BODIES
        assert (held.total, held.sizes, held.paused) == (0, {}, set())

    def test_sound_ones_are_whole(self) -> None:
        server = OneServer()
        calls = [server.call() for _ in range(BODIES)]
        left = dict.fromkeys(server.connections, LARGEST_BODY_BYTES)
        for connection in left:
            server.deliver(
                connection, OK + b"Content-Length: %d\r\n\r\n" % LARGEST_BODY_BYTES
            )
        while any(left.values()):
            reading = [each for each in left if left[each] and is_read(each)]
            assert reading
            for each in reading:
                left[each] -= PIECE_BYTES
                server.deliver(each, b"x" * PIECE_BYTES)
        assert [reasons(ended) for ended in calls] == [["whole"]] * BODIES

    def test_small_body_waits_for_no_large_ones(self) -> None:
        server = OneServer()
        for _ in range(BODIES):
            server.call()
            server.receive(OK + b"\r\n" + b"x" * (LARGEST_BODY_BYTES // 2))
        ended = server.call()
        assert server.pool.held_bodies.paused
        server.receive(OK + b"Content-Length: 1000000\r\n\r\n" + b"x" * 999_999)
        assert is_read(server.connection)
        server.receive(b"x")
        assert reasons(ended) == ["whole"]

    def test_many_events_that_never_end_are_bounded_together(self) -> None:
        server = OneServer()
        attempts = [server.attempt() for _ in range(MANY_STREAMS)]
        for connection in server.connections:
            server.deliver(
                connection, OK + SIGNED + b"Content-Type: text/event-stream\r\n\r\n"
            )
        held, largest = server.pool.held_bodies, 0
        for _ in range(LARGEST_EVENT_BYTES // PIECE_BYTES - 1):
            for connection in server.connections:
                if not connection.transport.is_reset:
                    server.deliver(connection, b"x" * PIECE_BYTES)
                largest = max(largest, held.total)
        assert largest <= 3 * LARGEST_BODY_BYTES + 5 * LARGEST_EVENT_BYTES
        assert OVER_BOUND in [each for ended in attempts for each in reasons(ended)]
        for connection in server.connections:
            connection.connectionLost(Failure(ConnectionLost()))
        assert (held.total, held.sizes) == (0, {})

    def test_event_that_ends_holds_nothing(self) -> None:
        server = OneServer()
        server.attempt()
        server.receive(OK + SIGNED + b"Content-Type: text/event-stream\r\n\r\n")
        server.receive(b"data: x")
        assert server.pool.held_bodies.total == len(b"data: x")
        server.receive(b"\n\nda")
        assert server.pool.held_bodies.total == len(b"da")
        server.receive(b"ta: y\n\n")
        assert server.pool.held_bodies.total == 0

    def test_call_that_ends_early_holds_nothing(self) -> None:
        server = OneServer()
        server.call()
        server.receive(OK + b"\r\n" + b"x" * PIECE_BYTES)
        assert server.pool.held_bodies.total == PIECE_BYTES
        server.reactor.advance(60)
        assert server.pool.held_bodies.total == 0


class TestAttempts:
    """The answer to a caller's request has no end."""

    @pytest.mark.parametrize("line", LINES.values(), ids=LINES)
    @pytest.mark.parametrize("framing", FRAMINGS.values(), ids=FRAMINGS)
    def test_event_without_end_is_closed_at_its_bound(
        self, line: bytes, framing: bytes
    ) -> None:
        server = OneServer()
        ended = server.attempt()
        head = OK + SIGNED + b"Content-Type: text/event-stream\r\n" + framing
        start = head + b"\r\nid: 0\ndata: x\n\n"
        received = received_bytes(server, start, line, ENOUGH_OF_A_STREAM_BYTES)
        assert reasons(ended) == [OVER_BOUND]
        assert [event.id for event in server.events] == [0]
        assert received <= 2 * KIB * KIB

    @pytest.mark.parametrize("head", UNUSED_HEADS.values(), ids=UNUSED_HEADS)
    def test_body_that_reaches_no_caller_is_not_read_on(self, head: bytes) -> None:
        server = OneServer()
        ended = server.attempt()
        received = received_bytes(server, head + b"\r\n", b"x")
        assert reasons(ended) == [OVER_BOUND]
        assert received <= 512 * KIB

    def test_length_over_the_bound_is_not_read(self) -> None:
        server = OneServer()
        ended = server.attempt()
        server.receive(OK + SIGNED + b"Content-Length: 1000000000\r\n\r\n")
        assert reasons(ended) == [OVER_BOUND]
        assert server.transport.is_reset

    def test_long_stream_is_not_bounded(self) -> None:
        server = OneServer()
        ended = server.attempt()
        head = OK + SIGNED + b"Content-Type: text/event-stream\r\n"
        server.receive(head + b"Content-Length: 1000000000\r\n\r\n")
        event = b"data: %b\n\n" % (b"x" * 500_000)
        for _ in range(100):
            server.receive(event)
        assert len(server.events) == 100
        assert not ended
