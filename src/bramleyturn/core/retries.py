"""Decide whether a stage that broke is tried again."""

from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import BreakReason
from bramleyturn.core.progress import RunningRequest, StageProgress, StageState
from bramleyturn.core.retry_budget import may_retry, retry_delay_ms
from bramleyturn.core.timers import TimerKind, set_timer


def may_try_again(
    state: EntryState,
    request: RunningRequest,
    progress: StageProgress,
    reason: BreakReason,
    now_ms: int,
) -> bool:
    """Tell whether a stage whose last attempt broke may be sent again.

    A stage that may not be repeated is sent again only where nothing was written to
    a backend server, or where the pool recognises its idempotency key.
    """
    limits = state.configuration.limits
    if state.requests.get(request.key) is None or now_ms >= request.deadline_at_ms:
        return False
    if progress.attempts_made >= limits.max_attempts:
        return False
    if not progress.stage.repeatable and reason is not BreakReason.NOT_CONNECTED:
        pool = state.configuration.pools.get(progress.stage.pool)
        if pool is None or not pool.recognises_idempotency_key:
            return False
    return may_retry(state.retry_budget, progress.stage.pool, now_ms)


def schedule_retry(
    state: EntryState, request: RunningRequest, progress: StageProgress, now_ms: int
) -> None:
    """Arrange the next attempt of a stage after a short random delay."""
    state.counters.retries += 1
    progress.state = StageState.AWAITING_SERVER
    progress.ended_ms = 0
    delay_ms = retry_delay_ms(progress.attempts_made, state.random)
    set_timer(
        state.timers,
        now_ms + delay_ms,
        TimerKind.RETRY,
        request.key,
        progress.stage.name,
    )
