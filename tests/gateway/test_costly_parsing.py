"""Test that bytes that take long to parse are parsed in turns of the event loop."""

from typing import Final

import pytest

from bramleyturn.core.catalog.model import CallerLimits
from bramleyturn.core.contention.loop_turns import UNITS_PER_TURN
from bramleyturn.gateway.caller_connection import CallerConnection
from tests.gateway.wire import CalledConnection, ServedConnection, WireTransport

LIMITS: Final = CallerLimits(16_384, 4_000_000, 3_000, 15_000)
BODY_BYTES: Final = 100_000
READ_BYTES: Final = 32_768
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"
POST: Final = b"POST /a HTTP/1.1\r\nHost: x\r\n"
GET: Final = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
TINY_CHUNK: Final = b"1\r\nx\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"
SHORT_LINES: Final = b"a:\r\n" * 3_500
OK: Final = b"HTTP/1.1 200 OK\r\n"


def connect(served: ServedConnection) -> CallerConnection:
    """Open another connection to the same server."""
    other = CallerConnection(served.server)
    other.makeConnection(WireTransport())  # type: ignore[no-untyped-call]
    return other


class TestCallers:
    """A caller sends what takes long to parse.

    Guards against an event loop that parsed all of it at once while others waited.
    """

    def test_tiny_chunks_do_not_delay_other_requests(self) -> None:
        served = ServedConnection(LIMITS)
        served.receive(POST + CHUNKED + TINY_CHUNK * (READ_BYTES // len(TINY_CHUNK)))
        assert len(served.connection.body) <= UNITS_PER_TURN
        assert served.transport.producerState == "paused"
        connect(served).dataReceived(GET)
        assert [each.method for each in served.exchanges] == [b"GET"]

    def test_tiny_chunks_are_read_whole(self) -> None:
        served = ServedConnection(LIMITS)
        data = POST + CHUNKED + TINY_CHUNK * BODY_BYTES + LAST_CHUNK
        for start in range(0, len(data), READ_BYTES):
            served.receive(data[start : start + READ_BYTES])
            served.clock.advance(0)
            assert served.transport.producerState == "producing"
        (exchange,) = served.exchanges
        assert exchange.body == b"x" * BODY_BYTES

    def test_requests_sent_ahead_are_answered_in_turns(self) -> None:
        served = ServedConnection(LIMITS)
        served.server.handle = lambda exchange: exchange.answer(200, [], b"")
        served.receive(GET * 500)
        other = connect(served)
        other.dataReceived(GET)
        assert other.requests == 1
        assert served.connection.requests < 500
        served.clock.advance(0)
        assert served.written().count(b"HTTP/1.1 200") == 500

    @pytest.mark.parametrize(
        "data",
        [
            GET[:-2] + SHORT_LINES,
            GET[:-2] + SHORT_LINES + b"\r\n",
            POST + CHUNKED + b"0\r\n" + SHORT_LINES * 3 + b"\r\n",
            POST + CHUNKED + (b"1;" + b"e" * 4_000 + b"\r\nx\r\n") * 100 + LAST_CHUNK,
        ],
        ids=["open-head", "head", "trailer", "extensions"],
    )
    def test_request_with_too_much_besides_its_body_is_refused(
        self, data: bytes
    ) -> None:
        served = ServedConnection(LIMITS)
        served.receive(data)
        served.clock.advance(0)
        assert served.written().startswith(b"HTTP/1.1 431")
        assert served.exchanges == []

    def test_request_that_waits_for_its_turn_is_not_late(self) -> None:
        served = ServedConnection(LIMITS)
        served.receive(POST + CHUNKED + TINY_CHUNK * (READ_BYTES // len(TINY_CHUNK)))
        served.connection._request_is_late()
        assert served.written() == b""


class TestServers:
    """A server sends an answer that takes long to parse.

    Guards against answers of one server that held up the requests at all others.
    """

    @staticmethod
    def call(head: bytes) -> CalledConnection:
        """Send a request and receive the head of its answer."""
        called = CalledConnection()
        called.send()
        called.receive(OK + head)
        return called

    def test_tiny_chunks_are_parsed_in_turns(self) -> None:
        called = self.call(CHUNKED)
        called.connection.dataReceived(TINY_CHUNK * 10_000)
        assert len(called.answer.parts) <= UNITS_PER_TURN
        assert called.transport.producerState == "paused"
        called.receive(LAST_CHUNK)
        assert len(called.answer.parts) == 10_002
        assert called.answer.parts[-1] == "end"
        assert called.transport.producerState == "producing"

    @pytest.mark.parametrize("is_whole", [True, False])
    def test_answer_that_waits_when_its_connection_ends_is_parsed(
        self, is_whole: bool
    ) -> None:
        called = self.call(CHUNKED)
        end = LAST_CHUNK if is_whole else b""
        called.connection.dataReceived(TINY_CHUNK * 10_000 + end)
        called.close()
        assert called.answer.parts[-1] == ("data", b"x")
        called.clock.advance(0)
        assert called.answer.parts[-1] == ("end" if is_whole else "closed")

    def test_answer_that_waits_when_it_is_cancelled_is_forgotten(self) -> None:
        called = self.call(CHUNKED)
        called.connection.dataReceived(TINY_CHUNK * 10_000)
        parsed = len(called.answer.parts)
        called.connection.drop()
        called.clock.advance(0)
        assert len(called.answer.parts) == parsed

    def test_head_with_too_many_lines_is_over_its_bound(self) -> None:
        called = self.call(SHORT_LINES + b"\r\n")
        assert called.answer.parts == ["over_bound"]
