"""Limit what each workspace spends per hour, without a shared counter.

Every process counts its own spending in time slots of ``SLOT_MS``. The counters only
grow, each belongs to one incarnation of one process, and peers merge them by taking
the larger value, so reports may be lost, repeated or reordered.

Between two reports from its peers a process may spend no more than an equal share of
what is left. For a listed process that sends no reports an equal share of the whole
budget is set aside, so that both sides of a network partition together stay within
the budget.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

SLOT_MS: Final = 300_000
PERIOD_MS: Final = 3_600_000
# Spending within this time counts against the local share, and a process that sent no
# report for as long counts as silent.
HORIZON_MS: Final = 10_000
TICK_MS: Final = 250
EXPIRY_INTERVAL_MS: Final = 5_000
MAX_COUNTERS: Final = 65_536


class SpendCounter(NamedTuple):
    """Report what one incarnation of a process spent in one time slot.

    ``age_ms`` is how long ago the slot began.
    """

    process: str
    incarnation: str
    workspace: str
    slot: int
    micros: int
    age_ms: int


class CounterKey(NamedTuple):
    """Identify a counter: one incarnation, workspace and time slot."""

    process: str
    incarnation: str
    workspace: str
    slot: int


class Slot(NamedTuple):
    """Hold a counter's value and when its time slot began."""

    micros: int
    began_ms: int


class RecentSpend:
    """Hold what this process spent within ``HORIZON_MS``, and what it reserves."""

    def __init__(self) -> None:
        self.ticks: deque[tuple[int, int]] = deque()
        self.micros = 0
        self.reserved_micros = 0


class SpendState:
    """Hold the merged counters of all processes and when each one reported."""

    def __init__(self, process: str, incarnation: str) -> None:
        self.process = process
        self.incarnation = incarnation
        self.processes: frozenset[str] = frozenset({process})
        self.reported_ms: dict[str, int] = {}
        self.counters: dict[CounterKey, Slot] = {}
        self.totals: dict[str, dict[str, int]] = {}
        self.recent: dict[str, RecentSpend] = {}
        self.expired_ms = 0


def spend_state(process: str, incarnation: str) -> SpendState:
    """Return the empty state of one incarnation of a process."""
    return SpendState(process, incarnation)


def set_processes(state: SpendState, names: Iterable[str]) -> None:
    """Set the names of the processes that share the budgets."""
    state.processes = frozenset(names) | {state.process}
    for name in state.reported_ms.keys() - state.processes:
        del state.reported_ms[name]


def reserve_spend(state: SpendState, workspace: str, micros: int) -> None:
    """Reserve the expected price of an attempt that starts."""
    _recent_spend(state, workspace).reserved_micros += micros


def settle_spend(
    state: SpendState, workspace: str, reserved_micros: int, micros: int, now_ms: int
) -> None:
    """Replace a reserved price by what the attempt cost."""
    recent = _recent_spend(state, workspace)
    recent.reserved_micros = max(0, recent.reserved_micros - reserved_micros)
    record_spend(state, workspace, micros, now_ms)


def record_spend(state: SpendState, workspace: str, micros: int, now_ms: int) -> None:
    """Count what this process spent for a workspace that has a budget."""
    if micros <= 0:
        return
    number = now_ms // SLOT_MS
    key = CounterKey(state.process, state.incarnation, workspace, number)
    before = state.counters.get(key, Slot(0, number * SLOT_MS))
    _set_counter(state, key, before._replace(micros=before.micros + micros))
    _add_recent(_recent_spend(state, workspace), micros, now_ms)


def spent(state: SpendState, workspace: str, now_ms: int) -> int:
    """Return what all processes are known to have spent in the last hour."""
    _expire(state, now_ms)
    return sum(state.totals.get(workspace, {}).values())


