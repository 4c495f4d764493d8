"""Track the load, pace and free space of one server of a stage.

Load pattern handled here: a burst while some answers are lost on their way. A call
without an answer may have been slow or lost. A server that was taken for slow would get
calls only once all others are much busier, and its pool would lack it for long. So its
report, which shows that it can be reached, restores the pace of its answered calls, and
only a second call without an answer counts as slowness, for a while.
"""

from typing import Final

from bramleyturn.core.catalog.model import BackendServer, BatchLimits
from bramleyturn.core.pieces.held_results import HeldResults, remove_expired

# Weight of the newest call in the EWMA of a server's pace.
PACE_WEIGHT: Final = 0.3
# A call times out after this many times its expected length.
TIMEOUT_FACTOR: Final = 2.5
TIMEOUT_EXTRA_MS: Final = 200
MAX_PACE: Final = 12.0
# Calls without an answer, one after the other, that show a server to be slow.
SLOW_AFTER_UNANSWERED: Final = 2
# For how long a server that answers no call counts as slow after a report.
SLOW_MS: Final = 4_000
# A call that timed out would have taken longer still.
UNANSWERED_PACE_FACTOR: Final = 1.5
FIRST_BACKOFF_MS: Final = 400
MAX_BACKOFF_MS: Final = 3_200
# A silent server is not expected to accept a call within this time, and is no longer
# taken for silent if no report was requested from it for as long.
SILENT_WAIT_MS: Final = 1_500
# A report takes little more than a round trip, if the server is not busy.
REPORT_ROUND_TRIP_MS: Final = 20
# A server that takes longer than this to report is stopped, unreachable or overloaded.
REPORT_TIMEOUT_MS: Final = 300
# Reports are some hundred milliseconds old, so more frequent ones tell nothing new.
REPORT_INTERVAL_MS: Final = 400
# How long at most a server counts as full after it had no space for a result.
FULL_BACKOFF_MS: Final = 250


