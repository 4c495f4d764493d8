"""Test that answers without end are closed at a bound, without sockets."""

import time
from typing import Any, Final

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from bramleyturn.core.actions import StartAttempt
from bramleyturn.core.events import AttemptFailed, Event, StreamEnded
from bramleyturn.core.model import PoolKind, Server
from bramleyturn.runtime.backend_client import BackendClient, LineReader
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import (
    BytesAnswer,
    call_bytes,
    http_client,
)

KIB: Final = 1024
PIECE_BYTES: Final = 64 * KIB
ENOUGH_BYTES: Final = 24 * KIB * KIB
LARGEST_BODY_BYTES: Final = 16 * KIB * KIB
OK = b"HTTP/1.1 200 OK\r\n"
HEADS = {
    "field": (OK + b"Filler: ", b"x"),
    "fields": (OK, b"Filler: x\r\n"),
    "interim": (b"", b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"),
}
END = b'{"attempt_id": "a", "end": true, "total": 0}\n'


class Wire(StringTransport):
    """Record whether the connection was closed."""

    is_closed = False

    def abortConnection(self) -> None:  # noqa: N802
        """Record the close."""
        self.is_closed = True

    def loseConnection(self) -> None:  # noqa: N802
        """Record the close."""
        self.is_closed = True


class Called:
    """Hold a call to a server that the test simulates."""

    def __init__(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.ended: list[BytesAnswer | CallFailed] = []
        client = http_client(self.reactor)
        url = "http://127.0.0.1:80/"
        work = call_bytes(client, self.reactor, "GET", url, timeout_ms=60_000)
        Deferred.fromCoroutine(work).addCallback(self.ended.append)
        factory: Any = self.reactor.tcpClients.pop()[2]
        self.transport = Wire()  # type: ignore[no-untyped-call]
        self.connection: Any = factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)


def received_bytes(called: Called, start: bytes, repeated: bytes) -> int:
    """Deliver bytes without end; return how many until the connection was closed."""
    if start:
        called.connection.dataReceived(start)
    piece = repeated * (PIECE_BYTES // len(repeated) + 1)
    received = len(start)
    while not called.transport.is_closed and received < ENOUGH_BYTES:
        called.connection.dataReceived(piece)
        received += len(piece)
    return received


class Read:
    """Hold the reader of a backend server's answer."""

    def __init__(
        self, kind: PoolKind = PoolKind.ENGINE, is_answer: bool = True
    ) -> None:
        self.fed: list[Event] = []
        client = BackendClient(MemoryReactorClock(), self.fed.append)
        server = Server("s", "pool", "north", "127.0.0.1:80")
        action = StartAttempt(
            "a", "r", "s", server, kind, "m", {}, 1, 0, "k", 1_000, False
        )
        self.reader: Any = LineReader(client, action, is_answer)
        self.reader.whole_body.addErrback(lambda _: None)
        self.transport = Wire()  # type: ignore[no-untyped-call]
        self.reader.makeConnection(self.transport)  # type: ignore[no-untyped-call]

    def receive(self, piece: bytes) -> int:
        """Deliver a piece over and over; return the bytes until the close."""
        received = 0
        while not self.transport.is_closed and received < ENOUGH_BYTES:
            self.reader.dataReceived(piece)
            received += len(piece)
        return received


class TestCalls:
    """The answer to a call has no end."""

    @pytest.mark.parametrize("part", HEADS)
    def test_head_is_closed_at_a_bound(self, part: str) -> None:
        assert received_bytes(Called(), *HEADS[part]) <= 4 * PIECE_BYTES

    @pytest.mark.parametrize(
        "framing", [b"", b"Content-Length: 1000000000\r\n"], ids=["close", "length"]
    )
    def test_body_is_closed_at_its_bound(self, framing: bytes) -> None:
        called = Called()
        received = received_bytes(called, OK + framing + b"\r\n", b"x")
        assert received <= LARGEST_BODY_BYTES + 2 * PIECE_BYTES
        (ended,) = called.ended
        assert isinstance(ended, CallFailed)

    def test_sound_answer_is_whole(self) -> None:
        called = Called()
        interim = HEADS["interim"][1]
        called.connection.dataReceived(interim + OK + b"Filler: x\r\n")
        head = b"Content-Length: %d\r\n\r\n" % LARGEST_BODY_BYTES
        called.connection.dataReceived(head)
        for _ in range(LARGEST_BODY_BYTES // PIECE_BYTES):
            called.connection.dataReceived(b"x" * PIECE_BYTES)
        (ended,) = called.ended
        assert isinstance(ended, BytesAnswer)
        assert len(ended.content) == LARGEST_BODY_BYTES


class TestAttempts:
    """The answer to an attempt has no end."""

    def test_line_is_closed_at_its_bound(self) -> None:
        read = Read()
        assert read.receive(b"x" * PIECE_BYTES) <= 2 * KIB * KIB
        (failed,) = read.fed
        assert isinstance(failed, AttemptFailed)

    def test_line_is_not_copied_for_each_piece(self) -> None:
        read = Read()
        started_s = time.thread_time()
        for _ in range(1_000_000 // 100):
            read.reader.dataReceived(b"x" * 100)
        assert time.thread_time() - started_s < 0.2
        assert not read.fed

    def test_refusal_is_closed_at_its_bound(self) -> None:
        read = Read(is_answer=False)
        assert read.receive(b"x" * PIECE_BYTES) <= 512 * KIB

    def test_output_is_closed_at_its_bound(self) -> None:
        read = Read(PoolKind.PLAIN)
        assert read.receive(b"x" * PIECE_BYTES) <= 9 * KIB * KIB

    def test_bytes_after_the_end_of_a_stream_are_closed(self) -> None:
        read = Read()
        read.reader.dataReceived(END)
        assert read.receive(b"\n" * PIECE_BYTES) <= PIECE_BYTES
        assert [type(event) for event in read.fed] == [StreamEnded]

    def test_sound_stream_is_whole(self) -> None:
        read = Read()
        for start in range(len(END)):
            read.reader.dataReceived(END[start : start + 1])
        read.reader.connectionLost(Failure(ResponseDone()))
        assert [type(event) for event in read.fed] == [StreamEnded]
        assert not read.transport.is_closed
