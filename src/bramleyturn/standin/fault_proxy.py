"""Relay TCP connections, and delay, cut, hold or drop their data on request."""

from collections import deque
from typing import Any, Final, TypedDict

from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.internet.tcp import Port
from twisted.python.failure import Failure

from bramleyturn.core.clock import Clock
from bramleyturn.runtime.timers import stop_timer
from bramleyturn.standin.link_behaviour import LinkBehaviour, Mode
from bramleyturn.standin.ports import listen, port_number, stop_listening
from bramleyturn.standin.settings import Listen

PENDING_LIMIT_BYTES: Final = 1 << 20
CONNECT_TIMEOUT_S: Final = 10


class LinkCounts(TypedDict):
    """Count connections and bytes of a link since it was opened."""

    accepted: int
    connect_failed: int
    cut: int
    bytes_to_client: int
    bytes_to_server: int
    dropped_bytes: int


class Link:
    """Hold one listening address, its target and its open connections."""

    def __init__(
        self, name: str, target: Listen, reactor: PosixReactorBase, clock: Clock
    ) -> None:
        self.name = name
        self.target = target
        self.reactor = reactor
        self.clock = clock
        self.behaviour = LinkBehaviour()
        self.port: Port | None = None
        self.address = Listen("", 0)
        self.relays: set[Relay] = set()
        self.counts = LinkCounts(
            accepted=0,
            connect_failed=0,
            cut=0,
            bytes_to_client=0,
            bytes_to_server=0,
            dropped_bytes=0,
        )


