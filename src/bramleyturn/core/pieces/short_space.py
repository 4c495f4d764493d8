"""Free the space of results once their readers have fetched them.

Load pattern handled here: a burst whose results fill the servers of a stage, while
these and their readers have time left. A reader fetches its inputs at once and works
with them for several hundred ms. While the space is short, results are released once
they are fetched. Otherwise they stay until the reader is done, so that another one can
take over from a reader that fails without all stages being run again.
"""

from typing import Final

from bramleyturn.core.pieces.model import Release
from bramleyturn.core.pieces.planner import AskState, Pipeline, Planner
from bramleyturn.core.pieces.releases import release
from bramleyturn.core.pieces.stage_server import free_bytes

# Less free space than this fraction is short.
SHORT_FRACTION: Final = 0.5
# After this time a reader has fetched its inputs: results have a few megabytes, and
# links between servers a gigabit a second at least.
FETCH_MS: Final = 150


def is_short(planner: Planner, now_ms: int) -> bool:
    """Return whether the servers of a pool have little space left for results."""
    limits = planner.limits
    capacity_bytes = limits.result_capacity_bytes * len(planner.servers)
    left_bytes = sum(
        max(0, free_bytes(server, limits, now_ms))
        for server in planner.servers.values()
    )
    return left_bytes < SHORT_FRACTION * capacity_bytes


def release_fetched(pipeline: Pipeline, now_ms: int) -> dict[str, list[Release]]:
    """Return the releases of fetched inputs, by pool, of the pools short of space."""
    handles = [
        handle
        for planner in pipeline.planners.values()
        for state in planner.asks.values()
        if _has_fetched(state, now_ms)
        for handle in state.ask.inputs
    ]
    if not handles:
        return {}
    releases: dict[str, list[Release]] = {}
    freed: set[str] = set()
    for name, planner in pipeline.planners.items():
        if not is_short(planner, now_ms):
            continue
        releases[name] = release(planner, handles)
        named = [handle for each in releases[name] for handle in each.handles]
        freed.update(named)
        until_ms = now_ms + planner.limits.result_ttl_ms
        planner.freed.update(dict.fromkeys(named, until_ms))
    for planner in pipeline.planners.values():
        for state in planner.asks.values():
            state.are_inputs_freed |= not freed.isdisjoint(state.ask.inputs)
    return releases


def drop_freed(planner: Planner, handles: list[str], now_ms: int) -> list[str]:
    """Return the handles that were not released already, and forget the others."""
    planner.freed = {
        handle: until_ms
        for handle, until_ms in planner.freed.items()
        if until_ms > now_ms
    }
    left = [handle for handle in handles if handle not in planner.freed]
    for handle in handles:
        planner.freed.pop(handle, None)
    return left


def _has_fetched(state: AskState, now_ms: int) -> bool:
    """Return whether all pieces of an ask are in calls that have read its inputs."""
    if not state.ask.is_only_reader or state.are_inputs_freed:
        return False
    if state.waiting or state.awaited or state.is_moved or not state.running:
        return False
    return now_ms - state.last_served_ms >= FETCH_MS
