"""Test the limits of a connection, without sockets."""

import json
from typing import Any

import pytest
from klein import Klein
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from bramleyturn.runtime.bounded_http import (
    IDLE_TIMEOUT_S,
    LINGER_S,
    MAX_CONNECTIONS,
    MAX_HEADERS,
    REQUEST_TIMEOUT_S,
    BoundedSite,
)

LIMIT_BYTES = 100


# Twisted's classes have no type annotations.
_Transport: Any = StringTransport


class Transport(_Transport):  # type: ignore[misc]
    """Close the writing side at once, as a transport with nothing to send does."""

    is_write_closed = False
    protocol: Any = None
    unread = b""

    def getHandle(self) -> "Transport":  # noqa: N802
        return self

    def recv(self, _size: int, _flags: int) -> bytes:
        return self.unread

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.is_write_closed = True
        self.protocol.writeConnectionLost()


class Connection:
    """Hold one connection to a site that records the bodies its handler receives."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.handled: list[bytes] = []
        app = Klein()

        @app.route("/", methods=["POST"])
        def handle(request: Any) -> bytes:
            self.handled.append(request.content.read())
            return b"done"

        self.site = BoundedSite(app.resource(), lambda _path: LIMIT_BYTES)
        self.site.reactor = self.clock
        self.transport = Transport()
        self.channel = self.site.buildProtocol(None)
        self.transport.protocol = self.channel
        self.channel.makeConnection(self.transport)

    def send(self, data: bytes) -> bytes:
        """Send bytes and return all bytes answered so far."""
        self.channel.dataReceived(data)
        return bytes(self.transport.value())

    @property
    def is_ended(self) -> bool:
        """Tell whether the caller sees that nothing more will be sent."""
        return bool(self.transport.is_write_closed) or self.is_closed

    @property
    def is_closed(self) -> bool:
        """Tell whether the server closed the connection."""
        return bool(self.transport.disconnecting or self.transport.disconnected)


def head(*headers: str) -> bytes:
    lines = ["POST / HTTP/1.1", "Host: x", *headers, "", ""]
    return "\r\n".join(lines).encode()


class TestBody:
    def test_within_the_limit_is_handled(self) -> None:
        connection = Connection()
        answer = connection.send(head("Content-Length: 2") + b"ab")
        assert connection.handled == [b"ab"]
        assert b"200 OK" in answer

    def test_content_length_above_the_limit_is_refused_before_the_body(self) -> None:
        connection = Connection()
        answer = connection.send(head(f"Content-Length: {LIMIT_BYTES + 1}"))
        assert answer.startswith(b"HTTP/1.1 413 ")
        problem = json.loads(answer.partition(b"\r\n\r\n")[2])
        assert (problem["status"], problem["field"]) == (413, "body")

    def test_chunked_above_the_limit_is_refused(self) -> None:
        connection = Connection()
        connection.send(head("Transfer-Encoding: chunked"))
        chunk = b"40\r\n" + b"x" * 64 + b"\r\n"
        connection.send(chunk)
        answer = connection.send(chunk + b"0\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert connection.handled == []

    def test_refusal_closes_the_connection(self) -> None:
        connection = Connection()
        connection.send(head("Content-Length: 1000"))
        connection.clock.advance(2)
        assert connection.is_closed


class TestHeaders:
    def test_too_many_are_refused(self) -> None:
        connection = Connection()
        flood = [f"X-{number}: 1" for number in range(MAX_HEADERS + 1)]
        answer = connection.send(head(*flood))
        assert b"400 Bad Request" in answer
        assert connection.handled == []

    def test_too_long_are_refused(self) -> None:
        connection = Connection()
        answer = connection.send(head("X-Long: " + "x" * 20_000))
        assert b"400 Bad Request" in answer or connection.is_closed
        assert connection.handled == []


class TestSlowCaller:
    def test_sending_byte_by_byte_is_disconnected(self) -> None:
        connection = Connection()
        connection.send(head("Content-Length: 50"))
        for _ in range(REQUEST_TIMEOUT_S):
            connection.send(b"x")
            connection.clock.advance(1)
        assert connection.is_closed
        assert connection.handled == []

    def test_sending_nothing_is_disconnected(self) -> None:
        connection = Connection()
        connection.clock.advance(IDLE_TIMEOUT_S + 1)
        assert connection.is_ended
        connection.clock.advance(LINGER_S)
        assert connection.is_closed

    @pytest.mark.parametrize("requests", [0, 1])
    def test_whose_request_a_late_reactor_has_not_read_is_served(
        self, requests: int
    ) -> None:
        connection = Connection()
        request = head("Content-Length: 1") + b"x"
        for _ in range(requests):
            connection.send(request)
        connection.transport.unread = request
        connection.clock.advance(IDLE_TIMEOUT_S + 1)
        assert not connection.is_ended
        connection.transport.unread = b""
        connection.send(request)
        assert len(connection.handled) == requests + 1
        connection.clock.advance(IDLE_TIMEOUT_S + 1)
        assert connection.is_ended

    def test_whose_rest_a_late_reactor_has_not_read_is_served(self) -> None:
        connection = Connection()
        connection.send(head("Content-Length: 1"))
        connection.transport.unread = b"x"
        connection.clock.advance(REQUEST_TIMEOUT_S)
        assert not connection.is_closed
        connection.transport.unread = b""
        connection.send(b"x")
        assert connection.handled == [b"x"]

    def test_whose_rest_has_not_arrived_is_disconnected(self) -> None:
        connection = Connection()
        connection.send(head("Content-Length: 2"))
        connection.transport.unread = b"x"
        connection.clock.advance(REQUEST_TIMEOUT_S)
        connection.transport.unread = b""
        connection.send(b"x")
        connection.clock.advance(1)
        assert connection.is_closed

    def test_pausing_between_requests_is_served(self) -> None:
        connection = Connection()
        for _ in range(3):
            connection.send(head("Content-Length: 1") + b"x")
            connection.clock.advance(IDLE_TIMEOUT_S - 1)
        assert len(connection.handled) == 3
        assert not connection.is_closed


class TestLinger:
    def test_drops_what_follows_the_last_answer(self) -> None:
        connection = Connection()
        request = head("Connection: close", "Content-Length: 1") + b"x"
        answer = connection.send(request + request)
        assert connection.is_ended
        assert not connection.is_closed
        assert connection.send(request) == answer
        assert connection.handled == [b"x"]

    def test_ends_once_the_caller_is_silent(self) -> None:
        connection = Connection()
        connection.send(head("Content-Length: 1000"))
        for _ in range(3):
            connection.clock.advance(LINGER_S * 0.9)
            connection.send(b"x")
            assert not connection.is_closed
        connection.clock.advance(LINGER_S)
        assert connection.is_closed

    def test_ends_although_the_caller_goes_on_sending(self) -> None:
        connection = Connection()
        connection.send(head("Content-Length: 1000000"))
        for _ in range(REQUEST_TIMEOUT_S * 2):
            connection.clock.advance(LINGER_S / 2)
            connection.send(b"x")
        assert connection.is_closed


class TestConnections:
    def test_above_the_limit_are_closed(self) -> None:
        connection = Connection()
        connection.site.connections = MAX_CONNECTIONS
        transport = StringTransport()
        connection.site.buildProtocol(None).makeConnection(transport)
        assert transport.disconnecting

    @pytest.mark.parametrize("count", [1, 3])
    def test_are_counted_until_they_close(self, count: int) -> None:
        connection = Connection()
        channels = []
        for _ in range(count):
            channel = connection.site.buildProtocol(None)
            channel.makeConnection(StringTransport())
            channels.append(channel)
        assert connection.site.connections == 1 + count
        for channel in channels:
            channel.connectionLost(None)
        assert connection.site.connections == 1
