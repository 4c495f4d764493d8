"""Tell what requests are worth beside others of their route, by their size.

Load pattern that it answers: more requests than can be in time, whose sizes differ by
an order of magnitude. Each needs about the same work of the stages, so that those who
wait are served best if the large ones are in time. Small ones are never worth less
than a floor, and none is worth more than a few usual ones.
"""

from collections import deque
from typing import Final

# An output token takes a step of its own; prompt tokens are read many at a time.
PROMPT_TOKENS_PER_OUTPUT_TOKEN: Final = 10
# What any request is worth beside one of usual size, and the most that one can be.
LEAST_WORTH: Final = 0.3
MOST_WORTH: Final = 4.0
# The mean follows about this many of the newest requests of a route.
MEAN_OVER: Final = 60
# Fewer requests than this do not tell which ones are worth little.
LEAST_SEEN: Final = 10


class UsualSizes:
    """Hold the mean size of requests by route, and of how many it is.

    ``worths`` has what the newest requests of all routes are worth.
    """

    def __init__(self) -> None:
        self.by_route: dict[str, tuple[float, int]] = {}
        self.worths: deque[float] = deque(maxlen=MEAN_OVER)


def request_size(prompt_tokens: int, output_tokens: int) -> int:
    """Return the size of a request in prompt tokens; 0 where it does not say."""
    return prompt_tokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * output_tokens


def note_size(sizes: UsualSizes, route: str, size: int) -> None:
    """Learn from one request of a route."""
    if size <= 0:
        return
    mean, seen = sizes.by_route.get(route, (0.0, 0))
    seen = min(seen + 1, MEAN_OVER)
    sizes.by_route[route] = (mean + (size - mean) / seen, seen)


def worth_of(sizes: UsualSizes, route: str, size: int) -> float:
    """Return what a request is worth beside one of usual size, which is worth 1."""
    mean, _ = sizes.by_route.get(route, (0.0, 0))
    if size <= 0 or mean <= 0:
        return 1.0
    return min(MOST_WORTH, LEAST_WORTH + (1 - LEAST_WORTH) * size / mean)


def note_worth(sizes: UsualSizes, worth: float) -> None:
    """Take in what a new request is worth."""
    sizes.worths.append(worth)


def least_worth(sizes: UsualSizes, load: float) -> float:
    """Return from which worth on requests are to be in time at a load.

    A load of 1 is all that can be done. Of twice as much, the better half is served.
    """
    if load <= 1 or len(sizes.worths) < LEAST_SEEN:
        return 0.0
    ranked = sorted(sizes.worths)
    return ranked[int((1 - 1 / load) * len(ranked))]
