"""Decide what an entry process does about everything that happens to it."""

from bramleyturn.core.actions import Action, AnswerAsBackup
from bramleyturn.core.answers import answered, broke, broke_or_nothing, ended_stream
from bramleyturn.core.arrivals import forget_waiter, request_arrived
from bramleyturn.core.due_timers import FORGET_INTERVAL_MS, run_due_timers
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    AttemptBroke,
    BackupAnswered,
    BackupAsked,
    BackupSilent,
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
    ServerAlive,
    ServersListed,
    StreamEnded,
    TimePassed,
    TokensArrived,
    WaiterGone,
)
from bramleyturn.core.forwarding import primary_answered, primary_silent
from bramleyturn.core.intents import (
    answer_of_backup,
    asked_as_backup,
    silence_of_backup,
)
from bramleyturn.core.news import accept_configuration, take_server_list
from bramleyturn.core.peers import list_peers, peer_seen, peer_silent
from bramleyturn.core.permission import permit_write
from bramleyturn.core.poison import server_lives
from bramleyturn.core.routing import load_reported
from bramleyturn.core.streams import tokens_arrived
from bramleyturn.core.timeline import EventKind, record
from bramleyturn.core.timers import TimerKind, set_timer
from bramleyturn.core.timers import next_wake_ms as next_timer_ms


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
        case ServerAlive(server):
            server_lives(state.suspects, server, now_ms)
            return []
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
