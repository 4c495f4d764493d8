"""Test the times of a shutdown."""

import pytest

from bramleyturn.core.waiting.shutdown import MAX_DELAY_MARGIN_MS, plan_shutdown

GRACE_MS = 8_000


class TestShutdown:
    """A grace period of 8 s, after which the process is killed."""

    def test_punctual_loop(self) -> None:
        shutdown = plan_shutdown(1_000, 1_000, GRACE_MS, 0)
        assert shutdown.out_of_rotation_ms == 4_000
        assert shutdown.ends_ms == 8_750
        assert shutdown.ends_ms < shutdown.exits_ms < 1_000 + GRACE_MS
        assert shutdown.exits_ms < shutdown.exits_at_latest_ms < 1_000 + GRACE_MS

    def test_late_signal_handler_counts_the_grace_period_from_the_signal(self) -> None:
        late = plan_shutdown(1_000, 1_900, GRACE_MS, 0)
        assert late.ends_ms == 8_750
        assert late.out_of_rotation_ms == 4_000
        assert late.closes_idle_ms == 4_900, "the platform has to notice"

    def test_late_loop_has_time_to_answer(self) -> None:
        on_time = plan_shutdown(1_000, 1_000, GRACE_MS, 0)
        late = plan_shutdown(1_000, 1_000, GRACE_MS, 400)
        assert late.ends_ms == on_time.ends_ms - 400
        assert late.exits_ms == on_time.exits_ms

    def test_single_long_pause_does_not_end_all_requests_at_once(self) -> None:
        longest = plan_shutdown(1_000, 1_000, GRACE_MS, MAX_DELAY_MARGIN_MS)
        assert plan_shutdown(1_000, 1_000, GRACE_MS, 60_000) == longest

    @pytest.mark.parametrize("grace_ms", [1_200, 3_000, GRACE_MS, 60_000])
    @pytest.mark.parametrize("delay_ms", [0, 300, 60_000])
    def test_requests_keep_five_sixths_of_the_grace_period(
        self, grace_ms: int, delay_ms: int
    ) -> None:
        shutdown = plan_shutdown(1_000, 1_000, grace_ms, delay_ms)
        assert shutdown.ends_ms - 1_000 >= grace_ms * 5 / 6
