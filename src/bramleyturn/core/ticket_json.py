"""Encode messages about tickets as JSON documents and decode them."""

from collections.abc import Callable
from typing import Any

from bramleyturn.core.events import BackupAnswer, BackupMessage
from bramleyturn.core.outcome_json import outcome_document, parse_outcome
from bramleyturn.core.outcomes import Outcome, OutcomeKind, StageOutcome
from bramleyturn.core.ticket_messages import (
    BackupGone,
    BackupUnsure,
    CopyKept,
    InputDiffers,
    IntendedStage,
    Intent,
    IntentAcknowledged,
    IntentRefused,
    IntentsRecorded,
    OutcomeCopied,
    OutcomeCopy,
    PrimaryAnswer,
    PrimaryFinished,
    PrimaryGone,
    PrimaryRunning,
    RefusalReason,
    Revoke,
    Revoked,
    UnsureReason,
)
from bramleyturn.core.tickets import ProcessRef, TicketRef

Document = dict[str, Any]
_MALFORMED_ERRORS = (KeyError, TypeError, ValueError, IndexError, AttributeError)


def backup_message_document(message: BackupMessage) -> Document:
    """Return the document of a message to a backup."""
    document: Document = {
        "ticket": ticket_document(message.ticket),
        "backup_incarnation": message.backup_incarnation,
        "lifetime_ms": message.lifetime_ms,
    }
    match message:
        case Intent():
            document |= {
                "input_digest": message.input_digest,
                "intended": list(message.intended),
                "ended": [stage_document(stage) for stage in message.ended],
            }
        case Revoke():
            document["primary_gone"] = message.primary_gone
        case OutcomeCopy():
            document |= {
                "input_digest": message.input_digest,
                "outcome": outcome_document("", message.outcome),
            }
    return document


def parse_intent(document: Any) -> Intent | None:
    """Return the intent in a document, None if there is none."""
    try:
        return Intent(
            ticket=parse_ticket(document["ticket"]),
            backup_incarnation=str(document["backup_incarnation"]),
            lifetime_ms=int(document["lifetime_ms"]),
            input_digest=str(document["input_digest"]),
            intended=parse_intended(document["intended"]),
            ended=parse_stages(document["ended"]),
        )
    except _MALFORMED_ERRORS:
        return None


def parse_revoke(document: Any) -> Revoke | None:
    """Return the revocation in a document, None if there is none."""
    try:
        return Revoke(
            ticket=parse_ticket(document["ticket"]),
            backup_incarnation=str(document["backup_incarnation"]),
            lifetime_ms=int(document["lifetime_ms"]),
            primary_gone=bool(document["primary_gone"]),
        )
    except _MALFORMED_ERRORS:
        return None


def parse_outcome_copy(document: Any) -> OutcomeCopy | None:
    """Return the copied outcome in a document, None if there is none."""
    try:
        return OutcomeCopy(
            ticket=parse_ticket(document["ticket"]),
            backup_incarnation=str(document["backup_incarnation"]),
            lifetime_ms=int(document["lifetime_ms"]),
            input_digest=str(document["input_digest"]),
            outcome=required_outcome(document["outcome"]),
        )
    except _MALFORMED_ERRORS:
        return None


def answer_document(answer: BackupAnswer | PrimaryAnswer) -> Document:
    """Return the document of an answer about a ticket."""
    document: Document = {"answer": type(answer).__name__}
    match answer:
        case IntentAcknowledged() | IntentRefused() | CopyKept():
            document |= answer._asdict()
            document["ticket"] = ticket_document(answer.ticket)
        case Revoked() | BackupUnsure():
            document |= answer._asdict()
            document["ticket"] = ticket_document(answer.ticket)
        case IntentsRecorded():
            document |= {
                "ticket": ticket_document(answer.ticket),
                "input_digest": answer.input_digest,
                "intended": [list(item) for item in answer.intended],
                "ended": [stage_document(stage) for stage in answer.ended],
                "closed": answer.closed,
            }
        case OutcomeCopied():
            document |= {
                "ticket": ticket_document(answer.ticket),
                "input_digest": answer.input_digest,
                "outcome": outcome_document("", answer.outcome),
            }
        case PrimaryFinished():
            document["outcome"] = outcome_document("", answer.outcome)
        case BackupGone() | PrimaryRunning() | PrimaryGone() | InputDiffers():
            document |= answer._asdict()
    return document


