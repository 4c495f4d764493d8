"""Test that the connections to servers are bounded."""

from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectionLost
from twisted.python.failure import Failure

from bramleyturn.core.catalog.model import RouteKind
from bramleyturn.gateway.connection_pool import open_connection
from tests.gateway.one_entry import Caller, OneEntry, plain_route
from tests.gateway.one_entry import server as backend
from tests.gateway.test_endless_answers import OneServer

MOST: Final = 3


def connect(server: OneServer, name: str) -> list[Any]:
    """Begin to open a connection; return the list that receives it, or its failure."""
    opened: list[Any] = []
    work = open_connection(server.pool, name, "10.0.0.1", 80)
    Deferred.fromCoroutine(work).addBoth(opened.append)
    return opened


def bounded_pool() -> OneServer:
    """Return a server before a pool with a bound."""
    server = OneServer()
    server.pool.max_in_use = MOST
    return server


class TestBound:
    """As many connections are open as there may be.

    Guards against requests that take more descriptors than a process has.
    """

    def test_no_connection_is_opened_beyond_it(self) -> None:
        server = bounded_pool()
        for number in range(MOST):
            connect(server, f"i-{number}")
        (failed,) = connect(server, "i-9")
        assert failed.check(ConnectError)
        assert len(server.reactor.tcpClients) == MOST

    def test_longest_idle_connection_makes_room(self) -> None:
        server = bounded_pool()
        for number in range(MOST):
            (connection,) = self._connected(server, f"i-{number}")
            connection.on_idle(connection)
            server.reactor.advance(0.1)
        assert not connect(server, "i-9")
        assert [each.transport.is_reset for each in server.connections] == [
            True,
            False,
            False,
        ]

    def test_connection_that_failed_or_has_ended_makes_room(self) -> None:
        server = bounded_pool()
        (connection,) = self._connected(server, "i-1")
        connect(server, "i-2")
        factory = server.reactor.tcpClients.pop()[2]
        factory.clientConnectionFailed(None, Failure(ConnectError()))
        connection.connectionLost(Failure(ConnectionLost()))
        assert server.pool.in_use == 0

    def test_server_is_not_avoided_for_it(self) -> None:
        entry = OneEntry([plain_route(RouteKind.NON_IDEMPOTENT)], [backend("i-1")])
        entry.serving.servers_pool.max_in_use = 0
        caller = Caller(entry)
        caller.send()
        assert caller.status() == 503
        assert not entry.serving.health.by_id

    @staticmethod
    def _connected(server: OneServer, name: str) -> list[Any]:
        opened = connect(server, name)
        server.accept()
        return opened
