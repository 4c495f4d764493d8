"""Check the head of a caller's request, and name the states of its connection."""

from enum import StrEnum
from typing import Final

import h11

STATUS_BAD_REQUEST: Final = 400
STATUS_TOO_LARGE: Final = 413


class ConnectionState(StrEnum):
    """Name what a caller's connection is used for.

    ``CLOSING`` is a connection that is closed once its buffered data has been sent,
    ``LINGERING`` one that waits for the caller to close its side after that.
    """

    NEW = "new"
    IDLE = "idle"
    READING = "reading"
    WAITING = "waiting"
    ANSWERING = "answering"
    CLOSING = "closing"
    LINGERING = "lingering"


def head_fault(request: h11.Request, max_body_bytes: int) -> int | None:
    """Return the status with which a request is refused by its head, None if sound."""
    names = [name for name, _ in request.headers]
    # With two lengths a second request could be smuggled inside this one.
    if b"transfer-encoding" in names and b"content-length" in names:
        return STATUS_BAD_REQUEST
    if names.count(b"host") > 1:
        return STATUS_BAD_REQUEST
    length = dict(request.headers).get(b"content-length", b"0")
    return STATUS_TOO_LARGE if int(length) > max_body_bytes else None


def body_length(request: h11.Request) -> int | None:
    """Return the length of a request's body, None if it comes in chunks."""
    headers = dict(request.headers)
    if b"transfer-encoding" in headers:
        return None
    return int(headers.get(b"content-length", b"0"))
