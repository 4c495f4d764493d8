"""Model a backend server in virtual time: a queue, slots, a batch, a prefix cache."""

from collections import OrderedDict
from collections.abc import Callable
from heapq import heapify, heapreplace
from random import Random
from typing import Final

from bramleyturn.bench.service_times import call_ms, prefill_ms, token_ms
from bramleyturn.bench.virtual_time import VirtualTime, call_after
from bramleyturn.core.events import (
    AttemptFailed,
    Event,
    FailureReason,
    OutputArrived,
    StreamEnded,
    TokensArrived,
)
from bramleyturn.core.model import PoolKind, Server
from bramleyturn.core.routing import LoadReport

MAX_QUEUED_JOBS: Final = 64
MAX_CACHED_PREFIXES: Final = 12
CHUNK_TOKENS: Final = 8
TIME_SIGMA: Final = 0.25


class Job:
    """Hold one attempt at a server; ``reply`` sends an event to its entry."""

    __slots__ = (
        "attempt_id",
        "generated_tokens",
        "input_tokens",
        "is_running",
        "is_streaming",
        "output",
        "prefix",
        "ready_ms",
        "reply",
        "started_ms",
        "tokens",
    )

    def __init__(
        self,
        attempt_id: str,
        input_tokens: int,
        tokens: int,
        generated_tokens: int,
        prefix: str,
        output: str,
        reply: Callable[[Event], None],
    ) -> None:
        self.attempt_id = attempt_id
        self.input_tokens = input_tokens
        self.tokens = tokens
        self.generated_tokens = generated_tokens
        self.prefix = prefix
        self.output = output
        self.reply = reply
        self.is_running = False
        self.is_streaming = False
        self.started_ms = 0.0
        self.ready_ms = 0.0


class ServerModel:
    """Hold the state of one backend server and the time it spent on jobs."""

    def __init__(
        self,
        time: VirtualTime,
        server: Server,
        kind: PoolKind,
        capacity: int,
        random: Random,
    ) -> None:
        self.time = time
        self.random = random
        self.server = server
        self.kind = kind
        self.capacity = capacity
        self.waiting: list[Job] = []
        self.running: dict[str, Job] = {}
        self.in_transit: dict[str, Job] = {}
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.slow_factor = 1.0
        self.is_up = True
        self.is_leaving = False
        self.is_batch_running = False
        self.useful_ms = 0.0
        self.wasted_ms = 0.0


def receive(model: ServerModel, job: Job) -> None:
    """Queue an arriving job or refuse it."""
    model.in_transit.pop(job.attempt_id, None)
    if not model.is_up:
        job.reply(_failure_event(job, FailureReason.NOT_CONNECTED))
        return
    if model.is_leaving or len(model.waiting) >= MAX_QUEUED_JOBS:
        reason = FailureReason.NOT_STARTED
        job.reply(_failure_event(job, reason, leaving=model.is_leaving))
        return
    model.waiting.append(job)
    _start_waiting(model)


def cancel(model: ServerModel, attempt_id: str) -> None:
    """Stop a job; a plain call that has started runs to its end."""
    model.waiting = [job for job in model.waiting if job.attempt_id != attempt_id]
    job = model.running.get(attempt_id)
    if job is None or model.kind is PoolKind.PLAIN:
        return
    _end_job(model, job, is_useful=False)
    _start_waiting(model)


def crash(model: ServerModel) -> None:
    """Lose every job and the prefix cache."""
    model.is_up = False
    lost = [*model.running.values(), *model.waiting]
    model.waiting = []
    for job in list(model.running.values()):
        _end_job(model, job, is_useful=False)
    model.prefixes.clear()
    for job in lost:
        job.reply(_failure_event(job, FailureReason.LOST))


def restart(model: ServerModel) -> None:
    """Come back empty after a crash."""
    model.is_up = True


def load_report(model: ServerModel, age_ms: int) -> LoadReport:
    """Return the current load as a report that arrives ``age_ms`` later."""
    return LoadReport(
        model.server.name,
        len(model.running),
        len(model.waiting),
        model.capacity,
        age_ms,
        model.is_leaving,
    )


def time_to_finish_ms(model: ServerModel, input_tokens: int, tokens: int) -> float:
    """Return the time until one more job would finish, from the server's true state."""
    slots = [_remaining_ms(model, job) for job in model.running.values()]
    slots += [0.0] * (model.capacity - len(slots))
    heapify(slots)
    for job in (*model.waiting, *model.in_transit.values()):
        own_ms = _work_ms(model, job.input_tokens, job.tokens - job.generated_tokens)
        heapreplace(slots, slots[0] + own_ms)
    return slots[0] + _work_ms(model, input_tokens, tokens)


