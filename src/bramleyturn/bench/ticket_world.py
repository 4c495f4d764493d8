"""Hold the state of the ticket model: one ticket and all who touch it."""

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
    """Forward the request to the primary's address."""

    address: str


Message = Forward | Intent | IntentAnswer | Revoke | OutcomeCopy


class Protocol(NamedTuple):
    """Hold the functions under check; a broken variant replaces some of them."""

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
    """Bound the search. A clock stops at ``ticks``.

    The stages run one after the other, or all at once when ``parallel``.
    """

    primary_restarts: int = 1
    backup_restarts: int = 1
    ticks: int = 3
    stages: tuple[str, ...] = ("order",)
    with_backup: bool = True
    parallel: bool = False


class PrimaryState(NamedTuple):
    """Hold one process that runs, or once ran, at the primary's address."""

    incarnation: int
    now_ms: int
    record: TicketRecord | None
    forgotten_through_ms: int


class BackupState(NamedTuple):
    """Hold one process that runs, or once ran, at the backup's address."""

    incarnation: int
    now_ms: int
    record: BackupRecord | None
    forgotten: int


class World(NamedTuple):
    """Hold one state of the whole.

    A process that was replaced stays in ``primaries`` or ``backups``: it may be
    dead, or frozen and still to wake. The first one takes the next step.
    ``messages`` are all that were ever sent to the primary and the backup. ``runs``
    counts dispatches of each stage. ``declared`` names what callers were told did
    not run: a stage, or ``""`` for the whole request.
    """

    primaries: tuple[PrimaryState, ...]
    backups: tuple[BackupState, ...]
    messages: frozenset[Message]
    runs: tuple[int, ...]
    declared: frozenset[str]

    @property
    def primary(self) -> PrimaryState:
        """Return the process at the primary's address that takes the next step."""
        return self.primaries[0]

    @property
    def backup(self) -> BackupState:
        """Return the process at the backup's address that takes the next step."""
        return self.backups[0]


class Transition(NamedTuple):
    """Name a step and the state after it; ``told`` are outcomes given to callers."""

    name: str
    world: World
    told: frozenset[OutcomeKind] = frozenset()


def ticket_of(bounds: Bounds) -> Ticket:
    """Return the one ticket of the model."""
    backup = ProcessRef("backup", "0") if bounds.with_backup else None
    primary = ProcessRef("primary", "0")
    return Ticket(1, "w", "p", primary, backup, LIFETIME_MS, LIFETIME_MS)


def first_world(bounds: Bounds) -> World:
    """Return the state after the ticket was issued."""
    return World(
        (PrimaryState(0, 0, None, -1),),
        (BackupState(0, 0, None, 0),),
        frozenset(),
        (0,) * len(bounds.stages),
        frozenset(),
    )


def repeated_run(world: World, bounds: Bounds) -> str:
    """Return how at-most-once is broken, or an empty text."""
    if any(count > 1 for count in world.runs):
        return "a stage was dispatched twice"
    return ""


def false_refusal(world: World, bounds: Bounds) -> str:
    """Return how a caller was told wrongly that work did not run, or an empty text."""
    if "" in world.declared and any(world.runs):
        return "a request declared as not run was dispatched"
    for name, count in zip(bounds.stages, world.runs, strict=True):
        if count and name in world.declared:
            return "a stage declared as not run was dispatched"
    return ""


def violation(world: World, bounds: Bounds) -> str:
    """Return which promise is broken, or an empty text."""
    return repeated_run(world, bounds) or false_refusal(world, bounds)
