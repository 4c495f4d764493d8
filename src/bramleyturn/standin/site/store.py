"""Simulate the platform's key-value store and its outages."""

import base64
from collections import Counter
from collections.abc import Callable
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs

import orjson

from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.exchange import Exchange, Headers

PAGE_ITEMS: Final = 50
LINK_STEP_S: Final = 0.02
RANGE_TARGET: Final = "/bramleyturn/kv-range"
WATCH_TARGET: Final = "/bramleyturn/kv-watch"


class PendingWatch:
    """Hold a watch call that waits for a change."""

    def __init__(self, exchange: Exchange, prefix: str, after: int) -> None:
        self.exchange = exchange
        self.prefix = prefix
        self.after = after


class StoreCopy(NamedTuple):
    """Hold what the store had when a copy of it was taken."""

    revision: int
    items: dict[str, tuple[bytes, int]]
    history: list[dict[str, Any]]
    forgotten: int


class Store:
    """Hold the items, the change history and the injected faults of the store.

    ``refuses`` is the status that answers every call, 0 for normal answers. If
    ``is_silent``, calls are accepted and never answered. Changes up to revision
    ``forgotten`` are no longer in the history. ``era_text`` is sent instead of the era
    unless it is None; nothing is sent if it is empty. Each answer is sent at
    ``link_bytes_per_s``, at once if it is 0; after ``link_breaks_at_bytes`` of one
    answer its connection is reset, once.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.revision = 1
        self.items: dict[str, tuple[bytes, int]] = {}
        self.history: list[dict[str, Any]] = []
        self.forgotten = 0
        self.pending_watches: list[PendingWatch] = []
        self.refuses = 0
        self.is_silent = False
        self.calls = 0
        self.reads: Counter[str] = Counter()
        self.era = 1
        self.era_text: str | None = None
        self.link_bytes_per_s = 0
        self.link_breaks_at_bytes = 0
        self.copy = StoreCopy(1, {}, [], 0)


def put(store: Store, key: str, value: bytes) -> int:
    """Write an item and notify the watches; return its revision."""
    store.revision += 1
    store.items[key] = (value, store.revision)
    store.history.append(_encode_item(key, value, store.revision))
    _notify_watches(store)
    return store.revision


def delete(store: Store, key: str) -> int:
    """Delete an item and notify the watches; return the revision."""
    store.revision += 1
    store.items.pop(key, None)
    store.history.append({"key": key, "revision": store.revision, "tombstone": True})
    _notify_watches(store)
    return store.revision


def take_copy(store: Store) -> None:
    """Take the copy that ``restore`` goes back to."""
    store.copy = StoreCopy(
        store.revision, dict(store.items), list(store.history), store.forgotten
    )


def restore(store: Store) -> None:
    """Come back from the copy: what was written since is gone, and the era rises.

    Watches that wait are cut.
    """
    copy = store.copy
    store.revision = copy.revision
    store.items = dict(copy.items)
    store.history = list(copy.history)
    store.forgotten = copy.forgotten
    store.era += 1
    pending, store.pending_watches = store.pending_watches, []
    for watch in pending:
        watch.exchange.connection.abort()


def forget_history(store: Store) -> None:
    """Drop the history, so that watches from an earlier revision are answered 410."""
    store.forgotten = store.revision
    store.history.clear()


def store_handler(store: Store) -> Callable[[Exchange], None]:
    """Return the request handler of a store."""

    def handle(exchange: Exchange) -> None:
        store.calls += 1
        if store.is_silent:
            return
        if store.refuses:
            exchange.answer(store.refuses, _headers(store), b"")
            return
        target, _, query = exchange.target.decode("latin-1").partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        store.reads[target.rpartition("/")[2]] += 1
        if target == RANGE_TARGET:
            _answer_range(store, exchange, fields)
        elif target == WATCH_TARGET:
            _open_watch(store, exchange, fields)
        else:
            exchange.answer(404, _headers(store), b"")

    return handle


def _headers(store: Store) -> Headers:
    text = str(store.era) if store.era_text is None else store.era_text
    era = [(b"Store-Era", text.encode())] if text else []
    return [(b"Content-Type", b"application/json"), *era]


def _answer_range(store: Store, exchange: Exchange, fields: dict[str, str]) -> None:
    prefix, after = fields.get("prefix", ""), fields.get("after", "")
    keys = sorted(key for key in store.items if key.startswith(prefix) and key > after)
    items = [_encode_item(key, *store.items[key]) for key in keys[:PAGE_ITEMS]]
    document = {
        "items": items,
        "truncated": len(keys) > PAGE_ITEMS,
        "currentRev": store.revision,
    }
    _send(store, exchange, orjson.dumps(document))


def _send(store: Store, exchange: Exchange, body: bytes) -> None:
    """Send an answer at the speed of the link."""
    if not store.link_bytes_per_s:
        exchange.answer(200, _headers(store), body)
        return
    length = (b"Content-Length", b"%d" % len(body))
    exchange.is_started = True
    exchange.connection.send_head(200, [*_headers(store), length])
    step_bytes = int(store.link_bytes_per_s * LINK_STEP_S)

    def send_from(place: int) -> None:
        if exchange.is_gone:
            return
        exchange.send(body[place : place + step_bytes])
        sent = place + step_bytes
        if store.link_breaks_at_bytes and sent >= store.link_breaks_at_bytes:
            store.link_breaks_at_bytes = 0
            exchange.connection.abort()
        elif sent >= len(body):
            exchange.finish()
        else:
            store.reactor.callLater(LINK_STEP_S, send_from, sent)

    send_from(0)


def _open_watch(store: Store, exchange: Exchange, fields: dict[str, str]) -> None:
    after = int(fields.get("after", "0"))
    if after < store.forgotten or after > store.revision:
        exchange.answer(410, _headers(store), b"")
        return
    watch = PendingWatch(exchange, fields.get("prefix", ""), after)
    if _answer_watch(store, watch):
        return
    store.pending_watches.append(watch)
    wait_s = int(fields.get("waitMs", "0")) / MS_PER_S
    store.reactor.callLater(wait_s, _expire_watch, store, watch)


def _answer_watch(store: Store, watch: PendingWatch) -> bool:
    events = [
        event
        for event in store.history
        if event["revision"] > watch.after and event["key"].startswith(watch.prefix)
    ]
    if not events:
        return False
    _send_events(store, watch, events)
    return True


def _expire_watch(store: Store, watch: PendingWatch) -> None:
    if watch in store.pending_watches:
        store.pending_watches.remove(watch)
        # Changes made while the store was silent were not sent yet.
        if not store.is_silent and not _answer_watch(store, watch):
            _send_events(store, watch, [])


def _send_events(store: Store, watch: PendingWatch, events: list[Any]) -> None:
    document = {"events": events, "currentRev": store.revision}
    _send(store, watch.exchange, orjson.dumps(document))


def _notify_watches(store: Store) -> None:
    if store.is_silent:
        return
    store.pending_watches = [
        watch for watch in store.pending_watches if not _answer_watch(store, watch)
    ]


def _encode_item(key: str, value: bytes, revision: int) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "createRev": revision,
        "lease": 0,
    }
