"""Know which other instances are alive, from the heartbeats that they spread.

Every instance counts its own heartbeats and tells the newest counts that it knows.
An instance whose count stands still for ``SILENT_MS`` is taken for silent. After a
pause of this process itself nobody has been silent: the pause is made up for.
"""

from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import Final, NamedTuple

# Two and a half times the longest time between two heartbeats of one instance.
SILENT_MS: Final = 1_250
FORGET_MS: Final = 60_000
# A zone is cut off or lost if this many instances of it were heard this long ago at
# the latest, and none of them now.
LATELY_MS: Final = 15_000
SILENT_TOGETHER: Final = 2
# A longer time between two turns means that this process was stopped.
PAUSE_MS: Final = 1_000
HEARTBEAT_INTERVAL_MS: Final = 400
MAX_MEMBERS: Final = 2_000
# Direct heartbeats go to this many instances, at random beyond that.
DIRECT_HEARTBEATS: Final = 24
TOLD_MEMBERS: Final = 12


class MemberRef(NamedTuple):
    """Name one run of an instance: its name, zone, address and incarnation.

    ``capacity`` is its processor time in hundredths of a core.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    capacity: int = 100


class Heartbeat(NamedTuple):
    """Tell the count of an instance's heartbeats and the store's revision it knows."""

    member: MemberRef
    beats: int
    revision: int
    is_ending: bool


class MemberState:
    """Hold the newest heartbeat of an instance and when it was new."""

    def __init__(self, heartbeat: Heartbeat, now_ms: int) -> None:
        self.heartbeat = heartbeat
        self.heard_ms = now_ms
        self.doubted_at_count = -1


class Members:
    """Hold the other instances by name."""

    def __init__(self, me: MemberRef, seeds: tuple[str, ...], now_ms: int) -> None:
        self.me = me
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.others: dict[str, MemberState] = {}
        self.count = 0
        self.is_ending = False
        self.turn_ms = now_ms


def merge_heartbeats(
    members: Members, heartbeats: Iterable[Heartbeat], now_ms: int
) -> list[str]:
    """Take in heartbeats; return the names of instances that are new or back."""
    appeared = []
    for heartbeat in heartbeats:
        name = heartbeat.member.name
        if name == members.me.name:
            continue
        known = members.others.get(name)
        if known is None:
            if len(members.others) < MAX_MEMBERS:
                members.others[name] = MemberState(heartbeat, now_ms)
                appeared.append(name)
            continue
        was_live = is_live(members, name, now_ms)
        if not _is_newer(heartbeat, known.heartbeat, was_live):
            continue
        if not was_live:
            appeared.append(name)
        known.heartbeat = heartbeat
        known.heard_ms = now_ms
    return appeared


def suspect(members: Members, name: str) -> None:
    """Take an instance for silent until its next heartbeat."""
    state = members.others.get(name)
    if state is not None:
        state.doubted_at_count = state.heartbeat.beats


def is_live(members: Members, name: str, now_ms: int) -> bool:
    """Return whether an instance is alive as far as is known."""
    if name == members.me.name:
        return True
    state = members.others.get(name)
    if state is None or now_ms - state.heard_ms > SILENT_MS:
        return False
    return state.doubted_at_count != state.heartbeat.beats


def live_members(members: Members, now_ms: int) -> list[MemberRef]:
    """Return the live instances, this one among them, that are not ending."""
    live = [
        state.heartbeat.member
        for name, state in members.others.items()
        if not state.heartbeat.is_ending and is_live(members, name, now_ms)
    ]
    return live if members.is_ending else [members.me, *live]


def silent_zones(members: Members, now_ms: int) -> frozenset[str]:
    """Return the zones that all of their instances have fallen silent in of late.

    There are none for an instance that hears nobody of its own zone either: then it is
    cut off itself.
    """
    live: set[str] = set()
    heard: Counter[str] = Counter()
    for name, state in members.others.items():
        if state.heartbeat.is_ending or now_ms - state.heard_ms > LATELY_MS:
            continue
        zone = state.heartbeat.member.zone
        heard[zone] += 1
        if is_live(members, name, now_ms):
            live.add(zone)
    own_zone = members.me.zone
    if not live or (heard[own_zone] and own_zone not in live):
        return frozenset()
    return frozenset(
        zone
        for zone, count in heard.items()
        if count >= SILENT_TOGETHER and zone not in live and zone != own_zone
    )


def next_heartbeat(
    members: Members, revision: int, random: Random, now_ms: int
) -> tuple[list[Heartbeat], list[str]]:
    """Count a heartbeat; return what to tell, and the addresses to tell it to."""
    paused_ms = now_ms - members.turn_ms - HEARTBEAT_INTERVAL_MS
    members.turn_ms = now_ms
    if paused_ms > PAUSE_MS:
        for state in members.others.values():
            state.heard_ms += paused_ms
    for name, state in list(members.others.items()):
        if now_ms - state.heard_ms > FORGET_MS:
            del members.others[name]
    members.count += 1
    own = Heartbeat(members.me, members.count, revision, members.is_ending)
    live = [
        state
        for name, state in members.others.items()
        if is_live(members, name, now_ms)
    ]
    told = random.sample(live, min(TOLD_MEMBERS, len(live)))
    targets = {
        state.heartbeat.member.address
        for state in random.sample(live, min(DIRECT_HEARTBEATS, len(live)))
    }
    targets.update(_addresses_to_find(members, random, now_ms))
    return [own, *(state.heartbeat for state in told)], sorted(targets)


def newest_holder(
    members: Members, revision: int, random: Random, now_ms: int
) -> MemberRef | None:
    """Return a live instance that knows the newest revision of the store.

    None stands for nobody who knows a newer one than ``revision``. Instances of the
    own zone are preferred, and any of several by chance.
    """
    newer = [
        state.heartbeat
        for name, state in members.others.items()
        if state.heartbeat.revision > revision and is_live(members, name, now_ms)
    ]
    if not newer:
        return None
    newest = max(heartbeat.revision for heartbeat in newer)
    holders = [each.member for each in newer if each.revision == newest]
    near = [member for member in holders if member.zone == members.me.zone]
    return random.choice(near or holders)


def _addresses_to_find(members: Members, random: Random, now_ms: int) -> list[str]:
    """Return a seed and a silent instance: either may be back, or known to others."""
    silent = [
        state.heartbeat.member.address
        for name, state in members.others.items()
        if not is_live(members, name, now_ms)
    ]
    found = [random.choice(members.seeds)] if members.seeds else []
    return found + ([random.choice(silent)] if silent else [])


def _is_newer(heartbeat: Heartbeat, known: Heartbeat, is_known_live: bool) -> bool:
    # Incarnations begin with the wall clock, which may have stepped back meanwhile.
    if heartbeat.member.incarnation != known.member.incarnation:
        return (
            heartbeat.member.incarnation > known.member.incarnation or not is_known_live
        )
    return heartbeat.beats > known.beats
