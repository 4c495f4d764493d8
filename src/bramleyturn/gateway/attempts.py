"""Send a request to one server and read its answer, whole or event by event."""

from collections.abc import Callable
from itertools import takewhile
from typing import Final, NamedTuple

from twisted.internet.defer import Deferred

from bramleyturn.core.answer_end import (
    BodyEnd,
    EndVerdict,
    Framing,
    judge_body_end,
    judge_stream_end,
)
from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.event_splitter import (
    EventSplitter,
    StreamEvent,
    split_events,
)
from bramleyturn.core.placement.verdicts import AnswerVerdict, judge_answer
from bramleyturn.gateway.answer_bounds import (
    MAX_BODY_BYTES,
    MAX_UNUSED_BODY_BYTES,
    Bound,
    declared_length,
)
from bramleyturn.gateway.body_buffer import BodyBuffer, add_piece, drop_body, whole_body
from bramleyturn.gateway.calls import CallFailed, connect, peer_of
from bramleyturn.gateway.connection_pool import ConnectionPool
from bramleyturn.gateway.http1_client import FailureReason, Headers, ServerConnection
from bramleyturn.platform.answers import AnswerHead, read_answer_head

EVENT_STREAM: Final = b"text/event-stream"


class Answered(NamedTuple):
    """Hold an answer to forward to the caller, once ``verdict`` is that it is whole."""

    head: AnswerHead
    headers: Headers
    body: bytes
    body_end: BodyEnd
    verdict: EndVerdict


class Streamed(NamedTuple):
    """Report that a stream was forwarded to its end, whole if ``verdict`` says so."""

    head: AnswerHead
    headers: Headers
    body_end: BodyEnd
    verdict: EndVerdict


class NotRun(NamedTuple):
    """Report that the server certainly did not run the request.

    ``status`` is 0 if no connection was made. ``is_blamed`` is not set if the reason
    lies with this process and not with the server.
    """

    status: int
    is_blamed: bool = True


class AttemptFailed(NamedTuple):
    """Report that the request may have run but has no usable answer.

    ``body_end`` is None if not even the head of an answer arrived.
    """

    reason: FailureReason
    body_end: BodyEnd | None


AttemptEnd = Answered | Streamed | NotRun | AttemptFailed


class AttemptRequest(NamedTuple):
    """Hold a request to send, and the callbacks for its answer.

    ``on_events`` is called with events of a stream that arrived together, and the
    headers of the answer; ``on_connected`` with the connection, before the request is
    sent. ``is_resumed`` is set if the answer goes on with a stream, whose events have
    ids.
    """

    server: BackendServer
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    attempt_id: str
    on_events: Callable[[Headers, list[StreamEvent]], None]
    on_head: Callable[[AnswerHead], None]
    on_connected: Callable[[ServerConnection], None] = lambda _: None
    is_resumed: bool = False


