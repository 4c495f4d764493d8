"""Choose a cold server for a caller's request, if the request has a turn there."""

from collections.abc import Callable
from typing import Final

from twisted.internet.task import deferLater

from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.coldstart.asking import most_wait_ms
from bramleyturn.core.coldstart.turns import Turn
from bramleyturn.core.placement.choice import engine_need
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.caller_request import CallerRequest
from bramleyturn.gateway.cold_servers import cold_left_ms, cold_rule, is_cold
from bramleyturn.gateway.cold_turns import ColdTurns
from bramleyturn.gateway.metrics import count
from bramleyturn.gateway.server_limits import LimitReached
from bramleyturn.gateway.serving import Serving

# Without a warm server, a request asks again after it was told when there is a turn, as
# often as this even if all servers stay cold for longer than it may wait.
MAX_ASKS: Final = 2
# Requests that were told the same time ask again this far apart.
SPREAD_MS: Final = 50


async def take_cold_turn(
    turns: ColdTurns,
    request: CallerRequest,
    candidates: Callable[[bool], list[BackendServer]],
) -> BackendServer | LimitReached | None:
    """Return a cold server once the request has its turn there.

    ``candidates`` returns the servers that the request may be sent to, with or without
    the cold ones. Return when there is a turn if there is none in time, and None if
    none of the servers that the request prefers is cold.

    If all servers are cold, and the first one is not for long, the request waits until
    it has a turn or that one is warm.
    """
    serving = turns.serving
    serving.cold_runs.has_traffic = True
    request.cold_turn = None
    if cold_rule(serving, request.pool) is None:
        return None
    until_ms: int | None = None
    asks = 0
    while True:
        asks += 1
        by_run = {
            run_name(each): each
            for each in _preferred(serving, request, candidates(True))
            if is_cold(serving, each)
        }
        if not by_run:
            return None
        has_warm = bool(candidates(False))
        now_ms = serving.now_ms()
        aim_left_ms = request.arrived_ms + request.route.aim_ms - now_ms
        left_ms = request.deadline_ms - now_ms
        most_ms = most_wait_ms(aim_left_ms, left_ms, has_warm)
        if not has_warm:
            until_ms = until_ms or now_ms + most_ms
            most_ms = max(0, until_ms - now_ms)
        turn = await turns.take(request.head.attempt_id, list(by_run.values()), most_ms)
        if isinstance(turn, Turn):
            await _sleep_ms(serving, turn.from_ms - serving.now_ms())
            request.cold_turn = turn
            return by_run[turn.run]
        warm_ms = min(cold_left_ms(serving, each) for each in by_run.values())
        is_in_time = warm_ms <= most_ms or (asks < MAX_ASKS and turn <= most_ms)
        if has_warm or not is_in_time:
            count(serving.metrics, "cold_waits", "warm" if has_warm else "refused")
            return LimitReached(turn)
        count(serving.metrics, "cold_waits", "waited")
        spread_ms = 1 + serving.random.randrange(SPREAD_MS)
        await _sleep_ms(serving, min(turn, warm_ms) + spread_ms)


def _preferred(
    serving: Serving, request: CallerRequest, servers: list[BackendServer]
) -> list[BackendServer]:
    """Return the servers that a request would choose from if all were warm.

    A cold engine has nothing in its cache. While there are warm ones, it gets only
    the requests whose prompts it is to keep, or others would read their prompt parts
    again there.
    """
    if not request.route.uses_prefix_affinity:
        return servers
    cold = [each for each in servers if is_cold(serving, each)]
    if not cold:
        return servers
    need = engine_need(servers, request.head.prompt, serving.random)
    count = 1 if len(cold) < len(servers) else len(need.options)
    named = {option.server_id for option in need.options[:count]}
    return [each for each in servers if each.id in named]


async def _sleep_ms(serving: Serving, wait_ms: int) -> None:
    if wait_ms > 0:
        await deferLater(serving.reactor, wait_ms / MS_PER_S)
