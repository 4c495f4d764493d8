"""Encode what entry processes tell each other in every greeting and its answer.

A message is capped in bytes. What does not fit is left out in this order: load
reports first, then spent counters, rumours about third processes, leaving servers,
crashes. What a process says of itself and of the one it talks to always fits.

Crashes and spent counters are numbered logs: each side states how far it has read
the other's, so that a lost message loses nothing and nothing is told twice for long.

Members that this version does not know are ignored, and a malformed item is left out
alone, so that an older and a newer process work together.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final, NamedTuple, TypeVar

import orjson

from bramleyturn.core.membership import Liveness, Rumour
from bramleyturn.core.poison import CrashHint
from bramleyturn.core.server_load import LoadReport
from bramleyturn.core.spend import SpendCounter
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.core.units import MS_PER_S

VERSION: Final = 1
RATE_BYTES_PER_S: Final = 600
LEAST_BYTES: Final = 160
BURST_BYTES: Final = 4_096
MAX_ITEMS: Final = 2_048
MAX_READERS: Final = 1_024
MAX_LOADS: Final = 16
MAX_LOGGED: Final = 16_384

Parsed = TypeVar("Parsed")


class LeavingHint(NamedTuple):
    """Tell that a backend server was known to leave ``age_ms`` ago."""

    server: str
    age_ms: int


class Acks(NamedTuple):
    """State how far the sender has read the receiver's two logs."""

    crashes: int = 0
    spend: int = 0


class GossipMessage(NamedTuple):
    """Hold the content of one message.

    ``crashes_upto`` and ``spend_upto`` tell how far the message carries the sender's
    logs, ``spend_whole`` that no counter is left to tell. ``refutation`` is the
    sender's own, which outweighs older rumours about it.
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
    """Number keys by when they last changed, the latest one last."""

    def __init__(self) -> None:
        self.numbers: OrderedDict[Any, int] = OrderedDict()
        self.latest = 0


class Allowance:
    """Hold how many bytes may still be sent, refilled at a fixed rate."""

    def __init__(self) -> None:
        self.left_bytes = 0
        self.refilled_ms: int | None = None


class GossipState:
    """Hold what one process has told and heard, and what it has yet to tell."""

    def __init__(self) -> None:
        self.allowance = Allowance()
        self.crashes = ChangeLog()
        self.spend = ChangeLog()
        self.acked: OrderedDict[ProcessRef, Acks] = OrderedDict()
        self.read: OrderedDict[ProcessRef, Acks] = OrderedDict()
        self.loads: OrderedDict[str, tuple[LoadReport, int]] = OrderedDict()
        self.seen_revision = 0
        self.is_urgent = False
        self.urgent_ms: int | None = None


class Item(NamedTuple):
    """Hold one item of a message: the member it goes into and its number, if any."""

    member: str
    value: Any
    number: int = 0


def log_change(log: ChangeLog, key: Any) -> None:
    """Give ``key`` the next number, to be told to everyone again."""
    log.latest += 1
    log.numbers[key] = log.latest
    log.numbers.move_to_end(key)
    if len(log.numbers) > MAX_LOGGED:
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
    marks: OrderedDict[ProcessRef, Acks], who: ProcessRef, acks: Acks
) -> None:
    """Keep how far a log was read, forgetting the readers of longest ago."""
    marks[who] = acks
    marks.move_to_end(who)
    if len(marks) > MAX_READERS:
        marks.popitem(last=False)


def note_load(gossip: GossipState, report: LoadReport, now_ms: int) -> None:
    """Keep a report that a server gave to this process, to be told to its zone."""
    gossip.loads[report.server] = (report, now_ms)
    gossip.loads.move_to_end(report.server)
    if len(gossip.loads) > MAX_LOADS:
        gossip.loads.popitem(last=False)


def bytes_allowed(allowance: Allowance, now_ms: int) -> int:
    """Return how long the next message may be.

    The mean stays within the rate; the unused part of it is saved up to
    ``BURST_BYTES``. A message always has room for the least that must be said.
    """
    since_ms = allowance.refilled_ms
    allowance.refilled_ms = now_ms
    if since_ms is None:
        allowance.left_bytes = BURST_BYTES
    else:
        refill = (now_ms - since_ms) * RATE_BYTES_PER_S // MS_PER_S
        allowance.left_bytes = min(BURST_BYTES, allowance.left_bytes + refill)
    return max(LEAST_BYTES, allowance.left_bytes)


def spend_bytes(allowance: Allowance, sent_bytes: int) -> None:
    """Take what was sent off the allowance; it may go below zero."""
    allowance.left_bytes -= sent_bytes


def pack_gossip(
    news: GossipMessage,
    crash_numbers: Sequence[int],
    spend_numbers: Sequence[int],
    always: int,
    most_bytes: int,
) -> dict[str, Any]:
    """Return the document of a message of at most ``most_bytes``.

    The first ``always`` rumours go in whatever the cap. ``crash_numbers`` and
    ``spend_numbers`` are the log numbers of the crashes and counters.
    """
    document: dict[str, Any] = {
        "version": VERSION,
        "rumours": [list(rumour) for rumour in news.rumours[:always]],
        "refutation": news.refutation,
        "acks": list(news.acks),
        "crashes_upto": news.crashes_upto,
        "spend_upto": news.spend_upto,
        "spend_whole": False,
    }
    if news.is_draining:
        document["draining"] = True
    size = len(orjson.dumps(document))
    full: set[str] = set()
    for item in _in_order(news, crash_numbers, spend_numbers, always):
        if item.member in full:
            continue
        added = len(orjson.dumps(item.value)) + 1
        if item.member not in document:
            added += len(item.member) + 6
        if size + added > most_bytes:
            full.add(item.member)
            continue
        size += added
        document.setdefault(item.member, []).append(item.value)
        if item.number:
            document[f"{item.member}_upto"] = item.number
    document["spend_whole"] = news.spend_whole and "spend" not in full
    return document


def parse_gossip(document: Any) -> GossipMessage:
    """Return what a message says, as far as this version understands it."""
    if not isinstance(document, dict):
        return GossipMessage(version=0)
    number = _number_of(document)
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


def _in_order(
    news: GossipMessage,
    crash_numbers: Sequence[int],
    spend_numbers: Sequence[int],
    always: int,
) -> Iterable[Item]:
    for crash, number in zip(news.crashes, crash_numbers, strict=True):
        yield Item("crashes", [crash.server, crash.fingerprints, crash.age_ms], number)
    for hint in news.leaving:
        yield Item("leaving", list(hint))
    for rumour in news.rumours[always:]:
        yield Item("rumours", list(rumour))
    for counter, number in zip(news.spend, spend_numbers, strict=True):
        yield Item("spend", list(counter), number)
    for report in news.loads:
        yield Item("loads", list(report))


def _number_of(document: dict[str, Any]) -> Callable[[str], int]:
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
        Liveness(life),
        _count(age_ms),
    )


def _parse_crash(item: list[Any]) -> CrashHint:
    server, fingerprints, age_ms = item[:3]
    return CrashHint(_text(server), tuple(map(_text, fingerprints)), _count(age_ms))


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
    return LoadReport(
        _text(server),
        _count(running),
        _count(queued),
        _count(capacity),
        _count(age_ms),
        leaving is True,
    )


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
