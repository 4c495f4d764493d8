"""Simulate instances that follow a store in virtual time, with a network between them.

The instances run the real code of the store's readers and of the heartbeats. Calls and
datagrams are delayed, lost or cut off at random.
"""

from bisect import insort
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, Final
from unittest import mock

import orjson
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as Reactor

from bramleyturn.core.answer_end import Framing
from bramleyturn.core.catalog.server_registry import ready_servers
from bramleyturn.core.clock import Clock
from bramleyturn.core.fleet.members import MemberRef
from bramleyturn.core.waiting.transfers import Transfer, note_received
from bramleyturn.gateway import store_reader, store_relay
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.calls import CallFailed, Peer, WholeAnswer
from bramleyturn.gateway.crash_watch import CrashWatch
from bramleyturn.gateway.heartbeats import Heartbeats
from bramleyturn.gateway.http1_client import FailureReason
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.store_copy import StoreCopy
from bramleyturn.gateway.store_reader import StoreReader, follow_store
from bramleyturn.gateway.store_relay import copy_from_peers, relay_document
from bramleyturn.platform.settings import ServingSettings, parse_serving_settings
from bramleyturn.standin.site.site import configuration
from bramleyturn.standin.site.store import Store, delete, put, restore, store_handler
from tests.platform.test_settings import TEXT

STEP_S: Final = 0.01
MAX_DELAY_S: Final = 0.03
LATE_DELAY_S: Final = 0.9
LATE_SHARE: Final = 0.05
LOSS_SHARE: Final = 0.02
POOL: Final = "members"
SEGMENT_BYTES: Final = 16_384


class OrderedReactor(Reactor):
    """Insert calls at their place in time, instead of sorting all for each of them.

    Calls at the same time keep their order. They can be cancelled, but not put off.
    """

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Call a function after a delay."""
        due = DelayedCall(
            self.seconds() + delay,
            callable,
            args,
            kw,
            self.calls.remove,
            lambda _: None,
            self.seconds,
        )
        insort(self.calls, due, key=DelayedCall.getTime)
        return due

    def _sortCalls(self) -> None:  # noqa: N802
        """Do nothing: the calls are in order."""


class CallToStore:
    """Stand in for the exchange of one call to the store."""

    def __init__(
        self, target: str, answer: Callable[..., None], abort: Callable[[], None]
    ) -> None:
        self.target = target.encode()
        self.connection = self
        self.answer = answer
        self.abort = abort


class Instance:
    """Hold one instance, what it may reach, and its link.

    A link of 0 bytes a second takes no time. ``received_bytes`` counts what the answers
    to and from it have.
    """

    def __init__(self, fleet: "StoreFleet", place: int) -> None:
        name = f"front-{place}"
        zone = fleet.zones[place % len(fleet.zones)]
        settings = parse_serving_settings(TEXT, "local.conf")
        assert isinstance(settings, ServingSettings)
        seeds = tuple(
            settings.control._replace(host=f"10.0.0.{each}") for each in range(3)
        )
        settings = settings._replace(name=name, zone=zone, seeds=seeds)
        reactor = fleet.reactor
        self.host = f"10.0.0.{place}"
        me = MemberRef(name, zone, f"{self.host}:{settings.internal_port}", "1")
        clock = Clock(fleet.now_ms, fleet.now_ms)
        self.fleet = fleet
        self.random = Random(fleet.random.random())
        self.serving = Serving(reactor, clock, self.random, settings, me)
        self.copy = StoreCopy(self.serving)
        self.reader = StoreReader(self.copy)
        self.heartbeats = Heartbeats(self.serving, CrashWatch(self.serving))
        self.heartbeats.transport = self  # type: ignore[assignment]
        self.copy.on_new_revision = self.heartbeats.announce_soon
        self.reaches_store = True
        self.reaches_others = True
        self.link_bytes_per_s = 0
        self.link_free_s = 0.0
        self.received_bytes = 0

    def start(self) -> None:
        """Run what an instance runs."""
        run_in_background(follow_store(self.reader), "store watch")
        run_in_background(copy_from_peers(self.copy), "store copy from instances")
        self.heartbeats.send_periodically()

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, as the transport of the heartbeats."""
        self.fleet.send(self, address[0], data)

    def transit_s(self, size_bytes: int) -> float:
        """Send bytes over the link; return when they have arrived."""
        self.received_bytes += size_bytes
        if not self.link_bytes_per_s:
            return 0.0
        now_s = self.fleet.reactor.seconds()
        begin_s = max(now_s, self.link_free_s)
        self.link_free_s = begin_s + size_bytes / self.link_bytes_per_s
        return self.link_free_s - now_s

    def version(self) -> int:
        """Return the version of the configuration in force."""
        published = self.serving.published
        return published.version if published is not None else 0

    def ready(self) -> set[tuple[str, int]]:
        """Return the runs of servers that accept new work."""
        servers = ready_servers(self.serving.registry, POOL, self.fleet.now_ms())
        return {(server.id, server.started_ms) for server in servers}


