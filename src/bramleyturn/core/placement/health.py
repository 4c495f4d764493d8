"""Eject backend servers that fail requests (passive outlier ejection).

This handles servers that crash, hang or fail a part of their requests while their own
health check passes: the outcome of our requests decides, and an ejected server gets
few of them until it has succeeded again.
"""

from typing import Final

FIRST_EJECTION_MS: Final = 500
MAX_EJECTION_MS: Final = 8_000
# A single failure may be chance, but not a broken connection.
FAILURES_TO_EJECT: Final = 2
FAILURE_RATE_WEIGHT: Final = 0.15
# A server that fails a larger fraction of its requests is avoided if there are others.
MAX_FAILURE_RATE: Final = 0.25


class ServerHealth:
    """Hold the recent failures and ejections of one server."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.failure_rate = 0.0


class HealthTracker:
    """Hold the health of every server that was used, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, ServerHealth] = {}


def health_of(tracker: HealthTracker, server_id: str) -> ServerHealth:
    """Return the health of a server."""
    health = tracker.by_id.get(server_id)
    if health is None:
        health = tracker.by_id[server_id] = ServerHealth()
    return health


def note_answered(tracker: HealthTracker, server_id: str) -> None:
    """Record a success of a server."""
    health = health_of(tracker, server_id)
    health.failures = 0
    health.failure_rate *= 1 - FAILURE_RATE_WEIGHT
    if health.failure_rate < MAX_FAILURE_RATE:
        health.ejections = 0


def note_failed(
    tracker: HealthTracker, server_id: str, now_ms: int, is_certain: bool = False
) -> bool:
    """Record a failure; return whether it ejects the server.

    ``is_certain`` marks a failure that can't be chance, such as a refused connection.
    """
    health = health_of(tracker, server_id)
    health.failures += 1
    health.failure_rate += FAILURE_RATE_WEIGHT * (1 - health.failure_rate)
    is_repeated = health.failures >= FAILURES_TO_EJECT
    if not is_certain and not is_repeated and health.failure_rate < MAX_FAILURE_RATE:
        return False
    ejection_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(health.ejections, 10))
    health.ejections += 1
    health.ejected_until_ms = now_ms + ejection_ms
    return True


def is_avoided(tracker: HealthTracker, server_id: str, now_ms: int) -> bool:
    """Return whether a server is ejected now."""
    health = tracker.by_id.get(server_id)
    return health is not None and health.ejected_until_ms > now_ms


def forget_servers(tracker: HealthTracker, kept: frozenset[str]) -> None:
    """Drop the servers that are no longer registered."""
    for server_id in tracker.by_id.keys() - kept:
        del tracker.by_id[server_id]
