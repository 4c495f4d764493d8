"""Handle the timers of an entry process."""

from typing import Final

from bramleyturn.core.actions import Action
from bramleyturn.core.admission import expire_queued
from bramleyturn.core.attempt_events import abort_attempt
from bramleyturn.core.attempts import is_quarantined, start_attempt
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import AttemptFailed, FailureReason
from bramleyturn.core.forwarding import forward_timer
from bramleyturn.core.kept import forget_expired
from bramleyturn.core.progress import StageState
from bramleyturn.core.requests import give_up, refuse_quarantined
from bramleyturn.core.retry_budget import may_retry
from bramleyturn.core.silence import should_move, watch_silence
from bramleyturn.core.stages import start_stage
from bramleyturn.core.ticket_backup import forget_backup_records
from bramleyturn.core.ticket_primary import forget_records
from bramleyturn.core.timers import Timer, TimerKind, set_timer, take_due

FORGET_INTERVAL_MS: Final = 1_000


def run_due_timers(state: EntryState, now_ms: int) -> list[Action]:
    """Handle every timer that is due."""
    actions: list[Action] = []
    while (timer := take_due(state.timers, now_ms)) is not None:
        actions += handle_timer(state, timer, now_ms)
    return actions


def handle_timer(state: EntryState, timer: Timer, now_ms: int) -> list[Action]:
    """Handle one timer, if what it was set for still holds."""
    match timer.kind:
        case TimerKind.REQUEST_DEADLINE:
            request = state.requests.get(timer.key)
            if request is None:
                return []
            return give_up(state, request, "deadline", None, now_ms)
        case TimerKind.ATTEMPT_TIMEOUT:
            return time_out_attempt(state, timer.key, now_ms)
        case TimerKind.SILENCE:
            return check_silence(state, timer.key, now_ms)
        case TimerKind.HEDGE:
            return hedge(state, timer.key, now_ms)
        case TimerKind.RETRY:
            return retry(state, timer.key, timer.part, now_ms)
        case TimerKind.FORWARD:
            return forward_timer(state, timer.key, now_ms)
        case TimerKind.FORGET:
            return forget(state, now_ms)


def time_out_attempt(state: EntryState, attempt_id: str, now_ms: int) -> list[Action]:
    """Stop an attempt that takes too long."""
    if attempt_id not in state.attempts:
        return []
    event = AttemptFailed(attempt_id, FailureReason.TIMED_OUT, "too slow", None, False)
    return abort_attempt(state, event, now_ms)


def check_silence(state: EntryState, attempt_id: str, now_ms: int) -> list[Action]:
    """Time out an attempt that was silent for too long, if another can follow."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return []
    if now_ms < attempt.heard_ms + attempt.silence_limit_ms:
        watch_silence(state, attempt, attempt.heard_ms)
        return []
    request = state.requests[attempt.request_key]
    if not should_move(state, request, attempt, now_ms):
        watch_silence(state, attempt, now_ms)
        return []
    event = AttemptFailed(attempt_id, FailureReason.TIMED_OUT, "silent", None, False)
    return abort_attempt(state, event, now_ms)


def hedge(state: EntryState, attempt_id: str, now_ms: int) -> list[Action]:
    """Hedge an attempt that takes longer than most with a second one."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return []
    request = state.requests[attempt.request_key]
    progress = request.stages[attempt.stage]
    if len(progress.attempt_ids) > 1:
        return []
    if not may_retry(state.retry_budget, attempt.pool.name, now_ms):
        return []
    state.counters.hedges += 1
    return start_attempt(state, request, progress, now_ms, is_hedge=True)


def retry(state: EntryState, key: str, stage: str, now_ms: int) -> list[Action]:
    """Start a stage that waits for a backend server."""
    request = state.requests.get(key)
    if request is None:
        return []
    progress = request.stages[stage]
    if progress.state is not StageState.AWAITING_SERVER:
        return []
    if is_quarantined(state, request, progress.stage, now_ms):
        return refuse_quarantined(state, request, now_ms)
    return start_stage(state, request, progress, now_ms)


def forget(state: EntryState, now_ms: int) -> list[Action]:
    """Drop expired records and end queued requests that can't finish in time."""
    margin_ms = state.configuration.tickets.margin_ms
    forget_expired(state.kept, now_ms)
    forget_records(state.primary_tickets, now_ms, margin_ms)
    forget_backup_records(state.backup_tickets, now_ms)
    set_timer(state.timers, now_ms + FORGET_INTERVAL_MS, TimerKind.FORGET, "")
    actions: list[Action] = []
    for key in expire_queued(state.admission, now_ms):
        late = state.requests.get(key)
        if late is not None:
            actions += give_up(state, late, "deadline_too_short", None, now_ms)
    return actions
