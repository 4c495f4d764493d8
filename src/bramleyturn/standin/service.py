"""Answer calls of pool services and plain services."""

from typing import Any, Final

from twisted.internet.defer import Deferred

from bramleyturn.core.model import PoolKind
from bramleyturn.standin.answers import expected_output, input_digest, words_of
from bramleyturn.standin.backend import (
    KEYS_KEPT,
    BackendServer,
    KeptAnswer,
    draws_failure,
    drop,
    end_job,
    give,
    later,
    submit,
)
from bramleyturn.standin.jobs import Job
from bramleyturn.standin.json_http import answer, not_started, write

WORDS_PER_SERVICE_TIME: Final = 256
EXTRA_BYTES: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"


def begin_call(server: BackendServer, job: Job) -> None:
    """Begin a started call; a long input takes longer."""
    scale = max(1.0, len(words_of(job.value)) / WORDS_PER_SERVICE_TIME)
    later(server, job, server.settings.service_ms * scale, _finish)


def _finish(server: BackendServer, job: Job) -> None:
    if draws_failure(server):
        document = {"attempt_id": job.attempt_id, "error": "failed"}
        end_job(server, job, "failed")
        give(job, answer(job.request, 500, document))
        return
    settings = server.settings
    job.output = expected_output(settings.kind, settings.model, job.value)
    end_job(server, job, "finished")
    give_output(server, job)


def give_output(server: BackendServer, job: Job) -> None:
    """Answer ``job`` with its output, or with what its faults make of it."""
    faults = job.faults
    if faults.drop_answer:
        drop(job)
        return
    attempt_id = job.attempt_id + ("-other" if faults.wrong_attempt_id else "")
    plain = server.settings.kind == PoolKind.PLAIN
    tokens = 0 if plain else len(words_of(job.output))
    document = {"attempt_id": attempt_id, "output": job.output, "tokens": tokens}
    body = answer(job.request, 200, document)
    if faults.truncate_answer:
        _write_part(job, body)
        return
    if faults.longer_than_announced:
        body += EXTRA_BYTES
    give(job, body)


def _write_part(job: Job, body: bytes) -> None:
    """Write half of the announced body and close the connection."""
    write(job.request, body[: len(body) // 2])
    drop(job)


def submit_call(server: BackendServer, job: Job) -> Deferred[bytes | None] | bytes:
    """Queue a call, or answer it from the run under the same idempotency key."""
    key = job.idempotency_key
    if not server.settings.recognises_idempotency_key or not key:
        return submit(server, job)
    kept = server.kept_answers.get(key)
    if kept is None:
        kept = KeptAnswer(input_digest(job.value))
        server.kept_answers[key] = kept
        job.on_end = lambda ended: _settle(server, ended)
        _forget_oldest(server)
        return submit(server, job)
    server.counts["repeated_keys"] += 1
    if kept.digest != input_digest(job.value):
        return not_started(job.request, 422, "the key belongs to another input")
    return _join(server, job, kept)


def _forget_oldest(server: BackendServer) -> None:
    if len(server.kept_answers) > KEYS_KEPT:
        server.kept_answers.popitem(last=False)


def _join(
    server: BackendServer, job: Job, kept: KeptAnswer
) -> Deferred[bytes | None] | bytes:
    """Answer ``job`` with the output of the run that ``kept`` stands for."""

    def hand_over(output: Any) -> None:
        if job.answered.called:
            return
        job.output = output
        if output is None:
            give(job, not_started(job.request, 503, "the run under the key failed"))
            return
        give_output(server, job)

    if kept.finished:
        hand_over(kept.output)
    else:
        kept.waiting.append(hand_over)
    return job.answered


def _settle(server: BackendServer, job: Job) -> None:
    """Hand the output of a run to all who wait under its key; None if it failed."""
    kept = server.kept_answers.get(job.idempotency_key)
    if kept is None:
        return
    if job.output is None:
        del server.kept_answers[job.idempotency_key]
    kept.output = job.output
    kept.finished = True
    for hand_over in kept.waiting:
        hand_over(job.output)
