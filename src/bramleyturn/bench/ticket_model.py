"""Let one ticket go through everything that can happen to it.

Every transition calls the core's own functions. Messages are never taken from the
network: each may be delivered at any time, again, in any order, or not at all. A
frozen process is one that takes no transition; its clock may stop meanwhile, and
another may answer in its place before it wakes.

The caller sends any number of copies to any entry from the start on. An entry that
is not the primary only ever adds messages and answers its caller, and nothing takes
these back. So its part is worked out as soon as an answer can reach it: to take it
later, or to lose it, allows nothing more.
"""

from collections.abc import Iterator

from bramleyturn.bench.ticket_world import (
    DIGEST,
    MARGIN_MS,
    BackupState,
    Bounds,
    Forward,
    Message,
    PrimaryState,
    Protocol,
    Transition,
    World,
    ticket_of,
)
from bramleyturn.core import ticket_asker as asker
from bramleyturn.core import ticket_backup as backups
from bramleyturn.core import ticket_primary as primaries
from bramleyturn.core.outcomes import Outcome, OutcomeKind, StageOutcome, not_run
from bramleyturn.core.ticket_backup import TicketBackup
from bramleyturn.core.ticket_messages import (
    BackupGone,
    IntendedStage,
    Intent,
    IntentAcknowledged,
    IntentRefused,
    OutcomeCopy,
    PrimaryAnswer,
    Revoke,
    RevokeAnswer,
)
from bramleyturn.core.ticket_primary import StageState, TicketPrimary, TicketRecord
from bramleyturn.core.tickets import ProcessRef, Ticket


def transitions(
    world: World, bounds: Bounds, protocol: Protocol
) -> Iterator[Transition]:
    """Yield every step that can follow."""
    yield from _environment_steps(world, bounds)
    for primary in world.primaries:
        others = tuple(other for other in world.primaries if other != primary)
        turned = world._replace(primaries=(primary, *others))
        yield from map(_sorted, _primary_steps(turned, bounds, protocol))
    for backup in world.backups:
        rest = tuple(other for other in world.backups if other != backup)
        turned = world._replace(backups=(backup, *rest))
        yield from map(_sorted, _backup_steps(turned, bounds, protocol))


def _sorted(step: Transition) -> Transition:
    """Return the transition with processes in the order of their incarnations."""
    world = step.world._replace(
        primaries=tuple(sorted(step.world.primaries, key=_incarnation)),
        backups=tuple(sorted(step.world.backups, key=_incarnation)),
    )
    return step._replace(world=world)


def _incarnation(process: PrimaryState | BackupState) -> int:
    return process.incarnation


def _asking(bounds: Bounds, primary_gone: bool) -> asker.Asking:
    """Return an entry that asks; a restarted primary asks in the same way."""
    primary = ticket_of(bounds).primary
    me = primary if primary_gone else ProcessRef("entry", "0")
    return asker.start_asking(ticket_of(bounds), DIGEST, bounds.stages, me)


def _apply(name: str, world: World, steps: list[asker.AskStep]) -> Transition:
    """Return the transition after entries took ``steps``."""
    told: set[OutcomeKind] = set()
    messages = set(world.messages)
    for step in steps:
        if isinstance(step, asker.AskPrimary):
            messages.add(Forward(step.primary.address))
        if isinstance(step, asker.AskBackup):
            messages.add(step.message)
        if isinstance(step, asker.Verdict):
            told.add(step.outcome.kind)
            world = _declare(world, step.outcome)
    world = world._replace(messages=frozenset(messages))
    return Transition(name, world, frozenset(told))


def _declare(world: World, outcome: Outcome) -> World:
    declared = {
        stage.name for stage in outcome.stages if stage.kind is OutcomeKind.NOT_RUN
    }
    if outcome.kind is OutcomeKind.NOT_RUN:
        declared.add("")
    return world._replace(declared=world.declared | declared)


def _entry_starts(world: World, bounds: Bounds) -> Transition:
    """Return the first steps of all entries, and what follows from silence."""
    asking = _asking(bounds, primary_gone=False)
    steps = [
        asker.resume_asking(asking),
        asker.on_primary_unreachable(asking)[1],
        asker.on_backup_unreachable(asking)[1],
    ]
    return _apply("caller sends", world, steps)


def _entry_hears_primary(
    name: str, world: World, bounds: Bounds, answer: PrimaryAnswer
) -> Transition:
    asking, step = asker.on_primary_answer(_asking(bounds, False), answer)
    return _apply(name, world, [step, asker.resume_asking(asking)])


def _entry_hears_backup(
    name: str, world: World, bounds: Bounds, answer: RevokeAnswer
) -> Transition:
    steps = [
        asker.on_backup_answer(_asking(bounds, primary_gone), answer)[1]
        for primary_gone in (False, True)
    ]
    return _apply(name, world, steps)


