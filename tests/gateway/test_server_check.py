"""Test what shows that a server still runs."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.gateway.connection_pool import ConnectionPool
from bramleyturn.gateway.server_check import (
    MAX_TRIES,
    SETTLE_MS,
    ServerState,
    check_server,
)
from tests.gateway.wire import WireTransport

SERVER = BackendServer("i-1", "desk", "10.0.0.1", 80, "north", "1", 6, False, 0, 0)
TARGET = "/health"
ANSWER = (
    b"HTTP/1.1 %d Status\r\nBramleyturn-Instance-Id: %b\r\nContent-Length: 0\r\n\r\n"
)


class CheckedServer:
    """Hold a check of a server that the test simulates."""

    def __init__(self, status_target: str | None = TARGET) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.pool = ConnectionPool(
            self.reactor, lambda: int(self.reactor.seconds() * 1_000)
        )
        self.transport = WireTransport()  # type: ignore[no-untyped-call]
        self.connection: Any = None
        work = check_server(self.pool, SERVER, status_target)
        self.states: list[ServerState] = []
        Deferred.fromCoroutine(work).addCallback(self.states.append)

    def refuse(self, failure: Exception) -> None:
        """Fail the attempt to connect."""
        factory = self.reactor.tcpClients.pop()[2]
        factory.clientConnectionFailed(None, Failure(failure))

    def accept(self) -> None:
        """Accept the connection."""
        factory = self.reactor.tcpClients.pop()[2]
        self.transport = WireTransport()  # type: ignore[no-untyped-call]
        self.connection = factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)

    def lose(self, failure: Exception) -> None:
        """End the connection."""
        self.connection.connectionLost(Failure(failure))

    def answer(self, status: int, server_id: bytes) -> None:
        """Answer the request."""
        self.connection.dataReceived(ANSWER % (status, server_id))


class TestAnswers:
    """The server answers the request for its status."""

    @pytest.mark.parametrize("status", [200, 404, 500, 503])
    def test_server_that_answers_runs(self, status: int) -> None:
        checked = CheckedServer()
        checked.accept()
        checked.answer(status, b"i-1")
        assert checked.states == [ServerState.RUNNING]

    @pytest.mark.parametrize(("status", "server_id"), [(421, b"i-1"), (200, b"i-2")])
    def test_answer_of_another_server_at_its_address(
        self, status: int, server_id: bytes
    ) -> None:
        checked = CheckedServer()
        checked.accept()
        checked.answer(status, server_id)
        assert checked.states == [ServerState.REPLACED]

    def test_server_that_sends_bytes_that_are_no_answer_runs(self) -> None:
        checked = CheckedServer()
        checked.accept()
        checked.connection.dataReceived(b"garbage\r\n\r\n")
        assert checked.states == [ServerState.RUNNING]

    def test_request_is_for_this_server_only(self) -> None:
        checked = CheckedServer()
        checked.accept()
        sent: bytes = checked.transport.value()  # type: ignore[no-untyped-call]
        assert sent.startswith(b"GET /health HTTP/1.1\r\n")
        assert b"\r\nBramleyturn-Expected-Instance: i-1\r\n" in sent


class TestSilence:
    """The server accepts a connection and does not answer."""

    @pytest.mark.parametrize("target", [TARGET, None])
    def test_busy_server_runs(self, target: str | None) -> None:
        checked = CheckedServer(target)
        checked.accept()
        checked.reactor.advance((SETTLE_MS - 1) / 1_000)
        assert checked.states == []
        checked.reactor.advance(0.002)
        assert checked.states == [ServerState.RUNNING]

    def test_connection_without_a_request_is_used_again(self) -> None:
        checked = CheckedServer(None)
        checked.accept()
        checked.reactor.advance(SETTLE_MS / 1_000)
        assert len(checked.pool.idle["i-1"]) == 1


class TestEnds:
    """The server, or the network, ends the connection or refuses it."""

    def test_refusal(self) -> None:
        checked = CheckedServer()
        checked.refuse(ConnectionRefusedError())
        assert checked.states == [ServerState.REFUSED]

    @pytest.mark.parametrize("target", [TARGET, None])
    @pytest.mark.parametrize("failure", [ConnectionDone(), ConnectionLost()])
    def test_port_that_closes_after_it_accepted_a_connection(
        self, target: str | None, failure: Exception
    ) -> None:
        checked = CheckedServer(target)
        checked.accept()
        checked.lose(failure)
        checked.refuse(ConnectionRefusedError())
        assert checked.states == [ServerState.REFUSED]

    @pytest.mark.parametrize("target", [TARGET, None])
    def test_connections_that_are_lost_again_and_again(
        self, target: str | None
    ) -> None:
        checked = CheckedServer(target)
        for _ in range(MAX_TRIES):
            checked.accept()
            checked.lose(ConnectionLost())
        assert checked.states == [ServerState.UNKNOWN]

    def test_lost_packets(self) -> None:
        checked = CheckedServer()
        checked.refuse(TimeoutError())
        checked.accept()
        checked.answer(200, b"i-1")
        assert checked.states == [ServerState.RUNNING]

    def test_server_that_cannot_be_reached(self) -> None:
        checked = CheckedServer()
        for _ in range(MAX_TRIES):
            checked.refuse(TimeoutError())
        assert checked.states == [ServerState.UNREACHABLE]
