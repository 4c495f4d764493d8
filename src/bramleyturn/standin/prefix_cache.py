"""Simulate an engine's prefix cache: prompt blocks in limited memory."""

from collections import OrderedDict, deque
from typing import Any, Final, TypedDict

import xxhash

from bramleyturn.standin.answers import canonical

BLOCK_BYTES: Final = 64
MAX_EVENTS: Final = 10_000


class CacheEvent(TypedDict):
    """Describe a block that was stored or evicted."""

    sequence: int
    kind: str
    block: str
    at_ms: int


class PrefixCache:
    """Hold the cached blocks, least recently used first, and the recent events."""

    def __init__(self, blocks: int, gap_every: int) -> None:
        self.limit = blocks
        self.gap_every = gap_every
        self.blocks: OrderedDict[str, None] = OrderedDict()
        self.events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self.sequence = 0
        self.hits = 0
        self.misses = 0


def blocks_of(model: str, value: Any) -> list[str]:
    """Return the names of the prompt's blocks; each depends on all before it."""
    text = canonical(value)
    names: list[str] = []
    parent = model.encode()
    for start in range(0, len(text), BLOCK_BYTES):
        name = xxhash.xxh64_hexdigest(parent + text[start : start + BLOCK_BYTES])
        names.append(name)
        parent = name.encode()
    return names


def cached_blocks(cache: PrefixCache, names: list[str]) -> int:
    """Return the length of the longest cached prefix, in blocks."""
    for count, name in enumerate(names):
        if name not in cache.blocks:
            return count
    return len(names)


def store_blocks(cache: PrefixCache, names: list[str], now_ms: int) -> None:
    """Store blocks, and evict the least recently used beyond the limit."""
    for name in names:
        if name in cache.blocks:
            cache.blocks.move_to_end(name)
            continue
        cache.blocks[name] = None
        _record_event(cache, "stored", name, now_ms)
    while len(cache.blocks) > cache.limit:
        name, _ = cache.blocks.popitem(last=False)
        _record_event(cache, "evicted", name, now_ms)


def events_after(cache: PrefixCache, after: int, until_ms: int) -> list[CacheEvent]:
    """Return events with a sequence above ``after`` up to the time ``until_ms``."""
    return [
        event
        for event in cache.events
        if event["sequence"] > after and event["at_ms"] <= until_ms
    ]


def _record_event(cache: PrefixCache, kind: str, block: str, now_ms: int) -> None:
    """Add an event; lose one out of every ``gap_every``."""
    cache.sequence += 1
    if cache.gap_every and cache.sequence % cache.gap_every == 0:
        return
    cache.events.append(
        CacheEvent(sequence=cache.sequence, kind=kind, block=block, at_ms=now_ms)
    )
