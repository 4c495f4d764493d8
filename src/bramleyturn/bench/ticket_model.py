"""Enumerate the transitions of the state model of one ticket.

Every transition calls the core's own functions. Messages are never removed from the
network: each may be delivered at any time, repeatedly, in any order, or not at all. A
frozen process is one that takes no transition; its clock may stop meanwhile, and
another process may answer at its address before it resumes.

The caller may send any number of copies to any entry from the beginning. An entry
other than the primary only adds messages and answers its caller, and neither can be
undone. Its steps are therefore applied as soon as an answer can reach it: delaying or
losing the answer allows no further behaviour.
"""

from collections.abc import Iterator

from bramleyturn.bench.ticket_model_state import (
    DIGEST,
    MARGIN_MS,
    BackupState,
    Bounds,
    Forward,
    Message,
    ModelState,
    PrimaryState,
    Protocol,
    Transition,
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
    state: ModelState, bounds: Bounds, protocol: Protocol
) -> Iterator[Transition]:
    """Yield every transition that is possible from a state."""
    yield from _environment_steps(state, bounds)
    for primary in state.primaries:
        others = tuple(other for other in state.primaries if other != primary)
        reordered = state._replace(primaries=(primary, *others))
        yield from map(_sorted, _primary_steps(reordered, bounds, protocol))
    for backup in state.backups:
        rest = tuple(other for other in state.backups if other != backup)
        reordered = state._replace(backups=(backup, *rest))
        yield from map(_sorted, _backup_steps(reordered, bounds, protocol))


def _sorted(step: Transition) -> Transition:
    """Return the transition with processes in the order of their incarnations."""
    state = step.state._replace(
        primaries=tuple(sorted(step.state.primaries, key=_incarnation)),
        backups=tuple(sorted(step.state.backups, key=_incarnation)),
    )
    return step._replace(state=state)


def _incarnation(process: PrimaryState | BackupState) -> int:
    return process.incarnation


def _asking(bounds: Bounds, primary_gone: bool) -> asker.Asking:
    """Return the state of an entry that asks for the outcome.

    A restarted primary asks in the same way.
    """
    primary = ticket_of(bounds).primary
    me = primary if primary_gone else ProcessRef("entry", "0")
    return asker.start_asking(ticket_of(bounds), DIGEST, bounds.stages, me)


def _apply(name: str, state: ModelState, steps: list[asker.AskStep]) -> Transition:
    """Return the transition that results from the ``steps`` of entries."""
    outcomes: set[OutcomeKind] = set()
    messages = set(state.messages)
    for step in steps:
        if isinstance(step, asker.AskPrimary):
            messages.add(Forward(step.primary.address))
        if isinstance(step, asker.AskBackup):
            messages.add(step.message)
        if isinstance(step, asker.Verdict):
            outcomes.add(step.outcome.kind)
            state = _record_not_run(state, step.outcome)
    state = state._replace(messages=frozenset(messages))
    return Transition(name, state, frozenset(outcomes))


def _record_not_run(state: ModelState, outcome: Outcome) -> ModelState:
    reported = {
        stage.name for stage in outcome.stages if stage.kind is OutcomeKind.NOT_RUN
    }
    if outcome.kind is OutcomeKind.NOT_RUN:
        reported.add("")
    return state._replace(reported_not_run=state.reported_not_run | reported)


def _start_entries(state: ModelState, bounds: Bounds) -> Transition:
    """Return the first steps of all entries and their steps after a timeout."""
    asking = _asking(bounds, primary_gone=False)
    steps = [
        asker.resume_asking(asking),
        asker.on_primary_unreachable(asking)[1],
        asker.on_backup_unreachable(asking)[1],
    ]
    return _apply("caller sends", state, steps)


def _entry_receives_primary_answer(
    name: str, state: ModelState, bounds: Bounds, answer: PrimaryAnswer
) -> Transition:
    asking, step = asker.on_primary_answer(_asking(bounds, False), answer)
    return _apply(name, state, [step, asker.resume_asking(asking)])


def _entry_receives_backup_answer(
    name: str, state: ModelState, bounds: Bounds, answer: RevokeAnswer
) -> Transition:
    steps = [
        asker.on_backup_answer(_asking(bounds, primary_gone), answer)[1]
        for primary_gone in (False, True)
    ]
    return _apply(name, state, steps)


def _environment_steps(state: ModelState, bounds: Bounds) -> Iterator[Transition]:
    yield from _clock_steps(state, bounds)
    last_primary, last_backup = state.primaries[-1], state.backups[-1]
    if last_primary.incarnation < bounds.primary_restarts:
        primary = PrimaryState(
            last_primary.incarnation + 1, last_primary.now_ms, None, -1
        )
        all_primaries = (*state.primaries, primary)
        yield Transition("primary replaced", state._replace(primaries=all_primaries))
    if last_backup.incarnation < bounds.backup_restarts:
        backup = BackupState(last_backup.incarnation + 1, last_backup.now_ms, None, 0)
        all_backups = (*state.backups, backup)
        yield Transition("backup replaced", state._replace(backups=all_backups))
    if not state.messages:
        yield _start_entries(state, bounds)