def _start_waiting(model: ServerModel) -> None:
    while model.waiting and len(model.running) < model.capacity:
        job = model.waiting.pop(0)
        job.is_running = True
        job.started_ms = model.time.now_ms
        model.running[job.attempt_id] = job
        if model.kind is PoolKind.ENGINE:
            _prefill(model, job)
        else:
            work_ms = call_ms(model.kind, job.input_tokens) * model.slow_factor
            work_ms *= model.random.lognormvariate(0.0, TIME_SIGMA)
            _schedule_job(model, job, work_ms, _finish_call)


def _prefill(model: ServerModel, job: Job) -> None:
    is_cached = bool(job.prefix) and job.prefix in model.prefixes
    if job.prefix:
        model.prefixes[job.prefix] = None
        model.prefixes.move_to_end(job.prefix)
        if len(model.prefixes) > MAX_CACHED_PREFIXES:
            model.prefixes.popitem(last=False)
    work_ms = prefill_ms(job.input_tokens, is_cached=is_cached) * model.slow_factor
    _schedule_job(model, job, work_ms, _join_batch)


def _schedule_job(
    model: ServerModel,
    job: Job,
    delay_ms: float,
    call: Callable[[ServerModel, Job], None],
) -> None:
    job.ready_ms = model.time.now_ms + delay_ms

    def run() -> None:
        if job.is_running:
            call(model, job)

    call_after(model.time, delay_ms, run)


def _finish_call(model: ServerModel, job: Job) -> None:
    _end_job(model, job, is_useful=True)
    job.reply(OutputArrived(job.attempt_id, job.attempt_id, job.output, 0))
    _start_waiting(model)


def _join_batch(model: ServerModel, job: Job) -> None:
    job.is_streaming = True
    if not model.is_batch_running:
        model.is_batch_running = True
        _schedule_batch_step(model)


def _schedule_batch_step(model: ServerModel) -> None:
    streams = sum(job.is_streaming for job in model.running.values())
    step_ms = CHUNK_TOKENS * token_ms(streams) * model.slow_factor
    call_after(model.time, step_ms, lambda: _run_batch_step(model))


def _run_batch_step(model: ServerModel) -> None:
    for job in [job for job in model.running.values() if job.is_streaming]:
        count = min(CHUNK_TOKENS, job.tokens - job.generated_tokens)
        job.reply(
            TokensArrived(
                job.attempt_id, job.attempt_id, job.generated_tokens, ("t",) * count
            )
        )
        job.generated_tokens += count
        if job.generated_tokens >= job.tokens:
            _end_job(model, job, is_useful=True)
            job.reply(StreamEnded(job.attempt_id, job.attempt_id, job.tokens))
    _start_waiting(model)
    if any(job.is_streaming for job in model.running.values()):
        _schedule_batch_step(model)
    else:
        model.is_batch_running = False


def _end_job(model: ServerModel, job: Job, *, is_useful: bool) -> None:
    del model.running[job.attempt_id]
    job.is_running = False
    job.is_streaming = False
    busy_ms = model.time.now_ms - job.started_ms
    if is_useful:
        model.useful_ms += busy_ms
    else:
        model.wasted_ms += busy_ms


def _work_ms(model: ServerModel, input_tokens: int, tokens: int) -> float:
    if model.kind is not PoolKind.ENGINE:
        return call_ms(model.kind, input_tokens) * model.slow_factor
    streams = min(model.capacity, len(model.running) + 1)
    work_ms = prefill_ms(input_tokens, is_cached=False)
    return (work_ms + tokens * token_ms(streams)) * model.slow_factor


def _remaining_ms(model: ServerModel, job: Job) -> float:
    if model.kind is not PoolKind.ENGINE:
        return max(0.0, job.ready_ms - model.time.now_ms)
    prefill_left_ms = max(0.0, job.ready_ms - model.time.now_ms)
    decode_left_ms = (job.tokens - job.generated_tokens) * token_ms(len(model.running))
    return prefill_left_ms + decode_left_ms * model.slow_factor


def _failure_event(
    job: Job, reason: FailureReason, *, leaving: bool = False
) -> AttemptFailed:
    return AttemptFailed(job.attempt_id, reason, "", None, leaving)
