"""Define what the holders of a ticket tell each other.

Every message to a backup names the incarnation it is meant for; a backup that has
restarted since answers ``BackupGone``.
"""

from enum import StrEnum
from typing import NamedTuple

from bramleyturn.core.outcomes import Outcome, StageOutcome
from bramleyturn.core.tickets import TicketRef


class IntendedStage(NamedTuple):
    """Tell where a stage that may not be repeated is about to run."""

    stage: str
    server: str
    attempt_id: str


class Intent(NamedTuple):
    """Ask the backup to record a stage before it runs (primary to backup).

    ``ended`` holds the outcomes of the stages that ran before it.
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
    """Tell that the stage must not run."""

    ticket: TicketRef
    backup_incarnation: str
    stage: str
    reason: RefusalReason


class BackupGone(NamedTuple):
    """Tell that the incarnation that was asked for no longer runs here."""

    backup_incarnation: str


class Revoke(NamedTuple):
    """Ask the backup to let the ticket start nothing any more (entry to backup).

    ``primary_gone`` tells that another incarnation answers in the primary's place;
    a run whose intent is recorded then starts no further stage.
    """

    ticket: TicketRef
    backup_incarnation: str
    lifetime_ms: int
    primary_gone: bool


class Revoked(NamedTuple):
    """Confirm that no stage ran or ever will."""

    ticket: TicketRef


class IntentsRecorded(NamedTuple):
    """Tell which stages may have run.

    ``closed`` tells that no further stage will start.
    """

    ticket: TicketRef
    input_digest: str
    intended: tuple[IntendedStage, ...]
    ended: tuple[StageOutcome, ...]
    closed: bool


class OutcomeCopied(NamedTuple):
    """Hand out the outcome that the primary copied."""

    ticket: TicketRef
    input_digest: str
    outcome: Outcome


class UnsureReason(StrEnum):
    """Name why a backup can't say whether the ticket ran."""

    FORGOTTEN = "forgotten"
    FULL = "backup_full"


class BackupUnsure(NamedTuple):
    """Tell that the backup neither knows of a run nor can rule one out."""

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
    """Tell whether the copied outcome is kept."""

    ticket: TicketRef
    kept: bool


class PrimaryRunning(NamedTuple):
    """Tell that the request is running, and when to ask again."""

    ask_again_ms: int


class PrimaryFinished(NamedTuple):
    """Hand out the final outcome of the request."""

    outcome: Outcome


class PrimaryGone(NamedTuple):
    """Tell that the incarnation that was asked for does not run here."""


class InputDiffers(NamedTuple):
    """Tell that the ticket was used with another input."""


IntentAnswer = IntentAcknowledged | IntentRefused | BackupGone
RevokeAnswer = Revoked | IntentsRecorded | OutcomeCopied | BackupUnsure | BackupGone
CopyAnswer = CopyKept | BackupGone
PrimaryAnswer = PrimaryRunning | PrimaryFinished | PrimaryGone | InputDiffers
