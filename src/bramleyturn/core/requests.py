"""Manage a request from its arrival to its outcome."""

import hashlib
from typing import Final

import orjson

from bramleyturn.core.actions import Action, Answer
from bramleyturn.core.admission import (
    AdmissionRequest,
    Queued,
    Refused,
    leave,
    release,
    request_admission,
)
from bramleyturn.core.attempt_results import cancel_attempts
from bramleyturn.core.attempts import BYTES_PER_TOKEN, input_names
from bramleyturn.core.budgets import release_budget, reserve_budget
from bramleyturn.core.entry_state import EntryState, new_key
from bramleyturn.core.events import FailureReason, RequestArrived
from bramleyturn.core.kept_outcomes import (
    OutcomeKey,
    find_outcome,
    keep_outcome,
    pack_outcome,
    unpack_outcome,
)
from bramleyturn.core.latency import can_finish, stage_percentile_ms
from bramleyturn.core.model import Pipeline, Workspace
from bramleyturn.core.outcomes import Outcome, OutcomeKind, not_run
from bramleyturn.core.permission import finish_ticket
from bramleyturn.core.poison import Quarantined
from bramleyturn.core.poison_parts import classify
from bramleyturn.core.progress import (
    RunningRequest,
    StageProgress,
    StageState,
    all_answered,
    final_output,
    new_stages,
    overall_kind,
    stage_outcomes,
)
from bramleyturn.core.retries import may_retry_stage, schedule_retry
from bramleyturn.core.stages import refused_reason, start_ready_stages
from bramleyturn.core.timeline import EventKind, record
from bramleyturn.core.timers import TimerKind, set_timer

INPUT_DIGEST_BYTES: Final = 16
TYPICAL_PERCENTILE: Final = 50
DRAIN_RETRY_AFTER_MS: Final = 1_000
DEADLINE_RETRY_AFTER_MS: Final = 1_000
PROBE_INTERVAL_MS: Final = 1_000
CRASHES_SERVERS: Final = "input_crashes_servers"


def digest_input(pipeline: str, encoded: bytes) -> bytes:
    """Return a digest that distinguishes a request's pipeline and input."""
    return hashlib.blake2b(
        encoded, digest_size=INPUT_DIGEST_BYTES, person=pipeline.encode()[:16]
    ).digest()


def join_known_request(
    state: EntryState, event: RequestArrived, digest: bytes, now_ms: int
) -> list[Action] | None:
    """Attach a repeated request to the running one, or answer with the kept outcome.

    Returns None if the request id is new to this process.
    """
    key = OutcomeKey(event.workspace, event.request_id)
    running_key = state.running_by_id.get(key)
    if running_key is not None:
        request = state.requests[running_key]
        if request.input_digest != digest:
            return [refuse_reused_id(event)]
        request.waiters.add(event.waiter)
        state.request_by_waiter[event.waiter] = running_key
        return []
    kept = find_outcome(state.kept, key, now_ms)
    if kept is None or kept.kind is OutcomeKind.NOT_RUN:
        return None
    if kept.input_digest != digest:
        return [refuse_reused_id(event)]
    return [Answer(event.waiter, event.request_id, unpack_outcome(kept))]


def refuse_reused_id(event: RequestArrived) -> Answer:
    """Refuse a request whose id was already used with another input."""
    return Answer(event.waiter, event.request_id, not_run("request_id_reused"))


def accept_request(
    state: EntryState,
    event: RequestArrived,
    workspace: Workspace,
    pipeline: Pipeline,
    digest: bytes,
    ticket_number: int | None,
    now_ms: int,
) -> list[Action]:
    """Admit, queue or refuse a request that is new to this process."""
    request = RunningRequest(
        key=new_key(state),
        request_id=event.request_id,
        workspace=workspace,
        pipeline=pipeline,
        input=event.input,
        input_digest=digest,
        input_bytes=event.input_bytes,
        arrived_ms=now_ms,
        deadline_at_ms=now_ms + event.left_ms,
        ticket_number=ticket_number,
        waiters={event.waiter},
        stages=new_stages(pipeline),
    )
    state.requests[request.key] = request
    state.running_by_id[OutcomeKey(workspace.name, event.request_id)] = request.key
    state.request_by_waiter[event.waiter] = request.key
    record(
        state.timeline,
        EventKind.REQUEST_ARRIVED,
        now_ms,
        request_id=request.request_id,
        detail=pipeline.name,
        cause=event.waiter,
    )
    refusal = refuse_before_admission(state, request, now_ms)
    if refusal is not None:
        return end_request(state, request, refusal, now_ms)
    return admit_request(state, request, now_ms)


