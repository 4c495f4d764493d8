"""Decide how long an attempt may be silent before another server is tried.

A backend server that hangs must not use up the time that another try needs. For a
stream the silence is that before the first token and between two parts; for any
other answer it lasts from the start to the answer.
"""

from typing import Final

from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.latency import (
    StageLatencies,
    record_stage,
    stage_percentile_ms,
    typical_run_ms,
)
from bramleyturn.core.model import Pipeline, Stage
from bramleyturn.core.progress import Attempt, RunningRequest, StageProgress
from bramleyturn.core.retry_budget import has_retry
from bramleyturn.core.timers import TimerKind, set_timer

USUAL_PERCENTILE: Final = 99
SILENCE_FACTOR: Final = 4
MIN_SILENCE_MS: Final = 250
NO_LIMIT_MS: Final = 0


def silence_limit_ms(
    latencies: StageLatencies, pipeline: Pipeline, stage: Stage, timeout_ms: int
) -> int:
    """Return how long an attempt of a stage may be silent, 0 for no limit.

    The limit is a multiple of what is usual and leaves half of the time for
    another try. A stage that may not be repeated has none, nor one of which too
    little is known, nor one whose usual silence leaves no time for another try.
    """
    if not stage.repeatable:
        return NO_LIMIT_MS
    usual_ms = stage_percentile_ms(
        latencies, pipeline.name, _history_of(stage.name), USUAL_PERCENTILE
    )
    if usual_ms is None:
        return NO_LIMIT_MS
    limit_ms = max(MIN_SILENCE_MS, min(SILENCE_FACTOR * usual_ms, timeout_ms // 2))
    return limit_ms if usual_ms < limit_ms < timeout_ms else NO_LIMIT_MS


def hear(attempt: Attempt, now_ms: int) -> None:
    """Write down that a part of an attempt's answer arrived."""
    silent_ms = now_ms - attempt.heard_ms
    attempt.longest_silence_ms = max(attempt.longest_silence_ms, silent_ms)
    attempt.heard_ms = now_ms


def record_silence(
    latencies: StageLatencies, pipeline: str, attempt: Attempt, now_ms: int
) -> None:
    """Record the longest silence of an attempt that answered."""
    hear(attempt, now_ms)
    record_stage(
        latencies, pipeline, _history_of(attempt.stage), attempt.longest_silence_ms
    )


def watch_silence(state: EntryState, attempt: Attempt, from_ms: int) -> None:
    """Arrange to look whether an attempt has been silent for too long."""
    if attempt.silence_limit_ms:
        at_ms = from_ms + attempt.silence_limit_ms
        set_timer(state.timers, at_ms, TimerKind.SILENCE, attempt.attempt_id)


def should_move(
    state: EntryState, request: RunningRequest, attempt: Attempt, now_ms: int
) -> bool:
    """Tell whether a silent attempt is better given up for another one.

    Without a server that was not tried, or a retry to be had, it goes on until its
    timeout: a slow answer is better than none.
    """
    progress = request.stages[attempt.stage]
    if len(progress.attempt_ids) > 1:
        return True
    reached = progress.attempts_made - progress.connect_failures
    if reached >= state.configuration.limits.max_attempts:
        return False
    typical_ms = typical_run_ms(state.latencies, request.pipeline, (progress.stage,))
    if now_ms + typical_ms >= request.deadline_at_ms:
        return False
    if not has_retry(state.retry_budget, attempt.pool.name, now_ms):
        return False
    return _has_untried_server(state, progress)


def _has_untried_server(state: EntryState, progress: StageProgress) -> bool:
    return any(
        server.pool == progress.stage.pool and server.name not in progress.tried_servers
        for server in state.configuration.servers.values()
    )


def _history_of(stage: str) -> str:
    # A stage's name holds no dot, so this can't be another stage's history.
    return f"{stage}.silence"
