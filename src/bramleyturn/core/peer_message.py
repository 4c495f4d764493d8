"""Encode messages between entry processes and check who sent them."""

import hashlib
import hmac
from collections.abc import Sequence
from enum import StrEnum
from typing import Any, Final, NamedTuple

import orjson

from bramleyturn.core.tickets import ProcessRef

MAC_BYTES: Final = 16
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
    configuration that it has in force.
    """

    sender: ProcessRef
    sender_name: str
    sender_zone: str
    revision: int
    kind: MessageKind
    body: Any


class MessageFault(StrEnum):
    """Name why a message is refused."""

    BAD_MAC = "bad_mac"
    MALFORMED = "malformed"


class MessageRefused(NamedTuple):
    """Tell why a message is refused."""

    reason: MessageFault


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    return orjson.dumps(
        {
            "from": list(message.sender),
            "name": message.sender_name,
            "zone": message.sender_zone,
            "revision": message.revision,
            "kind": str(message.kind),
            "body": message.body,
        }
    )


def message_mac(packed: bytes, key: str) -> str:
    """Return the keyed MAC of a message as hexadecimal text."""
    key_digest = hashlib.blake2b(key.encode()).digest()
    return hashlib.blake2b(
        packed, digest_size=MAC_BYTES, key=key_digest, person=_PERSON
    ).hexdigest()


def decode_message(
    packed: bytes, mac: str, keys: Sequence[str]
) -> PeerMessage | MessageRefused:
    """Return a message that was signed with one of ``keys``.

    Members that this version does not know are ignored, so that a newer process can
    talk to an older one.
    """
    matches = [
        hmac.compare_digest(mac.encode(), message_mac(packed, key).encode())
        for key in keys
        if key
    ]
    if not any(matches):
        return MessageRefused(MessageFault.BAD_MAC)
    try:
        document = orjson.loads(packed)
        return PeerMessage(
            sender=ProcessRef(str(document["from"][0]), str(document["from"][1])),
            sender_name=str(document["name"]),
            sender_zone=str(document["zone"]),
            revision=int(document["revision"]),
            kind=MessageKind(document["kind"]),
            body=document["body"],
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, IndexError):
        return MessageRefused(MessageFault.MALFORMED)
