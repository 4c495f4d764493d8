"""Read the clocks of this instance."""

import time
from typing import Final

from bramleyturn.core.clock import Clock

NANOSECONDS_PER_MS: Final = 1_000_000


def system_clock() -> Clock:
    """Return the clocks of this instance.

    The monotonic clock includes time during which the instance was suspended, so
    that a paused process sees its deadlines as passed when it resumes.
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
