"""Replay a steady load below capacity, with nothing else happening.

Load pattern: evenly spaced requests whose calls have few pieces at times and many at
others. The estimates of the servers' pace and of the work of a piece drifted apart:
each was learned from the other. Requests were then taken for late and held back, while
servers were idle.
"""

from typing import Final

import pytest

from bramleyturn.core.pieces.pipeline import plan
from tests.core.pieces.burst_load import LIMITS, SERVERS
from tests.core.pieces.stage_simulation import StageSimulation
from tests.core.pieces.test_unused_results import evenly, is_in_time

LAST_MS: Final = 90_000
END_MS: Final = 100_000
# Of the round trip of a call, and of the rounding of times.
MAX_ERROR: Final = 0.1


@pytest.fixture(scope="class", params=[0.7, 0.8, 0.85, 0.9])
def simulation(request: pytest.FixtureRequest) -> StageSimulation:
    """Return the simulation of a part of what the servers can do."""
    simulation = StageSimulation(LIMITS, SERVERS, plan)
    return simulation.simulate(evenly(request.param, 0, LAST_MS), END_MS)


class TestSteadyLoad:
    """A load that the servers can carry for as long as it lasts."""

    def test_all_is_in_time(self, simulation: StageSimulation) -> None:
        late = [job.at_ms for job in simulation.jobs.values() if not is_in_time(job)]
        assert late == []

    def test_estimates_stay_true(self, simulation: StageSimulation) -> None:
        for planner in simulation.pipeline.planners.values():
            paces = [server.pace for server in planner.servers.values()]
            assert paces == pytest.approx([1.0] * SERVERS, abs=MAX_ERROR)


@pytest.fixture
def with_slow_servers() -> StageSimulation:
    """Return the simulation of a load with one server of each pool at half speed."""
    simulation = StageSimulation(LIMITS, SERVERS, plan)
    simulation.slow = {f"{pool}-0": 2.0 for pool in LIMITS}
    return simulation.simulate(evenly(0.6, 0, LAST_MS), END_MS)


class TestSlowServers:
    """Servers that differ in speed."""

    def test_slow_one_is_known_as_slow(
        self, with_slow_servers: StageSimulation
    ) -> None:
        for pool in ("bridge", "publish"):
            servers = with_slow_servers.pipeline.planners[pool].servers
            paces = [servers[f"{pool}-{place}"].pace for place in range(SERVERS)]
            assert paces == pytest.approx([2.0, 1.0, 1.0], rel=MAX_ERROR)
