"""Bound what is read of a server's answer; at a bound its connection is closed."""

import logging
from enum import StrEnum
from typing import Final

from bramleyturn.core.answer_end import Framing
from bramleyturn.gateway.metrics import Metrics, count

# The interim answers and the head of one answer, together: the longest line that
# CPython's http.client reads.
MAX_HEAD_BYTES: Final = 64 * 1024
# Interim answers before the head of one answer: the bound in Go's net/http, up to 1.23.
MAX_INTERIM_ANSWERS: Final = 5
# What chunks may have besides their data, and the part of it that is not counted for
# each chunk and each byte of data: the bounds in Go's net/http/internal.
MAX_CHUNK_EXCESS_BYTES: Final = 16 * 1024
CHUNK_ALLOWANCE_BYTES: Final = 16
CHUNK_ALLOWANCE_PER_BYTE: Final = 2

# A body that is passed on or decoded: sixteen times the largest page of the store.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
# A body that no one needs, which is read so that its connection can be kept: the bound
# in Go's net/http (maxPostHandlerReadBytes).
MAX_UNUSED_BODY_BYTES: Final = 256 * 1024

logger = logging.getLogger(__name__)


Headers = list[tuple[bytes, bytes]]


class Bound(StrEnum):
    """Name a bound on a part of an answer."""

    HEAD = "head"
    INTERIM = "interim"
    CHUNK_HEADS = "chunk_heads"
    EVENT = "event"
    BODY = "body"
    BODIES_TOGETHER = "bodies_together"


def declared_length(framing: Framing, headers: Headers) -> int:
    """Return the length that a head states for its body, 0 if none."""
    if framing is not Framing.LENGTH:
        return 0
    return int(dict(headers).get(b"content-length", b"0"))


def note_over_bound(
    metrics: Metrics, server: str, bound: Bound, size_bytes: int
) -> None:
    """Log and count an answer whose connection was closed at a bound."""
    count(metrics, "answers_over_bound", f"{server} {bound}")
    count(metrics, "answers_over_bound_bytes", f"{server} {bound}", size_bytes)
    logger.warning(
        "answer over its bound",
        extra={"server": server, "bound": bound, "bytes": size_bytes},
    )


def note_unread(metrics: Metrics, caller: str, size_bytes: int) -> None:
    """Log and count a caller whose connection was closed for what it left unread."""
    count(metrics, "answers_unread")
    count(metrics, "answers_unread_bytes", by=size_bytes)
    logger.warning(
        "answers not read by callers over their bound",
        extra={"caller": caller, "bytes": size_bytes},
    )
