"""Record which instances and which zones' servers can't be reached directly from here.

Load pattern handled here: two zones can't reach each other for some seconds while a
third reaches both. Heartbeats come round by the third zone, so that an instance of the
other one is live for all, and every message sent to it directly waits for its timeout
and is lost. It is sent by way of an instance of a third zone instead. Servers of the
other zone count as unreachable here, while other zones go on using them.

What failed is tried again directly after a while, which doubles with each failure. An
answer ends it at once.
"""

from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.fleet.members import (
    HEARTBEAT_TIMEOUT_MS,
    Members,
    is_live,
    live_members,
)

# Five intervals between two heartbeats, and less than a partition usually lasts.
FIRST_AVOIDED_MS: Final = 2_000
MAX_AVOIDED_MS: Final = 8_000
# A single instance or server may be down or overloaded.
MIN_UNREACHED: Final = 2
# Servers that hang within this time show together that their zone can't be reached.
HANGS_WITHIN_MS: Final = 2_000
# A connection hangs for 300 ms before it counts as failed.
TRY_MS: Final = 400


class Unreached(NamedTuple):
    """Hold the zone of what failed at ``failed_ms``, and until when it is not tried.

    ``is_trying`` is set while one request shows whether a zone can be reached again.
    """

    zone: str
    failed_ms: int
    until_ms: int
    avoided_ms: int
    is_trying: bool = False


