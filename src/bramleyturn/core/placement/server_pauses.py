"""Keep to the times for which servers want no requests from this instance.

Load pattern handled here: servers in need that refuse requests and name a time. If all
that waited came at its end, they would be in need again.

A time is named to one instance and binds that instance only. While it lasts, the server
gets at most ``MAX_CHECKS`` requests, and only if it is long, whether it accepts them or
not. After it, the server gets one request at a time until it has accepted one.
"""

from random import Random
from typing import Final

# Requests that may be sent before the named time is over.
MAX_CHECKS: Final = 2
# After the named time, requests are at least this far apart until one is accepted.
TRIAL_INTERVAL_MS: Final = 200
# Instances that were refused together come back within this part of the named time.
SPREAD: Final = 0.1
MAX_SPREAD_MS: Final = 1_000
# Longer times are not believed: the server is tried again after this one.
MAX_PAUSE_MS: Final = 3_600_000
MAX_SERVERS: Final = 1_000


class ServerPause:
    """Hold until when a run of a server wants nothing, and when it is tried next.

    ``checks`` counts the requests that were sent before ``until_ms``, ``end_ms`` is
    when it is tried afterwards, and ``named_ms`` when a time was last named.
    """

    def __init__(self, now_ms: int) -> None:
        self.named_ms = now_ms
        self.until_ms = now_ms
        self.end_ms = now_ms
        self.next_ms = now_ms
        self.checks = 0


class ServerPauses:
    """Hold the pauses by run of a server."""

    def __init__(self) -> None:
        self.by_run: dict[str, ServerPause] = {}


def note_pause(
    pauses: ServerPauses,
    run: str,
    wait_ms: int,
    check_after_ms: int,
    random: Random,
    now_ms: int,
) -> bool:
    """Record that a server wants nothing for ``wait_ms``; return whether that is new.

    A time that is longer than ``check_after_ms`` is checked at such intervals. Times
    that follow each other without a break share their checks.
    """
    pause = pauses.by_run.get(run)
    is_new = pause is None
    if pause is None:
        if len(pauses.by_run) >= MAX_SERVERS:
            return False
        pause = pauses.by_run[run] = ServerPause(now_ms)
    if now_ms >= pause.until_ms:
        pause.checks = 0
    wait_ms = min(wait_ms, MAX_PAUSE_MS)
    pause.named_ms = now_ms
    pause.until_ms = max(pause.until_ms, now_ms + wait_ms)
    spread_ms = min(MAX_SPREAD_MS, int(wait_ms * SPREAD))
    pause.end_ms = pause.until_ms + random.randrange(spread_ms + 1)
    pause.next_ms = _next_ms(pause, now_ms + check_after_ms)
    return is_new


def note_accepted(pauses: ServerPauses, run: str, sent_ms: int) -> bool:
    """End the pause of a server that accepted a request; return whether it had one.

    A request that was sent at ``sent_ms``, before the end of the named time, ends
    nothing.
    """
    pause = pauses.by_run.get(run)
    if pause is None or sent_ms < pause.until_ms:
        return False
    del pauses.by_run[run]
    return True


def pause_wait_ms(pauses: ServerPauses, run: str, now_ms: int) -> int:
    """Return how long to wait, in milliseconds, before a request to a server."""
    pause = pauses.by_run.get(run)
    return 0 if pause is None else max(0, pause.next_ms - now_ms)


def take_request(
    pauses: ServerPauses, run: str, check_after_ms: int, now_ms: int
) -> None:
    """Count a request to a server, which may be sent when its turn has come."""
    pause = pauses.by_run.get(run)
    if pause is None:
        return
    at_ms = max(now_ms, pause.next_ms)
    if at_ms >= pause.until_ms:
        pause.next_ms = at_ms + TRIAL_INTERVAL_MS
        return
    pause.checks += 1
    pause.next_ms = _next_ms(pause, at_ms + check_after_ms)


def _next_ms(pause: ServerPause, check_ms: int) -> int:
    """Return when the server is tried next, at a check or after the named time."""
    if pause.checks < MAX_CHECKS and check_ms < pause.until_ms:
        return check_ms
    return pause.end_ms


def has_paused_since(pauses: ServerPauses, run: str, since_ms: int) -> bool:
    """Return whether a server named a time after ``since_ms``."""
    pause = pauses.by_run.get(run)
    return pause is not None and pause.named_ms > since_ms


def forget_runs(pauses: ServerPauses, kept: frozenset[str]) -> None:
    """Drop the pauses of runs that are no longer registered."""
    for run in pauses.by_run.keys() - kept:
        del pauses.by_run[run]
