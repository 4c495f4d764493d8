"""Encode messages between entry processes and authenticate them.

A message is signed with every key in force, so that during a key rotation a process
accepts it that knows only the older or only the newer key. Each message carries a
sequence number that counts up within its sender's incarnation, and a receiver
accepts each number once.
"""

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Sequence
from enum import StrEnum
from typing import Any, Final, NamedTuple

import orjson

from bramleyturn.core.tickets import ProcessRef

MAC_BYTES: Final = 16
MAC_SEPARATOR: Final = ","
MAX_MACS: Final = 4
REPLAY_WINDOW_MESSAGES: Final = 1_024
MAX_SENDERS: Final = 2_048
_PERSON: Final = b"peer"


class MessageKind(StrEnum):
    """Name what a message asks for."""

    HELLO = "hello"
    RUN = "run"
    INTENT = "intent"
    REVOKE = "revoke"
    OUTCOME = "outcome"
    LOOKUP = "lookup"
    KEEP = "keep"


class PeerMessage(NamedTuple):
    """Hold one message between entry processes.

    ``sender_name`` and ``sender_zone`` describe the sender, ``revision`` is the
    configuration that it has in force. ``to`` is the incarnation that the message is
    addressed to, empty if the sender does not know it. ``answers`` is the sequence
    number of the message that this one answers, zero for none.
    """

    sender: ProcessRef
    sender_name: str
    sender_zone: str
    revision: int
    kind: MessageKind
    body: Any
    sequence: int = 0
    to: str = ""
    answers: int = 0


class MessageFault(StrEnum):
    """Name why a message is refused."""

    BAD_MAC = "bad_mac"
    MALFORMED = "malformed"
    REPLAYED = "replayed"
    OTHER_INCARNATION = "other_incarnation"


class MessageRefused(NamedTuple):
    """State why a message is refused."""

    reason: MessageFault


class SequenceWindow:
    """Hold which sequence numbers of one sender were accepted.

    Bit ``n`` of ``taken`` is set if the number ``highest - n`` was accepted.
    """

    __slots__ = ("highest", "taken")

    def __init__(self) -> None:
        self.highest = 0
        self.taken = 0


class SenderWindows:
    """Hold a window for each recently heard incarnation, the latest one last."""

    def __init__(self) -> None:
        self.windows: OrderedDict[ProcessRef, SequenceWindow] = OrderedDict()


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    return orjson.dumps(
        {
            "from": list(message.sender),
            "name": message.sender_name,
            "zone": message.sender_zone,
            "revision": message.revision,
            "kind": str(message.kind),
            "sequence": message.sequence,
            "to": message.to,
            "answers": message.answers,
            "body": message.body,
        }
    )


def message_mac(packed: bytes, key: str) -> str:
    """Return the keyed MAC of a message as hexadecimal text."""
    key_digest = hashlib.blake2b(key.encode()).digest()
    return hashlib.blake2b(
        packed, digest_size=MAC_BYTES, key=key_digest, person=_PERSON
    ).hexdigest()


def message_macs(packed: bytes, keys: Sequence[str]) -> str:
    """Return the MAC of a message by each key that is set, as a header value."""
    return MAC_SEPARATOR.join(message_mac(packed, key) for key in keys if key)


def decode_message(
    packed: bytes, macs: str, keys: Sequence[str]
) -> PeerMessage | MessageRefused:
    """Return a message that was signed with one of ``keys``.

    Unknown members are ignored, so that newer processes can talk to older ones.
    """
    given = [mac.strip().encode() for mac in macs.split(MAC_SEPARATOR)[:MAX_MACS]]
    matches = [
        hmac.compare_digest(mac, message_mac(packed, key).encode())
        for key in keys
        if key
        for mac in given
    ]
    if not any(matches):
        return MessageRefused(MessageFault.BAD_MAC)
    try:
        document = orjson.loads(packed)
        return PeerMessage(
            sender=_process(document["from"]),
            sender_name=_text(document["name"]),
            sender_zone=_text(document["zone"]),
            revision=_number(document["revision"]),
            kind=MessageKind(_text(document["kind"])),
            body=document["body"],
            sequence=_number(document["sequence"]),
            to=_text(document["to"]),
            answers=_number(document["answers"]),
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, IndexError):
        return MessageRefused(MessageFault.MALFORMED)


def check_fresh(
    senders: SenderWindows, message: PeerMessage, me: ProcessRef
) -> MessageFault | None:
    """Return why a signed message must be refused, None if it is accepted.

    Each sequence number is accepted once. Numbers may arrive out of order, unless
    they are ``REPLAY_WINDOW_MESSAGES`` or more below the highest one.
    """
    if message.to and message.to != me.incarnation:
        return MessageFault.OTHER_INCARNATION
    window = senders.windows.get(message.sender)
    if window is None:
        window = senders.windows[message.sender] = SequenceWindow()
        if len(senders.windows) > MAX_SENDERS:
            senders.windows.popitem(last=False)
    senders.windows.move_to_end(message.sender)
    if _accept_sequence(window, message.sequence):
        return None
    return MessageFault.REPLAYED


def check_answer(
    answer: PeerMessage, asked: PeerMessage, me: ProcessRef
) -> MessageFault | None:
    """Return why a signed message is no answer to ``asked``, None if it is one."""
    if answer.to != me.incarnation:
        return MessageFault.OTHER_INCARNATION
    if asked.to and answer.sender.incarnation != asked.to:
        return MessageFault.OTHER_INCARNATION
    return None if answer.answers == asked.sequence else MessageFault.REPLAYED


def _accept_sequence(window: SequenceWindow, sequence: int) -> bool:
    if sequence < 1 or sequence <= window.highest - REPLAY_WINDOW_MESSAGES:
        return False
    if sequence > window.highest:
        ahead = min(sequence - window.highest, REPLAY_WINDOW_MESSAGES)
        window.taken = (window.taken << ahead) & ((1 << REPLAY_WINDOW_MESSAGES) - 1)
        window.highest = sequence
    bit = 1 << (window.highest - sequence)
    if window.taken & bit:
        return False
    window.taken |= bit
    return True


def _process(value: Any) -> ProcessRef:
    if not isinstance(value, list):
        raise TypeError
    return ProcessRef(_text(value[0]), _text(value[1]))


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError
    return value


def _number(value: Any) -> int:
    if type(value) is not int:
        raise TypeError
    return value
