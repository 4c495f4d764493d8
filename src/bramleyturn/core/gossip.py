"""Encode the gossip that entry processes send with each probe and its answer.

The size of a message is limited, and so is the mean rate. Crashes only have a limit of
their own, because requests may crash more servers until peers know of them. They are
not counted against the rate, so that everything else keeps it afterwards. What does not
fit is left out in this order: load reports first, then spend counters, rumours about
third processes, leaving servers, crashes. What the sender says about itself and about
the receiver always fits.

Crashes and spend counters are numbered logs. Each side acknowledges how far it has
read the other's log, so that a lost message loses no entry and acknowledged entries
are not sent again.

Unknown members are ignored, and a malformed item is skipped without its neighbours,
so that processes of different versions work together.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final, NamedTuple, TypeVar

import orjson

from bramleyturn.core.crashes import CrashHint, PartMark
from bramleyturn.core.membership import Liveness, Rumour
from bramleyturn.core.server_load import LoadReport, is_plausible
from bramleyturn.core.spend import SpendCounter
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.core.units import MS_PER_S

VERSION: Final = 1
RATE_BYTES_PER_S: Final = 600
MIN_MESSAGE_BYTES: Final = 160
BURST_BYTES: Final = 4_096
# A message may grow up to this size for crashes when the rate allows less.
CRASH_BYTES: Final = 8_192
MAX_ITEMS: Final = 2_048
MAX_TRACKED_PEERS: Final = 1_024
MAX_LOADS: Final = 16
MAX_LOG_ENTRIES: Final = 16_384

Parsed = TypeVar("Parsed")


class LeavingHint(NamedTuple):
    """State that a backend server was known to leave ``age_ms`` ago."""

    server: str
    age_ms: int


class Acks(NamedTuple):
    """State up to which number the sender has read the receiver's two logs."""

    crashes: int = 0
    spend: int = 0


class GossipMessage(NamedTuple):
    """Hold the content of one gossip message.

    ``crashes_upto`` and ``spend_upto`` are the highest log numbers that the message
    covers; ``spend_whole`` states that no later counter is left to send.
    ``refutation`` is the sender's own count, which overrides older rumours about it.
    """

    rumours: tuple[Rumour, ...] = ()
    crashes: tuple[CrashHint, ...] = ()
    leaving: tuple[LeavingHint, ...] = ()
    spend: tuple[SpendCounter, ...] = ()
    loads: tuple[LoadReport, ...] = ()
    acks: Acks = Acks()
    refutation: int = 0
    is_draining: bool = False
    crashes_upto: int = 0
    spend_upto: int = 0
    spend_whole: bool = False
    version: int = VERSION


class ChangeLog:
    """Number keys in the order of their last change, the latest one last."""

    def __init__(self) -> None:
        self.numbers: OrderedDict[Any, int] = OrderedDict()
        self.latest = 0


class Allowance:
    """Hold a token bucket of bytes that may still be sent."""

    def __init__(self) -> None:
        self.left_bytes = 0
        self.refilled_ms: int | None = None


class GossipState:
    """Hold what one process has sent, received and has yet to send.

    ``acks_received`` is how far each peer has read the logs of this process,
    ``acks_to_send`` how far this process has read those of each peer.
    """

    def __init__(self) -> None:
        self.allowance = Allowance()
        self.crashes = ChangeLog()
        self.spend = ChangeLog()
        self.acks_received: OrderedDict[ProcessRef, Acks] = OrderedDict()
        self.acks_to_send: OrderedDict[ProcessRef, Acks] = OrderedDict()
        self.loads: OrderedDict[str, tuple[LoadReport, int]] = OrderedDict()
        self.seen_revision = 0
        self.is_urgent = False
        self.last_urgent_ms: int | None = None


class Item(NamedTuple):
    """Hold one item of a message, its JSON member and its log number, if any."""

    member: str
    value: Any
    number: int = 0


def log_change(log: ChangeLog, key: Any) -> None:
    """Give ``key`` the next number, so that it is sent to every peer again."""
    log.latest += 1
    log.numbers[key] = log.latest
    log.numbers.move_to_end(key)
    if len(log.numbers) > MAX_LOG_ENTRIES:
        log.numbers.popitem(last=False)


