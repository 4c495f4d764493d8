"""Serve the callers' HTTP interface of an entry process."""

import logging
from typing import Any, Final

import orjson
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bramleyturn.core.actions import Answer, TicketNeeded, TicketRefused
from bramleyturn.core.arrivals import issue_ticket, kept_outcome
from bramleyturn.core.entry_state import new_key
from bramleyturn.core.events import RequestArrived, WaiterGone
from bramleyturn.core.intake import (
    MAX_REQUEST_ID_CHARACTERS,
    STARTING,
    BadRequest,
    CallerHeaders,
    check_request,
    find_pipeline,
    find_workspace,
)
from bramleyturn.core.outcome_json import outcome_document
from bramleyturn.core.outcomes import Outcome, OutcomeKind, not_run
from bramleyturn.core.ticket_primary import NotIssued
from bramleyturn.runtime.entry_loop import EntryLoop, WaiterAction, feed, new_waiter
from bramleyturn.runtime.http_server import (
    header,
    json_answer,
    problem,
    set_retry_after,
)
from bramleyturn.runtime.request_lookup import look_up_elsewhere
from bramleyturn.runtime.twisted_types import HttpRequest

STATUS_TICKET_NEEDED: Final = 428
STATUS_CONFLICT: Final = 409
STARTING_RETRY_AFTER_MS: Final = 1_000
REQUEST_ID_HEADER: Final = "Bramleyturn-Request-Id"
LIMIT_REASONS: Final = frozenset(
    {"rate_limited", "queue_full", "overloaded", "budget_spent"}
)
CONFLICT_REASONS: Final = frozenset(
    {"ticket_forgotten", "ticket_spent", "request_id_reused"}
)

logger = logging.getLogger(__name__)


def callers_api(loop: EntryLoop, app: Klein) -> None:
    """Add the callers' routes to ``app``."""

    @app.route("/v1/pipelines/<pipeline>/requests", methods=["POST"])
    def send(request: HttpRequest, pipeline: str) -> Any:
        return receive_request(loop, request, pipeline)

    @app.route("/v1/tickets", methods=["POST"])
    def ticket(request: HttpRequest) -> bytes:
        return receive_ticket_request(loop, request)

    @app.route("/v1/requests/<request_id>", methods=["GET"])
    async def collect(request: HttpRequest, request_id: str) -> bytes:
        return await receive_collection(loop, request, request_id)


def receive_request(loop: EntryLoop, request: HttpRequest, pipeline: str) -> Any:
    """Check a request and pass it to the core; answer once its outcome is known."""
    checked = check_request(
        loop.access,
        pipeline,
        CallerHeaders(
            authorization=header(request, "Authorization"),
            deadline=header(request, "Bramleyturn-Deadline-Ms"),
            request_id=header(request, REQUEST_ID_HEADER),
            ticket=header(request, "Bramleyturn-Ticket"),
        ),
        request.content.read(),
        new_key(loop.state),
    )
    if checked is STARTING:
        request_id = header(request, REQUEST_ID_HEADER)
        refusal = not_run("starting", STARTING_RETRY_AFTER_MS)
        return answer_document(request, request_id, refusal)
    if isinstance(checked, BadRequest):
        return problem(request, checked)
    answered: Deferred[bytes] = Deferred()

    def reply(action: WaiterAction) -> None:
        answered.callback(reply_document(request, action))

    waiter = new_waiter(loop, reply)

    def caller_gone(_failure: Failure) -> None:
        loop.waiters.pop(waiter, None)
        feed(loop, WaiterGone(waiter))

    request.notifyFinish().addErrback(caller_gone)
    feed(
        loop,
        RequestArrived(
            waiter=waiter,
            workspace=checked.workspace.name,
            pipeline=checked.pipeline.name,
            request_id=checked.request_id,
            input=checked.input,
            input_bytes=checked.input_bytes,
            left_ms=checked.left_ms,
            ticket=checked.ticket,
        ),
    )
    return answered


