"""Compare the choice of engines with baselines under prompts with shared parts."""

from collections.abc import Callable

import pytest

from tests.core.placement.engine_simulation import (
    Choice,
    Request,
    by_least_load,
    by_prefix_alone,
    by_reading_cost,
    first_event_times_ms,
    requests,
)

SEEDS = range(6)
SUBJECTS = 43


def mean_ms(loads: Callable[[int], list[Request]], choose: Choice) -> float:
    """Return the mean time to first event over all seeds."""
    times = [
        took for seed in SEEDS for took in first_event_times_ms(loads(seed), choose)
    ]
    return sum(times) / len(times)


class TestSharedPrompts:
    """Requests about many subjects, each with a long shared prompt part."""

    @staticmethod
    def load(seed: int) -> list[Request]:
        """Return the load."""
        return requests(seed, 9.0, SUBJECTS)

    def test_first_events_come_sooner_than_with_least_load(self) -> None:
        assert mean_ms(self.load, by_reading_cost) < mean_ms(self.load, by_least_load)

    def test_first_events_come_sooner_than_with_prefix_alone(self) -> None:
        assert mean_ms(self.load, by_reading_cost) < mean_ms(self.load, by_prefix_alone)


class TestHotSubject:
    """One subject gets much of the traffic."""

    @staticmethod
    def load(seed: int) -> list[Request]:
        """Return the load."""
        return requests(seed, 12.0, SUBJECTS, hot_part=0.4)

    @pytest.mark.parametrize("baseline", [by_least_load, by_prefix_alone])
    def test_first_events_come_sooner(self, baseline: Choice) -> None:
        assert mean_ms(self.load, by_reading_cost) < mean_ms(self.load, baseline)
