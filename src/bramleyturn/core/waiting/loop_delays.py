"""Track when the event loop ran, and how late it was.

Times that a process takes from its event loop are late by as much as the loop was:
while the process was not scheduled, or busy with one long piece of work.
"""

from typing import Final

CHECK_INTERVAL_MS: Final = 100
# Delays are remembered for one to two windows.
WINDOW_MS: Final = 30_000


class LoopDelays:
    """Hold when the loop last ran a check, and its longest delays of two windows.

    Times and delays are in milliseconds.
    """

    def __init__(self, now_ms: int) -> None:
        self.checked_ms = now_ms
        self.window_began_ms = now_ms
        self.longest_ms = 0
        self.longest_before_ms = 0


def current_delay_ms(delays: LoopDelays, now_ms: int) -> int:
    """Return how late the next check is, due ``CHECK_INTERVAL_MS`` after the last."""
    return max(0, now_ms - delays.checked_ms - CHECK_INTERVAL_MS)


def note_check(delays: LoopDelays, now_ms: int) -> int:
    """Record a check; return its delay."""
    delay_ms = current_delay_ms(delays, now_ms)
    delays.checked_ms = now_ms
    if now_ms - delays.window_began_ms >= WINDOW_MS:
        delays.window_began_ms = now_ms
        delays.longest_before_ms = delays.longest_ms
        delays.longest_ms = 0
    delays.longest_ms = max(delays.longest_ms, delay_ms)
    return delay_ms


def longest_delay_ms(delays: LoopDelays) -> int:
    """Return the longest delay of a check in the recent windows."""
    return max(delays.longest_ms, delays.longest_before_ms)
