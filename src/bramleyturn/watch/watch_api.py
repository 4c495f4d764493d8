"""Serve the configuration and instance list to local processes and other watches."""

from typing import Any, Final

from klein import Klein

from bramleyturn.core.fault import Fault
from bramleyturn.core.intake import BadRequest
from bramleyturn.core.operator_access import is_same_machine, is_signed
from bramleyturn.core.revisions import Refused
from bramleyturn.runtime.entry_status import traffic_document
from bramleyturn.runtime.http_server import header, json_answer, problem
from bramleyturn.runtime.operator_access import refuse_non_operator, unauthorized
from bramleyturn.runtime.timeline_api import after_argument, timeline_document
from bramleyturn.runtime.twisted_types import HttpRequest
from bramleyturn.watch.reader import TARGET_MAC_HEADER
from bramleyturn.watch.watch_loop import (
    WatchLoop,
    note_seen_revision,
    wait_for_list,
    wait_for_newer,
)

MAX_WAIT_MS: Final = 30_000
NO_KEY_YET: Final = BadRequest(
    401,
    "No key yet",
    "without a configuration this watch answers to its own instance only",
    "Authorization",
)


def watch_api(loop: WatchLoop) -> Klein:
    """Return the web application of a watch."""
    app = Klein()

    @app.route("/v1/config", methods=["GET"])
    async def config(request: HttpRequest) -> bytes:
        refusal = refuse_unauthorized(loop, request)
        if refusal is not None:
            return refusal
        after = number(request, b"after")
        wait_ms = number(request, b"wait_ms")
        seen = number(request, b"seen")
        if after is None or wait_ms is None or seen is None:
            bad = BadRequest(
                400, "Bad query", "send whole numbers", "after, wait_ms, seen"
            )
            return problem(request, bad)
        note_seen_revision(loop, seen)
        await wait_for_newer(loop, after, min(wait_ms, MAX_WAIT_MS))
        # Local processes wait, other watches do not: until the initial sync is done,
        # only the latter get the configuration found so far.
        if wait_ms and not loop.is_synced:
            after = max(after, loop.revisions.revision)
        return json_answer(request, config_document(loop, after))

    @app.route("/v1/instances", methods=["GET"])
    async def instances(request: HttpRequest) -> bytes:
        refusal = refuse_unauthorized(loop, request)
        if refusal is not None:
            return refusal
        after = number(request, b"after")
        wait_ms = number(request, b"wait_ms")
        if after is None or wait_ms is None:
            bad = BadRequest(400, "Bad query", "send whole numbers", "after, wait_ms")
            return problem(request, bad)
        await wait_for_list(loop, after, min(wait_ms, MAX_WAIT_MS))
        return json_answer(request, instances_document(loop, after))

    @app.route("/v1/status", methods=["GET"])
    def status(request: HttpRequest) -> bytes:
        refusal = refuse_unauthorized(loop, request)
        if refusal is not None:
            return refusal
        return json_answer(request, status_document(loop))

    @app.route("/v1/timeline", methods=["GET"])
    def events(request: HttpRequest) -> bytes:
        refusal = refuse_unauthorized(loop, request)
        if refusal is not None:
            return refusal
        document = timeline_document(
            loop.name, loop.timeline, loop.clock, after_argument(request)
        )
        return json_answer(request, document)

    @app.route("/healthz", methods=["GET"])
    def healthz(request: HttpRequest) -> bytes:
        return json_answer(request, {"healthy": True})

    @app.route("/readyz", methods=["GET"])
    def readyz(request: HttpRequest) -> bytes:
        is_ready = loop.is_synced and loop.revisions.in_force is not None
        return json_answer(request, {"ready": is_ready}, 200 if is_ready else 503)

    return app


def refuse_unauthorized(loop: WatchLoop, request: HttpRequest) -> bytes | None:
    """Return the refusal of a caller without access to this watch, else None.

    Processes of the same instance need no key: a watch without a configuration has
    none to check theirs with. Other callers present the operators' key, or sign with
    the `[peers]` key as other watches do.
    """
    if is_same_machine(request.getClientAddress().host, request.getHost().host):
        return None
    in_force = loop.revisions.in_force
    if in_force is None:
        return unauthorized(request, NO_KEY_YET)
    peers = in_force.configuration.peers
    target = request.uri.decode("ascii", "replace")
    mac = header(request, TARGET_MAC_HEADER)
    if is_signed(target, mac, (peers.key, peers.previous_key)):
        return None
    return refuse_non_operator(request, in_force.configuration.admin)


def number(request: HttpRequest, name: bytes) -> int | None:
    """Return a whole number of the query, zero where it is absent."""
    values = request.args.get(name, [b"0"])
    return int(values[0]) if values[0].isdigit() else None


def config_document(loop: WatchLoop, after: int) -> dict[str, Any]:
    """Return the configuration in force, without its files if it is not newer."""
    in_force = loop.revisions.in_force
    is_newer = in_force is not None and loop.revisions.revision > after
    return {
        "revision": loop.revisions.revision,
        "files": dict(in_force.files) if in_force is not None and is_newer else {},
        "refused": [refused_document(refused) for refused in loop.revisions.refused],
        "platform_age_ms": age_ms(loop, loop.platform_read_ms),
    }


def refused_document(refused: Refused) -> dict[str, Any]:
    """Return a refused revision with its faults."""
    return {
        "revision": refused.revision,
        "source": refused.source,
        "fault_count": refused.fault_count,
        "faults": [fault_document(fault) for fault in refused.faults],
    }


def fault_document(fault: Fault) -> dict[str, Any]:
    """Return a fault with its file, line, section and key."""
    return fault._asdict()


def instances_document(loop: WatchLoop, after: int) -> dict[str, Any]:
    """Return the platform's list as this watch last read it.

    The instances are left out for a reader that already has version ``after``.
    """
    document = {
        "version": loop.list_version,
        "age_ms": age_ms(loop, loop.instances_read_ms),
    }
    if after and after == loop.list_version:
        return document
    return document | {"instances": [each._asdict() for each in loop.instances]}


def status_document(loop: WatchLoop) -> dict[str, Any]:
    """Return the status of this watch."""
    in_force = loop.revisions.in_force
    return {
        "name": loop.name,
        "role": "watch",
        "revision": loop.revisions.revision,
        "revision_source": in_force.source if in_force is not None else "",
        "refused": [refused_document(refused) for refused in loop.revisions.refused],
        "platform_age_ms": age_ms(loop, loop.platform_read_ms),
        "instances_age_ms": age_ms(loop, loop.instances_read_ms),
        "instances": len(loop.instances),
        "messages": traffic_document(loop.traffic),
    }


def age_ms(loop: WatchLoop, read_ms: int | None) -> int | None:
    """Return how long ago something was read, None if it never was."""
    return None if read_ms is None else loop.clock.monotonic_ms() - read_ms
