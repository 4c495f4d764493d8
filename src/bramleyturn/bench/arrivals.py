"""Draw the arrival times of an open-loop load."""

import random
from typing import Final

MS_PER_S: Final = 1000


def poisson_arrivals(
    rng: random.Random, rate_per_s: float, duration_ms: int
) -> list[int]:
    """Return the arrival times of a Poisson process, in milliseconds from its start.

    The times are ascending and below ``duration_ms``. A rate of zero or less has
    no arrivals.
    """
    if rate_per_s <= 0:
        return []
    arrivals = []
    at_ms = rng.expovariate(rate_per_s) * MS_PER_S
    while at_ms < duration_ms:
        arrivals.append(int(at_ms))
        at_ms += rng.expovariate(rate_per_s) * MS_PER_S
    return arrivals