class StageServer:
    """Hold the estimated state of one server.

    ``pace`` is the length of its calls relative to the configured length, so that 2
    is half as fast, ``answered_pace`` that of the calls that it answered, and
    ``unanswered`` counts those that it did not answer since. ``slow_until_ms`` is until
    when these count, None if they do not. ``results`` are those that it stores.
    ``foreign_bytes`` is the space taken by results of another planner until
    ``foreign_until_ms`` at the latest; it is computed from the server's first report.
    ``needs_report`` means that a report should be requested, and ``is_suspected`` that
    no call may be sent before it. Both are set at first: another planner may have
    filled the server, and it may be unreachable. ``silent_from_ms`` is when a suspected
    server that was asked for its report counts as silent if the report is still
    missing.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.has_reported = False
        self.call_id: int | None = None
        self.busy_until_ms = 0
        self.pace = 1.0
        self.answered_pace = 1.0
        self.unanswered = 0
        self.slow_until_ms: int | None = None
        self.results = HeldResults()
        self.reserved_bytes = 0
        self.foreign_bytes = 0
        self.foreign_until_ms = 0
        self.needs_report = True
        self.report_asked_ms = -REPORT_INTERVAL_MS
        self.is_suspected = True
        self.silent_from_ms: int | None = None
        self.full_until_ms = 0
        self.consecutive_refusals = 0
        self.backoff_until_ms = 0


def is_idle(state: StageServer, now_ms: int) -> bool:
    """Return whether a call may be sent to the server now."""
    if state.call_id is not None or state.is_suspected:
        return False
    return max(state.backoff_until_ms, state.busy_until_ms) <= now_ms


def free_bytes(state: StageServer, limits: BatchLimits, now_ms: int) -> int:
    """Return the estimated free space for results."""
    if state.full_until_ms > now_ms:
        return 0
    remove_expired(state.results, now_ms)
    foreign = state.foreign_bytes if state.foreign_until_ms > now_ms else 0
    taken = state.results.total_bytes + state.reserved_bytes + foreign
    return limits.result_capacity_bytes - taken


def free_at_ms(state: StageServer, now_ms: int) -> int:
    """Return when the server is expected to accept the next call.

    Until its report is overdue, a suspected server is expected to answer: nothing is
    known against a new one, and a call that timed out may have been a slow one.
    """
    if is_silent(state, now_ms):
        return now_ms + SILENT_WAIT_MS
    report_ms = now_ms + REPORT_ROUND_TRIP_MS if state.is_suspected else now_ms
    return max(report_ms, state.busy_until_ms, state.backoff_until_ms)


def is_silent(state: StageServer, now_ms: int) -> bool:
    """Return whether the server was asked for its report lately, and gave none."""
    if not state.is_suspected or state.silent_from_ms is None:
        return False
    return state.silent_from_ms <= now_ms and _was_asked_lately(state, now_ms)


def _was_asked_lately(state: StageServer, now_ms: int) -> bool:
    return now_ms - state.report_asked_ms <= SILENT_WAIT_MS


def note_pace(state: StageServer, expected_ms: float, took_ms: int) -> None:
    """Update the pace from a call that took ``took_ms``."""
    if expected_ms <= 0:
        return
    seen = min(MAX_PACE, took_ms / expected_ms)
    # The calls without an answer and this one say the same.
    is_known_slow = state.unanswered >= SLOW_AFTER_UNANSWERED
    weight = 1.0 if is_known_slow else PACE_WEIGHT
    state.answered_pace += weight * (seen - state.answered_pace)
    state.pace = state.answered_pace
    state.unanswered = 0
    state.slow_until_ms = None
    state.consecutive_refusals = 0


def note_refused(state: StageServer, now_ms: int) -> None:
    """Back off from a full server, exponentially in its consecutive refusals."""
    backoff_ms = min(
        MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(state.consecutive_refusals, 10)
    )
    state.consecutive_refusals += 1
    state.backoff_until_ms = now_ms + backoff_ms


def note_unanswered(state: StageServer, nominal_ms: float, took_ms: int) -> None:
    """Suspect a server whose call got no answer in ``took_ms``.

    It is slow or unreachable, or its answer was lost. Its next report shows that it is
    reachable. From the second such call on, its pace grows, so that the next call gets
    a longer timeout.
    """
    state.unanswered += 1
    state.slow_until_ms = None
    state.is_suspected = True
    state.needs_report = True
    state.silent_from_ms = None
    if nominal_ms > 0:
        seen = took_ms * UNANSWERED_PACE_FACTOR / nominal_ms
        state.pace = min(MAX_PACE, max(state.pace, seen))


def note_full(state: StageServer, now_ms: int) -> None:
    """Note that the server had no space for a result, contrary to the estimate."""
    state.full_until_ms = now_ms + FULL_BACKOFF_MS
    state.needs_report = True


def wants_report(state: StageServer, now_ms: int) -> bool:
    """Return whether a report should be requested from the server now."""
    return state.needs_report and now_ms - state.report_asked_ms >= REPORT_INTERVAL_MS


def note_report_asked(state: StageServer, now_ms: int) -> None:
    """Await a report that is requested now; repeated requests allow no more time."""
    if state.silent_from_ms is None or not _was_asked_lately(state, now_ms):
        state.silent_from_ms = now_ms + REPORT_TIMEOUT_MS
    state.report_asked_ms = now_ms


def note_report_failed(state: StageServer, now_ms: int) -> None:
    """Note that the server gave no report when it was asked."""
    if state.silent_from_ms is not None:
        state.silent_from_ms = min(state.silent_from_ms, now_ms)


def note_report(
    state: StageServer, limits: BatchLimits, reported_free_bytes: int, now_ms: int
) -> None:
    """Process a server's report of its free space.

    Space that the first report shows as taken, beyond the results known here, holds
    results of another planner. Later reports only show that the server is reachable:
    they are some hundred milliseconds old, and would count results of this planner
    that were released meanwhile as foreign.
    """
    state.needs_report = False
    state.is_suspected = False
    state.silent_from_ms = None
    if state.unanswered >= SLOW_AFTER_UNANSWERED:
        state.slow_until_ms = now_ms + SLOW_MS
    elif state.unanswered:
        state.pace = state.answered_pace
    if state.has_reported:
        return
    state.has_reported = True
    known = state.results.total_bytes + state.reserved_bytes
    state.foreign_bytes = max(
        0, limits.result_capacity_bytes - reported_free_bytes - known
    )
    state.foreign_until_ms = now_ms + limits.result_ttl_ms


def try_slow_server(state: StageServer, now_ms: int) -> None:
    """Expect the pace of its answered calls of a server that was slow for a while.

    A call tells then whether it still is.
    """
    if state.slow_until_ms is not None and state.slow_until_ms <= now_ms:
        state.slow_until_ms = None
        state.pace = state.answered_pace
        state.unanswered = SLOW_AFTER_UNANSWERED - 1


def forget_report(state: StageServer) -> None:
    """Request a new report, as another planner fills the server from now on."""
    state.has_reported = False
    state.needs_report = True


def call_timeout_ms(expected_ms: float) -> int:
    """Return the timeout of a call that should take ``expected_ms``."""
    return int(expected_ms * TIMEOUT_FACTOR) + TIMEOUT_EXTRA_MS
