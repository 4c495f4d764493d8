"""Estimate how long the stages and the run of a request take, to plan backwards."""

from collections.abc import Mapping
from typing import Final

from bramleyturn.core.catalog.model import Pool, Route

# Until runs were seen: the time to the first event of a stream of usual size.
FIRST_EVENT_MS: Final = 350.0
FIRST_EVENT_WEIGHT: Final = 0.1


class FirstEventTimes:
    """Hold the running mean of the time to the first event, by route."""

    def __init__(self) -> None:
        self.by_route: dict[str, float] = {}


def note_first_event(times: FirstEventTimes, route: str, took_ms: int) -> None:
    """Learn from one run."""
    known = times.by_route.get(route, FIRST_EVENT_MS)
    times.by_route[route] = known + FIRST_EVENT_WEIGHT * (took_ms - known)


def first_event_ms(times: FirstEventTimes, route: str) -> int:
    """Return the usual time from dispatch to the first event."""
    return int(times.by_route.get(route, FIRST_EVENT_MS))


def stage_ms(pools: Mapping[str, Pool], pool: str, count: int) -> int:
    """Return the nominal time of a stage whose pieces run side by side."""
    limits = pools[pool].batch if pool in pools else None
    if limits is None or count == 0:
        return 0
    return int(limits.call_ms + limits.item_ms * min(count, limits.batch_items))


def time_after_stage_ms(
    route: Route, counts: tuple[int, ...], stage: int, pools: Mapping[str, Pool]
) -> int:
    """Return the nominal time of the longest chain of stages after ``stage``."""
    followers = [
        number
        for number, later in enumerate(route.stages)
        if stage in later.after and counts[number]
    ]
    return max(
        (
            stage_ms(pools, route.stages[number].pool, counts[number])
            + time_after_stage_ms(route, counts, number, pools)
            for number in followers
        ),
        default=0,
    )
