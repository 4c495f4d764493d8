"""Limit the time and memory that a connection uses before its request is complete."""

from collections.abc import Callable
from typing import Any, Final

import orjson
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from twisted.web import http, server
from twisted.web.resource import Resource
from zope.interface import implementer, provider

from bramleyturn.runtime.timers import stop_timer
from bramleyturn.runtime.unread_bytes import READ_WAIT_S, has_unread_bytes

IDLE_TIMEOUT_S: Final = 30
REQUEST_TIMEOUT_S: Final = 30
# A caller that has been silent this long after the last answer has read it.
LINGER_S: Final = 1
MAX_CONNECTIONS: Final = 4_096
MAX_HEADERS: Final = 64
IDLE_CONNECTION_CHECKS: Final = 25
STATUS_TOO_LARGE: Final = 413
TOO_LARGE_BODY: Final = orjson.dumps(
    {
        "type": "about:blank",
        "title": "Body too large",
        "status": STATUS_TOO_LARGE,
        "detail": "the body is larger than this service takes",
        "field": "body",
    }
)

# Twisted's classes have no type annotations.
_Request: Any = server.Request
_Channel: Any = http.HTTPChannel
_Site: Any = server.Site
_request_factory: Any = vars(http)["INonQueuedRequestFactory"]

BodyLimit = Callable[[bytes], int]


@provider(_request_factory)
class BoundedRequest(_Request):  # type: ignore[misc]
    """Read a request and refuse a body that exceeds the limit of its path."""

    received_bytes = 0
    limit_bytes = 0
    is_refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose Content-Length exceeds the limit."""
        self.limit_bytes = self.channel.site.body_limit(self.channel._path)
        if length is not None and length > self.limit_bytes:
            self.refuse()
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a part of the body while it stays within the limit."""
        if self.is_refused:
            return
        self.received_bytes += len(data)
        if self.received_bytes > self.limit_bytes:
            self.refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Handle a complete request, unless it has been refused."""
        if not self.is_refused:
            super().requestReceived(command, path, version)

    def refuse(self) -> None:
        """Answer that the body is too large and close the connection."""
        self.is_refused = True
        transport: Any = self.channel.transport
        head = (
            f"HTTP/1.1 {STATUS_TOO_LARGE} Body too large\r\n"
            "Content-Type: application/problem+json\r\n"
            f"Content-Length: {len(TOO_LARGE_BODY)}\r\n"
            "Connection: close\r\n\r\n"
        )
        transport.write(head.encode() + TOO_LARGE_BODY)
        self.channel.linger()


@implementer(IHalfCloseableProtocol)
class BoundedChannel(_Channel):  # type: ignore[misc]
    """Read requests and close a connection that takes too long to send one.

    A connection lingers before it is closed (RFC 9112, section 9.6): it sends the end
    of its last answer and drops what the caller still sends. Closing it with unread
    bytes would reset it, and the caller would lose what it has not read yet.
    """

    maxHeaders = MAX_HEADERS  # noqa: N815
    persistent: bool
    is_lingering = False
    _linger_timer: Any = None
    _request_timer: Any = None
    # While the site closes, an idle connection stays open for this many checks: its
    # next request may be in transit, and the answer says that the connection ends.
    checks_before_close = IDLE_CONNECTION_CHECKS

    def connectionMade(self) -> None:  # noqa: N802
        """Count a new connection and refuse it where there are too many."""
        super().connectionMade()
        self.factory.connections += 1
        self.factory.channels.add(self)
        if self.factory.connections > MAX_CONNECTIONS:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle bytes; the first ones of a request start its timer."""
        if self.is_lingering:
            if self._linger_timer is not None:
                self._linger_timer.reset(LINGER_S)
            return
        if not self._handlingRequest:
            self._start_request_timer()
        super().dataReceived(data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Count a connection as closed."""
        self.factory.connections -= 1
        self.factory.channels.discard(self)
        self._stop_request_timer()
        stop_timer(self._linger_timer)
        super().connectionLost(reason)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line that is too long."""
        self._respondToBadRequestAndDisconnect()

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection after its last answer, in a way that keeps it whole."""
        self.linger()

    def linger(self) -> None:
        """Close the connection once the caller has had time to read what was sent."""
        if self.is_lingering:
            return
        self.is_lingering = True
        self.clearLineBuffer()
        self._dataBuffer: list[bytes] = []
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        # Reading pauses while much of a later request waits.
        self.transport.resumeProducing()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Wait for the caller to close, now that every answer has been sent."""
        self._linger_timer = self.callLater(LINGER_S, self.transport.loseConnection)
        self._start_request_timer()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection, as the caller has closed it."""
        if self.is_lingering:
            self.transport.loseConnection()
        else:
            self.transport.connectionLost(Failure(ConnectionDone()))

    def allContentReceived(self) -> None:  # noqa: N802
        """Stop the timer of a request that has arrived completely."""
        self._stop_request_timer()
        super().allContentReceived()

    def writeHeaders(  # noqa: N802
        self, version: bytes, code: bytes, reason: bytes, headers: Any
    ) -> None:
        """Write the head of an answer: while the site closes, the last one says so.

        A further request that has been read is still answered.
        """
        if self.factory.is_closing and self.persistent and not any(self._dataBuffer):
            self.persistent = False
            headers.setRawHeaders(b"Connection", [b"close"])
        super().writeHeaders(version, code, reason, headers)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Close the connection after an answer while the site closes."""
        super().requestDone(request)
        if self.factory.is_closing:
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being sent or answered."""
        if not self._is_idle():
            return
        if self.checks_before_close:
            self.checks_before_close -= 1
            return
        self.linger()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close the connection, which has been idle for too long."""
        if self._is_idle():
            super().timeoutConnection()

    def _is_idle(self) -> bool:
        return not (
            self.requests
            or self._request_timer is not None
            or has_unread_bytes(self.transport)
        )

    def _start_request_timer(self) -> None:
        if self._request_timer is None:
            self._request_timer = self.callLater(
                REQUEST_TIMEOUT_S, self._abort_slow_request
            )

    def _stop_request_timer(self) -> None:
        stop_timer(self._request_timer)
        self._request_timer = None

    def _abort_slow_request(self) -> None:
        self._request_timer = None
        if not self.is_lingering and has_unread_bytes(self.transport):
            self._request_timer = self.callLater(READ_WAIT_S, self._abort_slow_request)
            return
        self.forceAbortClient()


class BoundedSite(_Site):  # type: ignore[misc]
    """Serve a resource with limits on each connection and on their number.

    ``body_limit`` gives the largest body in bytes for a path.
    """

    def __init__(self, resource: Resource, body_limit: BodyLimit) -> None:
        super().__init__(resource, timeout=IDLE_TIMEOUT_S)
        self.connections = 0
        self.channels: set[Any] = set()
        self.is_closing = False
        self.body_limit = body_limit
        self.displayTracebacks = False
        self.noisy = False
        self.requestFactory = BoundedRequest
        self.protocol = BoundedChannel

    def close_idle(self) -> None:
        """Close idle connections now, and every other one after its answer."""
        self.is_closing = True
        for channel in tuple(self.channels):
            channel.close_if_idle()

    def log(self, request: Any) -> None:
        """Write no access log: requests are recorded in the timeline."""
