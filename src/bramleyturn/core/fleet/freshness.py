"""Decide which instances watch the store, and know how fresh everybody's copy is.

A watch of each instance would make calls to the store in proportion to instances times
changes. So a few instances of each availability zone watch, and tell the others with
their heartbeats up to where the store was known and how long ago. Whoever does not hear
that its copy is fresh watches by itself until it does.
"""

from collections.abc import Iterable
from typing import Final

from bramleyturn.core.fleet.members import MemberRef
from bramleyturn.core.fleet.owners import owner_order

STORE: Final = "store"
# Two instances of a zone may be lost or cut off before others have to step in.
WATCHERS_PER_ZONE: Final = 2
# A watch that waits confirms nothing until it returns, and heartbeats take a while.
STALE_MS: Final = 1_500
# What another instance tells may have been on its way for this long. Without it, word
# that goes round between instances would look fresher with each step.
NETWORK_DELAY_MS: Final = 50


class Freshness:
    """Hold when the store is known to have had nothing newer than ``revision``."""

    def __init__(self, now_ms: int) -> None:
        self.revision = 0
        self.confirmed_ms = now_ms - STALE_MS


def note_confirmed(freshness: Freshness, revision: int, at_ms: int) -> None:
    """Take in that the store had ``revision`` and nothing newer at some time."""
    if revision > freshness.revision:
        freshness.revision = revision
        freshness.confirmed_ms = at_ms
    elif revision == freshness.revision:
        freshness.confirmed_ms = max(freshness.confirmed_ms, at_ms)


def note_peer_confirmation(
    freshness: Freshness, revision: int, told_age_ms: int, now_ms: int
) -> None:
    """Take in how long ago the store had nothing newer than another instance knows.

    That confirms the own copy only if both are at the same revision: what is newer has
    to be fetched first.
    """
    if revision == freshness.revision:
        note_confirmed(freshness, revision, now_ms - told_age_ms - NETWORK_DELAY_MS)


def age_ms(freshness: Freshness, now_ms: int) -> int:
    """Return how long ago the copy was known to be complete."""
    return now_ms - freshness.confirmed_ms


def should_watch(
    freshness: Freshness, me: MemberRef, live: Iterable[MemberRef], now_ms: int
) -> bool:
    """Return whether an instance should watch the store itself."""
    if age_ms(freshness, now_ms) > STALE_MS:
        return True
    own_zone = [member for member in live if member.zone == me.zone]
    watchers = owner_order(STORE, own_zone)[:WATCHERS_PER_ZONE]
    return any(member.name == me.name for member in watchers)
