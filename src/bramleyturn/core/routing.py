"""Choose the backend server for an attempt."""

from heapq import heappop, heappush
from math import inf
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.outliers import (
    eject,
    end_ejection,
    record_failure,
    record_success,
    should_eject,
    slow_start_share,
)
from bramleyturn.core.prefix_cache import (
    home_server,
    recent_servers,
    remember_prefix,
)
from bramleyturn.core.routing_table import (
    Candidates,
    PoolState,
    RoutingTable,
    ServerState,
    apply_servers,
    list_candidates,
    routing_table,
    server_back,
    server_leaving,
)
from bramleyturn.core.routing_types import (
    AttemptEnd,
    AttemptVerdict,
    Choice,
    ChoiceRequest,
    NoServer,
    NoServerReason,
)
from bramleyturn.core.server_confirmation import (
    is_confirmed,
    recheck_left_servers,
    recheck_other_zone,
)
from bramleyturn.core.server_load import (
    LoadReport,
    count_end,
    count_start,
    estimate_ms,
    expected_finish_ms,
    expected_ms,
    learn_margin,
    learn_time,
    learn_unfinished,
    take_report,
)

__all__ = [
    "AttemptEnd",
    "AttemptVerdict",
    "Choice",
    "ChoiceRequest",
    "LoadReport",
    "NoServer",
    "NoServerReason",
    "RoutingTable",
    "apply_servers",
    "attempt_ended",
    "attempt_forecast_ms",
    "attempt_started",
    "choose_server",
    "load_reported",
    "routing_table",
    "server_back",
    "server_leaving",
    "usual_ms",
]

SAMPLES: Final = 3
RANDOM_SAMPLES: Final = 2
MAX_PROBES: Final = 8
MAX_IDLE_PROBES: Final = 64
WARM_FACTOR: Final = 0.7
WARM_MAX_UTILISATION: Final = 0.8
SPILL_UTILISATION: Final = 0.75
SPILL_FACTOR: Final = 2.0
OTHER_ZONE_FACTOR: Final = 1.1
BUSY_MS: Final = 100
IDLE_RETRY_MS: Final = 50
NO_SERVER_RETRY_MS: Final = 1_000
UNCONFIRMED_RETRY_MS: Final = 25


class Rating(NamedTuple):
    """Hold the best candidate with its estimated time and utilisation."""

    score_ms: float
    utilisation: float
    usual_ms: float
    state: ServerState


def choose_server(
    table: RoutingTable, request: ChoiceRequest, now_ms: int, random: Random
) -> Choice | NoServer:
    """Return the server with the least estimated finish among a few candidates.

    The own zone is preferred; the other zones are considered when it has no server
    for this request, or its best one is nearly full or slow. The cost doesn't depend
    on the number of servers.

    After a pause of the process a server is chosen only once it is confirmed again.
    """
    chosen = _choose(table, request, now_ms, random)
    if isinstance(chosen, NoServer):
        if chosen.reason is NoServerReason.NONE_LIVE:
            recheck_left_servers(table, table.pools[request.pool], now_ms)
        return chosen
    if is_confirmed(table, chosen.server):
        recheck_other_zone(table, chosen.server, now_ms)
        return chosen
    return NoServer(NoServerReason.UNCONFIRMED, UNCONFIRMED_RETRY_MS)


def _choose(
    table: RoutingTable, request: ChoiceRequest, now_ms: int, random: Random
) -> Choice | NoServer:
    pool = table.pools.get(request.pool)
    if pool is None:
        return NoServer(NoServerReason.UNKNOWN_POOL, NO_SERVER_RETRY_MS)
    _end_ejections(table, now_ms)
    if request.alone:
        return _choose_idle(pool, request, now_ms)
    best = _best(table, pool, pool.own, request, now_ms, random)
    if best is None or _spills(best):
        other = _best(table, pool, pool.others, request, now_ms, random)
        best = _better(best, other)
    if best is None:
        return _no_server(pool, request, now_ms)
    return Choice(best.state.server, _reasons(table, request, best))


def attempt_started(
    table: RoutingTable,
    server_name: str,
    size_tokens: int,
    prefix: str,
    now_ms: int,
    alone: bool = False,
) -> None:
    """Count an attempt as in flight.

    If it runs ``alone``, this process sends the server nothing else until nothing is
    in flight there.
    """
    state = table.servers.get(server_name)
    if state is None:
        return
    pool = table.pools[state.server.pool]
    count_start(pool.load, state.load, size_tokens, now_ms)
    state.held_alone = state.held_alone or alone
    if prefix:
        remember_prefix(table.prefixes, state.server.pool, prefix, server_name)


