"""Tell a refused caller when to come back.

It answers a burst: callers that were refused together would otherwise return
together. They are spread over the time in which room appears, and none is told to
wait for longer than a third of the time that it has left.
"""

from random import Random
from typing import Final

# Callers honour a longer time only up to this part of what they have left.
LONGEST_PART: Final = 1 / 3
LEAST_MS: Final = 100
SPREAD: Final = 0.5


def retry_after_ms(wait_ms: int, left_ms: int, random: Random) -> int:
    """Return when a caller may come back, given the expected wait for a place."""
    longest_ms = int(left_ms * LONGEST_PART)
    wished_ms = int(max(LEAST_MS, wait_ms) * (1 + SPREAD * random.random()))
    return max(0, min(wished_ms, longest_ms))
