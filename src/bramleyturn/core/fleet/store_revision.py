"""Order what the store says, over its returns from older copies.

The store counts its changes. When it comes back from an older copy, it loses the last
of them and gives their numbers out again; its era then rises by one.
"""

from typing import Final, NamedTuple

# Of a revision that was told without an era, by the store or an instance of an earlier
# build. It is older than every era that the store names.
UNKNOWN_ERA: Final = 0


class StoreRevision(NamedTuple):
    """Identify a state of the store; a higher one is newer."""

    era: int
    number: int


FIRST_REVISION: Final = StoreRevision(UNKNOWN_ERA, 0)
