"""Send stages to backend servers and take in what comes back."""

from typing import Any, Final

import orjson

from bramleyturn.core.actions import Action, CancelAttempt, StartAttempt
from bramleyturn.core.cost import Charge, attempt_cost_micros, charge
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    AttemptBroke,
    BreakReason,
    OutputArrived,
    StreamEnded,
    TokensArrived,
)
from bramleyturn.core.hedging import hedge_after_ms
from bramleyturn.core.latency import record_stage, stage_deadline_ms
from bramleyturn.core.model import Pool, PoolKind, Stage
from bramleyturn.core.permission import (
    next_attempt_id,
    settle_stage,
    take_back_dispatch,
)
from bramleyturn.core.poison import (
    Suspect,
    connection_lost,
    request_fingerprint,
    request_finished,
    verdict,
)
from bramleyturn.core.progress import (
    Attempt,
    RunningRequest,
    StageProgress,
    StageState,
    stage_input,
)
from bramleyturn.core.retry_budget import first_attempt, may_retry, retry_delay_ms
from bramleyturn.core.routing import (
    AttemptEnd,
    AttemptVerdict,
    Choice,
    ChoiceRequest,
    NoServer,
    attempt_ended,
    attempt_started,
    choose_server,
    server_leaving,
)
from bramleyturn.core.timeline import EventKind, record
from bramleyturn.core.timers import TimerKind, set_timer

BYTES_PER_TOKEN: Final = 4
PREFIX_CHARACTERS: Final = 256
SERVER_WAIT_MS: Final = 50

_VERDICTS: Final = {
    BreakReason.NOT_CONNECTED: AttemptVerdict.LOST,
    BreakReason.NOT_STARTED: AttemptVerdict.REFUSED,
    BreakReason.ERROR_ANSWER: AttemptVerdict.FAILED,
    BreakReason.LOST: AttemptVerdict.LOST,
    BreakReason.CUT: AttemptVerdict.LOST,
    BreakReason.WRONG_ANSWER: AttemptVerdict.FAILED,
    BreakReason.TIMED_OUT: AttemptVerdict.FAILED,
}
_NOTHING_RAN: Final = frozenset({BreakReason.NOT_CONNECTED, BreakReason.NOT_STARTED})


def start_attempt(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    now_ms: int,
    *,
    is_hedge: bool = False,
) -> list[Action]:
    """Choose a backend server and send it the stage, or wait until one is free."""
    stage = progress.stage
    pool = state.configuration.pools.get(stage.pool)
    if pool is None:
        return wait_for_server(state, request, progress, SERVER_WAIT_MS, now_ms)
    work = stage_input(request, stage)
    packed = orjson.dumps(work)
    fingerprint = request_fingerprint(request.pipeline.name, stage.name, packed)
    size_tokens = size_of_stage(stage, packed)
    prefix = prefix_of(pool, packed)
    is_suspect = isinstance(verdict(state.suspects, fingerprint, now_ms), Suspect)
    chosen = choose_for_attempt(
        state,
        progress,
        ChoiceRequest(
            pool=stage.pool,
            size_tokens=size_tokens,
            prefix=prefix,
            excluded=frozenset(progress.tried_servers),
            alone=is_suspect,
        ),
        now_ms,
    )
    if isinstance(chosen, NoServer):
        if is_hedge:
            return []
        return wait_for_server(state, request, progress, chosen.retry_after_ms, now_ms)
    left_ms = request.deadline_at_ms - now_ms
    timeout_ms = stage_deadline_ms(state.latencies, request.pipeline, stage, left_ms)
    attempt = Attempt(
        attempt_id=next_attempt_id(request, progress),
        request_key=request.key,
        stage=stage.name,
        pool=pool,
        server=chosen.server,
        started_ms=now_ms,
        timeout_at_ms=now_ms + timeout_ms,
        size_tokens=size_tokens,
        fingerprint=fingerprint,
        resume_offset=len(progress.tokens),
        is_hedge=is_hedge,
        is_written=stage.repeatable,
    )
    register_attempt(state, request, progress, attempt, chosen, now_ms)
    attempt_started(
        state.routing, chosen.server.name, size_tokens, prefix, now_ms, is_suspect
    )
    return [start_action(request, attempt, work, stage.max_output_tokens, timeout_ms)]