def _environment_steps(world: World, bounds: Bounds) -> Iterator[Transition]:
    yield from _clock_steps(world, bounds)
    last_primary, last_backup = world.primaries[-1], world.backups[-1]
    if last_primary.incarnation < bounds.primary_restarts:
        primary = PrimaryState(
            last_primary.incarnation + 1, last_primary.now_ms, None, -1
        )
        primaries_then = (*world.primaries, primary)
        yield Transition("primary replaced", world._replace(primaries=primaries_then))
    if last_backup.incarnation < bounds.backup_restarts:
        backup = BackupState(last_backup.incarnation + 1, last_backup.now_ms, None, 0)
        backups_then = (*world.backups, backup)
        yield Transition("backup replaced", world._replace(backups=backups_then))
    if not world.messages:
        yield _entry_starts(world, bounds)


def _clock_steps(world: World, bounds: Bounds) -> Iterator[Transition]:
    primary_ticks = world.primary.now_ms < bounds.ticks
    backup_ticks = world.backup.now_ms < bounds.ticks
    primary_later = world._replace(
        primaries=tuple(p._replace(now_ms=p.now_ms + 1) for p in world.primaries)
    )
    backups_then = tuple(b._replace(now_ms=b.now_ms + 1) for b in world.backups)
    if primary_ticks and backup_ticks:
        yield Transition("time passes", primary_later._replace(backups=backups_then))
    if primary_ticks:
        yield Transition("time passes, backup's clock stopped", primary_later)
    if backup_ticks:
        later = world._replace(backups=backups_then)
        yield Transition("time passes, primary's clock stopped", later)


def _backup_steps(
    world: World, bounds: Bounds, protocol: Protocol
) -> Iterator[Transition]:
    ticket = ticket_of(bounds)
    if ticket.backup is None:
        return
    for message in world.messages:
        if isinstance(message, Intent | Revoke | OutcomeCopy):
            yield _backup_gets(world, bounds, protocol, message)
    state = world.backup
    backup = _thaw_backup(state, ticket)
    if protocol.forget_backup_records(backup, state.now_ms):
        after = _with_backup(world, backup, ticket)
        yield Transition("backup forgets", after)


def _backup_gets(
    world: World,
    bounds: Bounds,
    protocol: Protocol,
    message: Intent | Revoke | OutcomeCopy,
) -> Transition:
    name = f"backup gets {type(message).__name__}"
    ticket, state = ticket_of(bounds), world.backup
    backup = _thaw_backup(state, ticket)
    if isinstance(message, Revoke):
        answer = protocol.revoke(backup, message, state.now_ms)
        after = _with_backup(world, backup, ticket)
        return _entry_hears_backup(name, after, bounds, answer)
    messages: frozenset[Message] = world.messages
    if isinstance(message, Intent):
        messages |= {protocol.record_intent(backup, message, state.now_ms)}
    else:
        backups.record_outcome(backup, message, state.now_ms)
    after = _with_backup(world, backup, ticket)
    return Transition(name, after._replace(messages=messages))


def _thaw_backup(state: BackupState, ticket: Ticket) -> TicketBackup:
    me = ProcessRef("backup", str(state.incarnation))
    backup = TicketBackup(me, max_records=8, max_primaries=16, margin_ms=MARGIN_MS)
    if state.record is not None:
        backup.records[ticket.ref] = state.record
    if state.forgotten:
        backup.forgotten[ticket.primary] = state.forgotten
    return backup


def _with_backup(world: World, backup: TicketBackup, ticket: Ticket) -> World:
    state = world.backup._replace(
        record=backup.records.get(ticket.ref),
        forgotten=backup.forgotten.get(ticket.primary, 0),
    )
    return world._replace(backups=(state, *world.backups[1:]))


def _primary_steps(
    world: World, bounds: Bounds, protocol: Protocol
) -> Iterator[Transition]:
    for message in world.messages:
        if isinstance(message, Forward):
            yield _primary_gets(world, bounds, protocol)
    record = world.primary.record
    if record is not None and record.outcome is None:
        yield from _stage_steps(world, record, bounds, protocol)
    primary = _thaw_primary(world.primary)
    if protocol.forget_records(primary, world.primary.now_ms, MARGIN_MS):
        yield Transition("primary forgets", _with_primary(world, primary))


def _primary_gets(world: World, bounds: Bounds, protocol: Protocol) -> Transition:
    """Return what the process at the primary's address does with one copy."""
    primary = _thaw_primary(world.primary)
    received = protocol.receive_ticket(
        primary, ticket_of(bounds), DIGEST, world.primary.now_ms
    )
    after = _with_primary(world, primary)
    if isinstance(received, primaries.Started):
        after = _start(after, received.record, bounds, protocol)
    answer = primaries.answer_entry(received, ask_again_ms=1)
    return _entry_hears_primary("primary gets a copy", after, bounds, answer)


