"""Take in what the backup of a ticket answers, and answer as one."""

from bramleyturn.core.actions import Action
from bramleyturn.core.attempts import start_attempt
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    BackupAnswer,
    BackupAnswered,
    BackupMessage,
    BackupSilent,
)
from bramleyturn.core.forwarding import revocation_answered, revocation_unanswered
from bramleyturn.core.permission import is_allowed, next_attempt_id
from bramleyturn.core.progress import StageState
from bramleyturn.core.requests import give_up
from bramleyturn.core.ticket_backup import record_intent, record_outcome, revoke
from bramleyturn.core.ticket_messages import (
    BackupGone,
    Intent,
    IntentAcknowledged,
    IntentRefused,
    OutcomeCopy,
    Revoke,
)
from bramleyturn.core.ticket_primary import (
    RefusedStage,
    acknowledge_stage,
    refuse_stage,
    store_record,
)
from bramleyturn.core.timeline import EventKind, record


def answer_of_backup(
    state: EntryState, event: BackupAnswered, now_ms: int
) -> list[Action]:
    """Take in what the backup of a ticket answered."""
    match event.message:
        case Intent():
            return intent_answered(state, event, event.message, now_ms)
        case Revoke():
            return revocation_answered(
                state, event.correlation_id, event.answer, now_ms
            )
    return []


def silence_of_backup(
    state: EntryState, event: BackupSilent, now_ms: int
) -> list[Action]:
    """Go on without the backup of a ticket."""
    match event.message:
        case Intent():
            stage = event.message.intended.stage
            return refuse_intent(
                state, event.correlation_id, stage, RefusedStage.INTENT_TIMEOUT, now_ms
            )
        case Revoke():
            return revocation_unanswered(state, event.correlation_id, now_ms)
    return []


def intent_answered(
    state: EntryState, event: BackupAnswered, intent: Intent, now_ms: int
) -> list[Action]:
    """Start a stage whose intent is recorded, or give its request up."""
    stage = intent.intended.stage
    match event.answer:
        case IntentAcknowledged(_ticket, incarnation, _stage):
            return start_intended(
                state, event.correlation_id, stage, incarnation, now_ms
            )
        case IntentRefused(_ticket, _incarnation, _stage, reason):
            return refuse_intent(state, event.correlation_id, stage, reason, now_ms)
        case BackupGone():
            return refuse_intent(
                state, event.correlation_id, stage, RefusedStage.BACKUP_GONE, now_ms
            )
    return []


def start_intended(
    state: EntryState, key: str, stage: str, incarnation: str, now_ms: int
) -> list[Action]:
    """Start a stage whose intent the backup has acknowledged."""
    request = state.requests.get(key)
    if request is None or request.ticket_number is None:
        return []
    found = state.primary_tickets.records[request.ticket_number]
    store_record(state.primary_tickets, acknowledge_stage(found, stage, incarnation))
    progress = request.stages[stage]
    if progress.state is not StageState.AWAITING_INTENT:
        return []
    if not is_allowed(state, request, stage, now_ms):
        return refuse_intent(state, key, stage, RefusedStage.EXPIRED, now_ms)
    attempt_id = next_attempt_id(request, progress)
    record(
        state.timeline,
        EventKind.INTENT_ANSWERED,
        now_ms,
        request_id=request.request_id,
        stage=stage,
        attempt_id=attempt_id,
        cause=attempt_id,
    )
    return start_attempt(state, request, progress, now_ms)


def refuse_intent(
    state: EntryState, key: str, stage: str, reason: str, now_ms: int
) -> list[Action]:
    """Refuse a stage for good and end its request."""
    request = state.requests.get(key)
    if request is None or request.ticket_number is None:
        return []
    found = state.primary_tickets.records[request.ticket_number]
    store_record(state.primary_tickets, refuse_stage(found, stage, reason))
    if request.stages[stage].state is not StageState.AWAITING_INTENT:
        return []
    return give_up(state, request, str(reason), None, now_ms)


def asked_as_backup(
    state: EntryState, message: BackupMessage, now_ms: int
) -> BackupAnswer:
    """Answer another entry process as the backup of a ticket."""
    match message:
        case Intent():
            answer = record_intent(state.backup_tickets, message, now_ms)
            if isinstance(answer, IntentAcknowledged):
                intended = message.intended
                note_recorded(state, intended.stage, intended.attempt_id, now_ms)
            return answer
        case Revoke():
            return revoke(state.backup_tickets, message, now_ms)
        case OutcomeCopy():
            note_recorded(state, "", str(message.ticket.number), now_ms)
            return record_outcome(state.backup_tickets, message, now_ms)


def note_recorded(state: EntryState, stage: str, cause: str, now_ms: int) -> None:
    """Put what this process records as a backup on its time line.

    An outcome has no stage.
    """
    kind = EventKind.INTENT_RECORDED if stage else EventKind.OUTCOME_RECORDED
    record(state.timeline, kind, now_ms, stage=stage, cause=cause)
