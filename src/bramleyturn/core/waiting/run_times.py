"""Learn how long requests take, to tell which of them can end before a shutdown.

Load pattern handled here: all instances restart in turn while streams arrive. A stream
that is begun too late is cut, and its caller has waited in vain; refused at once, the
caller still has time to retry at another instance.
"""

from collections import deque
from statistics import median_low
from typing import Final

RECENT_RUNS: Final = 32


class RunTimes:
    """Hold the recent times of each route, in milliseconds."""

    def __init__(self) -> None:
        self.by_route: dict[str, deque[int]] = {}


def note_run(times: RunTimes, route: str, took_ms: int) -> None:
    """Record how long a request that was served to its end took."""
    recent = times.by_route.setdefault(route, deque(maxlen=RECENT_RUNS))
    recent.append(took_ms)


def typical_ms(times: RunTimes, route: str, unknown_ms: int) -> int:
    """Return the median of the recent times, ``unknown_ms`` if there are none."""
    recent = times.by_route.get(route)
    return median_low(recent) if recent else unknown_ms


def longest_ms(times: RunTimes, route: str, unknown_ms: int) -> int:
    """Return the longest of the recent times, ``unknown_ms`` if there are none."""
    return max(times.by_route.get(route, ()), default=unknown_ms)
