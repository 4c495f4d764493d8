"""Make whole calls: send a request, take in its whole answer or why there is none."""

from typing import Final, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.connection_pool import (
    ConnectionPool,
    open_connection,
    take_idle,
)
from bramleyturn.gateway.http1_client import BreakReason, Headers, ServerConnection
from bramleyturn.runtime.timers import stop_timer

MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024


class Peer(NamedTuple):
    """Name a server and the address that it is called at."""

    name: str
    host: str
    port: int


def peer_of(server: BackendServer) -> Peer:
    """Return a backend server as a party to call."""
    return Peer(server.id, server.host, server.port)


class WholeAnswer(NamedTuple):
    """Hold a whole answer. Header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


class CallBroken(NamedTuple):
    """Say why there is no answer."""

    reason: BreakReason


class WholeAnswerListener:
    """Collect an answer and hand it over when it has ended."""

    def __init__(self, ended: "Deferred[WholeAnswer | CallBroken]") -> None:
        self.ended = ended
        self.status = 0
        self.headers: Headers = []
        self.parts: list[bytes] = []
        self.size = 0

    def head(self, status: int, headers: Headers) -> None:
        """Take in the head."""
        self.status = status
        self.headers = headers

    def data(self, data: bytes) -> None:
        """Take in a part of the body."""
        self.size += len(data)
        if self.size <= MAX_ANSWER_BYTES:
            self.parts.append(data)

    def end(self) -> None:
        """Hand the answer over."""
        if self.ended.called:
            return
        if self.size > MAX_ANSWER_BYTES:
            self.ended.callback(CallBroken(BreakReason.WRONG_ANSWER))
            return
        answer = WholeAnswer(self.status, self.headers, b"".join(self.parts))
        self.ended.callback(answer)

    def broken(self, reason: BreakReason) -> None:
        """Hand over that there is no whole answer."""
        if not self.ended.called:
            self.ended.callback(CallBroken(reason))


async def connect(
    pool: ConnectionPool, peer: Peer, most_idle_ms: int | None = None
) -> ServerConnection | CallBroken:
    """Return a kept connection, or a new one."""
    kept = take_idle(pool, peer.name, most_idle_ms)
    if kept is not None:
        return kept
    try:
        return await open_connection(pool, peer.name, peer.host, peer.port)
    except ConnectError:
        return CallBroken(BreakReason.NOT_CONNECTED)


async def call(
    pool: ConnectionPool,
    peer: Peer,
    method: bytes,
    target: str,
    headers: Headers,
    body: bytes,
    timeout_ms: int,
) -> WholeAnswer | CallBroken:
    """Send one request and return its whole answer.

    A call that is cancelled, or not answered in ``timeout_ms``, closes its connection.
    """
    connection = await connect(pool, peer)
    if isinstance(connection, CallBroken):
        return connection
    ended: Deferred[WholeAnswer | CallBroken] = Deferred(lambda _: connection.drop())
    listener = WholeAnswerListener(ended)
    host = (b"Host", f"{peer.host}:{peer.port}".encode())
    sent = [host, *headers]
    if body:
        sent.append((b"Content-Length", b"%d" % len(body)))

    def give_up() -> None:
        connection.drop()
        listener.broken(BreakReason.SILENT)

    timer = pool.reactor.callLater(timeout_ms / MS_PER_S, give_up)
    try:
        connection.send(method, target.encode(), sent, body, listener)
        return await ended
    finally:
        stop_timer(timer)
