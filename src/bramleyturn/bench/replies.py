"""Parse the responses of an entry."""

from typing import Any, Final, NamedTuple

import orjson

from bramleyturn.bench.verdicts import Outcome, StageCost

HTTP_ERROR: Final = 400
HTTP_SERVER_ERROR: Final = 500


class Reply(NamedTuple):
    """Hold a final outcome."""

    outcome: Outcome
    output: Any
    reason: str
    stages: dict[str, StageCost]
    retry_after_ms: int


class NoReply(NamedTuple):
    """Report why there is no outcome yet; the caller may poll for it or send again."""

    reason: str


def parse_reply(status: int, body: bytes) -> Reply | NoReply:
    """Return the outcome in an entry's response."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return NoReply(f"status {status} without JSON")
    if not isinstance(document, dict):
        return NoReply(f"status {status} without an object")
    if "outcome" in document:
        return _outcome_reply(document)
    reason = f"status {status}: {_problem_text(document)}"
    if HTTP_ERROR <= status < HTTP_SERVER_ERROR:
        return Reply(Outcome.REFUSED, None, reason, {}, 0)
    return NoReply(reason)


def _outcome_reply(document: dict[str, Any]) -> Reply | NoReply:
    try:
        outcome = Outcome(document["outcome"])
    except ValueError:
        return NoReply(f"outcome {document['outcome']!r}")
    return Reply(
        outcome=outcome,
        output=document.get("output"),
        reason=str(document.get("reason") or ""),
        stages={
            name: _stage_cost(stage)
            for name, stage in (document.get("stages") or {}).items()
        },
        retry_after_ms=int(document.get("retry_after_ms") or 0),
    )


def _stage_cost(stage: dict[str, Any]) -> StageCost:
    return StageCost(
        outcome=str(stage.get("outcome", "")),
        attempts=int(stage.get("attempts", 0)),
        elapsed_ms=int(stage.get("elapsed_ms", 0)),
        cost_micros=int(stage.get("cost_micros", 0)),
    )


def _problem_text(document: dict[str, Any]) -> str:
    return str(document.get("detail") or document.get("title") or "no detail")
