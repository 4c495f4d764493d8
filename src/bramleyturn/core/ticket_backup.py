"""Decide, at the backup of a ticket, what is recorded, revoked and forgotten.

No record is forgotten before it expires: a full backup refuses new ones. When records
expire, the highest forgotten number of each primary is kept, so that a ticket without
a record is neither acknowledged nor declared as not run.
"""

from typing import Final, NamedTuple

from bramleyturn.core.outcomes import Outcome, StageOutcome
from bramleyturn.core.ticket_messages import (
    BackupGone,
    BackupUnsure,
    CopyAnswer,
    CopyKept,
    IntendedStage,
    Intent,
    IntentAcknowledged,
    IntentAnswer,
    IntentRefused,
    IntentsRecorded,
    OutcomeCopied,
    OutcomeCopy,
    RefusalReason,
    Revoke,
    RevokeAnswer,
    Revoked,
    UnsureReason,
)
from bramleyturn.core.tickets import ProcessRef, TicketRef

MAX_INTENDED_STAGES: Final = 32


class BackupRecord(NamedTuple):
    """Hold what the backup knows of one ticket.

    If it is ``closed``, every stage that is not recorded yet is refused.
    ``forget_at_ms`` is on the backup's monotonic clock.
    """

    forget_at_ms: int
    input_digest: str = ""
    intended: tuple[IntendedStage, ...] = ()
    ended: tuple[StageOutcome, ...] = ()
    closed: bool = False
    outcome: Outcome | None = None


class TicketBackup:
    """Hold the records of the tickets that name this incarnation as their backup.

    ``forgotten`` maps each primary to the highest number whose record is forgotten.
    ``max_records`` limits the records, a quarter of which is reserved for revocations
    and outcomes; ``max_primaries`` limits ``forgotten``.
    """

    def __init__(
        self, me: ProcessRef, max_records: int, max_primaries: int, margin_ms: int
    ) -> None:
        self.me = me
        self.max_records = max_records
        self.max_primaries = max_primaries
        self.margin_ms = margin_ms
        self.records: dict[TicketRef, BackupRecord] = {}
        self.forgotten: dict[ProcessRef, int] = {}


def record_intent(backup: TicketBackup, message: Intent, now_ms: int) -> IntentAnswer:
    """Record that a stage is about to run, unless its ticket is revoked.

    A repeated message is acknowledged again.
    """
    if message.backup_incarnation != backup.me.incarnation:
        return BackupGone(message.backup_incarnation)
    refusal = _intent_refusal(backup, message)
    if refusal is not None:
        return IntentRefused(
            message.ticket,
            message.backup_incarnation,
            message.intended.stage,
            refusal,
        )
    record = backup.records.get(message.ticket) or BackupRecord(0)
    record = record._replace(
        input_digest=message.input_digest,
        intended=_with_intended(record.intended, message.intended),
        ended=_longer(record.ended, message.ended),
    )
    _store(backup, message.ticket, record, message.lifetime_ms, now_ms)
    return IntentAcknowledged(
        message.ticket, message.backup_incarnation, message.intended.stage
    )


def revoke(backup: TicketBackup, message: Revoke, now_ms: int) -> RevokeAnswer:
    """Revoke a ticket without a recorded intent; otherwise return what is known."""
    if message.backup_incarnation != backup.me.incarnation:
        return BackupGone(message.backup_incarnation)
    record = backup.records.get(message.ticket)
    if record is None:
        return _revoke_unseen(backup, message, now_ms)
    if record.outcome is not None:
        return OutcomeCopied(message.ticket, record.input_digest, record.outcome)
    if not record.intended:
        return Revoked(message.ticket)
    if message.primary_gone and not record.closed:
        record = record._replace(closed=True)
        _store(backup, message.ticket, record, message.lifetime_ms, now_ms)
    return IntentsRecorded(
        message.ticket,
        record.input_digest,
        record.intended,
        record.ended,
        record.closed,
    )


