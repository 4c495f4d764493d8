"""Send a request to one server and take in its answer, whole or event by event."""

from collections.abc import Callable
from typing import Final, NamedTuple

from twisted.internet.defer import Deferred

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.event_splitter import EventSplitter, split_events
from bramleyturn.core.placement.verdicts import AnswerVerdict, judge_answer
from bramleyturn.gateway.calls import MAX_ANSWER_BYTES, CallBroken, connect, peer_of
from bramleyturn.gateway.connection_pool import ConnectionPool
from bramleyturn.gateway.http1_client import BreakReason, Headers, ServerConnection
from bramleyturn.platform.answers import AnswerHead, read_answer_head

EVENT_STREAM: Final = b"text/event-stream"


class Answered(NamedTuple):
    """Hold a whole answer that goes to the caller."""

    head: AnswerHead
    headers: Headers
    body: bytes


class Streamed(NamedTuple):
    """Note that a stream was passed on to its end."""

    head: AnswerHead


class NotRun(NamedTuple):
    """Note that a server certainly did not run the request.

    ``status`` is 0 where no connection was made.
    """

    status: int


class Broken(NamedTuple):
    """Note that the request may have run and has no usable answer."""

    reason: BreakReason


AttemptEnd = Answered | Streamed | NotRun | Broken


class AttemptCall(NamedTuple):
    """Hold what is sent, and who takes in the events of a stream.

    ``take_event`` is called with the answer's headers, an event's id and its bytes.
    """

    server: BackendServer
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    attempt_id: str
    take_event: Callable[[Headers, int | None, bytes], None]
    take_head: Callable[[AnswerHead], None]


class AttemptListener:
    """Take in the answer to one attempt."""

    def __init__(
        self,
        call: AttemptCall,
        ended: "Deferred[AttemptEnd]",
        connection: ServerConnection,
    ) -> None:
        self.call = call
        self.ended = ended
        self.connection = connection
        self.answer: AnswerHead | None = None
        self.headers: Headers = []
        self.is_stream = False
        self.splitter = EventSplitter()
        self.parts: list[bytes] = []
        self.size = 0

    def head(self, status: int, headers: Headers) -> None:
        """Take in the head of the answer."""
        answer = read_answer_head(status, headers)
        self.answer = answer
        self.headers = headers
        self.connection.idle_limit_ms = answer.idle_ms
        self.call.take_head(answer)
        is_passed_on = self._verdict(answer) is AnswerVerdict.PASS_ON
        content_type = dict(headers).get(b"content-type", b"")
        self.is_stream = (
            is_passed_on and status == 200 and content_type.startswith(EVENT_STREAM)
        )

    def data(self, data: bytes) -> None:
        """Pass on the events of a stream, or keep a part of a whole answer."""
        if self.is_stream:
            for event in split_events(self.splitter, data):
                self.call.take_event(self.headers, event.id, event.data)
            return
        self.size += len(data)
        if self.size > MAX_ANSWER_BYTES:
            self.connection.drop()
            self.broken(BreakReason.WRONG_ANSWER)
            return
        self.parts.append(data)

    def end(self) -> None:
        """Hand over the whole answer."""
        if self.ended.called or self.answer is None:
            return
        if self.is_stream:
            if self.splitter.rest:
                self.call.take_event(self.headers, None, self.splitter.rest)
            self.ended.callback(Streamed(self.answer))
            return
        verdict = self._verdict(self.answer)
        if verdict is AnswerVerdict.NOT_RUN:
            self.ended.callback(NotRun(self.answer.status))
        elif verdict is AnswerVerdict.UNUSABLE:
            self.ended.callback(Broken(BreakReason.WRONG_ANSWER))
        else:
            body = b"".join(self.parts)
            self.ended.callback(Answered(self.answer, self.headers, body))

    def broken(self, reason: BreakReason) -> None:
        """Hand over that the answer is not whole."""
        if not self.ended.called:
            self.ended.callback(Broken(reason))

    def _verdict(self, answer: AnswerHead) -> AnswerVerdict:
        return judge_answer(
            answer.status,
            answer.was_not_run,
            answer.is_signed,
            answer.attempt_id in ("", self.call.attempt_id),
            answer.is_encoded,
        )


async def run_attempt(
    pool: ConnectionPool,
    call: AttemptCall,
    may_reuse: bool,
    may_send: Callable[[], bool],
) -> AttemptEnd:
    """Send a request to a server and return how that ended.

    ``may_send`` is asked when the connection is open, because the server may have
    begun to leave meanwhile. Cancelling the attempt closes its connection.
    """
    peer = peer_of(call.server)
    connection = await connect(pool, peer, None if may_reuse else 0)
    if isinstance(connection, CallBroken):
        return NotRun(0)
    if not may_send():
        connection.drop()
        return NotRun(0)
    ended: Deferred[AttemptEnd] = Deferred(lambda _: connection.drop())
    listener = AttemptListener(call, ended, connection)
    connection.send(call.method, call.target, call.headers, call.body, listener)
    return await ended