class Reachability:
    """Hold what can't be reached directly.

    ``instances`` has other instances by name, ``relays`` the one by way of which each
    of them gets messages. ``reached_ms`` is when one of a zone was reached while others
    of it were not. ``direct_until_ms`` is until when instances that relays can't reach
    either get their messages directly in any case. ``hangs`` has when a server hung
    last, by zone and id of the server; ``zones`` the zones whose servers are avoided.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Unreached] = {}
        self.relays: dict[str, str] = {}
        self.direct_until_ms: dict[str, int] = {}
        self.reached_ms: dict[str, int] = {}
        self.hangs: dict[str, dict[str, int]] = {}
        self.zones: dict[str, Unreached] = {}


def note_unreached(
    reachability: Reachability, members: Members, name: str, now_ms: int
) -> None:
    """Record that an instance did not acknowledge messages sent to it directly.

    Instances of the own zone are left out: no third zone lies between.
    """
    state = members.others.get(name)
    if state is None or state.member.zone == members.me.zone:
        return
    if reachability.direct_until_ms.get(name, 0) > now_ms:
        return
    for known, record in list(reachability.instances.items()):
        if known not in members.others or now_ms - record.until_ms > MAX_AVOIDED_MS:
            del reachability.instances[known]
    before = reachability.instances.get(name)
    if before is None or before.until_ms <= now_ms:
        reachability.instances[name] = _failed_again(before, state.member.zone, now_ms)


def note_heard_by_relay(
    reachability: Reachability, members: Members, name: str, now_ms: int
) -> None:
    """Record that an instance sent messages by way of another one.

    It could not reach this instance, so that answers would not reach it either. What is
    known here already counts for itself: otherwise each side would take the relayed
    messages of the other one for new evidence, for as long as there are any.
    """
    if name not in reachability.instances:
        note_unreached(reachability, members, name, now_ms)


def note_relay_refused(reachability: Reachability, name: str, now_ms: int) -> None:
    """Record that a relay can't reach an instance either: nothing lies between zones.

    The instance is slow or down, and is sent to directly for a while. The relay itself
    may have lost an acknowledgement, so that the while is short.
    """
    reachability.instances.pop(name, None)
    reachability.relays.pop(name, None)
    for known, until_ms in list(reachability.direct_until_ms.items()):
        if until_ms <= now_ms:
            del reachability.direct_until_ms[known]
    reachability.direct_until_ms[name] = now_ms + FIRST_AVOIDED_MS


def was_unreached(reachability: Reachability, name: str, now_ms: int) -> bool:
    """Return whether an instance could not be reached lately."""
    known = reachability.instances.get(name)
    return known is not None and now_ms - known.until_ms <= MAX_AVOIDED_MS


def note_reached(
    reachability: Reachability, members: Members, name: str, now_ms: int
) -> bool:
    """Record that an instance acknowledged messages, or sent some directly.

    Return whether it could not be reached before.
    """
    state = members.others.get(name)
    if not reachability.instances or state is None:
        return False
    reachability.reached_ms[state.member.zone] = now_ms
    reachability.relays.pop(name, None)
    return reachability.instances.pop(name, None) is not None


def is_unreached(
    reachability: Reachability, members: Members, name: str, now_ms: int
) -> bool:
    """Return whether an instance is not sent to directly now.

    Several of its zone that were not reached, and none that was since, show that the
    whole zone can't be.
    """
    if not reachability.instances:
        return False
    known = reachability.instances.get(name)
    if known is not None and known.until_ms > now_ms:
        return True
    if reachability.direct_until_ms.get(name, 0) > now_ms:
        return False
    state = members.others.get(name)
    if state is None or state.member.zone == members.me.zone:
        return False
    zone = state.member.zone
    reached_ms = reachability.reached_ms.get(zone, -1)
    failed = [
        each
        for each in reachability.instances.values()
        if each.zone == zone and each.failed_ms > reached_ms and each.until_ms > now_ms
    ]
    return len(failed) >= MIN_UNREACHED


def relay_to(
    reachability: Reachability,
    members: Members,
    name: str,
    random: Random,
    now_ms: int,
) -> str:
    """Return the instance that passes messages on to another one, empty if none does.

    One that is not heard at all gets none that way. The relay is in a third zone, and
    stays the same for as long as it can be reached, so that messages keep their order.
    """
    state = members.others.get(name)
    if state is None or now_ms - state.heard_ms > HEARTBEAT_TIMEOUT_MS:
        return ""
    if not is_unreached(reachability, members, name, now_ms):
        return ""
    known = reachability.relays.get(name)
    if known is not None and _may_relay(reachability, members, known, now_ms):
        return known
    zones = (members.me.zone, state.member.zone)
    others = [each for each in live_members(members, now_ms) if each.zone not in zones]
    for member in random.sample(others, len(others)):
        if not is_unreached(reachability, members, member.name, now_ms):
            reachability.relays[name] = member.name
            return member.name
    reachability.relays.pop(name, None)
    return ""


def _may_relay(
    reachability: Reachability, members: Members, name: str, now_ms: int
) -> bool:
    state = members.others.get(name)
    if state is None or state.is_ending or not is_live(members, name, now_ms):
        return False
    return not is_unreached(reachability, members, name, now_ms)


def note_server_hung(
    reachability: Reachability, zone: str, own_zone: str, server_id: str, now_ms: int
) -> bool:
    """Record that a connection to a server hung; return whether that is news of a zone.

    Its zone is avoided then, and was not before. A refused connection is no hang. The
    own zone is never avoided.
    """
    if zone == own_zone:
        return False
    hangs = reachability.hangs.setdefault(zone, {})
    hangs[server_id] = now_ms
    for known, hung_ms in list(hangs.items()):
        if now_ms - hung_ms > HANGS_WITHIN_MS:
            del hangs[known]
    before = reachability.zones.get(zone)
    if before is None and len(hangs) < MIN_UNREACHED:
        return False
    if before is not None and before.until_ms > now_ms and not before.is_trying:
        # It was sent before the zone was avoided.
        return False
    reachability.zones[zone] = _failed_again(before, zone, now_ms)
    return before is None


def note_server_tried(reachability: Reachability, zone: str, now_ms: int) -> None:
    """Record that a request is sent to a zone; others wait for what it shows."""
    known = reachability.zones.get(zone)
    if known is not None and known.until_ms <= now_ms:
        reachability.zones[zone] = known._replace(
            until_ms=now_ms + TRY_MS, is_trying=True
        )


def note_server_answered(reachability: Reachability, zone: str) -> bool:
    """Record that a server accepted a connection; return whether its zone is back."""
    reachability.hangs.pop(zone, None)
    return reachability.zones.pop(zone, None) is not None


def unreached_zones(reachability: Reachability, now_ms: int) -> frozenset[str]:
    """Return the zones whose servers are used only if there are no others."""
    if not reachability.zones:
        return frozenset()
    return frozenset(
        zone for zone, known in reachability.zones.items() if known.until_ms > now_ms
    )


def _failed_again(before: Unreached | None, zone: str, now_ms: int) -> Unreached:
    """Return the record of a failure, which counts for longer than the one before."""
    avoided_ms = FIRST_AVOIDED_MS
    if before is not None and now_ms - before.until_ms <= MAX_AVOIDED_MS:
        avoided_ms = min(MAX_AVOIDED_MS, 2 * before.avoided_ms)
    return Unreached(zone, now_ms, now_ms + avoided_ms, avoided_ms)
