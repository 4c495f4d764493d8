"""Encode the calls to the platform's store and decode its answers."""

import base64
import binascii
import re
from collections.abc import Iterable
from typing import Any, Final, NamedTuple
from urllib.parse import quote

from bramleyturn.core.fleet.store_revision import UNKNOWN_ERA, StoreRevision
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
ERA_HEADER: Final = b"store-era"
ERA_PATTERN: Final = re.compile(r"[1-9][0-9]{0,14}")


class StoreItem(NamedTuple):
    """Hold one item as written at ``revision``; a value of None means removed."""

    key: str
    value: bytes | None
    revision: StoreRevision


class StorePage(NamedTuple):
    """Hold one page of items; the next page follows ``next_after``, None if last."""

    items: tuple[StoreItem, ...]
    revision: StoreRevision
    next_after: str | None


class StoreChanges(NamedTuple):
    """Hold the items that changed up to ``revision``."""

    items: tuple[StoreItem, ...]
    revision: StoreRevision


def decode_era(headers: Iterable[tuple[bytes, bytes]]) -> int | Malformed:
    """Return the era in the headers of an answer, ``UNKNOWN_ERA`` without one."""
    text = dict(headers).get(ERA_HEADER, b"").decode("latin-1").strip()
    if not text:
        return UNKNOWN_ERA
    if ERA_PATTERN.fullmatch(text) is None:
        return Malformed(STORE_ANSWER, "the era is not a number above 0")
    return int(text)


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


def decode_page(body: bytes, era: int) -> StorePage | Malformed:
    """Decode a page of items of an era; single malformed items are left out."""
    document = read_object(STORE_ANSWER, body)
    if isinstance(document, Malformed):
        return document
    changes = _decode_changes(document, "items", era)
    if isinstance(changes, Malformed):
        return changes
    items = changes.items
    is_truncated = flag_field(document, "truncated") and bool(items)
    return StorePage(items, changes.revision, items[-1].key if is_truncated else None)


def decode_changes(body: bytes, era: int) -> StoreChanges | Malformed:
    """Decode the changes of an era that a watch reported."""
    document = read_object(STORE_ANSWER, body)
    if isinstance(document, Malformed):
        return document
    return _decode_changes(document, "events", era)


def _decode_changes(
    document: dict[str, Any], name: str, era: int
) -> StoreChanges | Malformed:
    """Decode the items in one field of an answer, and the revision they reach."""
    objects = objects_field(document, name)
    number = int_field(document, "currentRev")
    if objects is None or number is None:
        return Malformed(
            STORE_ANSWER, f"{name} or the revision is missing or malformed"
        )
    decoded = (_decode_item(each, era) for each in objects)
    items = tuple(item for item in decoded if item is not None)
    return StoreChanges(items, StoreRevision(era, number))


def _decode_item(document: dict[str, Any], era: int) -> StoreItem | None:
    key = document.get("key")
    number = int_field(document, "revision")
    if not isinstance(key, str) or number is None:
        return None
    revision = StoreRevision(era, number)
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
