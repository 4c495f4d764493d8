"""Measure stage latencies and split a request's deadline between its stages."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from hdrh.histogram import HdrHistogram

from bramleyturn.core.model import Pipeline, Stage

LOWEST_MS: Final = 1
HIGHEST_MS: Final = 3_600_000
SIGNIFICANT_DIGITS: Final = 2
ROTATE_AFTER_VALUES: Final = 1_024
REFRESH_AFTER_VALUES: Final = 32
MIN_VALUES: Final = 8
MAX_STAGES: Final = 1_024
RESERVE_PERCENTILE: Final = 90
TYPICAL_PERCENTILE: Final = 50
MIN_DEADLINE_MS: Final = 1


class StageHistogram:
    """Hold the latencies of one stage in two histograms that take turns.

    A percentile is read over both. When the current one is full, it becomes the
    previous one, and the oldest values are forgotten.
    """

    def __init__(self) -> None:
        self.current = _histogram()
        self.previous = _histogram()
        self.unread_values = 0
        self.percentiles_ms: dict[int, int] = {}


class StageLatencies:
    """Hold the latencies of all stages, the least recently recorded go first."""

    def __init__(self) -> None:
        self.histograms: OrderedDict[tuple[str, str], StageHistogram] = OrderedDict()


def record_stage(
    latencies: StageLatencies, pipeline: str, stage: str, elapsed_ms: int
) -> None:
    """Record that a run of the stage took ``elapsed_ms`` milliseconds."""
    key = (pipeline, stage)
    histogram = latencies.histograms.get(key)
    if histogram is None:
        histogram = latencies.histograms[key] = StageHistogram()
    latencies.histograms.move_to_end(key)
    if len(latencies.histograms) > MAX_STAGES:
        latencies.histograms.popitem(last=False)
    histogram.current.record_value(min(max(elapsed_ms, LOWEST_MS), HIGHEST_MS))
    histogram.unread_values += 1
    if _value_count(histogram) < REFRESH_AFTER_VALUES:
        histogram.percentiles_ms.clear()
    if histogram.unread_values >= REFRESH_AFTER_VALUES:
        histogram.percentiles_ms.clear()
        histogram.unread_values = 0
    if histogram.current.get_total_count() >= ROTATE_AFTER_VALUES:
        histogram.previous = histogram.current
        histogram.current = _histogram()


def stage_percentile_ms(
    latencies: StageLatencies, pipeline: str, stage: str, percentile: int
) -> int | None:
    """Return a percentile of the stage's latency in milliseconds.

    None means that too few runs were recorded. The value may lag by up to
    ``REFRESH_AFTER_VALUES`` runs, since reading a histogram is costly.
    """
    histogram = latencies.histograms.get((pipeline, stage))
    if histogram is None or _value_count(histogram) < MIN_VALUES:
        return None
    known_ms = histogram.percentiles_ms.get(percentile)
    if known_ms is not None:
        return known_ms
    both = _histogram()
    both.add(histogram.previous)
    both.add(histogram.current)
    value_ms = int(both.get_value_at_percentile(percentile))
    histogram.percentiles_ms[percentile] = value_ms
    return value_ms


def stage_deadline_ms(
    latencies: StageLatencies, pipeline: Pipeline, stage: Stage, left_ms: int
) -> int:
    """Return how many of the ``left_ms`` milliseconds the stage may take.

    The slowest chain of stages after it keeps its high percentile. When that
    leaves less than a proportional share, the stage gets the share instead.
    """
    after_ms = _slowest_chain_ms(
        latencies, pipeline, _stages_after(pipeline, stage), RESERVE_PERCENTILE
    )
    own_ms = _percentile_or_zero(latencies, pipeline.name, stage, RESERVE_PERCENTILE)
    total_ms = own_ms + after_ms
    proportional_ms = left_ms * own_ms // total_ms if total_ms else left_ms
    deadline_ms = max(left_ms - after_ms, proportional_ms)
    return max(MIN_DEADLINE_MS, min(deadline_ms, stage.timeout_ms))


def can_finish(
    latencies: StageLatencies,
    pipeline: Pipeline,
    remaining: Sequence[Stage],
    left_ms: int,
) -> bool:
    """Tell whether a typical run of the remaining stages fits ``left_ms``."""
    if not remaining:
        return True
    needed_ms = _slowest_chain_ms(latencies, pipeline, remaining, TYPICAL_PERCENTILE)
    return left_ms > 0 and needed_ms <= left_ms


def typical_run_ms(
    latencies: StageLatencies, pipeline: Pipeline, remaining: Sequence[Stage]
) -> int:
    """Return how long a typical run of the remaining stages takes, 0 if unknown."""
    return _slowest_chain_ms(latencies, pipeline, remaining, TYPICAL_PERCENTILE)


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


def _value_count(histogram: StageHistogram) -> int:
    previous = int(histogram.previous.get_total_count())
    return previous + int(histogram.current.get_total_count())


def _percentile_or_zero(
    latencies: StageLatencies, pipeline: str, stage: Stage, percentile: int
) -> int:
    return stage_percentile_ms(latencies, pipeline, stage.name, percentile) or 0


def _stages_after(pipeline: Pipeline, stage: Stage) -> list[Stage]:
    reached = {stage.name}
    later: list[Stage] = []
    for candidate in pipeline.stages:
        if reached.isdisjoint(candidate.after):
            continue
        reached.add(candidate.name)
        later.append(candidate)
    return later


def _slowest_chain_ms(
    latencies: StageLatencies,
    pipeline: Pipeline,
    stages: Sequence[Stage],
    percentile: int,
) -> int:
    ends_ms: dict[str, int] = {}
    for stage in stages:
        start_ms = max((ends_ms.get(name, 0) for name in stage.after), default=0)
        own_ms = _percentile_or_zero(latencies, pipeline.name, stage, percentile)
        ends_ms[stage.name] = start_ms + own_ms
    return max(ends_ms.values(), default=0)
