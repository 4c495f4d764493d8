"""Encode the calls to the platform's store and decode its answers."""

import base64
import binascii
from typing import Any, Final, NamedTuple
from urllib.parse import quote

from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.fields import (
    flag_field,
    int_field,
    objects_field,
    read_object,
)

# The store answers a watch after this time at the latest.
MAX_WATCH_MS: Final = 30_000
STORE_ANSWER: Final = "store answer"


class StoreItem(NamedTuple):
    """Hold one item as written at ``revision``; a value of None means removed."""

    key: str
    value: bytes | None
    revision: int


class StorePage(NamedTuple):
    """Hold one page of items; the next page follows ``next_after``, None if last."""

    items: tuple[StoreItem, ...]
    revision: int
    next_after: str | None


class StoreChanges(NamedTuple):
    """Hold the items that changed up to ``revision``."""

    items: tuple[StoreItem, ...]
    revision: int


def range_target(prefix: str, after: str = "") -> str:
    """Return the request target that lists the items below ``prefix``."""
    target = f"/bramleyturn/kv-range?prefix={quote(prefix, safe='')}"
    if after:
        target += f"&after={quote(after, safe='')}"
    return target


def watch_target(prefix: str, after_revision: int, wait_ms: int) -> str:
    """Return the request target that waits for changes after a revision."""
    wait_ms = min(wait_ms, MAX_WATCH_MS)
    return (
        f"/bramleyturn/kv-watch?prefix={quote(prefix, safe='')}"
        f"&after={after_revision}&waitMs={wait_ms}"
    )


def decode_page(body: bytes) -> StorePage | Malformed:
    """Decode a page of items; single malformed items are left out."""
    document = read_object(STORE_ANSWER, body)
    if isinstance(document, Malformed):
        return document
    changes = _decode_changes(document, "items")
    if isinstance(changes, Malformed):
        return changes
    items = changes.items
    is_truncated = flag_field(document, "truncated") and bool(items)
    return StorePage(items, changes.revision, items[-1].key if is_truncated else None)


def decode_changes(body: bytes) -> StoreChanges | Malformed:
    """Decode the changes that a watch reported."""
    document = read_object(STORE_ANSWER, body)
    if isinstance(document, Malformed):
        return document
    return _decode_changes(document, "events")


def _decode_changes(document: dict[str, Any], name: str) -> StoreChanges | Malformed:
    """Decode the items in one field of an answer, and the revision they reach."""
    objects = objects_field(document, name)
    revision = int_field(document, "currentRev")
    if objects is None or revision is None:
        return Malformed(
            STORE_ANSWER, f"{name} or the revision is missing or malformed"
        )
    decoded = (_decode_item(each) for each in objects)
    items = tuple(item for item in decoded if item is not None)
    return StoreChanges(items, revision)


def _decode_item(document: dict[str, Any]) -> StoreItem | None:
    key = document.get("key")
    revision = int_field(document, "revision")
    if not isinstance(key, str) or revision is None:
        return None
    if flag_field(document, "tombstone"):
        return StoreItem(key, None, revision)
    value = document.get("value")
    if not isinstance(value, str):
        return None
    try:
        return StoreItem(key, base64.b64decode(value, validate=True), revision)
    except (binascii.Error, ValueError):
        # An undecodable value counts as empty: it removes what the key held before.
        return StoreItem(key, b"", revision)
