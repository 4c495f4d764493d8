"""Run the cores of several entry processes in virtual time."""

from functools import partial
from random import Random
from typing import Any, Final

from bramleyturn.bench.replay_callers import (
    CALLER_LATENCY_MS,
    request_event,
    return_outcome,
    send_to_entry,
)
from bramleyturn.bench.replay_policies import (
    Policy,
    TrueState,
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
    Simulation,
    can_reach,
    deliver_later,
    zone_latency_ms,
)
from bramleyturn.bench.replay_updates import schedule_updates
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


def new_simulation(
    trace: Trace, configuration: Configuration, policy: Policy, seed: int
) -> Simulation:
    """Return a simulation at its start, with the trace's requests scheduled."""
    simulation = Simulation(trace, configuration, policy, seed, feed)
    for server in configuration.servers.values():
        pool = configuration.pools[server.pool]
        simulation.models[server.name] = ServerModel(
            simulation.time,
            server,
            pool.kind,
            pool.concurrency_per_server,
            Random(f"{seed} {server.name}"),
        )
    zones = sorted({server.zone for server in configuration.servers.values()})
    for number in range(ENTRIES_PER_ZONE * len(zones)):
        add_entry(simulation, number, zones[number % len(zones)])
    schedule_updates(simulation)
    for index, request in enumerate(trace.requests):
        call_after(
            simulation.time,
            request.arrival_ms,
            partial(send_to_entry, simulation, index),
        )
    return simulation


def add_entry(simulation: Simulation, number: int, zone: str) -> None:
    """Add one entry process."""
    me = ProcessRef(f"192.0.2.{number + 1}:7000", f"incarnation-{number}")
    random = Random(simulation.random.random())
    state = entry_state(
        f"entry-{number}", zone, me, simulation.configuration, random, 0
    )
    prepare_entry(
        simulation.policy,
        state,
        TrueState(simulation.models, partial(can_reach, simulation)),
    )
    start(state, 0)
    entry = ReplayEntry(state)
    simulation.entries.append(entry)
    simulation.by_address[me.address] = entry


def feed(simulation: Simulation, entry: ReplayEntry, event: Event) -> list[Action]:
    """Pass an event to an entry immediately and perform the resulting actions."""
    actions = step(entry.state, event, int(simulation.time.now_ms))
    for action in actions:
        perform(simulation, entry, action)
    schedule_wake(simulation, entry)
    return actions


def schedule_wake(simulation: Simulation, entry: ReplayEntry) -> None:
    """Schedule a wake-up of an entry when its next timer is due."""
    wake_ms = next_wake_ms(entry.state)
    if wake_ms is None or (entry.wake_ms is not None and entry.wake_ms <= wake_ms):
        return
    entry.wake_ms = wake_ms

    def wake() -> None:
        if entry.wake_ms == wake_ms:
            entry.wake_ms = None
            feed(simulation, entry, TimePassed())

    call_after(simulation.time, max(0.0, wake_ms - simulation.time.now_ms), wake)


def perform(simulation: Simulation, entry: ReplayEntry, action: Action) -> None:
    """Perform one action of an entry."""
    match action:
        case StartAttempt():
            start_attempt(simulation, entry, action)
        case CancelAttempt(attempt_id, server) | CancelOrphan(attempt_id, server):
            cancel_attempt(simulation, entry, attempt_id, server.name)
        case Answer(_waiter, request_id, outcome):
            return_outcome(simulation, request_id, outcome)
        case TicketNeeded(_waiter, request_id, ticket):
            index = int(request_id[1:])
            event = request_event(simulation, index, ticket)
            deliver_later(simulation, entry, 2 * CALLER_LATENCY_MS, event)
        case TicketRefused(_waiter, request_id, reason):
            return_outcome(simulation, request_id, not_run(reason))
        case SendToBackup():
            send_to_backup(simulation, entry, action)
        case ForwardToPrimary(forward_id):
            deliver_later(
                simulation, entry, action.timeout_ms, PrimarySilent(forward_id)
            )


def send_to_backup(
    simulation: Simulation, entry: ReplayEntry, action: SendToBackup
) -> None:
    """Send a message to the backup of a ticket and return its answer."""
    backup = simulation.by_address[action.backup.address]
    zones = (entry.state.zone, backup.state.zone)
    latency_ms = zone_latency_ms(*zones)

    def ask() -> None:
        if not can_reach(simulation, *zones):
            silent = BackupSilent(action.correlation_id, action.message)
            deliver_later(simulation, entry, action.timeout_ms, silent)
            return
        for reply in feed(simulation, backup, BackupAsked("", action.message)):
            if isinstance(reply, AnswerAsBackup):
                event = BackupAnswered(
                    action.correlation_id, action.message, reply.answer
                )
                deliver_later(simulation, entry, latency_ms, event)

    call_after(simulation.time, latency_ms, ask)


def start_attempt(
    simulation: Simulation, entry: ReplayEntry, action: StartAttempt
) -> None:
    """Connect to a server and send an attempt; connecting takes time and may fail."""
    key = (action.request_id, action.stage)
    simulation.attempts_sent[key] = simulation.attempts_sent.get(key, 0) + 1
    model = simulation.models[action.server.name]
    simulation.admitted_work_ms.get(model.server.pool, {}).pop(action.request_id, None)
    latency_ms = zone_latency_ms(entry.state.zone, action.server.zone)
    job = new_job(simulation, entry, model, action)
    if not can_reach(simulation, entry.state.zone, action.server.zone):
        reason = FailureReason.NOT_CONNECTED
        failed = AttemptFailed(action.attempt_id, reason, "partitioned", None, False)
        deliver_later(
            simulation, entry, min(CONNECT_TIMEOUT_MS, action.timeout_ms), failed
        )
        return
    model.in_transit[job.attempt_id] = job
    if not action.needs_permission:
        call_after(simulation.time, latency_ms, partial(receive, model, job))
        return

    def connect() -> None:
        if not model.is_up:
            receive(model, job)
            return
        permit = PermitWrite(job.attempt_id)
        if permit in feed(simulation, entry, ConnectionReady(job.attempt_id)):
            call_after(simulation.time, latency_ms, partial(receive, model, job))
        else:
            model.in_transit.pop(job.attempt_id, None)

    call_after(simulation.time, 2 * latency_ms, connect)


def new_job(
    simulation: Simulation, entry: ReplayEntry, model: ServerModel, action: StartAttempt
) -> Job:
    """Return the job of an attempt at a server."""
    request = simulation.trace.requests[int(action.request_id[1:])]
    zones = (entry.state.zone, model.server.zone)
    is_lost = False

    def reply(event: Event) -> None:
        nonlocal is_lost
        is_lost = is_lost or not can_reach(simulation, *zones)
        if not is_lost:
            deliver_later(simulation, entry, zone_latency_ms(*zones), event)

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
    simulation: Simulation, entry: ReplayEntry, attempt_id: str, server: str
) -> None:
    """Send a cancellation to a server."""
    model = simulation.models[server]
    model.in_transit.pop(attempt_id, None)
    if can_reach(simulation, entry.state.zone, model.server.zone):
        latency_ms = zone_latency_ms(entry.state.zone, model.server.zone)
        call_after(simulation.time, latency_ms, partial(cancel, model, attempt_id))
