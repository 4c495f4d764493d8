"""Track which runs of servers are cold, and until when.

Load pattern handled here: servers that crash in a burst and start again while the
requests of all callers wait for them. A server that has just started crashes again at
rates that a warm one handles.

A run is cold for a while after it appears during traffic, for as long as its entry or
one of its answers says, and for a while after the evacuation of its zone has ended. A
server that says that it is not cold ends none of these early: entries and answers are
late. Servers that an instance finds when it starts, or before the first request, count
as warm unless they say otherwise: the whole system may just have started.
"""

from collections import OrderedDict
from typing import Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer, run_name

# Three times as many as docs/CAPACITY.md has servers.
MAX_RUNS: Final = 4_096
# A server that says longer times is asked again after this one.
MAX_COLD_MS: Final = 60_000
NEVER_MS: Final = -(2**62)


class ColdRule(NamedTuple):
    """Hold for how long a server of a pool is cold, and the bound meanwhile.

    In any second it gets at most ``most_per_s`` requests, and should get ``rate_per_s``
    of them.
    """

    start_ms: int
    rate_per_s: float
    most_per_s: float


class ColdRun:
    """Hold when a run appeared during traffic, and until when it said to be cold.

    Either is ``NEVER_MS`` if it did not.
    """

    __slots__ = ("appeared_ms", "until_ms")

    def __init__(self) -> None:
        self.appeared_ms = NEVER_MS
        self.until_ms = NEVER_MS


class ColdRuns:
    """Hold what is known of the runs of servers, the last ones heard of last.

    ``has_traffic`` is set once this instance has had a request.
    """

    def __init__(self) -> None:
        self.by_run: OrderedDict[str, ColdRun] = OrderedDict()
        self.has_traffic = False


def note_entry(
    runs: ColdRuns, server: BackendServer, is_first_read: bool, now_ms: int
) -> bool:
    """Record a registered server; return whether its run is new during traffic.

    ``is_first_read`` is set for the entries of the first list of all of them.
    """
    run = run_name(server)
    is_new = run not in runs.by_run
    state = _state_of(runs, run)
    has_appeared = is_new and runs.has_traffic and not is_first_read
    if has_appeared:
        state.appeared_ms = now_ms
    note_remaining(runs, run, server.warmup_left_ms, now_ms)
    return has_appeared


def note_remaining(runs: ColdRuns, run: str, left_ms: int, now_ms: int) -> bool:
    """Record how long a run says that it stays cold; return whether that is news."""
    if left_ms <= 0:
        return False
    state = _state_of(runs, run)
    is_news = state.until_ms <= now_ms
    state.until_ms = max(state.until_ms, now_ms + min(left_ms, MAX_COLD_MS))
    return is_news


def note_ended(runs: ColdRuns, run: str, now_ms: int) -> None:
    """Record that a run has crashed: what answers at its address next is cold."""
    _state_of(runs, run).appeared_ms = now_ms


def forget_unnamed(runs: ColdRuns, server_id: str) -> None:
    """Forget a removed server whose runs have no names: the next one is another."""
    runs.by_run.pop(f"{server_id}@0", None)


def cold_until_ms(
    runs: ColdRuns, server: BackendServer, rule: ColdRule, returned_ms: int | None
) -> int:
    """Return until when a server is cold; a time in the past means that it is warm.

    ``returned_ms`` is when the evacuation of its zone ended, None if it had none.
    """
    state = runs.by_run.get(run_name(server))
    until_ms = NEVER_MS
    if state is not None:
        until_ms = max(state.until_ms, state.appeared_ms + rule.start_ms)
    if returned_ms is not None:
        until_ms = max(until_ms, returned_ms + rule.start_ms)
    return until_ms


def _state_of(runs: ColdRuns, run: str) -> ColdRun:
    state = runs.by_run.get(run)
    if state is not None:
        runs.by_run.move_to_end(run)
        return state
    state = runs.by_run[run] = ColdRun()
    if len(runs.by_run) > MAX_RUNS:
        runs.by_run.popitem(last=False)
    return state