class StoreFleet:
    """Hold the store and the instances.

    Datagrams between the pairs of zones in ``cut`` are lost.
    """

    def __init__(
        self, seed: int, size: int, zones: tuple[str, ...] = ("north", "south")
    ) -> None:
        self.random = Random(seed)
        self.zones = zones
        self.cut: set[frozenset[str]] = set()
        self.reactor = OrderedReactor()
        self.store = Store(self.reactor)
        self.answer_store = store_handler(self.store)
        self.version = 0
        self.instances = [Instance(self, place) for place in range(size)]
        self.by_host = {each.host: each for each in self.instances}
        self.by_pool = {
            pool: each
            for each in self.instances
            for pool in (each.reader.pool, each.serving.peers_pool)
        }

    def now_ms(self) -> int:
        """Return the virtual time."""
        return int(self.reactor.seconds() * 1_000)

    def advance(self, seconds: float) -> Iterator[None]:
        """Let the time pass, and yield after each step."""
        for _ in range(int(seconds / STEP_S)):
            self.reactor.advance(STEP_S)
            yield

    def delay_s(self) -> float:
        """Return how long a message takes."""
        is_late = self.random.random() < LATE_SHARE
        return self.random.uniform(0.001, LATE_DELAY_S if is_late else MAX_DELAY_S)

    def send(self, sender: Instance, host: str, data: bytes) -> None:
        """Deliver a datagram, or lose it."""
        if self.random.random() < LOSS_SHARE:
            return
        receiver = self.by_host[host]

        zones = frozenset((sender.serving.me.zone, receiver.serving.me.zone))

        def deliver() -> None:
            if zones in self.cut:
                return
            if sender.reaches_others and receiver.reaches_others:
                receiver.heartbeats.datagramReceived(data, None)

        self.reactor.callLater(self.delay_s(), deliver)

    def call(
        self,
        pool: Any,
        peer: Peer,
        method: bytes,
        target: str,
        headers: Any,
        body: bytes,
        timeout_ms: int,
        gap_ms: int | None = None,
    ) -> "Deferred[WholeAnswer | CallFailed]":
        """Stand in for a call to the store or to another instance.

        An answer crosses the links of both sides, one after the other, and behind what
        each has in transit.
        """
        ended: Deferred[WholeAnswer | CallFailed] = Deferred()
        caller = self.by_pool[pool]
        transfer = Transfer(self.now_ms(), timeout_ms, gap_ms)

        def end(result: WholeAnswer | CallFailed) -> None:
            if not ended.called:
                ended.callback(result)

        def answer(status: int, fields: Any, content: bytes) -> None:
            lower = [(name.lower(), value) for name, value in fields]
            whole = WholeAnswer(status, lower, content, Framing.LENGTH)
            self.reactor.callLater(self.delay_s(), send, whole, len(content))

        def send(whole: WholeAnswer, left_bytes: int) -> None:
            other = self.by_host.get(peer.host)
            size = min(left_bytes, SEGMENT_BYTES)
            wait_s = max(each.transit_s(size) for each in (caller, other) if each)
            if size == left_bytes:
                self.reactor.callLater(wait_s, end, whole)
                return
            self.reactor.callLater(wait_s, arrived, whole, left_bytes - size)

        def arrived(whole: WholeAnswer, left_bytes: int) -> None:
            note_received(transfer, SEGMENT_BYTES, self.now_ms())
            if not ended.called:
                send(whole, left_bytes)

        def time_out() -> None:
            left_ms = transfer.give_up_ms - self.now_ms()
            if left_ms > 0:
                self.reactor.callLater(left_ms / 1_000, time_out)
            else:
                end(CallFailed(FailureReason.SILENT))

        def reset() -> None:
            failed = CallFailed(FailureReason.RESET)
            self.reactor.callLater(self.delay_s(), end, failed)

        def arrive() -> None:
            if peer.name == "store":
                if caller.reaches_store:
                    self.answer_store(CallToStore(target, answer, reset))  # type: ignore[arg-type]
                return
            other = self.by_host[peer.host]
            if caller.reaches_others and other.reaches_others:
                fields = dict(
                    each.split("=") for each in target.split("?")[1].split("&")
                )
                era = fields.get("era")
                document = relay_document(
                    other.copy,
                    int(fields["after"]),
                    None if era is None else int(era),
                    fields["held"],
                )
                answer(200, [], document)

        self.reactor.callLater(self.delay_s(), arrive)
        self.reactor.callLater(timeout_ms / 1_000, time_out)
        return ended

    def configure(self) -> None:
        """Write a newer version of the configuration."""
        self.version += 1
        put(self.store, "op/config", orjson.dumps(configuration(self.version)))

    def come_back(self) -> None:
        """Let the store come back from its copy."""
        restore(self.store)

    def stored_servers(self) -> set[tuple[str, int]]:
        """Return the runs of servers that the store has as ready."""
        found = set()
        for key, (value, _) in self.store.items.items():
            entry = orjson.loads(value)
            if key.startswith("servers/") and entry["state"] == "ready":
                found.add((key.removeprefix("servers/"), entry["born"]))
        return found

    def running(self) -> Any:
        """Return a context in which calls go through the simulated network."""
        return mock.patch.multiple(store_reader, call=self.call), mock.patch.multiple(
            store_relay, call=self.call
        )


def register(fleet: StoreFleet, server_id: str, born_ms: int, state: str) -> None:
    """Write the entry of a server."""
    entry = {
        "service": POOL,
        "address": f"10.1.0.{born_ms % 200}:80",
        "zone": "north",
        "version": "v1",
        "slots": 6,
        "state": state,
        "born": born_ms,
    }
    put(fleet.store, f"servers/{server_id}", orjson.dumps(entry))


def deregister(fleet: StoreFleet, server_id: str) -> None:
    """Remove the entry of a server."""
    if f"servers/{server_id}" in fleet.store.items:
        delete(fleet.store, f"servers/{server_id}")
