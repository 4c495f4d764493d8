"""Send requests over one HTTP/1.1 connection to a server, one at a time.

The h11 library does the framing, in turns of the event loop. After a reset an answer
without a length has failed; after a clean close the listener decides whether it is
whole. Unexpected bytes close the connection, and so does a part of an answer that
exceeds its bound.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final, Protocol

import h11
from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from bramleyturn.core.answer_end import (
    ConnectionEnd,
    Framing,
    framing_of,
    is_valid_status,
)
from bramleyturn.core.contention.loop_turns import (
    LoopTurns,
    Usage,
    begin_visit,
    has_units,
    leave,
    use_units,
    wait_for_turn,
)
from bramleyturn.gateway.answer_bounds import (
    MAX_HEAD_BYTES,
    MAX_INTERIM_ANSWERS,
    Bound,
    declared_length,
)
from bramleyturn.gateway.bounded_reader import STATUS_HEAD_TOO_LARGE, BoundedReader
from bramleyturn.gateway.held_bodies import HeldBodies, hold_body, release_body
from bramleyturn.gateway.read_pauses import (
    PauseReason,
    ReadPauses,
    end_pauses,
    pause_reading,
    resume_reading,
)
from bramleyturn.runtime.unread_bytes import has_unsent_bytes

# What is read of a connection in one turn of the loop. Events of a stream take longer
# than other bytes, and the loop serves all streams in one turn.
READ_BYTES: Final = 64 * 1024
STREAM_READ_BYTES: Final = 2 * 1024
# What passing on a part of a stream costs besides its parsing, in units of
# core/contention/loop_turns.py.
STREAM_PART_UNITS: Final = 10

Headers = list[tuple[bytes, bytes]]


class FailureReason(StrEnum):
    """Name why a call to a server ended without a complete answer."""

    NOT_CONNECTED = "not_connected"
    NO_FREE_CONNECTION = "no_free_connection"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    SILENT = "silent"
    WRONG_ANSWER = "wrong_answer"
    BROKEN_OFF = "broken_off"
    UNCONFIRMED = "unconfirmed"
    OVER_BOUND = "over_bound"


class AnswerListener(Protocol):
    """Receive the parts of an answer."""

    def head(self, status: int, headers: Headers, framing: Framing) -> None:
        """Handle the status, the headers (in lower case) and the body's framing."""

    def data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def end(self) -> None:
        """Handle the end of the body, as its framing marks it."""

    def failed(self, reason: FailureReason) -> None:
        """Handle the failure of the answer."""


