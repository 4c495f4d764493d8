"""Record the limits that servers name, and wait for a server's turn."""

import logging
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.placement import server_pauses
from bramleyturn.core.placement.server_limits import (
    LimitHint,
    forget_runs,
    import_limits,
    is_limited,
    limit_wait_ms,
    note_limit,
    take_request,
)
from bramleyturn.core.placement.server_pauses import pause_wait_ms
from bramleyturn.gateway.cold_servers import own_turn_wait_ms, take_own_turn
from bramleyturn.gateway.metrics import count, gauge
from bramleyturn.gateway.serving import Serving

# A request waits this long at most for the turn of a server with a limit.
MAX_WAIT_MS: Final = 1_000
# Other instances may send to the servers at once.
NO_TURN_RETRY_AFTER_MS: Final = 250
MAX_SENT_LIMITS: Final = 16
# The longest time that a caller may wait, without a configuration.
DEFAULT_WAIT_MS: Final = 10_000

logger = logging.getLogger(__name__)


class LimitReached(NamedTuple):
    """Report that all servers have reached their limits, for the next ``wait_ms``."""

    wait_ms: int


class Turn(NamedTuple):
    """Hold a server that has a limit, and how long to wait before it is sent to."""

    server: BackendServer
    wait_ms: int


def note_answer(
    serving: Serving, server: BackendServer, rate_per_s: float | None
) -> None:
    """Record the limit that a server's answer names, None if it names none."""
    limits = serving.server_limits
    run = run_name(server)
    if rate_per_s is None and not is_limited(limits, run):
        return
    if note_limit(limits, run, rate_per_s, serving.now_ms()):
        _log_change(serving, LimitHint(run, rate_per_s, 0), serving.me.name)


def merge_limits(serving: Serving, sender: str, hints: Iterable[LimitHint]) -> None:
    """Record the limits of registered servers that another instance told."""
    told = list(hints)
    if not told:
        return
    runs = registered_runs(serving)
    known = [hint for hint in told if hint.run in runs]
    for hint in import_limits(serving.server_limits, known, serving.now_ms()):
        _log_change(serving, hint, sender)


def forget_limits(serving: Serving) -> None:
    """Drop the limits and pauses of runs that are no longer registered."""
    limits, pauses = serving.server_limits, serving.server_pauses
    if not limits.by_run and not pauses.by_run:
        return
    runs = registered_runs(serving)
    forget_runs(limits, runs, serving.now_ms())
    server_pauses.forget_runs(pauses, runs)


def registered_runs(serving: Serving) -> frozenset[str]:
    """Return the names of the runs of all registered servers."""
    return frozenset(
        run_name(entry.server) for entry in serving.registry.entries.values()
    )


def wait_for(
    serving: Serving, server: BackendServer, is_sole: bool = False
) -> int | None:
    """Return how long to wait, in milliseconds, before a request to a server.

    None means that this instance sends it nothing. ``is_sole`` is set if no other
    instance sends to this server; it has to wait for a turn then if the server is cold.
    """
    limits, pauses = serving.server_limits, serving.server_pauses
    turn_ms = own_turn_wait_ms(serving, server) if is_sole else 0
    if not limits.by_run and not pauses.by_run:
        return turn_ms
    run, now_ms = run_name(server), serving.now_ms()
    wait_ms = limit_wait_ms(limits, run, now_ms, is_sole)
    if wait_ms is None:
        return None
    return max(wait_ms, turn_ms, pause_wait_ms(pauses, run, now_ms))


def begin_call(serving: Serving, server: BackendServer) -> Callable[[], bool]:
    """Count a call to a server to which no other instance sends.

    The result is to be called once the connection is open, and returns whether the call
    may be sent.
    """
    count_request(serving, server)
    return take_own_turn(serving, server)


def count_request(serving: Serving, server: BackendServer) -> None:
    """Count a request to a server that has a limit or named a time."""
    limits, pauses = serving.server_limits, serving.server_pauses
    if not limits.by_run and not pauses.by_run:
        return
    run = run_name(server)
    if is_limited(limits, run):
        take_request(limits, run)
        count(serving.metrics, "limited_requests", server.pool)
    if run in pauses.by_run:
        server_pauses.take_request(
            pauses, run, longest_wait_ms(serving), serving.now_ms()
        )
        count(serving.metrics, "requests_to_paused_servers", server.pool)


def longest_wait_ms(serving: Serving) -> int:
    """Return the longest time that a caller may wait, in milliseconds."""
    published = serving.published
    routes = published.routes if published is not None else ()
    return max((route.timeout_ms for route in routes), default=DEFAULT_WAIT_MS)


def open_servers(
    serving: Serving, servers: Iterable[BackendServer]
) -> list[BackendServer]:
    """Return the servers that may be sent a request now."""
    return [server for server in servers if wait_for(serving, server) == 0]


def take_turn(
    serving: Serving, servers: Iterable[BackendServer], most_ms: int
) -> Turn | LimitReached | None:
    """Take the first turn at one of the servers that have reached their limits.

    Return when one may be sent to if that is later than ``most_ms``, and None if there
    is no server.
    """
    known = list(servers)
    waits = [
        Turn(server, wait_ms)
        for server in known
        if (wait_ms := wait_for(serving, server)) is not None
    ]
    if not waits:
        return LimitReached(NO_TURN_RETRY_AFTER_MS) if known else None
    turn = min(waits, key=lambda each: each.wait_ms)
    if turn.wait_ms > min(most_ms, MAX_WAIT_MS):
        count(serving.metrics, "limit_refusals", turn.server.pool)
        return LimitReached(turn.wait_ms)
    count_request(serving, turn.server)
    count(serving.metrics, "limit_waits", turn.server.pool)
    return turn


def encode_limits(hints: Iterable[LimitHint]) -> list[Any]:
    """Encode limits for a heartbeat."""
    return [list(hint) for hint in hints]


def decode_limits(rows: Any) -> tuple[LimitHint, ...]:
    """Decode limits; raise ValueError or TypeError if they are malformed."""
    return tuple(_decode_limit(*row) for row in rows[:MAX_SENT_LIMITS])


def _decode_limit(run: Any, rate_per_s: Any, age_ms: Any) -> LimitHint:
    if not isinstance(run, str) or type(age_ms) is not int or age_ms < 0:
        raise TypeError("a limit of a server is malformed")
    if rate_per_s is None:
        return LimitHint(run, None, age_ms)
    if not isinstance(rate_per_s, int | float) or not 0 <= rate_per_s < 1e9:
        raise ValueError("the rate of a limit is out of range")
    return LimitHint(run, float(rate_per_s), age_ms)


def _log_change(serving: Serving, hint: LimitHint, reporter: str) -> None:
    limits = serving.server_limits
    limit = limits.by_run[hint.run]
    in_force = sum(each.rate_per_s is not None for each in limits.by_run.values())
    gauge(serving.metrics, "server_limits", in_force)
    logger.info(
        "server limit changed",
        extra={
            "server": hint.run,
            "limit_per_s": hint.rate_per_s,
            "reporter": reporter,
            "age_ms": hint.age_ms,
            "is_sender": limit.is_sender,
            "instances": len(limits.instances),
        },
    )
    if reporter == serving.me.name:
        for notify in serving.on_limits_changed:
            notify()
