"""Replay a burst in which requests would wait for longer than their callers.

Load pattern: streams whose deadlines are far away, and whose callers leave earlier if
nothing has begun. Servers worked for requests whose callers had gone.
"""

from typing import Final

import pytest

from bramleyturn.core.pieces.model import StageCall
from bramleyturn.core.pieces.pipeline import plan
from bramleyturn.core.pieces.planner import Planner
from tests.core.pieces.burst_load import LIMITS, PAGE, SERVERS
from tests.core.pieces.stage_simulation import Job, StageSimulation
from tests.core.pieces.test_unused_results import evenly

PATIENCE_MS: Final = 3_000
BURST_FROM_MS: Final = 4_000
BURST_UNTIL_MS: Final = 10_000
LAST_MS: Final = 24_000
END_MS: Final = 44_000
MAX_VAIN: Final = 0.01


class Callers(StageSimulation):
    """Count the time that servers spend for callers that have gone."""

    def __init__(self) -> None:
        super().__init__(LIMITS, SERVERS, plan)
        self.spent_ms: dict[str, float] = {}

    def call(self, planner: Planner, ordered: StageCall) -> None:
        """Start a call on a server."""
        limits = planner.limits
        each_ms = limits.call_ms / len(ordered.pieces) + limits.item_ms
        for piece in ordered.pieces:
            name = piece.attempt_id.partition(".")[0]
            self.spent_ms[name] = self.spent_ms.get(name, 0.0) + each_ms
        super().call(planner, ordered)


def has_begun_in_time(job: Job) -> bool:
    """Return whether a caller was still there when its request began."""
    return job.ended_ms is not None and job.ended_ms - job.at_ms <= PATIENCE_MS


@pytest.fixture(scope="class", params=[1.5, 2.5])
def callers(request: pytest.FixtureRequest) -> Callers:
    """Return the simulation of a burst whose callers leave after some seconds."""
    arrivals = [
        *evenly(0.8, 0, BURST_FROM_MS),
        *evenly(request.param, BURST_FROM_MS, BURST_UNTIL_MS),
        *evenly(0.8, BURST_UNTIL_MS, LAST_MS),
    ]
    kind = PAGE._replace(patience_ms=PATIENCE_MS)
    simulation = Callers()
    simulation.simulate([each._replace(kind=kind) for each in arrivals], END_MS)
    return simulation


class TestBurst:
    """More requests than can begin while their callers wait."""

    def test_servers_work_for_no_caller_that_has_gone(self, callers: Callers) -> None:
        vain_ms = sum(
            spent_ms
            for name, spent_ms in callers.spent_ms.items()
            if not has_begun_in_time(callers.jobs[name])
        )
        assert vain_ms <= MAX_VAIN * sum(callers.spent_ms.values())

    def test_others_are_refused_at_once(self, callers: Callers) -> None:
        refused = callers.refusals_ms()
        assert refused
        assert max(refused) < PATIENCE_MS
