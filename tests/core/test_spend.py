"""Tests of budgets in money without a shared counter."""

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
Skew = Callable[[Random], int]


class Outcome(NamedTuple):
    """State what a simulated hour spent and asked for."""

    spent_micros: int
    asked_micros: int


def simulate(
    seed: int, delay_ms: int, connected: Connected, skew: Skew, until_ms: int
) -> Outcome:
    """Let 20 entries spend as fast as the budget lets them, in virtual time.

    Attempts hold their price while they run; each entry reports to all others once
    a second, and each report arrives up to ``delay_ms`` late.
    """
    random = Random(seed)
    names = [f"entry-{number}" for number in range(ENTRIES)]
    books = [spend_state(name, f"{name}-a") for name in names]
    for book in books:
        set_processes(book, names)
    reports: list[tuple[int, int, int, int, tuple[SpendCounter, ...]]] = []
    ends: list[tuple[int, int, int]] = []
    total = asked = sent = 0
    for now_ms in range(0, until_ms, 100):
        while reports and reports[0][0] <= now_ms:
            _, _, source, target, counters = heappop(reports)
            merge_spend(books[target], names[source], counters, now_ms)
        while ends and ends[0][0] <= now_ms:
            _, index, micros = heappop(ends)
            settle_spend(books[index], "w", micros, micros, now_ms)
        for _ in range(4):
            index = skew(random)
            micros = random.randint(50, 150)
            asked += micros
            if may_spend(books[index], "w", BUDGET_MICROS, micros, now_ms):
                reserve_spend(books[index], "w", micros)
                heappush(ends, (now_ms + random.randint(50, 2_000), index, micros))
                total += micros
        for source in range(ENTRIES):
            if now_ms % REPORT_INTERVAL_MS != source * 50 // 100 * 100:
                continue
            counters = export_spend(books[source], now_ms)
            for target in range(ENTRIES):
                if target != source and connected(source, target, now_ms):
                    sent += 1
                    at_ms = now_ms + random.randint(1, delay_ms)
                    heappush(reports, (at_ms, sent, source, target, counters))
    return Outcome(total, asked)


def always(source: int, target: int, now_ms: int) -> bool:
    """Connect all entries at all times."""
    return True


def even(random: Random) -> int:
    """Spread requests evenly over the entries."""
    return random.randrange(ENTRIES)


def skewed(random: Random) -> int:
    """Send most requests to few entries."""
    return min(int(random.expovariate(0.5)), ENTRIES - 1)


class TestOvershoot:
    UNTIL_MS: Final = 400_000

    @pytest.mark.parametrize("skew", [even, skewed])
    @pytest.mark.parametrize("delay_ms", [50, 3_000])
    def test_bounded_while_reports_arrive(self, delay_ms: int, skew: Skew) -> None:
        found = simulate(11, delay_ms, always, skew, self.UNTIL_MS)
        assert found.asked_micros > 1.2 * BUDGET_MICROS
        assert found.spent_micros <= 1.05 * BUDGET_MICROS
        assert found.spent_micros >= 0.9 * BUDGET_MICROS

    @pytest.mark.parametrize("skew", [even, skewed])
    @pytest.mark.parametrize("from_ms", [0, 100_000, 200_000])
    @pytest.mark.parametrize("side", [3, 10])
    def test_bounded_in_a_partition(self, side: int, from_ms: int, skew: Skew) -> None:
        def split(source: int, target: int, now_ms: int) -> bool:
            return now_ms < from_ms or (source < side) == (target < side)

        found = simulate(12, 1_000, split, skew, self.UNTIL_MS)
        assert found.spent_micros <= 1.05 * BUDGET_MICROS
        print(f"seed 12: spent {found.spent_micros / BUDGET_MICROS:.3f} of the budget")


class TestMaySpend:
    def test_no_budget_means_no_bound(self) -> None:
        assert may_spend(spend_state("a", "a1"), "w", 0, 10**9, 0)

    def test_a_single_process_has_all_of_it(self) -> None:
        book = spend_state("a", "a1")
        assert may_spend(book, "w", 100, 100, 0)
        assert not may_spend(book, "w", 100, 101, 0)

    def test_held_prices_count(self) -> None:
        book = spend_state("a", "a1")
        reserve_spend(book, "w", 80)
        assert not may_spend(book, "w", 100, 30, 0)
        settle_spend(book, "w", 80, 10, 0)
        assert may_spend(book, "w", 100, 90, 0)

    def test_the_budget_comes_back_after_an_hour(self) -> None:
        book = spend_state("a", "a1")
        record_spend(book, "w", 100, 0)
        assert not may_spend(book, "w", 100, 1, PERIOD_MS - 1)
        assert may_spend(book, "w", 100, 100, PERIOD_MS + SLOT_MS)

    def test_a_process_that_is_no_longer_listed_reserves_nothing(self) -> None:
        book = spend_state("a", "a1")
        set_processes(book, ["a", "b"])
        assert not may_spend(book, "w", 100, 60, 0)
        set_processes(book, ["a"])
        assert may_spend(book, "w", 100, 60, 0)

    def test_a_restarted_peer_does_not_hide_what_it_spent(self) -> None:
        book = spend_state("a", "a1")
        for incarnation in ("b1", "b2"):
            counter = SpendCounter("b", incarnation, "w", 0, 40, 0)
            merge_spend(book, "b", [counter], 0)
        assert spent(book, "w", 0) == 80


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
    def test_order_and_repetition_change_nothing(
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

    def test_counters_about_oneself_are_ignored(self) -> None:
        book = spend_state("a", "a1")
        merge_spend(book, "b", [SpendCounter("a", "a1", "w", 0, 99, 0)], 0)
        assert spent(book, "w", 0) == 0

    def test_state_does_not_grow_with_time(self) -> None:
        book = spend_state("a", "a1")
        for now_ms in range(0, 4 * PERIOD_MS, HORIZON_MS):
            record_spend(book, f"w{now_ms // SLOT_MS}", 1, now_ms)
            spent(book, "w", now_ms)
        assert len(book.counters) <= PERIOD_MS // SLOT_MS + 2
        assert len(book.totals) <= PERIOD_MS // SLOT_MS + 2
        assert len(book.recent) <= 2


def test_unused_book_is_empty() -> None:
    book: SpendState = spend_state("a", "a1")
    assert export_spend(book, 0) == ()
