"""Detect which other instances are alive, from gossiped heartbeats.

Every instance counts its own heartbeats and gossips the newest counts that it knows, as
a digest of short entries (core/fleet/digest.py). Heartbeats of others are told in full
only while they are new, and to instances that ask for them or know no digests.
An instance whose count has not increased for ``HEARTBEAT_TIMEOUT_MS`` counts as
silent. A pause of this process itself is not counted as silence of the others.
"""

from bisect import bisect
from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.core.short_hash import short_hash

# Two and a half times the longest interval between two heartbeats of an instance.
HEARTBEAT_TIMEOUT_MS: Final = 1_250
FORGET_AFTER_MS: Final = 60_000
# A zone counts as silent if at least this many of its instances sent a heartbeat within
# this time, and none of them is live now.
RECENT_MS: Final = 15_000
MIN_SILENT_INSTANCES: Final = 2
# A heartbeat that is late by more than this means that this process was paused.
PAUSE_MS: Final = 1_000
HEARTBEAT_INTERVAL_MS: Final = 400
MAX_MEMBERS: Final = 2_000
KEY_BYTES: Final = 4
# Heartbeats are sent to this many instances, chosen at random if there are more, and
# first to some of the own zone.
GOSSIP_FANOUT: Final = 8
NEAR_FANOUT: Final = 4
# News of this instance itself goes to more, in a datagram that tells nothing else.
ANNOUNCEMENT_FANOUT: Final = 24
# Heartbeats of others in one datagram, and how long a new one is told: two intervals.
GOSSIP_MEMBERS: Final = 12
NEWS_MS: Final = 800


class MemberRef(NamedTuple):
    """Identify one incarnation of an instance.

    ``capacity`` is its processor time in hundredths of a core.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    capacity: int = 100


class Heartbeat(NamedTuple):
    """Hold an instance's heartbeat count and the store revision that it has."""

    member: MemberRef
    beats: int
    revision: StoreRevision
    is_ending: bool


class MemberState:
    """Hold the newest heartbeat of an instance and when it was received.

    ``suspected_at_beats`` is the count at which the instance was suspected, and
    ``configuration_version`` what it last said to have in force. ``found_ms`` is when
    its incarnation became known, and ``reads_digests`` whether its build does.
    """

    __slots__ = (
        "beats",
        "configuration_version",
        "found_ms",
        "heard_ms",
        "is_ending",
        "key",
        "member",
        "reads_digests",
        "revision",
        "suspected_at_beats",
    )

    def __init__(self, heartbeat: Heartbeat, now_ms: int) -> None:
        self.member, self.beats, self.revision, self.is_ending = heartbeat
        self.key = member_key(heartbeat.member)
        self.heard_ms = now_ms
        self.suspected_at_beats = -1
        self.configuration_version = 0
        self.found_ms = now_ms
        self.reads_digests = True

    @property
    def heartbeat(self) -> Heartbeat:
        """Return the newest heartbeat."""
        return Heartbeat(self.member, self.beats, self.revision, self.is_ending)


class Members:
    """Hold the other instances by name, and by the key that digests have for them.

    ``shared_keys`` are keys of several instances, whose heartbeats have to be asked for
    in full. ``asked_ms`` is when others were last asked about unknown keys.
    """

    def __init__(self, me: MemberRef, seeds: tuple[str, ...], now_ms: int) -> None:
        self.me = me
        self.own_key = member_key(me)
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.others: dict[str, MemberState] = {}
        self.by_key: dict[int, MemberState] = {}
        self.shared_keys: set[int] = set()
        self.asked_ms: dict[int, int] = {}
        self.own_beats = 0
        self.is_ending = False
        self.last_heartbeat_ms = now_ms


def merge_heartbeats(
    members: Members, heartbeats: Iterable[Heartbeat], now_ms: int
) -> list[str]:
    """Merge received heartbeats; return the names of instances that are new or back."""
    appeared = []
    for heartbeat in heartbeats:
        name = heartbeat.member.name
        if name == members.me.name:
            continue
        known = members.others.get(name)
        if known is None:
            if len(members.others) < MAX_MEMBERS:
                _add(members, MemberState(heartbeat, now_ms))
                appeared.append(name)
            continue
        was_live = _is_live(known, now_ms)
        if not _is_newer(heartbeat, known, was_live):
            # A digest may have told the count before, but tells no revision.
            if heartbeat.member.incarnation == known.member.incarnation:
                known.revision = max(known.revision, heartbeat.revision)
            continue
        if not was_live:
            appeared.append(name)
        if heartbeat.member.incarnation != known.member.incarnation:
            _remove_key(members, known)
            known.key = member_key(heartbeat.member)
            known.found_ms = now_ms
            _add_key(members, known)
        known.member, known.beats, known.revision, known.is_ending = heartbeat
        known.heard_ms = now_ms
    return appeared


