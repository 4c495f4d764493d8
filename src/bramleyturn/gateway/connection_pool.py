"""Keep connections to servers open for reuse between requests."""

import logging
from collections.abc import Callable
from functools import partial
from typing import Any, Final

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory

from bramleyturn.gateway.answer_bounds import Bound
from bramleyturn.gateway.held_bodies import HeldBodies
from bramleyturn.gateway.http1_client import ServerConnection
from bramleyturn.runtime.loop_turns import loop_turns
from bramleyturn.runtime.unread_bytes import has_unread_bytes

# A connection attempt that takes longer counts as refused: instances and servers are
# milliseconds apart, and a lost SYN packet is sent again only after 1 s.
CONNECT_TIMEOUT_S: Final = 0.3
# Shortest idle timeout expected of servers that do not state one.
DEFAULT_IDLE_MS: Final = 1_500
# Fraction of the server's idle timeout during which a connection is reused, so that a
# request does not race with the server's close.
IDLE_REUSE_FRACTION: Final = 0.6
# Per server.
MAX_IDLE_CONNECTIONS: Final = 8
UNBOUNDED: Final = 2**62

logger = logging.getLogger(__name__)


class TooManyConnectionsError(ConnectError):
    """Raised when a pool may open no more connections, whatever its servers do."""


class ConnectionPool:
    """Hold the idle connections by server name.

    ``in_use`` counts all connections, also those that are being opened or closed; at
    ``max_in_use`` the longest idle one is closed for a new one. ``on_over_bound`` is
    called with the name of a server whose answer exceeded a bound, the bound, and the
    size in bytes.
    """

    def __init__(self, reactor: Any, now_ms: Callable[[], int]) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.idle: dict[str, list[ServerConnection]] = {}
        self.opened = 0
        self.in_use = 0
        self.max_in_use = UNBOUNDED
        self.held_bodies = HeldBodies()
        self.turns = loop_turns(reactor, now_ms)
        self.on_over_bound: Callable[[str, Bound, int], None] = lambda *_: None


def take_idle(
    pool: ConnectionPool, name: str, max_idle_ms: int | None = None
) -> ServerConnection | None:
    """Return the most recently used connection that is still usable."""
    idle = pool.idle.get(name, [])
    now_ms = pool.now_ms()
    while idle:
        connection = idle.pop()
        limit_ms = connection.idle_limit_ms or DEFAULT_IDLE_MS
        allowed_ms = limit_ms * IDLE_REUSE_FRACTION
        if max_idle_ms is not None:
            allowed_ms = min(allowed_ms, max_idle_ms)
        is_fresh = now_ms - connection.idle_since_ms < allowed_ms
        if is_fresh and not connection.is_lost and not _has_answer(connection):
            return connection
        connection.drop()
    return None


def _has_answer(connection: ServerConnection) -> bool:
    """Return whether bytes wait that would be taken for the next request's answer."""
    return has_unread_bytes(connection.transport)


async def open_connection(
    pool: ConnectionPool, name: str, host: str, port: int
) -> ServerConnection:
    """Open a new connection; raise twisted's ConnectError on failure.

    It fails at once if there are too many and none is idle.
    """

    def add_idle(connection: ServerConnection) -> None:
        connection.idle_since_ms = pool.now_ms()
        idle = pool.idle.setdefault(name, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            idle.pop(0).drop()
        idle.append(connection)

    def remove_idle(connection: ServerConnection) -> None:
        idle = pool.idle.get(name, [])
        if connection in idle:
            idle.remove(connection)

    def note_lost(connection: ServerConnection) -> None:
        pool.in_use -= 1
        remove_idle(connection)

    if pool.in_use >= pool.max_in_use and not _drop_longest_idle(pool):
        raise TooManyConnectionsError
    endpoint = TCP4ClientEndpoint(pool.reactor, host, port, CONNECT_TIMEOUT_S)
    factory: Any = Factory.forProtocol(lambda: ServerConnection(add_idle, pool.turns))
    pool.in_use += 1
    try:
        connection: ServerConnection = await endpoint.connect(factory)
    except BaseException:
        pool.in_use -= 1
        raise
    connection.on_lost.append(note_lost)
    connection.held_bodies = pool.held_bodies
    connection.on_over_bound = partial(pool.on_over_bound, name)
    pool.opened += 1
    return connection


def _drop_longest_idle(pool: ConnectionPool) -> bool:
    """Close the connection that has been idle for the longest, if there is any."""
    longest = min(
        (each for each in pool.idle.values() if each),
        key=lambda idle: idle[0].idle_since_ms,
        default=None,
    )
    if longest is None:
        return False
    longest.pop(0).drop()
    return True


def drop_idle(pool: ConnectionPool, name: str) -> None:
    """Close the idle connections to a server."""
    for connection in pool.idle.pop(name, []):
        connection.drop()


def drop_expired(pool: ConnectionPool) -> None:
    """Close connections that were idle for longer than their idle timeout."""
    now_ms = pool.now_ms()
    for idle in pool.idle.values():
        for connection in list(idle):
            limit_ms = connection.idle_limit_ms or DEFAULT_IDLE_MS
            if now_ms - connection.idle_since_ms > limit_ms:
                idle.remove(connection)
                connection.drop()