def choose_for_attempt(
    state: EntryState, progress: StageProgress, request: ChoiceRequest, now_ms: int
) -> Choice | NoServer:
    """Choose a backend server, one that was not tried yet where there is one.

    The first attempt of a stage that may not be repeated goes where its recorded
    intent says.
    """
    intended = state.configuration.servers.get(progress.intended_server)
    if intended is not None and not progress.attempts_made:
        return Choice(intended, ("recorded intent",))
    chosen = choose_server(state.routing, request, now_ms, state.random)
    if isinstance(chosen, NoServer) and request.excluded:
        again = request._replace(excluded=frozenset())
        return choose_server(state.routing, again, now_ms, state.random)
    return chosen


def size_of_stage(stage: Stage, packed: bytes) -> int:
    """Return the size of a stage's work in tokens, its longest answer included."""
    return len(packed) // BYTES_PER_TOKEN + stage.max_output_tokens


def prefix_of(pool: Pool, packed: bytes) -> str:
    """Return the part of the input that a model engine may have cached."""
    if pool.kind is not PoolKind.ENGINE:
        return ""
    return packed[:PREFIX_CHARACTERS].decode(errors="ignore")


def start_action(
    request: RunningRequest,
    attempt: Attempt,
    work: Any,
    max_output_tokens: int,
    timeout_ms: int,
) -> StartAttempt:
    """Return the action that sends an attempt.

    The idempotency key names the request and the stage, not the attempt, so that a
    backend server that recognises it can tell a second attempt from a new request.
    """
    return StartAttempt(
        attempt_id=attempt.attempt_id,
        request_id=request.request_id,
        stage=attempt.stage,
        server=attempt.server,
        kind=attempt.pool.kind,
        model=attempt.pool.model,
        input=work,
        max_output_tokens=max_output_tokens,
        resume_offset=attempt.resume_offset,
        idempotency_key=f"{request.key}.{attempt.stage}",
        timeout_ms=timeout_ms,
        needs_permission=not attempt.is_written,
    )


def register_attempt(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    attempt: Attempt,
    chosen: Choice,
    now_ms: int,
) -> None:
    """Write down that an attempt starts, before anything is sent."""
    if not progress.attempts_made:
        first_attempt(state.retry_budget, attempt.pool.name, now_ms)
        progress.started_ms = now_ms
    progress.state = StageState.RUNNING
    progress.attempts_made += 1
    progress.attempt_ids.append(attempt.attempt_id)
    progress.tried_servers.add(attempt.server.name)
    if attempt.is_written:
        progress.possible_runs += 1
        progress.outcome_is_certain = False
    state.attempts[attempt.attempt_id] = attempt
    state.counters.resumes += attempt.resume_offset > 0
    set_timer(
        state.timers,
        attempt.timeout_at_ms,
        TimerKind.ATTEMPT_TIMEOUT,
        attempt.attempt_id,
    )
    set_hedge_timer(state, request, progress, attempt, now_ms)
    record(
        state.timeline,
        EventKind.ATTEMPT_STARTED,
        now_ms,
        request_id=request.request_id,
        stage=attempt.stage,
        attempt_id=attempt.attempt_id,
        detail=f"{attempt.server.name}: {', '.join(chosen.reasons)}",
        cause=attempt.attempt_id,
    )


def set_hedge_timer(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    attempt: Attempt,
    now_ms: int,
) -> None:
    """Arrange a second attempt of a short repeatable stage that takes too long."""
    if not progress.stage.repeatable or attempt.is_hedge:
        return
    after_ms = hedge_after_ms(
        state.latencies,
        request.pipeline,
        progress.stage,
        state.configuration.limits,
    )
    if after_ms is not None:
        set_timer(state.timers, now_ms + after_ms, TimerKind.HEDGE, attempt.attempt_id)


