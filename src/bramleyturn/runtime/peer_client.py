"""Send messages to other entry processes."""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from twisted.internet.defer import Deferred

from bramleyturn.core.actions import TellBackup, TellPrimary
from bramleyturn.core.events import (
    BackupAnswered,
    BackupMessage,
    BackupSilent,
    Event,
    PeerSeen,
    PeerSilent,
    PrimaryAnswered,
    PrimarySilent,
)
from bramleyturn.core.model import PeerSettings
from bramleyturn.core.peer_message import (
    MessageKind,
    MessageRefused,
    PeerMessage,
    decode_message,
    encode_message,
    message_mac,
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
HELLO_TIMEOUT_MS: Final = 500
STATUS_OK: Final = 200

Feed = Callable[[Event], None]


class Identity(NamedTuple):
    """Describe this process to others."""

    me: ProcessRef
    name: str
    zone: str


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


def signed_message(peers: PeerClient, kind: MessageKind, body: Any) -> bytes:
    """Return the bytes of a message from this process."""
    return encode_message(
        PeerMessage(
            sender=peers.identity.me,
            sender_name=peers.identity.name,
            sender_zone=peers.identity.zone,
            revision=peers.revision(),
            kind=kind,
            body=body,
        )
    )


def message_keys(settings: PeerSettings) -> tuple[str, str]:
    """Return the keys that a message may be signed with."""
    return settings.key, settings.previous_key


async def tell(
    peers: PeerClient, address: str, kind: MessageKind, body: Any, timeout_ms: int
) -> PeerMessage | None:
    """Send a message and return the answer, None without a usable one."""
    packed = signed_message(peers, kind, body)
    key = peers.settings().key
    answer = await call_bytes(
        peers.client,
        peers.reactor,
        "POST",
        f"http://{address}{MESSAGE_PATH}",
        body=packed,
        headers={MAC_HEADER: message_mac(packed, key)},
        timeout_ms=timeout_ms,
    )
    if isinstance(answer, CallFailed) or answer.status != STATUS_OK:
        return None
    mac = answer.headers.get(MAC_HEADER.lower(), "")
    message = decode_message(answer.content, mac, message_keys(peers.settings()))
    return None if isinstance(message, MessageRefused) else message


def tell_backup(peers: PeerClient, action: TellBackup, feed: Feed) -> None:
    """Send a message to the backup of a ticket and feed what comes of it."""
    Deferred.fromCoroutine(ask_backup(peers, action, feed))


async def ask_backup(peers: PeerClient, action: TellBackup, feed: Feed) -> None:
    """Send a message to the backup of a ticket and wait for its answer."""
    answer = await tell(
        peers,
        action.backup.address,
        backup_kind(action.message),
        backup_message_document(action.message),
        action.timeout_ms,
    )
    parsed = parse_answer(answer.body) if answer is not None else None
    primary_answers = PrimaryRunning | PrimaryFinished | PrimaryGone | InputDiffers
    if parsed is None or isinstance(parsed, primary_answers):
        feed(BackupSilent(action.about, action.message))
        return
    feed(BackupAnswered(action.about, action.message, parsed))


def backup_kind(message: BackupMessage) -> MessageKind:
    """Return the kind of a message to a backup."""
    if isinstance(message, Intent):
        return MessageKind.INTENT
    if isinstance(message, Revoke):
        return MessageKind.REVOKE
    return MessageKind.OUTCOME


def tell_primary(peers: PeerClient, action: TellPrimary, feed: Feed) -> None:
    """Send a request on to the primary of its ticket and feed what comes of it."""
    Deferred.fromCoroutine(ask_primary(peers, action, feed))


async def ask_primary(peers: PeerClient, action: TellPrimary, feed: Feed) -> None:
    """Send a request on to the primary of its ticket and wait for its answer."""
    answer = await tell(
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


def forwarded_document(action: TellPrimary) -> dict[str, Any]:
    """Return the document of a request on its way to its primary.

    ``forward_id`` links the time lines of the two processes.
    """
    return {**action.message._asdict(), "forward_id": action.forward_id}


async def say_hello(peers: PeerClient, address: str, feed: Feed) -> None:
    """Ask a peer who it is and feed whether it answered."""
    answer = await tell(peers, address, MessageKind.HELLO, {}, HELLO_TIMEOUT_MS)
    if answer is None:
        feed(PeerSilent(address))
        return
    feed(
        PeerSeen(
            answer.sender_name, answer.sender_zone, address, answer.sender.incarnation
        )
    )
