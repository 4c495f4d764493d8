"""Define the actions that an entry process asks its runtime to perform."""

from typing import Any, NamedTuple

from bramleyturn.core.events import BackupAnswer, BackupMessage
from bramleyturn.core.model import PoolKind, Server
from bramleyturn.core.outcomes import Outcome
from bramleyturn.core.ticket_messages import PrimaryAnswer
from bramleyturn.core.tickets import ProcessRef


class StartAttempt(NamedTuple):
    """Send one stage of a request to a backend server.

    If ``needs_permission`` is true, the runtime connects first, reports
    ``ConnectionReady`` and writes only if the actions returned for that event include
    ``PermitWrite``.
    """

    attempt_id: str
    request_id: str
    stage: str
    server: Server
    kind: PoolKind
    model: str
    input: Any
    max_output_tokens: int
    resume_offset: int
    idempotency_key: str
    timeout_ms: int
    needs_permission: bool


class PermitWrite(NamedTuple):
    """Allow an attempt that may not be repeated to write to its connection now."""

    attempt_id: str


class CancelAttempt(NamedTuple):
    """Stop an attempt, at the backend server too, and ignore what it still sends."""

    attempt_id: str
    server: Server


class CancelOrphan(NamedTuple):
    """Cancel an attempt that was left running by an entry process that died."""

    attempt_id: str
    server: Server


class ProbeServer(NamedTuple):
    """Check whether a backend server is alive and report ``ServerAlive`` if it is.

    Sent after a connection to it was lost: a server that only closed the connection
    has not crashed.
    """

    server: Server


class Answer(NamedTuple):
    """Give a waiting caller the outcome of its request."""

    waiter: str
    request_id: str
    outcome: Outcome


class TicketNeeded(NamedTuple):
    """Tell a waiting caller that its request needs a ticket, and offer one."""

    waiter: str
    request_id: str
    ticket: str
    expires_in_ms: int


class TicketRefused(NamedTuple):
    """Tell a waiting caller that its ticket is not valid for its request."""

    waiter: str
    request_id: str
    reason: str


class ForwardAnswer(NamedTuple):
    """Answer another entry process that forwarded a request with its ticket."""

    waiter: str
    request_id: str
    answer: PrimaryAnswer


class AnswerAsBackup(NamedTuple):
    """Answer another entry process that asked this one as the backup of a ticket."""

    reply_to: str
    answer: BackupAnswer


class ForwardedRequest(NamedTuple):
    """Hold a request that is forwarded to the primary of its ticket."""

    workspace: str
    pipeline: str
    request_id: str
    input: Any
    input_bytes: int
    left_ms: int
    ticket: str


class SendToBackup(NamedTuple):
    """Send a message to the backup of a ticket and report its answer.

    ``correlation_id`` is the request or forward on whose behalf it is sent.
    """

    correlation_id: str
    backup: ProcessRef
    message: BackupMessage
    timeout_ms: int


class ForwardToPrimary(NamedTuple):
    """Forward a request with its ticket to its primary and report the answer."""

    forward_id: str
    primary: ProcessRef
    message: ForwardedRequest
    timeout_ms: int


class GossipNow(NamedTuple):
    """Send gossip to a few peers at once, before the next periodic exchange."""


Action = (
    StartAttempt
    | PermitWrite
    | ForwardAnswer
    | AnswerAsBackup
    | CancelOrphan
    | ProbeServer
    | CancelAttempt
    | Answer
    | TicketNeeded
    | TicketRefused
    | SendToBackup
    | ForwardToPrimary
    | GossipNow
)
