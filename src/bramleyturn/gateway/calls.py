"""Make HTTP calls: send a request and return its complete answer or the failure.

The body of an answer with status 200 is a JSON document, or empty.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Final, NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError

from bramleyturn.core.answer_end import EndVerdict, Framing, judge_json_end
from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.gateway.answer_bounds import (
    MAX_BODY_BYTES,
    MAX_UNUSED_BODY_BYTES,
    Bound,
    declared_length,
)
from bramleyturn.gateway.body_buffer import BodyBuffer, add_piece, whole_body
from bramleyturn.gateway.connection_pool import (
    ConnectionPool,
    TooManyConnectionsError,
    open_connection,
    take_idle,
)
from bramleyturn.gateway.http1_client import FailureReason, Headers, ServerConnection
from bramleyturn.runtime.transfer_timer import TransferTimer

STATUS_OK: Final = 200


class Peer(NamedTuple):
    """Hold the name and address of a server to call."""

    name: str
    host: str
    port: int


def peer_of(server: BackendServer) -> Peer:
    """Return the name and address of a backend server."""
    return Peer(server.id, server.host, server.port)


class WholeAnswer(NamedTuple):
    """Hold a complete answer. Header names are in lower case."""

    status: int
    headers: Headers
    body: bytes
    framing: Framing


class CallFailed(NamedTuple):
    """Hold why there is no complete answer."""

    reason: FailureReason


class AnswerOrigin(StrEnum):
    """Name which call on its connection an answer belongs to.

    ``UNCERTAIN`` is an answer that may be used, but may belong to an earlier call.
    """

    OWN = "own"
    UNCERTAIN = "uncertain"
    OTHER_CALL = "other_call"


JudgeOrigin = Callable[[ServerConnection, WholeAnswer], AnswerOrigin]


def always_own(_connection: ServerConnection, _answer: WholeAnswer) -> AnswerOrigin:
    """Take every answer for the call's own."""
    return AnswerOrigin.OWN


class WholeAnswerListener:
    """Collect the parts of an answer until it is complete.

    Unless ``judge_origin`` is certain that it is the call's own, the connection is not
    used again.
    """

    def __init__(
        self,
        ended: "Deferred[WholeAnswer | CallFailed]",
        connection: ServerConnection,
        judge_origin: JudgeOrigin = always_own,
    ) -> None:
        self.ended = ended
        self.connection = connection
        self.judge_origin = judge_origin
        self.on_received: Callable[[int], None] = lambda _: None
        self.status = 0
        self.headers: Headers = []
        self.framing = Framing.CLOSE
        self.body = BodyBuffer()
        self.max_bytes = MAX_BODY_BYTES

    def head(self, status: int, headers: Headers, framing: Framing) -> None:
        """Store the status, the headers and the framing."""
        self.on_received(0)
        self.status = status
        self.headers = headers
        self.framing = framing
        if status != STATUS_OK:
            self.max_bytes = MAX_UNUSED_BODY_BYTES
        length = declared_length(framing, headers)
        if length > self.max_bytes:
            self.connection.end_at_bound(Bound.BODY, length)

    def data(self, data: bytes) -> None:
        """Buffer a part of the body, or end the call if it is too large."""
        self.on_received(len(data))
        size = self.body.size + len(data)
        if size > self.max_bytes:
            self.connection.end_at_bound(Bound.BODY, size)
            return
        add_piece(self.body, data)
        self.connection.hold(len(data))

    def end(self) -> None:
        """End the call with the answer, if it is whole."""
        if self.ended.called:
            return
        body = whole_body(self.body)
        if self._is_broken_off(body):
            self.ended.callback(CallFailed(FailureReason.BROKEN_OFF))
            return
        answer = WholeAnswer(self.status, self.headers, body, self.framing)
        origin = self.judge_origin(self.connection, answer)
        if origin is not AnswerOrigin.OWN:
            self.connection.drop()
        if origin is AnswerOrigin.OTHER_CALL:
            self.ended.callback(CallFailed(FailureReason.WRONG_ANSWER))
            return
        self.ended.callback(answer)

    def failed(self, reason: FailureReason) -> None:
        """End the call with a failure, unless it has ended already."""
        if not self.ended.called:
            self.ended.callback(CallFailed(reason))

    def _is_broken_off(self, body: bytes) -> bool:
        if self.framing is not Framing.CLOSE or self.status != STATUS_OK or not body:
            return False
        return judge_json_end(body) is EndVerdict.BROKEN_OFF


async def connect(
    pool: ConnectionPool, peer: Peer, max_idle_ms: int | None = None
) -> ServerConnection | CallFailed:
    """Return an idle connection, or open a new one."""
    idle = take_idle(pool, peer.name, max_idle_ms)
    if idle is not None:
        return idle
    try:
        return await open_connection(pool, peer.name, peer.host, peer.port)
    except TooManyConnectionsError:
        return CallFailed(FailureReason.NO_FREE_CONNECTION)
    except ConnectError:
        return CallFailed(FailureReason.NOT_CONNECTED)
    except ConnectingCancelledError:
        raise CancelledError from None


async def call(
    pool: ConnectionPool,
    peer: Peer,
    method: bytes,
    target: str,
    headers: Headers,
    body: bytes,
    timeout_ms: int,
    gap_ms: int | None = None,
    judge_origin: JudgeOrigin = always_own,
    may_send: Callable[[], bool] = lambda: True,
) -> WholeAnswer | CallFailed:
    """Send one request and return its complete answer.

    Cancelling the call, or no answer within ``timeout_ms``, closes its connection. With
    ``gap_ms`` an answer that has begun within ``timeout_ms`` is read for as long as it
    makes progress, see core/waiting/transfers.py. ``may_send`` is checked once the
    connection is open.
    """
    connection = await connect(pool, peer)
    if isinstance(connection, CallFailed):
        return connection
    if not may_send():
        connection.drop()
        return CallFailed(FailureReason.NOT_CONNECTED)
    return await call_on(
        connection,
        pool,
        peer,
        method,
        target,
        headers,
        body,
        timeout_ms,
        gap_ms,
        judge_origin,
    )


async def call_on(
    connection: ServerConnection,
    pool: ConnectionPool,
    peer: Peer,
    method: bytes,
    target: str,
    headers: Headers,
    body: bytes,
    timeout_ms: int,
    gap_ms: int | None = None,
    judge_origin: JudgeOrigin = always_own,
) -> WholeAnswer | CallFailed:
    """Send one request on a connection, as ``call`` does."""
    ended: Deferred[WholeAnswer | CallFailed] = Deferred(lambda _: connection.drop())
    listener = WholeAnswerListener(ended, connection, judge_origin)
    host = (b"Host", f"{peer.host}:{peer.port}".encode())
    all_headers = [host, *headers]
    if body:
        all_headers.append((b"Content-Length", b"%d" % len(body)))

    def time_out() -> None:
        connection.drop()
        listener.failed(FailureReason.SILENT)

    timer = TransferTimer(pool.reactor, pool.now_ms, timeout_ms, gap_ms, time_out)
    listener.on_received = timer.received
    try:
        connection.send(method, target.encode(), all_headers, body, listener)
        return await ended
    finally:
        timer.stop()
