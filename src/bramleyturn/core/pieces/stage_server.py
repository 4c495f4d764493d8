"""Know how busy, fast and full one server of a stage is."""

from typing import Final

from bramleyturn.core.catalog.model import BackendServer, BatchLimits
from bramleyturn.core.pieces.held_results import HeldResults, drop_expired

# Weight of the newest call in the running mean of a server's pace.
PACE_WEIGHT: Final = 0.3
# A call may take this many times its expected length before it counts as lost.
OVERDUE_FACTOR: Final = 2.5
OVERDUE_EXTRA_MS: Final = 200
MAX_PACE: Final = 12.0
# A call that was given up would have taken longer still.
SILENT_PACE_FACTOR: Final = 1.5
FIRST_BACKOFF_MS: Final = 400
MAX_BACKOFF_MS: Final = 3_200
# A server that did not answer is not counted on within this time.
DOUBTED_MS: Final = 1_500
# A report is some hundred milliseconds old, so asking more often says nothing new.
REPORT_EVERY_MS: Final = 400
# A server that said it has no room is asked again after this time at the latest.
FULL_MS: Final = 250


class StageServer:
    """Hold what the planner believes of one server.

    ``pace`` is the length of its calls relative to what the configuration says.
    ``results`` are those that it keeps. ``foreign_bytes`` is room that results of
    another planner take until ``foreign_until_ms`` at the latest.
    It is what the server's first report shows. A report is wanted while
    ``needs_report`` is set, and nothing is sent before it while the server
    ``is_doubted``. Both hold at first: another planner may have filled it, and it may
    be out of reach.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.has_reported = False
        self.call_id: int | None = None
        self.busy_until_ms = 0
        self.pace = 1.0
        self.results = HeldResults()
        self.reserved_bytes = 0
        self.foreign_bytes = 0
        self.foreign_until_ms = 0
        self.needs_report = True
        self.report_asked_ms = -REPORT_EVERY_MS
        self.is_doubted = True
        self.full_until_ms = 0
        self.failures = 0
        self.away_until_ms = 0


def is_idle(state: StageServer, now_ms: int) -> bool:
    """Return whether a call may be sent now."""
    if state.call_id is not None or state.is_doubted:
        return False
    return max(state.away_until_ms, state.busy_until_ms) <= now_ms


def free_bytes(state: StageServer, limits: BatchLimits, now_ms: int) -> int:
    """Return the room for results that is believed to be free."""
    if state.full_until_ms > now_ms:
        return 0
    drop_expired(state.results, now_ms)
    foreign = state.foreign_bytes if state.foreign_until_ms > now_ms else 0
    taken = state.results.total_bytes + state.reserved_bytes + foreign
    return limits.result_capacity_bytes - taken


def free_at_ms(state: StageServer, now_ms: int) -> int:
    """Return when the server is expected to take the next call."""
    if state.is_doubted:
        return now_ms + DOUBTED_MS
    return max(now_ms, state.busy_until_ms, state.away_until_ms)


def note_pace(state: StageServer, expected_ms: float, took_ms: int) -> None:
    """Learn from a call that took ``took_ms`` instead of the nominal time."""
    if expected_ms <= 0:
        return
    seen = min(MAX_PACE, took_ms / expected_ms)
    state.pace += PACE_WEIGHT * (seen - state.pace)
    state.failures = 0


def note_refused(state: StageServer, now_ms: int) -> None:
    """Leave a full server alone for a time that doubles with each refusal in a row."""
    backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(state.failures, 10))
    state.failures += 1
    state.away_until_ms = now_ms + backoff_ms


def note_silent(state: StageServer, nominal_ms: float, took_ms: int) -> None:
    """Doubt a server whose call brought nothing in ``took_ms``.

    It is slow or away. Its report tells that it is there, and its pace, which grows
    with each such call, for how long the next one may last.
    """
    state.is_doubted = True
    state.needs_report = True
    if nominal_ms > 0:
        seen = took_ms * SILENT_PACE_FACTOR / nominal_ms
        state.pace = min(MAX_PACE, max(state.pace, seen))


def note_full(state: StageServer, now_ms: int) -> None:
    """Note that the server had no room for a result, against what is known of it."""
    state.full_until_ms = now_ms + FULL_MS
    state.needs_report = True


def wants_report(state: StageServer, now_ms: int) -> bool:
    """Return whether the server should be asked for its room now."""
    return state.needs_report and now_ms - state.report_asked_ms >= REPORT_EVERY_MS


def note_report(
    state: StageServer, limits: BatchLimits, reported_free_bytes: int, now_ms: int
) -> None:
    """Take in the room that a server reports.

    What the first report shows as taken and is not known here belongs to results of
    another planner. Later ones only tell that the server is there: they are some
    hundred milliseconds old, and would show results of this planner as foreign that
    were given up meanwhile.
    """
    state.needs_report = False
    state.is_doubted = False
    if state.has_reported:
        return
    state.has_reported = True
    known = state.results.total_bytes + state.reserved_bytes
    state.foreign_bytes = max(
        0, limits.result_capacity_bytes - reported_free_bytes - known
    )
    state.foreign_until_ms = now_ms + limits.result_ttl_ms


def overdue_ms(expected_ms: float) -> int:
    """Return after which time a call that should take ``expected_ms`` is lost."""
    return int(expected_ms * OVERDUE_FACTOR) + OVERDUE_EXTRA_MS
