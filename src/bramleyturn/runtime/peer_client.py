"""Send messages to other entry processes."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from twisted.internet.defer import Deferred

from bramleyturn.core.actions import ForwardToPrimary, SendToBackup
from bramleyturn.core.events import (
    BackupAnswered,
    BackupMessage,
    BackupSilent,
    Event,
    PrimaryAnswered,
    PrimarySilent,
)
from bramleyturn.core.model import PeerSettings
from bramleyturn.core.peer_message import (
    MessageKind,
    MessageRefused,
    PeerMessage,
    SenderWindows,
    check_answer,
    decode_message,
    encode_message,
    message_macs,
)
from bramleyturn.core.ticket_json import backup_message_document, parse_answer
from bramleyturn.core.ticket_messages import (
    InputDiffers,
    Intent,
    PrimaryFinished,
    PrimaryGone,
    PrimaryRunning,
    Revoke,
)
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import call_bytes, http_client

MAC_HEADER: Final = "Bramleyturn-Mac"
MESSAGE_PATH: Final = "/peer/v1/message"
STATUS_OK: Final = 200

Feed = Callable[[Event], None]


class Identity(NamedTuple):
    """Identify this process in messages to others."""

    me: ProcessRef
    name: str
    zone: str


class Traffic:
    """Count messages and reads by kind; bytes are those of bodies and MACs."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()


class PeerClient:
    """Hold the connections to other entry processes and the keys to sign with."""

    def __init__(
        self,
        reactor: Any,
        identity: Identity,
        settings: Callable[[], PeerSettings],
        revision: Callable[[], int],
    ) -> None:
        self.reactor = reactor
        self.identity = identity
        self.settings = settings
        self.revision = revision
        self.client = http_client(reactor)
        self.senders = SenderWindows()
        self.traffic = Traffic()
        self.next_sequence = 0


def new_message(
    peers: PeerClient, kind: MessageKind, body: Any, to: str, answers: int = 0
) -> PeerMessage:
    """Return a message from this process."""
    peers.next_sequence += 1
    return PeerMessage(
        sender=peers.identity.me,
        sender_name=peers.identity.name,
        sender_zone=peers.identity.zone,
        revision=peers.revision(),
        kind=kind,
        body=body,
        sequence=peers.next_sequence,
        to=to,
        answers=answers,
    )


def count_traffic(peers: PeerClient, kind: str, packed: bytes, macs: str) -> None:
    """Count one message that was sent or received."""
    peers.traffic.messages[kind] += 1
    peers.traffic.bytes[kind] += len(packed) + len(macs)


def message_keys(settings: PeerSettings) -> tuple[str, str]:
    """Return the current and the previous key, for signing and checking messages."""
    return settings.key, settings.previous_key


def count_read(traffic: Traffic, kind: str, size_bytes: int) -> None:
    """Count one answer to a read."""
    traffic.messages[kind] += 1
    traffic.bytes[kind] += size_bytes


async def send_message(
    peers: PeerClient,
    address: str,
    kind: MessageKind,
    body: Any,
    timeout_ms: int,
    to: str = "",
) -> PeerMessage | None:
    """Send a message and return the answer, None without a usable one.

    Without a key nothing is sent. An answer that does not belong to this message is
    refused and counted.
    """
    keys = message_keys(peers.settings())
    if not keys[0]:
        return None
    message = new_message(peers, kind, body, to)
    packed = encode_message(message)
    macs = message_macs(packed, keys)
    count_traffic(peers, f"sent_{kind}", packed, macs)
    answer = await call_bytes(
        peers.client,
        peers.reactor,
        "POST",
        f"http://{address}{MESSAGE_PATH}",
        body=packed,
        headers={MAC_HEADER: macs},
        timeout_ms=timeout_ms,
    )
    if isinstance(answer, CallFailed) or answer.status != STATUS_OK:
        return None
    macs = answer.headers.get(MAC_HEADER.lower(), "")
    count_traffic(peers, f"answered_{kind}", answer.content, macs)
    return usable_answer(peers, answer.content, macs, message)


def usable_answer(
    peers: PeerClient, packed: bytes, macs: str, asked: PeerMessage
) -> PeerMessage | None:
    """Return an answer if it is signed and belongs to ``asked``, else count it."""
    answer = decode_message(packed, macs, message_keys(peers.settings()))
    if isinstance(answer, MessageRefused):
        fault = answer.reason
    else:
        found = check_answer(answer, asked, peers.identity.me)
        if found is None:
            return answer
        fault = found
    peers.traffic.refused[f"answer_{fault}"] += 1
    return None


def send_to_backup(peers: PeerClient, action: SendToBackup, feed: Feed) -> None:
    """Send a message to the backup of a ticket and feed the result."""
    Deferred.fromCoroutine(ask_backup(peers, action, feed))


async def ask_backup(peers: PeerClient, action: SendToBackup, feed: Feed) -> None:
    """Send a message to the backup of a ticket and wait for its answer."""
    answer = await send_message(
        peers,
        action.backup.address,
        backup_kind(action.message),
        backup_message_document(action.message),
        action.timeout_ms,
    )
    parsed = parse_answer(answer.body) if answer is not None else None
    primary_answers = PrimaryRunning | PrimaryFinished | PrimaryGone | InputDiffers
    if parsed is None or isinstance(parsed, primary_answers):
        feed(BackupSilent(action.correlation_id, action.message))
        return
    feed(BackupAnswered(action.correlation_id, action.message, parsed))


def backup_kind(message: BackupMessage) -> MessageKind:
    """Return the kind of a message to a backup."""
    if isinstance(message, Intent):
        return MessageKind.INTENT
    if isinstance(message, Revoke):
        return MessageKind.REVOKE
    return MessageKind.OUTCOME


def forward_to_primary(peers: PeerClient, action: ForwardToPrimary, feed: Feed) -> None:
    """Forward a request to the primary of its ticket and feed the result."""
    Deferred.fromCoroutine(ask_primary(peers, action, feed))


async def ask_primary(peers: PeerClient, action: ForwardToPrimary, feed: Feed) -> None:
    """Forward a request to the primary of its ticket and wait for its answer."""
    answer = await send_message(
        peers,
        action.primary.address,
        MessageKind.RUN,
        forwarded_document(action),
        action.timeout_ms,
    )
    parsed = parse_answer(answer.body) if answer is not None else None
    match parsed:
        case PrimaryRunning() | PrimaryFinished() | PrimaryGone() | InputDiffers():
            feed(PrimaryAnswered(action.forward_id, parsed))
        case _:
            feed(PrimarySilent(action.forward_id))


def forwarded_document(action: ForwardToPrimary) -> dict[str, Any]:
    """Return the document of a request that is forwarded to its primary.

    ``forward_id`` links the timelines of the two processes.
    """
    return {**action.message._asdict(), "forward_id": action.forward_id}