def local_share_micros(
    state: SpendState, workspace: str, budget_micros: int, now_ms: int
) -> int:
    """Return what this process may still spend until its peers report again."""
    _expire(state, now_ms)
    recent = _recent_spend(state, workspace)
    _drop_old_ticks(recent, now_ms)
    totals = state.totals.get(workspace, {})
    equal_share = budget_micros // len(state.processes)
    silent = _silent_processes(state, now_ms)
    silent_shares = sum(max(equal_share, totals.get(name, 0)) for name in silent)
    others = sum(micros for name, micros in totals.items() if name not in silent)
    left = budget_micros - silent_shares - others + recent.micros
    own_part = left // (len(state.processes) - len(silent))
    return own_part - recent.micros - recent.reserved_micros


def may_spend(
    state: SpendState, workspace: str, budget_micros: int, micros: int, now_ms: int
) -> bool:
    """Return whether an attempt priced at ``micros`` fits the budget, 0: no limit."""
    if budget_micros <= 0:
        return True
    return micros <= local_share_micros(state, workspace, budget_micros, now_ms)


def export_spend(state: SpendState, now_ms: int) -> tuple[SpendCounter, ...]:
    """Return the counters of this incarnation, to send to its peers."""
    _expire(state, now_ms)
    return tuple(
        SpendCounter(*key, micros=slot.micros, age_ms=now_ms - slot.began_ms)
        for key, slot in state.counters.items()
        if key.incarnation == state.incarnation
    )


def merge_spend(
    state: SpendState,
    process: str,
    counters: Iterable[SpendCounter],
    now_ms: int,
    *,
    whole: bool = True,
) -> None:
    """Merge a report from a peer; it may be empty.

    Only a ``whole`` report shows that none of the peer's spending is missing.
    Counters of this very incarnation and expired ones are ignored.
    """
    if whole:
        state.reported_ms[process] = now_ms
    for counter in counters:
        _merge_counter(state, counter, now_ms)


def _merge_counter(state: SpendState, counter: SpendCounter, now_ms: int) -> None:
    if counter.incarnation == state.incarnation:
        return
    if not 0 <= counter.age_ms < PERIOD_MS + SLOT_MS or counter.micros <= 0:
        return
    key = CounterKey(*counter[:4])
    before = state.counters.get(key)
    if before is None and len(state.counters) >= MAX_COUNTERS:
        return
    began_ms = now_ms - counter.age_ms
    if before is None:
        _set_counter(state, key, Slot(counter.micros, began_ms))
    elif counter.micros > before.micros:
        _set_counter(state, key, before._replace(micros=counter.micros))


def _set_counter(state: SpendState, key: CounterKey, slot: Slot) -> None:
    before = state.counters.get(key)
    state.counters[key] = slot
    added_micros = slot.micros - (before.micros if before else 0)
    totals = state.totals.setdefault(key.workspace, {})
    totals[key.process] = totals.get(key.process, 0) + added_micros


def _expire(state: SpendState, now_ms: int) -> None:
    if now_ms - state.expired_ms < EXPIRY_INTERVAL_MS:
        return
    state.expired_ms = now_ms
    expired = [
        key
        for key, slot in state.counters.items()
        if slot.began_ms + SLOT_MS + PERIOD_MS <= now_ms
    ]
    for key in expired:
        totals = state.totals[key.workspace]
        totals[key.process] -= state.counters.pop(key).micros
        if not totals[key.process]:
            del totals[key.process]
        if not totals:
            del state.totals[key.workspace]
    _drop_idle_workspaces(state, now_ms)


def _drop_idle_workspaces(state: SpendState, now_ms: int) -> None:
    for workspace, recent in list(state.recent.items()):
        _drop_old_ticks(recent, now_ms)
        if not recent.ticks and not recent.reserved_micros:
            del state.recent[workspace]


def _silent_processes(state: SpendState, now_ms: int) -> list[str]:
    return [
        name
        for name in state.processes
        if name != state.process
        and now_ms - state.reported_ms.get(name, -HORIZON_MS) >= HORIZON_MS
    ]


def _recent_spend(state: SpendState, workspace: str) -> RecentSpend:
    recent = state.recent.get(workspace)
    if recent is None:
        recent = state.recent[workspace] = RecentSpend()
    return recent


def _add_recent(recent: RecentSpend, micros: int, now_ms: int) -> None:
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
