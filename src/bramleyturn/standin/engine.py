"""Generate streams as a model engine does: prefill, then tokens in a shared batch."""

from collections.abc import Callable
from typing import Any, Final, TypedDict

import orjson
from twisted.internet.base import DelayedCall

from bramleyturn.standin.answers import engine_tokens
from bramleyturn.standin.backend import (
    BackendServer,
    complete_answer,
    draw_failure,
    drop_connection,
    end_job,
    schedule_step,
)
from bramleyturn.standin.behaviour import StreamError
from bramleyturn.standin.jobs import Job, JobState
from bramleyturn.standin.json_http import (
    answer,
    end_with_connection,
    set_header,
    write,
)
from bramleyturn.standin.prefix_cache import (
    PrefixCache,
    blocks_of,
    cached_blocks,
    store_blocks,
)

BLOCKS_PER_PREFILL_TIME: Final = 32
CACHED_PREFILL_SAVED: Final = 0.8
ERROR_TEXT: Final = "engine failed"
SLOWDOWN_PER_STREAM: Final = 0.03


class Order(TypedDict):
    """Describe an order that was carried out."""

    order: str
    model: str
    version: str
    role: str
    fencing: int


class Engine:
    """Hold the state of an engine beyond its queue: models, batch, cache, orders."""

    def __init__(self, cache: PrefixCache, model: str) -> None:
        self.cache = cache
        self.models = {model: ""}
        self.role = "both"
        self.fencing = 0
        self.orders: list[Order] = []
        self.batch: list[Job] = []
        self.timer: DelayedCall | None = None


def begin_stream(engine: Engine) -> Callable[[BackendServer, Job], None]:
    """Return the function that begins a started stream on ``engine``."""

    def begin(server: BackendServer, job: Job) -> None:
        names = blocks_of(server.settings.model, job.value)
        hits = cached_blocks(engine.cache, names)
        engine.cache.hits += hits
        engine.cache.misses += len(names) - hits
        store_blocks(engine.cache, names, server.clock.monotonic_ms())
        scale = max(1.0, len(names) / BLOCKS_PER_PREFILL_TIME)
        saved = CACHED_PREFILL_SAVED * hits / max(1, len(names))
        delay_ms = server.settings.service_ms * scale * (1 - saved)
        schedule_step(
            server, job, delay_ms, lambda *_: _join_batch(engine, server, job)
        )

    return begin


def prepare_stream(server: BackendServer, job: Job, max_output_tokens: int) -> bool:
    """Compute the tokens of ``job``; return whether its resume offset is valid."""
    job.tokens = engine_tokens(server.settings.model, job.value, max_output_tokens)
    job.sent_tokens = job.resume_offset
    return job.resume_offset <= len(job.tokens)


def _join_batch(engine: Engine, server: BackendServer, job: Job) -> None:
    if draw_failure(server):
        document = {"attempt_id": job.attempt_id, "error": "failed"}
        end_job(server, job, "failed")
        complete_answer(job, answer(job.request, 500, document))
        return
    if job.faults.stream_error in (StreamError.JSON, StreamError.TEXT):
        _answer_error(server, job)
        return
    if job.resume_offset and job.faults.wrong_resume_offset:
        start = job.resume_offset + job.faults.wrong_resume_offset
        job.sent_tokens = min(max(0, start), len(job.tokens))
    set_header(job.request, b"content-type", b"application/x-ndjson")
    if job.faults.unframed:
        end_with_connection(job.request)
    engine.batch.append(job)
    if engine.timer is None:
        _schedule(engine, server)


def _schedule(engine: Engine, server: BackendServer) -> None:
    settings = server.settings
    slowdown = 1 + SLOWDOWN_PER_STREAM * (len(engine.batch) - 1)
    step_ms = settings.token_ms * settings.chunk_tokens * slowdown
    delay_s = step_ms * server.behaviour.slow_factor / 1000
    engine.timer = server.reactor.callLater(delay_s, _send_chunks, engine, server)


