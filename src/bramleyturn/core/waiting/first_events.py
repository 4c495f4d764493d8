"""Learn the time to first event of runs, to plan backwards from the latency target.

Load pattern handled here: prompts whose lengths differ by an order of magnitude. The
stages of a request with a long prompt must be done earlier for it to be in time.

The estimate is a line in the length of the prompt, fitted by weighted least squares.
"""

from typing import Final, NamedTuple

# The assumed time to first event of an empty prompt, and for each own token of a
# prompt, until runs were observed. Engines read some 60 tokens in a millisecond, and
# half of that while they work on other requests.
FIRST_EVENT_MS: Final = 150.0
TOKEN_MS: Final = 1 / 30
# Decay of the weight of earlier runs with each new run.
DECAY: Final = 0.97
# The initial assumption weighs as much as this many runs, at these prompt lengths.
PRIOR_RUNS: Final = 4.0
PRIOR_TOKENS: Final = (500.0, 10_000.0)


class LineFit(NamedTuple):
    """Hold the weighted sums over runs from which the line is computed."""

    weight: float
    tokens: float
    tokens_squared: float
    took_ms: float
    product: float


class FirstEventTimes:
    """Hold the fit of each pool."""

    def __init__(self) -> None:
        self.by_pool: dict[str, LineFit] = {}


def note_first_event(
    times: FirstEventTimes, pool: str, own_tokens: int, took_ms: int
) -> None:
    """Update the fit from a run; no other prompt shares its ``own_tokens``."""
    known = times.by_pool.get(pool, PRIOR)
    decayed = LineFit(*(DECAY * value for value in known))
    times.by_pool[pool] = _add(decayed, 1.0, float(own_tokens), float(took_ms))


def first_event_ms(times: FirstEventTimes, pool: str, own_tokens: int) -> int:
    """Return the expected time from dispatch to the first event."""
    fit = times.by_pool.get(pool, PRIOR)
    mean_tokens = fit.tokens / fit.weight
    mean_ms = fit.took_ms / fit.weight
    variance = fit.tokens_squared / fit.weight - mean_tokens**2
    covariance = fit.product / fit.weight - mean_tokens * mean_ms
    token_ms = max(0.0, covariance / variance) if variance > 0 else TOKEN_MS
    return max(0, int(mean_ms + token_ms * (own_tokens - mean_tokens)))


def _add(fit: LineFit, weight: float, tokens: float, took_ms: float) -> LineFit:
    return LineFit(
        fit.weight + weight,
        fit.tokens + weight * tokens,
        fit.tokens_squared + weight * tokens**2,
        fit.took_ms + weight * took_ms,
        fit.product + weight * tokens * took_ms,
    )


def _prior() -> LineFit:
    fit = LineFit(0.0, 0.0, 0.0, 0.0, 0.0)
    for tokens in PRIOR_TOKENS:
        took_ms = FIRST_EVENT_MS + TOKEN_MS * tokens
        fit = _add(fit, PRIOR_RUNS / len(PRIOR_TOKENS), tokens, took_ms)
    return fit


PRIOR: Final = _prior()
