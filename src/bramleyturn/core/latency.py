"""Record stage latencies and split a request's deadline between its stages."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from hdrh.histogram import HdrHistogram

from bramleyturn.core.model import Pipeline, Stage

MIN_RECORDED_MS: Final = 1
MAX_RECORDED_MS: Final = 3_600_000
SIGNIFICANT_DIGITS: Final = 2
ROTATE_AFTER_SAMPLES: Final = 1_024
REFRESH_AFTER_SAMPLES: Final = 32
MIN_SAMPLES: Final = 8
MAX_STAGES: Final = 1_024
RESERVE_PERCENTILE: Final = 90
TYPICAL_PERCENTILE: Final = 50
MIN_DEADLINE_MS: Final = 1


class StageHistogram:
    """Hold the latencies of one stage in two rotating histograms.

    Percentiles are read over both. After ``ROTATE_AFTER_SAMPLES`` samples the current
    one replaces the previous one, whose samples are dropped.
    """

    def __init__(self) -> None:
        self.current = _histogram()
        self.previous = _histogram()
        self.samples_since_refresh = 0
        self.percentiles_ms: dict[int, int] = {}


class StageLatencies:
    """Hold the latencies of all stages; the least recently recorded is evicted."""

    def __init__(self) -> None:
        self.histograms: OrderedDict[tuple[str, str], StageHistogram] = OrderedDict()


def record_stage(
    latencies: StageLatencies, pipeline: str, stage: str, elapsed_ms: int
) -> None:
    """Record a run of the stage that took ``elapsed_ms`` milliseconds."""
    key = (pipeline, stage)
    histogram = latencies.histograms.get(key)
    if histogram is None:
        histogram = latencies.histograms[key] = StageHistogram()
    latencies.histograms.move_to_end(key)
    if len(latencies.histograms) > MAX_STAGES:
        latencies.histograms.popitem(last=False)
    histogram.current.record_value(
        min(max(elapsed_ms, MIN_RECORDED_MS), MAX_RECORDED_MS)
    )
    histogram.samples_since_refresh += 1
    if _sample_count(histogram) < REFRESH_AFTER_SAMPLES:
        histogram.percentiles_ms.clear()
    if histogram.samples_since_refresh >= REFRESH_AFTER_SAMPLES:
        histogram.percentiles_ms.clear()
        histogram.samples_since_refresh = 0
    if histogram.current.get_total_count() >= ROTATE_AFTER_SAMPLES:
        histogram.previous = histogram.current
        histogram.current = _histogram()


def stage_percentile_ms(
    latencies: StageLatencies, pipeline: str, stage: str, percentile: int
) -> int | None:
    """Return a percentile of the stage's latency in milliseconds.

    None means that too few runs were recorded. The value may lag by up to
    ``REFRESH_AFTER_SAMPLES`` runs, since reading a histogram is expensive.
    """
    histogram = latencies.histograms.get((pipeline, stage))
    if histogram is None or _sample_count(histogram) < MIN_SAMPLES:
        return None
    cached_ms = histogram.percentiles_ms.get(percentile)
    if cached_ms is not None:
        return cached_ms
    combined = _histogram()
    combined.add(histogram.previous)
    combined.add(histogram.current)
    value_ms = int(combined.get_value_at_percentile(percentile))
    histogram.percentiles_ms[percentile] = value_ms
    return value_ms


def stage_deadline_ms(
    latencies: StageLatencies, pipeline: Pipeline, stage: Stage, left_ms: int
) -> int:
    """Return how many of the ``left_ms`` milliseconds the stage may take.

    The slowest chain of later stages is reserved its ``RESERVE_PERCENTILE`` latency.
    If that leaves the stage less than its proportional share of ``left_ms``, it gets
    that share instead.
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
    """Return whether a typical run of the remaining stages fits in ``left_ms``."""
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
    return HdrHistogram(MIN_RECORDED_MS, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)


def _sample_count(histogram: StageHistogram) -> int:
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
