"""Bound what each workspace spends an hour, without a shared counter.

Every process counts its own spending in slots of a few minutes. The counters only
grow, each belongs to one incarnation of one process, and peers merge them by taking
the larger value, so reports may be lost, repeated or reordered.

Between two reports of its peers a process may spend no more than an equal share of
what is left. A listed process that isn't heard of keeps an equal share of the whole
budget, so that both sides of a network partition stay within it together.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

SLOT_MS: Final = 300_000
PERIOD_MS: Final = 3_600_000
HORIZON_MS: Final = 10_000
TICK_MS: Final = 250
EXPIRY_INTERVAL_MS: Final = 5_000
MAX_COUNTERS: Final = 65_536


class SpendCounter(NamedTuple):
    """State what one incarnation of a process spent in one of its slots.

    ``age_ms`` is how long ago the slot began.
    """

    process: str
    incarnation: str
    workspace: str
    slot: int
    micros: int
    age_ms: int


class CounterKey(NamedTuple):
    """Identify a counter."""

    process: str
    incarnation: str
    workspace: str
    slot: int


class Slot(NamedTuple):
    """Hold a counter's value and the instant its slot began."""

    micros: int
    began_ms: int


class RecentSpend:
    """Hold what this process spent within the horizon, and what it holds back."""

    def __init__(self) -> None:
        self.ticks: deque[tuple[int, int]] = deque()
        self.micros = 0
        self.reserved_micros = 0


class SpendState:
    """Hold the merged counters and what is known of the other processes."""

    def __init__(self, process: str, incarnation: str) -> None:
        self.process = process
        self.incarnation = incarnation
        self.listed: frozenset[str] = frozenset({process})
        self.heard_ms: dict[str, int] = {}
        self.counters: dict[CounterKey, Slot] = {}
        self.totals: dict[str, dict[str, int]] = {}
        self.recent: dict[str, RecentSpend] = {}
        self.expired_ms = 0


def spend_state(process: str, incarnation: str) -> SpendState:
    """Return an empty book of one incarnation of a process."""
    return SpendState(process, incarnation)


def set_processes(book: SpendState, names: Iterable[str]) -> None:
    """Take over the names of the processes that share the budgets."""
    book.listed = frozenset(names) | {book.process}
    for name in book.heard_ms.keys() - book.listed:
        del book.heard_ms[name]


def reserve_spend(book: SpendState, workspace: str, micros: int) -> None:
    """Hold back the expected price of an attempt that starts."""
    _recent(book, workspace).reserved_micros += micros


def settle_spend(
    book: SpendState, workspace: str, reserved_micros: int, micros: int, now_ms: int
) -> None:
    """Replace a held price by what the attempt cost."""
    recent = _recent(book, workspace)
    recent.reserved_micros = max(0, recent.reserved_micros - reserved_micros)
    record_spend(book, workspace, micros, now_ms)


def record_spend(book: SpendState, workspace: str, micros: int, now_ms: int) -> None:
    """Count what this process spent for a workspace that has a budget."""
    if micros <= 0:
        return
    number = now_ms // SLOT_MS
    key = CounterKey(book.process, book.incarnation, workspace, number)
    before = book.counters.get(key, Slot(0, number * SLOT_MS))
    _set_counter(book, key, before._replace(micros=before.micros + micros))
    _count_recent(_recent(book, workspace), micros, now_ms)


def spent(book: SpendState, workspace: str, now_ms: int) -> int:
    """Return what all processes spent in the last hour, as far as is known."""
    _expire(book, now_ms)
    return sum(book.totals.get(workspace, {}).values())


def local_share_micros(
    book: SpendState, workspace: str, budget_micros: int, now_ms: int
) -> int:
    """Return what this process may still spend until it hears of its peers again."""
    _expire(book, now_ms)
    recent = _recent(book, workspace)
    _drop_old_ticks(recent, now_ms)
    totals = book.totals.get(workspace, {})
    even_share = budget_micros // len(book.listed)
    silent = _silent(book, now_ms)
    reserved = sum(max(even_share, totals.get(name, 0)) for name in silent)
    others = sum(micros for name, micros in totals.items() if name not in silent)
    left = budget_micros - reserved - others + recent.micros
    own_part = left // (len(book.listed) - len(silent))
    return own_part - recent.micros - recent.reserved_micros


