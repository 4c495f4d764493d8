"""Tell which requests can end before a shutdown, from how long recent ones took.

Load pattern handled here: all instances restart in turn while streams arrive. A stream
that is begun too late is cut, after its caller has waited for it; refused at once, the
caller still has time to retry at another instance. Callers that come while the instance
is in rotation often find no other, so theirs are begun if they are likely to end in
time. Later ones must be almost certain to.
"""

from collections import deque
from statistics import median_low
from typing import Final

from bramleyturn.core.waiting.shutdown import Shutdown

RECENT_RUNS: Final = 32
# Run times vary with the length of requests and the load of engines.
SAFETY_FACTOR: Final = 2


class RunTimes:
    """Hold recent times in milliseconds, by the name of a route or pool."""

    def __init__(self) -> None:
        self.by_name: dict[str, deque[int]] = {}


def note_run(times: RunTimes, name: str, took_ms: int) -> None:
    """Record how long a request that was served to its end took."""
    recent = times.by_name.setdefault(name, deque(maxlen=RECENT_RUNS))
    recent.append(took_ms)


def typical_ms(times: RunTimes, name: str, unknown_ms: int) -> int:
    """Return the median of the recent times, ``unknown_ms`` if there are none."""
    recent = times.by_name.get(name)
    return int(median_low(recent)) if recent else unknown_ms


def longest_ms(times: RunTimes, name: str, least_ms: int) -> int:
    """Return the longest of the recent times, at least ``least_ms``."""
    recent = times.by_name.get(name)
    return max(least_ms, max(recent)) if recent else least_ms


def ends_in_time(
    shutdown: Shutdown, arrived_ms: int, now_ms: int, typical_ms: int, longest_ms: int
) -> bool:
    """Return whether a request that begins now can be expected to end in time."""
    is_late = arrived_ms >= shutdown.out_of_rotation_ms
    needed_ms = SAFETY_FACTOR * longest_ms if is_late else typical_ms
    return now_ms + needed_ms <= shutdown.ends_ms


def is_better_elsewhere(
    shutdown: Shutdown, arrived_ms: int, is_stream: bool, has_alternative: bool
) -> bool:
    """Return whether another instance should serve a request that was read late.

    A stream may take longer than any before it, and is cut then. If the
    zone has another instance, an immediate refusal lets the caller retry there.
    """
    is_late = arrived_ms >= shutdown.out_of_rotation_ms
    return is_late and is_stream and has_alternative
