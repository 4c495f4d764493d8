"""Define the messages about tickets between the primary, the backup and other entries.

Every message to a backup names the incarnation that it is addressed to; a backup that
has restarted since answers ``BackupGone``.
"""

from enum import StrEnum
from typing import NamedTuple

from bramleyturn.core.outcomes import Outcome, StageOutcome
from bramleyturn.core.tickets import TicketRef


class IntendedStage(NamedTuple):
    """State where a stage that may not be repeated is about to run."""

    stage: str
    server: str
    attempt_id: str


class Intent(NamedTuple):
    """Ask the backup to record a stage before it runs (primary to backup).

    ``ended`` holds the outcomes of the stages that ended before.
    """

    ticket: TicketRef
    backup_incarnation: str
    lifetime_ms: int
    input_digest: str
    intended: IntendedStage
    ended: tuple[StageOutcome, ...] = ()


class IntentAcknowledged(NamedTuple):
    """Confirm that the intent is recorded."""

    ticket: TicketRef
    backup_incarnation: str
    stage: str


class RefusalReason(StrEnum):
    """Name why a backup does not record an intent."""

    REVOKED = "revoked"
    FORGOTTEN = "forgotten"
    FULL = "backup_full"


class IntentRefused(NamedTuple):
    """State that the stage must not run."""

    ticket: TicketRef
    backup_incarnation: str
    stage: str
    reason: RefusalReason


class BackupGone(NamedTuple):
    """State that the addressed incarnation of the backup does not run here any more."""

    backup_incarnation: str


class Revoke(NamedTuple):
    """Ask the backup to revoke a ticket (entry to backup).

    A ticket with a recorded intent is not revoked. ``primary_gone`` states that
    another incarnation answers at the primary's address; a request with a recorded
    intent then starts no further stage.
    """

    ticket: TicketRef
    backup_incarnation: str
    lifetime_ms: int
    primary_gone: bool


class Revoked(NamedTuple):
    """Confirm that no stage has run or will run."""

    ticket: TicketRef


class IntentsRecorded(NamedTuple):
    """State which stages may have run.

    ``closed`` states that no further stage will start.
    """

    ticket: TicketRef
    input_digest: str
    intended: tuple[IntendedStage, ...]
    ended: tuple[StageOutcome, ...]
    closed: bool


class OutcomeCopied(NamedTuple):
    """Carry the outcome that the primary copied to the backup."""

    ticket: TicketRef
    input_digest: str
    outcome: Outcome


class UnsureReason(StrEnum):
    """Name why a backup can't say whether the ticket ran."""

    FORGOTTEN = "forgotten"
    FULL = "backup_full"


class BackupUnsure(NamedTuple):
    """State that the backup can neither confirm nor rule out that a stage ran."""

    ticket: TicketRef
    reason: UnsureReason


class OutcomeCopy(NamedTuple):
    """Copy a final outcome to the backup (primary to backup)."""

    ticket: TicketRef
    backup_incarnation: str
    lifetime_ms: int
    input_digest: str
    outcome: Outcome


class CopyKept(NamedTuple):
    """State whether the copied outcome is kept."""

    ticket: TicketRef
    kept: bool


class PrimaryRunning(NamedTuple):
    """State that the request is running, and when to ask again."""

    ask_again_ms: int


class PrimaryFinished(NamedTuple):
    """Carry the final outcome of the request."""

    outcome: Outcome


class PrimaryGone(NamedTuple):
    """State that the addressed incarnation of the primary does not run here."""


class InputDiffers(NamedTuple):
    """State that the ticket was used with another input."""


IntentAnswer = IntentAcknowledged | IntentRefused | BackupGone
RevokeAnswer = Revoked | IntentsRecorded | OutcomeCopied | BackupUnsure | BackupGone
CopyAnswer = CopyKept | BackupGone
PrimaryAnswer = PrimaryRunning | PrimaryFinished | PrimaryGone | InputDiffers
