"""Decide, at the primary of a ticket, what may be dispatched.

A record is immutable; each event returns its successor. Only ``may_dispatch`` decides
whether a stage may be dispatched. Call it in the same turn of the event loop as the
write, and store the successor of ``record_dispatch`` in that turn.
"""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from bramleyturn.core.outcomes import (
    SEND_AGAIN_MS,
    Outcome,
    OutcomeKind,
    StageOutcome,
    not_run,
    unknown,
)
from bramleyturn.core.ticket_messages import (
    InputDiffers,
    IntendedStage,
    Intent,
    OutcomeCopy,
    PrimaryAnswer,
    PrimaryFinished,
    PrimaryGone,
    PrimaryRunning,
)
from bramleyturn.core.tickets import ProcessRef, Ticket


class StageState(StrEnum):
    """Name the state of a stage that may not be repeated."""

    WAITING = "waiting"
    ALLOWED = "allowed"
    REFUSED = "refused"
    DISPATCHED = "dispatched"
    ENDED = "ended"


class StageRecord(NamedTuple):
    """Hold the state of one stage that may not be repeated."""

    name: str
    state: StageState
    reason: str = ""
    outcome: StageOutcome | None = None


class TicketRecord(NamedTuple):
    """Hold everything the primary knows of one ticket.

    ``stages`` lists only stages that may not be repeated and that the request reached.
    """

    ticket: Ticket
    input_digest: str
    stages: tuple[StageRecord, ...] = ()
    outcome: Outcome | None = None


class StageRefusal(StrEnum):
    """Name why the primary does not run a stage."""

    EXPIRED = "ticket_expired"
    FINISHED = "request_finished"
    INTENT_TIMEOUT = "backup_timeout"
    BACKUP_GONE = "backup_gone"


def may_dispatch(
    record: TicketRecord, stage: str, incarnation: str, now_ms: int
) -> bool:
    """Return whether this process may send ``stage`` to a backend server now.

    No other rule permits a dispatch.
    """
    if record.ticket.primary.incarnation != incarnation:
        return False
    if now_ms >= record.ticket.expires_at_ms or record.outcome is not None:
        return False
    found = find_stage(record, stage)
    return found is not None and found.state is StageState.ALLOWED


def find_stage(record: TicketRecord, stage: str) -> StageRecord | None:
    """Return the record of ``stage``, None if the request has not reached it."""
    return next((found for found in record.stages if found.name == stage), None)


def ask_stage(record: TicketRecord, stage: str, now_ms: int) -> TicketRecord:
    """Return the record after the request reached ``stage``.

    The stage then waits for the backup, is allowed at once if the ticket names none,
    or is refused. A stage that was reached before stays unchanged.
    """
    if find_stage(record, stage) is not None:
        return record
    if record.outcome is not None:
        refused = StageRecord(stage, StageState.REFUSED, StageRefusal.FINISHED)
        return _with_stage(record, refused)
    if now_ms >= record.ticket.expires_at_ms:
        refused = StageRecord(stage, StageState.REFUSED, StageRefusal.EXPIRED)
        return _with_stage(record, refused)
    backed = record.ticket.backup is not None
    state = StageState.WAITING if backed else StageState.ALLOWED
    return _with_stage(record, StageRecord(stage, state))


def acknowledge_stage(
    record: TicketRecord, stage: str, backup_incarnation: str
) -> TicketRecord:
    """Return the record after the backup has recorded the intent.

    An acknowledgement after a refusal, or from another incarnation, is ignored.
    """
    backup = record.ticket.backup
    found = find_stage(record, stage)
    if found is None or found.state is not StageState.WAITING:
        return record
    if backup is None or backup.incarnation != backup_incarnation:
        return record
    return _with_stage(record, found._replace(state=StageState.ALLOWED))


def refuse_stage(record: TicketRecord, stage: str, reason: str) -> TicketRecord:
    """Return the record after ``stage`` was refused permanently.

    The reason is a refusal by the backup, a backup that is gone, a timeout, or an
    expiry between acknowledgement and write. A dispatched stage stays dispatched.
    """
    found = find_stage(record, stage) or StageRecord(stage, StageState.WAITING)
    if found.state not in (StageState.WAITING, StageState.ALLOWED):
        return record
    return _with_stage(record, found._replace(state=StageState.REFUSED, reason=reason))


