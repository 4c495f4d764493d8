"""Serve backend server stand-ins over HTTP."""

from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.posixbase import PosixReactorBase
from twisted.web.http import Request

from bramleyturn.core.clock import Clock
from bramleyturn.core.model import PoolKind
from bramleyturn.standin.backend import (
    BackendServer,
    KeyedRuns,
    complete_answer,
    end_job,
    refusal_reason,
    submit,
)
from bramleyturn.standin.behaviour import BadBehaviour, apply_changes
from bramleyturn.standin.engine import Engine, begin_stream
from bramleyturn.standin.engine_http import add_engine_routes
from bramleyturn.standin.jobs import Job, JobState, find_job
from bramleyturn.standin.json_http import (
    BadBody,
    answer,
    bad_request,
    not_started,
    number_argument,
    read_object,
)
from bramleyturn.standin.lag import lagged_value
from bramleyturn.standin.prefix_cache import PrefixCache
from bramleyturn.standin.service import begin_call, submit_call
from bramleyturn.standin.settings import ServerSettings

Answer = bytes | Deferred[bytes | None]


def backend_app(
    settings: ServerSettings,
    reactor: PosixReactorBase,
    clock: Clock,
    keyed_runs: KeyedRuns,
) -> tuple[Klein, BackendServer]:
    """Return the HTTP application of one backend server, and its state."""
    app = Klein()
    if settings.kind == PoolKind.ENGINE:
        cache = PrefixCache(settings.prefix_blocks, settings.events_gap_every)
        engine = Engine(cache, settings.model)
        begin = begin_stream(engine)
        server = BackendServer(settings, reactor, clock, keyed_runs, begin)
        add_engine_routes(app, server, engine)
    else:
        server = BackendServer(settings, reactor, clock, keyed_runs, begin_call)
        _add_call_route(app, server)
    _add_common_routes(app, server)
    _add_control_routes(app, server)
    return app, server


def _add_call_route(app: Klein, server: BackendServer) -> None:
    plain = server.settings.kind == PoolKind.PLAIN

    @app.route("/v1/call" if plain else "/v1/run", methods=["POST"])
    def call(request: Request) -> Answer:
        body = read_object(request)
        if isinstance(body, BadBody):
            return bad_request(request, body.reason)
        fault = _call_fault(server, body)
        if fault:
            return bad_request(request, fault)
        reason = refusal_reason(server)
        if reason:
            server.counts["refused"] += 1
            return not_started(request, 503, reason)
        job = Job(body["attempt_id"], body["input"], request)
        job.idempotency_key = body.get("idempotency_key") or ""
        job.priority = body.get("priority", 0)
        return submit_call(server, job) if plain else submit(server, job)


def _call_fault(server: BackendServer, body: dict[str, Any]) -> str | None:
    """Return the fault in the body of a call, None if it is valid."""
    if not isinstance(body.get("attempt_id"), str) or not body["attempt_id"]:
        return "attempt_id: expected a string"
    if "input" not in body:
        return "input: is missing"
    if not isinstance(body.get("idempotency_key") or "", str):
        return "idempotency_key: expected a string"
    if not isinstance(body.get("priority", 0), int):
        return "priority: expected a whole number"
    if body.get("model", server.settings.model) != server.settings.model:
        return f"model: this server runs {server.settings.model}"
    if find_job(server.queue, body["attempt_id"]) is not None:
        return "attempt_id: is running already"
    return None


def _add_common_routes(app: Klein, server: BackendServer) -> None:
    @app.route("/v1/attempts/<attempt_id>", methods=["DELETE"])
    def cancel(request: Request, attempt_id: str) -> bytes:
        job = find_job(server.queue, attempt_id)
        if job is None:
            return answer(request, 404, {"attempt_id": attempt_id, "cancelled": False})
        running = job.state == JobState.RUNNING
        if running and server.settings.kind == PoolKind.PLAIN:
            return answer(request, 409, {"attempt_id": attempt_id, "cancelled": False})
        end_job(server, job, "cancelled")
        _answer_cancelled(job)
        return answer(request, 200, {"attempt_id": attempt_id, "cancelled": True})

    @app.route("/v1/load", methods=["GET"])
    def load(request: Request) -> bytes:
        now_ms = server.clock.monotonic_ms()
        report = lagged_value(server.load, now_ms)
        document = {
            "running": report.running,
            "queued": report.queued,
            "capacity": server.settings.concurrency,
            "age_ms": server.settings.load_lag_ms,
            "state": "leaving" if server.behaviour.leaving else "live",
        }
        return answer(request, 200, document)

    @app.route("/healthz", methods=["GET"])
    def health(request: Request) -> bytes:
        return answer(request, 200, {"healthy": True})


def _answer_cancelled(job: Job) -> None:
    """End the answer of a cancelled job; a started stream stops without an end line."""
    if job.sent_tokens > job.resume_offset:
        complete_answer(job, None)
        return
    document = {"attempt_id": job.attempt_id, "error": "cancelled"}
    complete_answer(job, answer(job.request, 409, document))


def _add_control_routes(app: Klein, server: BackendServer) -> None:
    @app.route("/standin/ledger", methods=["GET"])
    def ledger(request: Request) -> bytes:
        first = number_argument(request, b"from", 0)
        document = {
            "server": server.settings.name,
            "kind": server.settings.kind,
            "entries": server.ledger.entries[first:],
            "counts": server.counts,
        }
        return answer(request, 200, document)

    @app.route("/standin/behaviour", methods=["GET"])
    def show_behaviour(request: Request) -> bytes:
        return answer(request, 200, server.behaviour._asdict())

    @app.route("/standin/behaviour", methods=["POST"])
    def change_behaviour(request: Request) -> bytes:
        body = read_object(request)
        if isinstance(body, BadBody):
            return bad_request(request, body.reason)
        behaviour = apply_changes(server.behaviour, body)
        if isinstance(behaviour, BadBehaviour):
            return bad_request(request, behaviour.reason)
        server.behaviour = behaviour
        return answer(request, 200, behaviour._asdict())
