"""Detect which other entry processes are alive, at a cost independent of their number.

The view of a process holds all processes of its own availability zone, up to a
limit, and a few of each other zone. A process probes one of them at a time, and each
message spreads recent changes. A process that does not answer is probed again, then
suspected, and counts as gone only after ``suspect_ms`` without a refutation.

The platform's list lags, so it only names candidates: a listed process may be dead,
and an absent one alive. A process that has heard from nobody since a suspicion began
declares nobody gone, because it may itself be partitioned from the others.
"""

from collections.abc import Iterable
from enum import StrEnum
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.events import ListedEntry
from bramleyturn.core.short_hash import short_hash
from bramleyturn.core.tickets import ProcessRef

MAX_OWN_ZONE_MEMBERS: Final = 48
MAX_OTHER_ZONE_MEMBERS: Final = 60
MIN_MEMBERS_PER_ZONE: Final = 2
MAX_OTHER_ZONES: Final = 30
MIN_ALIVE_TO_SETTLE: Final = 3
MISSES_TO_SUSPECT: Final = 2
PAUSE_INTERVALS: Final = 3
GONE_PROBE_EVERY_TURNS: Final = 4
RECENTLY_HEARD_MS: Final = 10_000
MIN_RUMOUR_SENDS: Final = 4
MAX_RUMOURS: Final = 64


class Liveness(StrEnum):
    """Name the state of a process. An unproven one was never heard from directly."""

    UNPROVEN = "unproven"
    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"


class Member(NamedTuple):
    """Hold what is known of one incarnation of another entry process.

    ``refutation`` counts how often it has refuted a suspicion. ``since_ms`` is when
    its ``life`` last changed, ``heard_ms`` when its last message arrived, zero for
    never. ``misses`` counts the consecutive probes without an answer. The platform's
    list sets ``is_leaving``, the process itself ``is_draining``.
    """

    name: str
    zone: str
    address: str
    incarnation: str = ""
    refutation: int = 0
    life: Liveness = Liveness.UNPROVEN
    since_ms: int = 0
    heard_ms: int = 0
    misses: int = 0
    is_listed: bool = False
    is_leaving: bool = False
    is_draining: bool = False


class Rumour(NamedTuple):
    """Tell a peer the state of a process, which changed ``age_ms`` ago."""

    name: str
    zone: str
    address: str
    incarnation: str
    refutation: int
    life: Liveness
    age_ms: int


class Membership:
    """Hold what one process knows of the others, by address.

    ``rumour_sends_left`` counts how often the state of an address is still to be
    sent. ``probe_order`` holds the addresses still to be probed in this round, under
    True for the own zone and under False for the others.
    """

    def __init__(self, name: str, zone: str, me: ProcessRef) -> None:
        self.name = name
        self.zone = zone
        self.me = me
        self.refutation = 0
        self.by_address: dict[str, Member] = {}
        self.listed: tuple[ListedEntry, ...] = ()
        self.rumour_sends_left: dict[str, int] = {}
        self.probe_order: dict[bool, list[str]] = {True: [], False: []}
        self.probe_count = 0
        self.last_turn_ms: int | None = None
        self.heard_ms: int | None = None


def apply_listed_entries(
    membership: Membership, entries: Iterable[ListedEntry], now_ms: int
) -> None:
    """Replace the platform's list of candidates."""
    listed = tuple(sorted(entries))
    if listed == membership.listed:
        return
    membership.listed = listed
    by_address = {entry.address: entry for entry in listed}
    for address, member in list(membership.by_address.items()):
        entry = by_address.get(address)
        if entry is not None and entry.name == member.name:
            _put(membership, member._replace(is_listed=True, is_leaving=entry.leaving))
            continue
        _put(membership, member._replace(is_listed=False))
        if member.life in {Liveness.GONE, Liveness.UNPROVEN}:
            _forget(membership, address)
        elif member.life is Liveness.SUSPECT:
            _change(membership, address, Liveness.GONE, now_ms)
    fill_view(membership, now_ms)


