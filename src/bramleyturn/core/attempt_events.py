"""Handle what backend servers send and continue the requests concerned."""

from bramleyturn.core.actions import Action, CancelAttempt, ProbeServer
from bramleyturn.core.attempt_results import attempt_failed, output_arrived
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    AttemptFailed,
    FailureReason,
    OutputArrived,
    StreamEnded,
)
from bramleyturn.core.requests import stage_answered, stage_failed
from bramleyturn.core.stages import retry_waiting
from bramleyturn.core.streams import stream_ended


def handle_stream_end(
    state: EntryState, event: StreamEnded, now_ms: int
) -> list[Action]:
    """Handle the end mark of a stream."""
    result = stream_ended(state, event, now_ms)
    if isinstance(result, OutputArrived):
        return handle_output(state, result, now_ms)
    return abort_attempt(state, result, now_ms)


def handle_output(state: EntryState, event: OutputArrived, now_ms: int) -> list[Action]:
    """Handle the output of a stage."""
    pool = pool_of_attempt(state, event.attempt_id)
    result = output_arrived(state, event, now_ms)
    if result is None or isinstance(result, AttemptFailed):
        return abort_attempt(state, result, now_ms)
    request, actions = result
    actions = actions + stage_answered(state, request, now_ms)
    return actions + retry_waiting(state, pool, now_ms)


def abort_attempt(
    state: EntryState, event: AttemptFailed | None, now_ms: int
) -> list[Action]:
    """Cancel an attempt whose answer can't be used; do nothing without an event."""
    if event is None:
        return []
    attempt = state.attempts[event.attempt_id]
    cancelled: list[Action] = [CancelAttempt(event.attempt_id, attempt.server)]
    return cancelled + handle_failure(state, event, now_ms)


def handle_failure(
    state: EntryState, event: AttemptFailed, now_ms: int
) -> list[Action]:
    """Handle an attempt that ended without an answer."""
    pool = pool_of_attempt(state, event.attempt_id)
    actions = probe_after_loss(state, event)
    idle_stage = attempt_failed(state, event, now_ms)
    if idle_stage is not None:
        request, progress = idle_stage
        actions += stage_failed(
            state, request, progress, event.reason, event.retry_after_ms, now_ms
        )
    return actions + retry_waiting(state, pool, now_ms)


def probe_after_loss(state: EntryState, event: AttemptFailed) -> list[Action]:
    """Probe a backend server whose connection was lost: it may have crashed."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None or event.reason is not FailureReason.LOST:
        return []
    return [ProbeServer(attempt.server)]


def pool_of_attempt(state: EntryState, attempt_id: str) -> str:
    """Return the pool that an attempt uses, empty for one that has ended."""
    attempt = state.attempts.get(attempt_id)
    return attempt.pool.name if attempt is not None else ""
