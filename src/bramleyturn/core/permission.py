"""Ask for, check and settle the right to run a stage that may not be repeated."""

from typing import Final

from bramleyturn.core.actions import Action, PermitWrite, SendToBackup
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.outcomes import Outcome, OutcomeKind, StageOutcome
from bramleyturn.core.progress import (
    RunningRequest,
    StageProgress,
    stage_elapsed_ms,
    stage_outcome_kind,
)
from bramleyturn.core.ticket_messages import IntendedStage
from bramleyturn.core.ticket_primary import (
    TicketRecord,
    ask_stage,
    copy_message,
    end_stage,
    find_stage,
    finish,
    intent_message,
    may_dispatch,
    record_dispatch,
    store_record,
    withdraw_dispatch,
)
from bramleyturn.core.timeline import EventKind, record

COPY_TIMEOUT_MS: Final = 2_000


def ticket_record(state: EntryState, request: RunningRequest) -> TicketRecord | None:
    """Return the record of the ticket that a request came with."""
    if request.ticket_number is None:
        return None
    return state.primary_tickets.records.get(request.ticket_number)


def ask_permission(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    server_name: str,
    now_ms: int,
) -> list[Action]:
    """Ask the backup of the ticket to record that a stage is about to run.

    Returns no action where the ticket names no backup; the stage is then allowed or
    refused already.
    """
    found = ticket_record(state, request)
    if found is None:
        return []
    asked = ask_stage(found, progress.stage.name, now_ms)
    store_record(state.primary_tickets, asked)
    attempt_id = next_attempt_id(request, progress)
    message = intent_message(
        asked, IntendedStage(progress.stage.name, server_name, attempt_id)
    )
    backup = asked.ticket.backup
    if message is None or backup is None:
        return []
    record(
        state.timeline,
        EventKind.INTENT_ASKED,
        now_ms,
        request_id=request.request_id,
        stage=progress.stage.name,
        attempt_id=attempt_id,
        detail=backup.address,
        cause=attempt_id,
    )
    timeout_ms = state.configuration.tickets.intent_timeout_ms
    return [SendToBackup(request.key, backup, message, timeout_ms)]


def next_attempt_id(request: RunningRequest, progress: StageProgress) -> str:
    """Return the id of the attempt that a stage makes next."""
    return f"{request.key}.{progress.stage.name}.{progress.attempts_made + 1}"


def is_allowed(
    state: EntryState, request: RunningRequest, stage_name: str, now_ms: int
) -> bool:
    """Tell whether a stage that may not be repeated may be written now."""
    found = ticket_record(state, request)
    if found is None:
        return False
    return may_dispatch(found, stage_name, state.me.incarnation, now_ms)


def permit_write(state: EntryState, attempt_id: str, now_ms: int) -> list[Action]:
    """Let an attempt write, if its request still runs and its ticket still allows it.

    The dispatch is recorded in the same turn.
    """
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return []
    request = state.requests[attempt.request_key]
    if now_ms >= request.deadline_at_ms:
        return []
    if not is_allowed(state, request, attempt.stage, now_ms):
        return []
    found = ticket_record(state, request)
    if found is None:
        return []
    store_record(state.primary_tickets, record_dispatch(found, attempt.stage))
    progress = request.stages[attempt.stage]
    progress.possible_runs += 1
    progress.outcome_is_certain = False
    attempt.is_written = True
    return [PermitWrite(attempt_id)]


def take_back_dispatch(
    state: EntryState, request: RunningRequest, stage_name: str
) -> None:
    """Write down that a connection failed before anything was written to it."""
    found = ticket_record(state, request)
    if found is not None:
        store_record(state.primary_tickets, withdraw_dispatch(found, stage_name))


def settle_stage(
    state: EntryState, request: RunningRequest, progress: StageProgress, now_ms: int
) -> None:
    """Write down how a stage that may not be repeated ended, if that is certain."""
    found = ticket_record(state, request)
    if found is None or find_stage(found, progress.stage.name) is None:
        return
    kind = stage_outcome_kind(progress)
    if kind is OutcomeKind.UNKNOWN:
        return
    outcome = StageOutcome(
        name=progress.stage.name,
        kind=kind,
        attempts=progress.attempts_made,
        elapsed_ms=stage_elapsed_ms(progress, now_ms),
        cost_micros=progress.cost_micros,
    )
    store_record(state.primary_tickets, end_stage(found, outcome))


def finish_ticket(
    state: EntryState, request: RunningRequest, outcome: Outcome
) -> tuple[Outcome, list[Action]]:
    """Record the outcome of a ticket's request and copy it to the backup.

    Returns the outcome as the ticket's record allows it.
    """
    found = ticket_record(state, request)
    if found is None:
        return outcome, []
    finished = finish(found, outcome)
    store_record(state.primary_tickets, finished)
    final = finished.outcome if finished.outcome is not None else outcome
    message = copy_message(finished)
    backup = finished.ticket.backup
    if message is None or backup is None:
        return final, []
    return final, [SendToBackup(request.key, backup, message, COPY_TIMEOUT_MS)]
