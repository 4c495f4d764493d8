"""Serve what operators want to know of an entry process."""

from dataclasses import asdict
from typing import Any

from klein import Klein

from bramleyturn.core.cost import cost_rows
from bramleyturn.core.routing_table import ServerState
from bramleyturn.runtime.entry_loop import EntryLoop
from bramleyturn.runtime.http_server import json_answer
from bramleyturn.runtime.peer_client import Traffic
from bramleyturn.runtime.twisted_types import HttpRequest


def status_api(loop: EntryLoop, app: Klein) -> None:
    """Add the routes of status and cost to ``app``."""

    @app.route("/v1/status", methods=["GET"])
    def status(request: HttpRequest) -> bytes:
        return json_answer(request, status_document(loop, loop.clock.monotonic_ms()))

    @app.route("/v1/cost", methods=["GET"])
    def cost(request: HttpRequest) -> bytes:
        rows = [row._asdict() for row in cost_rows(loop.state.costs)]
        return json_answer(request, {"process": loop.state.name, "rows": rows})


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
    """Return the messages between entry processes so far, by kind."""
    return {
        "count": dict(traffic.messages),
        "bytes": dict(traffic.bytes),
        "refused": dict(traffic.refused),
    }


def server_document(server: ServerState, now_ms: int) -> dict[str, Any]:
    """Return what is known of one backend server."""
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
