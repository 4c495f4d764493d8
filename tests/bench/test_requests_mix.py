"""Tests of planning a mixed load."""

import random

import orjson

from bramleyturn.bench.passages import curriculum_lines, cut_passage
from bramleyturn.bench.requests_mix import default_mix, input_of_try, plan_requests

SEED = 11


class TestPlan:
    def test_same_seed_gives_same_plan(self) -> None:
        first = plan_requests(random.Random(SEED), default_mix(), 50, 4000)
        second = plan_requests(random.Random(SEED), default_mix(), 50, 4000)
        assert first == second

    def test_every_pipeline_has_its_share(self) -> None:
        planned = plan_requests(random.Random(SEED), default_mix(), 100, 10_000)
        names = {request.pipeline for request in planned}
        assert names == {"lesson-draft", "craft-idea", "roster-signup", "packet-order"}

    def test_all_inputs_are_unique(self) -> None:
        planned = plan_requests(random.Random(SEED), default_mix(), 100, 10_000)
        inputs = {orjson.dumps(request.input) for request in planned}
        assert len(inputs) == len(planned)

    def test_each_try_has_a_different_input(self) -> None:
        request = plan_requests(random.Random(SEED), default_mix(), 50, 4000)[0]
        assert input_of_try(request, 0) != input_of_try(request, 1)


class TestPassages:
    def test_passages_differ_in_length(self) -> None:
        rng, lines = random.Random(SEED), curriculum_lines()
        lengths = [len(cut_passage(rng, lines)) for _ in range(200)]
        assert min(lengths) < 200
        assert max(lengths) > 2000

    def test_passage_is_part_of_the_text(self) -> None:
        lines = curriculum_lines()
        assert cut_passage(random.Random(SEED), lines) in "\n".join(lines)
