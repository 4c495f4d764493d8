"""Simulate instances that plan stages together, in virtual time.

The instances run the real code of the messages to one another and of the owner of the
stages. Each hears the heartbeats of all others, some sooner than others.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from random import Random
from typing import Any, Final
from unittest import mock

import orjson
from twisted.internet.defer import Deferred

from bramleyturn.core.answer_end import Framing
from bramleyturn.core.catalog.model import BackendServer, BatchLimits
from bramleyturn.core.clock import Clock
from bramleyturn.core.crashes import Suspects
from bramleyturn.core.fleet.members import (
    HEARTBEAT_INTERVAL_MS,
    MemberRef,
    merge_heartbeats,
    own_heartbeat,
)
from bramleyturn.core.fleet.owners import STAGES, owner_of, owner_order
from bramleyturn.core.pieces.model import AskDone, StageAsk
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway import peer_links, stage_owner, stage_releases
from bramleyturn.gateway.calls import CallFailed, Peer, WholeAnswer
from bramleyturn.gateway.control_api import ControlApi
from bramleyturn.gateway.crash_watch import CrashWatch
from bramleyturn.gateway.http1_client import FailureReason
from bramleyturn.gateway.peer_links import PeerLinks
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.stage_asks import StageAsks
from bramleyturn.gateway.stage_owner import StageOwner
from bramleyturn.platform.settings import ServingSettings, parse_serving_settings
from bramleyturn.platform.stage_calls import RELEASE_TARGET, REPORT_TARGET
from tests.core.pieces.stage_simulation import pool_server
from tests.gateway.store_fleet import OrderedReactor
from tests.platform.test_settings import TEXT

STEP_S: Final = 0.005
LATENCY_S: Final = 0.002
# How late an acknowledgement on a slow link is.
LATE_S: Final = 0.5
POOL: Final = "books"
LIMITS: Final = BatchLimits(1, 2, 4, 100.0, 20.0, 1_000_000, 4_000)
CALL_S: Final = 0.12
RESULT_BYTES: Final = 1_000
AIM_MS: Final = 1_500
DEADLINE_MS: Final = 6_000
# Share of the servers' time that is asked for.
LOAD: Final = 0.5
WARMUP_S: Final = 1.5


class InstanceTimer:
    """Hold a call that an instance makes later, once its loop runs."""

    def __init__(
        self, instance: "Instance", delay_s: float, what: Callable[[], object]
    ) -> None:
        self.instance = instance
        self.what = what
        self.has_ended = False
        self.timer = instance.fleet.reactor.callLater(delay_s, self._run)

    def _run(self) -> None:
        instance = self.instance
        stalled_s = instance.stalled_until_s - instance.fleet.reactor.seconds()
        if self.has_ended or instance.is_dead:
            return
        if stalled_s > 0:
            self.timer = instance.fleet.reactor.callLater(stalled_s, self._run)
            return
        self.has_ended = True
        self.what()

    def active(self) -> bool:
        """Return whether the call is still to be made."""
        return not self.has_ended

    def cancel(self) -> None:
        """Do not make the call."""
        self.has_ended = True


class InstanceReactor:
    """Make the calls of one instance, whose loop may stall or end."""

    def __init__(self, instance: "Instance") -> None:
        self.instance = instance

    def seconds(self) -> float:
        """Return the virtual time."""
        return self.instance.fleet.reactor.seconds()

    def callLater(  # noqa: N802
        self, delay: float, what: Callable[..., object], *args: object
    ) -> InstanceTimer:
        """Make a call after a delay."""
        return InstanceTimer(self.instance, delay, partial(what, *args))


class Instance:
    """Hold an instance that plans stages or asks for them."""

    def __init__(self, fleet: "StageFleet", place: int, servers: int) -> None:
        settings = parse_serving_settings(TEXT, "local.conf")
        assert isinstance(settings, ServingSettings)
        self.fleet = fleet
        self.name = f"front-{place}"
        self.host = f"10.0.{place // 250}.{place % 250}"
        self.stalled_until_s = 0.0
        self.is_dead = False
        seed = settings.control._replace(host="10.0.0.0")
        settings = settings._replace(name=self.name, seeds=(seed,))
        address = f"{self.host}:{settings.internal_port}"
        me = MemberRef(self.name, f"zone-{place % 4}", address, f"{place:013d}-1")
        reactor: Any = InstanceReactor(self)
        clock = Clock(fleet.now_ms, fleet.now_ms)
        self.serving = Serving(reactor, clock, Random(place), settings, me)
        self.serving.suspects = Suspects(1_000)
        self.serving.stage_limits[POOL] = LIMITS
        ready = [
            pool_server(POOL, each)._replace(host=f"10.9.0.{each}")
            for each in range(servers)
        ]
        self.serving.ready = partial(_ready, ready)  # type: ignore[method-assign]
        crashes = CrashWatch(self.serving)
        self.links = PeerLinks(self.serving, self.receive)
        self.owner = StageOwner(self.serving, self.links, crashes)
        self.asks = StageAsks(self.serving, self.links)
        unused: Any = None
        self.api = ControlApi(self.owner, self.asks, unused)

    def receive(self, sender: str, message: dict[str, Any]) -> None:
        """Receive a message of this instance to itself."""
        self.api.receive(sender, message)

    def send_heartbeats(self) -> None:
        """Count a heartbeat, and hear those of the others, at intervals."""
        members = self.serving.members
        members.own_beats += 1
        beats = [
            own_heartbeat(each.serving.members, each.serving.freshness.revision)
            for each in self.fleet.instances
        ]
        merge_heartbeats(members, beats, self.fleet.now_ms())
        interval_s = HEARTBEAT_INTERVAL_MS / MS_PER_S
        self.serving.reactor.callLater(interval_s, self.send_heartbeats)


def _ready(servers: list[BackendServer], _pool: str) -> list[BackendServer]:
    return servers


class StageFleet:
    """Hold instances, servers of a stage, and what the servers made.

    ``calls`` has when and by whom a server was called, ``ended`` how long each ask
    took, ``late_share`` the share of late acknowledgements, and ``slow`` the
    instances whose acknowledgements, sent or received, are all late. Those that are
    ``quiet`` ask for nothing. Calls between the pairs of zones in ``cut`` are lost, and
    ``lost`` has when, and from whom to whom.
    """

    def __init__(self, size: int, servers: int = 8) -> None:
        self.reactor = OrderedReactor()
        self.random = Random(size)
        self.late_share = 0.0
        self.slow: set[str] = set()
        self.quiet: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.lost: list[tuple[float, str, str]] = []
        self.instances = [Instance(self, place, servers) for place in range(size)]
        self.by_host = {each.host: each for each in self.instances}
        self.by_pool = {
            id(pool): each
            for each in self.instances
            for pool in (each.serving.peers_pool, each.serving.servers_pool)
        }
        self.busy_until_s: dict[str, float] = {}
        stage_servers = [pool_server(POOL, each) for each in range(servers)]
        self.zone_by_server = {each.id: each.zone for each in stage_servers}
        self.calls: list[tuple[float, str]] = []
        self.made: Counter[str] = Counter()
        self.refused_calls = 0
        self.asked: dict[str, float] = {}
        self.ended: dict[str, tuple[float, AskDone]] = {}
        self.interval_s = CALL_S / (servers * LOAD)
        self.is_asking = False
        for each in self.instances:
            delay_s = self.random.uniform(0, 0.4)
            each.serving.reactor.callLater(delay_s, each.send_heartbeats)

    def now_ms(self) -> int:
        """Return the virtual time."""
        return int(self.reactor.seconds() * MS_PER_S)

    def run(self, seconds: float) -> None:
        """Let the time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)

    def owner(self) -> Instance:
        """Return the instance that owns the stages by the view of all live ones."""
        live = [each for each in self.instances if not each.is_dead]
        owner = owner_of(STAGES, [each.serving.me for each in live])
        assert owner is not None
        return next(each for each in live if each.name == owner.name)

    def owner_order(self) -> list[str]:
        """Return the instances in the order in which they own the stages."""
        members = [each.serving.me for each in self.instances]
        return [member.name for member in owner_order(STAGES, members)]

    def start_asking(self) -> None:
        """Ask for pieces at random instances from now on."""
        self.is_asking = True
        self._ask()

    def _ask(self) -> None:
        if not self.is_asking:
            return
        self.reactor.callLater(self.random.expovariate(1 / self.interval_s), self._ask)
        instance = self.random.choice(self.instances)
        is_stalled = instance.stalled_until_s > self.reactor.seconds()
        if instance.is_dead or is_stalled or instance.name in self.quiet:
            return
        now_ms = self.now_ms()
        name = f"r{len(self.asked)}"
        ask = StageAsk(
            ask_id=f"{name}.0.1",
            pool=POOL,
            attempt_id=name,
            stage=0,
            piece_count=1,
            key=name,
            inputs=(),
            result_bytes=RESULT_BYTES,
            due_ms=now_ms + AIM_MS,
            deadline_ms=now_ms + DEADLINE_MS,
            urgency=0,
            near_zone="",
            has_started=False,
            later=(),
        )
        self.asked[name] = self.reactor.seconds()
        instance.asks.ask(ask).addCallback(partial(self._ended, instance, name))

    def _ended(self, instance: Instance, name: str, done: AskDone) -> None:
        self.ended[name] = (self.reactor.seconds() - self.asked[name], done)
        instance.asks.release(POOL, done.handles, RESULT_BYTES)

    async def call(
        self,
        pool: object,
        peer: Peer,
        method: bytes,
        target: str,
        headers: object,
        body: bytes,
        timeout_ms: int,
        judge_origin: object = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> WholeAnswer | CallFailed:
        """Carry out a call of an instance, in place of ``gateway.calls.call``."""
        if not may_send():
            return CallFailed(FailureReason.NOT_CONNECTED)
        caller = self.by_pool[id(pool)]
        ended: Deferred[WholeAnswer | CallFailed] = Deferred()

        def end(answer: WholeAnswer | CallFailed) -> None:
            if not ended.called:
                timer.cancel()
                ended.callback(answer)

        later = caller.serving.reactor.callLater
        silent = CallFailed(FailureReason.SILENT)
        timer = later(timeout_ms / MS_PER_S, end, silent)
        receiver = self.by_host.get(peer.host)
        if self._is_cut(caller, peer, receiver):
            self.lost.append((self.reactor.seconds(), caller.name, peer.name))
        elif receiver is not None:
            arrive = partial(self._deliver, caller, receiver, body, end)
            receiver.serving.reactor.callLater(LATENCY_S, arrive)
        else:
            took_s, answer = self._serve(caller, peer, target, body)
            later(took_s + 2 * LATENCY_S, end, answer)
        return await ended

    def _is_cut(self, caller: Instance, peer: Peer, receiver: Instance | None) -> bool:
        """Return whether calls from an instance to another or a server are lost."""
        zone = receiver.serving.me.zone if receiver else self.zone_by_server[peer.name]
        return frozenset((caller.serving.me.zone, zone)) in self.cut

    def _deliver(
        self,
        caller: Instance,
        receiver: Instance,
        body: bytes,
        end: Callable[[WholeAnswer | CallFailed], None],
    ) -> None:
        is_slow = not self.slow.isdisjoint((caller.name, receiver.name))
        is_late = is_slow or self.random.random() < self.late_share
        delay_s = LATENCY_S + (LATE_S if is_late else 0.0)

        class Exchange:
            target = peer_links.MESSAGES_TARGET.encode()

            def answer(self, status: int, _headers: object, data: bytes) -> None:
                whole = WholeAnswer(status, [], data, Framing.LENGTH)
                caller.serving.reactor.callLater(delay_s, end, whole)

        exchange: Any = Exchange()
        exchange.body = body
        receiver.api.handle(exchange)

    def _serve(
        self, caller: Instance, peer: Peer, target: str, body: bytes
    ) -> tuple[float, WholeAnswer]:
        """Return the answer of a server, and how long it takes."""
        if target == REPORT_TARGET:
            return 0.0, _answer({"freeMb": 1})
        if target == RELEASE_TARGET:
            return 0.0, _answer({})
        now_s = self.reactor.seconds()
        self.calls.append((now_s, caller.name))
        if self.busy_until_s.get(peer.name, 0.0) > now_s:
            self.refused_calls += 1
            not_run = [(b"bramleyturn-not-executed", b"1")]
            return 0.0, WholeAnswer(503, not_run, b"", Framing.LENGTH)
        self.busy_until_s[peer.name] = now_s + CALL_S
        items = orjson.loads(body)["items"]
        self.made.update(item["id"] for item in items)
        handles = [{"handle": f"{peer.host}:{peer.port}/{i['id']}"} for i in items]
        return CALL_S, _answer({"items": handles})

    def planners(self, from_s: float, until_s: float) -> set[str]:
        """Return the instances that called servers within some time."""
        return {name for at_s, name in self.calls if from_s <= at_s < until_s}

    def made_again(self) -> int:
        """Return how many pieces were made for nothing, as they were made before."""
        return sum(count - 1 for count in self.made.values())


def _answer(document: dict[str, Any]) -> WholeAnswer:
    return WholeAnswer(200, [], orjson.dumps(document), Framing.LENGTH)


@contextmanager
def running_stages(size: int, servers: int = 8) -> Iterator[StageFleet]:
    """Run instances that know each other and ask for stages."""
    fleet = StageFleet(size, servers)
    with (
        mock.patch.object(peer_links, "call", fleet.call),
        mock.patch.object(stage_owner, "call", fleet.call),
        mock.patch.object(stage_releases, "call", fleet.call),
    ):
        fleet.run(WARMUP_S)
        fleet.start_asking()
        fleet.run(1.0)
        yield fleet
