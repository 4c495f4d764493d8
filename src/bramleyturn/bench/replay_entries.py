"""Run the cores of several entry processes in virtual time."""

from functools import partial
from random import Random
from typing import Any, Final

from bramleyturn.bench.replay_callers import (
    CALLER_HOP_MS,
    answer,
    arrive,
    request_event,
)
from bramleyturn.bench.replay_policies import (
    Policy,
    Truth,
    prepare_entry,
)
from bramleyturn.bench.replay_servers import (
    Job,
    ServerModel,
    cancel,
    receive,
)
from bramleyturn.bench.replay_simulation import (
    ReplayEntry,
    World,
    can_reach,
    hop_ms,
    later,
)
from bramleyturn.bench.replay_updates import arrange_news
from bramleyturn.bench.trace import Trace
from bramleyturn.bench.virtual_time import call_after
from bramleyturn.core.actions import (
    Action,
    Answer,
    AnswerAsBackup,
    CancelAttempt,
    CancelOrphan,
    ForwardToPrimary,
    PermitWrite,
    SendToBackup,
    StartAttempt,
    TicketNeeded,
    TicketRefused,
)
from bramleyturn.core.entry import next_wake_ms, start, step
from bramleyturn.core.entry_state import entry_state
from bramleyturn.core.events import (
    AttemptFailed,
    BackupAnswered,
    BackupAsked,
    BackupSilent,
    ConnectionReady,
    Event,
    FailureReason,
    PrimarySilent,
    TimePassed,
)
from bramleyturn.core.model import Configuration, PoolKind
from bramleyturn.core.outcomes import not_run
from bramleyturn.core.tickets import ProcessRef

ENTRIES_PER_ZONE: Final = 2
CONNECT_TIMEOUT_MS: Final = 1_000.0


def new_world(
    trace: Trace, configuration: Configuration, policy: Policy, seed: int
) -> World:
    """Return a world in which nothing has happened yet."""
    world = World(trace, configuration, policy, seed, feed)
    for server in configuration.servers.values():
        pool = configuration.pools[server.pool]
        world.models[server.name] = ServerModel(
            world.time,
            server,
            pool.kind,
            pool.concurrency_per_server,
            Random(f"{seed} {server.name}"),
        )
    zones = sorted({server.zone for server in configuration.servers.values()})
    for number in range(ENTRIES_PER_ZONE * len(zones)):
        add_entry(world, number, zones[number % len(zones)])
    arrange_news(world)
    for index, request in enumerate(trace.requests):
        call_after(world.time, request.arrival_ms, partial(arrive, world, index))
    return world


def add_entry(world: World, number: int, zone: str) -> None:
    """Add one entry process."""
    me = ProcessRef(f"192.0.2.{number + 1}:7000", f"incarnation-{number}")
    random = Random(world.random.random())
    state = entry_state(f"entry-{number}", zone, me, world.configuration, random, 0)
    prepare_entry(world.policy, state, Truth(world.models, partial(can_reach, world)))
    start(state, 0)
    entry = ReplayEntry(state)
    world.entries.append(entry)
    world.by_address[me.address] = entry


def feed(world: World, entry: ReplayEntry, event: Event) -> list[Action]:
    """Hand an event to an entry now and carry out what it decides."""
    actions = step(entry.state, event, int(world.time.now_ms))
    for action in actions:
        perform(world, entry, action)
    arrange_wake(world, entry)
    return actions


def arrange_wake(world: World, entry: ReplayEntry) -> None:
    """Arrange that an entry runs when its next timer is due."""
    wake_ms = next_wake_ms(entry.state)
    if wake_ms is None or (entry.wake_ms is not None and entry.wake_ms <= wake_ms):
        return
    entry.wake_ms = wake_ms

    def wake() -> None:
        if entry.wake_ms == wake_ms:
            entry.wake_ms = None
            feed(world, entry, TimePassed())

    call_after(world.time, max(0.0, wake_ms - world.time.now_ms), wake)