def wait_for_server(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    retry_after_ms: int | None,
    now_ms: int,
) -> list[Action]:
    """Queue a stage for the next free backend server of its pool."""
    progress.state = StageState.AWAITING_SERVER
    waiting = state.waiting_for_server.setdefault(progress.stage.pool, {})
    waiting[request.key, progress.stage.name] = request.deadline_at_ms
    wait_ms = min(retry_after_ms or SERVER_WAIT_MS, SERVER_WAIT_MS)
    set_timer(
        state.timers,
        now_ms + wait_ms,
        TimerKind.RETRY,
        request.key,
        progress.stage.name,
    )
    return []


def end_attempt(
    state: EntryState,
    attempt: Attempt,
    verdict_of_attempt: AttemptVerdict,
    tokens: int,
    now_ms: int,
    *,
    wasted: bool,
) -> None:
    """Take an attempt off the books and charge it."""
    del state.attempts[attempt.attempt_id]
    elapsed_ms = now_ms - attempt.started_ms
    attempt_ended(
        state.routing,
        attempt.server.name,
        AttemptEnd(verdict_of_attempt, elapsed_ms, attempt.size_tokens),
        now_ms,
    )
    request = state.requests[attempt.request_key]
    progress = request.stages[attempt.stage]
    progress.attempt_ids.remove(attempt.attempt_id)
    micros = attempt_cost_micros(attempt.pool, tokens)
    progress.cost_micros += micros
    request.cost_micros += micros
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
        detail=str(verdict_of_attempt),
        cause=attempt.attempt_id,
    )


def cancel_attempts(
    state: EntryState, progress: StageProgress, now_ms: int
) -> list[Action]:
    """Cancel whatever of a stage still runs. What was sent is charged."""
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


def tokens_arrived(
    state: EntryState, event: TokensArrived, now_ms: int
) -> AttemptBroke | None:
    """Add a part of a stream, or say why it can't belong to the answer.

    A part that overlaps what is held must agree with it. A part beyond the held
    offset leaves a gap.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late(state, event.attempt_id, now_ms)
        return None
    if event.echoed_id != event.attempt_id:
        return wrong_answer(state, event.attempt_id, "another attempt's id")
    held = state.requests[attempt.request_key].stages[attempt.stage].tokens
    if event.offset > len(held):
        return wrong_answer(state, event.attempt_id, "a gap in the stream")
    overlap = tuple(held[event.offset : event.offset + len(event.tokens)])
    if overlap != event.tokens[: len(overlap)]:
        return wrong_answer(state, event.attempt_id, "a part that contradicts another")
    held.extend(event.tokens[len(overlap) :])
    return None


def wrong_answer(state: EntryState, attempt_id: str, detail: str) -> AttemptBroke:
    """Count a wrong answer and return the event that ends its attempt."""
    state.counters.wrong_answers_dropped += 1
    return AttemptBroke(attempt_id, BreakReason.WRONG_ANSWER, detail, None, False)


def drop_late(state: EntryState, attempt_id: str, now_ms: int) -> None:
    """Count an answer to an attempt that has already ended."""
    state.counters.late_answers_dropped += 1
    record(
        state.timeline,
        EventKind.ANSWER_DROPPED,
        now_ms,
        attempt_id=attempt_id,
        detail="late",
        cause=attempt_id,
    )


def stream_ended(
    state: EntryState, event: StreamEnded, now_ms: int
) -> AttemptBroke | OutputArrived | None:
    """Return the whole answer of a stream, or why it is not whole.

    A stream that holds more than was announced can't be trusted at any offset, so
    its tokens are discarded and the stage starts again from the beginning.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late(state, event.attempt_id, now_ms)
        return None
    progress = state.requests[attempt.request_key].stages[attempt.stage]
    if event.echoed_id != event.attempt_id:
        return wrong_answer(state, event.attempt_id, "another attempt's id")
    if len(progress.tokens) < event.total:
        return AttemptBroke(
            event.attempt_id,
            BreakReason.CUT,
            "fewer tokens than announced",
            None,
            False,
        )
    if len(progress.tokens) > event.total:
        progress.tokens.clear()
        return wrong_answer(state, event.attempt_id, "more tokens than announced")
    return OutputArrived(
        attempt_id=event.attempt_id,
        echoed_id=event.echoed_id,
        output="".join(progress.tokens),
        tokens=event.total - attempt.resume_offset,
    )


