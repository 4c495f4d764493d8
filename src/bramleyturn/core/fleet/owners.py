"""Agree on which instance plans the work of a pool.

Every instance ranks the live ones by a hash of pool and name, so that all agree as
far as they agree on who is alive. The owner holds nothing that would have to last:
when it changes, the asks are repeated to the next one.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

from bramleyturn.core.fleet.members import MemberRef

HASH_BYTES: Final = 8


def owner_order(pool: str, members: Iterable[MemberRef]) -> list[MemberRef]:
    """Return the instances in the order in which they own ``pool``."""
    return sorted(members, key=lambda member: _rank(pool, member.name))


def owner_of(pool: str, members: Iterable[MemberRef]) -> MemberRef | None:
    """Return the instance that owns ``pool``."""
    return min(members, key=lambda member: _rank(pool, member.name), default=None)


def _rank(pool: str, name: str) -> bytes:
    text = f"{pool}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
