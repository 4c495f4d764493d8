"""Send one request the way a careful caller does, until it has its outcome."""

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
ASK_TIMEOUT_MS: Final = 1000
PAUSE_MS: Final = 50
MAX_PAUSE_MS: Final = 1000
HTTP_OK: Final = 200
HTTP_NOT_FOUND: Final = 404
NO_OUTCOME: Final = "no outcome within deadline and grace"


class Caller(NamedTuple):
    """Hold what every request of one load shares.

    ``next_entry`` gives the address of the next entry in turn.
    """

    client: HTTPClient
    reactor: Any
    clock: Clock
    targets: Targets
    next_entry: Callable[[], str]
    run_name: str


class Sending(NamedTuple):
    """Hold one request while it is being sent. Times are monotonic."""

    request: PlannedRequest
    started_ms: int
    deadline_ms: int
    headers: dict[str, str]


def entries_in_turn(entries: tuple[str, ...]) -> Callable[[], str]:
    """Return a function that gives the addresses in turn."""
    turns: Iterator[int] = count()
    return lambda: entries[next(turns) % len(entries)]


async def send_request(caller: Caller, request: PlannedRequest) -> Finished:
    """Return how ``request`` ended."""
    configuration = caller.targets.configuration
    pipeline = configuration.pipelines[request.pipeline]
    key = caller.targets.keys[request.workspace]
    sending = Sending(
        request=request,
        started_ms=caller.clock.monotonic_ms(),
        deadline_ms=pipeline.deadline_ms,
        headers={"Authorization": f"Bearer {key}"},
    )
    ticketed = not pipeline.repeatable
    tries: list[Try] = []
    while True:
        trial_input = input_of_try(request, len(tries)) if ticketed else request.input
        expected = expect(configuration, request.pipeline, trial_input)
        reply = await _send_try(caller, sending, trial_input, len(tries), ticketed)
        tries.append(Try(reply.outcome, expected.run_keys))
        if reply.outcome is not Outcome.NOT_RUN or len(tries) == MAX_TRIES:
            break
        pause_ms = min(max(reply.retry_after_ms, PAUSE_MS), MAX_PAUSE_MS)
        if _left_ms(caller, sending) <= pause_ms:
            break
        await _pause(caller, pause_ms)
    return _finished(caller, sending, reply, expected.output, tries)


def _finished(
    caller: Caller, sending: Sending, reply: Reply, expected: Any, tries: list[Try]
) -> Finished:
    return Finished(
        number=sending.request.number,
        pipeline=sending.request.pipeline,
        outcome=reply.outcome,
        output=reply.output,
        expected=expected,
        elapsed_ms=caller.clock.monotonic_ms() - sending.started_ms,
        deadline_ms=sending.deadline_ms,
        tries=tuple(tries),
        stages=reply.stages,
        reason=reply.reason,
    )


async def _send_try(
    caller: Caller,
    sending: Sending,
    trial_input: dict[str, Any],
    trial: int,
    ticketed: bool,
) -> Reply:
    """Return the outcome of one try, whatever becomes of its connections."""
    request_id = f"{caller.run_name}-{sending.request.number}-{trial}"
    headers = {**sending.headers, "Bramleyturn-Request-Id": request_id}
    if ticketed:
        ticket = await _get_ticket(caller, sending)
        if ticket is None:
            return Reply(Outcome.NOT_RUN, None, "no ticket to be had", {}, 0)
        headers["Bramleyturn-Ticket"] = ticket
    reply = await _post(caller, sending, caller.next_entry(), headers, trial_input)
    while isinstance(reply, NoReply) and _left_ms(caller, sending) > PAUSE_MS:
        await _pause(caller, PAUSE_MS)
        entry = caller.next_entry()
        kept = await _ask(caller, sending, entry, request_id)
        if kept is not None:
            return kept
        reply = await _post(caller, sending, entry, headers, trial_input)
    if isinstance(reply, Reply):
        return reply
    return await _ask_until_grace_ends(caller, sending, request_id, reply.reason)


async def _ask_until_grace_ends(
    caller: Caller, sending: Sending, request_id: str, reason: str
) -> Reply:
    while _left_ms(caller, sending) > -GRACE_MS:
        kept = await _ask(caller, sending, caller.next_entry(), request_id)
        if kept is not None:
            return kept
        await _pause(caller, PAUSE_MS * 4)
    return Reply(Outcome.LOST, None, f"{NO_OUTCOME}; last: {reason}", {}, 0)


async def _post(
    caller: Caller,
    sending: Sending,
    entry: str,
    headers: dict[str, str],
    trial_input: dict[str, Any],
) -> Reply | NoReply:
    left_ms = _left_ms(caller, sending)
    response = await call_bytes(
        caller.client,
        caller.reactor,
        "POST",
        f"http://{entry}/v1/pipelines/{sending.request.pipeline}/requests",
        headers={**headers, "Bramleyturn-Deadline-Ms": str(left_ms)},
        body=orjson.dumps({"input": trial_input}),
        timeout_ms=left_ms + GRACE_MS,
    )
    if isinstance(response, CallFailed):
        return NoReply(response.detail)
    return parse_reply(response.status, response.content)


async def _ask(
    caller: Caller, sending: Sending, entry: str, request_id: str
) -> Reply | None:
    """Return the kept outcome, or ``None`` where ``entry`` has none."""
    response = await call_bytes(
        caller.client,
        caller.reactor,
        "GET",
        f"http://{entry}/v1/requests/{request_id}",
        headers=sending.headers,
        timeout_ms=ASK_TIMEOUT_MS,
    )
    if isinstance(response, CallFailed) or response.status == HTTP_NOT_FOUND:
        return None
    reply = parse_reply(response.status, response.content)
    if isinstance(reply, NoReply) or reply.outcome is Outcome.REFUSED:
        return None
    return reply


async def _get_ticket(caller: Caller, sending: Sending) -> str | None:
    """Return a fresh ticket, or ``None`` when none is given within the deadline."""
    while _left_ms(caller, sending) > 0:
        response = await call_bytes(
            caller.client,
            caller.reactor,
            "POST",
            f"http://{caller.next_entry()}/v1/tickets",
            headers=sending.headers,
            body=orjson.dumps({"pipeline": sending.request.pipeline}),
            timeout_ms=min(TICKET_TIMEOUT_MS, _left_ms(caller, sending)),
        )
        if not isinstance(response, CallFailed) and response.status == HTTP_OK:
            return str(orjson.loads(response.content)["ticket"])
        await _pause(caller, PAUSE_MS)
    return None


def _left_ms(caller: Caller, sending: Sending) -> int:
    passed_ms = caller.clock.monotonic_ms() - sending.started_ms
    return sending.deadline_ms - passed_ms


def _pause(caller: Caller, pause_ms: int) -> Deferred[None]:
    return deferLater(caller.reactor, pause_ms / 1000, lambda: None)