def perform(world: World, entry: ReplayEntry, action: Action) -> None:
    """Carry out one action of an entry."""
    match action:
        case StartAttempt():
            start_attempt(world, entry, action)
        case CancelAttempt(attempt_id, server) | CancelOrphan(attempt_id, server):
            cancel_attempt(world, entry, attempt_id, server.name)
        case Answer(_waiter, request_id, outcome):
            answer(world, request_id, outcome)
        case TicketNeeded(_waiter, request_id, ticket):
            index = int(request_id[1:])
            event = request_event(world, index, ticket)
            later(world, entry, 2 * CALLER_HOP_MS, event)
        case TicketRefused(_waiter, request_id, reason):
            answer(world, request_id, not_run(reason))
        case SendToBackup():
            tell_backup(world, entry, action)
        case ForwardToPrimary(forward_id):
            later(world, entry, action.timeout_ms, PrimarySilent(forward_id))


def tell_backup(world: World, entry: ReplayEntry, action: SendToBackup) -> None:
    """Carry a message to the backup of a ticket and its answer back."""
    backup = world.by_address[action.backup.address]
    zones = (entry.state.zone, backup.state.zone)
    hop = hop_ms(*zones)

    def ask() -> None:
        if not can_reach(world, *zones):
            silent = BackupSilent(action.correlation_id, action.message)
            later(world, entry, action.timeout_ms, silent)
            return
        for reply in feed(world, backup, BackupAsked("", action.message)):
            if isinstance(reply, AnswerAsBackup):
                event = BackupAnswered(
                    action.correlation_id, action.message, reply.answer
                )
                later(world, entry, hop, event)

    call_after(world.time, hop, ask)


def start_attempt(world: World, entry: ReplayEntry, action: StartAttempt) -> None:
    """Send an attempt over a connection, which takes its time or fails."""
    key = (action.request_id, action.stage)
    world.sent[key] = world.sent.get(key, 0) + 1
    model = world.models[action.server.name]
    world.promised.get(model.server.pool, {}).pop(action.request_id, None)
    hop = hop_ms(entry.state.zone, action.server.zone)
    job = new_job(world, entry, model, action)
    if not can_reach(world, entry.state.zone, action.server.zone):
        reason = FailureReason.NOT_CONNECTED
        broke = AttemptFailed(action.attempt_id, reason, "cut off", None, False)
        later(world, entry, min(CONNECT_TIMEOUT_MS, action.timeout_ms), broke)
        return
    model.coming[job.attempt_id] = job
    if not action.needs_permission:
        call_after(world.time, hop, partial(receive, model, job))
        return

    def connect() -> None:
        if not model.is_up:
            receive(model, job)
            return
        permit = PermitWrite(job.attempt_id)
        if permit in feed(world, entry, ConnectionReady(job.attempt_id)):
            call_after(world.time, hop, partial(receive, model, job))
        else:
            model.coming.pop(job.attempt_id, None)

    call_after(world.time, 2 * hop, connect)


def new_job(
    world: World, entry: ReplayEntry, model: ServerModel, action: StartAttempt
) -> Job:
    """Return the work that an attempt asks of a server."""
    request = world.trace.requests[int(action.request_id[1:])]
    zones = (entry.state.zone, model.server.zone)
    is_lost = False

    def reply(event: Event) -> None:
        nonlocal is_lost
        is_lost = is_lost or not can_reach(world, *zones)
        if not is_lost:
            later(world, entry, hop_ms(*zones), event)

    is_engine = model.kind is PoolKind.ENGINE
    tokens = min(request.output_tokens, action.max_output_tokens) if is_engine else 0
    output: Any = action.input
    return Job(
        action.attempt_id,
        request.input_tokens,
        tokens,
        action.resume_offset,
        request.prefix_group if is_engine else "",
        output,
        reply,
    )


def cancel_attempt(
    world: World, entry: ReplayEntry, attempt_id: str, server: str
) -> None:
    """Let a cancellation travel to a server."""
    model = world.models[server]
    model.coming.pop(attempt_id, None)
    if can_reach(world, entry.state.zone, model.server.zone):
        hop = hop_ms(entry.state.zone, model.server.zone)
        call_after(world.time, hop, partial(cancel, model, attempt_id))
