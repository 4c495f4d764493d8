"""Drive the core of an entry process: feed it events and perform its actions."""

from collections.abc import Callable, Mapping
from typing import Any

from bramleyturn.core.actions import (
    Action,
    Answer,
    AnswerAsBackup,
    CancelAttempt,
    CancelOrphan,
    ForwardAnswer,
    ForwardToPrimary,
    GossipNow,
    PermitWrite,
    ProbeServer,
    SendToBackup,
    StartAttempt,
    TicketNeeded,
    TicketRefused,
)
from bramleyturn.core.clock import Clock
from bramleyturn.core.crashes import Crash, PoisonPart
from bramleyturn.core.entry import next_wake_ms, step
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    AttemptFailed,
    BackupAnswer,
    Event,
    ProcessPaused,
    TimePassed,
)
from bramleyturn.core.intake import AccessTable, access_table
from bramleyturn.core.poison_parts import find_poison_parts
from bramleyturn.core.server_confirmation import PAUSE_MS
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.backend_client import (
    BackendClient,
    cancel_at_server,
    cancel_attempt,
    probe_server,
    start_attempt,
)
from bramleyturn.runtime.entry_logs import (
    log_crashes,
    log_failed,
    log_outcome,
    log_started,
)
from bramleyturn.runtime.peer_client import (
    PeerClient,
    forward_to_primary,
    send_to_backup,
)
from bramleyturn.runtime.poison_part_log import log_poison_parts
from bramleyturn.runtime.timers import stop_timer
from bramleyturn.runtime.twisted_types import DelayedCall

WaiterAction = Answer | TicketNeeded | TicketRefused | ForwardAnswer
Waiter = Callable[[WaiterAction], None]
BackupReply = Callable[[BackupAnswer], None]


class EntryLoop:
    """Hold the core's state, its HTTP clients and the callbacks of waiting callers."""

    def __init__(
        self, reactor: Any, clock: Clock, state: EntryState, peers: PeerClient
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.state = state
        self.access: AccessTable = access_table(state.configuration)
        self.backends = BackendClient(reactor, lambda event: feed(self, event))
        self.peers = peers
        self.waiters: dict[str, Waiter] = {}
        self.backup_replies: dict[str, BackupReply] = {}
        self.next_waiter = 0
        self.last_event_ms = clock.monotonic_ms()
        self.logged_crashes: frozenset[Crash] = frozenset()
        self.logged_poison_parts: Mapping[str, PoisonPart] = {}
        self.gossip_now: Callable[[], None] = lambda: None
        self.wake_call: DelayedCall | None = None
        self.wake_at_ms: int | None = None


def new_waiter(loop: EntryLoop, waiter: Waiter) -> str:
    """Register a callback for the outcome of a request and return its name."""
    loop.next_waiter += 1
    name = f"w{loop.next_waiter}"
    loop.waiters[name] = waiter
    return name


def new_backup_reply(loop: EntryLoop, reply: BackupReply) -> str:
    """Register a callback for an answer as the backup of a ticket."""
    loop.next_waiter += 1
    name = f"b{loop.next_waiter}"
    loop.backup_replies[name] = reply
    return name


def feed(loop: EntryLoop, event: Event) -> None:
    """Feed an event to the core and perform the resulting actions."""
    if isinstance(event, AttemptFailed):
        log_failed(loop.state, event)
    now_ms = loop.clock.monotonic_ms()
    if now_ms - loop.last_event_ms > PAUSE_MS:
        loop.last_event_ms = now_ms
        feed(loop, ProcessPaused())
    loop.last_event_ms = now_ms
    actions = step(loop.state, event, now_ms)
    if loop.state.suspects.crashes or loop.logged_crashes:
        crashes = frozenset(loop.state.suspects.crashes)
        log_crashes(crashes - loop.logged_crashes, type(event).__name__, now_ms)
        loop.logged_crashes = crashes
        poison_parts = find_poison_parts(loop.state.suspects)
        log_poison_parts(loop.logged_poison_parts, poison_parts, now_ms)
        loop.logged_poison_parts = poison_parts
    for action in actions:
        perform(loop, action)
    schedule_wake(loop)


def perform(loop: EntryLoop, action: Action) -> None:
    """Perform one action."""
    match action:
        case StartAttempt():
            log_started(action)
            start_attempt(loop.backends, action)
        case CancelAttempt():
            cancel_attempt(loop.backends, action)
        case PermitWrite(attempt_id):
            loop.backends.permitted.add(attempt_id)
        case CancelOrphan(attempt_id, server):
            cancel_at_server(loop.backends, attempt_id, server.address)
        case ProbeServer(server):
            probe_server(loop.backends, server)
        case Answer():
            log_outcome(action)
            answer_waiter(loop, action)
        case TicketNeeded() | TicketRefused() | ForwardAnswer():
            answer_waiter(loop, action)
        case AnswerAsBackup(reply_to, answer):
            loop.backup_replies.pop(reply_to)(answer)
        case SendToBackup():
            send_to_backup(loop.peers, action, lambda event: feed(loop, event))
        case ForwardToPrimary():
            forward_to_primary(loop.peers, action, lambda event: feed(loop, event))
        case GossipNow():
            loop.gossip_now()


def answer_waiter(loop: EntryLoop, action: WaiterAction) -> None:
    """Give a waiting caller its answer, if it still waits."""
    waiter = loop.waiters.pop(action.waiter, None)
    if waiter is not None:
        waiter(action)


def schedule_wake(loop: EntryLoop) -> None:
    """Schedule a wake-up of the core for when its next timer is due."""
    wake_at_ms = next_wake_ms(loop.state)
    if wake_at_ms == loop.wake_at_ms and loop.wake_call is not None:
        return
    stop_timer(loop.wake_call)
    loop.wake_call = None
    loop.wake_at_ms = wake_at_ms
    if wake_at_ms is None:
        return
    wait_ms = max(0, wake_at_ms - loop.clock.monotonic_ms())
    loop.wake_call = loop.reactor.callLater(wait_ms / MS_PER_S, wake, loop)


def wake(loop: EntryLoop) -> None:
    """Tell the core that its next timer may be due."""
    loop.wake_call = None
    loop.wake_at_ms = None
    feed(loop, TimePassed())
