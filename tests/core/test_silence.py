"""Tests of how long an attempt may be silent before another server is tried."""

import pytest

from bramleyturn.core.actions import CancelAttempt, StartAttempt
from bramleyturn.core.latency import StageLatencies, record_stage
from bramleyturn.core.outcomes import OutcomeKind
from bramleyturn.core.silence import NO_LIMIT_MS, silence_limit_ms
from tests.core.entry_simulation import EntrySimulation, answer, configuration, started

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


def simulation_with_history() -> EntrySimulation:
    """Return an entry that has measured drafts whose parts arrived every 20 ms."""
    simulation = EntrySimulation()
    for number in range(RUNS):
        encode = started(simulation.send("draft", request_id=f"h{number}", waiter="h"))
        simulation.advance(20)
        generate = started(simulation.output(encode))
        for offset in range(3):
            simulation.advance(20)
            simulation.tokens(generate, offset, "t")
        simulation.end(generate, 3)
    return simulation


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
        simulation = simulation_with_history()
        encode = started(simulation.send("draft", left_ms=LEFT_MS))
        generate = started(simulation.output(encode))
        for offset in range(tokens_before):
            simulation.advance(20)
            simulation.tokens(generate, offset, "t")
        actions = simulation.advance(400)
        assert CancelAttempt(generate.attempt_id, generate.server) in actions
        (again,) = starts(list(actions))
        assert again.server != generate.server
        assert again.resume_offset == tokens_before
        simulation.tokens(again, tokens_before, "t")
        ended = answer(simulation.end(again, tokens_before + 1))
        assert ended.outcome.kind is OutcomeKind.ANSWERED

    def test_call_is_retried_on_another_server(self) -> None:
        simulation = simulation_with_history()
        encode = started(simulation.send("draft", left_ms=LEFT_MS))
        (again,) = starts(list(simulation.advance(400)))
        assert (again.stage, again.server != encode.server) == ("encode", True)

    def test_stream_with_pauses_below_the_limit_continues(self) -> None:
        simulation = simulation_with_history()
        encode = started(simulation.send("draft", left_ms=LEFT_MS))
        generate = started(simulation.output(encode))
        for offset in range(10):
            assert not simulation.advance(200)
            simulation.tokens(generate, offset, "t")
        assert answer(simulation.end(generate, 10)).outcome.kind is OutcomeKind.ANSWERED

    def test_last_attempt_is_not_cancelled_for_silence(self) -> None:
        simulation = simulation_with_history()
        simulation.state.configuration = simulation.state.configuration._replace(
            limits=simulation.state.configuration.limits._replace(max_attempts=1)
        )
        encode = started(simulation.send("draft", left_ms=LEFT_MS))
        assert not simulation.advance(900)
        assert started(simulation.output(encode)).stage == "generate"
