"""Tests of the arrival times of an open-loop load."""

import random

import pytest

from bramleyturn.bench.arrivals import poisson_arrivals

SEED = 7


class TestPoissonArrivals:
    def test_same_seed_gives_same_times(self) -> None:
        first = poisson_arrivals(random.Random(SEED), 50, 10_000)
        second = poisson_arrivals(random.Random(SEED), 50, 10_000)
        assert first == second

    def test_times_ascend_within_the_duration(self) -> None:
        arrivals = poisson_arrivals(random.Random(SEED), 50, 10_000)
        assert arrivals == sorted(arrivals)
        assert all(0 <= at_ms < 10_000 for at_ms in arrivals)

    def test_mean_rate_is_the_requested_one(self) -> None:
        arrivals = poisson_arrivals(random.Random(SEED), 100, 100_000)
        assert 9_600 < len(arrivals) < 10_400

    @pytest.mark.parametrize("rate_per_s", [0, -1])
    def test_zero_or_negative_rate_has_no_arrivals(self, rate_per_s: float) -> None:
        assert poisson_arrivals(random.Random(SEED), rate_per_s, 1000) == []
