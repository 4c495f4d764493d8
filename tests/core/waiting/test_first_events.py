"""Forecast the time to the first event from the length of a prompt."""

from random import Random

from bramleyturn.core.waiting.first_events import (
    FIRST_EVENT_MS,
    TOKEN_MS,
    FirstEventTimes,
    first_event_ms,
    note_first_event,
)
from bramleyturn.core.waiting.request_worth import (
    LEAST_WORTH,
    MOST_WORTH,
    UsualSizes,
    least_worth,
    note_size,
    note_worth,
    request_size,
    worth_of,
)


class TestFirstEvents:
    """Prompts whose lengths differ by an order of magnitude."""

    def test_assumes_the_usual_before_any_run(self) -> None:
        expected = FIRST_EVENT_MS + 6_000 * TOKEN_MS
        assert abs(first_event_ms(FirstEventTimes(), "p", 6_000) - expected) <= 1

    def test_learns_both_the_least_time_and_that_of_a_token(self) -> None:
        times = FirstEventTimes()
        random = Random(1)
        for _ in range(300):
            tokens = int(3_000 * random.lognormvariate(0, 1))
            note_first_event(times, "p", tokens, 80 + tokens // 60)
        for tokens in (0, 1_000, 20_000):
            assert abs(first_event_ms(times, "p", tokens) - (80 + tokens / 60)) < 25

    def test_one_length_only_gives_its_mean(self) -> None:
        times = FirstEventTimes()
        for _ in range(300):
            note_first_event(times, "p", 2_000, 300)
        assert abs(first_event_ms(times, "p", 2_000) - 300) < 10

    def test_a_longer_prompt_is_never_expected_sooner(self) -> None:
        times = FirstEventTimes()
        for tokens, took_ms in ((100, 900), (30_000, 100)) * 100:
            note_first_event(times, "p", tokens, took_ms)
        assert first_event_ms(times, "p", 30_000) >= first_event_ms(times, "p", 100)

    def test_pools_are_apart(self) -> None:
        times = FirstEventTimes()
        before = first_event_ms(times, "other", 1_000)
        for _ in range(50):
            note_first_event(times, "p", 1_000, 2_000)
        assert first_event_ms(times, "other", 1_000) == before


class TestWorth:
    """Requests of one route beside each other."""

    def sizes(self) -> UsualSizes:
        """Return the sizes of a route whose requests have 1,000 on average."""
        sizes = UsualSizes()
        for size in (500, 1_500) * 40:
            note_size(sizes, "r", size)
        return sizes

    def test_usual_size_is_worth_one(self) -> None:
        assert abs(worth_of(self.sizes(), "r", 1_000) - 1.0) < 0.05

    def test_grows_with_the_size_between_its_bounds(self) -> None:
        sizes = self.sizes()
        assert LEAST_WORTH <= worth_of(sizes, "r", 1) < worth_of(sizes, "r", 2_000)
        assert worth_of(sizes, "r", 10**9) == MOST_WORTH

    def test_unknown_size_or_route_is_usual(self) -> None:
        assert worth_of(self.sizes(), "r", 0) == 1.0
        assert worth_of(self.sizes(), "other", 500) == 1.0

    def test_output_counts_more_than_prompt(self) -> None:
        assert request_size(100, 20) == 300

    def test_of_twice_the_load_the_better_half_is_chosen(self) -> None:
        sizes = UsualSizes()
        for number in range(60):
            note_worth(sizes, float(number))
        assert least_worth(sizes, 1.0) == 0.0
        assert least_worth(sizes, 2.0) == 30.0

    def test_few_requests_do_not_tell(self) -> None:
        sizes = UsualSizes()
        note_worth(sizes, 3.0)
        assert least_worth(sizes, 2.0) == 0.0
