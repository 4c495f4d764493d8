"""Tests of prices and cost totals."""

from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.cost import (
    MAX_COST_ROWS,
    OTHER_WORKSPACES,
    Charge,
    CostRow,
    CostTotals,
    attempt_cost_micros,
    charge,
    cost_rows,
)
from tests.core.policy_data import configuration

POOL: Final = configuration().pools["drafting"]


class TestAttemptCost:
    @pytest.mark.parametrize(
        ("tokens", "micros"), [(0, 5), (1, 6), (1_000, 605), (1_500, 905), (-3, 5)]
    )
    def test_rounds_up(self, tokens: int, micros: int) -> None:
        assert attempt_cost_micros(POOL, tokens) == micros


class TestCostTotals:
    def test_sums_by_stage_and_separates_waste(self) -> None:
        totals = CostTotals()
        for micros, wasted in ((10, False), (4, True)):
            charge(totals, Charge("lessons", "draft", "generate", micros, wasted))
        charge(totals, Charge("lessons", "draft", "encode", 1, False))
        assert cost_rows(totals) == (
            CostRow("lessons", "draft", "encode", 1, 1, 0, 0),
            CostRow("lessons", "draft", "generate", 2, 14, 1, 4),
        )

    def test_sum_is_complete_beyond_the_row_limit(self) -> None:
        totals = CostTotals()
        for number in range(MAX_COST_ROWS + 100):
            charge(totals, Charge(f"w{number}", "draft", "generate", 2, False))
        rows = cost_rows(totals)
        assert sum(row.micros for row in rows) == 2 * (MAX_COST_ROWS + 100)
        assert len(rows) == MAX_COST_ROWS + 1
        assert rows[0].workspace == OTHER_WORKSPACES

    @settings(derandomize=True, max_examples=30)
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 99))))
    def test_total_equals_the_sum_of_charges(
        self, items: list[tuple[str, int]]
    ) -> None:
        totals = CostTotals()
        for name, micros in items:
            charge(totals, Charge(name, "draft", "encode", micros, False))
        total = sum(micros for _, micros in items)
        assert sum(row.micros for row in cost_rows(totals)) == total
