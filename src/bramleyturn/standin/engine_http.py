"""Serve the routes of engines: streams, cache events, KV transfer and orders."""

from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from bramleyturn.standin.backend import (
    BackendServer,
    complete_answer,
    end_job,
    refusal_reason,
    submit,
)
from bramleyturn.standin.engine import Engine, Order, execute_order, prepare_stream
from bramleyturn.standin.jobs import Job, find_job
from bramleyturn.standin.json_http import (
    BadBody,
    answer,
    bad_request,
    not_started,
    number_argument,
    read_object,
)
from bramleyturn.standin.prefix_cache import (
    blocks_of,
    cached_blocks,
    events_after,
    store_blocks,
)

Answer = bytes | Deferred[bytes | None]
ORDERS = ("load", "unload", "adapter", "version", "role")


def add_engine_routes(app: Klein, server: BackendServer, engine: Engine) -> None:
    """Add the routes of an engine to ``app``."""
    _add_generate_route(app, server, engine)
    _add_cache_routes(app, server, engine)
    _add_order_routes(app, server, engine)


def _add_generate_route(app: Klein, server: BackendServer, engine: Engine) -> None:
    @app.route("/v1/generate", methods=["POST"])
    def generate(request: Request) -> Answer:
        body = read_object(request)
        if isinstance(body, BadBody):
            return bad_request(request, body.reason)
        fault = _generate_fault(body)
        if fault:
            return bad_request(request, fault)
        if body["model"] not in engine.models:
            return not_started(request, 409, f"{body['model']} is not loaded")
        offset = body.get("resume_offset") or 0
        running = find_job(server.queue, body["attempt_id"])
        if running is not None and not offset:
            return not_started(request, 409, "the attempt is running already")
        if offset and server.behaviour.resume_refused:
            return not_started(request, 409, "resume refused")
        if running is not None:
            # The caller lost its connection and resumes before this server noticed.
            end_job(server, running, "cancelled")
            complete_answer(running, None)
        reason = refusal_reason(server)
        if reason:
            server.counts["refused"] += 1
            return not_started(request, 503, reason)
        job = Job(body["attempt_id"], body["input"], request)
        job.priority = body.get("priority") or 0
        job.resume_offset = offset
        if not prepare_stream(server, job, body["max_output_tokens"]):
            return not_started(request, 409, "resume_offset is beyond the end")
        return submit(server, job)


def _generate_fault(body: dict[str, Any]) -> str | None:
    """Return the fault in the body of a generate call, None if it is valid."""
    if not isinstance(body.get("attempt_id"), str) or not body["attempt_id"]:
        return "attempt_id: expected a string"
    if "input" not in body:
        return "input: is missing"
    if not isinstance(body.get("model"), str):
        return "model: expected a string"
    for name, least in (("max_output_tokens", 1), ("resume_offset", 0)):
        value = body.get(name, 0 if name == "resume_offset" else None)
        if not isinstance(value, int) or value < least:
            return f"{name}: expected a whole number of at least {least}"
    if not isinstance(body.get("priority") or 0, int):
        return "priority: expected a whole number"
    return None


def _add_cache_routes(app: Klein, server: BackendServer, engine: Engine) -> None:
    @app.route("/v1/events", methods=["GET"])
    def events(request: Request) -> bytes:
        after = number_argument(request, b"after", 0)
        until_ms = server.clock.monotonic_ms() - server.settings.events_lag_ms
        reported = events_after(engine.cache, after, until_ms)
        last = reported[-1]["sequence"] if reported else after
        return answer(request, 200, {"events": reported, "next": last})

    @app.route("/v1/kv/export", methods=["POST"])
    def export(request: Request) -> bytes:
        body = read_object(request)
        if isinstance(body, BadBody) or "input" not in body:
            return bad_request(request, "expected an object with an input")
        names = blocks_of(server.settings.model, body["input"])
        cached = names[: cached_blocks(engine.cache, names)]
        document = {"model": server.settings.model, "blocks": cached}
        return answer(request, 200, document)

    @app.route("/v1/kv/import", methods=["POST"])
    def import_blocks(request: Request) -> bytes:
        body = read_object(request)
        if isinstance(body, BadBody) or not _are_names(body.get("blocks")):
            return bad_request(request, "expected an object with blocks")
        if body.get("model") != server.settings.model:
            return answer(request, 409, {"error": "the blocks are of another model"})
        store_blocks(engine.cache, body["blocks"], server.clock.monotonic_ms())
        return answer(request, 200, {"imported": len(body["blocks"])})

    @app.route("/standin/cache", methods=["GET"])
    def cache(request: Request) -> bytes:
        document = {
            "blocks": len(engine.cache.blocks),
            "hits": engine.cache.hits,
            "misses": engine.cache.misses,
        }
        return answer(request, 200, document)


def _add_order_routes(app: Klein, server: BackendServer, engine: Engine) -> None:
    @app.route("/v1/orders", methods=["GET"])
    def show_orders(request: Request) -> bytes:
        document = {
            "models": engine.models,
            "role": engine.role,
            "fencing": engine.fencing,
            "orders": engine.orders,
        }
        return answer(request, 200, document)

    @app.route("/v1/orders", methods=["POST"])
    def post_order(request: Request) -> bytes:
        body = read_object(request)
        if isinstance(body, BadBody):
            return bad_request(request, body.reason)
        if body.get("order") not in ORDERS or not isinstance(body.get("fencing"), int):
            return bad_request(request, "expected order and fencing")
        order = Order(
            order=body["order"],
            model=str(body.get("model") or ""),
            version=str(body.get("version") or ""),
            role=str(body.get("role") or ""),
            fencing=body["fencing"],
        )
        taken = execute_order(engine, order, server.settings.checks_fencing)
        document = {"taken": taken, "fencing": engine.fencing}
        return answer(request, 200 if taken else 409, document)


def _are_names(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(name, str) for name in value)
