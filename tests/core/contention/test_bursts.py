"""Replay bursts with troughs after them.

Load pattern: requests that can't be in time, and whose callers wait for 6 to 10 s. They
were refused because the load of the burst was expected to last.
"""

from tests.core.contention.overload_load import (
    END_MS,
    Callers,
    all_kinds,
    one_kind,
    overload,
)
from tests.core.pieces.stage_simulation import Arrival


def replay(arrivals: list[Arrival]) -> Callers:
    """Return the simulation of callers that do not come back."""
    simulation = Callers(0, may_return=False)
    simulation.simulate(arrivals, END_MS)
    return simulation


class TestBurst:
    """The slowest stage is asked for more than it can do, for some seconds."""

    def test_trough_serves_most_of_those_that_can_only_be_late(
        self,
    ) -> None:
        simulation = replay(all_kinds(0))
        not_in_time = len(simulation.jobs) - simulation.in_time()
        assert simulation.unserved() < not_in_time / 2

    def test_trough_serves_most_of_those_late_for_one_kind_at_three_times(
        self,
    ) -> None:
        simulation = replay(one_kind(0))
        not_in_time = len(simulation.jobs) - simulation.in_time()
        assert simulation.unserved() < not_in_time / 2


class TestUsualLoad:
    """The load stays below the capacity."""

    def test_nothing_is_refused(self) -> None:
        assert replay(overload(0, {}, 5_000)).unserved() == 0
