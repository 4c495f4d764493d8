"""Tests of the retry budget."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.retry_budget import (
    FLOOR_RETRIES,
    MAX_EARNED_RETRIES,
    RETRY_MAX_MS,
    count_first_attempt,
    forget_pools,
    may_retry,
    retry_budget,
    retry_delay_ms,
)


class TestMayRetry:
    def test_a_system_with_little_traffic_can_retry(self) -> None:
        budget = retry_budget(10)
        assert may_retry(budget, "drafting", 0)

    def test_the_floor_refills(self) -> None:
        budget = retry_budget(10)
        while may_retry(budget, "drafting", 0):
            pass
        assert not may_retry(budget, "drafting", 4_999)
        assert may_retry(budget, "drafting", 10_000)

    def test_pools_have_separate_budgets(self) -> None:
        budget = retry_budget(10)
        while may_retry(budget, "drafting", 0):
            pass
        assert may_retry(budget, "printing", 0)

    def test_earned_retries_are_bounded(self) -> None:
        budget = retry_budget(10)
        for _ in range(10_000):
            count_first_attempt(budget, "drafting", 0)
        granted = sum(may_retry(budget, "drafting", 0) for _ in range(1_000))
        assert granted <= MAX_EARNED_RETRIES + FLOOR_RETRIES

    @settings(derandomize=True, max_examples=30)
    @given(ratio=st.integers(0, 20), per_s=st.integers(20, 200))
    def test_no_retry_storm_when_everything_fails(self, ratio: int, per_s: int) -> None:
        budget = retry_budget(ratio)
        firsts = retries = 0
        for now_ms in range(0, 20_000, 1_000 // per_s):
            count_first_attempt(budget, "drafting", now_ms)
            firsts += 1
            retries += sum(may_retry(budget, "drafting", now_ms) for _ in range(3))
        floor = FLOOR_RETRIES + 0.2 * 20
        assert retries <= firsts * ratio / 100 + floor + 1

    def test_forgets_pools(self) -> None:
        budget = retry_budget(10)
        count_first_attempt(budget, "old", 0)
        forget_pools(budget, frozenset({"drafting"}))
        assert not budget.pools


class TestRetryDelay:
    @settings(derandomize=True)
    @given(attempt=st.integers(-1, 1_000), seed=st.integers(0, 2**32))
    def test_is_bounded(self, attempt: int, seed: int) -> None:
        assert 0 <= retry_delay_ms(attempt, Random(seed)) <= RETRY_MAX_MS

    def test_delays_spread_and_grow(self) -> None:
        random = Random(3)
        first = [retry_delay_ms(1, random) for _ in range(200)]
        fourth = [retry_delay_ms(4, random) for _ in range(200)]
        assert len(set(fourth)) > 40
        assert sum(fourth) > 4 * sum(first)
