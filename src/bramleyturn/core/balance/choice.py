"""Choose servers of an uneven pool by their expected load and learned speed.

Load pattern handled here: a hundred instances choose at the same moment by the same
reports, which are up to a second old. The server with the least load in them would get
the requests of all until the next report. So each draws a few candidates in proportion
to their free capacity, and expects others to have done the same.
"""

import math
from collections.abc import Sequence
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.balance.outcomes import trust
from bramleyturn.core.balance.speeds import is_learned, relative_paces
from bramleyturn.core.balance.state import REPORT_TTL_MS, Balance, RunState
from bramleyturn.core.catalog.model import BackendServer, run_name

# Two candidates avoid most queues that a draw alone leaves. With three, requests gather
# at servers that look best in reports that all have (docs/design/0003-even-load.md).
CANDIDATES: Final = 2
# After this time a report counts for 37 %. In the simulation of tests/core/balance, 500
# and 1,000 ms gave more late requests at 70 and 85 % of capacity, where requests take
# 100 ms: a queue is another one by then.
FADE_MS: Final = 250
# A full server keeps this part of its weight, as its reports are stale.
LEAST_FREE: Final = 0.05


class ExpectedLoad(NamedTuple):
    """Hold the expected load of a server.

    ``requests`` are those running and waiting there, ``capacity`` is its slots times
    its speed relative to the pool, ``pace`` the inverse of that speed, and ``trust``
    the share of requests that it is expected to serve without an error.
    """

    requests: float
    capacity: float
    pace: float
    trust: float


def expected_loads(
    balance: Balance, servers: Sequence[BackendServer], now_ms: int
) -> list[ExpectedLoad]:
    """Return the expected load of each server of a pool.

    A report fades to the pool's mean load as it ages, since others send less to a
    server that looks busy and more to one that looks free.
    """
    states = [balance.runs.get(run_name(server)) for server in servers]
    paces = relative_paces([state.pace if state else None for state in states])
    capacities = [
        _slots(server, state) / pace
        for server, state, pace in zip(servers, states, paces, strict=True)
    ]
    reported = [_fresh_requests(state, now_ms) for state in states]
    known = [
        (requests, capacity)
        for requests, capacity in zip(reported, capacities, strict=True)
        if requests is not None
    ]
    total = sum(capacity for _, capacity in known)
    mean = sum(requests for requests, _ in known) / total if total else 0.0
    return [
        ExpectedLoad(
            _requests(state, requests, mean * capacity, now_ms),
            capacity,
            pace,
            trust(state.outcomes, now_ms) if state else 1.0,
        )
        for state, requests, capacity, pace in zip(
            states, reported, capacities, paces, strict=True
        )
    ]


def choose_evenly(
    balance: Balance, servers: Sequence[BackendServer], random: Random, now_ms: int
) -> BackendServer | None:
    """Return the better one of a few servers, drawn by their free capacity."""
    if not servers:
        return None
    loads = expected_loads(balance, servers, now_ms)
    weights = [
        each.trust * max(LEAST_FREE * each.capacity, each.capacity - each.requests)
        for each in loads
    ]
    drawn = random.choices(range(len(servers)), weights, k=CANDIDATES)
    best = min(drawn, key=lambda place: _cost(loads[place]))
    return servers[best]


def note_paces(balance: Balance, servers: Sequence[BackendServer]) -> None:
    """Record the relative paces of a pool's servers, for those who plan by them."""
    states = [balance.runs.get(run_name(server)) for server in servers]
    paces = relative_paces([state.pace if state else None for state in states])
    for server, state, pace in zip(servers, states, paces, strict=True):
        if state is not None and is_learned(state.pace):
            balance.paces[server.id] = pace
        else:
            balance.paces.pop(server.id, None)


def _cost(load: ExpectedLoad) -> float:
    """Return the expected time to the end of one more request, 1 in an idle server."""
    slots = load.capacity * load.pace
    queued = max(0.0, load.requests + 1 - slots) / slots
    return (1 + queued) * load.pace / load.trust


def _slots(server: BackendServer, state: RunState | None) -> int:
    """Return the registered slots, or those reported if they are fewer.

    A faulty report must not draw the requests of all.
    """
    report = state.report if state else None
    if report is None or not report.slots:
        return max(1, server.slots)
    return min(report.slots, max(1, server.slots))


def _fresh_requests(state: RunState | None, now_ms: int) -> int | None:
    report = state.report if state else None
    if report is None or now_ms - report.at_ms > REPORT_TTL_MS:
        return None
    return report.running + report.waiting


def _requests(
    state: RunState | None, reported: int | None, mean: float, now_ms: int
) -> float:
    if state is None:
        return mean
    if reported is None or state.report is None:
        return max(mean, float(len(state.sent_ms)))
    at_ms = state.report.at_ms
    share = math.exp(-max(0, now_ms - at_ms) / FADE_MS)
    own = sum(sent_ms >= at_ms for sent_ms in state.sent_ms)
    return share * reported + (1 - share) * mean + own
