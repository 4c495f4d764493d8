"""Encode and check tickets, each the right to run one request at most once."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from enum import StrEnum
from typing import Any, Final, NamedTuple

import orjson

MAX_TICKET_CHARS: Final = 2048
MAC_BYTES: Final = 16
FORMAT_VERSION: Final = 1
MAX_INTEGER: Final = 2**53
_PERSON: Final = b"ticket"


class ProcessRef(NamedTuple):
    """Identify one incarnation of a process; a restart gets another one."""

    address: str
    incarnation: str


class TicketRef(NamedTuple):
    """Identify a ticket: ``number`` counts up within the primary's incarnation."""

    primary: ProcessRef
    number: int


class Ticket(NamedTuple):
    """Grant one process, the primary, the right to run one request once.

    ``expires_at_ms`` is on the primary's monotonic clock and has no meaning anywhere
    else. ``lifetime_ms`` tells other processes how long to keep their records.
    """

    number: int
    workspace: str
    pipeline: str
    primary: ProcessRef
    backup: ProcessRef | None
    expires_at_ms: int
    lifetime_ms: int

    @property
    def ref(self) -> TicketRef:
        """Return the identity of the ticket."""
        return TicketRef(self.primary, self.number)


class TicketFault(StrEnum):
    """Name why the text of a ticket is rejected."""

    TOO_LONG = "too_long"
    MALFORMED = "malformed"
    BAD_MAC = "bad_mac"
    OTHER_WORKSPACE = "other_workspace"
    OTHER_PIPELINE = "other_pipeline"


class TicketRejected(NamedTuple):
    """State why a text is no ticket for this request.

    It does not state whether the request ran.
    """

    reason: TicketFault


def encode_ticket(ticket: Ticket, key: str) -> str:
    """Return ``ticket`` as URL-safe text with a keyed MAC.

    Raises ``ValueError`` if its names make it longer than ``MAX_TICKET_CHARS``.
    """
    backup = list(ticket.backup) if ticket.backup else None
    fields = [
        FORMAT_VERSION,
        ticket.number,
        ticket.workspace,
        ticket.pipeline,
        list(ticket.primary),
        backup,
        ticket.expires_at_ms,
        ticket.lifetime_ms,
    ]
    payload = orjson.dumps(fields)
    signed = _mac(payload, key) + payload
    text = base64.urlsafe_b64encode(signed).rstrip(b"=").decode("ascii")
    if len(text) > MAX_TICKET_CHARS:
        raise ValueError(f"a ticket may have at most {MAX_TICKET_CHARS} characters")
    return text


def decode_ticket(
    text: str, keys: Sequence[str], workspace: str, pipeline: str
) -> Ticket | TicketRejected:
    """Return the ticket in ``text`` if it was signed for this workspace and pipeline.

    ``keys`` holds the signing key and, during a rotation, a second one. Empty keys
    are skipped.
    """
    if len(text) > MAX_TICKET_CHARS:
        return TicketRejected(TicketFault.TOO_LONG)
    signed = _from_base64(text)
    if signed is None or len(signed) <= MAC_BYTES:
        return TicketRejected(TicketFault.MALFORMED)
    mac, payload = signed[:MAC_BYTES], signed[MAC_BYTES:]
    if not _is_signed(mac, payload, keys):
        return TicketRejected(TicketFault.BAD_MAC)
    ticket = _from_payload(payload)
    if ticket is None:
        return TicketRejected(TicketFault.MALFORMED)
    if ticket.workspace != workspace:
        return TicketRejected(TicketFault.OTHER_WORKSPACE)
    if ticket.pipeline != pipeline:
        return TicketRejected(TicketFault.OTHER_PIPELINE)
    return ticket


def _mac(payload: bytes, key: str) -> bytes:
    """Return the MAC of ``payload``, with a digest of ``key`` to allow any length."""
    key_digest = hashlib.blake2b(key.encode()).digest()
    return hashlib.blake2b(
        payload, digest_size=MAC_BYTES, key=key_digest, person=_PERSON
    ).digest()


def _is_signed(mac: bytes, payload: bytes, keys: Sequence[str]) -> bool:
    """Return whether one of ``keys`` made ``mac``, compared in constant time."""
    matches = [hmac.compare_digest(mac, _mac(payload, key)) for key in keys if key]
    return any(matches)


def _from_base64(text: str) -> bytes | None:
    """Decode canonical, unpadded, URL-safe Base64, or return None."""
    try:
        encoded = text.encode("ascii")
        data = base64.b64decode(
            encoded + b"=" * (-len(encoded) % 4), altchars=b"-_", validate=True
        )
    except (UnicodeEncodeError, binascii.Error):
        return None
    if base64.urlsafe_b64encode(data).rstrip(b"=") != encoded:
        return None
    return data


def _from_payload(payload: bytes) -> Ticket | None:
    """Return the ticket in ``payload``, None if it has another format."""
    try:
        fields = orjson.loads(payload)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, list) or len(fields) != 8:
        return None
    version, number, workspace, pipeline, primary, backup, expires, lifetime = fields
    primary_ref = _process_ref(primary)
    backup_ref = _process_ref(backup)
    if version != FORMAT_VERSION or primary_ref is None:
        return None
    if backup is not None and backup_ref is None:
        return None
    if not all(map(_is_count, (number, expires, lifetime))):
        return None
    if not (isinstance(workspace, str) and isinstance(pipeline, str)):
        return None
    return Ticket(
        number, workspace, pipeline, primary_ref, backup_ref, expires, lifetime
    )


def _process_ref(value: Any) -> ProcessRef | None:
    """Return the process named by a pair of strings, None for any other value."""
    if not isinstance(value, list) or len(value) != 2:
        return None
    address, incarnation = value
    if not (isinstance(address, str) and isinstance(incarnation, str)):
        return None
    return ProcessRef(address, incarnation)


def _is_count(value: Any) -> bool:
    """Return whether ``value`` is a whole number that JSON represents exactly."""
    return type(value) is int and 0 <= value <= MAX_INTEGER