def record_outcome(
    backup: TicketBackup, message: OutcomeCopy, now_ms: int
) -> CopyAnswer:
    """Store the final outcome of a ticket; later ones are ignored."""
    if message.backup_incarnation != backup.me.incarnation:
        return BackupGone(message.backup_incarnation)
    record = backup.records.get(message.ticket)
    if record is None and not _has_capacity(backup, message.ticket):
        return CopyKept(message.ticket, kept=False)
    if record is None and _is_forgotten(backup, message.ticket):
        return CopyKept(message.ticket, kept=False)
    record = record or BackupRecord(0)
    if record.outcome is None:
        record = record._replace(
            input_digest=message.input_digest, closed=True, outcome=message.outcome
        )
        _store(backup, message.ticket, record, message.lifetime_ms, now_ms)
    return CopyKept(message.ticket, kept=True)


def forget_backup_records(backup: TicketBackup, now_ms: int) -> int:
    """Forget the expired records and return how many."""
    due: list[TicketRef] = []
    for ticket, record in backup.records.items():
        if now_ms < record.forget_at_ms:
            break
        due.append(ticket)
    for ticket in due:
        del backup.records[ticket]
        highest = backup.forgotten.get(ticket.primary, 0)
        backup.forgotten[ticket.primary] = max(highest, ticket.number)
    return len(due)


def _revoke_unseen(backup: TicketBackup, message: Revoke, now_ms: int) -> RevokeAnswer:
    if _is_forgotten(backup, message.ticket):
        return BackupUnsure(message.ticket, UnsureReason.FORGOTTEN)
    if not _has_capacity(backup, message.ticket):
        return BackupUnsure(message.ticket, UnsureReason.FULL)
    record = BackupRecord(0, closed=True)
    _store(backup, message.ticket, record, message.lifetime_ms, now_ms)
    return Revoked(message.ticket)


def _intent_refusal(backup: TicketBackup, message: Intent) -> RefusalReason | None:
    record = backup.records.get(message.ticket)
    if record is None:
        return _unseen_refusal(backup, message.ticket)
    if any(found.stage == message.intended.stage for found in record.intended):
        return None
    if record.closed:
        return RefusalReason.REVOKED
    if len(record.intended) >= MAX_INTENDED_STAGES:
        return RefusalReason.FULL
    return None


def _unseen_refusal(backup: TicketBackup, ticket: TicketRef) -> RefusalReason | None:
    if _is_forgotten(backup, ticket):
        return RefusalReason.FORGOTTEN
    if len(backup.records) >= backup.max_records - backup.max_records // 4:
        return RefusalReason.FULL
    if not _has_capacity(backup, ticket):
        return RefusalReason.FULL
    return None


def _is_forgotten(backup: TicketBackup, ticket: TicketRef) -> bool:
    return ticket.number <= backup.forgotten.get(ticket.primary, 0)


def _has_capacity(backup: TicketBackup, ticket: TicketRef) -> bool:
    """Return whether a new record fits, and later its entry in ``forgotten``."""
    if len(backup.records) >= backup.max_records:
        return False
    if ticket.primary in backup.forgotten:
        return True
    return len(backup.forgotten) + len(backup.records) < backup.max_primaries


def _with_intended(
    known: tuple[IntendedStage, ...], intended: IntendedStage
) -> tuple[IntendedStage, ...]:
    if intended in known or len(known) >= MAX_INTENDED_STAGES:
        return known
    return (*known, intended)


def _longer(
    known: tuple[StageOutcome, ...], reported: tuple[StageOutcome, ...]
) -> tuple[StageOutcome, ...]:
    return reported if len(reported) > len(known) else known


def _store(
    backup: TicketBackup,
    ticket: TicketRef,
    record: BackupRecord,
    lifetime_ms: int,
    now_ms: int,
) -> None:
    """Store ``record`` last, as records are ordered by when they expire."""
    backup.records.pop(ticket, None)
    forget_at_ms = max(record.forget_at_ms, now_ms + lifetime_ms + backup.margin_ms)
    backup.records[ticket] = record._replace(forget_at_ms=forget_at_ms)
