"""Forecast when requests will be done, from the work queued before them.

The forecast covers all remaining stages of a request, each with the queue of its
pool, and the work that new requests are expected to add meanwhile.
core/contention/arrival_rates.py expects how much that is.
"""

import math
from typing import Final

from bramleyturn.core.contention.arrival_rates import (
    ArrivalRates,
    FreeCapacity,
    after_burst,
    free_capacity,
    note_arrival,
    wait_for_work_ms,
)
from bramleyturn.core.pieces.model import LaterStage
from bramleyturn.core.pieces.planner import AskState, Pipeline
from bramleyturn.core.pieces.timing import busy_ms, piece_ms, server_count, stage_ms

# Time constant of the exponential decay of arriving work.
ARRIVAL_DECAY_MS: Final = 3_000.0


class Forecast:
    """Hold the work queued before a request, by pool, in milliseconds.

    ``free`` is the part of a pool's time that new requests leave free, now and later.
    """

    def __init__(self, pipeline: Pipeline, now_ms: int) -> None:
        self.now_ms = now_ms
        self.backlog_ms = {
            name: busy_ms(planner, now_ms)
            for name, planner in pipeline.planners.items()
        }
        self.free = {
            name: _free_capacity(pipeline, name, now_ms) for name in pipeline.planners
        }


def _free_capacity(pipeline: Pipeline, pool: str, now_ms: int) -> FreeCapacity:
    rates = pipeline.rates.get(pool, ArrivalRates())
    servers = server_count(pipeline.planners[pool], now_ms)
    return free_capacity(rates, servers, pool_load(pipeline, pool, now_ms), now_ms)


def remaining_stages(state: AskState) -> tuple[LaterStage, ...]:
    """Return the stages that a request still needs, that of this ask first."""
    ask = state.ask
    own = LaterStage(ask.pool, len(state.waiting), ask.result_bytes)
    return (own, *ask.later)


def expected_finish_ms(
    pipeline: Pipeline, forecast: Forecast, state: AskState, is_late: bool = False
) -> float:
    """Return when the last stage of a request is expected to be done.

    A stage starts when the previous one is done and its pool has worked off the queue
    before it. A late request only gets the time that new requests leave free. One that
    was kept in an earlier plan counts on the capacity after the burst: if it were
    refused as soon as the burst lasts longer than expected, its wait would be in vain.
    """
    elapsed_ms = 0.0
    for stage in remaining_stages(state):
        planner = pipeline.planners.get(stage.pool)
        if planner is None or not stage.piece_count:
            continue
        queue_ms = forecast.backlog_ms.get(stage.pool, 0.0)
        if is_late:
            free = forecast.free[stage.pool]
            if state.is_kept:
                free = after_burst(free)
            queue_ms = wait_for_work_ms(free, queue_ms)
        own_ms = stage_ms(planner, stage.piece_count, stage.result_bytes)
        elapsed_ms = max(elapsed_ms, queue_ms) + own_ms
    return forecast.now_ms + elapsed_ms


def longest_late_queue_ms(forecast: Forecast, state: AskState) -> float:
    """Return the longest wait for a stage in the time that new requests leave free.

    The present load is taken as lasting, as a late request that starts too early would
    delay new ones that can be in time.
    """
    return max(
        (
            forecast.backlog_ms[stage.pool] / forecast.free[stage.pool].now
            for stage in remaining_stages(state)
            if stage.pool in forecast.free
        ),
        default=0.0,
    )


def record_arrival(pipeline: Pipeline, state: AskState, now_ms: int) -> None:
    """Count the work of a new request as arriving at all of its pools."""
    for stage in remaining_stages(state):
        planner = pipeline.planners.get(stage.pool)
        if planner is not None:
            added_ms = piece_ms(planner, stage.result_bytes, now_ms) * stage.piece_count
            before_ms = _arriving_ms(pipeline, stage.pool, now_ms)
            pipeline.arriving[stage.pool] = (before_ms + added_ms, now_ms)
            rates = pipeline.rates.setdefault(stage.pool, ArrivalRates())
            note_arrival(rates, added_ms * server_count(planner, now_ms), now_ms)


def _arriving_ms(pipeline: Pipeline, pool: str, now_ms: int) -> float:
    work_ms, at_ms = pipeline.arriving.get(pool, (0.0, now_ms))
    return work_ms * math.exp((at_ms - now_ms) / ARRIVAL_DECAY_MS)


def pool_load(pipeline: Pipeline, pool: str, now_ms: int) -> float:
    """Return the rate of arriving work as a fraction of the pool's capacity."""
    return _arriving_ms(pipeline, pool, now_ms) / ARRIVAL_DECAY_MS


def remaining_work_ms(pipeline: Pipeline, state: AskState) -> float:
    """Return the nominal time of the remaining stages of a request."""
    return sum(
        stage_ms(pipeline.planners[stage.pool], stage.piece_count, stage.result_bytes)
        for stage in remaining_stages(state)
        if stage.pool in pipeline.planners and stage.piece_count
    )


def add_to_backlog(pipeline: Pipeline, forecast: Forecast, state: AskState) -> None:
    """Queue the remaining work of a request before requests forecast after it."""
    for stage in remaining_stages(state):
        planner = pipeline.planners.get(stage.pool)
        if planner is not None:
            each_ms = piece_ms(planner, stage.result_bytes, forecast.now_ms)
            added_ms = each_ms * stage.piece_count
            forecast.backlog_ms[stage.pool] += added_ms
