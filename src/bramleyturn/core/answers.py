"""Take in what backend servers send, and go on with their requests."""

from bramleyturn.core.actions import Action, CancelAttempt, ProbeServer
from bramleyturn.core.attempt_results import attempt_broke, output_arrived
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    AttemptBroke,
    BreakReason,
    OutputArrived,
    StreamEnded,
)
from bramleyturn.core.requests import stage_answered, stage_broke
from bramleyturn.core.stages import retry_waiting
from bramleyturn.core.streams import stream_ended


def ended_stream(state: EntryState, event: StreamEnded, now_ms: int) -> list[Action]:
    """Take in the end mark of a stream."""
    result = stream_ended(state, event, now_ms)
    if isinstance(result, OutputArrived):
        return answered(state, result, now_ms)
    return broke_or_nothing(state, result, now_ms)


def answered(state: EntryState, event: OutputArrived, now_ms: int) -> list[Action]:
    """Take in the output of a stage."""
    pool = pool_of_attempt(state, event.attempt_id)
    result = output_arrived(state, event, now_ms)
    if result is None or isinstance(result, AttemptBroke):
        return broke_or_nothing(state, result, now_ms)
    request, actions = result
    actions = actions + stage_answered(state, request, now_ms)
    return actions + retry_waiting(state, pool, now_ms)


def broke_or_nothing(
    state: EntryState, event: AttemptBroke | None, now_ms: int
) -> list[Action]:
    """Close the connection of an attempt whose answer can't be used."""
    if event is None:
        return []
    attempt = state.attempts[event.attempt_id]
    closed: list[Action] = [CancelAttempt(event.attempt_id, attempt.server)]
    return closed + broke(state, event, now_ms)


def broke(state: EntryState, event: AttemptBroke, now_ms: int) -> list[Action]:
    """Take in that an attempt ended without an answer."""
    pool = pool_of_attempt(state, event.attempt_id)
    actions = probe_after_loss(state, event)
    left = attempt_broke(state, event, now_ms)
    if left is not None:
        request, progress = left
        actions += stage_broke(
            state, request, progress, event.reason, event.retry_after_ms, now_ms
        )
    return actions + retry_waiting(state, pool, now_ms)


def probe_after_loss(state: EntryState, event: AttemptBroke) -> list[Action]:
    """Ask a backend server whose connection was lost whether it crashed."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None or event.reason is not BreakReason.LOST:
        return []
    return [ProbeServer(attempt.server)]


def pool_of_attempt(state: EntryState, attempt_id: str) -> str:
    """Return the pool that an attempt uses, empty for one that has ended."""
    attempt = state.attempts.get(attempt_id)
    return attempt.pool.name if attempt is not None else ""
