"""Test what several instances send to the cold servers of a stage."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Any, Final

import pytest
from twisted.internet.defer import Deferred

from bramleyturn.core.catalog.limits import DEFAULT_CALLER_LIMITS
from bramleyturn.core.catalog.model import Pool, PublishedConfiguration, run_name
from bramleyturn.core.catalog.server_registry import register
from bramleyturn.core.coldstart.cold_runs import note_remaining
from bramleyturn.core.coldstart.turns import Turn
from bramleyturn.core.fleet.store_revision import StoreRevision
from tests.gateway.stage_fleet import LIMITS, POOL, StageFleet, running_stages

MOST: Final = 13.85
SERVERS: Final = 4
COLD_MS: Final = 60_000
ASK_INTERVAL_S: Final = 0.02


class ColdFleet:
    """Hold the instances, all of whose servers are cold, and when those were called."""

    def __init__(self, fleet: StageFleet) -> None:
        self.fleet = fleet
        self.calls_ms: dict[str, list[int]] = defaultdict(list)
        self.turns: list[Turn] = []
        self.is_chilled = False
        serve = fleet._serve

        def record(caller: Any, peer: Any, target: str, body: bytes) -> Any:
            self.calls_ms[peer.name].append(fleet.now_ms())
            return serve(caller, peer, target, body)

        fleet._serve = record  # type: ignore[method-assign]
        pool = Pool(POOL, LIMITS, None, 3_000, 5.9)
        published = PublishedConfiguration(
            1, (), {POOL: pool}, DEFAULT_CALLER_LIMITS, ()
        )
        for each in fleet.instances:
            serving = each.serving
            bounds = serving.settings.bounds._replace(cold_overage=1.5, cold_slack=5.0)
            serving.settings = serving.settings._replace(bounds=bounds)
            serving.published = published
            for server in serving.ready(POOL):
                register(serving.registry, server, StoreRevision(0, 1))
            each.asks.cold_turns.check_owner()
        fleet.run(1.5)

    def chill(self) -> None:
        """Let all servers become cold, for all instances."""
        self.calls_ms.clear()
        for each in self.fleet.instances:
            for server in each.serving.ready(POOL):
                runs = each.serving.cold_runs
                note_remaining(runs, run_name(server), COLD_MS, self.fleet.now_ms())

    def ask(self) -> None:
        """Ask for a turn at random instances, at intervals."""
        self.fleet.reactor.callLater(ASK_INTERVAL_S, self.ask)
        instance = self.fleet.random.choice(self.fleet.instances)
        if instance.is_dead:
            return
        turns, servers = instance.asks.cold_turns, instance.serving.ready(POOL)

        def note(turn: Turn | int) -> None:
            if isinstance(turn, Turn):
                self.turns.append(turn)
                self.calls_ms[turn.run.partition("@")[0]].append(turn.from_ms)

        Deferred.fromCoroutine(turns.take("a1", servers, 100)).addCallback(note)


@pytest.fixture
def cold() -> Iterator[ColdFleet]:
    """Return instances that ask for stages of servers that turn cold."""
    with running_stages(14, SERVERS) as fleet:
        yield ColdFleet(fleet)


def most_in_a_second(times_ms: list[int]) -> int:
    """Return the most requests in any second."""
    return max(sum(0 <= at - first <= 1_000 for at in times_ms) for first in times_ms)


class TestColdStages:
    """Stage calls, reports and turns of callers' requests at the same servers."""

    def test_calls_and_turns_together_stay_within_the_bound(
        self, cold: ColdFleet
    ) -> None:
        """Calls of the owner came on top of the turns that it granted."""
        cold.chill()
        cold.ask()
        cold.fleet.run(4.0)
        assert len(cold.calls_ms) == SERVERS
        assert cold.turns
        assert len(cold.fleet.calls) > 0
        most = {name: most_in_a_second(each) for name, each in cold.calls_ms.items()}
        print(most, len(cold.turns))
        # The rest is for a second owner.
        assert max(most.values()) <= MOST / 2

    def test_change_of_owner_stays_within_the_bound(self, cold: ColdFleet) -> None:
        """Two owners of the stages called the same servers for a while."""
        cold.chill()
        cold.ask()
        cold.fleet.run(2.0)
        cold.fleet.owner().is_dead = True
        before = len(cold.turns)
        cold.fleet.run(5.0)
        most = {name: most_in_a_second(each) for name, each in cold.calls_ms.items()}
        print(most, before, len(cold.turns))
        assert max(most.values()) <= MOST
        # The next owner goes on.
        assert len(cold.turns) > before
