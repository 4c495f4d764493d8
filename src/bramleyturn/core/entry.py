"""Decide what an entry process does about everything that happens to it."""

from typing import Final, NamedTuple

import orjson

from bramleyturn.core.actions import (
    Action,
    Answer,
    AnswerAsBackup,
    CancelAttempt,
    ForwardAnswer,
    TicketNeeded,
    TicketRefused,
)
from bramleyturn.core.admission import give_up_late, update_limits
from bramleyturn.core.attempts import (
    attempt_broke,
    output_arrived,
    start_attempt,
    stream_ended,
    tokens_arrived,
)
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    AttemptBroke,
    BackupAnswer,
    BackupAnswered,
    BackupAsked,
    BackupMessage,
    BackupSilent,
    BreakReason,
    ConfigurationAccepted,
    ConnectionReady,
    DrainOrdered,
    Event,
    LoadReportArrived,
    OutputArrived,
    PeerSeen,
    PeerSilent,
    PeersListed,
    PrimaryAnswered,
    PrimarySilent,
    RequestArrived,
    ServersListed,
    StreamEnded,
    TimePassed,
    TokensArrived,
    WaiterGone,
)
from bramleyturn.core.forwarding import (
    forward_timer,
    primary_answered,
    primary_silent,
    revocation_answered,
    revocation_unanswered,
    start_forward,
)
from bramleyturn.core.kept import OutcomeKey, find_outcome, forget_expired
from bramleyturn.core.model import Configuration, Pipeline, Workspace
from bramleyturn.core.outcomes import Outcome, not_run
from bramleyturn.core.peers import choose_backup, list_peers, peer_seen, peer_silent
from bramleyturn.core.permission import is_allowed, permit_write
from bramleyturn.core.progress import StageState
from bramleyturn.core.requests import (
    accept_request,
    digest_input,
    give_up,
    join_known_request,
    stage_answered,
    stage_broke,
)
from bramleyturn.core.retry_budget import may_retry
from bramleyturn.core.routing import (
    apply_servers,
    load_reported,
    server_back,
    server_leaving,
)
from bramleyturn.core.stages import retry_waiting, start_stage
from bramleyturn.core.ticket_backup import (
    forget_backup_records,
    record_intent,
    record_outcome,
    revoke,
)
from bramleyturn.core.ticket_messages import (
    BackupGone,
    InputDiffers,
    Intent,
    IntentAcknowledged,
    IntentRefused,
    OutcomeCopy,
    PrimaryGone,
    Revoke,
)
from bramleyturn.core.ticket_primary import (
    Joined,
    Kept,
    NotIssued,
    RefusedStage,
    Started,
    TicketRefusal,
    acknowledge_stage,
    forget_records,
    receive_ticket,
    refuse_stage,
    store_record,
)
from bramleyturn.core.ticket_primary import TicketRefused as RefusedTicket
from bramleyturn.core.ticket_primary import issue_ticket as issue_from
from bramleyturn.core.tickets import (
    Ticket,
    TicketRejected,
    decode_ticket,
    encode_ticket,
)
from bramleyturn.core.timeline import EventKind, record
from bramleyturn.core.timers import Timer, TimerKind, set_timer, take_due
from bramleyturn.core.timers import next_wake_ms as next_timer_ms

FORGET_INTERVAL_MS: Final = 1_000


class IssuedTicket(NamedTuple):
    """Hold the text of a new ticket."""

    text: str
    expires_in_ms: int


class StillRunning(NamedTuple):
    """Tell that a request has no outcome yet."""


def step(state: EntryState, event: Event, now_ms: int) -> list[Action]:
    """Return what to do about ``event``, which happened at ``now_ms``.

    Timers that are due come first, so that a process that was paused drops what has
    expired before it handles anything that queued up meanwhile.
    """
    actions = run_due_timers(state, now_ms)
    return actions + handle(state, event, now_ms)


