"""Send one request as a careful caller does, until its outcome is known."""

from collections.abc import Callable, Iterator
from itertools import count
from typing import Any, Final, NamedTuple

import orjson
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bramleyturn.bench.expected import expect
from bramleyturn.bench.replies import NoReply, Reply, parse_reply
from bramleyturn.bench.requests_mix import PlannedRequest, input_of_try
from bramleyturn.bench.targets import Targets
from bramleyturn.bench.verdicts import Finished, Outcome, Try
from bramleyturn.core.clock import Clock
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import call_bytes

MAX_TRIES: Final = 20
GRACE_MS: Final = 3000
TICKET_TIMEOUT_MS: Final = 2000
OUTCOME_TIMEOUT_MS: Final = 1000
RETRY_PAUSE_MS: Final = 50
MAX_RETRY_PAUSE_MS: Final = 1000
HTTP_OK: Final = 200
HTTP_NOT_FOUND: Final = 404
NO_OUTCOME: Final = "no outcome within deadline and grace"


class Caller(NamedTuple):
    """Hold what the requests of one load share.

    ``next_entry`` returns the entries' addresses in rotation.
    """

    client: HTTPClient
    reactor: Any
    clock: Clock
    targets: Targets
    next_entry: Callable[[], str]
    run_name: str


class ActiveRequest(NamedTuple):
    """Hold one request until its outcome is known. Times are monotonic."""

    request: PlannedRequest
    started_ms: int
    deadline_ms: int
    headers: dict[str, str]


def entries_in_turn(entries: tuple[str, ...]) -> Callable[[], str]:
    """Return a function that returns the addresses in rotation."""
    turns: Iterator[int] = count()
    return lambda: entries[next(turns) % len(entries)]


async def send_request(caller: Caller, request: PlannedRequest) -> Finished:
    """Send ``request`` until its outcome is known or its deadline has passed."""
    configuration = caller.targets.configuration
    pipeline = configuration.pipelines[request.pipeline]
    key = caller.targets.keys[request.workspace]
    active = ActiveRequest(
        request=request,
        started_ms=caller.clock.monotonic_ms(),
        deadline_ms=pipeline.deadline_ms,
        headers={"Authorization": f"Bearer {key}"},
    )
    needs_ticket = not pipeline.repeatable
    tries: list[Try] = []
    while True:
        try_input = input_of_try(request, len(tries)) if needs_ticket else request.input
        expected = expect(configuration, request.pipeline, try_input)
        reply = await _send_try(caller, active, try_input, len(tries), needs_ticket)
        tries.append(Try(reply.outcome, expected.run_keys))
        if reply.outcome is not Outcome.NOT_RUN or len(tries) == MAX_TRIES:
            break
        pause_ms = min(max(reply.retry_after_ms, RETRY_PAUSE_MS), MAX_RETRY_PAUSE_MS)
        if _time_left_ms(caller, active) <= pause_ms:
            break
        await _pause(caller, pause_ms)
    return _finished(caller, active, reply, expected.output, tries)


def _finished(
    caller: Caller, active: ActiveRequest, reply: Reply, expected: Any, tries: list[Try]
) -> Finished:
    return Finished(
        number=active.request.number,
        pipeline=active.request.pipeline,
        outcome=reply.outcome,
        output=reply.output,
        expected=expected,
        elapsed_ms=caller.clock.monotonic_ms() - active.started_ms,
        deadline_ms=active.deadline_ms,
        tries=tuple(tries),
        stages=reply.stages,
        reason=reply.reason,
    )