def record_dispatch(record: TicketRecord, stage: str) -> TicketRecord:
    """Return the record to store just before the first byte of ``stage`` is written."""
    return _with_stage(record, StageRecord(stage, StageState.DISPATCHED))


def withdraw_dispatch(record: TicketRecord, stage: str) -> TicketRecord:
    """Return the record after a connection failed before any byte was written.

    The stage may then be dispatched on another connection.
    """
    found = find_stage(record, stage)
    if found is None or found.state is not StageState.DISPATCHED:
        return record
    return _with_stage(record, found._replace(state=StageState.ALLOWED))


def end_stage(record: TicketRecord, outcome: StageOutcome) -> TicketRecord:
    """Return the record after a dispatched stage ended with ``outcome``.

    The kind may be ``NOT_RUN`` only if the server itself reported that it started
    nothing.
    """
    found = find_stage(record, outcome.name)
    if found is None or found.state is not StageState.DISPATCHED:
        return record
    return _with_stage(record, found._replace(state=StageState.ENDED, outcome=outcome))


def finish(record: TicketRecord, outcome: Outcome) -> TicketRecord:
    """Return the record with its final outcome; later ones are ignored.

    An outcome that contradicts the record is corrected: ``NOT_RUN`` after a stage ran,
    or anything but ``UNKNOWN`` and ``ANSWERED`` while a stage has no known end.
    """
    if record.outcome is not None:
        return record
    kind = _corrected_kind(record, outcome.kind)
    listed = {stage.name for stage in outcome.stages}
    missing = tuple(
        _stage_outcome(stage) for stage in record.stages if stage.name not in listed
    )
    final = outcome._replace(kind=kind, stages=outcome.stages + missing)
    return record._replace(outcome=final)


def intent_message(record: TicketRecord, intended: IntendedStage) -> Intent | None:
    """Return the intent to send to the backup, None if the ticket names none."""
    ticket = record.ticket
    if ticket.backup is None:
        return None
    ended = tuple(stage.outcome for stage in record.stages if stage.outcome)
    return Intent(
        ticket.ref,
        ticket.backup.incarnation,
        ticket.lifetime_ms,
        record.input_digest,
        intended,
        ended,
    )


def copy_message(record: TicketRecord) -> OutcomeCopy | None:
    """Return the message that copies the final outcome to the backup, if any."""
    ticket = record.ticket
    if ticket.backup is None or record.outcome is None:
        return None
    return OutcomeCopy(
        ticket.ref,
        ticket.backup.incarnation,
        ticket.lifetime_ms,
        record.input_digest,
        record.outcome,
    )


def _with_stage(record: TicketRecord, stage: StageRecord) -> TicketRecord:
    others = tuple(found for found in record.stages if found.name != stage.name)
    return record._replace(stages=(*others, stage))


def _corrected_kind(record: TicketRecord, claimed: OutcomeKind) -> OutcomeKind:
    if claimed not in (OutcomeKind.NOT_RUN, OutcomeKind.FAILED):
        return claimed
    kinds = {_stage_outcome(stage).kind for stage in record.stages}
    if OutcomeKind.UNKNOWN in kinds:
        return OutcomeKind.UNKNOWN
    if claimed is OutcomeKind.NOT_RUN and kinds - {OutcomeKind.NOT_RUN}:
        return OutcomeKind.FAILED
    return claimed


def _stage_outcome(stage: StageRecord) -> StageOutcome:
    if stage.outcome is not None:
        return stage.outcome
    if stage.state is StageState.DISPATCHED:
        return StageOutcome(stage.name, OutcomeKind.UNKNOWN, 1, 0, 0)
    return StageOutcome(stage.name, OutcomeKind.NOT_RUN, 0, 0, 0)


class Started(NamedTuple):
    """State that this copy of the request is the first one and must be run."""

    record: TicketRecord


class Joined(NamedTuple):
    """State that the request is already running; wait for its outcome."""

    record: TicketRecord


class AlreadyFinished(NamedTuple):
    """Carry the outcome of a finished request."""

    outcome: Outcome


class TicketRefusal(StrEnum):
    """Name why a ticket starts nothing at this process."""

    EXPIRED = "ticket_expired"
    FORGOTTEN = "ticket_forgotten"
    NOT_PRIMARY = "not_primary"
    OTHER_INCARNATION = "other_incarnation"
    INPUT_DIFFERS = "input_differs"


