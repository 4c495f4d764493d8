"""Tests of the replay: determinism, stated outcomes, faults, policies."""

from pathlib import Path

import pytest

from bramleyturn.bench.replay import missed_outcomes, replay
from bramleyturn.bench.replay_policies import BASELINES
from bramleyturn.bench.trace import Trace
from bramleyturn.bench.trace_shapes import SHAPES, generate
from bramleyturn.core.configuration import load_configuration
from bramleyturn.core.model import Configuration
from bramleyturn.runtime.settings_file import read_folder

SETTINGS = Path(__file__).parents[2] / "settings"
STATED = {"attainment": 0.97, "wasted": 0.05, "offered": 1.2}
DURATION_MS = 8_000


def configuration(user: str) -> Configuration:
    files = read_folder(SETTINGS / user)
    assert isinstance(files, dict)
    loaded = load_configuration(1, files)
    assert isinstance(loaded, Configuration)
    return loaded


def trace(user: str, load_percent: int = 60) -> Trace:
    return generate(
        configuration(user),
        SHAPES[user],
        seed=11,
        load_percent=load_percent,
        duration_ms=DURATION_MS,
    )


class TestDeterminism:
    def test_same_seed_gives_same_trace(self) -> None:
        assert trace("lakeshore") == trace("lakeshore")

    def test_same_seed_gives_same_result(self) -> None:
        served = configuration("harbourview")
        results = [
            replay(trace("harbourview"), served, fault="straggler+crash", seed=3)
            for _ in range(2)
        ]
        assert results[0] == results[1]


class TestStatedOutcomes:
    @pytest.mark.parametrize("user", sorted(SHAPES))
    def test_fleet_without_faults(self, user: str) -> None:
        result = replay(trace(user), configuration(user))
        assert missed_outcomes(result, STATED) == []
        assert result.unknown == 0

    @pytest.mark.parametrize("user", sorted(SHAPES))
    @pytest.mark.parametrize("fault", ["straggler", "crash", "zone-cut"])
    def test_no_retry_storm(self, user: str, fault: str) -> None:
        result = replay(trace(user, 90), configuration(user), fault=fault)
        assert result.offered <= STATED["offered"]

    def test_missed_outcome_is_reported(self) -> None:
        result = replay(trace("harbourview"), configuration("harbourview"))
        (missed,) = missed_outcomes(result, {"offered": 0.5})
        assert missed.startswith("offered is 1.0")


class TestPriceChange:
    def test_raises_the_cost_of_the_stage(self) -> None:
        served, load = configuration("lakeshore"), trace("lakeshore")
        before = replay(load, served).cost_micros_by_stage
        after = replay(load, served, fault="price-change").cost_micros_by_stage
        stage = "lesson-draft.generate"
        assert after[stage] > 1.3 * before[stage]


class TestPolicies:
    @pytest.mark.parametrize("policy", sorted(BASELINES))
    def test_baseline_answers_without_faults(self, policy: str) -> None:
        load = trace("harbourview", 30)
        result = replay(load, configuration("harbourview"), policy=policy)
        assert result.attainment >= STATED["attainment"]
        assert result.hedges == 0

    def test_the_oracle_wastes_nothing(self) -> None:
        load = trace("lakeshore", 90)
        result = replay(load, configuration("lakeshore"), policy="oracle")
        assert result.wasted < 0.01
