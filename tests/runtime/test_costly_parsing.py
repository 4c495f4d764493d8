"""Test that the own interface parses costly bytes in turns of the event loop."""

from typing import Any, Final

from bramleyturn.core.contention.loop_turns import UNITS_PER_TURN
from tests.runtime.test_bounded_http import Connection, Transport, head

BODY_BYTES: Final = 50_000
READ_BYTES: Final = 16_384
TINY_CHUNK: Final = b"1\r\nx\r\n"
CHUNKED: Final = head("Transfer-Encoding: chunked")
ORDINARY: Final = head("Content-Length: 2") + b"ab"


def connect() -> Connection:
    """Connect to a site that takes large bodies."""
    connection = Connection()
    connection.site.body_limit = lambda _path: BODY_BYTES
    return connection


def connect_other(connection: Connection) -> Any:
    """Open another connection to the same site."""
    channel = connection.site.buildProtocol(None)
    transport = Transport()
    transport.protocol = channel
    channel.makeConnection(transport)
    return channel


class TestTinyChunks:
    """A caller sends a body in chunks of one byte.

    Guards against an event loop that parsed all of it while others waited.
    """

    def test_they_do_not_delay_other_requests(self) -> None:
        connection = connect()
        chunks = TINY_CHUNK * (READ_BYTES // len(TINY_CHUNK))
        connection.send(CHUNKED + chunks)
        assert connection.site.body_bytes <= UNITS_PER_TURN
        assert connection.transport.producerState == "paused"
        connect_other(connection).dataReceived(ORDINARY)
        assert connection.handled == [b"ab"]

    def test_they_are_read_whole(self) -> None:
        connection = connect()
        data = CHUNKED + TINY_CHUNK * BODY_BYTES + b"0\r\n\r\n" + ORDINARY
        for start in range(0, len(data), READ_BYTES):
            connection.send(data[start : start + READ_BYTES])
            connection.clock.advance(0)
        assert connection.handled == [b"x" * BODY_BYTES, b"ab"]
        assert connection.transport.producerState == "producing"


class TestRequestsSentAhead:
    """A caller sends many requests ahead."""

    def test_they_are_answered_in_turns(self) -> None:
        connection = connect()
        connection.send(ORDINARY * 100)
        assert len(connection.handled) < 100
        connect_other(connection).dataReceived(head("Content-Length: 3") + b"own")
        assert connection.handled[-1] == b"own"
        connection.clock.advance(0)
        assert connection.handled.count(b"ab") == 100
