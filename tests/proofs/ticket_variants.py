"""Define protocols that each lack one mechanism; the checker must catch them all."""

from bramleyturn.bench.ticket_model_state import MARGIN_MS, Protocol
from bramleyturn.core import ticket_backup as backups
from bramleyturn.core import ticket_primary as primaries
from bramleyturn.core.outcomes import OutcomeKind
from bramleyturn.core.ticket_backup import TicketBackup
from bramleyturn.core.ticket_messages import Intent, IntentAnswer, Revoke, RevokeAnswer
from bramleyturn.core.ticket_primary import (
    Received,
    StageState,
    TicketPrimary,
    TicketRecord,
)
from bramleyturn.core.tickets import Ticket


def _revoke_without_record(
    backup: TicketBackup, message: Revoke, now_ms: int
) -> RevokeAnswer:
    known = message.ticket in backup.records
    answer = backups.revoke(backup, message, now_ms)
    if not known:
        backup.records.pop(message.ticket, None)
    return answer


def _receive_for_any_incarnation(
    primary: TicketPrimary, ticket: Ticket, input_digest: str, now_ms: int
) -> Received:
    readdressed = ticket._replace(primary=primary.me)
    received = primaries.receive_ticket(primary, readdressed, input_digest, now_ms)
    if not isinstance(received, primaries.Started):
        return received
    record = received.record._replace(ticket=ticket)
    primary.records[ticket.number] = record
    return primaries.Started(record)


def _may_dispatch_for_any_incarnation(
    record: TicketRecord, stage: str, incarnation: str, now_ms: int
) -> bool:
    named = record.ticket.primary.incarnation
    return primaries.may_dispatch(record, stage, named, now_ms)


def _intent_for_any_incarnation(
    backup: TicketBackup, message: Intent, now_ms: int
) -> IntentAnswer:
    readdressed = message._replace(backup_incarnation=backup.me.incarnation)
    return backups.record_intent(backup, readdressed, now_ms)


def _revoke_for_any_incarnation(
    backup: TicketBackup, message: Revoke, now_ms: int
) -> RevokeAnswer:
    readdressed = message._replace(backup_incarnation=backup.me.incarnation)
    return backups.revoke(backup, readdressed, now_ms)


def _acknowledged_by_any_incarnation(
    record: TicketRecord, stage: str, backup_incarnation: str
) -> TicketRecord:
    backup = record.ticket.backup
    named = backup.incarnation if backup else backup_incarnation
    return primaries.acknowledge_stage(record, stage, named)


def _may_dispatch_before_acknowledgement(
    record: TicketRecord, stage: str, incarnation: str, now_ms: int
) -> bool:
    found = primaries.find_stage(record, stage)
    if found is not None and found.state is StageState.WAITING:
        allowed = found._replace(state=StageState.ALLOWED)
        record = record._replace(stages=(allowed,))
    return primaries.may_dispatch(record, stage, incarnation, now_ms)


def _store_without_refusals(primary: TicketPrimary, record: TicketRecord) -> None:
    primaries.store_record(primary, record)
    if record.outcome and record.outcome.kind is OutcomeKind.NOT_RUN:
        del primary.records[record.ticket.number]


def _forget_before_expiry(primary: TicketPrimary, now_ms: int, margin_ms: int) -> int:
    forgotten = [number for number, record in primary.records.items() if record.outcome]
    for number in forgotten:
        del primary.records[number]
    return len(forgotten)


def _forget_without_trace(primary: TicketPrimary, now_ms: int, margin_ms: int) -> int:
    kept_ms = primary.forgotten_through_ms
    forgotten = primaries.forget_records(primary, now_ms, margin_ms)
    primary.forgotten_through_ms = kept_ms
    return forgotten


def _backup_forgets_before_expiry(backup: TicketBackup, now_ms: int) -> int:
    forgotten = len(backup.records)
    backup.records.clear()
    return forgotten


def _backup_forgets_without_trace(backup: TicketBackup, now_ms: int) -> int:
    forgotten = backups.forget_backup_records(backup, now_ms)
    backup.forgotten.clear()
    return forgotten


def _receive_with_renewed_expiry(
    primary: TicketPrimary, ticket: Ticket, input_digest: str, now_ms: int
) -> Received:
    renewed = ticket._replace(expires_at_ms=now_ms + MARGIN_MS)
    return primaries.receive_ticket(primary, renewed, input_digest, now_ms)


def _revoke_without_closing(
    backup: TicketBackup, message: Revoke, now_ms: int
) -> RevokeAnswer:
    known = backup.records.get(message.ticket)
    answer = backups.revoke(backup, message, now_ms)
    if known is not None:
        backup.records[message.ticket] = known
    return answer


VARIANTS: dict[str, Protocol] = {
    "no revocation": Protocol(revoke=_revoke_without_record),
    "no incarnation of the primary": Protocol(
        receive_ticket=_receive_for_any_incarnation,
        may_dispatch=_may_dispatch_for_any_incarnation,
    ),
    "no incarnation of the backup": Protocol(
        record_intent=_intent_for_any_incarnation,
        revoke=_revoke_for_any_incarnation,
        acknowledge_stage=_acknowledged_by_any_incarnation,
    ),
    "dispatch before the acknowledgement": Protocol(
        may_dispatch=_may_dispatch_before_acknowledgement
    ),
    "refusal forgotten": Protocol(store_record=_store_without_refusals),
    "primary forgets before expiry": Protocol(forget_records=_forget_before_expiry),
    "backup forgets before expiry": Protocol(
        forget_backup_records=_backup_forgets_before_expiry
    ),
    "primary forgets without trace": Protocol(forget_records=_forget_without_trace),
    "backup forgets without trace": Protocol(
        forget_backup_records=_backup_forgets_without_trace
    ),
    "expiry renewed and forgotten": Protocol(
        receive_ticket=_receive_with_renewed_expiry,
        forget_records=_forget_without_trace,
    ),
}

REPEATING_VARIANTS: tuple[str, ...] = (
    "no incarnation of the primary",
    "primary forgets before expiry",
    "expiry renewed and forgotten",
)

TWO_STAGE_VARIANTS: dict[str, Protocol] = {
    "later stages not closed": Protocol(revoke=_revoke_without_closing),
}