def changes_after(
    log: ChangeLog, number: int, most: int = MAX_ITEMS
) -> list[tuple[Any, int]]:
    """Return the keys that changed after ``number``, the earliest first."""
    changed: list[tuple[Any, int]] = []
    for key in reversed(log.numbers):
        if log.numbers[key] <= number:
            break
        changed.append((key, log.numbers[key]))
    changed.reverse()
    return changed[:most]


def note_acks(
    acks_by_peer: OrderedDict[ProcessRef, Acks], peer: ProcessRef, acks: Acks
) -> None:
    """Record the acknowledgements of a peer, dropping the least recent peers."""
    acks_by_peer[peer] = acks
    acks_by_peer.move_to_end(peer)
    if len(acks_by_peer) > MAX_TRACKED_PEERS:
        acks_by_peer.popitem(last=False)


def note_load(gossip: GossipState, report: LoadReport, now_ms: int) -> None:
    """Store a load report of a server, to be sent to the peers of this zone."""
    gossip.loads[report.server] = (report, now_ms)
    gossip.loads.move_to_end(report.server)
    if len(gossip.loads) > MAX_LOADS:
        gossip.loads.popitem(last=False)


def bytes_allowed(allowance: Allowance, now_ms: int) -> int:
    """Refill the token bucket and return how long the next message may be.

    The mean rate is limited, and its unused part accumulates up to ``BURST_BYTES``.
    At least ``MIN_MESSAGE_BYTES`` are always allowed, for what a message must contain.
    """
    since_ms = allowance.refilled_ms
    allowance.refilled_ms = now_ms
    if since_ms is None:
        allowance.left_bytes = BURST_BYTES
    else:
        refill = (now_ms - since_ms) * RATE_BYTES_PER_S // MS_PER_S
        allowance.left_bytes = min(BURST_BYTES, allowance.left_bytes + refill)
    return max(MIN_MESSAGE_BYTES, allowance.left_bytes)


def spend_bytes(allowance: Allowance, sent_bytes: int) -> None:
    """Subtract the bytes sent from the allowance, which may become negative."""
    allowance.left_bytes -= sent_bytes


def pack_gossip(
    message: GossipMessage,
    crash_numbers: Sequence[int],
    spend_numbers: Sequence[int],
    required_rumours: int,
    most_bytes: int,
    crash_bytes: int = 0,
) -> dict[str, Any]:
    """Return the document of a message of at most ``most_bytes``.

    Crashes come on top of that, as far as the message has at most ``crash_bytes``, if
    that is more.
    The first ``required_rumours`` are included even beyond that limit.
    ``crash_numbers`` and ``spend_numbers`` are the log numbers of the crashes and
    counters.
    """
    document: dict[str, Any] = {
        "version": VERSION,
        "rumours": [list(rumour) for rumour in message.rumours[:required_rumours]],
        "refutation": message.refutation,
        "acks": list(message.acks),
        "crashes_upto": message.crashes_upto,
        "spend_upto": message.spend_upto,
        "spend_whole": False,
    }
    if message.is_draining:
        document["draining"] = True
    size = len(orjson.dumps(document))
    size_of_crashes = 0
    most_in_all = max(most_bytes, crash_bytes)
    full: set[str] = set()
    for item in _by_importance(message, crash_numbers, spend_numbers, required_rumours):
        if item.member in full:
            continue
        added = len(orjson.dumps(item.value)) + 1
        if item.member not in document:
            added += len(item.member) + 6
        is_crash = item.member == "crashes"
        counted = size + added - size_of_crashes
        if size + added > most_in_all or (not is_crash and counted > most_bytes):
            full.add(item.member)
            continue
        size += added
        size_of_crashes += added if is_crash else 0
        document.setdefault(item.member, []).append(item.value)
        if item.number:
            document[f"{item.member}_upto"] = item.number
    document["spend_whole"] = message.spend_whole and "spend" not in full
    return document


