"""Define the state of the ticket model: one ticket and the processes that use it."""

from collections.abc import Callable
from typing import Final, NamedTuple

from bramleyturn.core import ticket_backup as backups
from bramleyturn.core import ticket_primary as primaries
from bramleyturn.core.outcomes import OutcomeKind
from bramleyturn.core.ticket_backup import BackupRecord, TicketBackup
from bramleyturn.core.ticket_messages import (
    Intent,
    IntentAnswer,
    OutcomeCopy,
    Revoke,
    RevokeAnswer,
)
from bramleyturn.core.ticket_primary import TicketPrimary, TicketRecord
from bramleyturn.core.tickets import ProcessRef, Ticket

LIFETIME_MS: Final = 1
MARGIN_MS: Final = 1
DIGEST: Final = "input"


class Forward(NamedTuple):
    """Represent a request forwarded to the primary's address."""

    address: str


Message = Forward | Intent | IntentAnswer | Revoke | OutcomeCopy


class Protocol(NamedTuple):
    """Hold the protocol functions to check; a faulty variant replaces some of them."""

    receive_ticket: Callable[[TicketPrimary, Ticket, str, int], primaries.Received] = (
        primaries.receive_ticket
    )
    may_dispatch: Callable[[TicketRecord, str, str, int], bool] = primaries.may_dispatch
    acknowledge_stage: Callable[[TicketRecord, str, str], TicketRecord] = (
        primaries.acknowledge_stage
    )
    store_record: Callable[[TicketPrimary, TicketRecord], None] = primaries.store_record
    forget_records: Callable[[TicketPrimary, int, int], int] = primaries.forget_records
    record_intent: Callable[[TicketBackup, Intent, int], IntentAnswer] = (
        backups.record_intent
    )
    revoke: Callable[[TicketBackup, Revoke, int], RevokeAnswer] = backups.revoke
    forget_backup_records: Callable[[TicketBackup, int], int] = (
        backups.forget_backup_records
    )


class Bounds(NamedTuple):
    """Limit the search. Clocks stop at ``ticks``.

    The stages run in sequence, or all at once when ``parallel`` is true.
    """

    primary_restarts: int = 1
    backup_restarts: int = 1
    ticks: int = 3
    stages: tuple[str, ...] = ("order",)
    with_backup: bool = True
    parallel: bool = False


class PrimaryState(NamedTuple):
    """Hold the state of one process that runs, or ran, at the primary's address."""

    incarnation: int
    now_ms: int
    record: TicketRecord | None
    forgotten_through_ms: int


class BackupState(NamedTuple):
    """Hold the state of one process that runs, or ran, at the backup's address."""

    incarnation: int
    now_ms: int
    record: BackupRecord | None
    forgotten: int


class ModelState(NamedTuple):
    """Hold one state of the model.

    A replaced process stays in ``primaries`` or ``backups``: it may be dead, or
    frozen and resume later. The first one takes the next step. ``messages`` holds
    every message sent so far to the primary and the backup. ``runs`` counts the
    dispatches of each stage. ``reported_not_run`` names what callers were told did
    not run: a stage, or ``""`` for the whole request.
    """

    primaries: tuple[PrimaryState, ...]
    backups: tuple[BackupState, ...]
    messages: frozenset[Message]
    runs: tuple[int, ...]
    reported_not_run: frozenset[str]

    @property
    def primary(self) -> PrimaryState:
        """Return the process at the primary's address that takes the next step."""
        return self.primaries[0]

    @property
    def backup(self) -> BackupState:
        """Return the process at the backup's address that takes the next step."""
        return self.backups[0]


class Transition(NamedTuple):
    """Hold a step's name, the state after it and the outcomes that callers received."""

    name: str
    state: ModelState
    outcomes: frozenset[OutcomeKind] = frozenset()


def ticket_of(bounds: Bounds) -> Ticket:
    """Return the ticket of the model."""
    backup = ProcessRef("backup", "0") if bounds.with_backup else None
    primary = ProcessRef("primary", "0")
    return Ticket(1, "w", "p", primary, backup, LIFETIME_MS, LIFETIME_MS)


def initial_state(bounds: Bounds) -> ModelState:
    """Return the state just after the ticket was issued."""
    return ModelState(
        (PrimaryState(0, 0, None, -1),),
        (BackupState(0, 0, None, 0),),
        frozenset(),
        (0,) * len(bounds.stages),
        frozenset(),
    )


def repeated_run(state: ModelState, bounds: Bounds) -> str:
    """Return how at-most-once is violated, or an empty string."""
    if any(count > 1 for count in state.runs):
        return "a stage was dispatched twice"
    return ""


def false_not_run(state: ModelState, bounds: Bounds) -> str:
    """Return how a ``not_run`` outcome is false, or an empty string."""
    if "" in state.reported_not_run and any(state.runs):
        return "a request reported as not run was dispatched"
    for name, count in zip(bounds.stages, state.runs, strict=True):
        if count and name in state.reported_not_run:
            return "a stage reported as not run was dispatched"
    return ""


def violation(state: ModelState, bounds: Bounds) -> str:
    """Return the invariant that a state violates, or an empty string."""
    return repeated_run(state, bounds) or false_not_run(state, bounds)
