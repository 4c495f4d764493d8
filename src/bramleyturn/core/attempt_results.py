"""Record how attempts end."""

from typing import Final

from bramleyturn.core.actions import Action, CancelAttempt
from bramleyturn.core.budgets import charge_budget
from bramleyturn.core.cost import Charge, attempt_cost_micros, charge
from bramleyturn.core.crashes import connection_lost, request_finished
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import AttemptFailed, FailureReason, OutputArrived
from bramleyturn.core.latency import record_stage
from bramleyturn.core.permission import settle_stage, take_back_dispatch
from bramleyturn.core.progress import Attempt, RunningRequest, StageProgress, StageState
from bramleyturn.core.routing import (
    AttemptEnd,
    AttemptVerdict,
    attempt_ended,
    server_leaving,
)
from bramleyturn.core.routing_table import hold_off
from bramleyturn.core.silence import record_silence
from bramleyturn.core.timeline import EventKind, record

_VERDICTS: Final = {
    FailureReason.NOT_CONNECTED: AttemptVerdict.LOST,
    FailureReason.NOT_STARTED: AttemptVerdict.REFUSED,
    FailureReason.RESUME_REFUSED: AttemptVerdict.CANCELLED,
    FailureReason.ERROR_ANSWER: AttemptVerdict.FAILED,
    FailureReason.LOST: AttemptVerdict.LOST,
    FailureReason.CUT: AttemptVerdict.LOST,
    FailureReason.WRONG_ANSWER: AttemptVerdict.FAILED,
    FailureReason.TIMED_OUT: AttemptVerdict.FAILED,
}
_NOT_RUN_REASONS: Final = frozenset(
    {
        FailureReason.NOT_CONNECTED,
        FailureReason.NOT_STARTED,
        FailureReason.RESUME_REFUSED,
    }
)


def end_attempt(
    state: EntryState,
    attempt: Attempt,
    verdict: AttemptVerdict,
    tokens: int,
    now_ms: int,
    *,
    wasted: bool,
) -> None:
    """Remove an attempt, record its result and charge its cost."""
    del state.attempts[attempt.attempt_id]
    elapsed_ms = now_ms - attempt.started_ms
    attempt_ended(
        state.routing,
        attempt.server.name,
        AttemptEnd(verdict, elapsed_ms, attempt.size_tokens, attempt.forecast_ms),
        now_ms,
    )
    request = state.requests[attempt.request_key]
    progress = request.stages[attempt.stage]
    progress.attempt_ids.remove(attempt.attempt_id)
    micros = attempt_cost_micros(attempt.pool, tokens)
    progress.cost_micros += micros
    request.cost_micros += micros
    charge_budget(state, request, micros, now_ms)
    charge(
        state.costs,
        Charge(
            request.workspace.name,
            request.pipeline.name,
            attempt.stage,
            micros,
            wasted,
        ),
    )
    record(
        state.timeline,
        EventKind.ATTEMPT_ENDED,
        now_ms,
        request_id=request.request_id,
        stage=attempt.stage,
        attempt_id=attempt.attempt_id,
        detail=str(verdict),
        cause=attempt.attempt_id,
    )


def cancel_attempts(
    state: EntryState, progress: StageProgress, now_ms: int
) -> list[Action]:
    """Cancel the running attempts of a stage and charge what they sent."""
    actions: list[Action] = []
    for attempt_id in tuple(progress.attempt_ids):
        attempt = state.attempts[attempt_id]
        actions.append(CancelAttempt(attempt_id, attempt.server))
        end_attempt(
            state,
            attempt,
            AttemptVerdict.CANCELLED,
            len(progress.tokens) - attempt.resume_offset,
            now_ms,
            wasted=True,
        )
    return actions


