"""Track the results stored on a server and the space that they take."""

import heapq
from typing import NamedTuple


class Held(NamedTuple):
    """Hold the size of a result and when it expires on its server."""

    size: int
    until_ms: int


class HeldResults:
    """Hold results by handle.

    ``releasing`` has those whose release the server has not confirmed yet.
    """

    def __init__(self) -> None:
        self.by_handle: dict[str, Held] = {}
        self.releasing: set[str] = set()
        self.total_bytes = 0
        self.expiries: list[tuple[int, str]] = []


def add_result(results: HeldResults, handle: str, size: int, until_ms: int) -> None:
    """Count a result until it is removed or expires."""
    remove_result(results, handle)
    results.by_handle[handle] = Held(size, until_ms)
    results.total_bytes += size
    heapq.heappush(results.expiries, (until_ms, handle))


def remove_result(results: HeldResults, handle: str) -> None:
    """Stop counting a result."""
    known = results.by_handle.pop(handle, None)
    if known is not None:
        results.total_bytes -= known.size
    results.releasing.discard(handle)


def remove_expired(results: HeldResults, now_ms: int) -> None:
    """Stop counting the results that have expired on the server."""
    while results.expiries and results.expiries[0][0] <= now_ms:
        _, handle = heapq.heappop(results.expiries)
        known = results.by_handle.get(handle)
        if known is not None and known.until_ms <= now_ms:
            remove_result(results, handle)


def remove_all_but_releasing(results: HeldResults) -> None:
    """Keep only results being released: another planner now owns the others."""
    for handle in results.by_handle.keys() - results.releasing:
        remove_result(results, handle)
