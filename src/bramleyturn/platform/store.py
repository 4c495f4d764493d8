"""Word the calls to the platform's store and read its answers."""

import base64
import binascii
from typing import Any, Final, NamedTuple
from urllib.parse import quote

import orjson

from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.fields import objects_field, whole_field

# The longest time for which the store keeps a watch waiting.
MAX_WATCH_MS: Final = 30_000


class StoreItem(NamedTuple):
    """Hold one item as it was written at ``revision``; None stands for its removal."""

    key: str
    value: bytes | None
    revision: int


class StorePage(NamedTuple):
    """Hold one page of items. The next one begins after ``next_after``, if any."""

    items: tuple[StoreItem, ...]
    revision: int
    next_after: str | None


class StoreChanges(NamedTuple):
    """Hold what changed up to ``revision``."""

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
    """Return a page of items. Single items that can't be read are left out."""
    document = _decode_object(body)
    if isinstance(document, Malformed):
        return document
    items = objects_field(document, "items")
    revision = whole_field(document, "currentRev")
    if items is None or revision is None:
        return Malformed("page", "no items or no revision")
    decoded = _decode_items(items)
    is_truncated = document.get("truncated") is True and bool(decoded)
    return StorePage(decoded, revision, decoded[-1].key if is_truncated else None)


def decode_changes(body: bytes) -> StoreChanges | Malformed:
    """Return the changes that a watch reported."""
    document = _decode_object(body)
    if isinstance(document, Malformed):
        return document
    events = objects_field(document, "events")
    revision = whole_field(document, "currentRev")
    if events is None or revision is None:
        return Malformed("changes", "no events or no revision")
    return StoreChanges(_decode_items(events), revision)


def _decode_object(body: bytes) -> Any:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return Malformed("store answer", "not JSON")
    if not isinstance(document, dict):
        return Malformed("store answer", "no object")
    return document


def _decode_items(documents: list[dict[str, Any]]) -> tuple[StoreItem, ...]:
    decoded = (_decode_item(document) for document in documents)
    return tuple(item for item in decoded if item is not None)


def _decode_item(document: dict[str, Any]) -> StoreItem | None:
    key = document.get("key")
    revision = whole_field(document, "revision")
    if not isinstance(key, str) or revision is None:
        return None
    if document.get("tombstone") is True:
        return StoreItem(key, None, revision)
    value = document.get("value")
    if not isinstance(value, str):
        return None
    try:
        return StoreItem(key, base64.b64decode(value, validate=True), revision)
    except (binascii.Error, ValueError):
        # An item that can't be read names nothing to use, and removes what it named.
        return StoreItem(key, b"", revision)
