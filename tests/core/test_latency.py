"""Tests of stage latencies and splitting deadlines."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.hedging import hedge_after_ms
from bramleyturn.core.latency import (
    MAX_STAGES,
    ROTATE_AFTER_SAMPLES,
    StageLatencies,
    can_finish,
    record_stage,
    stage_deadline_ms,
    stage_percentile_ms,
)
from tests.core.policy_data import LIMITS, pipeline, stage

ENCODE = stage("encode", timeout_ms=1_000)
SEARCH = stage("search", after=("encode",))
RECALL = stage("recall", after=("encode",))
GENERATE = stage("generate", after=("search", "recall"))
PIPELINE = pipeline(ENCODE, SEARCH, RECALL, GENERATE)


def recorded_latencies(**elapsed_ms: int) -> StageLatencies:
    """Return latencies in which every run of a stage took the given time."""
    latencies = StageLatencies()
    for name, value_ms in elapsed_ms.items():
        for _ in range(64):
            record_stage(latencies, PIPELINE.name, name, value_ms)
    return latencies


class TestPercentiles:
    def test_too_few_runs_give_none(self) -> None:
        latencies = StageLatencies()
        record_stage(latencies, "p", "s", 5)
        assert stage_percentile_ms(latencies, "p", "s", 50) is None

    def test_reads_percentiles(self) -> None:
        latencies = StageLatencies()
        for value_ms in range(1, 101):
            record_stage(latencies, "p", "s", value_ms)
        assert stage_percentile_ms(latencies, "p", "s", 50) == pytest.approx(50, abs=2)
        assert stage_percentile_ms(latencies, "p", "s", 99) == pytest.approx(99, abs=2)

    def test_old_values_are_dropped(self) -> None:
        latencies = recorded_latencies(encode=1_000)
        for _ in range(2 * ROTATE_AFTER_SAMPLES):
            record_stage(latencies, PIPELINE.name, "encode", 10)
        assert stage_percentile_ms(latencies, PIPELINE.name, "encode", 99) == 10

    def test_state_is_bounded(self) -> None:
        latencies = StageLatencies()
        for number in range(MAX_STAGES + 10):
            record_stage(latencies, "p", f"s{number}", 5)
        assert len(latencies.histograms) == MAX_STAGES


class TestStageDeadline:
    def test_reserves_time_for_the_slowest_chain_after_it(self) -> None:
        latencies = recorded_latencies(encode=10, search=100, recall=300, generate=500)
        assert stage_deadline_ms(latencies, PIPELINE, ENCODE, 1_500) == pytest.approx(
            700, abs=10
        )

    def test_never_above_the_stage_timeout(self) -> None:
        assert stage_deadline_ms(StageLatencies(), PIPELINE, ENCODE, 9_000) == 1_000

    def test_scarce_time_is_split_in_proportion(self) -> None:
        latencies = recorded_latencies(encode=100, recall=300, generate=600)
        assert stage_deadline_ms(latencies, PIPELINE, ENCODE, 500) == pytest.approx(
            50, abs=2
        )

    @settings(derandomize=True, max_examples=50)
    @given(left_ms=st.integers(-10, 20_000), own_ms=st.integers(1, 5_000))
    def test_is_within_the_time_left(self, left_ms: int, own_ms: int) -> None:
        latencies = recorded_latencies(encode=own_ms, generate=700)
        deadline_ms = stage_deadline_ms(latencies, PIPELINE, ENCODE, left_ms)
        assert 1 <= deadline_ms <= max(1, min(left_ms, ENCODE.timeout_ms))


class TestCanFinish:
    def test_parallel_stages_count_once(self) -> None:
        latencies = recorded_latencies(encode=10, search=100, recall=300, generate=500)
        assert can_finish(latencies, PIPELINE, PIPELINE.stages, 820)
        assert not can_finish(latencies, PIPELINE, PIPELINE.stages, 780)

    def test_finished_stages_do_not_count(self) -> None:
        latencies = recorded_latencies(encode=1_000, generate=500)
        assert can_finish(latencies, PIPELINE, [GENERATE], 510)

    def test_no_time_left(self) -> None:
        assert not can_finish(StageLatencies(), PIPELINE, [GENERATE], 0)
        assert can_finish(StageLatencies(), PIPELINE, [], 0)


class TestHedging:
    def test_after_the_stage_percentile(self) -> None:
        latencies = recorded_latencies(encode=40)
        assert hedge_after_ms(latencies, PIPELINE, ENCODE, LIMITS, 0.0) == 40

    def test_after_twice_the_expected_time_of_a_long_input(self) -> None:
        latencies = recorded_latencies(encode=40, generate=3_000)
        assert hedge_after_ms(latencies, PIPELINE, ENCODE, LIMITS, 90.0) == 180

    @pytest.mark.parametrize(
        "changed",
        [
            ENCODE._replace(hedge=False),
            ENCODE._replace(repeatable=False),
            ENCODE._replace(name="generate"),
            ENCODE._replace(name="unknown"),
        ],
        ids=["not allowed", "not idempotent", "long", "unknown"],
    )
    def test_no_hedge(self, changed: object) -> None:
        latencies = recorded_latencies(encode=40, generate=3_000)
        after_ms = hedge_after_ms(latencies, PIPELINE, changed, LIMITS, 0.0)  # type: ignore[arg-type]
        assert after_ms is None