class Relay:
    """Hold one accepted connection and the one to the target."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.connecting = False
        self.client = Side(self, to_server=True)
        self.server = Side(self, to_server=False)


class Side(Protocol):
    """Read one side of a relay and forward the data to the other side."""

    transport: Any

    def __init__(self, relay: Relay, to_server: bool) -> None:
        self.relay = relay
        self.to_server = to_server
        self.open = False
        self.pause_reasons: set[str] = set()
        self.pending: deque[tuple[int, bytes | None]] = deque()
        self.pending_bytes = 0
        self.forwarded_bytes = 0
        self.timer: Any = None

    @property
    def other(self) -> "Side":
        """Return the opposite side."""
        return self.relay.server if self.to_server else self.relay.client

    def connectionMade(self) -> None:  # noqa: N802
        """Mark this side as open and start to relay data."""
        self.open = True
        self.transport.setTcpNoDelay(True)
        # The other side stops reading while this side's write buffer is full.
        self.transport.registerProducer(Producer(self.other), True)
        if self.relay.link.behaviour.mode == Mode.BLACKHOLE:
            self.pause_reasons.add("mode")
        if self.pause_reasons:
            self.transport.pauseProducing()
        if not self.to_server:
            _start_relaying(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward ``data`` after the link's delay."""
        enqueue(self, data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Close the other side once all data read before is forwarded."""
        self.open = False
        mode = self.relay.link.behaviour.mode
        if mode == Mode.HALF_OPEN and not self.to_server and self.other.open:
            return
        enqueue(self, None)


class Producer:
    """Pause and resume reading from one side for Twisted's flow control."""

    def __init__(self, side: Side) -> None:
        self.side = side

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading."""
        pause(self.side, "full")

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading."""
        resume(self.side, "full")

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the side closes by itself."""


class AcceptingFactory(Factory[Any]):
    """Create a relay for each accepted connection."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: Any) -> Side | None:  # noqa: N802
        """Return the client side of a new relay; None closes the connection."""
        link = self.link
        link.counts["accepted"] += 1
        if link.behaviour.mode == Mode.CUT:
            link.counts["cut"] += 1
            return None
        relay = Relay(link)
        link.relays.add(relay)
        if link.behaviour.mode != Mode.HALF_OPEN:
            relay.client.pause_reasons.add("connecting")
            _connect(relay)
        return relay.client


class ConnectingFactory(ClientFactory):
    """Attach the connection to the target to its relay."""

    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        """Return the server side of the relay."""
        return self.relay.server

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Close the client side."""
        self.relay.link.counts["connect_failed"] += 1
        abort(self.relay)


def open_link(
    name: str, address: Listen, target: Listen, reactor: PosixReactorBase, clock: Clock
) -> Link:
    """Return a link that listens at ``address`` and forwards to ``target``."""
    link = Link(name, target, reactor, clock)
    link.port = listen(reactor, address, AcceptingFactory(link))
    link.address = Listen(address.host, port_number(link.port))
    return link


def set_behaviour(link: Link, behaviour: LinkBehaviour) -> None:
    """Apply ``behaviour``, also to open connections."""
    old_behaviour = link.behaviour
    link.behaviour = behaviour
    _set_listening(link, behaviour.mode != Mode.REFUSE)
    for relay in list(link.relays):
        relay.client.forwarded_bytes = 0
        relay.server.forwarded_bytes = 0
        _set_mode(relay, old_behaviour.mode, behaviour.mode)


def describe_link(link: Link) -> dict[str, Any]:
    """Return the address, the behaviour and the counters of ``link``."""
    return {
        "address": f"{link.address.host}:{link.address.port}",
        "target": f"{link.target.host}:{link.target.port}",
        **link.behaviour._asdict(),
        "open": len(link.relays),
        "counts": link.counts,
    }


def pause(side: Side, reason: str) -> None:
    """Stop reading from ``side`` until ``reason`` is removed."""
    side.pause_reasons.add(reason)
    if side.open:
        side.transport.pauseProducing()


def resume(side: Side, reason: str) -> None:
    """Remove ``reason`` and read from ``side`` again, unless other reasons remain."""
    side.pause_reasons.discard(reason)
    if side.open and not side.pause_reasons:
        side.transport.resumeProducing()


def abort(relay: Relay) -> None:
    """Close both sides at once."""
    relay.link.relays.discard(relay)
    for side in (relay.client, relay.server):
        _stop_timer(side)
        side.pending.clear()
        if side.open:
            side.transport.abortConnection()


def enqueue(side: Side, data: bytes | None) -> None:
    """Forward ``data`` after the link's delay; None closes the other side."""
    link = side.relay.link
    due_ms = link.clock.monotonic_ms() + link.behaviour.delay_ms
    if side.pending:
        due_ms = max(due_ms, side.pending[-1][0])
    side.pending.append((due_ms, data))
    side.pending_bytes += len(data or b"")
    if side.pending_bytes > PENDING_LIMIT_BYTES:
        pause(side, "pending")
    if side.timer is None:
        _forward_due(side)


def _forward_due(side: Side) -> None:
    """Forward the data that is due and schedule a timer for the rest."""
    side.timer = None
    link = side.relay.link
    while side.pending and link.behaviour.mode != Mode.BLACKHOLE:
        due_ms, data = side.pending[0]
        wait_ms = due_ms - link.clock.monotonic_ms()
        if wait_ms > 0:
            side.timer = link.reactor.callLater(wait_ms / 1000, _forward_due, side)
            return
        side.pending.popleft()
        side.pending_bytes -= len(data or b"")
        _deliver(side, data)
    resume(side, "pending")


def _deliver(side: Side, data: bytes | None) -> None:
    link = side.relay.link
    if data is None:
        _close(side)
        return
    limit = _cut_limit(side)
    if 0 <= limit <= side.forwarded_bytes + len(data):
        _forward(side, data[: limit - side.forwarded_bytes])
        _cut(side)
        return
    if not side.to_server and link.behaviour.drop_answers:
        link.counts["dropped_bytes"] += len(data)
        return
    _forward(side, data)


def _forward(side: Side, data: bytes) -> None:
    link = side.relay.link
    side.forwarded_bytes += len(data)
    if not side.other.open:
        link.counts["dropped_bytes"] += len(data)
        return
    link.counts["bytes_to_server" if side.to_server else "bytes_to_client"] += len(data)
    side.other.transport.write(data)


def _cut_limit(side: Side) -> int:
    behaviour = side.relay.link.behaviour
    if side.to_server:
        return behaviour.cut_after_bytes_to_server
    return behaviour.cut_after_bytes_to_client


def _cut(side: Side) -> None:
    """Close both sides; the other side first flushes what was written to it."""
    link = side.relay.link
    link.counts["cut"] += 1
    behaviour = link.behaviour
    if behaviour.cuts_left > 0:
        link.behaviour = behaviour._replace(cuts_left=behaviour.cuts_left - 1)
    if link.behaviour.cuts_left == 0:
        link.behaviour = link.behaviour._replace(
            cut_after_bytes_to_client=-1, cut_after_bytes_to_server=-1, cuts_left=-1
        )
    side.pending.clear()
    side.pending_bytes = 0
    _close(side)
    if side.open:
        side.transport.abortConnection()


def _close(side: Side) -> None:
    """Close the other side after flushing what was written to it."""
    side.relay.link.relays.discard(side.relay)
    if side.other.open:
        side.other.transport.unregisterProducer()
        side.other.transport.loseConnection()


def _start_relaying(server: Side) -> None:
    """Start reading from the client side, or abort if the relay was closed."""
    if server.relay in server.relay.link.relays:
        resume(server.other, "connecting")
    else:
        server.transport.abortConnection()


def _connect(relay: Relay) -> None:
    """Connect to the target, unless connected already or in blackhole mode."""
    if relay.connecting or relay.link.behaviour.mode == Mode.BLACKHOLE:
        return
    relay.connecting = True
    target = relay.link.target
    relay.link.reactor.connectTCP(
        target.host, target.port, ConnectingFactory(relay), CONNECT_TIMEOUT_S
    )


def _set_listening(link: Link, wanted: bool) -> None:
    if wanted and link.port is None:
        link.port = listen(link.reactor, link.address, AcceptingFactory(link))
    elif not wanted and link.port is not None:
        stop_listening(link.port)
        link.port = None


def _set_mode(relay: Relay, old_mode: Mode, mode: Mode) -> None:
    """Switch an open relay to ``mode``."""
    if mode == Mode.CUT:
        relay.link.counts["cut"] += 1
        abort(relay)
        return
    for side in (relay.client, relay.server):
        _hold_or_release(side, mode == Mode.BLACKHOLE)
    if mode == Mode.HALF_OPEN and relay.server.open:
        relay.server.transport.abortConnection()
    elif old_mode == Mode.HALF_OPEN and mode != Mode.HALF_OPEN:
        abort(relay)
    elif mode == Mode.PASS:
        _connect(relay)


def _hold_or_release(side: Side, hold: bool) -> None:
    if hold:
        pause(side, "mode")
        return
    resume(side, "mode")
    if side.timer is None:
        _forward_due(side)


def _stop_timer(side: Side) -> None:
    stop_timer(side.timer)
    side.timer = None
