"""Know the results that lie on a server and the room that they take."""

import heapq
from typing import NamedTuple


class Held(NamedTuple):
    """Hold the size of a result and when its server drops it by itself."""

    size: int
    until_ms: int


class HeldResults:
    """Hold results by handle.

    ``releasing`` has those that the server was told to drop and has yet to confirm.
    """

    def __init__(self) -> None:
        self.by_handle: dict[str, Held] = {}
        self.releasing: set[str] = set()
        self.total_bytes = 0
        self.expiries: list[tuple[int, str]] = []


def keep(results: HeldResults, handle: str, size: int, until_ms: int) -> None:
    """Count a result until it is dropped or expires."""
    drop(results, handle)
    results.by_handle[handle] = Held(size, until_ms)
    results.total_bytes += size
    heapq.heappush(results.expiries, (until_ms, handle))


def drop(results: HeldResults, handle: str) -> None:
    """Count a result no longer."""
    known = results.by_handle.pop(handle, None)
    if known is not None:
        results.total_bytes -= known.size
    results.releasing.discard(handle)


def drop_expired(results: HeldResults, now_ms: int) -> None:
    """Count no longer what the server has dropped by itself."""
    while results.expiries and results.expiries[0][0] <= now_ms:
        _, handle = heapq.heappop(results.expiries)
        known = results.by_handle.get(handle)
        if known is not None and known.until_ms <= now_ms:
            drop(results, handle)


def drop_where_not_releasing(results: HeldResults) -> None:
    """Keep only what the server was told to drop: the rest is another planner's."""
    for handle in results.by_handle.keys() - results.releasing:
        drop(results, handle)
