"""Name the policies that a replay compares, each as limits and a choice function."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Final, NamedTuple

from bramleyturn.bench.replay_servers import ServerModel, finish_in_ms
from bramleyturn.core.entry_state import ChooseServer, EntryState
from bramleyturn.core.model import Configuration, Limits
from bramleyturn.core.routing import (
    Choice,
    ChoiceRequest,
    NoServer,
    NoServerReason,
    RoutingTable,
    choose_server,
)
from bramleyturn.core.routing_table import ServerState

RETRY_MS: Final = 50
UNLIMITED: Final = 1_000_000_000
BASELINE_ATTEMPTS: Final = 4
Reachable = Callable[[str, str], bool]
ChangeLimits = Callable[[Limits], Limits]
Pick = Callable[[list[ServerState], Random], ServerState]


class Truth(NamedTuple):
    """Give a policy the true state of the servers, and which zones reach which."""

    models: Mapping[str, ServerModel]
    can_reach: Reachable


class Policy(NamedTuple):
    """Describe a policy.

    ``new_choice`` returns the choice function of one entry process. ``adapts`` is
    false where the concurrency limit stays at its highest. ``knows_all`` lets the
    replay refuse at once what cannot finish in time. ``foresees`` is false where the
    entry takes requests whatever the load.
    """

    change_limits: ChangeLimits
    new_choice: Callable[[Truth], ChooseServer]
    adapts: bool = True
    knows_all: bool = False
    foresees: bool = True


def own_choice(_truth: Truth) -> ChooseServer:
    """Return the choice function that the entry uses."""
    return choose_server


def without_affinity(_truth: Truth) -> ChooseServer:
    """Return the entry's choice function without prompt prefixes."""

    def choose(
        table: RoutingTable, request: ChoiceRequest, now_ms: int, random: Random
    ) -> Choice | NoServer:
        return choose_server(table, request._replace(prefix=""), now_ms, random)

    return choose


def oracle(truth: Truth) -> ChooseServer:
    """Return a function that takes the server with the least true finish."""

    def choose(
        table: RoutingTable, request: ChoiceRequest, now_ms: int, _random: Random
    ) -> Choice | NoServer:
        best: ServerState | None = None
        best_ms = 0.0
        for state in _candidates(table, request):
            model = truth.models[state.server.name]
            if not model.is_up or model.is_leaving:
                continue
            if not truth.can_reach(table.zone, state.server.zone):
                continue
            finish_ms = finish_in_ms(model, request.size_tokens, 0)
            if best is None or finish_ms < best_ms:
                best, best_ms = state, finish_ms
        if best is None:
            return NoServer(NoServerReason.NONE_LIVE, RETRY_MS)
        return Choice(best.server, ("oracle",))

    return choose


def baseline(new_pick: Callable[[], Pick]) -> Callable[[Truth], ChooseServer]:
    """Return a policy's choice from a function that picks one of all servers."""

    def new_choice(_truth: Truth) -> ChooseServer:
        pick = new_pick()

        def choose(
            table: RoutingTable, request: ChoiceRequest, now_ms: int, random: Random
        ) -> Choice | NoServer:
            states = _candidates(table, request)
            if not states:
                return NoServer(NoServerReason.ALL_EXCLUDED, RETRY_MS)
            return Choice(pick(states, random).server, ("baseline",))

        return choose

    return new_choice


def pick_random() -> Pick:
    """Return a function that picks any server."""
    return lambda states, random: random.choice(states)


def pick_in_turn() -> Pick:
    """Return a function that picks the servers of each pool in turn."""
    turns: dict[str, int] = {}

    def pick(states: list[ServerState], _random: Random) -> ServerState:
        pool = states[0].server.pool
        turns[pool] = turns.get(pool, -1) + 1
        return states[turns[pool] % len(states)]

    return pick


def pick_least_in_flight() -> Pick:
    """Return a function that picks a server with the fewest own attempts."""

    def pick(states: list[ServerState], random: Random) -> ServerState:
        return min(states, key=lambda state: (state.load.in_flight, random.random()))

    return pick


def pick_of_two() -> Pick:
    """Return a function that picks the less busy of two servers."""

    def pick(states: list[ServerState], random: Random) -> ServerState:
        first, second = random.choice(states), random.choice(states)
        return first if first.load.in_flight <= second.load.in_flight else second

    return pick


def as_set(limits: Limits) -> Limits:
    """Return the limits as the settings have them."""
    return limits


def without_policy(limits: Limits) -> Limits:
    """Return limits with three retries each and no other mechanism."""
    return limits._replace(
        max_running=UNLIMITED,
        retry_ratio_percent=UNLIMITED,
        max_attempts=BASELINE_ATTEMPTS,
        hedge_percentile=0,
        ejection_failures=UNLIMITED,
        slow_start_ms=0,
    )


def apply_policy(policy: Policy, configuration: Configuration) -> Configuration:
    """Return the configuration under which a policy runs."""
    changed = configuration._replace(limits=policy.change_limits(configuration.limits))
    return _without_timeouts(changed) if policy.knows_all else changed


def _without_timeouts(configuration: Configuration) -> Configuration:
    pipelines = {
        name: pipeline._replace(
            stages=tuple(
                stage._replace(timeout_ms=pipeline.deadline_ms)
                for stage in pipeline.stages
            )
        )
        for name, pipeline in configuration.pipelines.items()
    }
    return configuration._replace(pipelines=pipelines)


def prepare_entry(policy: Policy, state: EntryState, truth: Truth) -> None:
    """Give an entry process the choice function of a policy."""
    state.choose = policy.new_choice(truth)
    if not policy.foresees:
        state.check_forecast = lambda *_: None
    if not policy.adapts:
        # A window that never fills leaves the limit where it is.
        state.admission.limit.window_values = -UNLIMITED


def _baseline(new_pick: Callable[[], Pick]) -> Policy:
    return Policy(without_policy, baseline(new_pick), adapts=False, foresees=False)


def _own(change_limits: ChangeLimits) -> Policy:
    return Policy(change_limits, own_choice)


def _candidates(table: RoutingTable, request: ChoiceRequest) -> list[ServerState]:
    pool = table.pools.get(request.pool)
    if pool is None:
        return []
    states = [*pool.own.states, *pool.others.states]
    return [state for state in states if state.server.name not in request.excluded]


BASELINES: Final = {
    "random": _baseline(pick_random),
    "round-robin": _baseline(pick_in_turn),
    "least-in-flight": _baseline(pick_least_in_flight),
    "two-choices": _baseline(pick_of_two),
}
SWITCHED_OFF: Final = {
    "no-hedging": _own(lambda limits: limits._replace(hedge_percentile=0)),
    "no-ejection": _own(lambda limits: limits._replace(ejection_failures=UNLIMITED)),
    "no-affinity": Policy(as_set, without_affinity),
    "no-slow-start": _own(lambda limits: limits._replace(slow_start_ms=0)),
    "no-adaptive-limit": Policy(as_set, own_choice, adapts=False),
    "no-forecast": Policy(as_set, own_choice, foresees=False),
    "no-retry-budget": _own(
        lambda limits: limits._replace(retry_ratio_percent=UNLIMITED)
    ),
}
POLICIES: Final[dict[str, Policy]] = {
    "own": _own(as_set),
    "oracle": Policy(
        without_policy, oracle, adapts=False, knows_all=True, foresees=False
    ),
    **BASELINES,
    **SWITCHED_OFF,
}