def output_arrived(
    state: EntryState, event: OutputArrived, now_ms: int
) -> tuple[RunningRequest, list[Action]] | AttemptFailed | None:
    """Accept the output of a stage and cancel its other attempts."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late_answer(state, event.attempt_id, now_ms)
        return None
    if event.echoed_id != event.attempt_id:
        return wrong_answer(state, event.attempt_id, "another attempt's id")
    request = state.requests[attempt.request_key]
    progress = request.stages[attempt.stage]
    record_silence(state.latencies, request.pipeline.name, attempt, now_ms)
    end_attempt(state, attempt, AttemptVerdict.OK, event.tokens, now_ms, wasted=False)
    actions = cancel_attempts(state, progress, now_ms)
    progress.state = StageState.ANSWERED
    progress.output = event.output
    progress.ended_ms = now_ms
    progress.outcome_is_certain = True
    progress.tokens = []
    names = attempt.names
    request_finished(state.suspects, names.fingerprint, now_ms, names.parts)
    settle_stage(state, request, progress, now_ms)
    record_stage(
        state.latencies,
        request.pipeline.name,
        attempt.stage,
        now_ms - progress.started_ms,
    )
    record(
        state.timeline,
        EventKind.STAGE_ENDED,
        now_ms,
        request_id=request.request_id,
        stage=attempt.stage,
        attempt_id=attempt.attempt_id,
        cause=attempt.attempt_id,
    )
    return request, actions


def attempt_failed(
    state: EntryState, event: AttemptFailed, now_ms: int
) -> tuple[RunningRequest, StageProgress] | None:
    """Record that an attempt ended without an answer.

    Returns its request and stage if the stage has no other running attempt.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late_answer(state, event.attempt_id, now_ms)
        return None
    request = state.requests[attempt.request_key]
    progress = request.stages[attempt.stage]
    if event.reason is FailureReason.LOST:
        suspect_inputs(state, attempt, now_ms)
        hold_off(state.routing, attempt.server.name, now_ms)
    if event.leaving:
        server_leaving(state.routing, attempt.server.name, now_ms)
    received = max(0, len(progress.tokens) - attempt.resume_offset)
    end_attempt(
        state,
        attempt,
        _VERDICTS[event.reason],
        received,
        now_ms,
        wasted=event.reason not in _NOT_RUN_REASONS,
    )
    progress.connect_failures += event.reason is FailureReason.NOT_CONNECTED
    if event.reason is FailureReason.NOT_CONNECTED and attempt.is_written:
        take_back_dispatch(state, request, attempt.stage)
    if attempt.is_written:
        update_certainty(progress, event.reason)
    if progress.attempt_ids:
        return None
    progress.ended_ms = now_ms
    progress.state = StageState.FAILED
    if event.reason is FailureReason.RESUME_REFUSED:
        progress.tokens.clear()
    if event.reason is not FailureReason.NOT_CONNECTED:
        settle_stage(state, request, progress, now_ms)
    return request, progress


def update_certainty(progress: StageProgress, reason: FailureReason) -> None:
    """Record whether the stage may have run, as far as its last attempt shows.

    An attempt that never reached its backend server, or was answered as not started,
    did not run. An error answer is certain: the stage ran and failed.
    """
    if reason in _NOT_RUN_REASONS:
        progress.possible_runs -= 1
        progress.outcome_is_certain = not progress.possible_runs
        return
    progress.outcome_is_certain = reason is FailureReason.ERROR_ANSWER


def suspect_inputs(state: EntryState, attempt: Attempt, now_ms: int) -> None:
    """Mark all inputs on a server whose connection was lost as crash suspects."""
    server = attempt.server.name
    on_server = [
        other for other in state.attempts.values() if other.server.name == server
    ]
    connection_lost(
        state.suspects,
        server,
        [other.names.fingerprint for other in on_server],
        now_ms,
        [mark for other in on_server for mark in other.marks],
    )
    state.gossip.is_urgent = True


def wrong_answer(state: EntryState, attempt_id: str, detail: str) -> AttemptFailed:
    """Count a wrong answer and return the event that ends its attempt."""
    state.counters.wrong_answers_dropped += 1
    return AttemptFailed(attempt_id, FailureReason.WRONG_ANSWER, detail, None, False)


def drop_late_answer(state: EntryState, attempt_id: str, now_ms: int) -> None:
    """Count and drop an answer to an attempt that has already ended."""
    state.counters.late_answers_dropped += 1
    record(
        state.timeline,
        EventKind.ANSWER_DROPPED,
        now_ms,
        attempt_id=attempt_id,
        detail="late",
        cause=attempt_id,
    )
