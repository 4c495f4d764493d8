"""Adapt the number of concurrent requests to the latency they see."""

from math import sqrt
from typing import Final

FLOOR: Final = 4
WINDOW_VALUES: Final = 16
TOLERANCE: Final = 1.5
LOWEST_GRADIENT: Final = 0.5
SMOOTHING: Final = 0.2
BASELINE_FALL: Final = 0.5
BASELINE_RISE: Final = 0.005
USED_SHARE: Final = 0.5


class AdaptiveLimit:
    """Hold a concurrency limit, the usual latency and the current window."""

    def __init__(self, highest: int) -> None:
        self.highest = max(1, highest)
        self.limit = float(self.highest)
        self.baseline_ms = 0.0
        self.window_total_ms = 0
        self.window_values = 0
        self.window_running = 0


def adaptive_limit(highest: int) -> AdaptiveLimit:
    """Return a limit that starts at ``highest`` and never exceeds it."""
    return AdaptiveLimit(highest)


def current_limit(state: AdaptiveLimit) -> int:
    """Return how many requests may run at once."""
    return max(1, int(state.limit))


def change_highest(state: AdaptiveLimit, highest: int) -> None:
    """Change the highest limit; one that stood there moves with it."""
    highest = max(1, highest)
    stood_highest = state.limit >= state.highest
    state.highest = highest
    state.limit = float(highest) if stood_highest else min(state.limit, highest)


def record_latency(state: AdaptiveLimit, elapsed_ms: int, running: int) -> None:
    """Record that a request took ``elapsed_ms`` while ``running`` were running.

    At the end of each window the limit moves with the ratio of the usual latency
    to the window's mean.
    """
    state.window_total_ms += max(1, elapsed_ms)
    state.window_values += 1
    state.window_running = max(state.window_running, running)
    if state.window_values < WINDOW_VALUES:
        return
    _end_window(state)
    state.window_total_ms = 0
    state.window_values = 0
    state.window_running = 0


def _end_window(state: AdaptiveLimit) -> None:
    mean_ms = state.window_total_ms / state.window_values
    if state.baseline_ms == 0.0:
        state.baseline_ms = mean_ms
    gain = BASELINE_FALL if mean_ms < state.baseline_ms else BASELINE_RISE
    state.baseline_ms += (mean_ms - state.baseline_ms) * gain
    gradient = min(1.0, max(LOWEST_GRADIENT, TOLERANCE * state.baseline_ms / mean_ms))
    if gradient == 1.0 and state.window_running < state.limit * USED_SHARE:
        return
    aim = state.limit * gradient + sqrt(state.limit)
    moved = state.limit + (aim - state.limit) * SMOOTHING
    floor = min(FLOOR, state.highest)
    state.limit = min(max(moved, float(floor)), float(state.highest))
