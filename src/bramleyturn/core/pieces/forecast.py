"""Forecast when requests will be served, from the work that goes before them.

The forecast covers all stages of a request that are left, each with the queue of its
pool, and what new requests will want of the same servers meanwhile.
"""

import math
from typing import Final

from bramleyturn.core.pieces.model import LaterStage
from bramleyturn.core.pieces.planner import AskState, Pipeline
from bramleyturn.core.pieces.timing import busy_ms, piece_ms, stage_ms

# Time over which the work that arrives is averaged.
ARRIVALS_MS: Final = 3_000.0
# Late requests are expected to get this part of the servers' time at least.
LEAST_SPARE: Final = 0.1


class Forecast:
    """Collect the work that goes before a request, by pool, in milliseconds."""

    def __init__(self, pipeline: Pipeline, now_ms: int) -> None:
        self.now_ms = now_ms
        self.ahead_ms = {
            name: busy_ms(planner, now_ms)
            for name, planner in pipeline.planners.items()
        }
        self.spare = {
            name: max(LEAST_SPARE, 1 - pool_load(pipeline, name, now_ms))
            for name in pipeline.planners
        }


def stages_left(state: AskState) -> tuple[LaterStage, ...]:
    """Return the stages that a request still needs, this ask's own first."""
    ask = state.ask
    own = LaterStage(ask.pool, len(state.waiting), ask.result_bytes)
    return (own, *ask.later)


def expected_finish_ms(
    pipeline: Pipeline, forecast: Forecast, state: AskState, is_late: bool = False
) -> float:
    """Return when the last stage of a request is expected to be done.

    A stage begins when the one before it is done and the pool has done what goes
    before. A late request only gets the time that new requests leave over.
    """
    elapsed_ms = 0.0
    for stage in stages_left(state):
        planner = pipeline.planners.get(stage.pool)
        if planner is None or not stage.piece_count:
            continue
        queue_ms = forecast.ahead_ms.get(stage.pool, 0.0)
        if is_late:
            queue_ms /= forecast.spare.get(stage.pool, 1.0)
        own_ms = stage_ms(planner, stage.piece_count, stage.result_bytes)
        elapsed_ms = max(elapsed_ms, queue_ms) + own_ms
    return forecast.now_ms + elapsed_ms


def longest_queue_ms(forecast: Forecast, state: AskState) -> float:
    """Return how long the request waits for the stage that is the most behind."""
    return max(
        (forecast.ahead_ms.get(stage.pool, 0.0) for stage in stages_left(state)),
        default=0.0,
    )


def note_arriving(pipeline: Pipeline, state: AskState, now_ms: int) -> None:
    """Count the work of a new request as arrived at all of its pools."""
    for stage in stages_left(state):
        planner = pipeline.planners.get(stage.pool)
        if planner is not None:
            added_ms = piece_ms(planner, stage.result_bytes) * stage.piece_count
            before_ms = _arriving_ms(pipeline, stage.pool, now_ms)
            pipeline.arriving[stage.pool] = (before_ms + added_ms, now_ms)


def _arriving_ms(pipeline: Pipeline, pool: str, now_ms: int) -> float:
    work_ms, at_ms = pipeline.arriving.get(pool, (0.0, now_ms))
    return work_ms * math.exp((at_ms - now_ms) / ARRIVALS_MS)


def pool_load(pipeline: Pipeline, pool: str, now_ms: int) -> float:
    """Return the work that arrives for a pool as a part of what it can do."""
    return _arriving_ms(pipeline, pool, now_ms) / ARRIVALS_MS


def work_left_ms(pipeline: Pipeline, state: AskState) -> float:
    """Return the nominal time of what is left of a request."""
    return sum(
        stage_ms(pipeline.planners[stage.pool], stage.piece_count, stage.result_bytes)
        for stage in stages_left(state)
        if stage.pool in pipeline.planners and stage.piece_count
    )


def add_work(pipeline: Pipeline, forecast: Forecast, state: AskState) -> None:
    """Let what is left of a request go before those that are forecast after it."""
    for stage in stages_left(state):
        planner = pipeline.planners.get(stage.pool)
        if planner is not None:
            added_ms = piece_ms(planner, stage.result_bytes) * stage.piece_count
            forecast.ahead_ms[stage.pool] += added_ms
