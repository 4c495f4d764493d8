"""Track which availability zones are evacuated.

Load pattern handled here: an operator empties a zone, also during a burst, and returns
it later. The servers of an evacuated zone get no new work, as if they were leaving;
what they have in progress ends there. Each instance learns of it with its copy of the
store and keeps it while the store is away.

The store may come back from an older copy, which lacks an evacuation of the lost
seconds. It is kept then: the operator was told that it is in force, and only a later
write or removal of the entry shows that it has ended.
"""

from enum import StrEnum


class EvacuationChange(StrEnum):
    """Name what an entry of the store changes for its zone."""

    NONE = "none"
    STARTED = "started"
    KEPT = "kept"
    ENDED = "ended"


class Evacuations:
    """Hold the evacuated zones, and when the evacuation of others ended.

    ``started_ms`` and ``ended_ms`` are when this instance learned of it, by zone.
    """

    def __init__(self) -> None:
        self.started_ms: dict[str, int] = {}
        self.ended_ms: dict[str, int] = {}


def note_evacuation(
    evacuations: Evacuations,
    zone: str,
    is_present: bool,
    is_older_copy: bool,
    now_ms: int,
) -> EvacuationChange:
    """Record whether the store has the entry that evacuates a zone.

    ``is_older_copy`` is set for what the store has after its return from an older copy.
    """
    is_evacuated = zone in evacuations.started_ms
    if is_present and not is_evacuated:
        evacuations.started_ms[zone] = now_ms
        evacuations.ended_ms.pop(zone, None)
        return EvacuationChange.STARTED
    if is_present or not is_evacuated:
        return EvacuationChange.NONE
    if is_older_copy:
        return EvacuationChange.KEPT
    del evacuations.started_ms[zone]
    evacuations.ended_ms[zone] = now_ms
    return EvacuationChange.ENDED


def is_evacuated(evacuations: Evacuations, zone: str) -> bool:
    """Return whether the servers of a zone get no new work."""
    return zone in evacuations.started_ms