def next_wake_ms(state: EntryState) -> int | None:
    """Return when ``step`` must be called with ``TimePassed`` at the latest."""
    return next_timer_ms(state.timers)


def start(state: EntryState, now_ms: int) -> None:
    """Arrange the timers that run for as long as the process does."""
    set_timer(state.timers, now_ms + FORGET_INTERVAL_MS, TimerKind.FORGET, "")


def handle(state: EntryState, event: Event, now_ms: int) -> list[Action]:
    """Return what to do about one event."""
    match event:
        case RequestArrived():
            return request_arrived(state, event, now_ms)
        case TokensArrived():
            return broke_or_nothing(state, tokens_arrived(state, event, now_ms), now_ms)
        case StreamEnded():
            return ended_stream(state, event, now_ms)
        case OutputArrived():
            return answered(state, event, now_ms)
        case AttemptBroke():
            return broke(state, event, now_ms)
        case ConnectionReady(attempt_id):
            return permit_write(state, attempt_id, now_ms)
        case BackupAnswered():
            return answer_of_backup(state, event, now_ms)
        case BackupSilent():
            return silence_of_backup(state, event, now_ms)
        case BackupAsked(reply_to, message):
            return [AnswerAsBackup(reply_to, asked_as_backup(state, message, now_ms))]
        case PrimaryAnswered(forward_id, answer):
            return primary_answered(state, forward_id, answer, now_ms)
        case PrimarySilent(forward_id):
            return primary_silent(state, forward_id, now_ms)
        case WaiterGone(waiter):
            return forget_waiter(state, waiter)
        case TimePassed():
            return []
    return learn(state, event, now_ms)


def learn(state: EntryState, event: Event, now_ms: int) -> list[Action]:
    """Take in news of the configuration, the backend servers and the peers."""
    match event:
        case ConfigurationAccepted(configuration):
            return accept_configuration(state, configuration, now_ms)
        case LoadReportArrived(report):
            load_reported(state.routing, report, now_ms)
        case ServersListed():
            take_server_list(state, event, now_ms)
        case PeersListed(entries):
            list_peers(state.peers, entries, state.me.address)
        case PeerSeen(name, zone, address, incarnation):
            peer_seen(state.peers, name, zone, address, incarnation, now_ms)
        case PeerSilent(address):
            peer_silent(state.peers, address)
        case DrainOrdered():
            state.is_draining = True
            record(state.timeline, EventKind.DRAINING, now_ms)
    return []


def request_arrived(
    state: EntryState, event: RequestArrived, now_ms: int
) -> list[Action]:
    """Start a request, join it to a running one, or send it to its primary."""
    workspace = state.configuration.workspaces.get(event.workspace)
    pipeline = state.configuration.pipelines.get(event.pipeline)
    if workspace is None or pipeline is None:
        changed = not_run("configuration_changed", FORGET_INTERVAL_MS)
        return [Answer(event.waiter, event.request_id, changed)]
    digest = digest_input(pipeline.name, orjson.dumps(event.input))
    if not pipeline.repeatable:
        return ticketed_request(state, event, workspace, pipeline, digest, now_ms)
    joined = join_known_request(state, event, digest, now_ms)
    if joined is not None:
        return joined
    return accept_request(state, event, workspace, pipeline, digest, None, now_ms)


def ticketed_request(
    state: EntryState,
    event: RequestArrived,
    workspace: Workspace,
    pipeline: Pipeline,
    digest: bytes,
    now_ms: int,
) -> list[Action]:
    """Run a request that may not be repeated if this process holds its ticket."""
    if not event.ticket:
        return [offer_ticket(state, event, now_ms)]
    tickets = state.configuration.tickets
    ticket = decode_ticket(
        event.ticket, (tickets.key, tickets.previous_key), workspace.name, pipeline.name
    )
    if isinstance(ticket, TicketRejected):
        return [TicketRefused(event.waiter, event.request_id, ticket.reason)]
    received = receive_ticket(state.primary_tickets, ticket, digest.hex(), now_ms)
    match received:
        case Started():
            actions = accept_request(
                state, event, workspace, pipeline, digest, ticket.number, now_ms
            )
            note_running_ticket(state, event.waiter, ticket.number)
            return actions
        case Joined():
            return join_ticket(state, event, ticket.number)
        case Kept(outcome):
            return [Answer(event.waiter, event.request_id, outcome)]
    return refused_ticket(state, event, ticket, received, digest, now_ms)


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
    """Remember which running request a ticket belongs to, if it still runs."""
    key = state.request_by_waiter.get(waiter)
    if key is not None:
        state.request_by_ticket[number] = key


