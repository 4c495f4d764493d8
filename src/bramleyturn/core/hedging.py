"""Decide when a slow attempt is hedged with a second one."""

from typing import Final

from bramleyturn.core.latency import StageLatencies, stage_percentile_ms
from bramleyturn.core.model import Limits, Pipeline, Stage

SHORT_STAGE_MS: Final = 1_000
MIN_HEDGE_MS: Final = 5
USUAL_TIME_FACTOR: Final = 2.0


def hedge_after_ms(
    latencies: StageLatencies,
    pipeline: Pipeline,
    stage: Stage,
    limits: Limits,
    usual_ms: float,
) -> int | None:
    """Return how long an attempt runs before it is hedged, None for never.

    Only stages that are idempotent, short, and allow it are hedged, after a high
    percentile of their own latency and a multiple of ``usual_ms``, the usual time of
    work of this size: a long input is slow on any server.
    """
    if not stage.hedge or not stage.repeatable or limits.hedge_percentile <= 0:
        return None
    after_ms = stage_percentile_ms(
        latencies, pipeline.name, stage.name, limits.hedge_percentile
    )
    if after_ms is None or after_ms > SHORT_STAGE_MS:
        return None
    return max(MIN_HEDGE_MS, after_ms, int(USUAL_TIME_FACTOR * usual_ms))
