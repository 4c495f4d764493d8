"""Estimate how long calls take, from the configuration and from past calls."""

from typing import Final

from bramleyturn.core.pieces.planner import Planner, RunningCall
from bramleyturn.core.pieces.stage_server import (
    SILENT_WAIT_MS,
    StageServer,
    free_at_ms,
    is_silent,
)

# Weight of the newest call in the EWMA of the work of a piece.
WORK_WEIGHT: Final = 0.3
MIN_WORK: Final = 0.05
MAX_WORK: Final = 4.0


def piece_ms(planner: Planner, result_bytes: int, now_ms: int) -> float:
    """Return the time in which the whole pool makes one piece while it is busy."""
    limits = planner.limits
    speed = _total_speed(planner, now_ms)
    if not speed:
        return limits.call_ms + limits.item_ms
    own_ms = limits.item_ms * work_of(planner, result_bytes)
    return (limits.call_ms / limits.batch_items + own_ms) / speed


def server_count(planner: Planner, now_ms: int) -> float:
    """Return how many servers at the usual pace could do the work of the pool."""
    return _total_speed(planner, now_ms) or 1.0


def _total_speed(planner: Planner, now_ms: int) -> float:
    return sum(1 / server.pace for server in _expected_servers(planner, now_ms))


def stage_ms(planner: Planner, count: int, result_bytes: int) -> float:
    """Return the nominal time of ``count`` pieces of a stage that run in parallel."""
    limits = planner.limits
    in_call = min(count, limits.batch_items)
    return limits.call_ms + limits.item_ms * in_call * work_of(planner, result_bytes)


def busy_ms(planner: Planner, now_ms: int) -> float:
    """Return for how long the servers are still busy on average."""
    servers = _expected_servers(planner, now_ms)
    if not servers:
        waits_ms = [
            free_at_ms(each, now_ms) - now_ms for each in planner.servers.values()
        ]
        return min(waits_ms, default=SILENT_WAIT_MS)
    return sum(free_at_ms(server, now_ms) - now_ms for server in servers) / len(servers)


def _expected_servers(planner: Planner, now_ms: int) -> list[StageServer]:
    """Return the servers that answer, and want calls within ``SILENT_WAIT_MS``."""
    return [
        server
        for server in planner.servers.values()
        if not is_silent(server, now_ms)
        and server.backoff_until_ms - now_ms <= SILENT_WAIT_MS
    ]


def work_of(planner: Planner, result_bytes: int) -> float:
    """Return the work of a piece relative to the configured ``item_ms``.

    Stages that share a pool differ in it, and are told apart by the size of their
    results.
    """
    return planner.work.get(result_bytes, 1.0)


def learn_work(
    planner: Planner, server: StageServer, running: RunningCall, took_ms: int
) -> None:
    """Update the work of a piece from a call whose pieces have equal results.

    A server's pace counts relative to the fastest one of the pool. Its own pace is in
    turn estimated from the work, so that both would drift apart without a reference.
    """
    sizes = set(running.result_bytes)
    limits = planner.limits
    if len(sizes) != 1 or limits.item_ms <= 0 or server.pace <= 0:
        return
    size = running.result_bytes[0]
    paces = [each.pace for each in planner.servers.values()]
    fastest = min(paces, default=server.pace)
    own_ms = took_ms * fastest / server.pace
    item_ms = (own_ms - limits.call_ms) / len(running.result_bytes)
    seen = min(MAX_WORK, max(MIN_WORK, item_ms / limits.item_ms))
    known = planner.work.get(size, 1.0)
    planner.work[size] = known + WORK_WEIGHT * (seen - known)