def suspect(members: Members, name: str) -> None:
    """Suspect an instance of being down until its next heartbeat."""
    state = members.others.get(name)
    if state is not None:
        state.suspected_at_beats = state.beats


def is_live(members: Members, name: str, now_ms: int) -> bool:
    """Return whether an instance is believed to be alive."""
    if name == members.me.name:
        return True
    state = members.others.get(name)
    return state is not None and _is_live(state, now_ms)


def live_states(members: Members, now_ms: int) -> list[MemberState]:
    """Return what is known of the other live instances."""
    oldest_ms = now_ms - HEARTBEAT_TIMEOUT_MS
    return [
        state
        for state in members.others.values()
        if state.heard_ms >= oldest_ms and state.suspected_at_beats != state.beats
    ]


def live_members(members: Members, now_ms: int) -> list[MemberRef]:
    """Return the live instances, including this one, that are not shutting down."""
    live = [
        state.member for state in live_states(members, now_ms) if not state.is_ending
    ]
    return live if members.is_ending else [members.me, *live]


def recent_members(members: Members, now_ms: int) -> list[str]:
    """Return the names of the instances that are live or have been lately.

    Those that are shutting down are left out.
    """
    recent = [
        name
        for name, state in members.others.items()
        if not state.is_ending and now_ms - state.heard_ms <= RECENT_MS
    ]
    return recent if members.is_ending else [members.me.name, *recent]


def silent_zones(members: Members, now_ms: int) -> frozenset[str]:
    """Return the other zones whose instances have all become silent recently.

    If the other instances of its own zone are silent too, or all instances are, this
    instance is cut off itself, and no zone is returned.
    """
    live: set[str] = set()
    recent: Counter[str] = Counter()
    for state in members.others.values():
        if state.is_ending or now_ms - state.heard_ms > RECENT_MS:
            continue
        zone = state.member.zone
        recent[zone] += 1
        if _is_live(state, now_ms):
            live.add(zone)
    own_zone = members.me.zone
    if not live or (recent[own_zone] and own_zone not in live):
        return frozenset()
    return frozenset(
        zone
        for zone, count in recent.items()
        if count >= MIN_SILENT_INSTANCES and zone not in live and zone != own_zone
    )


def own_heartbeat(members: Members, revision: StoreRevision) -> Heartbeat:
    """Return the last heartbeat of this instance."""
    return Heartbeat(members.me, members.own_beats, revision, members.is_ending)


def live_addresses(members: Members, now_ms: int) -> list[str]:
    """Return the addresses of the other live instances."""
    return [state.member.address for state in live_states(members, now_ms)]


def next_heartbeat(
    members: Members, revision: StoreRevision, random: Random, now_ms: int
) -> tuple[list[Heartbeat], list[str]]:
    """Count an own heartbeat; return the heartbeats to send and their targets."""
    paused_ms = now_ms - members.last_heartbeat_ms - HEARTBEAT_INTERVAL_MS
    members.last_heartbeat_ms = now_ms
    if paused_ms > PAUSE_MS:
        for state in members.others.values():
            state.heard_ms += paused_ms
    for name, state in list(members.others.items()):
        if now_ms - state.heard_ms > FORGET_AFTER_MS:
            del members.others[name]
            _remove_key(members, state)
    members.own_beats += 1
    own = own_heartbeat(members, revision)
    live = live_states(members, now_ms)
    news = [state for state in live if now_ms - state.found_ms <= NEWS_MS]
    told = random.sample(news, min(GOSSIP_MEMBERS, len(news)))
    targets = {state.member.address for state in _choose_targets(members, live, random)}
    targets.update(_addresses_to_find(members, live, random, now_ms))
    # In random order, as the last datagrams of many are the first to be lost.
    addresses = random.sample(sorted(targets), len(targets))
    return [own, *(state.heartbeat for state in told)], addresses


