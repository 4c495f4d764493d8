"""Test how the delays of the event loop are tracked."""

from bramleyturn.core.waiting.loop_delays import (
    CHECK_INTERVAL_MS,
    WINDOW_MS,
    LoopDelays,
    longest_delay_ms,
    note_check,
)


class TestLoopDelays:
    """Checks that are due at intervals and run late."""

    def test_punctual_check_has_no_delay(self) -> None:
        delays = LoopDelays(1_000)
        assert note_check(delays, 1_000 + CHECK_INTERVAL_MS) == 0
        assert longest_delay_ms(delays) == 0

    def test_late_check_has_the_delay_beyond_its_interval(self) -> None:
        delays = LoopDelays(1_000)
        assert note_check(delays, 1_000 + CHECK_INTERVAL_MS + 250) == 250
        assert delays.checked_ms == 1_000 + CHECK_INTERVAL_MS + 250
        assert longest_delay_ms(delays) == 250

    def test_delay_is_remembered_for_one_window_at_least(self) -> None:
        delays = LoopDelays(0)
        now_ms = 0
        note_check(delays, CHECK_INTERVAL_MS + 250)
        while now_ms < WINDOW_MS:
            assert longest_delay_ms(delays) == 250
            now_ms = delays.checked_ms + CHECK_INTERVAL_MS
            note_check(delays, now_ms)
        while now_ms < 3 * WINDOW_MS:
            now_ms += CHECK_INTERVAL_MS
            note_check(delays, now_ms)
        assert longest_delay_ms(delays) == 0