class AttemptListener:
    """Receive the answer to one attempt."""

    def __init__(
        self,
        request: AttemptRequest,
        ended: "Deferred[AttemptEnd]",
        connection: ServerConnection,
    ) -> None:
        self.request = request
        self.ended = ended
        self.connection = connection
        self.answer: AnswerHead | None = None
        self.headers: Headers = []
        self.framing = Framing.CLOSE
        self.is_stream = False
        self.splitter = EventSplitter()
        self.body = BodyBuffer()
        self.max_bytes = MAX_BODY_BYTES
        self.events = 0

    def head(self, status: int, headers: Headers, framing: Framing) -> None:
        """Classify the answer by its head."""
        answer = read_answer_head(status, headers)
        self.answer = answer
        self.headers = headers
        self.framing = framing
        self.connection.idle_limit_ms = answer.idle_ms
        self.request.on_head(answer)
        is_passed_on = self._verdict(answer) is AnswerVerdict.PASS_ON
        content_type = dict(headers).get(b"content-type", b"")
        self.is_stream = (
            is_passed_on and status == 200 and content_type.startswith(EVENT_STREAM)
        )
        self.connection.is_stream = self.is_stream
        if not is_passed_on:
            self.max_bytes = MAX_UNUSED_BODY_BYTES
        length = declared_length(framing, headers)
        if not self.is_stream and length > self.max_bytes:
            self.connection.end_at_bound(Bound.BODY, length)

    def data(self, data: bytes) -> None:
        """Forward the events of a stream, or buffer a part of another answer."""
        if self.is_stream:
            self._forward_events(data)
            return
        size = self.body.size + len(data)
        if size > self.max_bytes:
            self.connection.end_at_bound(Bound.BODY, size)
            return
        add_piece(self.body, data)
        self.connection.hold(len(data))

    def _forward_events(self, data: bytes) -> None:
        """Forward the events that ``data`` completes, and hold the rest."""
        before = len(self.splitter.rest)
        events = split_events(self.splitter, data)
        sound = events
        if self.request.is_resumed:
            # It can't be told whether an event without an id is a part of the stream.
            sound = list(takewhile(lambda event: event.id is not None, events))
        if sound:
            self.events += len(sound)
            self.request.on_events(self.headers, sound)
        if len(sound) < len(events):
            self.connection.drop()
            self.failed(FailureReason.WRONG_ANSWER)
            return
        over_bound_bytes = self.splitter.over_bound_bytes
        if over_bound_bytes:
            self.connection.end_at_bound(Bound.EVENT, over_bound_bytes)
        elif before or self.splitter.rest:
            self.connection.hold(len(self.splitter.rest) - before)

    def end(self) -> None:
        """End the attempt with the answer, if it is whole."""
        if self.ended.called or self.answer is None:
            return
        body_end = self._body_end()
        if self.is_stream:
            end = judge_stream_end(body_end)
            if end is EndVerdict.BROKEN_OFF:
                self.failed(FailureReason.BROKEN_OFF)
                return
            self.ended.callback(Streamed(self.answer, self.headers, body_end, end))
            return
        body = whole_body(self.body)
        content_type = dict(self.headers).get(b"content-type", b"")
        end = judge_body_end(body_end, content_type, body)
        verdict = self._verdict(self.answer)
        if verdict is AnswerVerdict.NOT_RUN:
            self.ended.callback(NotRun(self.answer.status))
        elif verdict is AnswerVerdict.UNUSABLE:
            # The attempt's own answer may still follow.
            self.connection.drop()
            self.ended.callback(AttemptFailed(FailureReason.WRONG_ANSWER, body_end))
        elif end is EndVerdict.BROKEN_OFF:
            self.failed(FailureReason.BROKEN_OFF)
        else:
            answered = Answered(self.answer, self.headers, body, body_end, end)
            self.ended.callback(answered)

    def failed(self, reason: FailureReason) -> None:
        """End the attempt without a complete answer."""
        drop_body(self.body)
        if not self.ended.called:
            body_end = None if self.answer is None else self._body_end()
            self.ended.callback(AttemptFailed(reason, body_end))

    def _body_end(self) -> BodyEnd:
        rest = self.splitter.rest.strip(b"\r\n")
        unfinished_bytes = self.splitter.over_bound_bytes or len(rest)
        return BodyEnd(
            self.framing, self.connection.ended, self.events, unfinished_bytes
        )

    def _verdict(self, answer: AnswerHead) -> AnswerVerdict:
        return judge_answer(
            answer.status,
            answer.was_not_run,
            answer.is_signed,
            self._is_own(answer),
            answer.is_encoded,
        )

    def _is_own(self, answer: AnswerHead) -> bool:
        """Return whether the answer can only belong to this attempt.

        One that names no attempt may be an earlier answer on a kept connection.
        """
        if not answer.attempt_id:
            return self.connection.requests == 1
        return answer.attempt_id == self.request.attempt_id


async def run_attempt(
    pool: ConnectionPool,
    request: AttemptRequest,
    may_reuse: bool,
    may_send: Callable[[], bool],
) -> AttemptEnd:
    """Send a request to a server and return the outcome.

    ``may_send`` is checked once the connection is open, because the server may have
    started to drain in the meantime. Cancelling the attempt closes its connection.
    """
    peer = peer_of(request.server)
    connection = await connect(pool, peer, None if may_reuse else 0)
    if isinstance(connection, CallFailed):
        return NotRun(0, connection.reason is not FailureReason.NO_FREE_CONNECTION)
    if not may_send():
        connection.drop()
        return NotRun(0)
    ended: Deferred[AttemptEnd] = Deferred(lambda _: connection.drop())
    listener = AttemptListener(request, ended, connection)
    request.on_connected(connection)
    connection.send(
        request.method, request.target, request.headers, request.body, listener
    )
    return await ended