async def _send_try(
    caller: Caller,
    active: ActiveRequest,
    try_input: dict[str, Any],
    try_number: int,
    needs_ticket: bool,
) -> Reply:
    """Return the outcome of one try, also when connections fail."""
    request_id = f"{caller.run_name}-{active.request.number}-{try_number}"
    headers = {**active.headers, "Bramleyturn-Request-Id": request_id}
    if needs_ticket:
        ticket = await _get_ticket(caller, active)
        if ticket is None:
            return Reply(Outcome.NOT_RUN, None, "no ticket obtained", {}, 0)
        headers["Bramleyturn-Ticket"] = ticket
    reply = await _post(caller, active, caller.next_entry(), headers, try_input)
    while isinstance(reply, NoReply) and _time_left_ms(caller, active) > RETRY_PAUSE_MS:
        await _pause(caller, RETRY_PAUSE_MS)
        entry = caller.next_entry()
        stored = await _get_stored_outcome(caller, active, entry, request_id)
        if stored is not None:
            return stored
        reply = await _post(caller, active, entry, headers, try_input)
    if isinstance(reply, Reply):
        return reply
    return await _poll_until_grace_ends(caller, active, request_id, reply.reason)


async def _poll_until_grace_ends(
    caller: Caller, active: ActiveRequest, request_id: str, reason: str
) -> Reply:
    while _time_left_ms(caller, active) > -GRACE_MS:
        stored = await _get_stored_outcome(
            caller, active, caller.next_entry(), request_id
        )
        if stored is not None:
            return stored
        await _pause(caller, RETRY_PAUSE_MS * 4)
    return Reply(Outcome.LOST, None, f"{NO_OUTCOME}; last: {reason}", {}, 0)


async def _post(
    caller: Caller,
    active: ActiveRequest,
    entry: str,
    headers: dict[str, str],
    try_input: dict[str, Any],
) -> Reply | NoReply:
    left_ms = _time_left_ms(caller, active)
    response = await call_bytes(
        caller.client,
        caller.reactor,
        "POST",
        f"http://{entry}/v1/pipelines/{active.request.pipeline}/requests",
        headers={**headers, "Bramleyturn-Deadline-Ms": str(left_ms)},
        body=orjson.dumps({"input": try_input}),
        timeout_ms=left_ms + GRACE_MS,
    )
    if isinstance(response, CallFailed):
        return NoReply(response.detail)
    return parse_reply(response.status, response.content)


async def _get_stored_outcome(
    caller: Caller, active: ActiveRequest, entry: str, request_id: str
) -> Reply | None:
    """Return the outcome stored at ``entry``, or ``None`` if it has none."""
    response = await call_bytes(
        caller.client,
        caller.reactor,
        "GET",
        f"http://{entry}/v1/requests/{request_id}",
        headers=active.headers,
        timeout_ms=OUTCOME_TIMEOUT_MS,
    )
    if isinstance(response, CallFailed) or response.status == HTTP_NOT_FOUND:
        return None
    reply = parse_reply(response.status, response.content)
    if isinstance(reply, NoReply) or reply.outcome is Outcome.REFUSED:
        return None
    return reply


async def _get_ticket(caller: Caller, active: ActiveRequest) -> str | None:
    """Return a new ticket, or ``None`` if none is issued within the deadline."""
    while _time_left_ms(caller, active) > 0:
        response = await call_bytes(
            caller.client,
            caller.reactor,
            "POST",
            f"http://{caller.next_entry()}/v1/tickets",
            headers=active.headers,
            body=orjson.dumps({"pipeline": active.request.pipeline}),
            timeout_ms=min(TICKET_TIMEOUT_MS, _time_left_ms(caller, active)),
        )
        if not isinstance(response, CallFailed) and response.status == HTTP_OK:
            return str(orjson.loads(response.content)["ticket"])
        await _pause(caller, RETRY_PAUSE_MS)
    return None


def _time_left_ms(caller: Caller, active: ActiveRequest) -> int:
    passed_ms = caller.clock.monotonic_ms() - active.started_ms
    return active.deadline_ms - passed_ms


def _pause(caller: Caller, pause_ms: int) -> Deferred[None]:
    return deferLater(caller.reactor, pause_ms / 1000, lambda: None)
