"""Parse the headers of a backend server's answer."""

import re
from collections.abc import Iterable
from typing import Final, NamedTuple

from bramleyturn.core.units import MS_PER_S

Headers = list[tuple[bytes, bytes]]

SIGNATURE: Final = b"bramleyturn-response-signature"
NOT_EXECUTED: Final = b"bramleyturn-not-executed"
ATTEMPT_ID: Final = b"bramleyturn-attempt-id"
INSTANCE_LOAD: Final = b"bramleyturn-instance-load"
SERVER_LIMIT: Final = b"server-limit"
SERVER_LEAVING: Final = b"server-leaving"
COLD_REMAINING: Final = b"bramleyturn-cold-remaining-ms"
RETRY_AFTER: Final = b"retry-after"
STATUS_UNAVAILABLE: Final = 503
STATUS_MISDIRECTED: Final = 421
# Headers that apply to one connection or one server only, not to the caller.
DROPPED_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        NOT_EXECUTED,
        INSTANCE_LOAD,
        SERVER_LIMIT,
        SERVER_LEAVING,
        COLD_REMAINING,
        b"bramleyturn-instance-id",
    }
)
KEEP_ALIVE_PATTERN: Final = re.compile(r"timeout\s*=\s*([0-9]{1,6})")
RATE_PATTERN: Final = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
MILLISECONDS_PATTERN: Final = re.compile(r"[0-9]{1,9}")
LOAD_PATTERN: Final = re.compile(r"([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,6})(?:,(.*))?")
SLOWNESS_PATTERN: Final = re.compile(r"[0-9]{1,5}")
# A greater figure is a fault of the server: a hundred times the usual time is longer
# than any deadline.
MAX_SLOWNESS_PERCENT: Final = 10_000


class ServerLoad(NamedTuple):
    """Hold how many requests a server runs and queues, and how many slots it has.

    ``slowness_percent`` is how long work takes there now, 100 being usual, None if the
    server does not say.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: int | None = None


class AnswerHead(NamedTuple):
    """Hold the status and the parsed headers of an answer.

    ``was_not_run`` is set if the server states that it did not run the request.
    ``is_signed`` is set if the server itself wrote the answer. ``idle_ms`` is how long
    the server keeps an idle connection open, None if it does not say. ``limit_per_s``
    is how many requests the server accepts from all instances together, None if it
    names no limit. ``is_leaving`` is set if the server is about to end. ``pause_ms`` is
    for how long a server that refuses a request wants no others from this instance,
    None if it does not say or ``is_pause_malformed``. ``cold_ms`` is for how long the
    server stays cold, None if it does not say.
    """

    status: int
    attempt_id: str
    is_signed: bool
    is_encoded: bool
    was_not_run: bool
    idle_ms: int | None
    load: ServerLoad | None
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: int | None = None
    is_pause_malformed: bool = False
    cold_ms: int | None = None


def read_answer_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> AnswerHead:
    """Parse the status and headers of an answer."""
    by_name = dict(headers)
    pause = by_name.get(RETRY_AFTER) if status == STATUS_UNAVAILABLE else None
    pause_ms = None if pause is None else read_pause_ms(pause)
    return AnswerHead(
        status=status,
        attempt_id=by_name.get(ATTEMPT_ID, b"").decode("latin-1"),
        is_signed=bool(by_name.get(SIGNATURE)),
        is_encoded=by_name.get(b"content-encoding", b"identity") != b"identity",
        was_not_run=NOT_EXECUTED in by_name or status == STATUS_MISDIRECTED,
        idle_ms=_idle_ms(by_name.get(b"keep-alive", b"")),
        load=read_load(by_name.get(INSTANCE_LOAD, b"")),
        limit_per_s=read_limit(by_name.get(SERVER_LIMIT, b"")),
        is_leaving=by_name.get(SERVER_LEAVING, b"").strip() == b"1",
        pause_ms=pause_ms,
        is_pause_malformed=pause is not None and pause_ms is None,
        cold_ms=read_cold_ms(by_name.get(COLD_REMAINING, b"")),
    )


def caller_headers(answer: Headers) -> Headers:
    """Return the headers of an answer that are forwarded to the caller."""
    return [(name, value) for name, value in answer if name not in DROPPED_HEADERS]


def read_load(value: bytes) -> ServerLoad | None:
    """Parse the load header of an answer; return None if absent or malformed."""
    matched = LOAD_PATTERN.fullmatch(value.decode("latin-1").strip())
    if matched is None:
        return None
    slowness_percent = read_slowness(matched[4] or "")
    return ServerLoad(
        int(matched[1]), int(matched[2]), int(matched[3]), slowness_percent
    )


def read_slowness(text: str) -> int | None:
    """Parse the fourth figure of a load header; return None if absent or malformed."""
    if SLOWNESS_PATTERN.fullmatch(text.strip()) is None:
        return None
    slowness_percent = int(text)
    return slowness_percent if 0 < slowness_percent <= MAX_SLOWNESS_PERCENT else None


def read_limit(value: bytes) -> float | None:
    """Parse the limit that an answer names; return None if absent or malformed."""
    text = value.decode("latin-1").strip()
    return float(text) if RATE_PATTERN.fullmatch(text) else None


def read_cold_ms(value: bytes) -> int | None:
    """Parse how long a server stays cold; return None if absent or malformed."""
    text = value.decode("latin-1").strip()
    return int(text) if MILLISECONDS_PATTERN.fullmatch(text) else None


def read_pause_ms(value: bytes) -> int | None:
    """Parse the seconds that a refusal names; return None if malformed or a date."""
    text = value.decode("latin-1").strip()
    return int(float(text) * MS_PER_S) if RATE_PATTERN.fullmatch(text) else None


def _idle_ms(value: bytes) -> int | None:
    matched = KEEP_ALIVE_PATTERN.search(value.decode("latin-1"))
    return int(matched[1]) * MS_PER_S if matched else None
