"""Limit retries and hedges to a share of the first attempts."""

from random import Random
from typing import Final

from bramleyturn.core.units import MS_PER_S

PERCENT: Final = 100
FLOOR_RETRIES: Final = 2.0
FLOOR_RETRIES_PER_S: Final = 0.2
MAX_EARNED_RETRIES: Final = 20.0
RETRY_BASE_MS: Final = 10
RETRY_MAX_MS: Final = 1_000


class PoolBudget:
    """Hold the retries that one pool has left: earned ones and the refilling floor."""

    def __init__(self, now_ms: int) -> None:
        self.earned = 0.0
        self.floor = FLOOR_RETRIES
        self.refilled_ms = now_ms


class RetryBudget:
    """Hold the retries left for each pool as seen from one availability zone."""

    def __init__(self, ratio_percent: int) -> None:
        self.ratio_percent = ratio_percent
        self.pools: dict[str, PoolBudget] = {}


def retry_budget(ratio_percent: int) -> RetryBudget:
    """Return a budget that grants ``ratio_percent`` retries per 100 first attempts."""
    return RetryBudget(ratio_percent)


def count_first_attempt(budget: RetryBudget, pool: str, now_ms: int) -> None:
    """Count a first attempt, which earns a part of a retry."""
    state = _pool_budget(budget, pool, now_ms)
    earned = state.earned + budget.ratio_percent / PERCENT
    state.earned = min(earned, MAX_EARNED_RETRIES)


def may_retry(budget: RetryBudget, pool: str, now_ms: int) -> bool:
    """Take one retry from the budget, or return False when none is left.

    A small floor refills with time, so that a system with little traffic can retry.
    """
    state = _pool_budget(budget, pool, now_ms)
    _refill_floor(state, now_ms)
    if state.earned >= 1.0:
        state.earned -= 1.0
        return True
    if state.floor >= 1.0:
        state.floor -= 1.0
        return True
    return False


def has_retry(budget: RetryBudget, pool: str, now_ms: int) -> bool:
    """Tell whether ``may_retry`` would grant a retry now, and take none."""
    state = _pool_budget(budget, pool, now_ms)
    _refill_floor(state, now_ms)
    return state.earned >= 1.0 or state.floor >= 1.0


def forget_pools(budget: RetryBudget, kept: frozenset[str]) -> None:
    """Drop the pools that are no longer configured."""
    for pool in budget.pools.keys() - kept:
        del budget.pools[pool]


def retry_delay_ms(attempt: int, random: Random) -> int:
    """Return how long to wait before the retry after attempt number ``attempt``.

    Attempts count from 1. The delay is uniform from zero to a limit that doubles with
    each attempt, so that the retries of many requests spread out.
    """
    doublings = min(max(0, attempt - 1), RETRY_MAX_MS.bit_length())
    highest_ms = min(RETRY_BASE_MS * 2**doublings, RETRY_MAX_MS)
    return random.randint(0, highest_ms)


def _pool_budget(budget: RetryBudget, pool: str, now_ms: int) -> PoolBudget:
    state = budget.pools.get(pool)
    if state is None:
        state = budget.pools[pool] = PoolBudget(now_ms)
    return state


def _refill_floor(state: PoolBudget, now_ms: int) -> None:
    passed_ms = max(0, now_ms - state.refilled_ms)
    refill = passed_ms * FLOOR_RETRIES_PER_S / MS_PER_S
    state.floor = min(FLOOR_RETRIES, state.floor + refill)
    state.refilled_ms = max(state.refilled_ms, now_ms)
