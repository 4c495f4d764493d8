"""Keep the request rates that servers accept, for all instances together.

No instance counts for all. A server's rate is divided among a few instances, its
senders: the first ones by a hash of the server and their names, so that all agree on
them as far as they agree on who is there. Each sender earns requests at its share of
the rate and saves few, so that even senders that all send what they have saved stay
near the rate. The others choose other servers.

An instance that is silent keeps its share for a while, since it may only be cut off. A
limit ends with an answer that names none, or with the run of its server.
"""

from collections.abc import Iterable
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.short_hash import short_hash
from bramleyturn.core.units import MS_PER_S

# The rest is for instances that do not know of each other, and for late messages.
USED_FRACTION: Final = 0.8
# Each sender may have saved a request, so their number is limited with the rate.
BASE_SENDERS: Final = 4
# What a sender with a high rate may save: its requests of this time.
SAVED_MS: Final = 250
# Until a new process knows the other instances, it assumes that there are this many.
SETTLE_MS: Final = 3_000
MIN_INSTANCES: Final = 4
# A server that accepts nothing is still sent a request now and then: only its answers
# can end the limit.
LEAST_RATE_PER_S: Final = 0.1
# An answer without a limit may have been written before the last one with it.
LEAST_NAMED_MS: Final = 500
# What is told ages by this with each instance, so that nothing is refreshed by being
# passed on in circles.
TOLD_AGE_MS: Final = 50
ENDED_RETENTION_MS: Final = 60_000
MAX_SERVERS: Final = 1_000


class LimitHint(NamedTuple):
    """Tell the limit that a run of a server named, None if it named none any more."""

    run: str
    rate_per_s: float | None
    age_ms: int


class ServerLimit:
    """Hold what a run of a server named last, and what this instance has earned.

    ``tokens`` are requests that may be sent, negative if some were sent in advance.
    """

    def __init__(self, rate_per_s: float | None, said_ms: int) -> None:
        self.rate_per_s = rate_per_s
        self.said_ms = said_ms
        self.tokens = 0.0
        self.refilled_ms = said_ms
        self.is_sender = False


class ServerLimits:
    """Hold the limits by run of a server, and the names of the instances."""

    def __init__(self, me: str, now_ms: int) -> None:
        self.me = me
        self.settled_ms = now_ms + SETTLE_MS
        self.instances: frozenset[str] = frozenset((me,))
        self.by_run: dict[str, ServerLimit] = {}


def note_limit(
    limits: ServerLimits, run: str, rate_per_s: float | None, now_ms: int
) -> bool:
    """Record the limit that an answer names; return whether it changed."""
    if rate_per_s is None:
        known = limits.by_run.get(run)
        if known is None or known.rate_per_s is None:
            return False
        if now_ms - known.said_ms < LEAST_NAMED_MS:
            return False
    return _record(limits, LimitHint(run, rate_per_s, 0), now_ms)


def import_limits(
    limits: ServerLimits, hints: Iterable[LimitHint], now_ms: int
) -> list[LimitHint]:
    """Record limits that another instance told; return those that changed."""
    aged = [hint._replace(age_ms=hint.age_ms + TOLD_AGE_MS) for hint in hints]
    return [hint for hint in aged if _record(limits, hint, now_ms)]


def choose_limit_hints(
    limits: ServerLimits, random: Random, most: int, now_ms: int
) -> list[LimitHint]:
    """Return limits to tell another instance, random ones if there are too many."""
    runs = list(limits.by_run)
    if len(runs) > most:
        runs = random.sample(runs, most)
    return [
        LimitHint(run, each.rate_per_s, max(0, now_ms - each.said_ms))
        for run in runs
        if (each := limits.by_run[run])
    ]


def update_instances(
    limits: ServerLimits, instances: Iterable[str], now_ms: int
) -> None:
    """Replace the instances among which rates are divided."""
    known = frozenset(instances)
    if known == limits.instances:
        return
    limits.instances = known
    for run, limit in limits.by_run.items():
        _update_sender(limits, run, limit, now_ms)


