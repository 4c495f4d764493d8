"""Limit the time and memory that a connection uses before its request is complete."""

from collections import OrderedDict
from collections.abc import Callable
from resource import RLIMIT_NOFILE, getrlimit
from typing import Any, Final

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from twisted.web import http, server
from twisted.web.resource import Resource
from zope.interface import implementer

from bramleyturn.core.contention.loop_turns import (
    LoopTurns,
    Usage,
    begin_visit,
    has_units,
    leave,
    use_units,
    wait_for_turn,
)
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.bounded_request import BoundedRequest
from bramleyturn.runtime.parse_steps import take_step
from bramleyturn.runtime.timers import stop_timer
from bramleyturn.runtime.unread_bytes import (
    READ_WAIT_S,
    has_unread_bytes,
    has_unsent_bytes,
    unsent_bytes,
)

IDLE_TIMEOUT_S: Final = 30
REQUEST_TIMEOUT_S: Final = 30
# A caller that has been silent this long after the last answer has read it.
LINGER_S: Final = 1
MAX_CONNECTIONS: Final = 4_096
# From here on the longest idle connection is closed for each new one.
MANY_CONNECTIONS: Final = 3_072
MAX_HEADERS: Final = 64
IDLE_CONNECTION_CHECKS: Final = 25
# Descriptors of a process that are kept for files, and the part of the others that
# callers may use; servers and other processes need the rest.
RESERVED_DESCRIPTORS: Final = 200
CALLERS_SHARE: Final = 0.75
# Bodies that are read or in progress, all together: the messages of a fleet are at most
# 8 MiB each, and callers' bodies 64 KiB by default.
MAX_ALL_BODY_BYTES: Final = 32 * 1024 * 1024
# What a connection buffers of its answers before it is not read on.
# It is read in parts of this size too.
MAX_BUFFERED_BYTES: Final = 16 * 1024
# What all connections buffer for callers that do not read: two outcomes of the largest
# size, 8 MiB.
MAX_UNREAD_BYTES: Final = 16 * 1024 * 1024
# What a connection holds of the requests after its current one before it is not read
# on.
READ_AHEAD_BYTES: Final = 16 * 1024
# What a request costs besides its parsing, in units of core/contention/loop_turns.py.
REQUEST_UNITS: Final = 200
# Twisted's classes have no type annotations.
_Channel: Any = http.HTTPChannel
_Site: Any = server.Site

BodyLimit = Callable[[bytes], int]


