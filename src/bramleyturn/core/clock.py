"""Define the millisecond clocks, with a manual one for tests.

The system clock is in runtime/system_clock.py.
"""

from collections.abc import Callable
from typing import NamedTuple


class Clock(NamedTuple):
    """Read two clocks, both in whole milliseconds.

    Every deadline and timer uses ``monotonic_ms``. ``wall_ms`` only labels logs
    and timeline events for people.
    """

    monotonic_ms: Callable[[], int]
    wall_ms: Callable[[], int]


class ManualTime:
    """Hold a time that only ``advance`` changes."""

    def __init__(self, now_ms: int = 0) -> None:
        self.now_ms = now_ms

    def advance(self, by_ms: int) -> None:
        """Move the time forward by ``by_ms`` milliseconds."""
        self.now_ms += by_ms


def manual_clock(manual_time: ManualTime) -> Clock:
    """Return a clock that reads ``manual_time``."""
    return Clock(
        monotonic_ms=lambda: manual_time.now_ms,
        wall_ms=lambda: manual_time.now_ms,
    )