def join_ticket(state: EntryState, event: RequestArrived, number: int) -> list[Action]:
    """Let a later copy of a ticketed request wait for the running one."""
    request = state.requests[state.request_by_ticket[number]]
    request.waiters.add(event.waiter)
    state.request_by_waiter[event.waiter] = request.key
    return []


def refused_ticket(
    state: EntryState,
    event: RequestArrived,
    ticket: Ticket,
    refused: RefusedTicket,
    digest: bytes,
    now_ms: int,
) -> list[Action]:
    """Answer for a ticket that starts nothing here, or ask where it belongs."""
    if refused.outcome is not None:
        return [Answer(event.waiter, event.request_id, refused.outcome)]
    if refused.reason is TicketRefusal.INPUT_DIFFERS:
        if event.is_forwarded:
            return [ForwardAnswer(event.waiter, event.request_id, InputDiffers())]
        return [TicketRefused(event.waiter, event.request_id, refused.reason)]
    if event.is_forwarded:
        gone = PrimaryGone(ticket.primary.incarnation)
        return [ForwardAnswer(event.waiter, event.request_id, gone)]
    return start_forward(state, event, ticket, digest.hex(), now_ms)


def issue_ticket(
    state: EntryState, workspace: str, pipeline: str, now_ms: int
) -> IssuedTicket | NotIssued:
    """Return a ticket that makes this process the primary of one request."""
    settings = state.configuration.tickets
    ticket = issue_from(
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
    """Return what this process knows of a request of a workspace."""
    key = OutcomeKey(workspace, request_id)
    if key in state.running_by_id:
        return StillRunning()
    kept = find_outcome(state.kept, key, now_ms)
    return kept.outcome if kept is not None else None


def ended_stream(state: EntryState, event: StreamEnded, now_ms: int) -> list[Action]:
    """Take in the end mark of a stream."""
    result = stream_ended(state, event, now_ms)
    if isinstance(result, OutputArrived):
        return answered(state, result, now_ms)
    return broke_or_nothing(state, result, now_ms)


def answered(state: EntryState, event: OutputArrived, now_ms: int) -> list[Action]:
    """Take in the output of a stage."""
    pool = pool_of_attempt(state, event.attempt_id)
    result = output_arrived(state, event, now_ms)
    if result is None or isinstance(result, AttemptBroke):
        return broke_or_nothing(state, result, now_ms)
    request, actions = result
    actions = actions + stage_answered(state, request, now_ms)
    return actions + retry_waiting(state, pool, now_ms)


def broke_or_nothing(
    state: EntryState, event: AttemptBroke | None, now_ms: int
) -> list[Action]:
    """Close the connection of an attempt whose answer can't be used."""
    if event is None:
        return []
    attempt = state.attempts[event.attempt_id]
    closed: list[Action] = [CancelAttempt(event.attempt_id, attempt.server)]
    return closed + broke(state, event, now_ms)


def broke(state: EntryState, event: AttemptBroke, now_ms: int) -> list[Action]:
    """Take in that an attempt ended without an answer."""
    pool = pool_of_attempt(state, event.attempt_id)
    left = attempt_broke(state, event, now_ms)
    actions: list[Action] = []
    if left is not None:
        request, progress = left
        actions += stage_broke(
            state, request, progress, event.reason, event.retry_after_ms, now_ms
        )
    return actions + retry_waiting(state, pool, now_ms)


def pool_of_attempt(state: EntryState, attempt_id: str) -> str:
    """Return the pool that an attempt uses, empty for one that has ended."""
    attempt = state.attempts.get(attempt_id)
    return attempt.pool.name if attempt is not None else ""


def answer_of_backup(
    state: EntryState, event: BackupAnswered, now_ms: int
) -> list[Action]:
    """Take in what the backup of a ticket answered."""
    match event.message:
        case Intent():
            return intent_answered(state, event, event.message, now_ms)
        case Revoke():
            return revocation_answered(state, event.about, event.answer, now_ms)
    return []


def silence_of_backup(
    state: EntryState, event: BackupSilent, now_ms: int
) -> list[Action]:
    """Go on without the backup of a ticket."""
    match event.message:
        case Intent():
            stage = event.message.intended.stage
            return refuse_intent(
                state, event.about, stage, RefusedStage.INTENT_TIMEOUT, now_ms
            )
        case Revoke():
            return revocation_unanswered(state, event.about, now_ms)
    return []


def intent_answered(
    state: EntryState, event: BackupAnswered, intent: Intent, now_ms: int
) -> list[Action]:
    """Start a stage whose intent is recorded, or give its request up."""
    stage = intent.intended.stage
    match event.answer:
        case IntentAcknowledged(_ticket, incarnation, _stage):
            return start_intended(state, event.about, stage, incarnation, now_ms)
        case IntentRefused(_ticket, _incarnation, _stage, reason):
            return refuse_intent(state, event.about, stage, reason, now_ms)
        case BackupGone():
            return refuse_intent(
                state, event.about, stage, RefusedStage.BACKUP_GONE, now_ms
            )
    return []


def start_intended(
    state: EntryState, key: str, stage: str, incarnation: str, now_ms: int
) -> list[Action]:
    """Start a stage whose intent the backup has acknowledged."""
    request = state.requests.get(key)
    if request is None or request.ticket_number is None:
        return []
    found = state.primary_tickets.records[request.ticket_number]
    store_record(state.primary_tickets, acknowledge_stage(found, stage, incarnation))
    progress = request.stages[stage]
    if progress.state is not StageState.AWAITING_INTENT:
        return []
    if not is_allowed(state, request, stage, now_ms):
        return refuse_intent(state, key, stage, RefusedStage.EXPIRED, now_ms)
    record(
        state.timeline,
        EventKind.INTENT_ANSWERED,
        now_ms,
        request_id=request.request_id,
        stage=stage,
        cause=request.key,
    )
    return start_attempt(state, request, progress, now_ms)


def refuse_intent(
    state: EntryState, key: str, stage: str, reason: str, now_ms: int
) -> list[Action]:
    """Refuse a stage for good and end its request."""
    request = state.requests.get(key)
    if request is None or request.ticket_number is None:
        return []
    found = state.primary_tickets.records[request.ticket_number]
    store_record(state.primary_tickets, refuse_stage(found, stage, reason))
    if request.stages[stage].state is not StageState.AWAITING_INTENT:
        return []
    return give_up(state, request, str(reason), None, now_ms)


def asked_as_backup(
    state: EntryState, message: BackupMessage, now_ms: int
) -> BackupAnswer:
    """Answer another entry process as the backup of a ticket."""
    match message:
        case Intent():
            return record_intent(state.backup_tickets, message, now_ms)
        case Revoke():
            return revoke(state.backup_tickets, message, now_ms)
        case OutcomeCopy():
            return record_outcome(state.backup_tickets, message, now_ms)


def forget_waiter(state: EntryState, waiter: str) -> list[Action]:
    """Let a request run on without a caller: its outcome can be collected later."""
    key = state.request_by_waiter.pop(waiter, None)
    request = state.requests.get(key) if key is not None else None
    if request is not None:
        request.waiters.discard(waiter)
    return []


def accept_configuration(
    state: EntryState, configuration: Configuration, now_ms: int
) -> list[Action]:
    """Put a newer configuration in force. Older ones change nothing."""
    if configuration.revision <= state.configuration.revision:
        return []
    state.configuration = configuration
    apply_servers(state.routing, configuration, now_ms)
    update_limits(state.admission, configuration)
    record(
        state.timeline,
        EventKind.CONFIGURATION_IN_FORCE,
        now_ms,
        detail=f"revision {configuration.revision}",
        cause=f"revision-{configuration.revision}",
    )
    return []


def take_server_list(state: EntryState, event: ServersListed, now_ms: int) -> None:
    """Take in which backend servers are leaving and which are not.

    Absence from the list says nothing: the list lags.
    """
    for server in event.servers:
        if server.leaving:
            server_leaving(state.routing, server.name, now_ms)
        else:
            shown_ms = now_ms - event.age_ms
            server_back(state.routing, server.name, shown_ms, now_ms)


def run_due_timers(state: EntryState, now_ms: int) -> list[Action]:
    """Handle every timer that is due."""
    actions: list[Action] = []
    while (timer := take_due(state.timers, now_ms)) is not None:
        actions += handle_timer(state, timer, now_ms)
    return actions


def handle_timer(state: EntryState, timer: Timer, now_ms: int) -> list[Action]:
    """Handle one timer, if what it was set for still holds."""
    match timer.kind:
        case TimerKind.REQUEST_DEADLINE:
            request = state.requests.get(timer.key)
            if request is None:
                return []
            return give_up(state, request, "deadline", None, now_ms)
        case TimerKind.ATTEMPT_TIMEOUT:
            return time_out(state, timer.key, now_ms)
        case TimerKind.HEDGE:
            return hedge(state, timer.key, now_ms)
        case TimerKind.RETRY:
            return retry(state, timer.key, timer.part, now_ms)
        case TimerKind.FORWARD:
            return forward_timer(state, timer.key, now_ms)
        case TimerKind.FORGET:
            return forget(state, now_ms)


def time_out(state: EntryState, attempt_id: str, now_ms: int) -> list[Action]:
    """Stop an attempt that takes too long."""
    if attempt_id not in state.attempts:
        return []
    event = AttemptBroke(attempt_id, BreakReason.TIMED_OUT, "too slow", None, False)
    return broke_or_nothing(state, event, now_ms)


def hedge(state: EntryState, attempt_id: str, now_ms: int) -> list[Action]:
    """Start a second attempt beside one that takes longer than most."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return []
    request = state.requests[attempt.request_key]
    progress = request.stages[attempt.stage]
    if len(progress.attempt_ids) > 1:
        return []
    if not may_retry(state.retry_budget, attempt.pool.name, now_ms):
        return []
    state.counters.hedges += 1
    return start_attempt(state, request, progress, now_ms, is_hedge=True)


def retry(state: EntryState, key: str, stage: str, now_ms: int) -> list[Action]:
    """Try again to start a stage that waits."""
    request = state.requests.get(key)
    if request is None:
        return []
    progress = request.stages[stage]
    if progress.state is not StageState.AWAITING_SERVER:
        return []
    return start_stage(state, request, progress, now_ms)


def forget(state: EntryState, now_ms: int) -> list[Action]:
    """Forget what has expired and give up what can't finish any more."""
    margin_ms = state.configuration.tickets.margin_ms
    forget_expired(state.kept, now_ms)
    forget_records(state.primary_tickets, now_ms, margin_ms)
    forget_backup_records(state.backup_tickets, now_ms)
    set_timer(state.timers, now_ms + FORGET_INTERVAL_MS, TimerKind.FORGET, "")
    actions: list[Action] = []
    for key in give_up_late(state.admission, now_ms):
        late = state.requests.get(key)
        if late is not None:
            actions += give_up(state, late, "deadline_too_short", None, now_ms)
    return actions
