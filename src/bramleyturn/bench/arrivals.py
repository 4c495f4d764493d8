"""Generate the arrival times of an open-loop load."""

import random

from bramleyturn.core.units import MS_PER_S


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
