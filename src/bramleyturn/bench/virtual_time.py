"""Run calls in the order of a virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush


class VirtualTime:
    """Hold the present time and the calls to come."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.calls: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = 0


def call_after(time: VirtualTime, delay_ms: float, call: Callable[[], object]) -> None:
    """Run ``call`` after ``delay_ms``; calls of one instant keep their order."""
    time.numbers += 1
    heappush(time.calls, (time.now_ms + delay_ms, time.numbers, call))


def run_until(time: VirtualTime, until_ms: float) -> None:
    """Run the calls up to an instant."""
    while time.calls and time.calls[0][0] <= until_ms:
        time.now_ms, _, call = heappop(time.calls)
        call()
    time.now_ms = until_ms
