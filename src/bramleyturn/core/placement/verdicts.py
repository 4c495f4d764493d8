"""Decide what may be done with a server's answer and with a request that failed."""

from enum import StrEnum
from typing import Final

from bramleyturn.core.catalog.model import Route, RouteKind

# Callers take these as a promise that the request was not run and never will be.
NOT_EXECUTED_STATUSES: Final = frozenset({408, 421, 429, 503})
FIRST_SERVER_ERROR: Final = 500
STATUS_OK: Final = 200
FIRST_REDIRECT: Final = 300


class AnswerVerdict(StrEnum):
    """List what can be done with a server's answer."""

    PASS_ON = "pass_on"
    NOT_RUN = "not_run"
    UNUSABLE = "unusable"


def judge_answer(
    status: int, was_not_run: bool, is_signed: bool, is_own: bool, is_encoded: bool
) -> AnswerVerdict:
    """Return what to do with a complete answer.

    ``is_own`` is whether the answer names the request that was sent. An answer must not
    reach the caller if it promises without proof that the request was not run.
    """
    if not is_own:
        return AnswerVerdict.UNUSABLE
    if was_not_run:
        return AnswerVerdict.NOT_RUN
    if STATUS_OK <= status < FIRST_REDIRECT:
        is_whole = is_signed and not is_encoded
        return AnswerVerdict.PASS_ON if is_whole else AnswerVerdict.UNUSABLE
    if status in NOT_EXECUTED_STATUSES:
        return AnswerVerdict.UNUSABLE
    return AnswerVerdict.PASS_ON


def is_safe_to_retry(route: Route) -> bool:
    """Return whether a request may be retried although it may have run."""
    if route.kind is RouteKind.IDEMPOTENT:
        return True
    return route.kind is RouteKind.STREAM and route.is_resumable
