"""Test the answers that the stand-ins compute from their inputs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.model import PoolKind, Stage
from bramleyturn.standin.answers import (
    engine_tokens,
    expected_output,
    stage_input,
    words_of,
)

TEXTS = st.text(max_size=40)


class TestExpectedOutput:
    @pytest.mark.parametrize("kind", list(PoolKind))
    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(first=TEXTS, second=TEXTS)
    def test_differs_for_different_inputs_only(
        self, kind: PoolKind, first: str, second: str
    ) -> None:
        outputs = [
            expected_output(kind, "m", {"text": text}, 16) for text in (first, second)
        ]
        assert (outputs[0] == outputs[1]) == (first == second)

    def test_does_not_depend_on_the_order_of_keys(self) -> None:
        one = expected_output(PoolKind.ENCODER, "m", {"a": "x", "b": "y"})
        assert one == expected_output(PoolKind.ENCODER, "m", {"b": "y", "a": "x"})

    def test_depends_on_the_model(self) -> None:
        one = expected_output(PoolKind.ENCODER, "m", {"a": "x"})
        assert one != expected_output(PoolKind.ENCODER, "n", {"a": "x"})

    def test_sorts_passages_by_falling_score(self) -> None:
        found = expected_output(PoolKind.RETRIEVER, "m", {"text": "paper boats"})
        ranked = expected_output(PoolKind.RERANKER, "r", found)
        scores = [passage["score"] for passage in ranked["passages"]]
        assert scores == sorted(scores, reverse=True)
        assert len(scores) == len(found["passages"])


class TestEngineTokens:
    @settings(derandomize=True, max_examples=50)
    @given(text=TEXTS, most=st.integers(1, 64))
    def test_are_words_of_the_input_up_to_the_maximum(
        self, text: str, most: int
    ) -> None:
        tokens = engine_tokens("m", {"text": text}, most)
        assert 1 <= len(tokens) <= most
        words = words_of({"text": text}) or ["empty"]
        assert {token[1:] for token in tokens[1:]} <= set(words)

    def test_differ_in_number_between_inputs(self) -> None:
        counts = {len(engine_tokens("m", str(seed), 64)) for seed in range(50)}
        assert len(counts) > 10


class TestStageInput:
    @pytest.mark.parametrize(
        ("after", "expected"),
        [((), "text"), (("b",), 2), (("a", "b"), {"a": 1, "b": 2})],
    )
    def test_is_the_previous_output_or_an_object_of_several(
        self, after: tuple[str, ...], expected: object
    ) -> None:
        stage = Stage("c", "pool", after, True, 1000, 32, False)
        assert stage_input(stage, "text", {"a": 1, "b": 2}) == expected
