"""Keep timers as data, so that the driver of the core decides how to wait."""

import heapq
from enum import StrEnum
from typing import NamedTuple


class TimerKind(StrEnum):
    """Name what happens when a timer is due."""

    REQUEST_DEADLINE = "request_deadline"
    ATTEMPT_TIMEOUT = "attempt_timeout"
    SILENCE = "silence"
    HEDGE = "hedge"
    RETRY = "retry"
    FORWARD = "forward"
    FORGET = "forget"


class Timer(NamedTuple):
    """Hold one timer. ``key`` and ``part`` name what it belongs to."""

    at_ms: int
    sequence: int
    kind: TimerKind
    key: str
    part: str


class Timers:
    """Hold the timers of one process, the earliest first."""

    def __init__(self) -> None:
        self.heap: list[Timer] = []
        self.next_sequence = 0


def set_timer(
    timers: Timers, at_ms: int, kind: TimerKind, key: str, part: str = ""
) -> None:
    """Add a timer. A timer is never removed: its handler checks that it still holds."""
    heapq.heappush(timers.heap, Timer(at_ms, timers.next_sequence, kind, key, part))
    timers.next_sequence += 1


def take_due(timers: Timers, now_ms: int) -> Timer | None:
    """Remove and return the earliest timer that is due."""
    if not timers.heap or timers.heap[0].at_ms > now_ms:
        return None
    return heapq.heappop(timers.heap)


def next_wake_ms(timers: Timers) -> int | None:
    """Return the time of the earliest timer."""
    return timers.heap[0].at_ms if timers.heap else None
