"""Choose the instance that owns a task, by rendezvous hashing.

Every instance ranks the live ones by a hash of task and name, so that all agree on the
owner as far as they agree on who is alive. The owner has no state that must survive it:
when the owner changes, the asks are repeated to the next one.
"""

from collections.abc import Iterable
from functools import lru_cache
from typing import Final

from bramleyturn.core.fleet.members import MAX_MEMBERS, MemberRef
from bramleyturn.core.short_hash import short_hash

# One instance plans all stages, because it must see all stages of a request.
STAGES: Final = "stages"


def owner_order(task: str, members: Iterable[MemberRef]) -> list[MemberRef]:
    """Return the instances in the order in which they would own a task."""
    return sorted(members, key=lambda member: _rank(task, member.name))


def owner_of(task: str, members: Iterable[MemberRef]) -> MemberRef | None:
    """Return the owner of a task, one of the instances with the most capacity."""
    known = list(members)
    most = max((member.capacity for member in known), default=0)
    able = [member for member in known if member.capacity == most]
    return min(able, key=lambda member: _rank(task, member.name), default=None)


@lru_cache(maxsize=MAX_MEMBERS)
def _rank(task: str, name: str) -> bytes:
    return short_hash(f"{task}\0{name}")
