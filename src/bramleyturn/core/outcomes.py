"""Describe how a request and its stages ended."""

from enum import StrEnum
from typing import Any, Final, NamedTuple

SEND_AGAIN_MS: Final = 1_000


class OutcomeKind(StrEnum):
    """Name how a request or stage ended.

    ``ANSWERED``: the output is complete. ``NOT_RUN``: no stage that may not be
    repeated was started, so the request is safe to send again. ``FAILED``: it ran
    and failed, which is final. ``UNKNOWN``: it may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class StageOutcome(NamedTuple):
    """Hold how one stage ended and what all its attempts cost."""

    name: str
    kind: OutcomeKind
    attempts: int
    elapsed_ms: int
    cost_micros: int


class Outcome(NamedTuple):
    """Hold the final result of a request.

    ``output`` is any JSON value. ``retry_after_ms`` tells when a request that did
    not run may be sent again. ``ask`` is the address of the process that may be asked
    for an unknown outcome later, or empty.
    """

    kind: OutcomeKind
    reason: str
    output: Any = None
    retry_after_ms: int | None = None
    stages: tuple[StageOutcome, ...] = ()
    cost_micros: int = 0
    ask: str = ""


def not_run(reason: str, retry_after_ms: int | None = None) -> Outcome:
    """Return the outcome of a request that ran nothing that may not be repeated."""
    return Outcome(OutcomeKind.NOT_RUN, reason, retry_after_ms=retry_after_ms)


def unknown(reason: str, ask: str = "") -> Outcome:
    """Return the outcome of a request that may have run."""
    return Outcome(OutcomeKind.UNKNOWN, reason, ask=ask)