def forget_runs(limits: ServerLimits, kept: frozenset[str], now_ms: int) -> None:
    """Drop the limits of runs that are no longer registered, and ended ones."""
    for run, limit in list(limits.by_run.items()):
        has_ended = limit.rate_per_s is None
        if run not in kept or (
            has_ended and now_ms - limit.said_ms > ENDED_RETENTION_MS
        ):
            del limits.by_run[run]


def is_limited(limits: ServerLimits, run: str) -> bool:
    """Return whether a run of a server has a limit."""
    limit = limits.by_run.get(run)
    return limit is not None and limit.rate_per_s is not None


def limit_wait_ms(
    limits: ServerLimits, run: str, now_ms: int, is_sole: bool = False
) -> int | None:
    """Return when a request may be sent, in milliseconds, None for a non-sender.

    ``is_sole`` is set if no other instance sends to this server.
    """
    limit = limits.by_run.get(run)
    if limit is None or limit.rate_per_s is None:
        return 0
    if not (is_sole or limit.is_sender):
        return None
    rate_per_s = _own_rate_per_s(limits, limit.rate_per_s, is_sole, now_ms)
    _refill(limit, rate_per_s, now_ms)
    if limit.tokens >= 1.0:
        return 0
    return 1 + int((1.0 - limit.tokens) * MS_PER_S / rate_per_s)


def take_request(limits: ServerLimits, run: str) -> None:
    """Count a request to a server, which may be sent in advance."""
    limit = limits.by_run.get(run)
    if limit is not None and limit.rate_per_s is not None:
        limit.tokens -= 1.0


def _record(limits: ServerLimits, hint: LimitHint, now_ms: int) -> bool:
    said_ms = now_ms - hint.age_ms
    limit = limits.by_run.get(hint.run)
    if limit is None:
        if len(limits.by_run) >= MAX_SERVERS:
            return False
        limit = limits.by_run[hint.run] = ServerLimit(None, said_ms)
    elif said_ms <= limit.said_ms:
        return False
    before = limit.rate_per_s
    limit.rate_per_s, limit.said_ms = hint.rate_per_s, said_ms
    if before is None and hint.rate_per_s is not None:
        limit.is_sender = False
        _update_sender(limits, hint.run, limit, now_ms)
        # All instances begin with one, as if they had saved it. A new process does not:
        # the one before may have sent it.
        limit.tokens = 1.0 if now_ms >= limits.settled_ms else 0.0
    else:
        _update_sender(limits, hint.run, limit, now_ms)
    return before != hint.rate_per_s


def _update_sender(
    limits: ServerLimits, run: str, limit: ServerLimit, now_ms: int
) -> None:
    was_sender = limit.is_sender
    if limit.rate_per_s is None:
        limit.is_sender = False
        return
    most = _max_senders(limit.rate_per_s)
    ranked = sorted(limits.instances, key=lambda name: short_hash(f"{run}\0{name}"))
    limit.is_sender = limits.me in ranked[:most]
    if limit.is_sender and not was_sender:
        limit.tokens = 0.0
        limit.refilled_ms = now_ms


def _max_senders(rate_per_s: float) -> int:
    return BASE_SENDERS + int(rate_per_s)


def _own_rate_per_s(
    limits: ServerLimits, rate_per_s: float, is_sole: bool, now_ms: int
) -> float:
    used_per_s = max(LEAST_RATE_PER_S, rate_per_s) * USED_FRACTION
    if is_sole:
        return used_per_s
    least = 1 if now_ms >= limits.settled_ms else MIN_INSTANCES
    instances = max(least, len(limits.instances))
    return used_per_s / min(instances, _max_senders(rate_per_s))


def _refill(limit: ServerLimit, rate_per_s: float, now_ms: int) -> None:
    passed_ms = max(0, now_ms - limit.refilled_ms)
    limit.refilled_ms = max(limit.refilled_ms, now_ms)
    saved = max(1.0, rate_per_s * SAVED_MS / MS_PER_S)
    limit.tokens = min(saved, limit.tokens + passed_ms * rate_per_s / MS_PER_S)