def refuse_before_admission(
    state: EntryState, request: RunningRequest, now_ms: int
) -> Outcome | None:
    """Return the outcome that refuses a request, None to accept it."""
    if state.is_draining:
        return not_run("shutting_down", DRAIN_RETRY_AFTER_MS)
    encoded = orjson.dumps(request.input)
    for stage in request.pipeline.stages:
        if stage.after:
            continue
        names = input_names(request, stage, request.input, encoded)
        if isinstance(classify(state.suspects, names, now_ms), Quarantined):
            return Outcome(OutcomeKind.FAILED, CRASHES_SERVERS)
    too_late = refuse_too_late(state, request, len(encoded) // BYTES_PER_TOKEN, now_ms)
    if too_late is not None and not may_probe(state, request, now_ms):
        return too_late
    return reserve_budget(state, request, now_ms)


def refuse_too_late(
    state: EntryState, request: RunningRequest, input_tokens: int, now_ms: int
) -> Outcome | None:
    """Return the refusal of a request that is not expected to finish in time."""
    stages = request.pipeline.stages
    left_ms = request.deadline_at_ms - now_ms
    if not can_finish(state.latencies, request.pipeline, stages, left_ms):
        return not_run("deadline_too_short", DEADLINE_RETRY_AFTER_MS)
    too_busy = state.check_forecast(
        state.routing, stages, input_tokens, left_ms, now_ms
    )
    if too_busy is None:
        return None
    return not_run("servers_busy", too_busy.retry_after_ms)


def may_probe(state: EntryState, request: RunningRequest, now_ms: int) -> bool:
    """Tell whether a request that is expected to be late may run as a probe.

    Only requests that run show how fast a pipeline is. If all were refused, the end
    of a slow period would never be noticed.
    """
    name = request.pipeline.name
    if any(
        other.pipeline.name == name and other is not request
        for other in state.requests.values()
    ):
        return False
    if now_ms - state.probed_ms.get(name, -PROBE_INTERVAL_MS) < PROBE_INTERVAL_MS:
        return False
    state.probed_ms[name] = now_ms
    return True


def admit_request(
    state: EntryState, request: RunningRequest, now_ms: int
) -> list[Action]:
    """Ask for admission and start the request if it is admitted at once."""
    typical_ms = expected_ms(state, request.pipeline)
    answer = request_admission(
        state.admission,
        AdmissionRequest(
            key=request.key,
            workspace=request.workspace,
            deadline_at_ms=request.deadline_at_ms,
            expected_ms=min(typical_ms, request.deadline_at_ms - now_ms),
        ),
        now_ms,
    )
    if isinstance(answer, Refused):
        refusal = not_run(str(answer.reason), answer.retry_after_ms)
        return end_request(state, request, refusal, now_ms)
    set_timer(
        state.timers, request.deadline_at_ms, TimerKind.REQUEST_DEADLINE, request.key
    )
    if isinstance(answer, Queued):
        record(
            state.timeline,
            EventKind.REQUEST_QUEUED,
            now_ms,
            request_id=request.request_id,
        )
        return []
    return start_admitted(state, (request.key,), now_ms)


def expected_ms(state: EntryState, pipeline: Pipeline) -> int:
    """Return how long a typical request of a pipeline takes, zero if unknown."""
    return sum(
        stage_percentile_ms(
            state.latencies, pipeline.name, stage.name, TYPICAL_PERCENTILE
        )
        or 0
        for stage in pipeline.stages
    )


def start_admitted(
    state: EntryState, keys: tuple[str, ...], now_ms: int
) -> list[Action]:
    """Start the requests that were admitted."""
    actions: list[Action] = []
    for key in keys:
        request = state.requests.get(key)
        if request is None:
            continue
        request.is_admitted = True
        actions += continue_request(state, request, now_ms)
    return actions


def continue_request(
    state: EntryState, request: RunningRequest, now_ms: int
) -> list[Action]:
    """Start the stages that are ready, or end a request with a refused stage."""
    actions = start_ready_stages(state, request, now_ms)
    for progress in request.stages.values():
        if progress.state is not StageState.AWAITING_INTENT:
            continue
        reason = refused_reason(state, request, progress.stage.name)
        if reason is not None:
            return actions + give_up(state, request, reason, None, now_ms)
    return actions


def stage_answered(
    state: EntryState, request: RunningRequest, now_ms: int
) -> list[Action]:
    """Continue a request after one of its stages answered."""
    if all_answered(request):
        outcome = Outcome(OutcomeKind.ANSWERED, "whole", output=final_output(request))
        return end_request(state, request, outcome, now_ms)
    return continue_request(state, request, now_ms)


def stage_failed(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    reason: FailureReason,
    retry_after_ms: int | None,
    now_ms: int,
) -> list[Action]:
    """Retry a failed stage, or end the request at once."""
    if may_retry_stage(state, request, progress, reason, now_ms):
        schedule_retry(state, request, progress, reason, now_ms)
        return []
    return give_up(state, request, str(reason), retry_after_ms, now_ms)


def give_up(
    state: EntryState,
    request: RunningRequest,
    reason: str,
    retry_after_ms: int | None,
    now_ms: int,
) -> list[Action]:
    """End a request without an answer; its stages determine the outcome."""
    kind = overall_kind(request)
    if kind is OutcomeKind.NOT_RUN and retry_after_ms is None:
        retry_after_ms = DEADLINE_RETRY_AFTER_MS
    ask = state.me.address if kind is OutcomeKind.UNKNOWN else ""
    outcome = Outcome(kind, reason, retry_after_ms=retry_after_ms, ask=ask)
    return end_request(state, request, outcome, now_ms)


def refuse_quarantined(
    state: EntryState, request: RunningRequest, now_ms: int
) -> list[Action]:
    """End a request one of whose inputs crashes backend servers.

    The outcome is final even if nothing ran here: a retry would crash another server.
    """
    if overall_kind(request) is OutcomeKind.UNKNOWN:
        return give_up(state, request, CRASHES_SERVERS, None, now_ms)
    outcome = Outcome(OutcomeKind.FAILED, CRASHES_SERVERS)
    return end_request(state, request, outcome, now_ms)


def end_request(
    state: EntryState, request: RunningRequest, outcome: Outcome, now_ms: int
) -> list[Action]:
    """Answer every waiting caller, keep the outcome and release what was held."""
    actions: list[Action] = []
    for progress in request.stages.values():
        actions += cancel_attempts(state, progress, now_ms)
        if progress.state is StageState.RUNNING:
            progress.state = StageState.FAILED
    outcome = outcome._replace(
        stages=stage_outcomes(request, now_ms), cost_micros=request.cost_micros
    )
    release_budget(state, request, now_ms)
    outcome, copies = finish_ticket(state, request, outcome)
    forget_running(state, request)
    keep_request_outcome(state, request, outcome, now_ms)
    count_outcome(state, outcome)
    record(
        state.timeline,
        EventKind.REQUEST_ENDED,
        now_ms,
        request_id=request.request_id,
        detail=f"{outcome.kind}: {outcome.reason}",
        cause=request.key,
    )
    actions += [
        Answer(waiter, request.request_id, outcome)
        for waiter in sorted(request.waiters)
    ]
    actions += copies
    admitted = release_slot(state, request, now_ms)
    return actions + start_admitted(state, admitted, now_ms)


def release_slot(
    state: EntryState, request: RunningRequest, now_ms: int
) -> tuple[str, ...]:
    """Release the request's slot and return the requests admitted as a result."""
    if request.is_admitted:
        return release(state.admission, request.key, now_ms)
    return leave(state.admission, request.key, now_ms)


def forget_running(state: EntryState, request: RunningRequest) -> None:
    """Remove a request from every table of running requests."""
    del state.requests[request.key]
    key = OutcomeKey(request.workspace.name, request.request_id)
    if state.running_by_id.get(key) == request.key:
        del state.running_by_id[key]
    if request.ticket_number is not None:
        state.request_by_ticket.pop(request.ticket_number, None)
    for waiter in request.waiters:
        state.request_by_waiter.pop(waiter, None)


def keep_request_outcome(
    state: EntryState, request: RunningRequest, outcome: Outcome, now_ms: int
) -> None:
    """Keep an outcome for a caller that asks again."""
    forget_at_ms = now_ms + state.configuration.limits.kept_outcome_ms
    keep_outcome(
        state.kept,
        OutcomeKey(request.workspace.name, request.request_id),
        pack_outcome(outcome, request.input_digest, forget_at_ms),
    )


def count_outcome(state: EntryState, outcome: Outcome) -> None:
    """Count an outcome by its kind."""
    name = str(outcome.kind)
    setattr(state.counters, name, getattr(state.counters, name) + 1)