def fill_view(membership: Membership, now_ms: int) -> None:
    """Add listed processes up to the capacity of the view.

    Each process ranks those of another zone by a hash of both names (rendezvous
    hashing), so that all of them are known, and probed, about equally often.
    """
    free_places = _free_places(membership)
    ordered = sorted(
        membership.listed, key=lambda entry: _preference(membership, entry)
    )
    for entry in ordered:
        if entry.address in membership.by_address or entry.name == membership.name:
            continue
        if entry.address == membership.me.address or not _take_place(
            free_places, entry.zone
        ):
            continue
        member = Member(entry.name, entry.zone, entry.address, since_ms=now_ms)
        _put(membership, member._replace(is_listed=True, is_leaving=entry.leaving))


def record_heard(
    membership: Membership, name: str, zone: str, sender: ProcessRef, now_ms: int
) -> None:
    """Record a message from a process, which proves that it is alive.

    An address that another incarnation or process has taken over belongs to that one.
    """
    if sender == membership.me:
        return
    membership.heard_ms = now_ms
    known = membership.by_address.get(sender.address)
    if known is None or known.incarnation != sender.incarnation or known.name != name:
        if known is None and not _has_free_place(membership, zone):
            return
        _add_member(membership, name, zone, sender, known, now_ms)
        return
    was_alive = known.life is Liveness.ALIVE
    _put(membership, known._replace(heard_ms=now_ms, misses=0))
    if not was_alive:
        _change(membership, sender.address, Liveness.ALIVE, now_ms)


def record_draining(membership: Membership, address: str, is_draining: bool) -> None:
    """Record whether a process reports that it accepts no new work."""
    member = membership.by_address.get(address)
    if member is not None and member.is_draining != is_draining:
        _put(membership, member._replace(is_draining=is_draining))


def add_unproven(membership: Membership, name: str, zone: str, address: str) -> None:
    """Add a process of which only a claim to exist is known, to be probed."""
    if address == membership.me.address or address in membership.by_address:
        return
    if _has_free_place(membership, zone):
        _put(membership, Member(name, zone, address))


def record_miss(membership: Membership, address: str, now_ms: int) -> None:
    """Record that a process did not answer a probe."""
    member = membership.by_address.get(address)
    if member is None:
        return
    member = member._replace(misses=member.misses + 1)
    _put(membership, member)
    if member.life is Liveness.UNPROVEN and member.misses >= MISSES_TO_SUSPECT:
        if not member.is_listed:
            _forget(membership, address)
        return
    if member.life is not Liveness.ALIVE or member.misses < MISSES_TO_SUSPECT:
        return
    _change(membership, address, Liveness.SUSPECT, now_ms)


def expire_suspicions(
    membership: Membership, interval_ms: int, suspect_ms: int, now_ms: int
) -> None:
    """Declare processes gone whose suspicion was not refuted in time.

    Call it before each probe. After a pause of this process all suspicions restart,
    because their refutations may have been missed.
    """
    before_ms = membership.last_turn_ms
    membership.last_turn_ms = now_ms
    paused = before_ms is not None and now_ms - before_ms > max(
        PAUSE_INTERVALS * interval_ms, suspect_ms // 2
    )
    if paused:
        membership.heard_ms = None
    for member in list(membership.by_address.values()):
        if paused:
            since_ms = now_ms if member.life is Liveness.SUSPECT else member.since_ms
            _put(membership, member._replace(misses=0, since_ms=since_ms))
        elif now_ms - member.since_ms >= suspect_ms:
            _expire(membership, member, now_ms)


def _expire(membership: Membership, member: Member, now_ms: int) -> None:
    if member.life is Liveness.SUSPECT and _heard_since(membership, member.since_ms):
        _change(membership, member.address, Liveness.GONE, now_ms)
    elif member.life is Liveness.GONE and not member.is_listed:
        _forget(membership, member.address)
        fill_view(membership, now_ms)


