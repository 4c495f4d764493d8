"""Decide, at an entry that received a request, what became of its ticket elsewhere.

The entry asks the primary first. If that fails, it asks the backup to revoke the
ticket. The backup answers that nothing ran, which stages may have run, or the outcome.
"""

from enum import StrEnum
from typing import Final, NamedTuple

from bramleyturn.core.outcomes import (
    SEND_AGAIN_MS,
    Outcome,
    OutcomeKind,
    StageOutcome,
    not_run,
    unknown,
)
from bramleyturn.core.ticket_messages import (
    BackupUnsure,
    IntendedStage,
    IntentsRecorded,
    OutcomeCopied,
    PrimaryAnswer,
    PrimaryFinished,
    PrimaryGone,
    PrimaryRunning,
    Revoke,
    RevokeAnswer,
    Revoked,
)
from bramleyturn.core.tickets import ProcessRef, Ticket

ASK_AGAIN_MS: Final = 200


class AskReason(StrEnum):
    """Name the reason of an outcome that an asking entry returns."""

    REVOKED = "revoked"
    NO_BACKUP = "primary_lost_without_backup"
    BOTH_GONE = "primary_and_backup_gone"
    INTENT_RECORDED = "primary_lost_while_running"
    GAVE_UP = "gave_up_asking"


class Asking(NamedTuple):
    """Hold what an entry knows while it asks about one request.

    ``stages`` names the stages of the pipeline that may not be repeated.
    ``primary_gone`` states that another incarnation answers at the primary's address.
    """

    ticket: Ticket
    input_digest: str
    stages: tuple[str, ...]
    primary_gone: bool = False


class AskPrimary(NamedTuple):
    """Forward the request with its ticket to the primary."""

    primary: ProcessRef


class AskBackup(NamedTuple):
    """Send a revocation to the backup."""

    backup: ProcessRef
    message: Revoke


class AskLater(NamedTuple):
    """Wait, then call ``resume_asking``."""

    ask_again_ms: int


class Verdict(NamedTuple):
    """Answer the request. ``cancel`` lists the stages whose attempts are orphaned."""

    outcome: Outcome
    cancel: tuple[IntendedStage, ...] = ()


class WrongInput(NamedTuple):
    """Answer that the ticket belongs to a request with another input."""


AskStep = AskPrimary | AskBackup | AskLater | Verdict | WrongInput


def start_asking(
    ticket: Ticket, input_digest: str, stages: tuple[str, ...], me: ProcessRef
) -> Asking:
    """Return the initial state of an entry that is not the primary of a request."""
    restarted = ticket.primary.address == me.address
    return Asking(ticket, input_digest, stages, primary_gone=restarted)


def resume_asking(asking: Asking) -> AskStep:
    """Return which process to ask next."""
    if asking.primary_gone:
        return _ask_backup(asking)
    return AskPrimary(asking.ticket.primary)


def on_primary_answer(asking: Asking, answer: PrimaryAnswer) -> tuple[Asking, AskStep]:
    """Return the next step after an answer from the primary's address."""
    if isinstance(answer, PrimaryFinished):
        return asking, Verdict(answer.outcome)
    if isinstance(answer, PrimaryRunning):
        return asking, AskLater(answer.ask_again_ms)
    if isinstance(answer, PrimaryGone):
        asking = asking._replace(primary_gone=True)
        return asking, _ask_backup(asking)
    return asking, WrongInput()


def on_primary_unreachable(asking: Asking) -> tuple[Asking, AskStep]:
    """Return the next step if the primary cannot be reached or does not answer."""
    return asking, _ask_backup(asking)


def on_backup_answer(asking: Asking, answer: RevokeAnswer) -> tuple[Asking, AskStep]:
    """Return the next step after the backup's answer to a revocation."""
    if isinstance(answer, Revoked):
        return asking, Verdict(not_run(AskReason.REVOKED, SEND_AGAIN_MS))
    if isinstance(answer, OutcomeCopied):
        if answer.input_digest != asking.input_digest:
            return asking, WrongInput()
        return asking, Verdict(answer.outcome)
    if isinstance(answer, IntentsRecorded):
        if answer.input_digest != asking.input_digest:
            return asking, WrongInput()
        return _on_intents(asking, answer)
    if isinstance(answer, BackupUnsure):
        return asking, Verdict(unknown(answer.reason, _where_to_ask(asking)))
    return on_backup_unreachable(asking)


def on_backup_unreachable(asking: Asking) -> tuple[Asking, AskStep]:
    """Return the next step if the backup is gone, unreachable or does not answer."""
    return asking, Verdict(unknown(AskReason.BOTH_GONE, _where_to_ask(asking)))


def give_up(asking: Asking) -> Verdict:
    """Return the verdict when the deadline passes before an answer."""
    outcome = unknown(AskReason.GAVE_UP, _where_to_ask(asking))
    return Verdict(outcome)


def _ask_backup(asking: Asking) -> AskStep:
    ticket = asking.ticket
    if ticket.backup is None:
        return Verdict(unknown(AskReason.NO_BACKUP, _where_to_ask(asking)))
    message = Revoke(
        ticket.ref,
        ticket.backup.incarnation,
        ticket.lifetime_ms,
        asking.primary_gone,
    )
    return AskBackup(ticket.backup, message)


def _on_intents(asking: Asking, answer: IntentsRecorded) -> tuple[Asking, AskStep]:
    if not asking.primary_gone:
        return asking, AskLater(ASK_AGAIN_MS)
    ended = {stage.name for stage in answer.ended}
    lost = tuple(item for item in answer.intended if item.stage not in ended)
    outcome = unknown(AskReason.INTENT_RECORDED, _where_to_ask(asking))
    outcome = outcome._replace(stages=_stage_outcomes(asking, answer))
    return asking, Verdict(outcome, cancel=lost)


def _stage_outcomes(
    asking: Asking, answer: IntentsRecorded
) -> tuple[StageOutcome, ...]:
    """Return how each stage ended; one that can no longer start did not run."""
    known = {stage.name: stage for stage in answer.ended}
    for item in answer.intended:
        lost = StageOutcome(item.stage, OutcomeKind.UNKNOWN, 1, 0, 0)
        known.setdefault(item.stage, lost)
    rest = OutcomeKind.NOT_RUN if answer.closed else OutcomeKind.UNKNOWN
    for name in asking.stages:
        known.setdefault(name, StageOutcome(name, rest, 0, 0, 0))
    return tuple(known.values())


def _where_to_ask(asking: Asking) -> str:
    backup = asking.ticket.backup
    if asking.primary_gone:
        return backup.address if backup else ""
    return asking.ticket.primary.address
