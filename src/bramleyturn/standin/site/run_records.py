"""Record the requests and calls that the servers of a site ran."""

import time
from typing import Any, Final

from bramleyturn.gateway.exchange import Exchange

NANOSECONDS_PER_MS: Final = 1_000_000


def wall_ms() -> int:
    """Return the time of day, which ledgers and the entries' logs share."""
    return time.time_ns() // NANOSECONDS_PER_MS


class RunRecord:
    """Record one request that a server ran.

    ``ended_ms`` is when the answer was complete, or found to be no longer wanted.
    """

    def __init__(self, attempt_id: str, exchange: Exchange) -> None:
        self.began_ms = wall_ms()
        self.ended_ms: int | None = None
        self.is_whole = False
        self.attempt_id = attempt_id
        self.method = exchange.method.decode()
        self.target = exchange.target.decode()
        self.headers = {
            name.decode(): value.decode() for name, value in exchange.headers
        }
        self.body_bytes = len(exchange.body)


class StageCallRecord:
    """Record one call of a stage server, with the attempts that its pieces are for."""

    def __init__(self, items: list[dict[str, Any]], arrived_ms: int) -> None:
        self.attempt_ids = sorted({str(item["id"]) for item in items})
        self.stage = items[0]["stage"] if items else 0
        self.pieces = len(items)
        self.arrived_ms = arrived_ms
        self.began_ms = wall_ms()
        self.ended_ms: int | None = None
