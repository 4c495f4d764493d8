"""Estimate how long a caller has waited before this attempt of its request.

Load pattern handled here: retries of refused requests. The latency target of a request
counts from its first attempt, so a retry must not go before a new request that can
still be in time. Callers only send their remaining time. The longest one seen on a
route shows how much time its callers have at first.
"""

from typing import Final

# The time that callers of a route have at first differs by less than this.
TOLERANCE_MS: Final = 60


class LongestWaits:
    """Hold the longest remaining time that callers of each route have sent."""

    def __init__(self) -> None:
        self.by_route: dict[str, int] = {}


def time_spent_ms(waits: LongestWaits, route: str, wait_ms: int) -> int:
    """Return how much of its time a caller with ``wait_ms`` left has used."""
    longest_ms = max(wait_ms, waits.by_route.get(route, 0))
    waits.by_route[route] = longest_ms
    spent_ms = longest_ms - wait_ms
    return spent_ms if spent_ms > TOLERANCE_MS else 0
