"""Run one instance's requests in virtual time, before servers that a test simulates.

The instance has the real code from a caller's connection to those to the servers.
"""

from collections.abc import Sequence
from random import Random
from typing import Any, Final

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from bramleyturn.core.catalog.limits import DEFAULT_CALLER_LIMITS
from bramleyturn.core.catalog.model import (
    BackendServer,
    BatchLimits,
    Pool,
    PublishedConfiguration,
    Route,
    RouteKind,
    WeightedPool,
)
from bramleyturn.core.catalog.server_registry import register
from bramleyturn.core.clock import Clock
from bramleyturn.core.fleet.members import MemberRef
from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.crash_watch import CrashWatch
from bramleyturn.gateway.http1_server import CallerConnection, HttpServer
from bramleyturn.gateway.peer_links import PeerLinks
from bramleyturn.gateway.request_flow import RequestFlow
from bramleyturn.gateway.serving import Serving, apply_configuration
from bramleyturn.gateway.stage_asks import StageAsks
from bramleyturn.gateway.stage_owner import StageOwner
from bramleyturn.platform.settings import ServingSettings, parse_serving_settings
from tests.gateway.wire import WireTransport
from tests.platform.test_settings import TEXT

POOL: Final = "desk"
BORN_MS: Final = 1_700_000_000_000
SIGNATURE: Final = b"Bramleyturn-Response-Signature: signed\r\n"
STEP_S: Final = 0.005


def plain_route(kind: RouteKind, **changes: Any) -> Route:
    """Return a route without stages to the only pool."""
    route = Route(
        name="orders",
        host="site.example",
        prefix="/",
        kind=kind,
        timeout_ms=8_000,
        aim_ms=100,
        priority=1,
        targets=(WeightedPool(POOL, 1.0),),
        max_attempts=2,
        stages=(),
        is_public=True,
        uses_prefix_affinity=False,
        is_resumable=False,
    )
    return route._replace(**changes)


def server(name: str, **changes: Any) -> BackendServer:
    """Return a registered server of the only pool."""
    found = BackendServer(
        name, POOL, "10.0.0.1", 80, "north", "1", 6, False, 0, BORN_MS
    )
    return found._replace(**changes)


class Caller:
    """Hold a caller's connection and what it received."""

    def __init__(self, entry: "OneEntry") -> None:
        self.transport: Any = WireTransport()  # type: ignore[no-untyped-call]
        self.connection = CallerConnection(entry.front)
        self.connection.makeConnection(self.transport)  # type: ignore[no-untyped-call]

    def send(
        self,
        attempt_id: str = "a1",
        wait_ms: int = 1_000,
        method: str = "POST",
        fields: Sequence[str] = (),
        path: str = "",
    ) -> None:
        """Send a request without a body."""
        lines = [
            f"{method} {path}/1 HTTP/1.1",
            "Host: site.example",
            f"Bramleyturn-Attempt-Id: {attempt_id}",
            f"Bramleyturn-Deadline-Ms: {wait_ms}",
            *fields,
        ]
        self.connection.dataReceived("\r\n".join([*lines, "", ""]).encode())

    def lose(self) -> None:
        """Close the connection."""
        self.connection.connectionLost(Failure(ConnectionDone()))

    def received(self) -> bytes:
        """Return all bytes received."""
        value: bytes = self.transport.value()
        return value

    def status(self) -> int:
        """Return the status of the first answer, 0 if there is none."""
        received = self.received()
        return int(received.split(b" ", 2)[1]) if received else 0

    def is_whole(self) -> bool:
        """Return whether an answer in chunks has ended."""
        return self.received().endswith(b"0\r\n\r\n")


class CalledServer:
    """Hold a connection that the instance opened to a server."""

    def __init__(self, factory: Any) -> None:
        self.transport: Any = WireTransport()  # type: ignore[no-untyped-call]
        self.connection: Any = factory.buildProtocol(None)
        self.connection.makeConnection(self.transport)

    def received(self) -> bytes:
        """Return all bytes received."""
        value: bytes = self.transport.value()
        return value

    def answer(self, data: bytes) -> None:
        """Send bytes."""
        self.connection.dataReceived(data)

    def close(self) -> None:
        """Close the connection cleanly."""
        self.connection.connectionLost(Failure(ConnectionDone()))

    def reset(self) -> None:
        """Reset the connection."""
        self.connection.connectionLost(Failure(ConnectionLost()))


class OneEntry:
    """Hold an instance, and the servers that it knows."""

    def __init__(
        self,
        routes: Sequence[Route],
        servers: Sequence[BackendServer],
        status_target: str | None = "/health",
        batch: BatchLimits | None = None,
    ) -> None:
        settings = parse_serving_settings(TEXT, "local.conf")
        assert isinstance(settings, ServingSettings)
        self.reactor: Any = MemoryReactorClock()
        me = MemberRef("front-1", "north", "10.0.0.9:7740", "1-1")
        clock = Clock(self.now_ms, self.now_ms)
        self.serving = Serving(self.reactor, clock, Random(1), settings, me)
        crashes = CrashWatch(self.serving)
        links = PeerLinks(self.serving, lambda *_: None)
        self.owner = StageOwner(self.serving, links, crashes)
        asks = StageAsks(self.serving, links)
        self.flow = RequestFlow(self.serving, asks, crashes)
        self.front = HttpServer(
            self.reactor, self.now_ms, self.serving.limits, self.flow.handle
        )
        self.front.unread = self.serving.unread
        pools = {each.pool: Pool(each.pool, batch, status_target) for each in servers}
        published = PublishedConfiguration(
            1, tuple(routes), pools, DEFAULT_CALLER_LIMITS, ()
        )
        revision = StoreRevision(0, 1)
        apply_configuration(self.serving, published, revision)
        for each in servers:
            register(self.serving.registry, each, revision)

    def now_ms(self) -> int:
        """Return the virtual time."""
        return int(self.reactor.seconds() * MS_PER_S)

    def run(self, ms: int) -> None:
        """Let time pass."""
        end_s = self.reactor.seconds() + ms / MS_PER_S
        while self.reactor.seconds() < end_s:
            self.reactor.advance(min(STEP_S, end_s - self.reactor.seconds()))

    def is_connecting(self) -> bool:
        """Return whether the instance tries to open a connection."""
        return bool(self.reactor.tcpClients)

    def accept(self) -> CalledServer:
        """Accept the connection that the instance opens."""
        return CalledServer(self.reactor.tcpClients.pop(0)[2])

    def accept_all(self) -> list[CalledServer]:
        """Accept every connection that the instance opens."""
        accepted = []
        while self.is_connecting():
            accepted.append(self.accept())
        return accepted

    def refuse(self, error: Exception) -> None:
        """Fail the attempt to connect."""
        factory = self.reactor.tcpClients.pop(0)[2]
        factory.clientConnectionFailed(None, Failure(error))