def parse_answer(document: Any) -> BackupAnswer | PrimaryAnswer | None:
    """Return the answer in a document, None if there is none."""
    try:
        return _PARSERS[document["answer"]](document)
    except _MALFORMED_ERRORS:
        return None


def _parse_acknowledged(document: Document) -> IntentAcknowledged:
    return IntentAcknowledged(
        parse_ticket(document["ticket"]),
        str(document["backup_incarnation"]),
        str(document["stage"]),
    )


def _parse_refused(document: Document) -> IntentRefused:
    return IntentRefused(
        parse_ticket(document["ticket"]),
        str(document["backup_incarnation"]),
        str(document["stage"]),
        RefusalReason(document["reason"]),
    )


def _parse_intents(document: Document) -> IntentsRecorded:
    return IntentsRecorded(
        ticket=parse_ticket(document["ticket"]),
        input_digest=str(document["input_digest"]),
        intended=tuple(parse_intended(item) for item in document["intended"]),
        ended=parse_stages(document["ended"]),
        closed=bool(document["closed"]),
    )


def _parse_copied(document: Document) -> OutcomeCopied:
    return OutcomeCopied(
        parse_ticket(document["ticket"]),
        str(document["input_digest"]),
        required_outcome(document["outcome"]),
    )


_PARSERS: dict[str, Callable[[Document], BackupAnswer | PrimaryAnswer]] = {
    "IntentAcknowledged": _parse_acknowledged,
    "IntentRefused": _parse_refused,
    "IntentsRecorded": _parse_intents,
    "OutcomeCopied": _parse_copied,
    "BackupGone": lambda found: BackupGone(str(found["backup_incarnation"])),
    "Revoked": lambda found: Revoked(parse_ticket(found["ticket"])),
    "BackupUnsure": lambda found: BackupUnsure(
        parse_ticket(found["ticket"]), UnsureReason(found["reason"])
    ),
    "CopyKept": lambda found: CopyKept(
        parse_ticket(found["ticket"]), bool(found["kept"])
    ),
    "PrimaryRunning": lambda found: PrimaryRunning(int(found["ask_again_ms"])),
    "PrimaryFinished": lambda found: PrimaryFinished(
        required_outcome(found["outcome"])
    ),
    "PrimaryGone": lambda _found: PrimaryGone(),
    "InputDiffers": lambda _found: InputDiffers(),
}


def ticket_document(ticket: TicketRef) -> list[Any]:
    """Return a ticket's identity as a list."""
    return [ticket.primary.address, ticket.primary.incarnation, ticket.number]


def parse_ticket(document: Any) -> TicketRef:
    """Return a ticket's identity from a list."""
    address, incarnation, number = document
    return TicketRef(ProcessRef(str(address), str(incarnation)), int(number))


def parse_intended(document: Any) -> IntendedStage:
    """Return an intended stage from a list."""
    stage, server, attempt_id = document
    return IntendedStage(str(stage), str(server), str(attempt_id))


def stage_document(stage: StageOutcome) -> list[Any]:
    """Return the outcome of a stage as a list."""
    return [
        stage.name,
        str(stage.kind),
        stage.attempts,
        stage.elapsed_ms,
        stage.cost_micros,
    ]


def parse_stages(document: Any) -> tuple[StageOutcome, ...]:
    """Return the outcomes of stages from a list of lists."""
    return tuple(
        StageOutcome(
            str(name),
            OutcomeKind(kind),
            int(attempts),
            int(elapsed_ms),
            int(cost_micros),
        )
        for name, kind, attempts, elapsed_ms, cost_micros in document
    )


def required_outcome(document: Any) -> Outcome:
    """Return the outcome in a document, which must hold one."""
    outcome = parse_outcome(document)
    if outcome is None:
        raise ValueError("document holds no valid outcome")
    return outcome
