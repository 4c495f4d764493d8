"""Stand in for the platform's store, with the outages that it may have."""

import base64
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import parse_qs

import orjson

from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.http1_server import Exchange

PAGE_ITEMS: Final = 50
RANGE_TARGET: Final = "/bramleyturn/kv-range"
WATCH_TARGET: Final = "/bramleyturn/kv-watch"
JSON_HEADERS: Final = [(b"Content-Type", b"application/json")]


class Waiter:
    """Hold a watch that waits."""

    def __init__(self, exchange: Exchange, prefix: str, after: int) -> None:
        self.exchange = exchange
        self.prefix = prefix
        self.after = after


class Store:
    """Hold the items, the history and how the store behaves.

    ``refuses`` is the status that every call gets, 0 for none. A store that
    ``is_silent`` takes calls and answers none. Changes up to ``forgotten`` are no
    longer in its history.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.revision = 1
        self.items: dict[str, tuple[bytes, int]] = {}
        self.history: list[dict[str, Any]] = []
        self.forgotten = 0
        self.waiters: list[Waiter] = []
        self.refuses = 0
        self.is_silent = False
        self.calls = 0


def put(store: Store, key: str, value: bytes) -> int:
    """Write an item and wake the watches; return its revision."""
    store.revision += 1
    store.items[key] = (value, store.revision)
    store.history.append(_item(key, value, store.revision))
    _wake(store)
    return store.revision


def delete(store: Store, key: str) -> int:
    """Remove an item and wake the watches; return the revision."""
    store.revision += 1
    store.items.pop(key, None)
    store.history.append({"key": key, "revision": store.revision, "tombstone": True})
    _wake(store)
    return store.revision


def forget_history(store: Store) -> None:
    """Drop the history, so that watches from before get no answer."""
    store.forgotten = store.revision
    store.history.clear()


def store_handler(store: Store) -> Callable[[Exchange], None]:
    """Return what answers the calls to a store."""

    def handle(exchange: Exchange) -> None:
        store.calls += 1
        if store.is_silent:
            return
        if store.refuses:
            exchange.answer(store.refuses, [], b"")
            return
        target, _, query = exchange.target.decode("latin-1").partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if target == RANGE_TARGET:
            _range(store, exchange, fields)
        elif target == WATCH_TARGET:
            _watch(store, exchange, fields)
        else:
            exchange.answer(404, [], b"")

    return handle


def _range(store: Store, exchange: Exchange, fields: dict[str, str]) -> None:
    prefix, after = fields.get("prefix", ""), fields.get("after", "")
    keys = sorted(key for key in store.items if key.startswith(prefix) and key > after)
    items = [_item(key, *store.items[key]) for key in keys[:PAGE_ITEMS]]
    document = {
        "items": items,
        "truncated": len(keys) > PAGE_ITEMS,
        "currentRev": store.revision,
    }
    exchange.answer(200, JSON_HEADERS, orjson.dumps(document))


def _watch(store: Store, exchange: Exchange, fields: dict[str, str]) -> None:
    after = int(fields.get("after", "0"))
    if after < store.forgotten:
        exchange.answer(410, [], b"")
        return
    waiter = Waiter(exchange, fields.get("prefix", ""), after)
    if _answer(store, waiter):
        return
    store.waiters.append(waiter)
    wait_s = int(fields.get("waitMs", "0")) / MS_PER_S
    store.reactor.callLater(wait_s, _give_up, store, waiter)


def _answer(store: Store, waiter: Waiter) -> bool:
    events = [
        event
        for event in store.history
        if event["revision"] > waiter.after and event["key"].startswith(waiter.prefix)
    ]
    if not events:
        return False
    _send_events(store, waiter, events)
    return True


def _give_up(store: Store, waiter: Waiter) -> None:
    if waiter in store.waiters:
        store.waiters.remove(waiter)
        _send_events(store, waiter, [])


def _send_events(store: Store, waiter: Waiter, events: list[Any]) -> None:
    document = {"events": events, "currentRev": store.revision}
    waiter.exchange.answer(200, JSON_HEADERS, orjson.dumps(document))


def _wake(store: Store) -> None:
    if store.is_silent:
        return
    store.waiters = [waiter for waiter in store.waiters if not _answer(store, waiter)]


def _item(key: str, value: bytes, revision: int) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "createRev": revision,
        "lease": 0,
    }
