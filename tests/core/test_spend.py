"""Tests of spending limits without a shared counter."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Final, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.spend import (
    HORIZON_MS,
    PERIOD_MS,
    SLOT_MS,
    SpendCounter,
    SpendState,
    export_spend,
    may_spend,
    merge_spend,
    record_spend,
    reserve_spend,
    set_processes,
    settle_spend,
    spend_state,
    spent,
)

BUDGET_MICROS: Final = 1_000_000
ENTRIES: Final = 20
REPORT_INTERVAL_MS: Final = 1_000
Connected = Callable[[int, int, int], bool]
PickEntry = Callable[[Random], int]


class Outcome(NamedTuple):
    """Hold what a simulation spent, and what the requests would have spent."""

    spent_micros: int
    requested_micros: int


def simulate(
    seed: int, delay_ms: int, connected: Connected, pick_entry: PickEntry, until_ms: int
) -> Outcome:
    """Let 20 entries spend as fast as the budget allows, in virtual time.

    Attempts reserve their price while they run; each entry reports to all others once
    a second, and each report arrives up to ``delay_ms`` late.
    """
    random = Random(seed)
    names = [f"entry-{number}" for number in range(ENTRIES)]
    states = [spend_state(name, f"{name}-a") for name in names]
    for state in states:
        set_processes(state, names)
    reports: list[tuple[int, int, int, int, tuple[SpendCounter, ...]]] = []
    ends: list[tuple[int, int, int]] = []
    total = requested_micros = sent = 0
    for now_ms in range(0, until_ms, 100):
        while reports and reports[0][0] <= now_ms:
            _, _, source, target, counters = heappop(reports)
            merge_spend(states[target], names[source], counters, now_ms)
        while ends and ends[0][0] <= now_ms:
            _, index, micros = heappop(ends)
            settle_spend(states[index], "w", micros, micros, now_ms)
        for _ in range(4):
            index = pick_entry(random)
            micros = random.randint(50, 150)
            requested_micros += micros
            if may_spend(states[index], "w", BUDGET_MICROS, micros, now_ms):
                reserve_spend(states[index], "w", micros)
                heappush(ends, (now_ms + random.randint(50, 2_000), index, micros))
                total += micros
        for source in range(ENTRIES):
            if now_ms % REPORT_INTERVAL_MS != source * 50 // 100 * 100:
                continue
            counters = export_spend(states[source], now_ms)
            for target in range(ENTRIES):
                if target != source and connected(source, target, now_ms):
                    sent += 1
                    at_ms = now_ms + random.randint(1, delay_ms)
                    heappush(reports, (at_ms, sent, source, target, counters))
    return Outcome(total, requested_micros)


def always_connected(source: int, target: int, now_ms: int) -> bool:
    """Keep all entries connected at all times."""
    return True


def pick_evenly(random: Random) -> int:
    """Spread requests evenly over the entries."""
    return random.randrange(ENTRIES)


def pick_skewed(random: Random) -> int:
    """Send most requests to few entries."""
    return min(int(random.expovariate(0.5)), ENTRIES - 1)


class TestOvershoot:
    UNTIL_MS: Final = 400_000

    @pytest.mark.parametrize("pick_entry", [pick_evenly, pick_skewed])
    @pytest.mark.parametrize("delay_ms", [50, 3_000])
    def test_bounded_while_reports_arrive(
        self, delay_ms: int, pick_entry: PickEntry
    ) -> None:
        found = simulate(11, delay_ms, always_connected, pick_entry, self.UNTIL_MS)
        assert found.requested_micros > 1.2 * BUDGET_MICROS
        assert found.spent_micros <= 1.05 * BUDGET_MICROS
        assert found.spent_micros >= 0.9 * BUDGET_MICROS

    @pytest.mark.parametrize("pick_entry", [pick_evenly, pick_skewed])
    @pytest.mark.parametrize("from_ms", [0, 100_000, 200_000])
    @pytest.mark.parametrize("side", [3, 10])
    def test_bounded_in_a_partition(
        self, side: int, from_ms: int, pick_entry: PickEntry
    ) -> None:
        def is_connected(source: int, target: int, now_ms: int) -> bool:
            return now_ms < from_ms or (source < side) == (target < side)

        found = simulate(12, 1_000, is_connected, pick_entry, self.UNTIL_MS)
        assert found.spent_micros <= 1.05 * BUDGET_MICROS
        print(f"seed 12: spent {found.spent_micros / BUDGET_MICROS:.3f} of the budget")


class TestMaySpend:
    def test_no_budget_means_no_limit(self) -> None:
        assert may_spend(spend_state("a", "a1"), "w", 0, 10**9, 0)

    def test_single_process_may_spend_all(self) -> None:
        state = spend_state("a", "a1")
        assert may_spend(state, "w", 100, 100, 0)
        assert not may_spend(state, "w", 100, 101, 0)

    def test_reserved_prices_count(self) -> None:
        state = spend_state("a", "a1")
        reserve_spend(state, "w", 80)
        assert not may_spend(state, "w", 100, 30, 0)
        settle_spend(state, "w", 80, 10, 0)
        assert may_spend(state, "w", 100, 90, 0)

    def test_spending_expires_after_an_hour(self) -> None:
        state = spend_state("a", "a1")
        record_spend(state, "w", 100, 0)
        assert not may_spend(state, "w", 100, 1, PERIOD_MS - 1)
        assert may_spend(state, "w", 100, 100, PERIOD_MS + SLOT_MS)

    def test_unlisted_process_gets_no_share(self) -> None:
        state = spend_state("a", "a1")
        set_processes(state, ["a", "b"])
        assert not may_spend(state, "w", 100, 60, 0)
        set_processes(state, ["a"])
        assert may_spend(state, "w", 100, 60, 0)

    def test_spending_of_earlier_incarnations_of_a_peer_counts(self) -> None:
        state = spend_state("a", "a1")
        for incarnation in ("b1", "b2"):
            counter = SpendCounter("b", incarnation, "w", 0, 40, 0)
            merge_spend(state, "b", [counter], 0)
        assert spent(state, "w", 0) == 80


class TestMerge:
    @settings(derandomize=True, max_examples=50)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["b", "c"]), st.integers(0, 2), st.integers(1, 99)
            )
        ),
        st.integers(0, 2**32),
    )
    def test_reordered_and_repeated_counters_change_nothing(
        self, values: list[tuple[str, int, int]], seed: int
    ) -> None:
        counters = [
            SpendCounter(name, f"{name}1", "w", slot, micros, slot * SLOT_MS)
            for name, slot, micros in values
        ]
        in_order, shuffled = spend_state("a", "a1"), spend_state("a", "a1")
        merge_spend(in_order, "b", counters, PERIOD_MS)
        Random(seed).shuffle(counters)
        merge_spend(shuffled, "b", counters + counters, PERIOD_MS)
        assert spent(in_order, "w", PERIOD_MS) == spent(shuffled, "w", PERIOD_MS)

    def test_own_counters_from_a_peer_are_ignored(self) -> None:
        state = spend_state("a", "a1")
        merge_spend(state, "b", [SpendCounter("a", "a1", "w", 0, 99, 0)], 0)
        assert spent(state, "w", 0) == 0

    def test_state_does_not_grow_with_time(self) -> None:
        state = spend_state("a", "a1")
        for now_ms in range(0, 4 * PERIOD_MS, HORIZON_MS):
            record_spend(state, f"w{now_ms // SLOT_MS}", 1, now_ms)
            spent(state, "w", now_ms)
        assert len(state.counters) <= PERIOD_MS // SLOT_MS + 2
        assert len(state.totals) <= PERIOD_MS // SLOT_MS + 2
        assert len(state.recent) <= 2


def test_unused_state_is_empty() -> None:
    state: SpendState = spend_state("a", "a1")
    assert export_spend(state, 0) == ()
