"""Log requests and attempts of an entry process, without their content."""

import logging
from collections.abc import Iterable

from bramleyturn.core.actions import Answer, StartAttempt
from bramleyturn.core.crashes import Crash
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import AttemptFailed
from bramleyturn.core.outcomes import OutcomeKind

logger = logging.getLogger(__name__)


def log_started(action: StartAttempt) -> None:
    """Log that an attempt starts."""
    if not logger.isEnabledFor(logging.DEBUG):
        return
    logger.debug(
        "attempt started",
        extra={
            "request_id": action.request_id,
            "stage": action.stage,
            "attempt_id": action.attempt_id,
            "server": action.server.name,
        },
    )


def log_failed(state: EntryState, event: AttemptFailed) -> None:
    """Log that an attempt ended without an answer.

    The event's detail is left out: it may quote what a backend server sent.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return
    request = state.requests.get(attempt.request_key)
    logger.info(
        "attempt broke",
        extra={
            "request_id": request.request_id if request is not None else "",
            "stage": attempt.stage,
            "attempt_id": event.attempt_id,
            "server": attempt.server.name,
            "reason": str(event.reason),
        },
    )


def log_crashes(crashes: Iterable[Crash], event: str, now_ms: int) -> None:
    """Log the crashes that an event, such as a peer's message, added or changed."""
    for crash in crashes:
        logger.info(
            "server crashed",
            extra={
                "server": crash.server,
                "age_ms": now_ms - crash.at_ms,
                "suspects": len(crash.fingerprints - crash.finished),
                "finished": len(crash.finished),
                "event": event,
            },
        )


def log_outcome(action: Answer) -> None:
    """Log how a request ended; an answered one at debug level."""
    outcome = action.outcome
    answered = outcome.kind is OutcomeKind.ANSWERED
    level = logging.DEBUG if answered else logging.INFO
    if not logger.isEnabledFor(level):
        return
    logger.log(
        level,
        "request ended",
        extra={
            "request_id": action.request_id,
            "outcome": str(outcome.kind),
            "reason": outcome.reason,
        },
    )