def max_connections() -> int:
    """Return above how many connections of callers the longest idle one is closed."""
    descriptors, _ = getrlimit(RLIMIT_NOFILE)
    free = max(0, descriptors - RESERVED_DESCRIPTORS)
    return min(MANY_CONNECTIONS, max(1, int(free * CALLERS_SHARE)))


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
    _is_parsing = False
    # While the site closes, an idle connection stays open for this many checks: its
    # next request may be in transit, and the answer says that the connection ends.
    checks_before_close = IDLE_CONNECTION_CHECKS

    def connectionMade(self) -> None:  # noqa: N802
        """Count a new connection and refuse it where there are too many."""
        super().connectionMade()
        self._unparsed = bytearray()
        self._usage = Usage(self._parse_on)
        self.transport.bufferSize = MAX_BUFFERED_BYTES
        self.factory.connections += 1
        self.factory.channels.add(self)
        self.factory.idle[self] = None
        if self.factory.connections > MAX_CONNECTIONS:
            self.transport.loseConnection()
        elif self.factory.connections > self.factory.max_connections:
            self.factory.close_longest_idle()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle bytes; the first ones of a request start its timer."""
        if self.is_lingering:
            if self._linger_timer is not None:
                self._linger_timer.reset(LINGER_S)
            return
        if not self._handlingRequest:
            self._start_request_timer()
        self._unparsed += data
        begin_visit(self._usage)
        self._parse()

    def setLineMode(self, extra: bytes = b"") -> None:  # noqa: N802
        """Parse the bytes that were received ahead in steps too."""
        self._unparsed[:0] = extra
        super().setLineMode()

    def _may_parse(self) -> bool:
        return not (
            self.paused
            or self.is_lingering
            or self._handlingRequest
            or self._usage.is_waiting
        )

    def _parse(self) -> None:
        """Parse what was received, until its share of the turn is used up."""
        if self._is_parsing:
            return
        turns = self.factory.turns
        self._is_parsing = True
        try:
            while self._unparsed and self._may_parse():
                if not has_units(turns, self._usage):
                    wait_for_turn(turns, self._usage)
                    break
                self._start_request_timer()
                data, lines = take_step(self._unparsed)
                use_units(turns, self._usage, 1 + lines)
                super().dataReceived(data)
        finally:
            self._is_parsing = False
        is_ahead = len(self._unparsed) > READ_AHEAD_BYTES
        if self._usage.is_waiting or (self._handlingRequest and is_ahead):
            self._networkProducer.pauseProducing()

    def pauseProducing(self) -> None:  # noqa: N802
        """Read and parse nothing while the caller does not read its answers.

        Twisted alone would still answer the requests that it has read.
        """
        self.paused = True
        super().pauseProducing()
        # Twisted does this only between requests, and answers are sent within one.
        self._networkProducer.pauseProducing()
        self.factory.hold_unread(self, unsent_bytes(self.transport))

    def resumeProducing(self) -> None:  # noqa: N802
        """Parse what was read, and read on."""
        self.factory.release_unread(self)
        super().resumeProducing()
        self._parse_on()

    def _parse_on(self) -> None:
        if self._waitingForTransport or self._usage.is_waiting or self.is_lingering:
            return
        self.paused = False
        if not self._handlingRequest:
            self._networkProducer.resumeProducing()
        if self._buffer:
            super().dataReceived(b"")
        self._parse()

    def close_now(self) -> None:
        """Close a connection without a request at once, as there are too many."""
        if has_unsent_bytes(self.transport):
            self.transport.abortConnection()
        else:
            self._networkProducer.unregisterProducer()
            self.transport.loseConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Count a connection as closed."""
        self.factory.connections -= 1
        self.factory.channels.discard(self)
        self.factory.idle.pop(self, None)
        self.factory.release_unread(self)
        leave(self._usage)
        self._unparsed.clear()
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
        leave(self._usage)
        self._unparsed.clear()
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
        self.factory.idle.pop(self, None)
        super().allContentReceived()

    def writeHeaders(  # noqa: N802
        self, version: bytes, code: bytes, reason: bytes, headers: Any
    ) -> None:
        """Write the head of an answer: while the site closes, the last one says so.

        A further request that has been read is still answered.
        """
        is_last = not self._unparsed and not any(self._dataBuffer)
        if self.factory.is_closing and self.persistent and is_last:
            self.persistent = False
            headers.setRawHeaders(b"Connection", [b"close"])
        super().writeHeaders(version, code, reason, headers)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Close the connection after an answer while the site closes."""
        self.factory.idle[self] = None
        if not self._is_parsing:
            begin_visit(self._usage)
        use_units(self.factory.turns, self._usage, REQUEST_UNITS)
        super().requestDone(request)
        self._parse()
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
            or self._unparsed
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
        is_late = self._usage.is_waiting or has_unread_bytes(self.transport)
        if not self.is_lingering and is_late:
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
        self.max_connections = max_connections()
        # Connections without a complete request, the longest idle first.
        self.idle: OrderedDict[Any, None] = OrderedDict()
        self.bodies: dict[Any, int] = {}
        self.body_bytes = 0
        self.unread: dict[Any, int] = {}
        self.unread_bytes = 0
        self.is_closing = False
        self.turns = LoopTurns(self._now_ms, self._schedule)
        self.body_limit = body_limit
        self.displayTracebacks = False
        self.noisy = False
        self.requestFactory = BoundedRequest
        self.protocol = BoundedChannel

    def _now_ms(self) -> int:
        return int(self.reactor.seconds() * MS_PER_S)

    def _schedule(self, begin: Callable[[], None]) -> None:
        self.reactor.callLater(0, begin)

    def close_idle(self) -> None:
        """Close idle connections now, and every other one after its answer."""
        self.is_closing = True
        for channel in tuple(self.channels):
            channel.close_if_idle()

    def close_longest_idle(self) -> None:
        """Close a connection, as there are too many."""
        longest, _ = self.idle.popitem(last=False)
        longest.close_now()

    def hold_unread(self, channel: Any, size: int) -> None:
        """Set what a caller has not read; close the largest over the bound."""
        self.release_unread(channel)
        self.unread[channel] = size
        self.unread_bytes += size
        while self.unread_bytes > MAX_UNREAD_BYTES:
            largest = max(self.unread, key=lambda each: self.unread[each])
            self.release_unread(largest)
            largest.transport.abortConnection()

    def release_unread(self, channel: Any) -> None:
        """Forget what a caller has read, or will never read."""
        self.unread_bytes -= self.unread.pop(channel, 0)

    def hold_body(self, request: Any, size: int) -> None:
        """Count bytes of a body; refuse the largest unfinished one over the bound."""
        self.bodies[request] = self.bodies.get(request, 0) + size
        self.body_bytes += size
        while self.body_bytes > MAX_ALL_BODY_BYTES:
            unfinished = [each for each in self.bodies if not each.is_complete]
            if not unfinished:
                return
            largest = max(unfinished, key=lambda each: self.bodies[each])
            largest.refuse_over_bound()

    def release_body(self, request: Any) -> None:
        """Forget a body that is no longer held."""
        self.body_bytes -= self.bodies.pop(request, 0)

    def log(self, request: Any) -> None:
        """Write no access log: requests are recorded in the timeline."""