def parse_gossip(document: Any) -> GossipMessage:
    """Return the content of a message, without what this version does not know."""
    if not isinstance(document, dict):
        return GossipMessage(version=0)
    number = _number_reader(document)
    return GossipMessage(
        rumours=_parse_items(document, "rumours", _parse_rumour),
        crashes=_parse_items(document, "crashes", _parse_crash),
        leaving=_parse_items(document, "leaving", _parse_leaving),
        spend=_parse_items(document, "spend", _parse_counter),
        loads=_parse_items(document, "loads", _parse_load),
        acks=_parse_acks(document.get("acks")),
        refutation=number("refutation"),
        is_draining=document.get("draining") is True,
        crashes_upto=number("crashes_upto"),
        spend_upto=number("spend_upto"),
        spend_whole=document.get("spend_whole") is True,
        version=number("version"),
    )


def _by_importance(
    message: GossipMessage,
    crash_numbers: Sequence[int],
    spend_numbers: Sequence[int],
    required_rumours: int,
) -> Iterable[Item]:
    for crash, number in zip(message.crashes, crash_numbers, strict=True):
        yield Item("crashes", _encode_crash(crash), number)
    for hint in message.leaving:
        yield Item("leaving", list(hint))
    for rumour in message.rumours[required_rumours:]:
        yield Item("rumours", list(rumour))
    for counter, number in zip(message.spend, spend_numbers, strict=True):
        yield Item("spend", list(counter), number)
    for report in message.loads:
        yield Item("loads", list(report))


def _encode_crash(crash: CrashHint) -> list[Any]:
    server, fingerprints, age_ms, finished, parts, sound = crash
    marks = [list(mark) for mark in parts]
    return [server, fingerprints, age_ms, finished, marks, sound]


def _number_reader(document: dict[str, Any]) -> Callable[[str], int]:
    def number(name: str) -> int:
        value = document.get(name)
        return value if type(value) is int and value >= 0 else 0

    return number


def _parse_items(
    document: dict[str, Any], member: str, parse: Callable[[list[Any]], Parsed]
) -> tuple[Parsed, ...]:
    items = document.get(member)
    if not isinstance(items, list):
        return ()
    parsed: list[Parsed] = []
    for item in items[:MAX_ITEMS]:
        try:
            parsed.append(parse(item))
        except (TypeError, ValueError, IndexError, KeyError):
            continue
    return tuple(parsed)


def _parse_rumour(item: list[Any]) -> Rumour:
    name, zone, address, incarnation, refutation, life, age_ms = item[:7]
    return Rumour(
        _text(name),
        _text(zone),
        _text(address),
        _text(incarnation),
        _count(refutation),
        Liveness(_text(life)),
        _count(age_ms),
    )


def _parse_crash(item: list[Any]) -> CrashHint:
    server, fingerprints, age_ms = item[:3]
    # Peers of earlier builds do not tell which requests have finished, nor the parts.
    finished, parts, sound = (*item[3:6], *([()] * 3))[:3]
    return CrashHint(
        _text(server),
        tuple(map(_text, fingerprints)),
        _count(age_ms),
        tuple(map(_text, finished)),
        tuple(_parse_mark(mark) for mark in parts),
        tuple(map(_text, sound)),
    )


def _parse_mark(item: list[Any]) -> PartMark:
    part, workspace, depth, request = item[:4]
    return PartMark(_text(part), _text(workspace), _count(depth), _text(request))


def _parse_leaving(item: list[Any]) -> LeavingHint:
    return LeavingHint(_text(item[0]), _count(item[1]))


def _parse_counter(item: list[Any]) -> SpendCounter:
    process, incarnation, workspace, slot, micros, age_ms = item[:6]
    return SpendCounter(
        _text(process),
        _text(incarnation),
        _text(workspace),
        _count(slot),
        _count(micros),
        _count(age_ms),
    )


def _parse_load(item: list[Any]) -> LoadReport:
    server, running, queued, capacity, age_ms, leaving = item[:6]
    report = LoadReport(
        _text(server),
        _count(running),
        _count(queued),
        _count(capacity),
        _count(age_ms),
        leaving is True,
    )
    if not is_plausible(report):
        raise ValueError
    return report


def _parse_acks(value: Any) -> Acks:
    try:
        return Acks(_count(value[0]), _count(value[1]))
    except (TypeError, ValueError, IndexError, KeyError):
        return Acks()


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value or len(value) > 256:
        raise ValueError
    return value


def _count(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError
    return value
