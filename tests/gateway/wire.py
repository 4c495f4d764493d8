"""Drive connections with a recording transport and a manually advanced clock."""

from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bramleyturn.core.answer_end import Framing
from bramleyturn.core.catalog.model import CallerLimits
from bramleyturn.gateway.exchange import Exchange
from bramleyturn.gateway.http1_client import FailureReason, Headers, ServerConnection
from bramleyturn.gateway.http1_server import CallerConnection, HttpServer
from bramleyturn.runtime.loop_turns import loop_turns

LIMITS = CallerLimits(2_000, 100, 3_000, 15_000)


class WireTransport(StringTransport):
    """Record what is written, and whether the connection was closed or reset."""

    is_reset = False
    unread = b""
    sent = b""

    def getHandle(self) -> "WireTransport":  # noqa: N802
        """Return the socket, which is this stand-in."""
        return self

    def recv(self, _size: int, _flags: int) -> bytes:
        """Return what has arrived and was not read."""
        return self.unread

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Record the close of the writing side."""
        self.disconnecting = True

    def doWrite(self) -> None:  # noqa: N802
        """Send everything that was written."""
        self.sent = self.value()  # type: ignore[no-untyped-call]

    def abortConnection(self) -> None:  # noqa: N802
        """Record the reset."""
        self.is_reset = True


class ServedConnection:
    """Hold a caller's connection to a server under test."""

    def __init__(self, limits: CallerLimits = LIMITS) -> None:
        self.clock = Clock()
        self.exchanges: list[Exchange] = []
        self.server = HttpServer(
            self.clock,
            lambda: int(self.clock.seconds() * 1_000),
            lambda: limits,
            self.exchanges.append,
        )
        self.transport = WireTransport()  # type: ignore[no-untyped-call]
        self.connection = CallerConnection(self.server)
        self.connection.makeConnection(self.transport)  # type: ignore[no-untyped-call]

    def receive(self, data: bytes) -> None:
        """Deliver bytes of the caller."""
        self.connection.dataReceived(data)

    def lose(self) -> None:
        """Close the connection as the caller."""
        self.connection.connectionLost(Failure(ConnectionDone()))

    def written(self) -> bytes:
        """Return what was written so far."""
        value: bytes = self.transport.value()  # type: ignore[no-untyped-call]
        return value


class Collected:
    """Collect the parts of an answer."""

    def __init__(self) -> None:
        self.parts: list[Any] = []
        self.framing: Framing | None = None

    def head(self, status: int, headers: Headers, framing: Framing) -> None:
        """Collect the head."""
        self.framing = framing
        self.parts.append(("head", status))

    def data(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.parts.append(("data", data))

    def end(self) -> None:
        """Collect the end."""
        self.parts.append("end")

    def failed(self, reason: FailureReason) -> None:
        """Collect the failure."""
        self.parts.append(reason)


class CalledConnection:
    """Hold a connection to a server that the test simulates."""

    def __init__(self) -> None:
        self.idle: list[ServerConnection] = []
        self.clock = Clock()
        self.transport = WireTransport()  # type: ignore[no-untyped-call]
        turns = loop_turns(self.clock, lambda: int(self.clock.seconds() * 1_000))
        self.connection = ServerConnection(self.idle.append, turns)
        self.connection.makeConnection(self.transport)  # type: ignore[no-untyped-call]
        self.answer = Collected()

    def send(self) -> None:
        """Send a request."""
        headers = [(b"Host", b"a")]
        self.connection.send(b"GET", b"/", headers, b"", self.answer)

    def receive(self, data: bytes) -> None:
        """Deliver bytes of the server, and let them be parsed."""
        self.connection.dataReceived(data)
        self.clock.advance(0)

    def close(self) -> None:
        """Close the connection cleanly, as the server."""
        self.connection.connectionLost(Failure(ConnectionDone()))

    def reset(self) -> None:
        """Reset the connection, as the server."""
        self.connection.connectionLost(Failure(ConnectionLost()))
