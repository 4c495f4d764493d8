"""Forecast the capacity of a pool that the arrivals of a burst leave free.

Load pattern handled here: a burst of some seconds with a trough after it. A forecast
that takes the arrival rate of the burst as lasting refuses requests whose callers still
wait when the pool is free again. Therefore, the load is expected to return to the mean
of the last half minute, and to leave more capacity free in the trough.
"""

import math
from collections import deque
from typing import Final, NamedTuple

from bramleyturn.core.units import MS_PER_S

# Seconds of arrivals whose mean is the usual load.
USUAL_S: Final = 30
# Whole seconds that show that a burst has ended, before its decaying rate does.
RECENT_S: Final = 2
# Arrivals are known for this long before their mean counts in full as the usual load.
LEAD_IN_MS: Final = 10_000
# Bursts last 4 to 7 s, and one that is older may end at any time.
BURST_MS: Final = 5_500.0
MIN_BURST_LEFT_MS: Final = 1_500.0
# A trough leaves this many times the capacity free that the usual load does.
TROUGH_GAIN: Final = 1.75
# Late requests are expected to get at least this fraction of the servers' time.
MIN_FREE_FRACTION: Final = 0.1
# Newton's method is within a millisecond after a few steps.
MAX_STEPS: Final = 12
EXACT_MS: Final = 1.0


class ArrivalRates:
    """Hold the work that arrived at one pool in each second of the last half minute.

    ``by_second`` has pairs of a second and its work in milliseconds of a server at the
    usual pace, oldest first, and ``from_ms`` is when the first work arrived.
    """

    def __init__(self) -> None:
        self.by_second: deque[tuple[int, float]] = deque(maxlen=USUAL_S + 1)
        self.from_ms: int | None = None


class FreeCapacity(NamedTuple):
    """Hold which fraction of a pool's time is free now, and once a burst has ended.

    ``burst_left_ms`` is for how long the burst is expected to last on average.
    """

    now: float
    later: float
    burst_left_ms: float = MIN_BURST_LEFT_MS


def note_arrival(rates: ArrivalRates, work_ms: float, now_ms: int) -> None:
    """Count work that arrives at a pool, in milliseconds of one server."""
    if rates.from_ms is None:
        rates.from_ms = now_ms
    second = now_ms // MS_PER_S
    seconds = rates.by_second
    if seconds and seconds[-1][0] == second:
        seconds[-1] = (second, seconds[-1][1] + work_ms)
        return
    seconds.append((second, work_ms))


def usual_load(
    rates: ArrivalRates, servers: float, load_now: float, now_ms: int
) -> float:
    """Return the mean load of the last half minute, as a fraction of the capacity.

    ``servers`` is the number of servers at the usual pace. Seconds in which more
    arrived than the pool can do count as full ones. While little is known, ``load_now``
    counts for the rest of the lead-in.
    """
    if rates.from_ms is None or now_ms <= rates.from_ms:
        return load_now
    known_ms = min(USUAL_S * MS_PER_S, now_ms - rates.from_ms)
    oldest = (now_ms - known_ms) // MS_PER_S
    full_ms = servers * MS_PER_S
    arrived_ms = sum(
        min(full_ms, work_ms) for second, work_ms in rates.by_second if second >= oldest
    )
    mean = min(1.0, arrived_ms / (servers * known_ms))
    weight = min(1.0, known_ms / LEAD_IN_MS)
    return weight * mean + (1 - weight) * load_now


def free_capacity(
    rates: ArrivalRates, servers: float, load_now: float, now_ms: int
) -> FreeCapacity:
    """Return the capacity that arrivals leave free now and later.

    ``load_now`` is the decaying load of the last seconds. If it is not above the usual
    one, it is expected to last.
    """
    usual = usual_load(rates, servers, load_now, now_ms)
    if load_now <= usual:
        lasting = max(MIN_FREE_FRACTION, 1 - load_now)
        return FreeCapacity(lasting, lasting)
    load_now = max(usual, min(load_now, _recent_load(rates, servers, now_ms)))
    now = max(MIN_FREE_FRACTION, 1 - load_now)
    later = max(now, min(1.0, TROUGH_GAIN * (1 - usual)))
    left_ms = BURST_MS - _burst_age_ms(rates, servers, usual, now_ms)
    return FreeCapacity(now, later, max(MIN_BURST_LEFT_MS, left_ms))


def _burst_age_ms(
    rates: ArrivalRates, servers: float, usual: float, now_ms: int
) -> int:
    """Return for how long each second had a load nearer to the capacity than usual."""
    high_ms = (1 + usual) / 2 * servers * MS_PER_S
    second = now_ms // MS_PER_S
    start = second
    for each, work_ms in reversed(rates.by_second):
        if each == second:
            continue
        if each != start - 1 or work_ms < high_ms:
            break
        start = each
    return now_ms - start * MS_PER_S


def _recent_load(rates: ArrivalRates, servers: float, now_ms: int) -> float:
    """Return the load of the present second and the whole ones before it."""
    since = now_ms // MS_PER_S - RECENT_S
    arrived_ms = sum(work_ms for second, work_ms in rates.by_second if second >= since)
    return arrived_ms / (servers * (now_ms - since * MS_PER_S))


def after_burst(free: FreeCapacity) -> FreeCapacity:
    """Return the free capacity if the burst ended now."""
    return FreeCapacity(free.later, free.later)


def wait_for_work_ms(free: FreeCapacity, work_ms: float) -> float:
    """Return how long a pool takes for work that only gets its free capacity.

    The rest of a burst is taken as exponentially distributed with the mean
    ``burst_left_ms``. The expected capacity is integrated, and Newton's method, which
    converges from above for this convex function, gives the time for the work.
    """
    gain = free.later - free.now
    if gain <= 0:
        return work_ms / free.now
    burst_ms = free.burst_left_ms
    wait_ms = (work_ms + gain * burst_ms) / free.later
    for _ in range(MAX_STEPS):
        lasting = math.exp(-wait_ms / burst_ms)
        done_ms = free.later * wait_ms - gain * burst_ms * (1 - lasting)
        step_ms = (done_ms - work_ms) / (free.later - gain * lasting)
        wait_ms -= step_ms
        if step_ms < EXACT_MS:
            break
    return wait_ms
