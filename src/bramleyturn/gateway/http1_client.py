"""Send requests over one HTTP/1.1 connection to a server, one at a time.

The framing is the library's (h11). An answer without a length is whole only if its
connection was closed in order; after a reset it is broken. Bytes that nobody asked
for end the connection.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final, Protocol

import h11
from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

MAX_HEAD_BYTES: Final = 64 * 1024

Headers = list[tuple[bytes, bytes]]


class BreakReason(StrEnum):
    """Name how an exchange with a server ended without a whole answer."""

    NOT_CONNECTED = "not_connected"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    SILENT = "silent"
    WRONG_ANSWER = "wrong_answer"


class AnswerListener(Protocol):
    """Describe who takes in the parts of an answer."""

    def head(self, status: int, headers: Headers) -> None:
        """Take in the status and the headers, whose names are in lower case."""

    def data(self, data: bytes) -> None:
        """Take in a part of the body."""

    def end(self) -> None:
        """Note that the answer is whole."""

    def broken(self, reason: BreakReason) -> None:
        """Note that there will be no whole answer."""


class ServerConnection(protocol.Protocol):
    """Hold one connection to a server."""

    def __init__(self, on_idle: Callable[["ServerConnection"], None]) -> None:
        self.on_idle = on_idle
        self.on_lost: Callable[[ServerConnection], None] | None = None
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.listener: AnswerListener | None = None
        self.is_lost = False
        self.idle_since_ms = 0
        self.idle_limit_ms: int | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send small requests at once."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        listener: AnswerListener,
    ) -> None:
        """Send a whole request; ``listener`` takes in the answer."""
        transport: Any = self.transport
        self.listener = listener
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.http.send(request)
        if body:
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        transport.write(data)

    def drop(self) -> None:
        """Close the connection and report nothing more."""
        self.listener = None
        transport: Any = self.transport
        if transport is not None and not self.is_lost:
            transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read what arrived."""
        if self.listener is None:
            self.drop()
            return
        try:
            self.http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._break(BreakReason.MALFORMED)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End an answer without a length, or report that the answer is broken."""
        self.is_lost = True
        if self.on_lost is not None:
            self.on_lost(self)
        if self.listener is None:
            return
        if reason.check(ConnectionDone) is None:
            self._break(BreakReason.RESET)
            return
        try:
            self.http.receive_data(b"")
            self._read_events()
        except h11.RemoteProtocolError:
            self._break(BreakReason.CLOSED)
            return
        if self.listener is not None:
            self._break(BreakReason.CLOSED)

    def _read_events(self) -> None:
        while self.listener is not None:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self.listener.head(event.status_code, list(event.headers))
            elif isinstance(event, h11.Data):
                self.listener.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._end()
            elif isinstance(event, h11.ConnectionClosed):
                self._break(BreakReason.CLOSED)

    def _end(self) -> None:
        listener = self.listener
        self.listener = None
        is_reusable = (
            not self.is_lost
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.http.trailing_data[0]
        )
        if is_reusable:
            self.http.start_next_cycle()
            self.on_idle(self)
        else:
            self.drop()
        if listener is not None:
            listener.end()

    def _break(self, reason: BreakReason) -> None:
        listener = self.listener
        self.drop()
        if listener is not None:
            listener.broken(reason)
