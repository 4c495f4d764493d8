"""Parse the headers of a caller's request and build those for a backend server."""

import re
from collections.abc import Iterable
from typing import Final, NamedTuple

from bramleyturn.core.catalog.prompt import PromptPart

Headers = list[tuple[bytes, bytes]]

READINESS_PATH: Final = b"/bramleyturn/readiness"
ATTEMPT_ID: Final = b"bramleyturn-attempt-id"
DEADLINE: Final = b"bramleyturn-deadline-ms"
PIECES: Final = b"bramleyturn-pieces"
PIECE_KEY: Final = b"bramleyturn-piece-key"
TOKEN_COUNTS: Final = b"bramleyturn-token-counts"
PROMPT_PREFIX: Final = b"bramleyturn-prompt-prefix"
LAST_EVENT_ID: Final = b"last-event-id"
AUTHORIZATION: Final = b"authorization"
BEARER: Final = "bearer "
MAX_PIECES: Final = 1_000
MAX_PROMPT_PARTS: Final = 64
# Names that callers give are kept, logged and told to other instances.
MAX_NAME_BYTES: Final = 256
MAX_WAIT_MS: Final = 3_600_000
INTEGER_PATTERN: Final = re.compile(r"[0-9]{1,9}")
PROMPT_PART_PATTERN: Final = re.compile(r"([0-9a-fA-F]{1,64}):([0-9]{1,9})")

# Hop-by-hop headers, never forwarded.
CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Headers that only this system sets; a caller's own values are dropped.
OWN_HEADERS: Final = frozenset(
    {
        AUTHORIZATION,
        DEADLINE,
        b"bramleyturn-tenant",
        b"bramleyturn-expected-instance",
        b"bramleyturn-expected-version",
        b"bramleyturn-request-priority",
        b"bramleyturn-inputs",
        b"bramleyturn-hold",
        b"bramleyturn-pin-ms",
        b"bramleyturn-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)


class CallerHead(NamedTuple):
    """Hold the parsed headers of a caller's request.

    ``wait_ms`` is how long the caller waits, None if it does not say.
    ``piece_counts`` is the number of pieces of each stage. ``last_event_id`` is the
    last event of a stream that the caller received, None to stream from the start.
    """

    attempt_id: str
    wait_ms: int | None
    key: str
    piece_counts: tuple[int, ...]
    piece_key: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    last_event_id: int | None


class BadHeader(NamedTuple):
    """Name the header that is missing or malformed."""

    header: str


def read_caller_head(headers: Iterable[tuple[bytes, bytes]]) -> CallerHead | BadHeader:
    """Parse the headers, or return the first one that is missing or malformed."""
    by_name = dict(headers)
    attempt_id = by_name.get(ATTEMPT_ID, b"").decode("latin-1")
    if not 0 < len(attempt_id) <= MAX_NAME_BYTES:
        return BadHeader("Bramleyturn-Attempt-Id")
    piece_key = by_name.get(PIECE_KEY, b"").decode("latin-1")
    if len(piece_key) > MAX_NAME_BYTES:
        return BadHeader("Bramleyturn-Piece-Key")
    wait_text = by_name.get(DEADLINE)
    wait_ms = None if wait_text is None else _parse_int(wait_text)
    if wait_text is not None and wait_ms is None:
        return BadHeader("Bramleyturn-Deadline-Ms")
    counts = _piece_counts(by_name.get(PIECES, b""))
    if counts is None:
        return BadHeader("Bramleyturn-Pieces")
    prompt_tokens, output_tokens = _token_counts(by_name.get(TOKEN_COUNTS, b""))
    return CallerHead(
        attempt_id=attempt_id,
        wait_ms=None if wait_ms is None else min(wait_ms, MAX_WAIT_MS),
        key=_bearer_key(by_name.get(AUTHORIZATION, b"")),
        piece_counts=counts,
        piece_key=piece_key,
        prompt=_prompt(by_name.get(PROMPT_PREFIX, b"")),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        last_event_id=_parse_int(by_name.get(LAST_EVENT_ID, b"")),
    )


class ServerHead(NamedTuple):
    """Hold the values of the headers that this system adds for a backend server.

    ``inputs`` are the handles of the results that the request needs. ``urgency`` runs
    from 0, served first, to 9. ``resume_after`` is the last event that was forwarded,
    if a stream resumes at another server.
    """

    server_id: str
    wait_ms: int
    workspace: str
    inputs: tuple[str, ...]
    urgency: int | None
    resume_after: int | None


def server_headers(caller: Headers, head: ServerHead, body_bytes: int) -> Headers:
    """Build the headers sent to a backend server from those of the caller."""
    named = _connection_names(caller)
    headers = [
        (name, value)
        for name, value in caller
        if name not in CONNECTION_HEADERS
        and name not in OWN_HEADERS
        and name not in named
        and not (name == LAST_EVENT_ID and head.resume_after is not None)
    ]
    headers.append((b"Bramleyturn-Deadline-Ms", b"%d" % head.wait_ms))
    headers.append((b"Bramleyturn-Expected-Instance", head.server_id.encode()))
    if head.workspace:
        headers.append((b"Bramleyturn-Tenant", head.workspace.encode()))
    if head.inputs:
        headers.append((b"Bramleyturn-Inputs", ",".join(head.inputs).encode()))
    if head.urgency is not None:
        headers.append((b"Bramleyturn-Request-Priority", b"%d" % head.urgency))
    if head.resume_after is not None:
        headers.append((b"Last-Event-Id", b"%d" % head.resume_after))
    if body_bytes or _has_body(caller):
        headers.append((b"Content-Length", b"%d" % body_bytes))
    return headers


def _has_body(caller: Headers) -> bool:
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in caller)


def _connection_names(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    )


def _parse_int(value: bytes) -> int | None:
    text = value.decode("latin-1")
    return int(text) if INTEGER_PATTERN.fullmatch(text) else None


def _bearer_key(value: bytes) -> str:
    text = value.decode("latin-1")
    return text[len(BEARER) :].strip() if text.lower().startswith(BEARER) else ""


def _piece_counts(value: bytes) -> tuple[int, ...] | None:
    if not value:
        return ()
    counts = [_parse_int(part.strip()) for part in value.split(b",")]
    if any(count is None or count > MAX_PIECES for count in counts):
        return None
    return tuple(count for count in counts if count is not None)


def _token_counts(value: bytes) -> tuple[int, int]:
    parts = [_parse_int(part.strip()) for part in value.split(b",")]
    if len(parts) != 2:
        return 0, 0
    return parts[0] or 0, parts[1] or 0


def _prompt(value: bytes) -> tuple[PromptPart, ...]:
    texts = value.decode("latin-1").split(",")[:MAX_PROMPT_PARTS] if value else []
    matches = [PROMPT_PART_PATTERN.fullmatch(text.strip()) for text in texts]
    return tuple(
        PromptPart(matched[1].lower(), int(matched[2]))
        for matched in matches
        if matched is not None
    )
