"""Read which availability zone an operator's entry evacuates."""

from typing import Final

EVACUATIONS_PREFIX: Final = "op/evacuate/"


def evacuated_zone(key: str) -> str:
    """Return the zone that an entry evacuates for as long as the entry exists.

    The value of the entry does not matter.
    """
    return key.removeprefix(EVACUATIONS_PREFIX)
