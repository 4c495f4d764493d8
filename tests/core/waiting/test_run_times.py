"""Test the estimates of how long requests take."""

import pytest

from bramleyturn.core.waiting.run_times import (
    RECENT_RUNS,
    UNKNOWN_MS,
    RunTimes,
    ends_in_time,
    expect_stream,
    is_better_elsewhere,
    longest_ms,
    note_run,
    note_stream,
    typical_ms,
)
from bramleyturn.core.waiting.shutdown import Shutdown


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
        assert longest_ms(times, "draft", 150) == 150


class TestStreamPaces:
    """The paces of the streams of a pool."""

    POOL = "drafts"

    def times(self) -> RunTimes:
        """Return times of two streams, one twice as slow as the other."""
        times = RunTimes()
        note_stream(times, self.POOL, 200, 1_000, 100)
        note_stream(times, self.POOL, 100, 4_000, 200)
        return times

    def test_expected_time_grows_with_the_size(self) -> None:
        assert expect_stream(self.times(), self.POOL, 100, 7) == (1_100, 2_200)
        assert expect_stream(self.times(), self.POOL, 600, 7) == (6_100, 12_200)

    @pytest.mark.parametrize(("pool", "tokens"), [("ideas", 100), ("drafts", 0)])
    def test_unknown_size_or_pace_has_no_bound(self, pool: str, tokens: int) -> None:
        assert expect_stream(self.times(), pool, tokens, 7) == (7, UNKNOWN_MS)

    def test_stream_without_a_size_is_not_recorded(self) -> None:
        times = RunTimes()
        note_stream(times, self.POOL, 100, 1_000, 0)
        assert not times.paces

    def test_old_paces_are_forgotten(self) -> None:
        times = self.times()
        for _ in range(RECENT_RUNS):
            note_stream(times, self.POOL, 10, 100, 100)
        assert expect_stream(times, self.POOL, 100, 7) == (110, 110)


class TestEndsInTime:
    """A shutdown that leaves the rotation at 3,000 ms and ends requests at 7,750 ms."""

    SHUTDOWN = Shutdown(
        out_of_rotation_ms=3_000,
        closes_idle_ms=3_000,
        ends_ms=7_750,
        exits_ms=7_920,
        exits_at_latest_ms=7_980,
    )

    def test_request_of_the_rotation_must_fit_as_usual(self) -> None:
        arrived_ms = 2_999
        assert ends_in_time(self.SHUTDOWN, arrived_ms, 6_750, 1_000, 5_000)
        assert not ends_in_time(self.SHUTDOWN, arrived_ms, 6_751, 1_000, 5_000)

    def test_later_request_must_fit_with_a_margin(self) -> None:
        arrived_ms = 3_000
        assert ends_in_time(self.SHUTDOWN, arrived_ms, 5_750, 10, 1_000)
        assert not ends_in_time(self.SHUTDOWN, arrived_ms, 5_751, 10, 1_000)

    def test_late_stream_is_not_begun_where_another_instance_can_serve_it(self) -> None:
        late_ms = self.SHUTDOWN.out_of_rotation_ms
        assert is_better_elsewhere(self.SHUTDOWN, late_ms, True, True)
        assert not is_better_elsewhere(self.SHUTDOWN, late_ms - 1, True, True)

    def test_late_stream_is_begun_where_no_other_instance_is_left(self) -> None:
        late_ms = self.SHUTDOWN.out_of_rotation_ms
        assert not is_better_elsewhere(self.SHUTDOWN, late_ms, True, False)

    def test_late_request_that_is_no_stream_is_begun(self) -> None:
        late_ms = self.SHUTDOWN.out_of_rotation_ms
        assert not is_better_elsewhere(self.SHUTDOWN, late_ms, False, True)
