"""Schedule calls in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush


class VirtualTime:
    """Hold the current time and the scheduled calls."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.calls: list[tuple[float, int, Callable[[], object]]] = []
        self.scheduled_count = 0


def call_after(time: VirtualTime, delay_ms: float, call: Callable[[], object]) -> None:
    """Schedule ``call``; calls due at the same time run in scheduling order."""
    time.scheduled_count += 1
    heappush(time.calls, (time.now_ms + delay_ms, time.scheduled_count, call))


def run_until(time: VirtualTime, until_ms: float) -> None:
    """Run the calls due up to a time and advance to it."""
    while time.calls and time.calls[0][0] <= until_ms:
        time.now_ms, _, call = heappop(time.calls)
        call()
    time.now_ms = until_ms