def output_arrived(
    state: EntryState, event: OutputArrived, now_ms: int
) -> tuple[RunningRequest, list[Action]] | AttemptBroke | None:
    """Accept the output of a stage and cancel its other attempts."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late(state, event.attempt_id, now_ms)
        return None
    if event.echoed_id != event.attempt_id:
        return wrong_answer(state, event.attempt_id, "another attempt's id")
    request = state.requests[attempt.request_key]
    progress = request.stages[attempt.stage]
    end_attempt(state, attempt, AttemptVerdict.OK, event.tokens, now_ms, wasted=False)
    actions = cancel_attempts(state, progress, now_ms)
    progress.state = StageState.ANSWERED
    progress.output = event.output
    progress.ended_ms = now_ms
    progress.outcome_is_certain = True
    progress.tokens = []
    request_finished(state.suspects, attempt.fingerprint, now_ms)
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


def attempt_broke(
    state: EntryState, event: AttemptBroke, now_ms: int
) -> tuple[RunningRequest, StageProgress] | None:
    """Write down that an attempt ended without an answer.

    Returns the stage it leaves without any running attempt, if it does.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late(state, event.attempt_id, now_ms)
        return None
    request = state.requests[attempt.request_key]
    progress = request.stages[attempt.stage]
    if event.reason is BreakReason.LOST:
        suspect_inputs(state, attempt, now_ms)
    if event.leaving:
        server_leaving(state.routing, attempt.server.name, now_ms)
    received = max(0, len(progress.tokens) - attempt.resume_offset)
    end_attempt(
        state,
        attempt,
        _VERDICTS[event.reason],
        received,
        now_ms,
        wasted=event.reason not in _NOTHING_RAN,
    )
    if event.reason is BreakReason.NOT_CONNECTED and attempt.is_written:
        take_back_dispatch(state, request, attempt.stage)
    if attempt.is_written:
        settle_certainty(progress, event.reason)
    if progress.attempt_ids:
        return None
    progress.ended_ms = now_ms
    progress.state = StageState.FAILED
    if event.reason is not BreakReason.NOT_CONNECTED:
        settle_stage(state, request, progress, now_ms)
    return request, progress


def settle_certainty(progress: StageProgress, reason: BreakReason) -> None:
    """Write down whether the stage may have run, as far as its last attempt tells.

    An attempt that never reached its backend server, or was answered as not started,
    did not run. An error answer is certain: the stage ran and failed.
    """
    if reason in _NOTHING_RAN:
        progress.possible_runs -= 1
        progress.outcome_is_certain = not progress.possible_runs
        return
    progress.outcome_is_certain = reason is BreakReason.ERROR_ANSWER


def suspect_inputs(state: EntryState, attempt: Attempt, now_ms: int) -> None:
    """Suspect every input that was on a backend server whose connection was lost."""
    on_server = [
        other.fingerprint
        for other in state.attempts.values()
        if other.server.name == attempt.server.name
    ]
    connection_lost(state.suspects, attempt.server.name, on_server, now_ms)


def may_try_again(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    reason: BreakReason,
    now_ms: int,
) -> bool:
    """Tell whether a stage whose last attempt broke may be sent again.

    A stage that may not be repeated is sent again only where nothing was written to
    a backend server, or where the pool recognises its idempotency key.
    """
    limits = state.configuration.limits
    if state.requests.get(request.key) is None or now_ms >= request.deadline_at_ms:
        return False
    if progress.attempts_made >= limits.max_attempts:
        return False
    if not progress.stage.repeatable and reason is not BreakReason.NOT_CONNECTED:
        pool = state.configuration.pools.get(progress.stage.pool)
        if pool is None or not pool.recognises_idempotency_key:
            return False
    return may_retry(state.retry_budget, progress.stage.pool, now_ms)


def schedule_retry(
    state: EntryState, request: RunningRequest, progress: StageProgress, now_ms: int
) -> None:
    """Arrange the next attempt of a stage after a short random delay."""
    state.counters.retries += 1
    progress.state = StageState.AWAITING_SERVER
    progress.ended_ms = 0
    delay_ms = retry_delay_ms(progress.attempts_made, state.random)
    set_timer(
        state.timers,
        now_ms + delay_ms,
        TimerKind.RETRY,
        request.key,
        progress.stage.name,
    )
