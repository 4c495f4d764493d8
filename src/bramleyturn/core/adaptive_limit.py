"""Adapt the concurrency limit to the observed latency."""

from math import sqrt
from typing import Final

MIN_LIMIT: Final = 4
WINDOW_SAMPLES: Final = 16
LATENCY_TOLERANCE: Final = 1.5
MIN_GRADIENT: Final = 0.5
SMOOTHING: Final = 0.2
BASELINE_DOWN_GAIN: Final = 0.5
BASELINE_UP_GAIN: Final = 0.005
MIN_USED_SHARE: Final = 0.5


class AdaptiveLimit:
    """Hold a concurrency limit, the baseline latency and the current sample window."""

    def __init__(self, max_limit: int) -> None:
        self.max_limit = max(1, max_limit)
        self.limit = float(self.max_limit)
        self.baseline_ms = 0.0
        self.window_total_ms = 0
        self.window_values = 0
        self.window_running = 0


def adaptive_limit(max_limit: int) -> AdaptiveLimit:
    """Return a limit that starts at ``max_limit`` and never exceeds it."""
    return AdaptiveLimit(max_limit)


def current_limit(state: AdaptiveLimit) -> int:
    """Return how many requests may run at once."""
    return max(1, int(state.limit))


def set_max_limit(state: AdaptiveLimit, max_limit: int) -> None:
    """Set the maximum; a limit that is at the old maximum moves with it."""
    max_limit = max(1, max_limit)
    was_at_max = state.limit >= state.max_limit
    state.max_limit = max_limit
    state.limit = float(max_limit) if was_at_max else min(state.limit, max_limit)


def record_latency(state: AdaptiveLimit, elapsed_ms: int, running: int) -> None:
    """Record that a request took ``elapsed_ms`` while ``running`` were running.

    At the end of each window the limit moves with the ratio of the baseline latency
    to the window's mean.
    """
    state.window_total_ms += max(1, elapsed_ms)
    state.window_values += 1
    state.window_running = max(state.window_running, running)
    if state.window_values < WINDOW_SAMPLES:
        return
    _end_window(state)
    state.window_total_ms = 0
    state.window_values = 0
    state.window_running = 0


def _end_window(state: AdaptiveLimit) -> None:
    mean_ms = state.window_total_ms / state.window_values
    if state.baseline_ms == 0.0:
        state.baseline_ms = mean_ms
    gain = BASELINE_DOWN_GAIN if mean_ms < state.baseline_ms else BASELINE_UP_GAIN
    state.baseline_ms += (mean_ms - state.baseline_ms) * gain
    gradient = min(
        1.0, max(MIN_GRADIENT, LATENCY_TOLERANCE * state.baseline_ms / mean_ms)
    )
    if gradient == 1.0 and state.window_running < state.limit * MIN_USED_SHARE:
        return
    target = state.limit * gradient + sqrt(state.limit)
    moved = state.limit + (target - state.limit) * SMOOTHING
    min_limit = min(MIN_LIMIT, state.max_limit)
    state.limit = min(max(moved, float(min_limit)), float(state.max_limit))
