"""Limit retries to a fraction of the requests (retry budget).

The bound holds for all instances together, so each instance uses only its part of the
slack that is allowed beyond the ratio. Load pattern handled here: a pool that fails
under load. Without the bound, every failure would add to the load that caused it.
"""

from collections import deque
from typing import Final, NamedTuple

# Fraction of the bound that is used: instances may not know of each other, and the
# windows of different instances do not start together.
USED_FRACTION: Final = 0.7
# At least this many instances are assumed, so that an instance that sees no other one
# does not use the whole slack.
MIN_INSTANCES: Final = 4


class BudgetLimits(NamedTuple):
    """Hold the bound: a ``ratio`` of the requests in a window, plus ``slack``."""

    ratio: float
    slack: float
    window_ms: int


class SharedBudget:
    """Hold the times of the requests and retries of each pool."""

    def __init__(self, limits: BudgetLimits) -> None:
        self.limits = limits
        self.instances = MIN_INSTANCES
        self.requests: dict[str, deque[int]] = {}
        self.retries: dict[str, deque[int]] = {}


def note_request(budget: SharedBudget, pool: str, now_ms: int) -> None:
    """Count a caller's request for a pool."""
    _in_window(budget, budget.requests, pool, now_ms).append(now_ms)


def note_instances(budget: SharedBudget, live: int) -> None:
    """Set how many live instances share the slack."""
    budget.instances = max(MIN_INSTANCES, live)


def take_retry(budget: SharedBudget, pool: str, now_ms: int) -> bool:
    """Take one retry from the budget; return False if it is exhausted."""
    requests = _in_window(budget, budget.requests, pool, now_ms)
    retries = _in_window(budget, budget.retries, pool, now_ms)
    limits = budget.limits
    slack = limits.slack * USED_FRACTION / budget.instances
    if len(retries) + 1 > limits.ratio * USED_FRACTION * len(requests) + slack:
        return False
    retries.append(now_ms)
    return True


def _in_window(
    budget: SharedBudget, by_pool: dict[str, deque[int]], pool: str, now_ms: int
) -> deque[int]:
    times_ms = by_pool.setdefault(pool, deque())
    oldest_ms = now_ms - budget.limits.window_ms
    while times_ms and times_ms[0] <= oldest_ms:
        times_ms.popleft()
    return times_ms
