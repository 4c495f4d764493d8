"""Test the forecast of the time to first event from the length of a prompt."""

from random import Random

from bramleyturn.core.waiting.first_events import (
    FIRST_EVENT_MS,
    TOKEN_MS,
    FirstEventTimes,
    first_event_ms,
    note_first_event,
)


class TestFirstEvents:
    """Prompts whose lengths differ by an order of magnitude."""

    def test_initial_assumption_holds_before_any_run(self) -> None:
        expected = FIRST_EVENT_MS + 6_000 * TOKEN_MS
        assert abs(first_event_ms(FirstEventTimes(), "p", 6_000) - expected) <= 1

    def test_learns_the_base_time_and_the_time_per_token(self) -> None:
        times = FirstEventTimes()
        random = Random(1)
        for _ in range(300):
            tokens = int(3_000 * random.lognormvariate(0, 1))
            note_first_event(times, "p", tokens, 80 + tokens // 60)
        for tokens in (0, 1_000, 20_000):
            assert abs(first_event_ms(times, "p", tokens) - (80 + tokens / 60)) < 25

    def test_runs_of_one_length_give_their_mean(self) -> None:
        times = FirstEventTimes()
        for _ in range(300):
            note_first_event(times, "p", 2_000, 300)
        assert abs(first_event_ms(times, "p", 2_000) - 300) < 10

    def test_longer_prompt_is_never_expected_sooner(self) -> None:
        times = FirstEventTimes()
        for tokens, took_ms in ((100, 900), (30_000, 100)) * 100:
            note_first_event(times, "p", tokens, took_ms)
        assert first_event_ms(times, "p", 30_000) >= first_event_ms(times, "p", 100)

    def test_pools_are_independent(self) -> None:
        times = FirstEventTimes()
        before = first_event_ms(times, "other", 1_000)
        for _ in range(50):
            note_first_event(times, "p", 1_000, 2_000)
        assert first_event_ms(times, "other", 1_000) == before
