"""Estimate how long a server would take to finish one more attempt."""

from collections import deque
from typing import Final, NamedTuple

FIXED_TOKENS: Final = 32
REPORT_HALF_LIFE_SHARE: Final = 0.25
REPORT_HALF_LIVES: Final = 5.0
MIN_REPORT_HALF_LIFE_MS: Final = 20.0
MAX_REPORT_HALF_LIFE_MS: Final = 2_000.0
SLOWNESS_HALF_LIFE_MS: Final = 10_000
HISTORY_LENGTH: Final = 64
NEVER_MS: Final = -1_000_000_000
SLOWNESS_GAIN: Final = 0.05
EXPECTED_GAIN: Final = 0.1
MEAN_GAIN: Final = 0.05
REPORT_GAIN: Final = 0.1
MIN_SLOWNESS: Final = 0.25
MAX_SLOWNESS: Final = 20.0
DEFAULT_EXPECTED_MS: Final = 100.0
MAX_REPORTED_JOBS: Final = 1_000_000
MAX_REPORTED_AGE_MS: Final = 86_400_000
IN_TIME_SHARE: Final = 0.85
MARGIN_GAIN: Final = 0.1
MAX_MARGIN: Final = 4.0


class LoadReport(NamedTuple):
    """Report a server's load as of ``age_ms`` milliseconds ago."""

    server: str
    running: int
    queued: int
    capacity: int
    age_ms: int
    leaving: bool


def is_plausible(report: LoadReport) -> bool:
    """Return whether the numbers of a report are in the range of real ones.

    A number beyond it would shift the averages of all servers of its pool.
    """
    jobs = (report.running, report.queued, report.capacity)
    return (
        all(0 <= number <= MAX_REPORTED_JOBS for number in jobs)
        and 0 <= report.age_ms <= MAX_REPORTED_AGE_MS
    )


class PoolLoad:
    """Hold the averages of a pool: durations by size class, size and load."""

    __slots__ = (
        "capacity",
        "expected_ms",
        "half_life_ms",
        "margin",
        "mean_ms",
        "mean_others",
        "mean_start_ms",
        "mean_weight",
    )

    def __init__(self, capacity: int) -> None:
        self.capacity = max(1, capacity)
        self.mean_weight = 0.0
        self.mean_ms = 0.0
        self.mean_start_ms = 0.0
        self.margin = 1.0
        self.half_life_ms = MAX_REPORT_HALF_LIFE_MS
        self.expected_ms: dict[int, float] = {}
        self.mean_others = 0.0


class ServerLoad:
    """Hold one server's load: this process's own attempts and those of others."""

    __slots__ = (
        "capacity",
        "history",
        "in_flight",
        "in_flight_weight",
        "others",
        "others_ms",
        "slowness",
        "slowness_ms",
    )

    def __init__(self, capacity: int) -> None:
        self.capacity = max(1, capacity)
        self.in_flight = 0
        self.in_flight_weight = 0
        self.slowness = 1.0
        self.slowness_ms = 0
        self.others = 0.0
        self.others_ms = NEVER_MS
        self.history: deque[tuple[int, int]] = deque(maxlen=HISTORY_LENGTH)


def size_weight(size_tokens: int) -> int:
    """Return the work of an attempt in tokens: its size and a fixed overhead."""
    return max(0, size_tokens) + FIXED_TOKENS


def expected_ms(pool: PoolLoad, size_tokens: int) -> float:
    """Return the usual duration of an attempt of this size in the pool."""
    known_ms = pool.expected_ms.get(_size_class(size_tokens))
    if known_ms is not None:
        return known_ms
    return pool.mean_ms or DEFAULT_EXPECTED_MS


def count_start(
    pool: PoolLoad, load: ServerLoad, size_tokens: int, now_ms: int
) -> None:
    """Count an attempt of this process as in flight."""
    weight = size_weight(size_tokens)
    load.in_flight += 1
    load.in_flight_weight += weight
    load.history.append((now_ms, load.in_flight))
    gain = MEAN_GAIN if pool.mean_weight else 1.0
    pool.mean_weight += (weight - pool.mean_weight) * gain
    if pool.mean_ms:
        usual_ms = expected_ms(pool, size_tokens)
        gain = MEAN_GAIN if pool.mean_start_ms else 1.0
        pool.mean_start_ms += (usual_ms - pool.mean_start_ms) * gain


def count_end(load: ServerLoad, size_tokens: int, now_ms: int) -> None:
    """Count an attempt of this process as ended, whatever its result."""
    load.in_flight = max(0, load.in_flight - 1)
    left = load.in_flight_weight - size_weight(size_tokens)
    load.in_flight_weight = max(0, left) if load.in_flight else 0
    load.history.append((now_ms, load.in_flight))


def learn_time(
    pool: PoolLoad, load: ServerLoad, size_tokens: int, elapsed_ms: float, now_ms: int
) -> None:
    """Learn from the duration of a finished attempt, less its estimated wait."""
    usual_ms = expected_ms(pool, size_tokens)
    elapsed_ms = elapsed_ms / (1.0 + _waiting_share(pool, load, now_ms))
    known = bool(pool.mean_ms)
    pool.mean_ms += (elapsed_ms - pool.mean_ms) * (MEAN_GAIN if known else 1.0)
    half_life_ms = pool.mean_ms * REPORT_HALF_LIFE_SHARE
    pool.half_life_ms = min(
        max(half_life_ms, MIN_REPORT_HALF_LIFE_MS), MAX_REPORT_HALF_LIFE_MS
    )
    _learn_expected(pool, size_tokens, elapsed_ms)
    if known:
        _learn_slowness(load, elapsed_ms / max(1.0, usual_ms), now_ms)