def may_spend(
    book: SpendState, workspace: str, budget_micros: int, micros: int, now_ms: int
) -> bool:
    """Tell whether an attempt priced at ``micros`` fits the budget, 0 for no budget."""
    if budget_micros <= 0:
        return True
    return micros <= local_share_micros(book, workspace, budget_micros, now_ms)


def export_spend(book: SpendState, now_ms: int) -> tuple[SpendCounter, ...]:
    """Return the counters of this process, to be sent to its peers."""
    _expire(book, now_ms)
    return tuple(
        SpendCounter(*key, micros=slot.micros, age_ms=now_ms - slot.began_ms)
        for key, slot in book.counters.items()
        if key.incarnation == book.incarnation
    )


def merge_spend(
    book: SpendState,
    process: str,
    counters: Iterable[SpendCounter],
    now_ms: int,
    *,
    whole: bool = True,
) -> None:
    """Merge a report of a peer, also an empty one.

    Only a ``whole`` report shows that nothing of what the peer spent is missing.
    Counters about this very incarnation and those of a past hour are ignored.
    """
    if whole:
        book.heard_ms[process] = now_ms
    for counter in counters:
        _merge_counter(book, counter, now_ms)


def _merge_counter(book: SpendState, counter: SpendCounter, now_ms: int) -> None:
    if counter.incarnation == book.incarnation:
        return
    if not 0 <= counter.age_ms < PERIOD_MS + SLOT_MS or counter.micros <= 0:
        return
    key = CounterKey(*counter[:4])
    before = book.counters.get(key)
    if before is None and len(book.counters) >= MAX_COUNTERS:
        return
    began_ms = now_ms - counter.age_ms
    if before is None:
        _set_counter(book, key, Slot(counter.micros, began_ms))
    elif counter.micros > before.micros:
        _set_counter(book, key, before._replace(micros=counter.micros))


def _set_counter(book: SpendState, key: CounterKey, slot: Slot) -> None:
    before = book.counters.get(key)
    book.counters[key] = slot
    grown = slot.micros - (before.micros if before else 0)
    totals = book.totals.setdefault(key.workspace, {})
    totals[key.process] = totals.get(key.process, 0) + grown


def _expire(book: SpendState, now_ms: int) -> None:
    if now_ms - book.expired_ms < EXPIRY_INTERVAL_MS:
        return
    book.expired_ms = now_ms
    old = [
        key
        for key, slot in book.counters.items()
        if slot.began_ms + SLOT_MS + PERIOD_MS <= now_ms
    ]
    for key in old:
        totals = book.totals[key.workspace]
        totals[key.process] -= book.counters.pop(key).micros
        if not totals[key.process]:
            del totals[key.process]
        if not totals:
            del book.totals[key.workspace]
    _forget_idle(book, now_ms)


def _forget_idle(book: SpendState, now_ms: int) -> None:
    for workspace, recent in list(book.recent.items()):
        _drop_old_ticks(recent, now_ms)
        if not recent.ticks and not recent.reserved_micros:
            del book.recent[workspace]


def _silent(book: SpendState, now_ms: int) -> list[str]:
    return [
        name
        for name in book.listed
        if name != book.process
        and now_ms - book.heard_ms.get(name, -HORIZON_MS) >= HORIZON_MS
    ]


def _recent(book: SpendState, workspace: str) -> RecentSpend:
    recent = book.recent.get(workspace)
    if recent is None:
        recent = book.recent[workspace] = RecentSpend()
    return recent


def _count_recent(recent: RecentSpend, micros: int, now_ms: int) -> None:
    tick = now_ms // TICK_MS
    recent.micros += micros
    if recent.ticks and recent.ticks[-1][0] == tick:
        micros += recent.ticks.pop()[1]
    recent.ticks.append((tick, micros))
    _drop_old_ticks(recent, now_ms)


def _drop_old_ticks(recent: RecentSpend, now_ms: int) -> None:
    oldest = (now_ms - HORIZON_MS) // TICK_MS
    while recent.ticks and recent.ticks[0][0] < oldest:
        recent.micros -= recent.ticks.popleft()[1]