def next_announcement(members: Members, random: Random, now_ms: int) -> list[str]:
    """Count an own heartbeat that tells news; return its targets."""
    members.own_beats += 1
    addresses = live_addresses(members, now_ms)
    return random.sample(addresses, min(ANNOUNCEMENT_FANOUT, len(addresses)))


def heartbeats_to_repeat(
    members: Members, random: Random, now_ms: int
) -> list[Heartbeat]:
    """Return the heartbeats of some live instances, for one that reads no digests."""
    live = live_states(members, now_ms)
    chosen = random.sample(live, min(GOSSIP_MEMBERS, len(live)))
    return [state.heartbeat for state in chosen]


def newest_holder(
    members: Members, revision: StoreRevision, random: Random, now_ms: int
) -> MemberRef | None:
    """Return a live instance that has the newest revision of the store.

    Return None if no instance has a newer one than ``revision``. Instances of the own
    zone are preferred, and a random one is chosen among several.
    """
    newer = [
        state
        for state in members.others.values()
        if state.revision > revision and _is_live(state, now_ms)
    ]
    if not newer:
        return None
    newest = max(state.revision for state in newer)
    holders = [each.member for each in newer if each.revision == newest]
    near = [member for member in holders if member.zone == members.me.zone]
    return random.choice(near or holders)


def newer_configuration_holder(
    members: Members, version: int, random: Random, now_ms: int
) -> MemberRef | None:
    """Return a live instance that has a newer configuration than ``version``.

    The store itself may have an older one, after it came back from a copy.
    """
    holders = [
        state.member
        for state in members.others.values()
        if state.configuration_version > version and _is_live(state, now_ms)
    ]
    return random.choice(holders) if holders else None


def member_key(member: MemberRef) -> int:
    """Return the key of an incarnation of an instance in digests."""
    text = f"{member.name}\0{member.incarnation}"
    return int.from_bytes(short_hash(text)[:KEY_BYTES])


def _add(members: Members, state: MemberState) -> None:
    members.others[state.member.name] = state
    _add_key(members, state)


def _add_key(members: Members, state: MemberState) -> None:
    if members.by_key.pop(state.key, state) is not state:
        members.shared_keys.add(state.key)
    if state.key not in members.shared_keys:
        members.by_key[state.key] = state


def _remove_key(members: Members, state: MemberState) -> None:
    if members.by_key.get(state.key) is state:
        del members.by_key[state.key]


def _is_live(state: MemberState, now_ms: int) -> bool:
    return (
        now_ms - state.heard_ms <= HEARTBEAT_TIMEOUT_MS
        and state.suspected_at_beats != state.beats
    )


def _choose_targets(
    members: Members, live: list[MemberState], random: Random
) -> list[MemberState]:
    """Return some instances of the own zone, and some random ones of the others.

    Those of the own zone follow at fixed distances in the order of addresses, so that
    each instance is told equally often.
    """
    zone = members.me.zone
    near = [state for state in live if state.member.zone == zone]
    far = [state for state in live if state.member.zone != zone]
    count = min(max(NEAR_FANOUT, GOSSIP_FANOUT - len(far)), len(near))
    near.sort(key=_address)
    first = bisect(near, members.me.address, key=_address)
    chosen = []
    place = -1
    for each in range(count):
        # Each about as many times farther than the one before.
        place = max(place + 1, int(len(near) ** (each / count)) - 1)
        chosen.append(near[(first + place) % len(near)])
    return chosen + random.sample(far, min(GOSSIP_FANOUT - count, len(far)))


def _address(state: MemberState) -> str:
    return state.member.address


def _addresses_to_find(
    members: Members, live: list[MemberState], random: Random, now_ms: int
) -> list[str]:
    """Return the addresses of a seed and a silent instance to try again.

    Either may be up again, or known to other instances. Seeds that are live are left
    out: all instances have the same.
    """
    heard = {state.member.address for state in live}
    seeds = [seed for seed in members.seeds if seed not in heard]
    silent = [
        state.member.address
        for state in members.others.values()
        if not _is_live(state, now_ms)
    ]
    return [random.choice(each) for each in (seeds, silent) if each]


def _is_newer(heartbeat: Heartbeat, known: MemberState, is_known_live: bool) -> bool:
    # Incarnations start with the wall clock time, which may have been set back.
    if heartbeat.member.incarnation != known.member.incarnation:
        return (
            heartbeat.member.incarnation > known.member.incarnation or not is_known_live
        )
    return heartbeat.beats > known.beats
