"""Tests of the verdicts on a load, from case files."""

from pathlib import Path
from typing import Any

import orjson
import pytest

from bramleyturn.bench.verdicts import judge
from tests.bench.finished import finished, run_key

CASES = orjson.loads((Path(__file__).parent / "cases/verdicts.json").read_bytes())


class TestJudge:
    @pytest.mark.parametrize("case", CASES, ids=[case["case"] for case in CASES])
    def test_case(self, case: dict[str, Any]) -> None:
        requests = [
            finished(number, each) for number, each in enumerate(case["requests"])
        ]
        runs = {run_key(text): times for text, times in case["runs"].items()}
        found = [[each.number, each.fault.value] for each in judge(requests, runs)]
        assert found == case["faults"]
