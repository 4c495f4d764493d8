"""Test closing a listening port."""

import errno
import select
import socket
from collections.abc import Iterator
from typing import Any, Final

import pytest
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from bramleyturn.runtime.listening_port import accept_waiting, close_port

# A dropped attempt to connect is repeated after a second.
CONNECT_LIMIT_S: Final = 5.0


class FakeSite:
    def __init__(self) -> None:
        self.connections = 2


class FakePort:
    """Accept one pending connection at each ``doRead``, as a busy port does."""

    def __init__(self, site: FakeSite, waiting: int) -> None:
        self.site = site
        self.waiting = waiting
        self.is_closed = False
        self.socket = socket.socket()

    def stopReading(self) -> None:  # noqa: N802
        """Do nothing: this port reads only on ``doRead``."""

    def connectionLost(self, _reason: object) -> None:  # noqa: N802
        self.is_closed = True
        self.socket.close()

    def doRead(self) -> None:  # noqa: N802
        if self.waiting:
            self.waiting -= 1
            self.site.connections += 1


class TestClosePort:
    def test_accepts_pending_connections_and_closes_at_once(self) -> None:
        site = FakeSite()
        port = FakePort(site, waiting=1)
        close_port(port, lambda: site.connections)
        assert (port.waiting, port.is_closed) == (0, True)


class TestAcceptWaiting:
    def test_accepts_every_pending_connection(self) -> None:
        site = FakeSite()
        port = FakePort(site, waiting=5)
        accept_waiting(port, lambda: site.connections)
        assert (port.waiting, site.connections) == (0, 7)


class RealPort:
    """Hold a port of the reactor, and the number of connections that it accepted."""

    def __init__(self) -> None:
        loop: Any = reactor
        self.accepted = 0
        self.port = loop.listenTCP(
            0, Factory.forProtocol(self._connection), interface="127.0.0.1"
        )
        self.address = ("127.0.0.1", self.port.getHost().port)
        self.opened: list[socket.socket] = []

    def _connection(self) -> Protocol:
        self.accepted += 1
        return Protocol()

    def open_caller(self) -> None:
        """Begin to connect."""
        caller = socket.socket()
        caller.setblocking(False)
        assert caller.connect_ex(self.address) == errno.EINPROGRESS
        self.opened.append(caller)

    def connect_errors(self) -> list[int]:
        """Wait until every attempt to connect has ended; return their errors."""
        for caller in self.opened:
            assert select.select([], [caller], [], CONNECT_LIMIT_S)[1], "no end"
        return [
            caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            for caller in self.opened
        ]


@pytest.fixture
def real() -> Iterator[RealPort]:
    """Open a port of the reactor, which does not run."""
    real = RealPort()
    yield real
    for caller in real.opened:
        caller.close()


class TestConnectionsDuringAClose:
    def test_connection_opened_after_the_last_accept_is_refused_and_not_reset(
        self, real: RealPort
    ) -> None:
        stop_reading = real.port.stopReading

        def connect_late() -> None:
            real.open_caller()
            stop_reading()

        real.port.stopReading = connect_late
        close_port(real.port, lambda: real.accepted)
        assert set(real.connect_errors()) == {errno.ECONNREFUSED}

    def test_connections_opened_before_are_accepted(self, real: RealPort) -> None:
        for _ in range(3):
            real.open_caller()
        assert real.connect_errors() == [0, 0, 0]
        close_port(real.port, lambda: real.accepted)
        assert real.accepted == 3