class ServerConnection(protocol.Protocol):
    """Send requests and read answers over one connection to a server.

    ``requests`` counts those sent. ``on_over_bound`` is called with the bound that a
    part of an answer exceeded, and its size in bytes. ``is_cut`` is set if the
    connection was lost before its request was written. A listener sets ``is_stream``
    with the head of an answer that is a stream of events. ``seen_results`` are the
    names of the results in the answers so far.
    """

    def __init__(
        self, on_idle: Callable[["ServerConnection"], None], turns: LoopTurns
    ) -> None:
        self.on_idle = on_idle
        self.turns = turns
        self.usage = Usage(self._parse_on)
        self.on_lost: list[Callable[[ServerConnection], None]] = []
        self.on_over_bound: Callable[[Bound, int], None] = lambda _bound, _size: None
        self.reader = BoundedReader(h11.CLIENT, MAX_HEAD_BYTES)
        self.http = self.reader.http
        self.listener: AnswerListener | None = None
        self.held_bodies = HeldBodies()
        self.pauses = ReadPauses()
        self.requests = 0
        self.seen_results: set[str] = set()
        self.is_dropped = False
        self.is_stream = False
        self.method = b""
        self.framing: Framing | None = None
        self.interim_answers = 0
        self.ended = ConnectionEnd.OPEN
        self.is_cut = False
        self.idle_since_ms = 0
        self.idle_limit_ms: int | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, so that small requests are not delayed."""
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
        """Send a request; ``listener`` receives the answer."""
        transport: Any = self.transport
        transport.bufferSize = STREAM_READ_BYTES
        self.is_stream = False
        self.listener = listener
        self.requests += 1
        self.method = method
        self.framing = None
        self.interim_answers = 0
        self.reader.begin_message()
        request = h11.Request(method=method, target=target, headers=headers)
        data = self.http.send(request)
        if body:
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        transport.write(data)

    @property
    def is_lost(self) -> bool:
        """Return whether the connection has ended, or is being closed."""
        return self.is_dropped or self.ended is not ConnectionEnd.OPEN

    def hold(self, size: int) -> None:
        """Note that the listener keeps bytes of the body until the answer's end.

        ``size`` is below 0 for bytes that it no longer keeps.
        """
        hold_body(self.held_bodies, self, size)

    def pause(self) -> None:
        """Read no more of the answer for now, as its caller does not take it."""
        if not self.is_lost:
            pause_reading(self.pauses, self.transport, PauseReason.CALLER_IS_SLOW)

    def resume(self) -> None:
        """Read the answer on."""
        if not self.is_lost:
            resume_reading(self.pauses, self.transport, PauseReason.CALLER_IS_SLOW)

    def drop(self) -> None:
        """Close the connection at once, without a call to the listener."""
        self.listener = None
        release_body(self.held_bodies, self)
        leave(self.usage)
        self.reader.drop_bytes()
        transport: Any = self.transport
        if transport is not None and not self.is_lost:
            self.is_dropped = True
            transport.abortConnection()

    def end_at_bound(self, bound: Bound, size_bytes: int) -> None:
        """Close the connection at once, because the answer exceeds a bound."""
        if self.listener is not None:
            self.on_over_bound(bound, size_bytes)
            self._fail(FailureReason.OVER_BOUND)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse the bytes received."""
        if self.listener is None:
            self.drop()
            return
        self.reader.receive(data)
        begin_visit(self.usage)
        self._read_events()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End an answer without a length, or report that the answer failed."""
        is_clean = reason.check(ConnectionDone) is not None
        self.ended = ConnectionEnd.CLOSED if is_clean else ConnectionEnd.RESET
        for notify in list(self.on_lost):
            notify(self)
        if self.listener is None:
            return
        # An answer without a length that ends before its request was written is cut.
        self.is_cut = self.framing is Framing.CLOSE and has_unsent_bytes(self.transport)
        if not self.usage.is_waiting:
            self._end_lost()

    def _end_lost(self) -> None:
        """End the answer, as its connection has ended and all of it is parsed."""
        if self.ended is not ConnectionEnd.CLOSED or self.is_cut:
            self._fail(FailureReason.RESET)
            return
        try:
            self.reader.receive_end()
            self._parse()
        except h11.RemoteProtocolError:
            self._fail(FailureReason.CLOSED)
            return
        if self.listener is not None:
            self._fail(FailureReason.CLOSED)

    def _read_events(self) -> None:
        """Parse what was received, until its share of the turn is used up."""
        if self.usage.is_waiting:
            return
        try:
            self._parse()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == STATUS_HEAD_TOO_LARGE:
                self._end_at_head_bound()
            else:
                self._fail(FailureReason.MALFORMED)
        if self.usage.is_waiting and not self.is_lost:
            pause_reading(self.pauses, self.transport, PauseReason.WAITS_FOR_TURN)

    def _parse_on(self) -> None:
        if not self.is_lost:
            resume_reading(self.pauses, self.transport, PauseReason.WAITS_FOR_TURN)
        self._read_events()
        is_lost = self.ended is not ConnectionEnd.OPEN
        if is_lost and self.listener is not None and not self.usage.is_waiting:
            self._end_lost()

    def _parse(self) -> None:
        while self.listener is not None:
            if self.reader.is_pending() and not has_units(self.turns, self.usage):
                wait_for_turn(self.turns, self.usage)
                return
            event = self.reader.next_event()
            use_units(self.turns, self.usage, self.reader.take_units())
            if event is h11.NEED_DATA and self.reader.is_pending():
                continue
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self.framing is None and self.reader.head_bytes > MAX_HEAD_BYTES:
                    self._end_at_head_bound()
                return
            if isinstance(event, h11.InformationalResponse):
                self.interim_answers += 1
                if self.interim_answers > MAX_INTERIM_ANSWERS:
                    self.end_at_bound(Bound.INTERIM, self.reader.head_bytes)
            elif isinstance(event, h11.Response):
                if not is_valid_status(event.status_code):
                    self._fail(FailureReason.MALFORMED)
                    return
                headers = list(event.headers)
                framing = framing_of(self.method, event.status_code, headers)
                self.framing = framing
                is_chunked = framing is Framing.CHUNKED
                length = declared_length(framing, headers)
                is_endless = framing is Framing.CLOSE
                self.reader.end_head(None if is_endless else length, is_chunked)
                self.listener.head(event.status_code, headers, framing)
                if not self.is_stream:
                    transport: Any = self.transport
                    transport.bufferSize = READ_BYTES
            elif isinstance(event, h11.Data):
                if self.is_stream:
                    use_units(self.turns, self.usage, STREAM_PART_UNITS)
                self.listener.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._end()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(FailureReason.CLOSED)

    def _end_at_head_bound(self) -> None:
        if self.framing is None:
            self.end_at_bound(Bound.HEAD, self.reader.head_bytes)
        else:
            self.end_at_bound(Bound.CHUNK_HEADS, self.reader.excess_bytes)

    def _end(self) -> None:
        listener = self.listener
        self.listener = None
        release_body(self.held_bodies, self)
        is_reusable = (
            not self.is_lost
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.reader.waiting_bytes()
        )
        if is_reusable:
            end_pauses(self.pauses, self.transport)
            self.http.start_next_cycle()
            self.on_idle(self)
        else:
            self.drop()
        if listener is not None:
            listener.end()

    def _fail(self, reason: FailureReason) -> None:
        listener = self.listener
        self.drop()
        if listener is not None:
            listener.failed(reason)
