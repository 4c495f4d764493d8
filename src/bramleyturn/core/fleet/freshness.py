"""Decide which instances watch the store, and track how fresh the local copy is.

If every instance watched, the calls to the store would grow with instances times
changes. So a few instances of each availability zone watch. Their heartbeats tell the
others which revision of the store they have, and how long ago it was known to be the
newest. An instance whose copy is not confirmed as fresh watches the store itself until
it is.

Load pattern handled here: hundreds of instances that start together, while servers
register. An instance knows few others at first and would take itself for a watcher, and
each change would be sent to all. So one that has just read everything relies on that
until it has heard of the others.
"""

from collections.abc import Iterable
from typing import Final

from bramleyturn.core.fleet.members import MemberRef
from bramleyturn.core.fleet.owners import owner_order
from bramleyturn.core.fleet.store_revision import (
    FIRST_REVISION,
    UNKNOWN_ERA,
    StoreRevision,
)

STORE: Final = "store"
# Others only have to take over once two instances of a zone are lost or cut off.
WATCHERS_PER_ZONE: Final = 2
# A waiting watch confirms nothing until it returns, and heartbeats take a while.
STALE_MS: Final = 1_500
# Heartbeats have told of all instances after this time, and what was read at the start
# is still fresh.
SETTLE_MS: Final = 1_000
# Assumed network delay of a heartbeat. Without it, a confirmation that is passed on
# between instances would look fresher with each step.
NETWORK_DELAY_MS: Final = 50


class Freshness:
    """Hold when ``revision`` was last known to be the newest of the store.

    ``started_ms`` is when the process started. ``first_era`` is the era of the first
    revision known, None before.
    """

    def __init__(self, now_ms: int) -> None:
        self.revision = FIRST_REVISION
        self.first_era: int | None = None
        self.confirmed_ms = now_ms - STALE_MS
        self.started_ms = now_ms


def full_revision(freshness: Freshness, era: int, number: int) -> StoreRevision:
    """Return the revision that another instance told.

    Instances of earlier builds know no eras. Theirs is the own one as long as the store
    has not returned from an older copy since this process started.
    """
    own_era = freshness.revision.era
    if era == UNKNOWN_ERA and freshness.first_era in (None, own_era):
        era = own_era
    return StoreRevision(era, number)


def note_confirmed(freshness: Freshness, revision: StoreRevision, at_ms: int) -> None:
    """Record that ``revision`` was the newest of the store at ``at_ms``."""
    if freshness.first_era is None:
        freshness.first_era = revision.era
    if revision > freshness.revision:
        freshness.revision = revision
        freshness.confirmed_ms = at_ms
    elif revision == freshness.revision:
        freshness.confirmed_ms = max(freshness.confirmed_ms, at_ms)


def note_peer_confirmation(
    freshness: Freshness, revision: StoreRevision, peer_age_ms: int, now_ms: int
) -> None:
    """Record another instance's confirmation of its copy, ``peer_age_ms`` old.

    It confirms the local copy only if both have the same revision: newer items must be
    fetched first.
    """
    if revision == freshness.revision:
        note_confirmed(freshness, revision, now_ms - peer_age_ms - NETWORK_DELAY_MS)


def age_ms(freshness: Freshness, now_ms: int) -> int:
    """Return how long ago the local copy was last known to be up to date."""
    return now_ms - freshness.confirmed_ms


def should_watch(
    freshness: Freshness, me: MemberRef, live: Iterable[MemberRef], now_ms: int
) -> bool:
    """Return whether this instance should watch the store itself."""
    if age_ms(freshness, now_ms) > STALE_MS:
        return True
    return now_ms - freshness.started_ms >= SETTLE_MS and is_watcher(me, live)


def is_watcher(me: MemberRef, live: Iterable[MemberRef]) -> bool:
    """Return whether this instance watches the store for others of its zone."""
    return watcher_place(me, live) == 0


def watcher_place(me: MemberRef, live: Iterable[MemberRef]) -> int:
    """Return how many instances of the zone come before this one, after the watchers.

    It is 0 for a watcher.
    """
    own_zone = [member for member in live if member.zone == me.zone]
    names = [member.name for member in owner_order(STORE, own_zone)]
    if me.name not in names:
        return len(names)
    return max(0, names.index(me.name) + 1 - WATCHERS_PER_ZONE)
