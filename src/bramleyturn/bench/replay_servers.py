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

QUEUE: Final = 64
CACHED_PREFIXES: Final = 12
CHUNK_TOKENS: Final = 8
TIME_SIGMA: Final = 0.25


class Job:
    """Hold one attempt on a server; ``reply`` hands an event to its entry."""

    __slots__ = (
        "attempt_id",
        "input_tokens",
        "is_running",
        "is_streaming",
        "made",
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
        made: int,
        prefix: str,
        output: str,
        reply: Callable[[Event], None],
    ) -> None:
        self.attempt_id = attempt_id
        self.input_tokens = input_tokens
        self.tokens = tokens
        self.made = made
        self.prefix = prefix
        self.output = output
        self.reply = reply
        self.is_running = False
        self.is_streaming = False
        self.started_ms = 0.0
        self.ready_ms = 0.0


class ServerModel:
    """Hold the state of one backend server and the work it did."""

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
        self.coming: dict[str, Job] = {}
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.slow_factor = 1.0
        self.is_up = True
        self.is_leaving = False
        self.is_stepping = False
        self.useful_ms = 0.0
        self.wasted_ms = 0.0


def receive(model: ServerModel, job: Job) -> None:
    """Take a job that arrives, or refuse it."""
    model.coming.pop(job.attempt_id, None)
    if not model.is_up:
        job.reply(_broke(job, FailureReason.NOT_CONNECTED))
        return
    if model.is_leaving or len(model.waiting) >= QUEUE:
        reason = FailureReason.NOT_STARTED
        job.reply(_broke(job, reason, leaving=model.is_leaving))
        return
    model.waiting.append(job)
    _start_waiting(model)


def cancel(model: ServerModel, attempt_id: str) -> None:
    """Stop a job; a plain call that has begun runs to its end."""
    model.waiting = [job for job in model.waiting if job.attempt_id != attempt_id]
    job = model.running.get(attempt_id)
    if job is None or model.kind is PoolKind.PLAIN:
        return
    _end(model, job, is_useful=False)
    _start_waiting(model)


def crash(model: ServerModel) -> None:
    """Lose every job and everything cached."""
    model.is_up = False
    lost = [*model.running.values(), *model.waiting]
    model.waiting = []
    for job in list(model.running.values()):
        _end(model, job, is_useful=False)
    model.prefixes.clear()
    for job in lost:
        job.reply(_broke(job, FailureReason.LOST))


def restart(model: ServerModel) -> None:
    """Come back empty after a crash."""
    model.is_up = True


def load_report(model: ServerModel, age_ms: int) -> LoadReport:
    """Return the present load as a report that arrives ``age_ms`` later."""
    return LoadReport(
        model.server.name,
        len(model.running),
        len(model.waiting),
        model.capacity,
        age_ms,
        model.is_leaving,
    )


def finish_in_ms(model: ServerModel, input_tokens: int, tokens: int) -> float:
    """Return how long one more job would take, from the true state of the server."""
    slots = [_left_ms(model, job) for job in model.running.values()]
    slots += [0.0] * (model.capacity - len(slots))
    heapify(slots)
    for job in (*model.waiting, *model.coming.values()):
        own_ms = _work_ms(model, job.input_tokens, job.tokens - job.made)
        heapreplace(slots, slots[0] + own_ms)
    return slots[0] + _work_ms(model, input_tokens, tokens)


def _start_waiting(model: ServerModel) -> None:
    while model.waiting and len(model.running) < model.capacity:
        job = model.waiting.pop(0)
        job.is_running = True
        job.started_ms = model.time.now_ms
        model.running[job.attempt_id] = job
        if model.kind is PoolKind.ENGINE:
            _read_prompt(model, job)
        else:
            work_ms = call_ms(model.kind, job.input_tokens) * model.slow_factor
            work_ms *= model.random.lognormvariate(0.0, TIME_SIGMA)
            _later(model, job, work_ms, _finish_call)


def _read_prompt(model: ServerModel, job: Job) -> None:
    is_cached = bool(job.prefix) and job.prefix in model.prefixes
    if job.prefix:
        model.prefixes[job.prefix] = None
        model.prefixes.move_to_end(job.prefix)
        if len(model.prefixes) > CACHED_PREFIXES:
            model.prefixes.popitem(last=False)
    work_ms = prefill_ms(job.input_tokens, is_cached=is_cached) * model.slow_factor
    _later(model, job, work_ms, _join_batch)


def _later(
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
    _end(model, job, is_useful=True)
    job.reply(OutputArrived(job.attempt_id, job.attempt_id, job.output, 0))
    _start_waiting(model)


def _join_batch(model: ServerModel, job: Job) -> None:
    job.is_streaming = True
    if not model.is_stepping:
        model.is_stepping = True
        _schedule_step(model)


def _schedule_step(model: ServerModel) -> None:
    streams = sum(job.is_streaming for job in model.running.values())
    step_ms = CHUNK_TOKENS * token_ms(streams) * model.slow_factor
    call_after(model.time, step_ms, lambda: _step(model))


def _step(model: ServerModel) -> None:
    for job in [job for job in model.running.values() if job.is_streaming]:
        count = min(CHUNK_TOKENS, job.tokens - job.made)
        job.reply(
            TokensArrived(job.attempt_id, job.attempt_id, job.made, ("t",) * count)
        )
        job.made += count
        if job.made >= job.tokens:
            _end(model, job, is_useful=True)
            job.reply(StreamEnded(job.attempt_id, job.attempt_id, job.tokens))
    _start_waiting(model)
    if any(job.is_streaming for job in model.running.values()):
        _schedule_step(model)
    else:
        model.is_stepping = False


def _end(model: ServerModel, job: Job, *, is_useful: bool) -> None:
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


def _left_ms(model: ServerModel, job: Job) -> float:
    if model.kind is not PoolKind.ENGINE:
        return max(0.0, job.ready_ms - model.time.now_ms)
    reading_ms = max(0.0, job.ready_ms - model.time.now_ms)
    writing_ms = (job.tokens - job.made) * token_ms(len(model.running))
    return reading_ms + writing_ms * model.slow_factor


def _broke(job: Job, reason: FailureReason, *, leaving: bool = False) -> AttemptFailed:
    return AttemptFailed(job.attempt_id, reason, "", None, leaving)
