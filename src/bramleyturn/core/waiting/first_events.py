"""Learn how long requests run before their first event, to plan backwards."""

from typing import Final

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
