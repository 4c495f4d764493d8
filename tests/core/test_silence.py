"""Tests of how long an attempt may be silent before another server is tried."""

import pytest

from bramleyturn.core.actions import CancelAttempt, StartAttempt
from bramleyturn.core.latency import StageLatencies, record_stage
from bramleyturn.core.outcomes import OutcomeKind
from bramleyturn.core.silence import NO_LIMIT_MS, silence_limit_ms
from tests.core.entry_world import World, answer, configuration, started

TIMEOUT_MS = 4_000
LEFT_MS = 5_000
RUNS = 20


def limit_ms(pipeline: str, stage: int, usual_ms: int | None) -> int:
    latencies = StageLatencies()
    found = configuration().pipelines[pipeline]
    if usual_ms is not None:
        for _ in range(RUNS):
            name = f"{found.stages[stage].name}.silence"
            record_stage(latencies, pipeline, name, usual_ms)
    return silence_limit_ms(latencies, found, found.stages[stage], TIMEOUT_MS)


def world_with_history() -> World:
    """Return an entry that has measured drafts whose parts arrived every 20 ms."""
    world = World()
    for number in range(RUNS):
        encode = started(world.send("draft", request_id=f"h{number}", waiter="h"))
        world.advance(20)
        generate = started(world.output(encode))
        for offset in range(3):
            world.advance(20)
            world.tokens(generate, offset, "t")
        world.end(generate, 3)
    return world


def starts(actions: list[object]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]


class TestLimit:
    @pytest.mark.parametrize(
        ("usual_ms", "expected_ms"),
        [
            (None, NO_LIMIT_MS),
            (10, 250),
            (200, 800),
            (900, 2_000),
            (2_500, NO_LIMIT_MS),
        ],
    )
    def test_is_a_multiple_of_the_usual_silence_and_leaves_half_the_time(
        self, usual_ms: int | None, expected_ms: int
    ) -> None:
        assert limit_ms("draft", 1, usual_ms) == pytest.approx(expected_ms, rel=0.02)

    def test_is_none_for_a_stage_that_may_not_be_repeated(self) -> None:
        assert limit_ms("signup", 0, 10) == NO_LIMIT_MS


class TestUnresponsiveServer:
    @pytest.mark.parametrize("tokens_before", [0, 2])
    def test_stream_resumes_on_another_server_after_the_last_token(
        self, tokens_before: int
    ) -> None:
        world = world_with_history()
        encode = started(world.send("draft", left_ms=LEFT_MS))
        generate = started(world.output(encode))
        for offset in range(tokens_before):
            world.advance(20)
            world.tokens(generate, offset, "t")
        actions = world.advance(400)
        assert CancelAttempt(generate.attempt_id, generate.server) in actions
        (again,) = starts(list(actions))
        assert again.server != generate.server
        assert again.resume_offset == tokens_before
        world.tokens(again, tokens_before, "t")
        ended = answer(world.end(again, tokens_before + 1))
        assert ended.outcome.kind is OutcomeKind.ANSWERED

    def test_call_is_retried_on_another_server(self) -> None:
        world = world_with_history()
        encode = started(world.send("draft", left_ms=LEFT_MS))
        (again,) = starts(list(world.advance(400)))
        assert (again.stage, again.server != encode.server) == ("encode", True)

    def test_stream_with_pauses_below_the_limit_continues(self) -> None:
        world = world_with_history()
        encode = started(world.send("draft", left_ms=LEFT_MS))
        generate = started(world.output(encode))
        for offset in range(10):
            assert not world.advance(200)
            world.tokens(generate, offset, "t")
        assert answer(world.end(generate, 10)).outcome.kind is OutcomeKind.ANSWERED

    def test_last_attempt_is_not_cancelled_for_silence(self) -> None:
        world = world_with_history()
        world.state.configuration = world.state.configuration._replace(
            limits=world.state.configuration.limits._replace(max_attempts=1)
        )
        encode = started(world.send("draft", left_ms=LEFT_MS))
        assert not world.advance(900)
        assert started(world.output(encode)).stage == "generate"
