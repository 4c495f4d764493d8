"""Turn each event of an entry process into the actions that it takes."""

from bramleyturn.core.actions import Action, AnswerAsBackup, GossipNow
from bramleyturn.core.arrivals import forget_waiter, request_arrived
from bramleyturn.core.attempt_events import (
    abort_attempt,
    handle_failure,
    handle_output,
    handle_stream_end,
)
from bramleyturn.core.crashes import server_answered
from bramleyturn.core.due_timers import FORGET_INTERVAL_MS, run_due_timers
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    AttemptFailed,
    BackupAnswered,
    BackupAsked,
    BackupSilent,
    ConfigurationAccepted,
    ConnectionReady,
    DrainOrdered,
    Event,
    LoadReportArrived,
    LoadReportMissing,
    OutputArrived,
    PeerIntroduced,
    PeerSeen,
    PeerSilent,
    PeersListed,
    PrimaryAnswered,
    PrimarySilent,
    ProcessPaused,
    RequestArrived,
    ServerAlive,
    ServersListed,
    StreamEnded,
    TimePassed,
    TokensArrived,
    WaiterGone,
)
from bramleyturn.core.forwarding import primary_answered, primary_silent
from bramleyturn.core.gossip import note_load
from bramleyturn.core.gossip_exchange import (
    receive_introduction,
    receive_peer_message,
    take_urgent_flag,
)
from bramleyturn.core.intents import (
    answer_as_backup,
    backup_answered,
    backup_silent,
)
from bramleyturn.core.membership import apply_listed_entries, record_miss
from bramleyturn.core.permission import permit_write
from bramleyturn.core.platform_updates import accept_configuration, apply_server_list
from bramleyturn.core.routing import load_reported
from bramleyturn.core.server_confirmation import (
    confirm_server,
    mark_servers_unconfirmed,
)
from bramleyturn.core.spend import set_processes
from bramleyturn.core.streams import tokens_arrived
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.core.timeline import EventKind, record
from bramleyturn.core.timers import TimerKind, set_timer
from bramleyturn.core.timers import next_wake_ms as next_timer_ms


def step(state: EntryState, event: Event, now_ms: int) -> list[Action]:
    """Return the actions for ``event``, which happened at ``now_ms``.

    Timers that are due come first, so that a process that was paused drops what has
    expired before it handles events that queued up meanwhile.
    """
    if isinstance(event, ProcessPaused):
        mark_servers_unconfirmed(state.routing, now_ms)
    actions = run_due_timers(state, now_ms)
    actions += handle_event(state, event, now_ms)
    if take_urgent_flag(state, now_ms):
        actions.append(GossipNow())
    return actions


def next_wake_ms(state: EntryState) -> int | None:
    """Return when ``step`` must be called with ``TimePassed`` at the latest."""
    return next_timer_ms(state.timers)


def start(state: EntryState, now_ms: int) -> None:
    """Set the timers that recur for as long as the process runs."""
    set_timer(state.timers, now_ms + FORGET_INTERVAL_MS, TimerKind.FORGET, "")


def handle_event(state: EntryState, event: Event, now_ms: int) -> list[Action]:
    """Return the actions for one event."""
    match event:
        case RequestArrived():
            return request_arrived(state, event, now_ms)
        case TokensArrived():
            return abort_attempt(state, tokens_arrived(state, event, now_ms), now_ms)
        case StreamEnded():
            return handle_stream_end(state, event, now_ms)
        case OutputArrived():
            return handle_output(state, event, now_ms)
        case AttemptFailed():
            return handle_failure(state, event, now_ms)
        case ConnectionReady(attempt_id):
            return permit_write(state, attempt_id, now_ms)
        case ServerAlive(server):
            server_answered(state.suspects, server, now_ms)
            return []
        case BackupAnswered():
            return backup_answered(state, event, now_ms)
        case BackupSilent():
            return backup_silent(state, event, now_ms)
        case BackupAsked(reply_to, message):
            return [AnswerAsBackup(reply_to, answer_as_backup(state, message, now_ms))]
        case PrimaryAnswered(forward_id, answer):
            return primary_answered(state, forward_id, answer, now_ms)
        case PrimarySilent(forward_id):
            return primary_silent(state, forward_id, now_ms)
        case WaiterGone(waiter):
            return forget_waiter(state, waiter)
        case TimePassed() | ProcessPaused():
            return []
    return apply_update(state, event, now_ms)


def apply_update(state: EntryState, event: Event, now_ms: int) -> list[Action]:
    """Apply an update about the configuration, the backend servers or the peers."""
    match event:
        case ConfigurationAccepted(configuration):
            return accept_configuration(state, configuration, now_ms)
        case LoadReportArrived(report):
            confirm_server(state.routing, report.server, now_ms)
            load_reported(state.routing, report, now_ms)
            note_load(state.gossip, report, now_ms)
        case LoadReportMissing(server):
            confirm_server(state.routing, server, now_ms)
        case ServersListed():
            apply_server_list(state, event, now_ms)
        case PeersListed(entries):
            apply_listed_entries(state.peers, entries, now_ms)
            set_processes(state.spend, (entry.name for entry in entries))
        case PeerSeen(name, zone, address, incarnation, revision, body):
            sender = ProcessRef(address, incarnation)
            receive_peer_message(state, sender, name, zone, revision, body, now_ms)
        case PeerIntroduced(name, zone, address):
            receive_introduction(state, name, zone, address)
        case PeerSilent(address):
            record_miss(state.peers, address, now_ms)
        case DrainOrdered():
            state.is_draining = True
            state.gossip.is_urgent = True
            record(state.timeline, EventKind.DRAINING, now_ms)
    return []
