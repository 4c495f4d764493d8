"""Name requests, their parts and workspaces, alike in all processes."""

import hashlib
from typing import Final, NamedTuple

DIGEST_BYTES: Final = 16
# Short, because many of them go into one datagram.
CALLER_DIGEST_BYTES: Final = 8
PART_DIGEST_BYTES: Final = 6
WORKSPACE_DIGEST_BYTES: Final = 3
REQUEST_NAME_CHARS: Final = 6


class RequestNames(NamedTuple):
    """Hold what a request is known by: itself, its parts and its workspace."""

    fingerprint: str
    parts: tuple[str, ...] = ()
    workspace: str = ""


def request_fingerprint(pipeline: str, stage: str, payload: bytes) -> str:
    """Return a digest of a stage's input, the same for all callers and processes."""
    return _digest(DIGEST_BYTES, pipeline.encode(), stage.encode(), payload)


def caller_fingerprint(workspace: str, target: bytes, body: bytes) -> str:
    """Return a digest of a workspace's request, the same for all of its repeats."""
    return _digest(CALLER_DIGEST_BYTES, workspace.encode(), target, body)


def part_name(part_id: str) -> str:
    """Return a short name for a part that requests share, the same in all processes."""
    if len(part_id) <= 2 * PART_DIGEST_BYTES:
        return part_id
    return part_digest(part_id.encode())


def part_digest(content: bytes) -> str:
    """Return a name for a part that has no id, the same in all processes."""
    return _digest(PART_DIGEST_BYTES, content)


def request_name(fingerprint: str) -> str:
    """Return a short name for a request, which tells it from others with a part."""
    return fingerprint[:REQUEST_NAME_CHARS]


def workspace_name(workspace: str) -> str:
    """Return a short name for a workspace, the same in all processes."""
    return _digest(WORKSPACE_DIGEST_BYTES, workspace.encode())


def _digest(size_bytes: int, *parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=size_bytes)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
