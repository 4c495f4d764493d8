"""Learn how long runs take to their first event, to plan backwards from the aim.

Load pattern that it answers: prompts whose lengths differ by an order of magnitude.
The stages of a request with a long one must be done earlier for it to be in time.
"""

from typing import Final, NamedTuple

# The usual time to the first event without a prompt, and for each token of its own,
# until runs were seen. Engines read some 60 tokens in a millisecond, and half of that
# beside the work of other requests.
FIRST_EVENT_MS: Final = 150.0
TOKEN_MS: Final = 1 / 30
# Weight of what is known against one more run.
FADING: Final = 0.97
# What is assumed at first weighs as much as this many runs, at these lengths.
ASSUMED_RUNS: Final = 4.0
ASSUMED_TOKENS: Final = (500.0, 10_000.0)


class Fit(NamedTuple):
    """Hold the weighted sums over runs from which a line is fitted."""

    weight: float
    tokens: float
    tokens_squared: float
    took_ms: float
    product: float


class FirstEventTimes:
    """Hold what runs have shown, by pool."""

    def __init__(self) -> None:
        self.by_pool: dict[str, Fit] = {}


def note_first_event(
    times: FirstEventTimes, pool: str, own_tokens: int, took_ms: int
) -> None:
    """Learn from one run whose prompt has ``own_tokens`` that no other shares."""
    known = times.by_pool.get(pool, ASSUMED)
    faded = Fit(*(FADING * value for value in known))
    times.by_pool[pool] = _add(faded, 1.0, float(own_tokens), float(took_ms))


def first_event_ms(times: FirstEventTimes, pool: str, own_tokens: int) -> int:
    """Return the usual time from dispatch to the first event."""
    fit = times.by_pool.get(pool, ASSUMED)
    mean_tokens = fit.tokens / fit.weight
    mean_ms = fit.took_ms / fit.weight
    spread = fit.tokens_squared / fit.weight - mean_tokens**2
    shared = fit.product / fit.weight - mean_tokens * mean_ms
    token_ms = max(0.0, shared / spread) if spread > 0 else TOKEN_MS
    return max(0, int(mean_ms + token_ms * (own_tokens - mean_tokens)))


def _add(fit: Fit, weight: float, tokens: float, took_ms: float) -> Fit:
    return Fit(
        fit.weight + weight,
        fit.tokens + weight * tokens,
        fit.tokens_squared + weight * tokens**2,
        fit.took_ms + weight * took_ms,
        fit.product + weight * tokens * took_ms,
    )


def _assumed() -> Fit:
    fit = Fit(0.0, 0.0, 0.0, 0.0, 0.0)
    for tokens in ASSUMED_TOKENS:
        took_ms = FIRST_EVENT_MS + TOKEN_MS * tokens
        fit = _add(fit, ASSUMED_RUNS / len(ASSUMED_TOKENS), tokens, took_ms)
    return fit


ASSUMED: Final = _assumed()
