"""Serve the administration API of one availability zone."""

from collections.abc import Awaitable, Callable
from typing import Any, Final

import orjson
from klein import Klein

from bramleyturn.core.configuration import explain
from bramleyturn.core.intake import BadRequest
from bramleyturn.core.timeline_merge import (
    ProcessTimeline,
    merge_timelines,
    parse_timeline,
    select_events,
)
from bramleyturn.core.zone_view import (
    ProcessReport,
    describe_process,
    find_problems,
    request_rows,
    server_rows,
    sum_cost,
    unreachable_names,
)
from bramleyturn.runtime.admin_gather import (
    ASK_TIMEOUT_MS,
    AdminLoop,
    gather,
    instances_age_ms,
    usable,
    zone_processes,
)
from bramleyturn.runtime.entry_status import parse_drain_order
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import call_json
from bramleyturn.runtime.http_server import header, json_answer, problem
from bramleyturn.runtime.openapi import openapi_api
from bramleyturn.runtime.operator_access import refuse_non_operator
from bramleyturn.runtime.twisted_types import HttpRequest

ENTRIES: Final = ("entry",)
ALL_ROLES: Final = ("entry", "watch")
MAX_BODY_BYTES: Final = 4_096
STATUS_BAD_GATEWAY: Final = 502

Document = dict[str, Any]


def admin_api(loop: AdminLoop) -> Klein:
    """Return the web application of an administration process."""
    app = Klein()
    for path, make in (
        ("/v1/status", status_document),
        ("/v1/configuration", configuration_document),
        ("/v1/cost", cost_document),
        ("/v1/servers", servers_document),
        ("/v1/requests", requests_document),
        ("/v1/timeline", timeline_document),
    ):
        add_read(loop, app, path, make)

    @app.route("/v1/drain", methods=["POST"])
    async def drain(request: HttpRequest) -> bytes:
        refusal = refuse_non_operator(request, loop.configuration.admin)
        return refusal if refusal is not None else await receive_drain(loop, request)

    @app.route("/healthz", methods=["GET"])
    def healthz(request: HttpRequest) -> bytes:
        return json_answer(request, {"healthy": True})

    @app.route("/readyz", methods=["GET"])
    def readyz(request: HttpRequest) -> bytes:
        is_ready = loop.configuration.revision > 0 and loop.instances_at_ms is not None
        return json_answer(request, {"ready": is_ready}, 200 if is_ready else 503)

    openapi_api(app, "admin")
    return app


def add_read(
    loop: AdminLoop,
    app: Klein,
    path: str,
    make: Callable[[AdminLoop, HttpRequest], Awaitable[Document | BadRequest]],
) -> None:
    """Add a GET route for operators that answers with what ``make`` returns."""

    @app.route(path, methods=["GET"], endpoint=path)
    async def read(request: HttpRequest) -> bytes:
        refusal = refuse_non_operator(request, loop.configuration.admin)
        if refusal is not None:
            return refusal
        document = await make(loop, request)
        if isinstance(document, BadRequest):
            return problem(request, document)
        return json_answer(request, document)


async def gathered(
    loop: AdminLoop, request: HttpRequest, path: str, roles: tuple[str, ...]
) -> list[ProcessReport]:
    """Query the processes of the zone with the caller's own key."""
    return await gather(loop, path, roles, header(request, "Authorization"))


async def status_document(loop: AdminLoop, request: HttpRequest) -> Document:
    """Return the status of every entry and watch of the zone."""
    reports = await gathered(loop, request, "/v1/status", ALL_ROLES)
    return {
        "zone": loop.zone,
        "revision": loop.configuration.revision,
        "instances_age_ms": instances_age_ms(loop),
        "problems": find_problems(reports),
        "processes": [describe_process(report) for report in reports],
    }


async def configuration_document(
    loop: AdminLoop, _request: HttpRequest
) -> Document | BadRequest:
    """Return the effective values with their origin, and the refused revisions."""
    answer = await call_json(
        loop.client,
        loop.reactor,
        "GET",
        f"http://{loop.watch}/v1/config",
        timeout_ms=ASK_TIMEOUT_MS,
    )
    document, detail = usable(answer)
    if document is None:
        return BadRequest(STATUS_BAD_GATEWAY, "Watch unreachable", detail, "watch")
    return {
        "revision": document["revision"],
        "platform_age_ms": document["platform_age_ms"],
        "values": [value._asdict() for value in explain(document["files"])],
        "refused": document["refused"],
    }


