"""Find servers that answer with errors while their status is good.

Load pattern handled here: one of four servers fails every request, and each of about a
hundred instances would learn so alone, with a request that may run only once. The
newest few answers of a server are shared by all instances, each with an id so that it
counts once however often it is told.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

MAX_OUTCOMES: Final = 6
OUTCOME_TTL_MS: Final = 2_000
MAX_OUTCOME_ID: Final = 2**20
# As many answers without an error are assumed beside those that are known.
PRIOR_ANSWERS: Final = 1
# A server with a greater share of errors only gets what shows whether it still fails.
MAX_ERROR_SHARE: Final = 0.5
AVOIDED_TRUST: Final = 0.02


class Outcome(NamedTuple):
    """Hold whether an answer was an error of its server, and when it came."""

    outcome_id: int
    is_error: bool
    at_ms: int


def add_outcomes(
    known: dict[int, Outcome], added: Iterable[Outcome], now_ms: int
) -> None:
    """Add answers, and keep the newest ones."""
    for outcome in added:
        before = known.get(outcome.outcome_id)
        if before is None or outcome.at_ms < before.at_ms:
            known[outcome.outcome_id] = outcome
    for outcome in list(known.values()):
        if now_ms - outcome.at_ms > OUTCOME_TTL_MS:
            del known[outcome.outcome_id]
    for outcome in newest(known)[MAX_OUTCOMES:]:
        del known[outcome.outcome_id]


def newest(known: dict[int, Outcome]) -> list[Outcome]:
    """Return the answers, the newest first."""
    return sorted(known.values(), key=lambda outcome: -outcome.at_ms)


def has_errors(known: dict[int, Outcome], now_ms: int) -> bool:
    """Return whether a recent answer was an error."""
    return any(
        each.is_error and now_ms - each.at_ms <= OUTCOME_TTL_MS
        for each in known.values()
    )


def trust(known: dict[int, Outcome], now_ms: int) -> float:
    """Return the share of requests that a server is expected to serve, above 0."""
    recent = [each for each in known.values() if now_ms - each.at_ms <= OUTCOME_TTL_MS]
    errors = sum(each.is_error for each in recent)
    share = errors / (len(recent) + PRIOR_ANSWERS)
    return AVOIDED_TRUST if share > MAX_ERROR_SHARE else 1.0 - share


def is_avoided(known: dict[int, Outcome], now_ms: int) -> bool:
    """Return whether a server gets little because it answers with errors."""
    return trust(known, now_ms) <= AVOIDED_TRUST
