"""Judge backend servers by what became of the requests that they were sent.

It answers servers that crash, hang or fail a part of their requests while their own
health check is good: our own traffic decides, and a doubted server gets little until
it has answered well again.
"""

from typing import Final

FIRST_EJECTION_MS: Final = 500
MAX_EJECTION_MS: Final = 8_000
# One failure may be chance; a broken connection is not.
FAILURES_TO_EJECT: Final = 2
RATE_WEIGHT: Final = 0.15
# A server that fails a larger part of its requests is avoided while others are left.
MAX_FAILURE_RATE: Final = 0.25


class ServerHealth:
    """Hold what one server's answers showed."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.failure_rate = 0.0


class HealthTracker:
    """Hold the health of every server that was used."""

    def __init__(self) -> None:
        self.by_id: dict[str, ServerHealth] = {}


def health_of(book: HealthTracker, server_id: str) -> ServerHealth:
    """Return what is known of a server."""
    health = book.by_id.get(server_id)
    if health is None:
        health = book.by_id[server_id] = ServerHealth()
    return health


def note_answered(book: HealthTracker, server_id: str) -> None:
    """Note that a server answered well."""
    health = health_of(book, server_id)
    health.failures = 0
    health.failure_rate *= 1 - RATE_WEIGHT
    if health.failure_rate < MAX_FAILURE_RATE:
        health.ejections = 0


def note_failed(
    book: HealthTracker, server_id: str, now_ms: int, is_certain: bool = False
) -> bool:
    """Note a failure; return whether the server is now avoided.

    ``is_certain`` marks a failure that can't be chance, such as a refused connection.
    """
    health = health_of(book, server_id)
    health.failures += 1
    health.failure_rate += RATE_WEIGHT * (1 - health.failure_rate)
    is_bad = health.failures >= FAILURES_TO_EJECT
    if not is_certain and not is_bad and health.failure_rate < MAX_FAILURE_RATE:
        return False
    away_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(health.ejections, 10))
    health.ejections += 1
    health.ejected_until_ms = now_ms + away_ms
    return True


def is_avoided(book: HealthTracker, server_id: str, now_ms: int) -> bool:
    """Return whether a server is better not used now."""
    health = book.by_id.get(server_id)
    return health is not None and health.ejected_until_ms > now_ms


def forget_servers(book: HealthTracker, kept: frozenset[str]) -> None:
    """Drop the servers that are no longer registered."""
    for server_id in book.by_id.keys() - kept:
        del book.by_id[server_id]