def reply_document(request: HttpRequest, action: WaiterAction) -> bytes:
    """Return the response body for a waiting caller and set the status."""
    request.setHeader(REQUEST_ID_HEADER, action.request_id)
    if isinstance(action, Answer):
        return answer_document(request, action.request_id, action.outcome)
    if isinstance(action, TicketRefused):
        bad = BadRequest(
            STATUS_CONFLICT, "Ticket refused", action.reason, "Bramleyturn-Ticket"
        )
        return problem(request, bad)
    if not isinstance(action, TicketNeeded):
        raise AssertionError("only a peer gets the answer to a forwarded request")
    bad = BadRequest(
        STATUS_TICKET_NEEDED,
        "Ticket needed",
        "this pipeline has a stage that may not be repeated; send the request again "
        "with this ticket",
        "Bramleyturn-Ticket",
    )
    return problem(
        request, bad, ticket=action.ticket, expires_in_ms=action.expires_in_ms
    )


def answer_document(request: HttpRequest, request_id: str, outcome: Outcome) -> bytes:
    """Return the body of an outcome and set its status."""
    if outcome.retry_after_ms is not None:
        set_retry_after(request, outcome.retry_after_ms)
    return json_answer(
        request, outcome_document(request_id, outcome), outcome_status(outcome)
    )


def outcome_status(outcome: Outcome) -> int:
    """Return the HTTP status of an outcome."""
    if outcome.reason in CONFLICT_REASONS:
        return STATUS_CONFLICT
    if outcome.kind is OutcomeKind.ANSWERED:
        return 200
    if outcome.kind is OutcomeKind.FAILED:
        return 502
    if outcome.kind is OutcomeKind.UNKNOWN:
        return 504
    return 429 if outcome.reason in LIMIT_REASONS else 503


def receive_ticket_request(loop: EntryLoop, request: HttpRequest) -> bytes:
    """Issue a ticket without starting a request."""
    workspace = find_workspace(loop.access, header(request, "Authorization"))
    if workspace is STARTING:
        set_retry_after(request, STARTING_RETRY_AFTER_MS)
    if isinstance(workspace, BadRequest):
        return problem(request, workspace)
    try:
        document = orjson.loads(request.content.read())
    except orjson.JSONDecodeError as error:
        return problem(request, BadRequest(400, "Bad JSON", str(error), "body"))
    name = document.get("pipeline") if isinstance(document, dict) else None
    if not isinstance(name, str):
        missing = BadRequest(
            400, "Pipeline missing", 'send {"pipeline": NAME}', "pipeline"
        )
        return problem(request, missing)
    pipeline = find_pipeline(loop.access.configuration, workspace, name)
    if isinstance(pipeline, BadRequest):
        return problem(request, pipeline)
    issued = issue_ticket(loop.state, workspace.name, name, loop.clock.monotonic_ms())
    if isinstance(issued, NotIssued):
        set_retry_after(request, issued.retry_after_ms)
        full = BadRequest(503, "Too many tickets", "ask again later", "pipeline")
        return problem(request, full)
    return json_answer(
        request, {"ticket": issued.text, "expires_in_ms": issued.expires_in_ms}
    )


async def receive_collection(
    loop: EntryLoop, request: HttpRequest, request_id: str
) -> bytes:
    """Return the kept outcome of a request, from whichever entry process keeps it."""
    workspace = find_workspace(loop.access, header(request, "Authorization"))
    if workspace is STARTING:
        set_retry_after(request, STARTING_RETRY_AFTER_MS)
    if isinstance(workspace, BadRequest):
        return problem(request, workspace)
    if len(request_id) > MAX_REQUEST_ID_CHARACTERS:
        return problem(request, BadRequest(404, "Unknown request", "no such id", "id"))
    found = kept_outcome(
        loop.state, workspace.name, request_id, loop.clock.monotonic_ms()
    )
    if found is None:
        found = await look_up_elsewhere(loop, workspace.name, request_id)
    if found is None:
        unknown = BadRequest(
            404, "Unknown request", "not running and no longer kept here", "id"
        )
        return problem(request, unknown)
    if isinstance(found, Outcome):
        return answer_document(request, request_id, found)
    request.setHeader("Retry-After", "1")
    return json_answer(request, {"request_id": request_id, "state": "running"}, 202)
