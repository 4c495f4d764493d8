"""Define the policies that a replay compares, by limits and choice function."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Final, NamedTuple

from bramleyturn.bench.replay_servers import ServerModel, time_to_finish_ms
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

RETRY_DELAY_MS: Final = 50
UNLIMITED: Final = 1_000_000_000
BASELINE_ATTEMPTS: Final = 4
Reachable = Callable[[str, str], bool]
ChangeLimits = Callable[[Limits], Limits]
Pick = Callable[[list[ServerState], Random], ServerState]


class TrueState(NamedTuple):
    """Give a policy the servers' true state and the reachability of zones."""

    models: Mapping[str, ServerModel]
    can_reach: Reachable


class Policy(NamedTuple):
    """Describe a policy.

    ``new_choice`` returns the choice function of one entry process. With
    ``adapts_limit`` false, the concurrency limit stays at its maximum. With
    ``uses_true_state``, the replay immediately refuses requests that cannot meet
    their deadline. With ``forecasts`` false, the entry admits requests whatever the
    load.
    """

    change_limits: ChangeLimits
    new_choice: Callable[[TrueState], ChooseServer]
    adapts_limit: bool = True
    uses_true_state: bool = False
    forecasts: bool = True


def entry_choice(_true_state: TrueState) -> ChooseServer:
    """Return the choice function of the entry."""
    return choose_server


def without_affinity(_true_state: TrueState) -> ChooseServer:
    """Return the entry's choice function without prefix affinity."""

    def choose(
        table: RoutingTable, request: ChoiceRequest, now_ms: int, random: Random
    ) -> Choice | NoServer:
        return choose_server(table, request._replace(prefix=""), now_ms, random)

    return choose


def oracle_choice(true_state: TrueState) -> ChooseServer:
    """Return a function that chooses the server that will finish first."""

    def choose(
        table: RoutingTable, request: ChoiceRequest, now_ms: int, _random: Random
    ) -> Choice | NoServer:
        best: ServerState | None = None
        best_ms = 0.0
        for state in _candidates(table, request):
            model = true_state.models[state.server.name]
            if not model.is_up or model.is_leaving:
                continue
            if not true_state.can_reach(table.zone, state.server.zone):
                continue
            finish_ms = time_to_finish_ms(model, request.size_tokens, 0)
            if best is None or finish_ms < best_ms:
                best, best_ms = state, finish_ms
        if best is None:
            return NoServer(NoServerReason.NONE_LIVE, RETRY_DELAY_MS)
        return Choice(best.server, ("oracle",))

    return choose


def baseline_choice(
    new_pick: Callable[[], Pick],
) -> Callable[[TrueState], ChooseServer]:
    """Build a choice function from a function that picks one of all candidates."""

    def new_choice(_true_state: TrueState) -> ChooseServer:
        pick = new_pick()

        def choose(
            table: RoutingTable, request: ChoiceRequest, now_ms: int, random: Random
        ) -> Choice | NoServer:
            states = _candidates(table, request)
            if not states:
                return NoServer(NoServerReason.ALL_EXCLUDED, RETRY_DELAY_MS)
            return Choice(pick(states, random).server, ("baseline",))

        return choose

    return new_choice


def pick_random() -> Pick:
    """Return a function that picks any server."""
    return lambda states, random: random.choice(states)


def pick_round_robin() -> Pick:
    """Return a function that picks the servers of each pool round-robin."""
    turns: dict[str, int] = {}

    def pick(states: list[ServerState], _random: Random) -> ServerState:
        pool = states[0].server.pool
        turns[pool] = turns.get(pool, -1) + 1
        return states[turns[pool] % len(states)]

    return pick


def pick_least_in_flight() -> Pick:
    """Return a function that picks a server with the fewest attempts of this entry."""

    def pick(states: list[ServerState], random: Random) -> ServerState:
        return min(states, key=lambda state: (state.load.in_flight, random.random()))

    return pick


def pick_two_choices() -> Pick:
    """Return a function that picks the less loaded of two random servers."""

    def pick(states: list[ServerState], random: Random) -> ServerState:
        first, second = random.choice(states), random.choice(states)
        return first if first.load.in_flight <= second.load.in_flight else second

    return pick


def unchanged_limits(limits: Limits) -> Limits:
    """Return the limits of the settings unchanged."""
    return limits


def baseline_limits(limits: Limits) -> Limits:
    """Return limits with three retries each and all other mechanisms off."""
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
    return _without_timeouts(changed) if policy.uses_true_state else changed


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


def prepare_entry(policy: Policy, state: EntryState, true_state: TrueState) -> None:
    """Apply a policy's choice function and admission settings to an entry process."""
    state.choose = policy.new_choice(true_state)
    if not policy.forecasts:
        state.check_forecast = lambda *_: None
    if not policy.adapts_limit:
        # The limit changes only when its window is full, which never happens here.
        state.admission.limit.window_values = -UNLIMITED


def _baseline_policy(new_pick: Callable[[], Pick]) -> Policy:
    return Policy(
        baseline_limits, baseline_choice(new_pick), adapts_limit=False, forecasts=False
    )


def _entry_policy(change_limits: ChangeLimits) -> Policy:
    return Policy(change_limits, entry_choice)


def _candidates(table: RoutingTable, request: ChoiceRequest) -> list[ServerState]:
    pool = table.pools.get(request.pool)
    if pool is None:
        return []
    states = [*pool.own.states, *pool.others.states]
    return [state for state in states if state.server.name not in request.excluded]


BASELINES: Final = {
    "random": _baseline_policy(pick_random),
    "round-robin": _baseline_policy(pick_round_robin),
    "least-in-flight": _baseline_policy(pick_least_in_flight),
    "two-choices": _baseline_policy(pick_two_choices),
}
SWITCHED_OFF: Final = {
    "no-hedging": _entry_policy(lambda limits: limits._replace(hedge_percentile=0)),
    "no-ejection": _entry_policy(
        lambda limits: limits._replace(ejection_failures=UNLIMITED)
    ),
    "no-affinity": Policy(unchanged_limits, without_affinity),
    "no-slow-start": _entry_policy(lambda limits: limits._replace(slow_start_ms=0)),
    "no-adaptive-limit": Policy(unchanged_limits, entry_choice, adapts_limit=False),
    "no-forecast": Policy(unchanged_limits, entry_choice, forecasts=False),
    "no-retry-budget": _entry_policy(
        lambda limits: limits._replace(retry_ratio_percent=UNLIMITED)
    ),
}
POLICIES: Final[dict[str, Policy]] = {
    "own": _entry_policy(unchanged_limits),
    "oracle": Policy(
        baseline_limits,
        oracle_choice,
        adapts_limit=False,
        uses_true_state=True,
        forecasts=False,
    ),
    **BASELINES,
    **SWITCHED_OFF,
}
