"""Follow a request whose ticket belongs to another entry process."""

from collections.abc import Callable
from typing import Final

from bramleyturn.core.actions import (
    Action,
    Answer,
    CancelOrphan,
    ForwardedRequest,
    ForwardToPrimary,
    SendToBackup,
    TicketRefused,
)
from bramleyturn.core.entry_state import EntryState, Forward, new_key
from bramleyturn.core.events import BackupAnswer, RequestArrived
from bramleyturn.core.model import Pipeline
from bramleyturn.core.ticket_asker import (
    AskBackup,
    Asking,
    AskLater,
    AskPrimary,
    AskStep,
    Verdict,
    give_up,
    on_backup_answer,
    on_backup_unreachable,
    on_primary_answer,
    on_primary_unreachable,
    resume_asking,
    start_asking,
)
from bramleyturn.core.ticket_backup import revoke
from bramleyturn.core.ticket_messages import (
    CopyKept,
    IntentAcknowledged,
    IntentRefused,
    PrimaryAnswer,
)
from bramleyturn.core.ticket_primary import TicketRefusal
from bramleyturn.core.tickets import Ticket
from bramleyturn.core.timeline import EventKind, record
from bramleyturn.core.timers import TimerKind, set_timer

PRIMARY_WAIT_MS: Final = 1_000
PRIMARY_TIMEOUT_MS: Final = 1_500
BACKUP_TIMEOUT_MS: Final = 1_000


def start_forward(
    state: EntryState,
    event: RequestArrived,
    ticket: Ticket,
    pipeline: Pipeline | None,
    digest: str,
    now_ms: int,
) -> list[Action]:
    """Send a request on to the primary of its ticket."""
    known = pipeline.stages if pipeline is not None else ()
    stages = tuple(stage.name for stage in known if not stage.repeatable)
    forward = Forward(
        forward_id=new_key(state),
        event=event,
        asking=start_asking(ticket, digest, stages, state.me),
        deadline_at_ms=now_ms + event.left_ms,
    )
    state.forwards[forward.forward_id] = forward
    set_timer(
        state.timers, forward.deadline_at_ms, TimerKind.FORWARD, forward.forward_id
    )
    record(
        state.timeline,
        EventKind.TICKET_FORWARDED,
        now_ms,
        request_id=event.request_id,
        detail=ticket.primary.address,
        cause=forward.forward_id,
    )
    return follow(state, forward, resume_asking(forward.asking), now_ms)


def follow(
    state: EntryState, forward: Forward, next_step: AskStep, now_ms: int
) -> list[Action]:
    """Carry out what the asking of a ticket's fate requires next."""
    match next_step:
        case AskPrimary(primary):
            message = forwarded_request(forward, now_ms)
            return [
                ForwardToPrimary(
                    forward.forward_id, primary, message, PRIMARY_TIMEOUT_MS
                )
            ]
        case AskBackup():
            return ask_backup(state, forward, next_step, now_ms)
        case AskLater(ask_again_ms):
            set_timer(
                state.timers,
                now_ms + ask_again_ms,
                TimerKind.FORWARD,
                forward.forward_id,
            )
            return []
        case Verdict():
            return end_forward(state, forward, next_step, now_ms)
    del state.forwards[forward.forward_id]
    event = forward.event
    return [TicketRefused(event.waiter, event.request_id, TicketRefusal.INPUT_DIFFERS)]


def forwarded_request(forward: Forward, now_ms: int) -> ForwardedRequest:
    """Return the request as the primary receives it."""
    event = forward.event
    return ForwardedRequest(
        workspace=event.workspace,
        pipeline=event.pipeline,
        request_id=event.request_id,
        input=event.input,
        input_bytes=event.input_bytes,
        left_ms=max(1, forward.deadline_at_ms - now_ms),
        ticket=event.ticket,
    )


def ask_backup(
    state: EntryState, forward: Forward, next_step: AskBackup, now_ms: int
) -> list[Action]:
    """Ask the backup to revoke the ticket, at once where it is this process."""
    record(
        state.timeline,
        EventKind.TICKET_REVOKED,
        now_ms,
        request_id=forward.event.request_id,
        detail=next_step.backup.address,
        cause=forward.forward_id,
    )
    if next_step.backup.address == state.me.address:
        answer = revoke(state.backup_tickets, next_step.message, now_ms)
        return revocation_answered(state, forward.forward_id, answer, now_ms)
    return [
        SendToBackup(
            forward.forward_id, next_step.backup, next_step.message, BACKUP_TIMEOUT_MS
        )
    ]


def end_forward(
    state: EntryState, forward: Forward, verdict: Verdict, now_ms: int
) -> list[Action]:
    """Give the caller the outcome and cancel work that nobody waits for any more."""
    del state.forwards[forward.forward_id]
    event = forward.event
    record(
        state.timeline,
        EventKind.REQUEST_ENDED,
        now_ms,
        request_id=event.request_id,
        detail=f"{verdict.outcome.kind}: {verdict.outcome.reason}",
        cause=forward.forward_id,
    )
    actions: list[Action] = [Answer(event.waiter, event.request_id, verdict.outcome)]
    for intended in verdict.cancel:
        server = state.configuration.servers.get(intended.server)
        if server is not None:
            actions.append(CancelOrphan(intended.attempt_id, server))
    return actions


def primary_answered(
    state: EntryState, forward_id: str, answer: PrimaryAnswer, now_ms: int
) -> list[Action]:
    """Take in the answer of a ticket's primary."""
    return advance(
        state,
        forward_id,
        lambda asking: on_primary_answer(asking, answer),
        now_ms,
    )


def primary_silent(state: EntryState, forward_id: str, now_ms: int) -> list[Action]:
    """Go on without the primary of a ticket."""
    return advance(state, forward_id, on_primary_unreachable, now_ms)


def revocation_answered(
    state: EntryState, forward_id: str, answer: BackupAnswer, now_ms: int
) -> list[Action]:
    """Take in what a ticket's backup answered to a revocation."""
    if isinstance(answer, IntentAcknowledged | IntentRefused | CopyKept):
        return revocation_unanswered(state, forward_id, now_ms)
    return advance(
        state, forward_id, lambda asking: on_backup_answer(asking, answer), now_ms
    )


def revocation_unanswered(
    state: EntryState, forward_id: str, now_ms: int
) -> list[Action]:
    """Go on without the backup of a ticket."""
    return advance(state, forward_id, on_backup_unreachable, now_ms)


def advance(
    state: EntryState,
    forward_id: str,
    learn: Callable[[Asking], tuple[Asking, AskStep]],
    now_ms: int,
) -> list[Action]:
    """Let a forward that still waits learn something, and follow what it leads to."""
    forward = state.forwards.get(forward_id)
    if forward is None:
        return []
    forward.asking, next_step = learn(forward.asking)
    return follow(state, forward, next_step, now_ms)


def forward_timer(state: EntryState, forward_id: str, now_ms: int) -> list[Action]:
    """Ask again, or give up when the caller's deadline has come."""
    forward = state.forwards.get(forward_id)
    if forward is None:
        return []
    if now_ms >= forward.deadline_at_ms:
        return end_forward(state, forward, give_up(forward.asking), now_ms)
    return follow(state, forward, resume_asking(forward.asking), now_ms)
