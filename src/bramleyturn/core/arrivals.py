"""Start an arriving request, join it to a running one, or forward it."""

from typing import Final, NamedTuple

import orjson

from bramleyturn.core.actions import (
    Action,
    Answer,
    ForwardAnswer,
    TicketNeeded,
    TicketRefused,
)
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import RequestArrived
from bramleyturn.core.forwarding import start_forward
from bramleyturn.core.kept_outcomes import OutcomeKey, find_outcome, unpack_outcome
from bramleyturn.core.model import Pipeline, Workspace
from bramleyturn.core.outcomes import Outcome, not_run
from bramleyturn.core.peers import choose_backup
from bramleyturn.core.requests import accept_request, digest_input, join_known_request
from bramleyturn.core.ticket_messages import InputDiffers, PrimaryGone
from bramleyturn.core.ticket_primary import (
    AlreadyFinished,
    Joined,
    NotIssued,
    NotStarted,
    Started,
    TicketRecord,
    TicketRefusal,
    finish,
    receive_ticket,
    store_record,
)
from bramleyturn.core.ticket_primary import (
    issue_ticket as issue_from_primary,
)
from bramleyturn.core.tickets import (
    Ticket,
    TicketRejected,
    decode_ticket,
    encode_ticket,
)

CONFIGURATION_CHANGED_RETRY_AFTER_MS: Final = 1_000


class IssuedTicket(NamedTuple):
    """Hold the text of a new ticket."""

    text: str
    expires_in_ms: int


class StillRunning(NamedTuple):
    """State that a request is still running."""


def request_arrived(
    state: EntryState, event: RequestArrived, now_ms: int
) -> list[Action]:
    """Start a request, join it to a running one, or send it to its primary."""
    workspace = state.configuration.workspaces.get(event.workspace)
    pipeline = state.configuration.pipelines.get(event.pipeline)
    digest = digest_input(event.pipeline, orjson.dumps(event.input))
    needs_ticket = workspace is None or pipeline is None or not pipeline.repeatable
    if event.ticket and needs_ticket:
        return handle_ticketed_request(
            state, event, workspace, pipeline, digest, now_ms
        )
    if workspace is None or pipeline is None:
        return [Answer(event.waiter, event.request_id, configuration_changed_outcome())]
    if not pipeline.repeatable:
        return [offer_ticket(state, event, now_ms)]
    joined = join_known_request(state, event, digest, now_ms)
    if joined is not None:
        return joined
    return accept_request(state, event, workspace, pipeline, digest, None, now_ms)


def configuration_changed_outcome() -> Outcome:
    """Return the outcome of a request whose workspace or pipeline was removed."""
    return not_run("configuration_changed", CONFIGURATION_CHANGED_RETRY_AFTER_MS)


def handle_ticketed_request(
    state: EntryState,
    event: RequestArrived,
    workspace: Workspace | None,
    pipeline: Pipeline | None,
    digest: bytes,
    now_ms: int,
) -> list[Action]:
    """Run a request that may not be repeated, if this process issued its ticket."""
    tickets = state.configuration.tickets
    keys = (tickets.key, tickets.previous_key)
    ticket = decode_ticket(event.ticket, keys, event.workspace, event.pipeline)
    if isinstance(ticket, TicketRejected):
        return [TicketRefused(event.waiter, event.request_id, ticket.reason)]
    received = receive_ticket(state.primary_tickets, ticket, digest.hex(), now_ms)
    match received:
        case Started(found):
            if workspace is None or pipeline is None:
                return [refuse_permanently(state, event, found)]
            actions = accept_request(
                state, event, workspace, pipeline, digest, ticket.number, now_ms
            )
            note_running_ticket(state, event.waiter, ticket.number)
            return actions
        case Joined():
            return join_ticket(state, event, ticket.number)
        case AlreadyFinished(outcome):
            return [Answer(event.waiter, event.request_id, outcome)]
    return answer_refused_ticket(
        state, event, ticket, pipeline, received, digest, now_ms
    )