def _clock_steps(state: ModelState, bounds: Bounds) -> Iterator[Transition]:
    primary_ticks = state.primary.now_ms < bounds.ticks
    backup_ticks = state.backup.now_ms < bounds.ticks
    primary_later = state._replace(
        primaries=tuple(p._replace(now_ms=p.now_ms + 1) for p in state.primaries)
    )
    all_backups = tuple(b._replace(now_ms=b.now_ms + 1) for b in state.backups)
    if primary_ticks and backup_ticks:
        yield Transition("time passes", primary_later._replace(backups=all_backups))
    if primary_ticks:
        yield Transition("time passes, backup's clock stopped", primary_later)
    if backup_ticks:
        later = state._replace(backups=all_backups)
        yield Transition("time passes, primary's clock stopped", later)


def _backup_steps(
    state: ModelState, bounds: Bounds, protocol: Protocol
) -> Iterator[Transition]:
    ticket = ticket_of(bounds)
    if ticket.backup is None:
        return
    for message in state.messages:
        if isinstance(message, Intent | Revoke | OutcomeCopy):
            yield _backup_receives(state, bounds, protocol, message)
    process = state.backup
    backup = _build_backup(process, ticket)
    if protocol.forget_backup_records(backup, process.now_ms):
        after = _save_backup(state, backup, ticket)
        yield Transition("backup forgets", after)


def _backup_receives(
    state: ModelState,
    bounds: Bounds,
    protocol: Protocol,
    message: Intent | Revoke | OutcomeCopy,
) -> Transition:
    name = f"backup receives {type(message).__name__}"
    ticket, process = ticket_of(bounds), state.backup
    backup = _build_backup(process, ticket)
    if isinstance(message, Revoke):
        answer = protocol.revoke(backup, message, process.now_ms)
        after = _save_backup(state, backup, ticket)
        return _entry_receives_backup_answer(name, after, bounds, answer)
    messages: frozenset[Message] = state.messages
    if isinstance(message, Intent):
        messages |= {protocol.record_intent(backup, message, process.now_ms)}
    else:
        backups.record_outcome(backup, message, process.now_ms)
    after = _save_backup(state, backup, ticket)
    return Transition(name, after._replace(messages=messages))


def _build_backup(process: BackupState, ticket: Ticket) -> TicketBackup:
    me = ProcessRef("backup", str(process.incarnation))
    backup = TicketBackup(me, max_records=8, max_primaries=16, margin_ms=MARGIN_MS)
    if process.record is not None:
        backup.records[ticket.ref] = process.record
    if process.forgotten:
        backup.forgotten[ticket.primary] = process.forgotten
    return backup


def _save_backup(state: ModelState, backup: TicketBackup, ticket: Ticket) -> ModelState:
    process = state.backup._replace(
        record=backup.records.get(ticket.ref),
        forgotten=backup.forgotten.get(ticket.primary, 0),
    )
    return state._replace(backups=(process, *state.backups[1:]))


def _primary_steps(
    state: ModelState, bounds: Bounds, protocol: Protocol
) -> Iterator[Transition]:
    for message in state.messages:
        if isinstance(message, Forward):
            yield _primary_receives(state, bounds, protocol)
    record = state.primary.record
    if record is not None and record.outcome is None:
        yield from _stage_steps(state, record, bounds, protocol)
    primary = _build_primary(state.primary)
    if protocol.forget_records(primary, state.primary.now_ms, MARGIN_MS):
        yield Transition("primary forgets", _save_primary(state, primary))


def _primary_receives(
    state: ModelState, bounds: Bounds, protocol: Protocol
) -> Transition:
    """Return the step in which the primary's process receives one copy."""
    primary = _build_primary(state.primary)
    received = protocol.receive_ticket(
        primary, ticket_of(bounds), DIGEST, state.primary.now_ms
    )
    after = _save_primary(state, primary)
    if isinstance(received, primaries.Started):
        after = _start_stages(after, received.record, bounds, protocol)
    answer = primaries.answer_entry(received, ask_again_ms=1)
    return _entry_receives_primary_answer(
        "primary receives a copy", after, bounds, answer
    )


def _build_primary(process: PrimaryState) -> TicketPrimary:
    me = ProcessRef("primary", str(process.incarnation))
    primary = TicketPrimary(me, max_issued=8)
    primary.forgotten_through_ms = process.forgotten_through_ms
    if process.record is not None:
        primary.records[process.record.ticket.number] = process.record
    return primary


