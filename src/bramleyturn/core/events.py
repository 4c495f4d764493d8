"""Define the events that an entry process handles."""

from enum import StrEnum
from typing import Any, NamedTuple

from bramleyturn.core.model import Configuration
from bramleyturn.core.routing import LoadReport
from bramleyturn.core.ticket_messages import (
    CopyAnswer,
    Intent,
    IntentAnswer,
    OutcomeCopy,
    PrimaryAnswer,
    Revoke,
    RevokeAnswer,
)

BackupMessage = Intent | Revoke | OutcomeCopy
BackupAnswer = IntentAnswer | RevokeAnswer | CopyAnswer


class RequestArrived(NamedTuple):
    """A caller sent a well-formed request.

    ``waiter`` names the connection that waits for the outcome. ``left_ms`` is the
    time until the caller's deadline. ``is_forwarded`` is whether another entry
    process sent it on to the primary of its ticket.
    """

    waiter: str
    workspace: str
    pipeline: str
    request_id: str
    input: Any
    input_bytes: int
    left_ms: int
    ticket: str
    is_forwarded: bool = False


class WaiterGone(NamedTuple):
    """The connection of a waiting caller closed."""

    waiter: str


class TokensArrived(NamedTuple):
    """A model engine sent the next part of its stream."""

    attempt_id: str
    echoed_id: str
    offset: int
    tokens: tuple[str, ...]


class StreamEnded(NamedTuple):
    """A model engine sent its end mark with the number of tokens in the answer."""

    attempt_id: str
    echoed_id: str
    total: int


class OutputArrived(NamedTuple):
    """A backend server other than an engine sent its complete answer."""

    attempt_id: str
    echoed_id: str
    output: Any
    tokens: int


class FailureReason(StrEnum):
    """Name how an attempt ended without a complete answer."""

    NOT_CONNECTED = "not_connected"
    NOT_STARTED = "not_started"
    RESUME_REFUSED = "resume_refused"
    ERROR_ANSWER = "error_answer"
    LOST = "lost"
    CUT = "cut"
    WRONG_ANSWER = "wrong_answer"
    TIMED_OUT = "timed_out"


class AttemptFailed(NamedTuple):
    """An attempt ended without a complete answer.

    ``leaving`` is true if the backend server said that it is leaving.
    """

    attempt_id: str
    reason: FailureReason
    detail: str
    retry_after_ms: int | None
    leaving: bool


class ServerAlive(NamedTuple):
    """A backend server answered a probe."""

    server: str


class ConnectionReady(NamedTuple):
    """An attempt that may not be repeated has a connection and is about to write."""

    attempt_id: str


class TimePassed(NamedTuple):
    """The time returned by ``next_wake_ms`` has come."""


class ConfigurationAccepted(NamedTuple):
    """A newer revision has been checked and is in force."""

    configuration: Configuration


class LoadReportArrived(NamedTuple):
    """A backend server reported its load."""

    report: LoadReport


class LoadReportMissing(NamedTuple):
    """A backend server gave no load report when it was asked."""

    server: str


class ProcessPaused(NamedTuple):
    """The process was paused for so long that its state may be out of date."""


class ListedServer(NamedTuple):
    """One backend server on the platform's list."""

    name: str
    leaving: bool


class ServersListed(NamedTuple):
    """The platform's list of backend servers arrived, ``age_ms`` old."""

    servers: tuple[ListedServer, ...]
    age_ms: int


class ListedEntry(NamedTuple):
    """One entry process on the platform's list."""

    name: str
    zone: str
    address: str
    leaving: bool


class PeersListed(NamedTuple):
    """The platform's list of entry processes arrived."""

    entries: tuple[ListedEntry, ...]


class PeerSeen(NamedTuple):
    """Another entry process sent a signed message meant for this very process.

    ``revision`` is the configuration that it has in force. ``body`` is the content of
    a gossip message, None for any other message.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    revision: int = 0
    body: Any = None


class PeerIntroduced(NamedTuple):
    """An entry process that does not know this one's incarnation sent a message."""

    name: str
    zone: str
    address: str


class PeerSilent(NamedTuple):
    """Another entry process did not answer."""

    address: str


class BackupAnswered(NamedTuple):
    """The backup of a ticket answered a message.

    ``correlation_id`` is the request or forward on whose behalf the message was sent.
    """

    correlation_id: str
    message: BackupMessage
    answer: BackupAnswer


class BackupSilent(NamedTuple):
    """The backup of a ticket could not be reached or answered too late."""

    correlation_id: str
    message: BackupMessage


class BackupAsked(NamedTuple):
    """Another entry process sent a message to this one as the backup of a ticket."""

    reply_to: str
    message: BackupMessage


class PrimaryAnswered(NamedTuple):
    """The primary of a ticket answered a forwarded request."""

    forward_id: str
    answer: PrimaryAnswer


class PrimarySilent(NamedTuple):
    """The primary of a ticket could not be reached or answered too late."""

    forward_id: str


class DrainOrdered(NamedTuple):
    """The process must drain: finish what runs and accept nothing new."""


Event = (
    RequestArrived
    | WaiterGone
    | TokensArrived
    | StreamEnded
    | OutputArrived
    | AttemptFailed
    | ConnectionReady
    | ServerAlive
    | TimePassed
    | ConfigurationAccepted
    | LoadReportArrived
    | LoadReportMissing
    | ProcessPaused
    | ServersListed
    | PeersListed
    | PeerSeen
    | PeerIntroduced
    | PeerSilent
    | BackupAnswered
    | BackupSilent
    | BackupAsked
    | PrimaryAnswered
    | PrimarySilent
    | DrainOrdered
)
