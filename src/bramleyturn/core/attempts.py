"""Start attempts of stages on backend servers."""

from typing import Any, Final

import orjson

from bramleyturn.core.actions import Action, StartAttempt
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.hedging import hedge_after_ms
from bramleyturn.core.input_parts import input_parts
from bramleyturn.core.latency import stage_deadline_ms
from bramleyturn.core.model import Pool, PoolKind, Stage
from bramleyturn.core.permission import next_attempt_id
from bramleyturn.core.poison import Quarantined, Suspect
from bramleyturn.core.poison_parts import classify, part_marks
from bramleyturn.core.progress import (
    Attempt,
    RunningRequest,
    StageProgress,
    StageState,
    stage_input,
)
from bramleyturn.core.request_names import (
    RequestNames,
    request_fingerprint,
    workspace_name,
)
from bramleyturn.core.retry_budget import count_first_attempt
from bramleyturn.core.routing import (
    Choice,
    ChoiceRequest,
    NoServer,
    NoServerReason,
    attempt_forecast_ms,
    attempt_started,
    usual_ms,
)
from bramleyturn.core.silence import silence_limit_ms, watch_silence
from bramleyturn.core.timeline import EventKind, record
from bramleyturn.core.timers import TimerKind, set_timer

BYTES_PER_TOKEN: Final = 4
PREFIX_BYTES: Final = 256
SERVER_WAIT_MS: Final = 50
QUARANTINED_WAIT_MS: Final = 1


def start_attempt(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    now_ms: int,
    *,
    is_hedge: bool = False,
) -> list[Action]:
    """Choose a backend server and send it the stage, or wait until one is free.

    A quarantined input waits as well: its retry timer ends the request.
    """
    stage = progress.stage
    pool = state.configuration.pools.get(stage.pool)
    if pool is None:
        return wait_for_server(state, request, progress, SERVER_WAIT_MS, now_ms)
    work = stage_input(request, stage)
    encoded = orjson.dumps(work)
    names = input_names(request, stage, work, encoded)
    size_tokens = size_of_stage(stage, encoded)
    prefix = prefix_of(pool, encoded)
    status = classify(state.suspects, names, now_ms)
    if isinstance(status, Quarantined):
        if is_hedge:
            return []
        return wait_for_server(state, request, progress, QUARANTINED_WAIT_MS, now_ms)
    is_suspect = isinstance(status, Suspect)
    chosen = choose_for_attempt(
        state,
        progress,
        ChoiceRequest(
            pool=stage.pool,
            size_tokens=size_tokens,
            prefix=prefix,
            excluded=frozenset(progress.tried_servers),
            alone=is_suspect,
            place=status.place if isinstance(status, Suspect) else 0,
            places=status.suspects if isinstance(status, Suspect) else 1,
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
        names=names,
        marks=part_marks(state.suspects, names),
        resume_offset=len(progress.tokens),
        is_hedge=is_hedge,
        is_written=stage.repeatable,
        silence_limit_ms=silence_limit_ms(
            state.latencies, request.pipeline, stage, timeout_ms
        ),
        heard_ms=now_ms,
    )
    attempt.forecast_ms = attempt_forecast_ms(
        state.routing, chosen.server.name, size_tokens, now_ms
    )
    register_attempt(state, request, progress, attempt, chosen, now_ms)
    attempt_started(
        state.routing, chosen.server.name, size_tokens, prefix, now_ms, is_suspect
    )
    return [start_action(request, attempt, work, stage.max_output_tokens, timeout_ms)]


def choose_for_attempt(
    state: EntryState, progress: StageProgress, request: ChoiceRequest, now_ms: int
) -> Choice | NoServer:
    """Choose a backend server, preferring one that was not tried yet.

    The first attempt of a stage that may not be repeated goes to the server named in
    its recorded intent.
    """
    intended = state.configuration.servers.get(progress.intended_server)
    if intended is not None and not progress.attempts_made:
        return Choice(intended, ("recorded intent",))
    chosen = state.choose(state.routing, request, now_ms, state.random)
    if not isinstance(chosen, NoServer) or chosen.reason is NoServerReason.NONE_IDLE:
        return chosen
    if request.excluded:
        unrestricted = request._replace(excluded=frozenset())
        return state.choose(state.routing, unrestricted, now_ms, state.random)
    return chosen


def is_quarantined(
    state: EntryState, request: RunningRequest, stage: Stage, now_ms: int
) -> bool:
    """Tell whether the input of a stage is known to crash backend servers."""
    work = stage_input(request, stage)
    names = input_names(request, stage, work, orjson.dumps(work))
    return isinstance(classify(state.suspects, names, now_ms), Quarantined)


def input_names(
    request: RunningRequest, stage: Stage, work: Any, encoded: bytes
) -> RequestNames:
    """Return what the input of a stage is known by, if servers crash on it."""
    return RequestNames(
        request_fingerprint(request.pipeline.name, stage.name, encoded),
        input_parts(work),
        workspace_name(request.workspace.name),
    )


def size_of_stage(stage: Stage, encoded: bytes) -> int:
    """Return the size of a stage's work in tokens, including its longest answer."""
    return len(encoded) // BYTES_PER_TOKEN + stage.max_output_tokens


def prefix_of(pool: Pool, encoded: bytes) -> str:
    """Return the part of the input that a model engine may have cached."""
    if pool.kind is not PoolKind.ENGINE:
        return ""
    return encoded[:PREFIX_BYTES].decode(errors="ignore")


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
    """Record a new attempt, before anything is sent."""
    if not progress.attempts_made:
        count_first_attempt(state.retry_budget, attempt.pool.name, now_ms)
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
    watch_silence(state, attempt, now_ms)
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
    """Schedule a hedge for a short repeatable stage that takes too long."""
    if not progress.stage.repeatable or attempt.is_hedge:
        return
    after_ms = hedge_after_ms(
        state.latencies,
        request.pipeline,
        progress.stage,
        state.configuration.limits,
        usual_ms(state.routing, attempt.pool.name, attempt.size_tokens),
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
