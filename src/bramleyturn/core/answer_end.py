"""Decide whether an answer is whole, from what marks its end (RFC 9112, section 6.3).

The end of a connection alone is no end of an answer: a server that fails closes its
connections as cleanly as one that has finished.
"""

from enum import StrEnum
from typing import Final, NamedTuple

import orjson

JSON_TYPE: Final = b"application/json"
JSON_SUFFIX: Final = b"+json"
STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


class Framing(StrEnum):
    """Name what marks the end of a body."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class ConnectionEnd(StrEnum):
    """Name how a connection ended, or that it is still open."""

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"


class EndVerdict(StrEnum):
    """Name whether an answer that has ended is whole.

    ``UNCONFIRMED`` is an answer that nothing but a clean close marks as whole.
    """

    COMPLETE = "complete"
    BROKEN_OFF = "broken_off"
    UNCONFIRMED = "unconfirmed"


class BodyEnd(NamedTuple):
    """Hold what is known about the end of an answer.

    ``events`` are the whole events of a stream, and ``unfinished_bytes`` what followed
    them.
    """

    framing: Framing
    connection: ConnectionEnd
    events: int
    unfinished_bytes: int


def framing_of(
    method: bytes, status: int, headers: list[tuple[bytes, bytes]]
) -> Framing:
    """Return the framing of an answer's body; header names are in lower case."""
    if method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE


def judge_stream_end(end: BodyEnd) -> EndVerdict:
    """Return whether a stream of events that ended is whole."""
    if end.unfinished_bytes:
        return EndVerdict.BROKEN_OFF
    if end.framing is not Framing.CLOSE:
        return EndVerdict.COMPLETE
    if end.connection is not ConnectionEnd.CLOSED or not end.events:
        return EndVerdict.BROKEN_OFF
    return EndVerdict.UNCONFIRMED


def judge_body_end(end: BodyEnd, content_type: bytes, body: bytes) -> EndVerdict:
    """Return whether an answer that is no stream is whole."""
    if end.framing is not Framing.CLOSE:
        return EndVerdict.COMPLETE
    if end.connection is not ConnectionEnd.CLOSED:
        return EndVerdict.BROKEN_OFF
    media_type = content_type.partition(b";")[0].strip().lower()
    if media_type == JSON_TYPE or media_type.endswith(JSON_SUFFIX):
        return judge_json_end(body)
    return EndVerdict.UNCONFIRMED


def judge_json_end(body: bytes) -> EndVerdict:
    """Return whether a JSON document without a frame is whole.

    Only a number can lack its end and still be valid.
    """
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError:
        return EndVerdict.BROKEN_OFF
    is_number = body[-1:].isdigit()
    return EndVerdict.UNCONFIRMED if is_number else EndVerdict.COMPLETE


def is_valid_status(status: int) -> bool:
    """Return whether the last answer to a request may have a status (RFC 9110, 15)."""
    return 200 <= status <= 599
