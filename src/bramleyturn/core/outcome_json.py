"""Convert outcomes to JSON documents and back."""

from typing import Any, TypedDict

from bramleyturn.core.outcomes import Outcome, OutcomeKind, StageOutcome


class StageDocument(TypedDict):
    """Describe how a stage ended."""

    outcome: str
    attempts: int
    elapsed_ms: int
    cost_micros: int


class OutcomeDocument(TypedDict):
    """Describe how a request ended."""

    request_id: str
    outcome: str
    reason: str
    output: Any
    stages: dict[str, StageDocument]
    cost_micros: int
    retry_after_ms: int | None
    ask: str


def outcome_document(request_id: str, outcome: Outcome) -> OutcomeDocument:
    """Return the document of an outcome."""
    return {
        "request_id": request_id,
        "outcome": str(outcome.kind),
        "reason": outcome.reason,
        "output": outcome.output,
        "stages": {
            stage.name: {
                "outcome": str(stage.kind),
                "attempts": stage.attempts,
                "elapsed_ms": stage.elapsed_ms,
                "cost_micros": stage.cost_micros,
            }
            for stage in outcome.stages
        },
        "cost_micros": outcome.cost_micros,
        "retry_after_ms": outcome.retry_after_ms,
        "ask": outcome.ask,
    }


def parse_outcome(document: Any) -> Outcome | None:
    """Return the outcome that a document of another process describes.

    Returns None if the document is malformed.
    """
    try:
        return Outcome(
            kind=OutcomeKind(document["outcome"]),
            reason=str(document["reason"]),
            output=document["output"],
            retry_after_ms=document["retry_after_ms"],
            stages=tuple(
                StageOutcome(
                    name=name,
                    kind=OutcomeKind(stage["outcome"]),
                    attempts=int(stage["attempts"]),
                    elapsed_ms=int(stage["elapsed_ms"]),
                    cost_micros=int(stage["cost_micros"]),
                )
                for name, stage in document["stages"].items()
            ),
            cost_micros=int(document["cost_micros"]),
            ask=str(document["ask"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
