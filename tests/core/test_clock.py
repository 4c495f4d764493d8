"""Tests of the clocks."""

from bramleyturn.core.clock import ManualTime, manual_clock
from bramleyturn.runtime.system_clock import system_clock


class TestManualClock:
    def test_moves_only_when_advanced(self) -> None:
        manual_time = ManualTime(now_ms=5)
        clock = manual_clock(manual_time)
        manual_time.advance(by_ms=10)
        assert clock.monotonic_ms() == 15


class TestSystemClock:
    def test_never_goes_back(self) -> None:
        clock = system_clock()
        first_ms = clock.monotonic_ms()
        assert clock.monotonic_ms() >= first_ms
