"""Decide whether a failed stage is retried."""

from typing import Final

from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import FailureReason
from bramleyturn.core.progress import RunningRequest, StageProgress, StageState
from bramleyturn.core.retry_budget import may_retry, retry_delay_ms
from bramleyturn.core.timers import TimerKind, set_timer

MAX_CONNECT_FAILURES: Final = 8
CRASH_HINT_WAIT_MS: Final = 50


def may_retry_stage(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    reason: FailureReason,
    now_ms: int,
) -> bool:
    """Tell whether a stage whose last attempt failed may be sent again.

    A stage that may not be repeated is sent again only if nothing was written to a
    backend server, or if the pool recognises its idempotency key. A connection that
    never opened cost its server nothing, and uses up no retry. An input that was on a
    server that crashed runs alone from then on, which by itself bounds its attempts;
    other inputs that shared a server with one that crashes servers must not fail for
    lack of a retry.
    """
    limits = state.configuration.limits
    if state.requests.get(request.key) is None or now_ms >= request.deadline_at_ms:
        return False
    if progress.attempts_made - progress.connect_failures >= limits.max_attempts:
        return False
    if not progress.stage.repeatable and reason is not FailureReason.NOT_CONNECTED:
        pool = state.configuration.pools.get(progress.stage.pool)
        if pool is None or not pool.recognises_idempotency_key:
            return False
    if reason is FailureReason.NOT_CONNECTED:
        return progress.connect_failures < MAX_CONNECT_FAILURES
    if progress.stage.repeatable and reason is FailureReason.LOST:
        return True
    return may_retry(state.retry_budget, progress.stage.pool, now_ms)


def schedule_retry(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    reason: FailureReason,
    now_ms: int,
) -> None:
    """Schedule the next attempt of a stage after backoff with jitter.

    After a crash it waits until the peers have reported their own inputs on that
    server, so that the suspects of all processes are sent to different servers.
    """
    state.counters.retries += 1
    progress.state = StageState.AWAITING_SERVER
    progress.ended_ms = 0
    delay_ms = retry_delay_ms(progress.attempts_made, state.random)
    if reason is FailureReason.LOST:
        delay_ms += CRASH_HINT_WAIT_MS
    set_timer(
        state.timers,
        now_ms + delay_ms,
        TimerKind.RETRY,
        request.key,
        progress.stage.name,
    )