def learn_unfinished(
    pool: PoolLoad, load: ServerLoad, size_tokens: int, elapsed_ms: int, now_ms: int
) -> None:
    """Learn from an abandoned attempt, whose elapsed time is a lower bound."""
    if not pool.mean_ms:
        return
    usual_ms = expected_ms(pool, size_tokens)
    least_ms = elapsed_ms / (1.0 + _waiting_share(pool, load, now_ms))
    if least_ms > usual_ms:
        _learn_expected(pool, size_tokens, least_ms)
    ratio = least_ms / max(1.0, usual_ms)
    if ratio > slowness(load, now_ms):
        _learn_slowness(load, ratio, now_ms)


def _learn_expected(pool: PoolLoad, size_tokens: int, elapsed_ms: float) -> None:
    size_class = _size_class(size_tokens)
    class_ms = pool.expected_ms.get(size_class, elapsed_ms)
    pool.expected_ms[size_class] = class_ms + (elapsed_ms - class_ms) * EXPECTED_GAIN


def _learn_slowness(load: ServerLoad, ratio: float, now_ms: int) -> None:
    before = slowness(load, now_ms)
    learnt = before + (ratio - before) * SLOWNESS_GAIN
    load.slowness = min(max(learnt, MIN_SLOWNESS), MAX_SLOWNESS)
    load.slowness_ms = now_ms


def slowness(load: ServerLoad, now_ms: int) -> float:
    """Return how much slower than its pool the server is, 1 for the same speed.

    The value decays towards 1 while no attempt ends there, so that a server that was
    slow once is tried again.
    """
    if load.slowness == 1.0:
        return 1.0
    decay: float = 0.5 ** ((now_ms - load.slowness_ms) / SLOWNESS_HALF_LIFE_MS)
    return 1.0 + (load.slowness - 1.0) * decay


def apply_report(
    pool: PoolLoad, load: ServerLoad, report: LoadReport, now_ms: int
) -> None:
    """Apply a report, less the attempts of this process that it counts.

    A report older than the last one applied is ignored.
    """
    taken_ms = now_ms - max(0, report.age_ms)
    if taken_ms < load.others_ms:
        return
    if report.capacity > 0:
        load.capacity = report.capacity
    own = _in_flight_at(load, taken_ms)
    load.others = float(max(0, report.running + report.queued - own))
    load.others_ms = taken_ms
    pool.mean_others += (load.others - pool.mean_others) * REPORT_GAIN


def others_in_flight(pool: PoolLoad, load: ServerLoad, now_ms: int) -> float:
    """Return the estimated attempts of other processes on the server.

    With its age a report loses weight to the pool's mean, within a fraction of the
    usual service time: by then the attempts it counted have ended, and many processes
    that follow the same old report would overload its server.
    """
    half_lives = (now_ms - load.others_ms) / pool.half_life_ms
    if half_lives > REPORT_HALF_LIVES:
        return pool.mean_others
    weight: float = 0.5**half_lives
    return pool.mean_others + (load.others - pool.mean_others) * weight


def estimate_ms(
    pool: PoolLoad,
    load: ServerLoad,
    usual_ms: float,
    now_ms: int,
) -> tuple[float, float]:
    """Return the estimated time to finish one more attempt and the utilisation.

    ``usual_ms`` is the pool's usual duration of an attempt of this size. A batch slows
    down as it fills up; beyond the capacity attempts queue.
    """
    busy = _busy(pool, load, now_ms)
    utilisation = busy / load.capacity
    finish_ms = usual_ms * (1.0 + utilisation)
    waiting = busy + 1.0 - load.capacity
    if waiting > 0.0:
        finish_ms += waiting / load.capacity * (pool.mean_ms or usual_ms)
    return finish_ms * slowness(load, now_ms), utilisation


def expected_finish_ms(
    pool: PoolLoad, load: ServerLoad, size_tokens: int, now_ms: int
) -> float:
    """Return how long one more attempt is expected to take, including its wait."""
    wait_ms = _waiting_share(pool, load, now_ms) * pool.mean_start_ms
    return (expected_ms(pool, size_tokens) + wait_ms) * slowness(load, now_ms)


def learn_margin(pool: PoolLoad, forecast_ms: float, elapsed_ms: int) -> None:
    """Adjust the factor on forecasts so that most attempts finish within them.

    The factor tracks the ``IN_TIME_SHARE`` quantile of elapsed to forecast time, so an
    abandoned attempt counts correctly: all that is known is that it took longer.
    """
    if elapsed_ms > forecast_ms * pool.margin:
        pool.margin = min(MAX_MARGIN, pool.margin + MARGIN_GAIN * IN_TIME_SHARE)
    else:
        step = MARGIN_GAIN * (1.0 - IN_TIME_SHARE)
        pool.margin = max(1.0, pool.margin - step)


def _busy(pool: PoolLoad, load: ServerLoad, now_ms: int) -> float:
    own = float(load.in_flight)
    if own:
        own = (own + load.in_flight_weight / pool.mean_weight) / 2
    return own + others_in_flight(pool, load, now_ms)


def _waiting_share(pool: PoolLoad, load: ServerLoad, now_ms: int) -> float:
    """Return the wait of one more attempt, in rounds of all slots of the server."""
    waiting = _busy(pool, load, now_ms) + 1.0 - load.capacity
    return max(0.0, waiting) / load.capacity


def _size_class(size_tokens: int) -> int:
    return max(0, size_tokens).bit_length()


def _in_flight_at(load: ServerLoad, at_ms: int) -> int:
    for changed_ms, in_flight in reversed(load.history):
        if changed_ms <= at_ms:
            return in_flight
    if len(load.history) < HISTORY_LENGTH:
        return 0
    return load.history[0][1]