def is_settled(membership: Membership) -> bool:
    """Return whether enough others are known alive to probe at the ordinary rate."""
    alive = sum(
        member.life is Liveness.ALIVE for member in membership.by_address.values()
    )
    return alive >= max(1, min(MIN_ALIVE_TO_SETTLE, len(membership.by_address)))


def next_probe(membership: Membership, random: Random) -> Member | None:
    """Return the process to probe now, None if none is known.

    A process that missed a probe comes first. Otherwise the own zone and the others
    alternate, each in an order that is shuffled every round. Every fourth turn goes
    to a process that is gone, so that both sides notice a healed partition.
    """
    members = membership.by_address.values()
    if not members:
        return None
    membership.probe_count += 1
    missing = [m for m in members if m.misses == 1 and m.life is Liveness.ALIVE]
    if missing and membership.probe_count % 2:
        return random.choice(missing)
    gone = [m for m in members if m.life is Liveness.GONE]
    if gone and not membership.probe_count % GONE_PROBE_EVERY_TURNS:
        return random.choice(gone)
    own = bool(membership.probe_count // 2 % 2)
    chosen = _next_of_zone(membership, own, random) or _next_of_zone(
        membership, not own, random
    )
    return chosen or (random.choice(gone) if gone else None)


def choose_rumours(membership: Membership, receiver: str, now_ms: int) -> list[Rumour]:
    """Return the rumours for the process at ``receiver``, the most important first.

    A suspicion of the receiver itself comes first, so that it can refute it.
    """
    about = membership.by_address.get(receiver)
    chosen: list[Rumour] = []
    if about is not None and about.life in {Liveness.SUSPECT, Liveness.GONE}:
        chosen.append(_rumour(about, now_ms))
    waiting = sorted(membership.rumour_sends_left.items(), key=lambda item: -item[1])
    for address, _left in waiting[:MAX_RUMOURS]:
        member = membership.by_address.get(address)
        if member is not None and address != receiver:
            chosen.append(_rumour(member, now_ms))
    return chosen


def count_rumour_sends(membership: Membership, rumours: Iterable[Rumour]) -> None:
    """Count that each rumour was sent once, so that none is sent forever."""
    for rumour in rumours:
        left = membership.rumour_sends_left.get(rumour.address, 0) - 1
        if left > 0:
            membership.rumour_sends_left[rumour.address] = left
        else:
            membership.rumour_sends_left.pop(rumour.address, None)


def merge_rumours(
    membership: Membership, rumours: Iterable[Rumour], now_ms: int
) -> None:
    """Merge a peer's rumours of other processes, and refute those of this one."""
    for rumour in rumours:
        if rumour.address == membership.me.address:
            _refute(membership, rumour)
        else:
            _merge_rumour(membership, rumour, now_ms)


def alive_members(membership: Membership, now_ms: int) -> list[Member]:
    """Return the processes to rely on, only recently heard ones if there are any."""
    alive = [
        member
        for member in membership.by_address.values()
        if member.life is Liveness.ALIVE
        and not member.misses
        and not _is_ending(member)
    ]
    recent = [
        m for m in alive if m.heard_ms and now_ms - m.heard_ms <= RECENTLY_HEARD_MS
    ]
    return recent or alive


def _is_ending(member: Member) -> bool:
    return member.is_leaving or member.is_draining


def _merge_rumour(membership: Membership, rumour: Rumour, now_ms: int) -> None:
    known = membership.by_address.get(rumour.address)
    if known is None:
        if rumour.life is Liveness.ALIVE:
            add_unproven(membership, rumour.name, rumour.zone, rumour.address)
        return
    # Only the process itself can state a new incarnation for its address.
    if known.incarnation != rumour.incarnation or rumour.refutation < known.refutation:
        return
    since_ms = now_ms - max(0, rumour.age_ms)
    if rumour.refutation > known.refutation:
        _put(membership, known._replace(refutation=rumour.refutation))
        if known.life is not rumour.life:
            _change(membership, rumour.address, rumour.life, since_ms)
        return
    worse = _SEVERITY[rumour.life] > _SEVERITY[known.life]
    if worse and known.heard_ms < since_ms:
        _change(membership, rumour.address, rumour.life, since_ms)


def _refute(membership: Membership, rumour: Rumour) -> None:
    if rumour.incarnation != membership.me.incarnation:
        return
    if rumour.life is Liveness.ALIVE or rumour.refutation < membership.refutation:
        return
    membership.refutation = rumour.refutation + 1


def _add_member(
    membership: Membership,
    name: str,
    zone: str,
    sender: ProcessRef,
    known: Member | None,
    now_ms: int,
) -> None:
    listed = known is not None and known.is_listed and known.name == name
    member = Member(name, zone, sender.address, sender.incarnation, heard_ms=now_ms)
    leaving = known is not None and listed and known.is_leaving
    _put(membership, member._replace(is_listed=listed, is_leaving=leaving))
    _change(membership, sender.address, Liveness.ALIVE, now_ms)


def _change(
    membership: Membership, address: str, life: Liveness, since_ms: int
) -> None:
    member = membership.by_address[address]
    _put(membership, member._replace(life=life, since_ms=since_ms))
    size = len(membership.by_address)
    membership.rumour_sends_left[address] = MIN_RUMOUR_SENDS + 3 * size.bit_length()


def _put(membership: Membership, member: Member) -> None:
    membership.by_address[member.address] = member


def _forget(membership: Membership, address: str) -> None:
    del membership.by_address[address]
    membership.rumour_sends_left.pop(address, None)


def _heard_since(membership: Membership, since_ms: int) -> bool:
    return membership.heard_ms is not None and membership.heard_ms > since_ms


def _next_of_zone(membership: Membership, own: bool, random: Random) -> Member | None:
    probe_order = membership.probe_order[own]
    for _ in range(2):
        while probe_order:
            member = membership.by_address.get(probe_order.pop())
            if member is not None and member.life is not Liveness.GONE:
                return member
        probe_order += [
            member.address
            for member in membership.by_address.values()
            if (member.zone == membership.zone) == own
            and member.life is not Liveness.GONE
        ]
        random.shuffle(probe_order)
    return None


def _rumour(member: Member, now_ms: int) -> Rumour:
    return Rumour(*member[:6], age_ms=max(0, now_ms - member.since_ms))


def _has_free_place(membership: Membership, zone: str) -> bool:
    return _take_place(_free_places(membership, zone), zone)


def _free_places(membership: Membership, *more: str) -> dict[str, int]:
    members = [m for m in membership.by_address.values() if m.life is not Liveness.GONE]
    zones = {*more, *(m.zone for m in members), *(e.zone for e in membership.listed)}
    others = sorted(zones - {membership.zone})[:MAX_OTHER_ZONES]
    each = max(MIN_MEMBERS_PER_ZONE, MAX_OTHER_ZONE_MEMBERS // max(1, len(others)))
    free_places = dict.fromkeys(others, each) | {membership.zone: MAX_OWN_ZONE_MEMBERS}
    for member in members:
        _take_place(free_places, member.zone)
    return free_places


def _take_place(free_places: dict[str, int], zone: str) -> bool:
    left = free_places.get(zone, 0)
    free_places[zone] = left - 1
    return left > 0


def _preference(membership: Membership, entry: ListedEntry) -> bytes:
    return short_hash(f"{membership.name}\n{entry.name}")


_SEVERITY: Final = {
    Liveness.UNPROVEN: 0,
    Liveness.ALIVE: 1,
    Liveness.SUSPECT: 2,
    Liveness.GONE: 3,
}