def attempt_ended(
    table: RoutingTable, server_name: str, end: AttemptEnd, now_ms: int
) -> None:
    """Count an attempt as ended and update the estimates from its result."""
    state = table.servers.get(server_name)
    if state is None:
        return
    pool = table.pools[state.server.pool]
    count_end(state.load, end.size_tokens, now_ms)
    if state.load.in_flight == 0:
        state.held_alone = False
    if end.forecast_ms and end.verdict in (AttemptVerdict.OK, AttemptVerdict.FAILED):
        learn_margin(pool.load, end.forecast_ms, end.elapsed_ms)
    if end.verdict is AttemptVerdict.OK:
        record_success(state.outlier)
        learn_time(pool.load, state.load, end.size_tokens, end.elapsed_ms, now_ms)
    elif end.verdict is AttemptVerdict.CANCELLED:
        learn_unfinished(pool.load, state.load, end.size_tokens, end.elapsed_ms, now_ms)
    elif end.verdict is AttemptVerdict.REFUSED:
        state.busy_until_ms = now_ms + BUSY_MS
    elif end.verdict in (AttemptVerdict.FAILED, AttemptVerdict.LOST):
        if end.verdict is AttemptVerdict.FAILED:
            learn_unfinished(
                pool.load, state.load, end.size_tokens, end.elapsed_ms, now_ms
            )
        record_failure(state.outlier)
        _eject_if_due(table, pool, state, now_ms)


def load_reported(table: RoutingTable, report: LoadReport, now_ms: int) -> None:
    """Apply a server's load report."""
    state = table.servers.get(report.server)
    if state is None:
        return
    take_report(table.pools[state.server.pool].load, state.load, report, now_ms)
    if report.leaving:
        server_leaving(table, report.server, now_ms)
    elif not state.is_listed_leaving:
        server_back(table, report.server, now_ms - max(0, report.age_ms), now_ms)


def usual_ms(table: RoutingTable, pool_name: str, size_tokens: int) -> float:
    """Return how long an attempt of this size usually takes in a pool, 0 if unknown."""
    pool = table.pools.get(pool_name)
    return expected_ms(pool.load, size_tokens) if pool is not None else 0.0


def attempt_forecast_ms(
    table: RoutingTable, server_name: str, size_tokens: int, now_ms: int
) -> float:
    """Return how long an attempt on this server is expected to take, 0 if unknown."""
    state = table.servers.get(server_name)
    if state is None:
        return 0.0
    pool = table.pools[state.server.pool]
    return expected_finish_ms(pool.load, state.load, size_tokens, now_ms)


def _eject_if_due(
    table: RoutingTable, pool: PoolState, state: ServerState, now_ms: int
) -> None:
    if not should_eject(state.outlier, table.limits, pool.ejected, len(pool.members)):
        return
    until_ms = eject(state.outlier, table.limits, now_ms)
    pool.ejected += 1
    heappush(table.ejections, (until_ms, state.server.name))
    list_candidates(table, pool)


def _end_ejections(table: RoutingTable, now_ms: int) -> None:
    while table.ejections and table.ejections[0][0] <= now_ms:
        until_ms, name = heappop(table.ejections)
        state = table.servers.get(name)
        if state is None or state.outlier.ejected_until_ms != until_ms:
            continue
        pool = table.pools[state.server.pool]
        end_ejection(state.outlier, now_ms)
        pool.ejected -= 1
        list_candidates(table, pool)


def _best(
    table: RoutingTable,
    pool: PoolState,
    candidates: Candidates,
    request: ChoiceRequest,
    now_ms: int,
    random: Random,
) -> Rating | None:
    usual_ms = expected_ms(pool.load, request.size_tokens)
    warm = recent_servers(table.prefixes, request.pool, request.prefix)
    best: Rating | None = None
    best_ms = inf
    for state in _sample(candidates, request, warm, now_ms, random):
        score_ms, utilisation = estimate_ms(pool.load, state.load, usual_ms, now_ms)
        if warm and utilisation < WARM_MAX_UTILISATION and state.server.name in warm:
            score_ms *= WARM_FACTOR
        if state.outlier.fresh_since_ms is not None:
            score_ms /= slow_start_share(state.outlier, table.limits, now_ms)
        if score_ms < best_ms:
            best_ms = score_ms
            best = Rating(score_ms, utilisation, usual_ms, state)
    return best


