"""Eject servers that keep failing, and ramp up new and returning ones slowly."""

from typing import Final

from bramleyturn.core.model import Limits

MAX_EJECTION_DOUBLINGS: Final = 4
SLOW_START_FLOOR: Final = 0.1
PERCENT: Final = 100


class OutlierState:
    """Hold the health of one server as seen from its attempts."""

    __slots__ = (
        "consecutive_failures",
        "ejected_until_ms",
        "ejections",
        "fresh_since_ms",
    )

    def __init__(self, fresh_since_ms: int | None) -> None:
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until_ms: int | None = None
        self.fresh_since_ms = fresh_since_ms


def record_success(state: OutlierState) -> None:
    """Reset the failure and ejection counts after a success."""
    state.consecutive_failures = 0
    state.ejections = 0


def record_failure(state: OutlierState) -> None:
    """Count a consecutive failure."""
    state.consecutive_failures += 1


def should_eject(
    state: OutlierState, limits: Limits, ejected: int, pool_size: int
) -> bool:
    """Return whether to eject the server.

    ``ejected`` of the pool's ``pool_size`` servers are ejected already. The only
    server of a pool is never ejected.
    """
    if state.ejected_until_ms is not None or pool_size < 2:
        return False
    if state.consecutive_failures < max(1, limits.ejection_failures):
        return False
    return ejected < max_ejected(limits, pool_size)


def max_ejected(limits: Limits, pool_size: int) -> int:
    """Return how many of the pool's servers may be ejected at once.

    A pool of two or more may lose one server even if the percentage gives less; one
    server always stays. A limit of 0 percent turns ejection off.
    """
    if pool_size < 2 or limits.ejection_max_percent <= 0:
        return 0
    share = pool_size * limits.ejection_max_percent // PERCENT
    return min(max(1, share), pool_size - 1)


def eject(state: OutlierState, limits: Limits, now_ms: int) -> int:
    """Eject the server and return the time at which its ejection ends.

    Each ejection without a success in between doubles the duration, up to
    ``MAX_EJECTION_DOUBLINGS`` times.
    """
    doublings = min(state.ejections, MAX_EJECTION_DOUBLINGS)
    until_ms = now_ms + (limits.ejection_ms << doublings)
    state.ejections += 1
    state.ejected_until_ms = until_ms
    return until_ms


def end_ejection(state: OutlierState, now_ms: int) -> None:
    """Return the server to its pool with a slow start.

    One more failure ejects it again.
    """
    state.ejected_until_ms = None
    state.consecutive_failures = max(0, state.consecutive_failures - 1)
    state.fresh_since_ms = now_ms


def begin_slow_start(state: OutlierState, now_ms: int) -> None:
    """Ramp the server's load up from now on."""
    state.fresh_since_ms = now_ms


def slow_start_share(state: OutlierState, limits: Limits, now_ms: int) -> float:
    """Return the share of its normal load that the server may take, up to 1."""
    if state.fresh_since_ms is None:
        return 1.0
    fresh_ms = max(0, now_ms - state.fresh_since_ms)
    if fresh_ms >= limits.slow_start_ms:
        state.fresh_since_ms = None
        return 1.0
    return max(SLOW_START_FLOOR, fresh_ms / limits.slow_start_ms)
