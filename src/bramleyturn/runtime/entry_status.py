"""Serve the operators' API of an entry process: status, cost and drain."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Final

import orjson
from klein import Klein

from bramleyturn.core.cost import cost_rows
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.intake import BadRequest
from bramleyturn.core.routing_table import ServerState
from bramleyturn.core.running_view import kept_rows, running_rows
from bramleyturn.runtime.entry_loop import EntryLoop
from bramleyturn.runtime.http_server import json_answer, problem
from bramleyturn.runtime.operator_access import refuse_non_operator
from bramleyturn.runtime.peer_client import Traffic
from bramleyturn.runtime.timeline_api import after_argument, timeline_document
from bramleyturn.runtime.twisted_types import HttpRequest

MAX_KEPT_SHOWN: Final = 500
STATUS_ACCEPTED: Final = 202
STATUS_CONFLICT: Final = 409


def status_api(
    loop: EntryLoop, app: Klein, watch: str, drain: Callable[[], None]
) -> None:
    """Add the operators' routes to ``app``.

    ``watch`` is the address of the followed watch, ``drain`` starts a shutdown.
    """

    @app.route("/v1/status", methods=["GET"])
    def status(request: HttpRequest) -> bytes:
        return for_operators(
            loop,
            request,
            lambda: status_document(loop, loop.clock.monotonic_ms()),
        )

    @app.route("/v1/cost", methods=["GET"])
    def cost(request: HttpRequest) -> bytes:
        return for_operators(loop, request, lambda: cost_document(loop.state))

    @app.route("/v1/running", methods=["GET"])
    def running(request: HttpRequest) -> bytes:
        return for_operators(
            loop,
            request,
            lambda: running_document(loop.state, loop.clock.monotonic_ms()),
        )

    @app.route("/v1/timeline", methods=["GET"])
    def events(request: HttpRequest) -> bytes:
        state = loop.state
        return for_operators(
            loop,
            request,
            lambda: timeline_document(
                state.name,
                state.timeline,
                loop.clock,
                after_argument(request),
                watch,
            ),
        )

    @app.route("/v1/drain", methods=["POST"])
    def order_drain(request: HttpRequest) -> bytes:
        refusal = refuse_non_operator(request, loop.state.configuration.admin)
        if refusal is not None:
            return refusal
        return receive_drain(loop, request, drain)


def for_operators(
    loop: EntryLoop, request: HttpRequest, document: Callable[[], Any]
) -> bytes:
    """Return a document to a caller that holds the operators' key, or a refusal."""
    refusal = refuse_non_operator(request, loop.state.configuration.admin)
    return refusal if refusal is not None else json_answer(request, document())


def receive_drain(
    loop: EntryLoop, request: HttpRequest, drain: Callable[[], None]
) -> bytes:
    """Drain this process as SIGTERM does, if the order names it.

    Another process may have taken over an address since it was listed.
    """
    name = parse_drain_order(request.content.read())
    if isinstance(name, BadRequest):
        return problem(request, name)
    if name != loop.state.name:
        other = BadRequest(
            STATUS_CONFLICT,
            "Another process",
            f"this process is {loop.state.name}",
            "process",
        )
        return problem(request, other)
    loop.reactor.callLater(0, drain)
    return json_answer(request, {"process": name, "draining": True}, STATUS_ACCEPTED)


def parse_drain_order(body: bytes) -> str | BadRequest:
    """Return the process name in a drain order."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return BadRequest(400, "Bad JSON", str(error), "body")
    name = document.get("process") if isinstance(document, dict) else None
    if not isinstance(name, str) or not name:
        return BadRequest(400, "Process missing", 'send {"process": NAME}', "process")
    return name


def status_document(loop: EntryLoop, now_ms: int) -> dict[str, Any]:
    """Return the state of an entry process in numbers."""
    state = loop.state
    return {
        "name": state.name,
        "role": "entry",
        "zone": state.zone,
        "address": state.me.address,
        "incarnation": state.me.incarnation,
        "revision": state.configuration.revision,
        "is_draining": state.is_draining,
        "running_requests": len(state.requests),
        "running_attempts": len(state.attempts),
        "forwarded_requests": len(state.forwards),
        "kept_outcomes": len(state.kept.by_key),
        "kept_bytes": state.kept.size_bytes,
        "tickets_held": len(state.primary_tickets.records),
        "backup_records": len(state.backup_tickets.records),
        "counters": asdict(state.counters),
        "messages": traffic_document(loop.peers.traffic),
        "peers": [peer._asdict() for peer in state.peers.by_address.values()],
        "servers": [
            server_document(server, now_ms) for server in state.routing.servers.values()
        ],
    }


def traffic_document(traffic: Traffic) -> dict[str, dict[str, int]]:
    """Return the counts and bytes of messages and reads so far, by kind."""
    return {
        "count": dict(traffic.messages),
        "bytes": dict(traffic.bytes),
        "refused": dict(traffic.refused),
    }


def server_document(server: ServerState, now_ms: int) -> dict[str, Any]:
    """Return the state of one backend server as this process sees it."""
    ejected_until_ms = server.outlier.ejected_until_ms
    is_ejected = ejected_until_ms is not None and ejected_until_ms > now_ms
    return {
        "name": server.server.name,
        "pool": server.server.pool,
        "zone": server.server.zone,
        "in_flight": server.load.in_flight,
        "is_leaving": server.left_ms is not None,
        "is_ejected": is_ejected,
    }


def cost_document(state: EntryState) -> dict[str, Any]:
    """Return the cost of every workspace since this process started."""
    rows = [row._asdict() for row in cost_rows(state.costs)]
    return {"process": state.name, "rows": rows}


def running_document(state: EntryState, now_ms: int) -> dict[str, Any]:
    """Return the running requests and the newest of the kept ones."""
    rows = running_rows(state, now_ms) + kept_rows(state, now_ms, MAX_KEPT_SHOWN)
    return {
        "process": state.name,
        "requests": [row._asdict() for row in rows],
        "kept_outcomes": len(state.kept.by_key),
    }
