"""Read time in milliseconds."""

import time
from collections.abc import Callable
from typing import Final, NamedTuple

NANOSECONDS_PER_MS: Final = 1_000_000


class Clock(NamedTuple):
    """Read two clocks, both in whole milliseconds.

    Every deadline and timer uses ``monotonic_ms``. ``wall_ms`` only labels logs
    and time line events for people.
    """

    monotonic_ms: Callable[[], int]
    wall_ms: Callable[[], int]


def system_clock() -> Clock:
    """Return the clock of this machine.

    The monotonic clock includes time during which the machine was suspended, so
    that a paused process sees its deadlines as passed when it wakes.
    """
    return Clock(
        monotonic_ms=lambda: (
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS
        ),
        wall_ms=lambda: time.time_ns() // NANOSECONDS_PER_MS,
    )


def monotonic_s() -> float:
    """Return the time of the monotonic clock in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualTime:
    """Hold a time that only moves when told to."""

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
