"""Tell which requests can end before a shutdown, from how long recent ones took.

Load pattern handled here: all instances restart in turn while streams arrive. A stream
that is begun too late is cut, after its caller has waited for it; refused at once, the
caller still has time to retry at another instance. Callers that come while the instance
is in rotation often find no other, so theirs are begun if they are likely to end in
time. Later ones must be almost certain to.

The largest streams of a pool take several times as long as the usual ones, and an
instance may have seen few of them. Requests that name the size of their output are
therefore judged by the pace of the streams before them.
"""

from collections import deque
from statistics import median_low
from typing import Final, NamedTuple

from bramleyturn.core.waiting.shutdown import Shutdown

RECENT_RUNS: Final = 32
# Run times vary with the length of requests and the load of engines.
SAFETY_FACTOR: Final = 2
# Expected of a stream that nothing bounds: longer than any grace period.
UNKNOWN_MS: Final = 3_600_000


class StreamPace(NamedTuple):
    """Hold how long a stream took to its first event, and for each token from there."""

    first_event_ms: int
    ms_per_token: float


class ExpectedRun(NamedTuple):
    """Hold the usual and the longest time that a run is expected to take."""

    typical_ms: int
    longest_ms: int


class RunTimes:
    """Hold recent times in milliseconds, by the name of a route or pool.

    ``paces`` are those of the streams of a pool.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, deque[int]] = {}
        self.paces: dict[str, deque[StreamPace]] = {}


def note_run(times: RunTimes, name: str, took_ms: int) -> None:
    """Record how long a request that was served to its end took."""
    recent = times.by_name.setdefault(name, deque(maxlen=RECENT_RUNS))
    recent.append(took_ms)


def note_stream(
    times: RunTimes, pool: str, first_event_ms: int, rest_ms: int, tokens: int
) -> None:
    """Record the pace of a stream that one server made from its start to its end.

    ``rest_ms`` is the time from its first event on, and ``tokens`` the size of its
    output as the request named it.
    """
    if tokens <= 0:
        return
    recent = times.paces.setdefault(pool, deque(maxlen=RECENT_RUNS))
    recent.append(StreamPace(first_event_ms, rest_ms / tokens))


def expect_run(times: RunTimes, pool: str, unknown_ms: int) -> ExpectedRun:
    """Return how long a run of a request that is no stream is expected to take."""
    return ExpectedRun(
        typical_ms(times, pool, unknown_ms), longest_ms(times, pool, unknown_ms)
    )


def expect_stream(
    times: RunTimes, pool: str, tokens: int, unknown_ms: int
) -> ExpectedRun:
    """Return how long a stream of ``tokens`` is expected to take, 0 if it names none.

    Nothing bounds a stream of unknown size, nor one of a pool without any before it.
    """
    recent = times.paces.get(pool)
    if not recent or tokens <= 0:
        return ExpectedRun(typical_ms(times, pool, unknown_ms), UNKNOWN_MS)
    first_ms = [pace.first_event_ms for pace in recent]
    paces = [pace.ms_per_token for pace in recent]
    return ExpectedRun(
        median_low(first_ms) + int(tokens * median_low(paces)),
        max(first_ms) + int(tokens * max(paces)),
    )


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
