"""Test many instances over random writes, cuts and returns of the store."""

import contextlib
from collections.abc import Callable, Iterator
from random import Random

import pytest

from bramleyturn.core.catalog.server_registry import CONFIRM_MS
from bramleyturn.standin.site.store import take_copy
from tests.gateway.store_fleet import Instance, StoreFleet, deregister, register

SEEDS = 40
# Seeds that once found a fault, with its cause.
REGRESSIONS = (
    # A removal that an instance had learned from a list of all items was not passed on.
    215,
    235,
    634,
    # Changes since a revision of one era were taken for those of the next.
    917,
    # A list of all items that arrived late was applied over a newer one.
    206,
    1013,
)
# Two instances of each of two zones, and some that could not wait for them.
MOST_WHOLE_READS = 12
INSTANCES = 5
EVENTS = 40
# Live servers write their entries again, and the others' expire, within these times.
REWRITE_S = (0.2, 2.0)
EXPIRY_S = 3.6
CONFIGURATION_BOUND_S = 2.0
# The bound holds again this long after the store was away.
CONTACT_S = 3.0
# All entries are confirmed, all lapsed ones dropped, and their relays done.
SETTLED_S = CONFIRM_MS / 1_000 + 4.0

Run = tuple[str, int]


class World:
    """Hold what is true: which runs of servers live, and which are leaving."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.fleet = StoreFleet(seed, INSTANCES)
        self.states: dict[Run, str] = {}
        self.born_ms = 1_000
        self.has_copy = False
        # Runs that are dead or leaving and that an instance has stopped using.
        self.left: dict[Instance, set[Run]] = {
            each: set() for each in self.fleet.instances
        }
        self.versions = dict.fromkeys(self.fleet.instances, 0)

    def start_server(self, server_id: str = "") -> None:
        """Start a server, maybe with the id of an earlier one."""
        self.born_ms += 7
        run = (server_id or f"s{self.born_ms}", self.born_ms)
        self.states[run] = "ready"
        self.write(run)

    def write(self, run: Run) -> None:
        """Let a server write its entry, unless it is dead by now."""
        if run in self.states:
            register(self.fleet, *run, self.states[run])

    def leave(self, run: Run) -> None:
        """Let a server announce that it leaves, and end."""
        self.states[run] = "draining"
        self.write(run)
        self.fleet.reactor.callLater(3.0, self.end, run)

    def end(self, run: Run) -> None:
        """End a server and remove its entry."""
        if self.states.pop(run, None) is not None:
            deregister(self.fleet, run[0])

    def crash(self, run: Run) -> None:
        """End a server without a word; its entry expires."""
        self.states.pop(run, None)
        self.fleet.reactor.callLater(EXPIRY_S, self.expire)

    def expire(self) -> None:
        """Remove the entries of servers that are dead."""
        live = {f"servers/{server_id}" for server_id, _ in self.states}
        for key in sorted(self.fleet.store.items.keys() - live - {"op/config"}):
            deregister(self.fleet, key.removeprefix("servers/"))

    def come_back(self) -> None:
        """Let the store come back from its copy; what lives is written again."""
        reactor = self.fleet.reactor
        self.fleet.come_back()
        for run in self.states:
            reactor.callLater(self.random.uniform(*REWRITE_S), self.write, run)
        reactor.callLater(EXPIRY_S, self.expire)
        reactor.callLater(self.random.uniform(0.1, 3.0), self.fleet.configure)

    def silence_store(self) -> None:
        """Let the store be away for a while."""
        self.fleet.store.is_silent = True
        away_s = self.random.uniform(0.1, 4.0)
        self.fleet.reactor.callLater(away_s, self.heal_store)

    def heal_store(self) -> None:
        """Let the store answer again."""
        self.fleet.store.is_silent = False

    def cut(self) -> None:
        """Cut an instance off from the store, and maybe from the others too."""
        instance = self.random.choice(self.fleet.instances)
        instance.reaches_store = False
        instance.reaches_others = self.random.random() < 0.5
        away_s = self.random.uniform(0.1, 6.0)
        self.fleet.reactor.callLater(away_s, self.heal, instance)

    def heal(self, instance: Instance) -> None:
        """Connect an instance again."""
        instance.reaches_store = instance.reaches_others = True

    def copy(self) -> None:
        """Take the copy that the store may come back from."""
        self.has_copy = True
        take_copy(self.fleet.store)

    def draw(self) -> None:
        """Let something happen."""
        ready = [run for run, state in self.states.items() if state == "ready"]
        actions: list[Callable[[], None]] = [
            self.fleet.configure,
            self.start_server,
            self.copy,
            self.silence_store,
            self.cut,
        ]
        if len(ready) > 2:
            run = self.random.choice(ready)
            actions += [lambda: self.leave(run), lambda: self.crash(run)]
            actions += [lambda: self.restart(run)]
        if self.has_copy:
            actions += [self.come_back] * 2
        self.random.choice(actions)()

    def restart(self, run: Run) -> None:
        """Start a server again under its id."""
        self.states.pop(run)
        self.start_server(run[0])

    def check(self) -> None:
        """Check that no belief goes back."""
        gone = {run for run, state in self.states.items() if state != "ready"}
        for instance in self.fleet.instances:
            version = instance.version()
            assert version >= self.versions[instance]
            self.versions[instance] = version
            ready = instance.ready()
            left = self.left[instance]
            assert not ready & left, (instance.serving.me.name, ready & left)
            known = {run for run in left if run in self.states}
            left -= {run for run in known if self.states[run] == "ready"}
            entries = instance.serving.registry.entries.values()
            learned = {
                (each.server.id, each.server.started_ms)
                for each in entries
                if each.server.is_leaving
            }
            left |= learned & gone


@pytest.fixture
def make_world() -> Iterator[Callable[[int], World]]:
    """Return a function that makes a world whose calls are simulated."""
    with contextlib.ExitStack() as stack:

        def make(seed: int) -> World:
            world = World(seed)
            for patch in world.fleet.running():
                stack.enter_context(patch)
            world.fleet.configure()
            for _ in range(4):
                world.start_server()
            for instance in world.fleet.instances:
                instance.start()
            return world

        yield make


class TestRandomReturns:
    """After the last return all instances agree with the store."""

    @pytest.mark.parametrize("seed", [*range(SEEDS), *REGRESSIONS])
    def test_instances_end_on_what_the_store_holds(
        self, make_world: Callable[[int], World], seed: int
    ) -> None:
        world = make_world(seed)
        fleet = world.fleet
        for _ in fleet.advance(1.0):
            pass
        for _ in range(EVENTS):
            world.draw()
            for _ in fleet.advance(world.random.uniform(0.02, 1.0)):
                world.check()
        if world.has_copy:
            world.come_back()
        world.heal_store()
        for instance in fleet.instances:
            world.heal(instance)
        for _ in fleet.advance(4.0):
            world.check()
        fleet.configure()
        for _ in fleet.advance(CONFIGURATION_BOUND_S):
            world.check()
        assert [each.version() for each in fleet.instances] == [
            fleet.version
        ] * INSTANCES
        for _ in fleet.advance(SETTLED_S):
            world.check()
        stored = fleet.stored_servers()
        assert stored == {run for run, each in world.states.items() if each == "ready"}
        for instance in fleet.instances:
            assert instance.ready() == stored, instance.serving.me.name


class TestCalls:
    """A return makes no herd of calls to the store."""

    @pytest.mark.parametrize(("size", "away_s"), [(14, 0.0), (14, 3.0), (130, 3.0)])
    def test_few_instances_read_the_whole_store(self, size: int, away_s: float) -> None:
        fleet = StoreFleet(size, size)
        with contextlib.ExitStack() as stack:
            for patch in fleet.running():
                stack.enter_context(patch)
            fleet.configure()
            for instance in fleet.instances:
                instance.start()
            for _ in fleet.advance(4.0):
                pass
            take_copy(fleet.store)
            for _ in range(3):
                fleet.configure()
                for _ in fleet.advance(1.0):
                    pass
            fleet.store.is_silent = away_s > 0
            for _ in fleet.advance(away_s):
                pass
            fleet.store.is_silent = False
            fleet.store.reads.clear()
            fleet.come_back()
            fleet.configure()
            bound_s = CONFIGURATION_BOUND_S + (CONTACT_S if away_s else 0.0)
            for _ in fleet.advance(bound_s):
                pass
            versions = {instance.version() for instance in fleet.instances}
            assert versions == {fleet.version}
            assert fleet.store.reads["kv-range"] <= MOST_WHOLE_READS
