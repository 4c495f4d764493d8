"""Grant turns, permits to send one request to a cold server.

Load pattern handled here: hundreds of instances whose callers all wait for a server
that has just started. Each would send it what a warm server handles, and it would
crash again.

There is no shared counter. One instance, the owner, grants turns for all, at a fixed
distance for each run of a server, so that none are saved up. A partition may leave two
owners, one on each side, and neither can know. So each grants at most half of what the
server may get in a second.

An owner grants nothing that is unsafe to grant: it must hear most of the instances that
it knew lately, and it waits after it became the owner until the turns of the one before
are over.
"""

from collections import OrderedDict
from collections.abc import Iterable
from math import ceil
from typing import Final, NamedTuple

from bramleyturn.core.coldstart.cold_runs import MAX_RUNS, ColdRule
from bramleyturn.core.units import MS_PER_S

# A turn is used within this time or not at all.
USE_MS: Final = 100
# By how much more the ways of two requests to a server may differ.
WAY_MS: Final = 20
# How long the answer to an ask is waited for.
ASK_TIMEOUT_MS: Final = 60
# A new owner grants nothing for this long, and no turn lies as far ahead, so that those
# of an owner that has crashed are over by then.
SETTLE_MS: Final = 1_000
MAX_AHEAD_MS: Final = SETTLE_MS - USE_MS - WAY_MS - ASK_TIMEOUT_MS
# As many owners may grant turns at once without knowing of each other.
MAX_OWNERS: Final = 2
# An owner that was paused for longer may have lost its task meanwhile.
MAX_CHECK_GAP_MS: Final = 600
# An instance that has heard of no other may have started behind a partition. By then
# heartbeats have told of the others.
ALONE_MS: Final = 15_000
# The time to name if the owner itself may not grant turns.
RETRY_MS: Final = 250


class Grant(NamedTuple):
    """Hold the run that a request may be sent to, and when.

    The run is empty if there is no turn in time; ``wait_ms`` is then how long it is
    until the next one.
    """

    run: str
    wait_ms: int


class Turn(NamedTuple):
    """Hold the run that one request may be sent to, and from when until when."""

    run: str
    from_ms: int
    until_ms: int


class Hearing(NamedTuple):
    """Hold how many instances are live and were lately, with the own one.

    ``expects_others`` is whether the settings name other instances.
    """

    live: int
    recent: int
    expects_others: bool


class TurnGrants:
    """Hold when the next turn of each run is, the latest granted last.

    ``owner_since_ms`` is since when this instance is the owner, None if it is not.
    ``is_allowed`` is whether it may grant turns as of ``checked_ms``.
    """

    def __init__(self, now_ms: int) -> None:
        self.started_ms = now_ms
        self.checked_ms = now_ms
        self.owner_since_ms: int | None = None
        self.is_allowed = False
        self.next_ms: OrderedDict[str, int] = OrderedDict()


def note_ownership(grants: TurnGrants, is_owner: bool, now_ms: int) -> None:
    """Record whether this instance is the owner; to be called at short intervals."""
    was_paused = now_ms - grants.checked_ms > MAX_CHECK_GAP_MS
    grants.checked_ms = now_ms
    if not is_owner:
        grants.owner_since_ms = None
    elif grants.owner_since_ms is None or was_paused:
        grants.owner_since_ms = now_ms


def may_grant(grants: TurnGrants, hearing: Hearing, now_ms: int) -> bool:
    """Return whether this instance may grant turns now."""
    since_ms = grants.owner_since_ms
    if since_ms is None or now_ms - since_ms < SETTLE_MS:
        return False
    if hearing.recent == 1 and hearing.expects_others:
        return now_ms - grants.started_ms >= ALONE_MS
    return 2 * hearing.live > hearing.recent


def interval_ms(rule: ColdRule) -> int | None:
    """Return the distance of two turns, None if there may be none.

    A second of the server has the turns of ``1 s + USE_MS + WAY_MS`` of an owner at
    most. Their number is one more than the distances that fit in.
    """
    most = int(rule.most_per_s / MAX_OWNERS)
    if most < 1 or rule.rate_per_s <= 0:
        return None
    least_ms = (MS_PER_S + USE_MS + WAY_MS) // most + 1
    return max(least_ms, ceil(MS_PER_S / rule.rate_per_s))


def wait_ms(grants: TurnGrants, run: str, now_ms: int) -> int:
    """Return how long it is until the next turn of a run."""
    return max(0, grants.next_ms.get(run, 0) - now_ms)


def grant_turn(
    grants: TurnGrants,
    options: Iterable[tuple[str, ColdRule]],
    most_ms: int,
    now_ms: int,
) -> Grant:
    """Grant the first turn at one of several runs, the first named among equals."""
    waits = [
        (wait_ms(grants, run, now_ms), place, run, distance_ms)
        for place, (run, rule) in enumerate(options)
        if (distance_ms := interval_ms(rule)) is not None
    ]
    if not waits:
        return Grant("", RETRY_MS)
    first_ms, _, run, distance_ms = min(waits)
    if first_ms > min(most_ms, MAX_AHEAD_MS) or not _has_space(grants, run, now_ms):
        return Grant("", first_ms)
    grants.next_ms[run] = now_ms + first_ms + distance_ms
    grants.next_ms.move_to_end(run)
    return Grant(run, first_ms)


def granted_turn(grant: Grant, asked_ms: int, received_ms: int) -> Turn:
    """Return the turn that an owner granted.

    It was granted between ``asked_ms`` and ``received_ms`` of this instance's clock. A
    request sent within the turn is sent within ``USE_MS`` from the owner's time.
    """
    from_ms = received_ms + grant.wait_ms
    return Turn(grant.run, from_ms, asked_ms + grant.wait_ms + USE_MS)


def is_valid(turn: Turn, run: str, now_ms: int) -> bool:
    """Return whether a turn allows a request to a run now."""
    return turn.run == run and turn.from_ms <= now_ms <= turn.until_ms


def _has_space(grants: TurnGrants, run: str, now_ms: int) -> bool:
    """Return whether the turn of a run can be recorded; drop what is over if not."""
    if run in grants.next_ms or len(grants.next_ms) < MAX_RUNS:
        return True
    for known, next_ms in list(grants.next_ms.items()):
        if next_ms <= now_ms:
            del grants.next_ms[known]
    return len(grants.next_ms) < MAX_RUNS