def refuse_permanently(
    state: EntryState, event: RequestArrived, found: TicketRecord
) -> Answer:
    """Refuse the ticket of a removed workspace or pipeline permanently.

    Without a recorded outcome, a copy of the request could run under a later revision.
    """
    outcome = configuration_changed_outcome()
    store_record(state.primary_tickets, finish(found, outcome))
    return Answer(event.waiter, event.request_id, outcome)


def offer_ticket(
    state: EntryState, event: RequestArrived, now_ms: int
) -> TicketNeeded | Answer:
    """Return a ticket for a request that came without one."""
    issued = issue_ticket(state, event.workspace, event.pipeline, now_ms)
    if isinstance(issued, NotIssued):
        refusal = not_run("too_many_tickets", issued.retry_after_ms)
        return Answer(event.waiter, event.request_id, refusal)
    return TicketNeeded(
        event.waiter, event.request_id, issued.text, issued.expires_in_ms
    )


def note_running_ticket(state: EntryState, waiter: str, number: int) -> None:
    """Map a ticket to its request, if the request is still running."""
    key = state.request_by_waiter.get(waiter)
    if key is not None:
        state.request_by_ticket[number] = key


def join_ticket(state: EntryState, event: RequestArrived, number: int) -> list[Action]:
    """Make a later copy of a ticketed request wait for the running one."""
    request = state.requests[state.request_by_ticket[number]]
    request.waiters.add(event.waiter)
    state.request_by_waiter[event.waiter] = request.key
    return []


def answer_refused_ticket(
    state: EntryState,
    event: RequestArrived,
    ticket: Ticket,
    pipeline: Pipeline | None,
    refused: NotStarted,
    digest: bytes,
    now_ms: int,
) -> list[Action]:
    """Answer a ticket that starts nothing here, or forward the request."""
    if refused.outcome is not None:
        return [Answer(event.waiter, event.request_id, refused.outcome)]
    if refused.reason is TicketRefusal.INPUT_DIFFERS:
        if event.is_forwarded:
            return [ForwardAnswer(event.waiter, event.request_id, InputDiffers())]
        return [TicketRefused(event.waiter, event.request_id, refused.reason)]
    if event.is_forwarded:
        gone = PrimaryGone()
        return [ForwardAnswer(event.waiter, event.request_id, gone)]
    return start_forward(state, event, ticket, pipeline, digest.hex(), now_ms)


def issue_ticket(
    state: EntryState, workspace: str, pipeline: str, now_ms: int
) -> IssuedTicket | NotIssued:
    """Issue a ticket that makes this process the primary of one request."""
    settings = state.configuration.tickets
    ticket = issue_from_primary(
        state.primary_tickets,
        workspace,
        pipeline,
        choose_backup(state.peers, state.zone, now_ms, state.random),
        now_ms,
        settings.lifetime_ms,
        settings.margin_ms,
    )
    if isinstance(ticket, NotIssued):
        return ticket
    return IssuedTicket(encode_ticket(ticket, settings.key), settings.lifetime_ms)


def kept_outcome(
    state: EntryState, workspace: str, request_id: str, now_ms: int
) -> Outcome | StillRunning | None:
    """Return the outcome that this process keeps of a request, if any."""
    key = OutcomeKey(workspace, request_id)
    if key in state.running_by_id:
        return StillRunning()
    kept = find_outcome(state.kept, key, now_ms)
    return unpack_outcome(kept) if kept is not None else None


def forget_waiter(state: EntryState, waiter: str) -> list[Action]:
    """Detach a caller from its request, whose outcome can be collected later."""
    key = state.request_by_waiter.pop(waiter, None)
    request = state.requests.get(key) if key is not None else None
    if request is not None:
        request.waiters.discard(waiter)
    return []