class NotStarted(NamedTuple):
    """State why a ticket starts nothing, and the outcome of its request.

    ``outcome`` is None if another process has to be asked or the input differs.
    """

    reason: TicketRefusal
    outcome: Outcome | None


Received = Started | Joined | AlreadyFinished | NotStarted


class TicketPrimary:
    """Hold the tickets that this incarnation has issued.

    ``forgotten_through_ms`` is the latest expiry among forgotten records. A ticket
    without a record may have run if it expires no later than that.
    """

    def __init__(self, me: ProcessRef, max_issued: int) -> None:
        self.me = me
        self.max_issued = max_issued
        self.last_number = 0
        self.issued_until_ms: deque[int] = deque()
        self.records: dict[int, TicketRecord] = {}
        self.forgotten_through_ms = -1


class NotIssued(NamedTuple):
    """State that the primary has reached its limit of tickets."""

    retry_after_ms: int


def issue_ticket(
    primary: TicketPrimary,
    workspace: str,
    pipeline: str,
    backup: ProcessRef | None,
    now_ms: int,
    lifetime_ms: int,
    margin_ms: int,
) -> Ticket | NotIssued:
    """Return a new ticket of this process.

    The number of tickets that may still be in use is limited here, because a request
    that was refused on arrival, for lack of memory to record it, could run later.
    """
    issued = primary.issued_until_ms
    while issued and issued[0] <= now_ms:
        issued.popleft()
    if len(issued) >= primary.max_issued:
        return NotIssued(issued[0] - now_ms)
    primary.last_number += 1
    expires_at_ms = now_ms + lifetime_ms
    issued.append(expires_at_ms + margin_ms)
    return Ticket(
        primary.last_number,
        workspace,
        pipeline,
        primary.me,
        backup,
        expires_at_ms,
        lifetime_ms,
    )


def receive_ticket(
    primary: TicketPrimary, ticket: Ticket, input_digest: str, now_ms: int
) -> Received:
    """Return what to do with a copy of a request, and record the first one."""
    if ticket.primary.address != primary.me.address:
        return NotStarted(TicketRefusal.NOT_PRIMARY, None)
    if ticket.primary.incarnation != primary.me.incarnation:
        return NotStarted(TicketRefusal.OTHER_INCARNATION, None)
    record = primary.records.get(ticket.number)
    if record is not None:
        return _receive_copy(record, input_digest)
    if ticket.expires_at_ms <= primary.forgotten_through_ms:
        return NotStarted(TicketRefusal.FORGOTTEN, unknown(TicketRefusal.FORGOTTEN))
    if now_ms >= ticket.expires_at_ms:
        reason = TicketRefusal.EXPIRED
        return NotStarted(reason, not_run(reason, SEND_AGAIN_MS))
    record = TicketRecord(ticket, input_digest)
    primary.records[ticket.number] = record
    return Started(record)


def _receive_copy(record: TicketRecord, input_digest: str) -> Received:
    if record.input_digest != input_digest:
        return NotStarted(TicketRefusal.INPUT_DIFFERS, None)
    if record.outcome is not None:
        return AlreadyFinished(record.outcome)
    return Joined(record)


def answer_entry(received: Received, ask_again_ms: int) -> PrimaryAnswer:
    """Return the answer to an entry that forwarded a copy of a request."""
    if isinstance(received, Started | Joined):
        return PrimaryRunning(ask_again_ms)
    if received.outcome is not None:
        return PrimaryFinished(received.outcome)
    if received.reason is TicketRefusal.INPUT_DIFFERS:
        return InputDiffers()
    return PrimaryGone()


def store_record(primary: TicketPrimary, record: TicketRecord) -> None:
    """Replace the record of a ticket."""
    primary.records[record.ticket.number] = record


def forget_records(primary: TicketPrimary, now_ms: int, margin_ms: int) -> int:
    """Forget finished records past expiry and margin, and return how many."""
    due: list[Ticket] = []
    for record in primary.records.values():
        if record.outcome is None:
            continue
        if now_ms < record.ticket.expires_at_ms + margin_ms:
            break
        due.append(record.ticket)
    for ticket in due:
        del primary.records[ticket.number]
    latest_ms = max((ticket.expires_at_ms for ticket in due), default=-1)
    primary.forgotten_through_ms = max(primary.forgotten_through_ms, latest_ms)
    return len(due)