async def cost_document(loop: AdminLoop, request: HttpRequest) -> Document:
    """Return the cost of the zone by workspace, pipeline and stage."""
    reports = await gathered(loop, request, "/v1/cost", ENTRIES)
    rows = sum_cost(reports)
    return {
        "zone": loop.zone,
        "rows": [row._asdict() for row in rows],
        "total_micros": sum(row.micros for row in rows),
        "unreachable": unreachable_names(reports),
    }


async def servers_document(loop: AdminLoop, request: HttpRequest) -> Document:
    """Return the backend servers as each entry sees them."""
    reports = await gathered(loop, request, "/v1/status", ENTRIES)
    return {
        "zone": loop.zone,
        "servers": server_rows(reports),
        "unreachable": unreachable_names(reports),
    }


async def requests_document(loop: AdminLoop, request: HttpRequest) -> Document:
    """Return the running and kept requests, without their content."""
    reports = await gathered(loop, request, "/v1/running", ENTRIES)
    return {
        "zone": loop.zone,
        "requests": request_rows(reports),
        "unreachable": unreachable_names(reports),
    }


async def timeline_document(
    loop: AdminLoop, request: HttpRequest
) -> Document | BadRequest:
    """Return the merged timeline of the zone."""
    since = argument(request, b"since_ms")
    if since and not since.isdigit():
        return BadRequest(400, "Bad query", "send whole milliseconds", "since_ms")
    reports = await gathered(loop, request, "/v1/timeline", ALL_ROLES)
    timelines = [
        parse_timeline(report.role, report.address, report.document)
        for report in reports
    ]
    readable = [each for each in timelines if each is not None]
    events = select_events(
        merge_timelines(readable),
        request_id=argument(request, b"request"),
        process=argument(request, b"process"),
        since_ms=int(since) if since else None,
    )
    return {
        "zone": loop.zone,
        "processes": [timeline_source(each) for each in readable],
        "events": [event._asdict() for event in events],
        "unreachable": sorted(
            report.name
            for report, timeline in zip(reports, timelines, strict=True)
            if timeline is None
        ),
    }


def timeline_source(timeline: ProcessTimeline) -> Document:
    """Return which process recorded a timeline."""
    return {
        "process": timeline.process,
        "role": timeline.role,
        "address": timeline.address,
        "watch": timeline.watch,
    }


def argument(request: HttpRequest, name: bytes) -> str:
    """Return a query parameter, or an empty string if it is absent."""
    return request.args.get(name, [b""])[0].decode("utf-8", "replace")


async def receive_drain(loop: AdminLoop, request: HttpRequest) -> bytes:
    """Forward a drain order to the entry process that it names."""
    name = parse_drain_order(request.content.read(MAX_BODY_BYTES))
    if isinstance(name, BadRequest):
        return problem(request, name)
    named = [each for each in zone_processes(loop, ENTRIES) if each.name == name]
    if not named:
        unknown = BadRequest(
            404,
            "Unknown process",
            "no entry process of this availability zone has this name",
            "process",
        )
        return problem(request, unknown)
    answer = await call_json(
        loop.client,
        loop.reactor,
        "POST",
        f"http://{named[0].address}/v1/drain",
        body=orjson.dumps({"process": name}),
        headers={"Authorization": header(request, "Authorization")},
        timeout_ms=ASK_TIMEOUT_MS,
    )
    if isinstance(answer, CallFailed):
        failed = BadRequest(
            STATUS_BAD_GATEWAY, "Process unreachable", answer.detail, "process"
        )
        return problem(request, failed)
    if answer.status >= 400:
        document = answer.document if isinstance(answer.document, dict) else {}
        refused = BadRequest(
            STATUS_BAD_GATEWAY,
            "Process refused",
            str(document.get("detail", f"status {answer.status}")),
            "process",
        )
        return problem(request, refused)
    return json_answer(request, answer.document, answer.status)
