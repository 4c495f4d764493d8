"""Test the forecast of the capacity that arrivals leave free."""

import pytest

from bramleyturn.core.contention.arrival_rates import (
    MIN_BURST_LEFT_MS,
    ArrivalRates,
    FreeCapacity,
    free_capacity,
    note_arrival,
    usual_load,
    wait_for_work_ms,
)


def arrived(*loads: float) -> ArrivalRates:
    """Return the rates of one server after seconds of the given loads."""
    rates = ArrivalRates()
    for second, load in enumerate(loads):
        for part in range(10):
            note_arrival(rates, load * 100, second * 1_000 + part * 100)
    return rates


class TestUsualLoad:
    """Seconds of known loads."""

    def test_burst_counts_as_full_seconds_only(self) -> None:
        rates = arrived(*[0.6] * 24, *[3.0] * 6)
        assert usual_load(rates, 1.0, 3.0, 30_000) == pytest.approx(0.68)

    def test_seconds_without_arrivals_count(self) -> None:
        rates = arrived(*[0.6] * 30)
        assert usual_load(rates, 1.0, 0.1, 45_000) == pytest.approx(0.3)

    def test_load_now_counts_while_little_is_known(self) -> None:
        rates = arrived(0.5, 0.5)
        assert usual_load(rates, 1.0, 2.0, 0) == 2.0
        assert usual_load(rates, 1.0, 2.0, 2_000) == pytest.approx(1.7)


class TestFreeCapacity:
    """Loads below and above the usual one."""

    def test_old_burst_is_expected_to_end_sooner(self) -> None:
        young = free_capacity(arrived(*[0.6] * 20, 1.8), 1.0, 1.4, 21_000)
        old = free_capacity(arrived(*[0.6] * 20, *[1.8] * 5), 1.0, 1.6, 25_000)
        assert young.burst_left_ms > old.burst_left_ms == MIN_BURST_LEFT_MS

    def test_load_that_is_not_above_the_usual_one_lasts(self) -> None:
        free = free_capacity(arrived(*[0.8] * 30), 1.0, 0.7, 30_000)
        assert free[:2] == pytest.approx((0.3, 0.3))

    def test_lasting_overload_leaves_no_more_later(self) -> None:
        free = free_capacity(arrived(*[1.7] * 30), 1.0, 1.7, 30_000)
        assert free[:2] == pytest.approx((0.1, 0.1))

    def test_end_of_a_burst_counts_before_its_decay(self) -> None:
        rates = arrived(*[0.6] * 20, *[1.8] * 4, *[0.3] * 3)
        assert free_capacity(rates, 1.0, 1.1, 27_000).now > 0.3


class TestWait:
    """Work that gets the free capacity of a burst and of the trough after it."""

    @pytest.mark.parametrize("work_ms", [0.0, 1.0, 200.0, 1_000.0, 30_000.0])
    def test_capacity_until_then_is_the_work(self, work_ms: float) -> None:
        free = FreeCapacity(0.1, 0.5)
        wait_ms = wait_for_work_ms(free, work_ms)
        free_ms = sum(
            0.5 - 0.4 * 2.718281828 ** (-(step + 0.5) / MIN_BURST_LEFT_MS)
            for step in range(round(wait_ms))
        )
        assert free_ms == pytest.approx(work_ms, abs=1.0)

    def test_lasting_load_divides_the_work(self) -> None:
        assert wait_for_work_ms(FreeCapacity(0.25, 0.25), 500.0) == 2_000.0
