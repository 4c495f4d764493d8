"""Limit a rate with a token bucket."""

from typing import Final

from bramleyturn.core.units import MS_PER_S

NO_RATE_RETRY_MS: Final = 60_000


class TokenBucket:
    """Hold the tokens left and when they were last refilled."""

    def __init__(self, tokens: float, now_ms: int) -> None:
        self.tokens = tokens
        self.refilled_ms = now_ms


def refill(bucket: TokenBucket, rate_per_s: int, burst: int, now_ms: int) -> None:
    """Add the tokens earned since the last refill, up to ``burst``."""
    passed_ms = max(0, now_ms - bucket.refilled_ms)
    earned = passed_ms * rate_per_s / MS_PER_S
    bucket.tokens = min(bucket.tokens + earned, float(burst))
    bucket.refilled_ms = max(bucket.refilled_ms, now_ms)


def token_wait_ms(bucket: TokenBucket, rate_per_s: int) -> int:
    """Return how long until a whole token is available, 0 if one is."""
    if bucket.tokens >= 1.0:
        return 0
    if rate_per_s <= 0:
        return NO_RATE_RETRY_MS
    return 1 + int((1.0 - bucket.tokens) * MS_PER_S / rate_per_s)


def take_token(bucket: TokenBucket) -> None:
    """Take one token, which must be available."""
    bucket.tokens -= 1.0


def full_after_ms(rate_per_s: int, burst: int) -> int:
    """Return how long an empty bucket takes to fill."""
    return burst * MS_PER_S // max(1, rate_per_s)
