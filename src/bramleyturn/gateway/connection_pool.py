"""Keep connections to servers open between requests."""

import logging
from collections.abc import Callable
from typing import Any, Final

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from bramleyturn.gateway.http1_client import ServerConnection

# A connection that is not open after this time counts as refused. Instances and
# servers are milliseconds apart, and a lost opening packet is sent again after 1 s.
CONNECT_TIMEOUT_S: Final = 0.3
# A server that does not say how long it keeps idle connections is expected to do so
# for this long at least.
DEFAULT_IDLE_MS: Final = 1_500
# Part of the stated idle time for which a connection is used again, so that a request
# does not cross the server's close.
IDLE_PART: Final = 0.6
# Idle connections that are kept to one server.
MAX_IDLE: Final = 8

logger = logging.getLogger(__name__)


class ConnectionPool:
    """Hold the idle connections by the name of the server."""

    def __init__(self, reactor: Any, now_ms: Callable[[], int]) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.idle: dict[str, list[ServerConnection]] = {}
        self.opened = 0


def take_idle(
    pool: ConnectionPool, name: str, most_idle_ms: int | None = None
) -> ServerConnection | None:
    """Return the connection that was used last, if one is still good."""
    kept = pool.idle.get(name, [])
    now_ms = pool.now_ms()
    while kept:
        connection = kept.pop()
        limit_ms = connection.idle_limit_ms or DEFAULT_IDLE_MS
        allowed_ms = limit_ms * IDLE_PART
        if most_idle_ms is not None:
            allowed_ms = min(allowed_ms, most_idle_ms)
        if not connection.is_lost and now_ms - connection.idle_since_ms < allowed_ms:
            return connection
        connection.drop()
    return None


async def open_connection(
    pool: ConnectionPool, name: str, host: str, port: int
) -> ServerConnection:
    """Open a new connection; raise the loop's ConnectError if that fails."""

    def keep(connection: ServerConnection) -> None:
        connection.idle_since_ms = pool.now_ms()
        kept = pool.idle.setdefault(name, [])
        if len(kept) >= MAX_IDLE:
            kept.pop(0).drop()
        kept.append(connection)

    def forget(connection: ServerConnection) -> None:
        kept = pool.idle.get(name, [])
        if connection in kept:
            kept.remove(connection)

    endpoint = TCP4ClientEndpoint(pool.reactor, host, port, CONNECT_TIMEOUT_S)
    factory: Any = Factory.forProtocol(lambda: ServerConnection(keep))
    connection: ServerConnection = await endpoint.connect(factory)
    connection.on_lost = forget
    pool.opened += 1
    return connection


def drop_idle(pool: ConnectionPool, name: str) -> None:
    """Close the idle connections to a server."""
    for connection in pool.idle.pop(name, []):
        connection.drop()


def drop_old(pool: ConnectionPool) -> None:
    """Close connections that are too old to be used again."""
    now_ms = pool.now_ms()
    for kept in pool.idle.values():
        for connection in list(kept):
            limit_ms = connection.idle_limit_ms or DEFAULT_IDLE_MS
            if now_ms - connection.idle_since_ms > limit_ms:
                kept.remove(connection)
                connection.drop()
