"""Check that servers get no more requests than the limits that they name."""

from collections.abc import Iterable
from typing import Final

# From then on, all instances know the limit.
CONTACT_MS: Final = 3_000
WINDOW_MS: Final = 4_000
ALLOWED_FACTOR: Final = 1.5
ALLOWED_REQUESTS: Final = 5


def allowed_requests(limit_per_s: float) -> float:
    """Return how many requests a server may get in a window."""
    return ALLOWED_FACTOR * limit_per_s * WINDOW_MS / 1_000 + ALLOWED_REQUESTS


def most_in_window(arrivals_ms: Iterable[int], from_ms: int, until_ms: int) -> int:
    """Return the most requests in one window between two times."""
    times_ms = sorted(each for each in arrivals_ms if from_ms <= each < until_ms)
    most = 0
    first = 0
    for last, at_ms in enumerate(times_ms):
        while times_ms[first] <= at_ms - WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most