def _sample(
    candidates: Candidates,
    request: ChoiceRequest,
    warm: tuple[str, ...],
    now_ms: int,
    random: Random,
) -> list[ServerState]:
    states = candidates.states
    if len(states) <= SAMPLES:
        return [state for state in states if _accepts(state, request, now_ms)]
    picked = _pick(states, random)
    if request.prefix:
        picked = [
            *_warm_states(candidates, request.prefix, warm),
            *picked[:RANDOM_SAMPLES],
        ]
    sample = [state for state in picked if _accepts(state, request, now_ms)]
    return sample or _probe(states, request, now_ms, random)


def _pick(states: tuple[ServerState, ...], random: Random) -> list[ServerState]:
    # One draw: its integer part is the first index, its fraction gives the stride.
    count = len(states)
    position = random.random() * count
    first = int(position)
    step = 1 + int((position - first) * (count - 1))
    second = (first + step) % count
    return [states[first], states[second], states[(second + step) % count]]


def _warm_states(
    candidates: Candidates, prefix: str, warm: tuple[str, ...]
) -> list[ServerState]:
    known = [candidates.by_name[name] for name in warm if name in candidates.by_name]
    if known:
        return known
    home = home_server(candidates.ring, prefix, candidates.by_name)
    return [candidates.by_name[home]] if home is not None else []


def _probe(
    states: tuple[ServerState, ...],
    request: ChoiceRequest,
    now_ms: int,
    random: Random,
) -> list[ServerState]:
    count = len(states)
    start = int(random.random() * count)
    probes = min(count, MAX_PROBES + len(request.excluded))
    for offset in range(probes):
        state = states[(start + offset) % count]
        if _accepts(state, request, now_ms):
            return [state]
    return []


def _accepts(state: ServerState, request: ChoiceRequest, now_ms: int) -> bool:
    if state.held_alone or state.busy_until_ms > now_ms:
        return False
    return state.server.name not in request.excluded


def _spills(best: Rating) -> bool:
    if best.utilisation >= SPILL_UTILISATION:
        return True
    return best.score_ms >= SPILL_FACTOR * best.usual_ms


def _better(own: Rating | None, other: Rating | None) -> Rating | None:
    if own is None or other is None:
        return own or other
    return own if own.score_ms <= other.score_ms * OTHER_ZONE_FACTOR else other


def _reasons(
    table: RoutingTable, request: ChoiceRequest, rating: Rating
) -> tuple[str, ...]:
    server = rating.state.server
    zone = "own_zone" if server.zone == table.zone else "other_zone"
    warm = recent_servers(table.prefixes, request.pool, request.prefix)
    if server.name in warm and rating.utilisation < WARM_MAX_UTILISATION:
        return (zone, "warm_prefix")
    return (zone, "least_estimate")


def _choose_idle(
    pool: PoolState, request: ChoiceRequest, now_ms: int
) -> Choice | NoServer:
    usable = 0
    for reason, candidates in (("own_zone", pool.own), ("other_zone", pool.others)):
        # Slices are disjoint only if taken from the servers that every suspect may use.
        states = [
            state
            for state in candidates.states
            if state.server.name not in request.excluded
        ]
        usable += len(states)
        count = max(1, len(states))
        for state in states[request.place % count :: request.places][:MAX_IDLE_PROBES]:
            if state.load.in_flight == 0 and _accepts(state, request, now_ms):
                return Choice(state.server, (reason, "alone"))
    if not pool.own.states and not pool.others.states:
        return NoServer(NoServerReason.NONE_LIVE, NO_SERVER_RETRY_MS)
    if not usable:
        return NoServer(NoServerReason.ALL_EXCLUDED, NO_SERVER_RETRY_MS)
    return NoServer(NoServerReason.NONE_IDLE, IDLE_RETRY_MS)


def _no_server(pool: PoolState, request: ChoiceRequest, now_ms: int) -> NoServer:
    states = (*pool.own.states, *pool.others.states)
    if not states:
        return NoServer(NoServerReason.NONE_LIVE, NO_SERVER_RETRY_MS)
    if all(state.server.name in request.excluded for state in states):
        return NoServer(NoServerReason.ALL_EXCLUDED, NO_SERVER_RETRY_MS)
    return NoServer(NoServerReason.ALL_BUSY, BUSY_MS)
