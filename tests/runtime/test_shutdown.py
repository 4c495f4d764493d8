"""Tests of closing a server."""

from typing import Any

from bramleyturn.runtime.http_server import OpenServer
from bramleyturn.runtime.shutdown import accept_waiting


class FakeSite:
    def __init__(self) -> None:
        self.connections = 2


class FakePort:
    """Accept one waiting connection at each reading, as a busy port does."""

    def __init__(self, site: FakeSite, waiting: int) -> None:
        self.site = site
        self.waiting = waiting

    def doRead(self) -> None:  # noqa: N802
        if self.waiting:
            self.waiting -= 1
            self.site.connections += 1


class TestAcceptWaiting:
    def test_takes_every_connection_that_waits(self) -> None:
        site: Any = FakeSite()
        port = FakePort(site, waiting=5)
        accept_waiting(OpenServer("127.0.0.1:1", port, site))
        assert (port.waiting, site.connections) == (0, 7)
