"""Test the estimates of how long requests take."""

from bramleyturn.core.waiting.run_times import (
    RECENT_RUNS,
    RunTimes,
    longest_ms,
    note_run,
    typical_ms,
)


class TestRunTimes:
    """The recent times of a route."""

    def test_unknown_route(self) -> None:
        assert longest_ms(RunTimes(), "draft", 7) == 7
        assert typical_ms(RunTimes(), "draft", 7) == 7

    def test_routes_are_told_apart(self) -> None:
        times = RunTimes()
        for took_ms in (10, 400, 20):
            note_run(times, "draft", took_ms)
        note_run(times, "lookup", 1)
        assert longest_ms(times, "draft", 0) == 400
        assert typical_ms(times, "draft", 0) == 20

    def test_old_times_are_forgotten(self) -> None:
        times = RunTimes()
        note_run(times, "draft", 9_000)
        for _ in range(RECENT_RUNS):
            note_run(times, "draft", 100)
        assert longest_ms(times, "draft", 0) == 100
