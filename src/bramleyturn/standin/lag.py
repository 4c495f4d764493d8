"""Report values with a delay."""

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class LaggedValue(Generic[T]):
    """Hold the changes of the last ``lag_ms`` and the value before them."""

    def __init__(self, lag_ms: int, value: T) -> None:
        self.lag_ms = lag_ms
        self.changes: deque[tuple[int, T]] = deque()
        self.reported = value
        self.reported_ms = 0


def set_value(lagged: LaggedValue[T], value: T, now_ms: int) -> None:
    """Set the value from ``now_ms`` on."""
    lagged_value(lagged, now_ms)
    lagged.changes.append((now_ms, value))


def lagged_value(lagged: LaggedValue[T], now_ms: int) -> T:
    """Return the value that was set ``lag_ms`` before ``now_ms``."""
    while lagged.changes and lagged.changes[0][0] + lagged.lag_ms <= now_ms:
        lagged.reported_ms, lagged.reported = lagged.changes.popleft()
    return lagged.reported
