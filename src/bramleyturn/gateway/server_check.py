"""Check whether a backend server still runs.

That it accepts a connection shows little: a process that ends may close its listening
socket after its other connections, its address may belong to another server, and it may
have started again under its id.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Final

from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectError,
    ConnectionRefusedError,
)

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.calls import CallFailed, WholeAnswer, call_on, peer_of
from bramleyturn.gateway.connection_pool import ConnectionPool, open_connection
from bramleyturn.gateway.http1_client import FailureReason, ServerConnection
from bramleyturn.platform.server_status import (
    is_answer_of_other_server,
    may_wait_for_slot,
    status_headers,
)
from bramleyturn.runtime.timers import stop_timer

# A process that ends has closed all of its sockets by then. One that is only busy may
# answer later.
SETTLE_MS: Final = 300
MAX_TRIES: Final = 3
# The server, or the network, may also have broken off an answer that is to show that
# the server runs.
LOST: Final = frozenset(
    {FailureReason.CLOSED, FailureReason.RESET, FailureReason.OVER_BOUND}
)


class ServerState(StrEnum):
    """Name what a check of a server has shown.

    ``RESTARTED`` is a server whose present run did not have the request in question.
    ``UNKNOWN`` is a server that accepts connections and does not tell its status.
    """

    RUNNING = "running"
    REFUSED = "refused"
    REPLACED = "replaced"
    RESTARTED = "restarted"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


async def connect_to(
    pool: ConnectionPool, server: BackendServer
) -> ServerConnection | ServerState:
    """Open a connection to a server, or return why it can't be opened."""
    try:
        return await open_connection(pool, server.id, server.host, server.port)
    except ConnectionRefusedError:
        return ServerState.REFUSED
    except ConnectError:
        return ServerState.UNREACHABLE


async def check_server(
    pool: ConnectionPool,
    server: BackendServer,
    status_target: str | None,
    is_same_run: Callable[[WholeAnswer], bool] = lambda _: True,
) -> ServerState:
    """Return whether a server runs, as its answer to a request for its status shows.

    A server that neither answers within ``SETTLE_MS`` nor closes the connection is
    busy, if its status may wait for a slot. Lost packets and broken answers are met by
    up to ``MAX_TRIES`` requests. Without a target, the server is only seen to keep the
    connection open. ``is_same_run`` is called with each answer of this server, and
    returns whether its present run is the one in question.
    """
    state = ServerState.UNKNOWN
    for _ in range(MAX_TRIES):
        connection = await connect_to(pool, server)
        if isinstance(connection, ServerConnection):
            state = await _check_once(
                pool, connection, server, status_target, is_same_run
            )
        else:
            state = connection
        if state not in (ServerState.UNREACHABLE, ServerState.UNKNOWN):
            return state
    return state


async def _check_once(
    pool: ConnectionPool,
    connection: ServerConnection,
    server: BackendServer,
    status_target: str | None,
    is_same_run: Callable[[WholeAnswer], bool],
) -> ServerState:
    if status_target is None:
        is_open = await stays_open(pool, connection)
        return ServerState.RUNNING if is_open else ServerState.UNKNOWN
    answer = await call_on(
        connection,
        pool,
        peer_of(server),
        b"GET",
        status_target,
        status_headers(server.id),
        b"",
        SETTLE_MS,
    )
    if isinstance(answer, CallFailed):
        is_lost = answer.reason in LOST or not may_wait_for_slot(status_target)
        return ServerState.UNKNOWN if is_lost else ServerState.RUNNING
    if is_answer_of_other_server(answer.status, answer.headers, server.id):
        return ServerState.REPLACED
    return ServerState.RUNNING if is_same_run(answer) else ServerState.RESTARTED


async def stays_open(pool: ConnectionPool, connection: ServerConnection) -> bool:
    """Return whether a new connection is still open after ``SETTLE_MS``.

    It can be reused then.
    """
    settled: Deferred[bool] = Deferred()

    def settle(is_open: bool) -> Callable[..., None]:
        def fire(*_: object) -> None:
            if not settled.called:
                settled.callback(is_open)

        return fire

    on_lost = settle(False)
    connection.on_lost.append(on_lost)
    timer = pool.reactor.callLater(SETTLE_MS / MS_PER_S, settle(True))
    is_open = await settled
    stop_timer(timer)
    connection.on_lost.remove(on_lost)
    if is_open:
        connection.on_idle(connection)
    return is_open
