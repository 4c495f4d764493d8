"""Validate a caller's request before anything is started."""

import hashlib
import hmac
import re
from typing import Any, Final, NamedTuple

import orjson

from bramleyturn.core.model import Configuration, Pipeline, Workspace

MAX_REQUEST_ID_CHARACTERS: Final = 128
MAX_TICKET_CHARACTERS: Final = 2048
MAX_KEY_CHARACTERS: Final = 256
REQUEST_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9._:-]{1,128}")
BEARER_PREFIX: Final = "Bearer "


class BadRequest(NamedTuple):
    """Explain why a request is refused, as a problem document does.

    ``field`` names the header or member that is wrong.
    """

    status: int
    title: str
    detail: str
    field: str


STARTING: Final = BadRequest(
    503, "Starting", "this process has no configuration yet; send again", ""
)


class CallerHeaders(NamedTuple):
    """Hold the headers of a caller's request as text, empty where absent."""

    authorization: str
    deadline: str
    request_id: str
    ticket: str


class CheckedRequest(NamedTuple):
    """Hold a validated request."""

    workspace: Workspace
    pipeline: Pipeline
    request_id: str
    input: Any
    input_bytes: int
    left_ms: int
    ticket: str


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 digest of an access key."""
    return hashlib.sha256(key.encode()).hexdigest()


class AccessTable(NamedTuple):
    """Find a workspace by the digest of its key."""

    configuration: Configuration
    workspace_by_digest: dict[str, Workspace]


def access_table(configuration: Configuration) -> AccessTable:
    """Return the table of a configuration, current and previous keys alike."""
    by_digest: dict[str, Workspace] = {}
    for workspace in configuration.workspaces.values():
        if workspace.previous_key_sha256:
            by_digest[workspace.previous_key_sha256] = workspace
    for workspace in configuration.workspaces.values():
        by_digest[workspace.key_sha256] = workspace
    return AccessTable(configuration, by_digest)


def find_workspace(table: AccessTable, authorization: str) -> Workspace | BadRequest:
    """Return the workspace whose key the caller presents.

    Only a digest of the key is looked up, so the time taken reveals nothing that helps
    to guess a valid key.
    """
    key = bearer_key(authorization)
    if isinstance(key, BadRequest):
        return key
    if table.configuration.revision == 0:
        # Before the first configuration every key would be unknown.
        return STARTING
    workspace = table.workspace_by_digest.get(key_digest(key))
    if workspace is None:
        return BadRequest(
            401, "Unknown key", "no workspace has this key", "Authorization"
        )
    return workspace


def bearer_key(authorization: str) -> str | BadRequest:
    """Return the key of an ``Authorization: Bearer`` header."""
    if not authorization.startswith(BEARER_PREFIX):
        return BadRequest(
            401, "Key missing", "send `Authorization: Bearer KEY`", "Authorization"
        )
    key = authorization.removeprefix(BEARER_PREFIX).strip()
    if not key or len(key) > MAX_KEY_CHARACTERS:
        return BadRequest(
            401, "Key malformed", "the key is empty or too long", "Authorization"
        )
    return key


def matches_digest(digest: str, current: str, previous: str) -> bool:
    """Tell whether ``digest`` is the current or the previous one."""
    is_current = hmac.compare_digest(digest, current)
    is_previous = bool(previous) and hmac.compare_digest(digest, previous)
    return is_current or is_previous


def check_request(
    table: AccessTable,
    pipeline_name: str,
    headers: CallerHeaders,
    body: bytes,
    new_request_id: str,
) -> CheckedRequest | BadRequest:
    """Return the validated request of a caller, or what is wrong with it."""
    configuration = table.configuration
    workspace = find_workspace(table, headers.authorization)
    if isinstance(workspace, BadRequest):
        return workspace
    pipeline = find_pipeline(configuration, workspace, pipeline_name)
    if isinstance(pipeline, BadRequest):
        return pipeline
    left_ms = check_deadline(configuration, pipeline, headers.deadline)
    if isinstance(left_ms, BadRequest):
        return left_ms
    request_id = check_request_id(headers.request_id, new_request_id)
    if isinstance(request_id, BadRequest):
        return request_id
    if len(headers.ticket) > MAX_TICKET_CHARACTERS:
        return BadRequest(
            400, "Ticket malformed", "the ticket is too long", "Bramleyturn-Ticket"
        )
    document = check_body(configuration, body)
    if isinstance(document, BadRequest):
        return document
    return CheckedRequest(
        workspace=workspace,
        pipeline=pipeline,
        request_id=request_id,
        input=document["input"],
        input_bytes=len(body),
        left_ms=left_ms,
        ticket=headers.ticket,
    )


def find_pipeline(
    configuration: Configuration, workspace: Workspace, name: str
) -> Pipeline | BadRequest:
    """Return a pipeline that the workspace may use."""
    pipeline = configuration.pipelines.get(name)
    allowed = "*" in workspace.pipelines or name in workspace.pipelines
    if pipeline is None or not allowed:
        return BadRequest(
            404, "Unknown pipeline", "this workspace has no such pipeline", "pipeline"
        )
    return pipeline


def check_deadline(
    configuration: Configuration, pipeline: Pipeline, text: str
) -> int | BadRequest:
    """Return the time left in milliseconds, by default the pipeline's deadline."""
    if not text:
        return pipeline.deadline_ms
    max_ms = configuration.limits.max_deadline_ms
    if not text.isascii() or not text.isdigit() or len(text) > len(str(max_ms)):
        return bad_deadline(max_ms)
    left_ms = int(text)
    if not 1 <= left_ms <= max_ms:
        return bad_deadline(max_ms)
    return left_ms


def bad_deadline(max_ms: int) -> BadRequest:
    """Return the refusal of a deadline that is not a number or out of range."""
    return BadRequest(
        400,
        "Bad deadline",
        f"send whole milliseconds from 1 to {max_ms}",
        "Bramleyturn-Deadline-Ms",
    )


def check_request_id(text: str, new_request_id: str) -> str | BadRequest:
    """Return the caller's request id, or ``new_request_id`` if it sent none."""
    if not text:
        return new_request_id
    if REQUEST_ID_PATTERN.fullmatch(text) is None:
        return BadRequest(
            400,
            "Bad request id",
            f"use 1 to {MAX_REQUEST_ID_CHARACTERS} letters, digits or ._:-",
            "Bramleyturn-Request-Id",
        )
    return text


def check_body(configuration: Configuration, body: bytes) -> Any:
    """Return the parsed body, a JSON object with the member ``input``."""
    max_bytes = configuration.limits.max_body_bytes
    if len(body) > max_bytes:
        return BadRequest(
            413, "Body too large", f"send at most {max_bytes} bytes", "body"
        )
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return BadRequest(400, "Bad JSON", str(error), "body")
    if not isinstance(document, dict) or "input" not in document:
        return BadRequest(
            400, "Input missing", 'send a JSON object with "input"', "input"
        )
    return document