def _send_chunks(engine: Engine, server: BackendServer) -> None:
    """Send the next chunk of every stream in the batch."""
    engine.timer = None
    for job in list(engine.batch):
        if job.state == JobState.RUNNING:
            _send_chunk(server, job)
    engine.batch = [job for job in engine.batch if job.state == JobState.RUNNING]
    if engine.batch:
        _schedule(engine, server)


def _send_chunk(server: BackendServer, job: Job) -> None:
    faults = job.faults
    end = min(job.sent_tokens + server.settings.chunk_tokens, len(job.tokens))
    cut_at = job.resume_offset + faults.truncate_after_tokens
    cut = faults.truncate_after_tokens >= 0 and end >= cut_at
    if cut:
        end = max(job.sent_tokens, cut_at)
    _write_tokens(job, job.sent_tokens, job.tokens[job.sent_tokens : end])
    if faults.duplicate_chunk:
        _write_tokens(job, job.sent_tokens, job.tokens[job.sent_tokens : end])
    job.sent_tokens = end
    if faults.stream_error:
        end_job(server, job, "failed")
        complete_answer(job, _error_in_stream(job))
        return
    if cut or (faults.truncate_answer and end >= len(job.tokens) // 2):
        end_job(server, job, "cut")
        drop_connection(job)
    elif end == len(job.tokens):
        _finish(server, job)


def _answer_error(server: BackendServer, job: Job) -> None:
    """Answer with an error in place of a stream."""
    body = answer(job.request, 500, {"error": ERROR_TEXT})
    if job.faults.stream_error == StreamError.TEXT:
        body = ERROR_TEXT.encode()
        set_header(job.request, b"content-type", b"text/plain")
        set_header(job.request, b"content-length", str(len(body)).encode())
    end_job(server, job, "failed")
    complete_answer(job, body)


def _error_in_stream(job: Job) -> bytes:
    """Return what ends a stream in place of its other tokens."""
    error = {"attempt_id": _echoed_id(job), "error": ERROR_TEXT}
    match job.faults.stream_error:
        case StreamError.TOKENS_LINE:
            tokens = {"offset": job.sent_tokens, "tokens": [ERROR_TEXT]}
            end = {"attempt_id": _echoed_id(job), "end": True}
            total = {"total": job.sent_tokens + 1}
            return _line(error | tokens) + _line(end | total)
        case StreamError.END_LINE:
            return _line(error | {"end": True, "total": job.sent_tokens})
        case StreamError.HEAD:
            body = _line(error)
            head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: "
            return f"{head}{len(body)}\r\n\r\n".encode() + body
        case _:
            return _line(error)


def _finish(server: BackendServer, job: Job) -> None:
    end_job(server, job, "finished")
    if job.faults.drop_answer:
        drop_connection(job)
        return
    if job.faults.longer_than_announced:
        _write_tokens(job, len(job.tokens), [" extra"])
    end = {"attempt_id": _echoed_id(job), "end": True, "total": len(job.tokens)}
    complete_answer(job, _line(end))


def _write_tokens(job: Job, offset: int, tokens: list[str]) -> None:
    if not tokens:
        return
    chunk = {"attempt_id": _echoed_id(job), "offset": offset, "tokens": tokens}
    write(job.request, _line(chunk))


def _echoed_id(job: Job) -> str:
    return job.attempt_id + ("-other" if job.faults.wrong_attempt_id else "")


def _line(document: Any) -> bytes:
    return orjson.dumps(document) + b"\n"


def execute_order(engine: Engine, order: Order, checks_fencing: bool) -> bool:
    """Carry out ``order``; return False if its fencing number is outdated."""
    if checks_fencing and order["fencing"] < engine.fencing:
        return False
    engine.fencing = max(engine.fencing, order["fencing"])
    engine.orders.append(order)
    if order["order"] == "unload":
        engine.models.pop(order["model"], None)
    elif order["order"] == "role":
        engine.role = order["role"]
    else:
        engine.models[order["model"]] = order["version"]
    return True
