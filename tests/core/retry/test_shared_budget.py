"""Test that the retries of all instances together stay within the bound."""

from random import Random

import pytest

from bramleyturn.core.retry.shared_budget import (
    BudgetLimits,
    SharedBudget,
    note_instances,
    note_request,
    take_retry,
)

LIMITS = BudgetLimits(0.2, 108.0, 10_000)


class TestBound:
    """A pool that fails every request."""

    @pytest.mark.parametrize("instances", [1, 2, 4, 14, 135])
    @pytest.mark.parametrize("seed", range(3))
    def test_any_window_stays_within_the_bound(self, instances: int, seed: int) -> None:
        random = Random(seed)
        budgets = [SharedBudget(LIMITS) for _ in range(instances)]
        for budget in budgets:
            note_instances(budget, instances)
        retries: list[int] = []
        requests: list[int] = []
        for at_ms in range(0, 40_000, 20):
            budget = random.choice(budgets)
            requests.append(at_ms)
            note_request(budget, "members", at_ms)
            for _ in range(3):
                if take_retry(budget, "members", at_ms):
                    retries.append(at_ms)
        for start in range(0, 40_000, 500):
            window = range(start, start + LIMITS.window_ms)
            sent = sum(at_ms in window for at_ms in retries)
            asked = sum(at_ms in window for at_ms in requests)
            assert sent <= LIMITS.ratio * asked + LIMITS.slack, (seed, start)

    def test_pool_with_few_requests_may_retry(self) -> None:
        budget = SharedBudget(LIMITS)
        note_instances(budget, 14)
        note_request(budget, "members", 0)
        assert take_retry(budget, "members", 1)

    def test_requests_before_the_window_are_dropped(self) -> None:
        budget = SharedBudget(LIMITS)
        for at_ms in range(0, 100_000, 10):
            note_request(budget, "members", at_ms)
        assert len(budget.requests["members"]) <= LIMITS.window_ms / 10

    def test_pools_do_not_share(self) -> None:
        budget = SharedBudget(BudgetLimits(0.0, 8.0, 10_000))
        note_instances(budget, 4)
        assert take_retry(budget, "a", 0)
        assert not take_retry(budget, "a", 0)
        assert take_retry(budget, "b", 0)