def _save_primary(state: ModelState, primary: TicketPrimary) -> ModelState:
    record = next(iter(primary.records.values()), None)
    process = state.primary._replace(
        record=record, forgotten_through_ms=primary.forgotten_through_ms
    )
    return state._replace(primaries=(process, *state.primaries[1:]))


def _store(state: ModelState, record: TicketRecord, protocol: Protocol) -> ModelState:
    primary = _build_primary(state.primary)
    protocol.store_record(primary, record)
    return _save_primary(state, primary)


def _start_stages(
    state: ModelState, record: TicketRecord, bounds: Bounds, protocol: Protocol
) -> ModelState:
    first_stages = bounds.stages if bounds.parallel else bounds.stages[:1]
    for stage in first_stages:
        state = _ask_stage(state, record, stage, protocol)
        record = state.primary.record or record
    return state


def _ask_stage(
    state: ModelState, record: TicketRecord, stage: str, protocol: Protocol
) -> ModelState:
    record = primaries.ask_stage(record, stage, state.primary.now_ms)
    found = primaries.find_stage(record, stage)
    if found is not None and found.state is StageState.REFUSED:
        return _finish(state, record, not_run(found.reason), protocol).state
    intended = IntendedStage(stage, f"server-{stage}", stage)
    message = primaries.intent_message(record, intended)
    messages = state.messages | ({message} if message else set())
    return _store(state._replace(messages=messages), record, protocol)


def _finish(
    state: ModelState, record: TicketRecord, outcome: Outcome, protocol: Protocol
) -> Transition:
    """Return the step that ends the request and answers its waiting callers."""
    record = primaries.finish(record, outcome)
    message = primaries.copy_message(record)
    messages = state.messages | ({message} if message else set())
    state = _store(state._replace(messages=messages), record, protocol)
    final = record.outcome or outcome
    return Transition(
        "request ends", _record_not_run(state, final), frozenset({final.kind})
    )


def _stage_steps(
    state: ModelState, record: TicketRecord, bounds: Bounds, protocol: Protocol
) -> Iterator[Transition]:
    for stage in record.stages:
        yield from _answer_steps(state, record, stage.name, protocol)
        if stage.state in (StageState.WAITING, StageState.ALLOWED):
            yield _refuse(state, record, stage.name, "gave_up", protocol)
            yield from _dispatch(state, record, stage.name, bounds, protocol)
        if stage.state is StageState.DISPATCHED:
            yield _end_stage(state, record, stage.name, bounds, protocol)
            yield _finish(state, record, not_run("lost"), protocol)


def _answer_steps(
    state: ModelState, record: TicketRecord, stage: str, protocol: Protocol
) -> Iterator[Transition]:
    for message in state.messages:
        if isinstance(message, IntentAcknowledged) and message.stage == stage:
            allowed = protocol.acknowledge_stage(
                record, stage, message.backup_incarnation
            )
            yield Transition("primary allowed", _store(state, allowed, protocol))
        if isinstance(message, IntentRefused) and message.stage == stage:
            yield _refuse(state, record, stage, message.reason, protocol)
        if isinstance(message, BackupGone):
            yield _refuse(state, record, stage, "backup_gone", protocol)


def _refuse(
    state: ModelState, record: TicketRecord, stage: str, reason: str, protocol: Protocol
) -> Transition:
    refused = primaries.refuse_stage(record, stage, reason)
    if refused == record:
        return Transition("late refusal", state)
    return _finish(state, refused, not_run(reason), protocol)


def _dispatch(
    state: ModelState,
    record: TicketRecord,
    stage: str,
    bounds: Bounds,
    protocol: Protocol,
) -> Iterator[Transition]:
    incarnation, now_ms = str(state.primary.incarnation), state.primary.now_ms
    if not protocol.may_dispatch(record, stage, incarnation, now_ms):
        return
    index = bounds.stages.index(stage)
    runs = (*state.runs[:index], state.runs[index] + 1, *state.runs[index + 1 :])
    dispatched = primaries.record_dispatch(record, stage)
    after = _store(state._replace(runs=runs), dispatched, protocol)
    yield Transition(f"primary dispatches {stage}", after)


def _end_stage(
    state: ModelState,
    record: TicketRecord,
    stage: str,
    bounds: Bounds,
    protocol: Protocol,
) -> Transition:
    outcome = StageOutcome(stage, OutcomeKind.ANSWERED, 1, 0, 0)
    record = primaries.end_stage(record, outcome)
    asked = {found.name for found in record.stages}
    following = [name for name in bounds.stages if name not in asked]
    if following:
        after = _ask_stage(state, record, following[0], protocol)
        return Transition(f"{stage} ends", after)
    if any(found.outcome is None for found in record.stages):
        return Transition(f"{stage} ends", _store(state, record, protocol))
    return _finish(state, record, Outcome(OutcomeKind.ANSWERED, ""), protocol)
