"""Test a short soak with a fixed seed, its fault plan and its result checks."""

from collections import Counter
from pathlib import Path
from random import Random

import pytest

from scripts.soak import (
    FAULTS,
    PAIR_S,
    Result,
    add_load_results,
    describe,
    draw_pairs,
    main,
)

SEED = 1
PAIRS = 3


class TestShortSoak:
    def test_finds_no_fault(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        code = main(
            ["--seeds", str(SEED), "--pairs", str(PAIRS), "--folder", str(tmp_path)]
        )
        text = capsys.readouterr().out
        print(text)
        assert code == 0, text


class TestPlan:
    def test_seed_fixes_the_plan(self) -> None:
        plans = [draw_pairs(Random(seed), 5) for seed in (3, 3, 4)]
        assert plans[0] == plans[1] != plans[2]

    def test_pairs_are_of_two_faults_that_overlap(self) -> None:
        pairs = draw_pairs(Random(1), 500)
        assert {name for pair in pairs for name, _ in pair} == set(FAULTS)
        assert all(first.name != second.name for first, second in pairs)
        assert all(second.after_s < PAIR_S for _, second in pairs)


class TestLoadResults:
    def test_load_without_a_summary_is_a_fault(self, tmp_path: Path) -> None:
        empty = Result(1, [], Counter(), [], Counter())
        result = add_load_results(empty, [tmp_path / "load-0.json"])
        assert result.faults == ["load-0.json: the load has no summary"]
        assert "FAULT" in describe(result)

    def test_fault_of_a_load_is_reported(self, tmp_path: Path) -> None:
        out = tmp_path / "load-0.json"
        out.write_text(
            '{"faults": ["draft request 1: cut"], "reasons": {}, "pipelines": {}}'
        )
        empty = Result(1, [], Counter(), [], Counter())
        assert add_load_results(empty, [out]).faults == ["draft request 1: cut"]
