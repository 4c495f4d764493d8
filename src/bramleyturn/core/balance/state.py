"""Hold what is known of the servers of uneven pools.

Load pattern handled here: about a hundred instances each send a server so few requests
that none learns its load alone, and servers differ in speed. A pool counts as uneven
once one of its servers says how long work takes there.
"""

from typing import Final, NamedTuple

from bramleyturn.core.balance.outcomes import Outcome
from bramleyturn.core.balance.speeds import LearnedPace, PoolTime

# The fleet of docs/CAPACITY.md has 1,300 servers.
MAX_RUNS: Final = 2_048
# A report this old says nothing about the present load.
REPORT_TTL_MS: Final = 1_000
# A request that its instance has forgotten to end must not count for ever.
MAX_OWN_SENDS: Final = 256


class ServerReport(NamedTuple):
    """Hold what a run of a server had in progress and waiting at ``at_ms``.

    ``told_percent`` is the run's pace that another instance told with it, 0 if it has
    learned none, and None if the report came to this instance.
    """

    running: int
    waiting: int
    slots: int
    at_ms: int
    told_percent: int | None = None


class RunState:
    """Hold what is known of a run of a server.

    ``sent_ms`` is when each request of this instance was sent that is still there.
    ``outcomes`` are the newest answers by their ids, of all instances.
    """

    def __init__(self) -> None:
        self.report: ServerReport | None = None
        self.sent_ms: list[int] = []
        self.pace = LearnedPace()
        self.outcomes: dict[int, Outcome] = {}


class Balance:
    """Hold the state of each run of a server, and the pools that are uneven.

    ``times`` has the usual time of a request by pool. ``paces`` has the relative
    pace of the servers of uneven pools by id, as far as one was learned; 2 is half as
    fast as the pool.
    """

    def __init__(self) -> None:
        self.runs: dict[str, RunState] = {}
        self.uneven: set[str] = set()
        self.times: dict[str, PoolTime] = {}
        self.paces: dict[str, float] = {}


def run_state(balance: Balance, run: str) -> RunState:
    """Return the state of a run, a new one if it is unknown.

    Beyond ``MAX_RUNS`` it is not kept.
    """
    state = balance.runs.get(run)
    if state is None:
        state = RunState()
        if len(balance.runs) < MAX_RUNS:
            balance.runs[run] = state
    return state


def note_uneven(balance: Balance, pool: str) -> bool:
    """Count a pool as uneven; return whether that is news."""
    is_new = pool not in balance.uneven
    balance.uneven.add(pool)
    return is_new


def note_report(balance: Balance, run: str, report: ServerReport) -> bool:
    """Record a report unless a newer one is known; return whether it is recorded."""
    state = run_state(balance, run)
    if state.report is not None and state.report.at_ms >= report.at_ms:
        return False
    state.report = report
    return True


def note_sent(balance: Balance, run: str, now_ms: int) -> None:
    """Count a request that this instance sends to a run."""
    state = run_state(balance, run)
    if len(state.sent_ms) < MAX_OWN_SENDS:
        state.sent_ms.append(now_ms)


def note_ended(balance: Balance, run: str, sent_ms: int) -> None:
    """Count the end of a request that was sent at ``sent_ms``."""
    state = balance.runs.get(run)
    if state is not None and sent_ms in state.sent_ms:
        state.sent_ms.remove(sent_ms)


def forget_runs(balance: Balance, kept: frozenset[str], pools: frozenset[str]) -> None:
    """Drop the runs and pools that are no longer registered."""
    for run in balance.runs.keys() - kept:
        del balance.runs[run]
    balance.uneven &= pools
    for pool in balance.times.keys() - pools:
        del balance.times[pool]
    ids = frozenset(run.rpartition("@")[0] for run in kept)
    for server_id in balance.paces.keys() - ids:
        del balance.paces[server_id]
