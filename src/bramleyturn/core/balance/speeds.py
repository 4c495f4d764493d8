"""Learn how fast each run of a server works, relative to its pool.

Load pattern handled here: servers share their machines with other workloads, so that a
third of them is more than twice as slow as another third. What a server says of its
machine changes many times a second and is stale when it arrives, and the times of
answers depend on the requests: both count by their long-run mean alone.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

# The newest of so many samples weighs as one of them, so that a machine whose other
# workloads end counts as usual again within some minutes.
MAX_SAMPLES: Final = 50.0
# The pool's mean weighs as much as this many samples: a new run starts there.
PRIOR_SAMPLES: Final = 4.0
# Requests differ in length much more than a machine's pace does.
TIME_WEIGHT: Final = 0.25
# Relative paces beyond these are due to faults, or to queues at the server.
LEAST_PACE: Final = 0.25
MOST_PACE: Final = 4.0
# The logarithm of a single sample's ratio is at most this far from 0.
MAX_SAMPLE_LOG: Final = math.log(16.0)


class LongMean:
    """Hold a mean of logarithms, and how many samples it counts for."""

    def __init__(self) -> None:
        self.mean = 0.0
        self.samples = 0.0


class LearnedPace:
    """Hold the pace of a run as three long-run means of logarithms.

    ``said`` is what the server says of its machine, ``timed`` the time of its answers
    relative to its pool's, and ``told`` the relative pace told by other instances.
    """

    def __init__(self) -> None:
        self.said = LongMean()
        self.timed = LongMean()
        self.told = LongMean()


class PoolTime:
    """Hold the usual time of a pool's requests."""

    def __init__(self) -> None:
        self.log_ms = LongMean()


def note_said(pace: LearnedPace, slowness_percent: int) -> None:
    """Record how long work takes according to the server, 100 being usual."""
    _add(pace.said, math.log(max(1, slowness_percent) / 100))


def note_timed(pace: LearnedPace, took_ms: float, expected_ms: float) -> None:
    """Record the time of a request beside the time expected for its pool."""
    if expected_ms > 0:
        _add(pace.timed, math.log(max(1.0, took_ms) / expected_ms))


def note_told(pace: LearnedPace, pace_percent: int) -> None:
    """Record the relative pace that another instance has learned."""
    _add(pace.told, math.log(max(1, pace_percent) / 100))


def expected_ms(times: dict[str, PoolTime], pool: str, took_ms: float) -> float:
    """Return the usual time of a pool's requests, and add a request's time to it."""
    log_ms = times.setdefault(pool, PoolTime()).log_ms
    usual = math.exp(log_ms.mean) if log_ms.samples else max(1.0, took_ms)
    _add(log_ms, math.log(max(1.0, took_ms)), most_log=math.inf)
    return usual


def relative_paces(paces: Sequence[LearnedPace | None]) -> list[float]:
    """Return the pace of each run of a pool, 1 being the pool's mean, 2 half as fast.

    Runs of which nothing is known, None, count as the mean.
    """
    known = [pace for pace in paces if pace is not None]
    said = _pool_mean(pace.said for pace in known)
    timed = _pool_mean(pace.timed for pace in known)
    return [
        1.0 if pace is None else _bounded(math.exp(_relative_log(pace, said, timed)))
        for pace in paces
    ]


def own_pace_percent(paces: Mapping[str, LearnedPace], run: str) -> int:
    """Return the relative pace of a run by the answers to this instance, 0 if unknown.

    What others told is left out, or it would be told back to them. ``paces`` has those
    of the runs of the pool.
    """
    pace = paces[run]
    if not pace.said.samples and not pace.timed.samples:
        return 0
    said = _pool_mean(each.said for each in paces.values())
    timed = _pool_mean(each.timed for each in paces.values())
    weights = pace.said.samples, TIME_WEIGHT * pace.timed.samples
    sums = weights[0] * (pace.said.mean - said) + weights[1] * (pace.timed.mean - timed)
    return round(100 * _bounded(math.exp(sums / sum(weights))))


def is_learned(pace: LearnedPace) -> bool:
    """Return whether anything is known of a run's pace."""
    return bool(pace.said.samples or pace.timed.samples or pace.told.samples)


def _relative_log(pace: LearnedPace, said: float, timed: float) -> float:
    parts = (
        (pace.said.samples, pace.said.mean - said),
        (TIME_WEIGHT * pace.timed.samples, pace.timed.mean - timed),
        (pace.told.samples, pace.told.mean),
    )
    weight = sum(samples for samples, _ in parts) + PRIOR_SAMPLES
    return sum(samples * mean for samples, mean in parts) / weight


def _pool_mean(means: Iterable[LongMean]) -> float:
    known = [each.mean for each in means if each.samples]
    return sum(known) / len(known) if known else 0.0


def _bounded(pace: float) -> float:
    return min(MOST_PACE, max(LEAST_PACE, pace))


def _add(mean: LongMean, value: float, most_log: float = MAX_SAMPLE_LOG) -> None:
    value = min(most_log, max(-most_log, value))
    mean.samples = min(MAX_SAMPLES, mean.samples + 1.0)
    mean.mean += (value - mean.mean) / mean.samples
