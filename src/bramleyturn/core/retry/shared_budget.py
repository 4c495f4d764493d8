"""Keep what is sent more than once within a share of the requests.

The bound holds for all instances together, so each keeps to its part of what may be
sent beyond the ratio. It answers a pool that fails under load: without the bound,
every failure would add to the load that caused it.
"""

from collections import deque
from typing import Final, NamedTuple

# Part of the common slack that is used: instances may not know of each other, and
# the windows of different instances do not begin together.
USED_PART: Final = 0.7
# Fewer instances than this are not assumed, so that one that sees nobody else does
# not take the whole slack.
LEAST_INSTANCES: Final = 4


class BudgetLimits(NamedTuple):
    """Hold the bound: ``ratio`` of the requests of a window, and ``slack`` more."""

    ratio: float
    slack: float
    window_ms: int


class SharedBudget:
    """Hold the instants of the requests and repetitions of each pool."""

    def __init__(self, limits: BudgetLimits) -> None:
        self.limits = limits
        self.instances = LEAST_INSTANCES
        self.requests: dict[str, deque[int]] = {}
        self.repeats: dict[str, deque[int]] = {}


def note_request(budget: SharedBudget, pool: str, now_ms: int) -> None:
    """Count a caller's request for a pool."""
    _within(budget, budget.requests, pool, now_ms).append(now_ms)


def note_instances(budget: SharedBudget, live: int) -> None:
    """Take over how many instances share the slack."""
    budget.instances = max(LEAST_INSTANCES, live)


def take_retry(budget: SharedBudget, pool: str, now_ms: int) -> bool:
    """Take one repetition from the budget, or return False when none is left."""
    requests = _within(budget, budget.requests, pool, now_ms)
    repeats = _within(budget, budget.repeats, pool, now_ms)
    limits = budget.limits
    slack = limits.slack * USED_PART / budget.instances
    if len(repeats) + 1 > limits.ratio * USED_PART * len(requests) + slack:
        return False
    repeats.append(now_ms)
    return True


def _within(
    budget: SharedBudget, by_pool: dict[str, deque[int]], pool: str, now_ms: int
) -> deque[int]:
    instants = by_pool.setdefault(pool, deque())
    oldest_ms = now_ms - budget.limits.window_ms
    while instants and instants[0] <= oldest_ms:
        instants.popleft()
    return instants
