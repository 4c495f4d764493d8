"""Test that work started for a request is finished, though more is asked for."""

from collections import defaultdict
from typing import Final

import pytest

from bramleyturn.core.pieces.model import StageCall
from bramleyturn.core.pieces.pipeline import plan
from bramleyturn.core.pieces.planner import Planner
from tests.core.pieces.burst_load import LIMITS, PAGE, SERVERS
from tests.core.pieces.stage_simulation import Arrival, Job, StageSimulation

BURST_FROM_MS: Final = 6_000
BURST_UNTIL_MS: Final = 12_000
LAST_MS: Final = 40_000
END_MS: Final = 56_000
USUAL_LOAD: Final = 0.8
# Nothing that was made in the burst is kept for longer.
SETTLED_MS: Final = PAGE.aim_ms + max(each.result_ttl_ms for each in LIMITS.values())
# Rounding of the times that pieces share.
MAX_UNUSED: Final = 0.01
# A late request takes the place of one that would be in time.
MAX_LATE: Final = 0.05


class Measured(StageSimulation):
    """Count the time that servers spend on each request."""

    def __init__(self) -> None:
        super().__init__(LIMITS, SERVERS, plan)
        self.spent_ms: dict[str, float] = defaultdict(float)

    def call(self, planner: Planner, ordered: StageCall) -> None:
        """Start a call on a server."""
        limits = planner.limits
        each_ms = limits.call_ms / len(ordered.pieces) + limits.item_ms
        for piece in ordered.pieces:
            self.spent_ms[piece.attempt_id] += each_ms
        super().call(planner, ordered)


def capacity_per_s() -> float:
    """Return how many requests the slowest stage can serve with full calls."""
    rates = []
    for need in PAGE.stages:
        limits = LIMITS[need.pool]
        piece_ms = limits.call_ms / limits.batch_items + limits.item_ms
        rates.append(1_000 * SERVERS / (piece_ms * need.piece_count))
    return min(rates)


def evenly(load: float, from_ms: int, until_ms: int) -> list[Arrival]:
    """Return arrivals at equal intervals."""
    interval_ms = 1_000 / (load * capacity_per_s())
    count = int((until_ms - from_ms) / interval_ms)
    return [Arrival(int(from_ms + n * interval_ms), PAGE) for n in range(count)]


def is_in_time(job: Job) -> bool:
    """Return whether a request was served within its aim."""
    return job.ended_ms is not None and job.ended_ms - job.at_ms <= job.kind.aim_ms


@pytest.fixture(scope="class", params=[1.5, 2.5])
def measured(request: pytest.FixtureRequest) -> Measured:
    """Return the simulation of a burst of some seconds."""
    arrivals = [
        *evenly(USUAL_LOAD, 0, BURST_FROM_MS),
        *evenly(request.param, BURST_FROM_MS, BURST_UNTIL_MS),
        *evenly(USUAL_LOAD, BURST_UNTIL_MS, LAST_MS),
    ]
    simulation = Measured()
    simulation.simulate(arrivals, END_MS)
    return simulation


class TestBurst:
    """Some seconds in which more is asked than can be served."""

    def test_servers_work_for_no_request_that_is_not_served(
        self, measured: Measured
    ) -> None:
        unused_ms = sum(
            spent_ms
            for name, spent_ms in measured.spent_ms.items()
            if measured.jobs[name.partition(".")[0]].ended_ms is None
        )
        assert unused_ms <= MAX_UNUSED * sum(measured.spent_ms.values())

    def test_what_is_served_is_in_time(self, measured: Measured) -> None:
        served = [job for job in measured.jobs.values() if job.ended_ms is not None]
        late = [job for job in served if not is_in_time(job)]
        assert len(late) <= MAX_LATE * len(served)

    def test_all_is_in_time_soon_after_it(self, measured: Measured) -> None:
        late = [
            job.at_ms
            for job in measured.jobs.values()
            if job.at_ms >= BURST_UNTIL_MS + SETTLED_MS and not is_in_time(job)
        ]
        assert late == []
