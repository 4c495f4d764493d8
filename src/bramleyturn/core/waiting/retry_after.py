"""Compute when a refused caller should retry.

Load pattern handled here: a burst. Callers that were refused together would otherwise
retry together. Jitter spreads their retries over the time in which capacity becomes
free, and no caller is told to wait for longer than a third of its remaining time.
"""

from random import Random
from typing import Final

# Callers honour a wait only up to this fraction of their remaining time.
MAX_WAIT_FRACTION: Final = 1 / 3
MIN_WAIT_MS: Final = 100
JITTER: Final = 0.5


def retry_after_ms(wait_ms: int, left_ms: int, random: Random) -> int:
    """Return how long a caller should wait, given the expected wait for capacity."""
    max_wait_ms = int(left_ms * MAX_WAIT_FRACTION)
    jittered_ms = int(max(MIN_WAIT_MS, wait_ms) * (1 + JITTER * random.random()))
    return max(0, min(jittered_ms, max_wait_ms))
