"""Forecast from the load of the backend servers whether a request can finish."""

from collections.abc import Sequence
from itertools import chain, islice
from typing import Final, NamedTuple

from bramleyturn.core.model import Stage
from bramleyturn.core.routing_table import RoutingTable
from bramleyturn.core.server_load import expected_finish_ms
from bramleyturn.core.units import MS_PER_S

MAX_SAMPLED_SERVERS: Final = 32


class TooBusy(NamedTuple):
    """State that a request can't finish in time, and when to retry."""

    retry_after_ms: int


def forecast(
    table: RoutingTable,
    stages: Sequence[Stage],
    input_tokens: int,
    left_ms: int,
    now_ms: int,
) -> TooBusy | None:
    """Return ``TooBusy`` if the stages of a request can't finish in time, else None.

    Each stage is expected to take as long as on its least busy server, and none may
    take longer than its own timeout.
    """
    ends_ms: dict[str, float] = {}
    overrun_ms = 0.0
    for stage in stages:
        size_tokens = input_tokens + stage.max_output_tokens
        stage_ms = _least_finish_ms(table, stage.pool, size_tokens, now_ms)
        overrun_ms = max(overrun_ms, stage_ms - stage.timeout_ms)
        start_ms = max((ends_ms.get(name, 0.0) for name in stage.after), default=0.0)
        ends_ms[stage.name] = start_ms + stage_ms
    overrun_ms = max(overrun_ms, max(ends_ms.values(), default=0.0) - left_ms)
    if overrun_ms <= 0.0:
        return None
    return TooBusy(max(MS_PER_S, int(overrun_ms)))


def _least_finish_ms(
    table: RoutingTable, pool_name: str, size_tokens: int, now_ms: int
) -> float:
    pool = table.pools.get(pool_name)
    if pool is None:
        return 0.0
    states = islice(chain(pool.own.states, pool.others.states), MAX_SAMPLED_SERVERS)
    least_ms = min(
        (
            expected_finish_ms(pool.load, state.load, size_tokens, now_ms)
            for state in states
        ),
        default=0.0,
    )
    return least_ms * pool.load.margin
