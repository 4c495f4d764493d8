"""Answer calls to pool services and plain services."""

from typing import Any, Final

from twisted.internet.defer import Deferred

from bramleyturn.core.model import PoolKind
from bramleyturn.standin.answers import expected_output, input_digest, words_of
from bramleyturn.standin.backend import (
    MAX_IDEMPOTENCY_KEYS,
    BackendServer,
    KeyedRun,
    complete_answer,
    draw_failure,
    drop_connection,
    end_job,
    schedule_step,
    submit,
)
from bramleyturn.standin.jobs import Job
from bramleyturn.standin.json_http import (
    answer,
    end_with_connection,
    not_started,
    write,
)

WORDS_PER_SERVICE_TIME: Final = 256
EXTRA_RESPONSE: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"


def begin_call(server: BackendServer, job: Job) -> None:
    """Begin a started call; its duration grows with the words of a long input."""
    scale = max(1.0, len(words_of(job.value)) / WORDS_PER_SERVICE_TIME)
    schedule_step(server, job, server.settings.service_ms * scale, _finish)


def _finish(server: BackendServer, job: Job) -> None:
    if draw_failure(server):
        document = {"attempt_id": job.attempt_id, "error": "failed"}
        end_job(server, job, "failed")
        complete_answer(job, answer(job.request, 500, document))
        return
    settings = server.settings
    job.output = expected_output(settings.kind, settings.model, job.value)
    end_job(server, job, "finished")
    send_output(server, job)


def send_output(server: BackendServer, job: Job) -> None:
    """Answer ``job`` with its output, distorted by the faults of the job."""
    faults = job.faults
    if faults.drop_answer:
        drop_connection(job)
        return
    attempt_id = job.attempt_id + ("-other" if faults.wrong_attempt_id else "")
    plain = server.settings.kind == PoolKind.PLAIN
    tokens = 0 if plain else len(words_of(job.output))
    document = {"attempt_id": attempt_id, "output": job.output, "tokens": tokens}
    body = answer(job.request, 200, document)
    if faults.unframed:
        end_with_connection(job.request)
    if faults.truncate_answer:
        _write_part(job, body)
        return
    if faults.longer_than_announced:
        body += EXTRA_RESPONSE
    complete_answer(job, body)


def _write_part(job: Job, body: bytes) -> None:
    """Write half of the announced body and close the connection."""
    write(job.request, body[: len(body) // 2])
    drop_connection(job)


def submit_call(server: BackendServer, job: Job) -> Deferred[bytes | None] | bytes:
    """Queue a call, or answer it from the run under the same idempotency key."""
    key = job.idempotency_key
    if not server.settings.recognises_idempotency_key or not key:
        return submit(server, job)
    keyed_run = server.keyed_runs.get(key)
    if keyed_run is None:
        keyed_run = KeyedRun(input_digest(job.value))
        server.keyed_runs[key] = keyed_run
        job.on_end = lambda ended: _finish_keyed_run(server, ended)
        _evict_oldest(server)
        return submit(server, job)
    server.counts["repeated_keys"] += 1
    if keyed_run.digest != input_digest(job.value):
        return not_started(job.request, 422, "the key belongs to another input")
    return _join_run(server, job, keyed_run)


def _evict_oldest(server: BackendServer) -> None:
    if len(server.keyed_runs) > MAX_IDEMPOTENCY_KEYS:
        server.keyed_runs.popitem(last=False)


def _join_run(
    server: BackendServer, job: Job, keyed_run: KeyedRun
) -> Deferred[bytes | None] | bytes:
    """Answer ``job`` with the output of ``keyed_run`` once that has finished."""

    def deliver(output: Any) -> None:
        if job.answered.called:
            return
        job.output = output
        if output is None:
            complete_answer(
                job, not_started(job.request, 503, "the run under the key failed")
            )
            return
        send_output(server, job)

    if keyed_run.finished:
        deliver(keyed_run.output)
    else:
        keyed_run.waiting.append(deliver)
    return job.answered


def _finish_keyed_run(server: BackendServer, job: Job) -> None:
    """Deliver the output of a run, None if it failed, to all calls under its key."""
    keyed_run = server.keyed_runs.get(job.idempotency_key)
    if keyed_run is None:
        return
    if job.output is None:
        del server.keyed_runs[job.idempotency_key]
    keyed_run.output = job.output
    keyed_run.finished = True
    for deliver in keyed_run.waiting:
        deliver(job.output)
