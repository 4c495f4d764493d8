"""Tell how long a caller has been waiting before this attempt of its request.

It answers refusals that come back: the aim of a request counts from its first
attempt, so that one that returns must not go before a fresh one that can still be in
time. Callers name what is left of their time; what the callers of a route usually
have at first shows in the longest of these.
"""

from typing import Final

# Callers differ by less than this in what they have at first.
TOLERANCE_MS: Final = 60


class LongestWaits:
    """Hold the longest wait that callers of each route have named."""

    def __init__(self) -> None:
        self.by_route: dict[str, int] = {}


def time_spent_ms(waits: LongestWaits, route: str, wait_ms: int) -> int:
    """Return how much of its time a caller has used that will wait ``wait_ms`` more."""
    longest_ms = max(wait_ms, waits.by_route.get(route, 0))
    waits.by_route[route] = longest_ms
    spent_ms = longest_ms - wait_ms
    return spent_ms if spent_ms > TOLERANCE_MS else 0