def _thaw_primary(state: PrimaryState) -> TicketPrimary:
    me = ProcessRef("primary", str(state.incarnation))
    primary = TicketPrimary(me, max_issued=8)
    primary.forgotten_through_ms = state.forgotten_through_ms
    if state.record is not None:
        primary.records[state.record.ticket.number] = state.record
    return primary


def _with_primary(world: World, primary: TicketPrimary) -> World:
    record = next(iter(primary.records.values()), None)
    state = world.primary._replace(
        record=record, forgotten_through_ms=primary.forgotten_through_ms
    )
    return world._replace(primaries=(state, *world.primaries[1:]))


def _store(world: World, record: TicketRecord, protocol: Protocol) -> World:
    primary = _thaw_primary(world.primary)
    protocol.store_record(primary, record)
    return _with_primary(world, primary)


def _start(
    world: World, record: TicketRecord, bounds: Bounds, protocol: Protocol
) -> World:
    first_stages = bounds.stages if bounds.parallel else bounds.stages[:1]
    for stage in first_stages:
        world = _ask_stage(world, record, stage, protocol)
        record = world.primary.record or record
    return world


def _ask_stage(
    world: World, record: TicketRecord, stage: str, protocol: Protocol
) -> World:
    record = primaries.ask_stage(record, stage, world.primary.now_ms)
    found = primaries.find_stage(record, stage)
    if found is not None and found.state is StageState.REFUSED:
        return _finish(world, record, not_run(found.reason), protocol).world
    intended = IntendedStage(stage, f"server-{stage}", stage)
    message = primaries.intent_message(record, intended)
    messages = world.messages | ({message} if message else set())
    return _store(world._replace(messages=messages), record, protocol)


def _finish(
    world: World, record: TicketRecord, outcome: Outcome, protocol: Protocol
) -> Transition:
    """Return the end of the request; its waiting callers are told."""
    record = primaries.finish(record, outcome)
    message = primaries.copy_message(record)
    messages = world.messages | ({message} if message else set())
    world = _store(world._replace(messages=messages), record, protocol)
    final = record.outcome or outcome
    return Transition("request ends", _declare(world, final), frozenset({final.kind}))


def _stage_steps(
    world: World, record: TicketRecord, bounds: Bounds, protocol: Protocol
) -> Iterator[Transition]:
    for stage in record.stages:
        yield from _answer_steps(world, record, stage.name, protocol)
        if stage.state in (StageState.WAITING, StageState.ALLOWED):
            yield _refuse(world, record, stage.name, "gave_up", protocol)
            yield from _dispatch(world, record, stage.name, bounds, protocol)
        if stage.state is StageState.DISPATCHED:
            yield _end(world, record, stage.name, bounds, protocol)
            yield _finish(world, record, not_run("lost"), protocol)


def _answer_steps(
    world: World, record: TicketRecord, stage: str, protocol: Protocol
) -> Iterator[Transition]:
    for message in world.messages:
        if isinstance(message, IntentAcknowledged) and message.stage == stage:
            allowed = protocol.acknowledge_stage(
                record, stage, message.backup_incarnation
            )
            yield Transition("primary allowed", _store(world, allowed, protocol))
        if isinstance(message, IntentRefused) and message.stage == stage:
            yield _refuse(world, record, stage, message.reason, protocol)
        if isinstance(message, BackupGone):
            yield _refuse(world, record, stage, "backup_gone", protocol)


def _refuse(
    world: World, record: TicketRecord, stage: str, reason: str, protocol: Protocol
) -> Transition:
    refused = primaries.refuse_stage(record, stage, reason)
    if refused == record:
        return Transition("late refusal", world)
    return _finish(world, refused, not_run(reason), protocol)


def _dispatch(
    world: World, record: TicketRecord, stage: str, bounds: Bounds, protocol: Protocol
) -> Iterator[Transition]:
    incarnation, now_ms = str(world.primary.incarnation), world.primary.now_ms
    if not protocol.may_dispatch(record, stage, incarnation, now_ms):
        return
    index = bounds.stages.index(stage)
    runs = (*world.runs[:index], world.runs[index] + 1, *world.runs[index + 1 :])
    dispatched = primaries.record_dispatch(record, stage)
    after = _store(world._replace(runs=runs), dispatched, protocol)
    yield Transition(f"primary dispatches {stage}", after)


def _end(
    world: World, record: TicketRecord, stage: str, bounds: Bounds, protocol: Protocol
) -> Transition:
    outcome = StageOutcome(stage, OutcomeKind.ANSWERED, 1, 0, 0)
    record = primaries.end_stage(record, outcome)
    asked = {found.name for found in record.stages}
    following = [name for name in bounds.stages if name not in asked]
    if following:
        after = _ask_stage(world, record, following[0], protocol)
        return Transition(f"{stage} ends", after)
    if any(found.outcome is None for found in record.stages):
        return Transition(f"{stage} ends", _store(world, record, protocol))
    return _finish(world, record, Outcome(OutcomeKind.ANSWERED, ""), protocol)
