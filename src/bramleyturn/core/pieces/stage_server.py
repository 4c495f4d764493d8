"""Know how busy, fast and full one server of a stage is."""

from typing import Final

from bramleyturn.core.catalog.model import BackendServer, BatchLimits

# Weight of the newest call in the running mean of a server's pace.
PACE_WEIGHT: Final = 0.3
# A call may take this many times its expected length before it counts as lost.
OVERDUE_FACTOR: Final = 2.5
OVERDUE_EXTRA_MS: Final = 200
MAX_PACE: Final = 12.0
FIRST_BACKOFF_MS: Final = 400
MAX_BACKOFF_MS: Final = 3_200
# A server that said it has no room is asked again after this time at the latest.
FULL_MS: Final = 250


class StageServer:
    """Hold what the planner believes of one server.

    ``pace`` is the length of its calls relative to what the configuration says.
    ``held`` has the size and the expiry of every result that was not given up, and
    ``releasing`` those that the server has yet to confirm.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.call_id: int | None = None
        self.busy_until_ms = 0
        self.pace = 1.0
        self.held: dict[str, tuple[int, int]] = {}
        self.releasing: set[str] = set()
        self.reserved_bytes = 0
        self.full_until_ms = 0
        self.failures = 0
        self.away_until_ms = 0


def is_idle(state: StageServer, now_ms: int) -> bool:
    """Return whether a call may be sent now."""
    return state.call_id is None and state.away_until_ms <= now_ms


def free_bytes(state: StageServer, limits: BatchLimits, now_ms: int) -> int:
    """Return the room for results that is believed to be free."""
    if state.full_until_ms > now_ms:
        return 0
    expired = [
        handle for handle, (_, until_ms) in state.held.items() if until_ms <= now_ms
    ]
    for handle in expired:
        del state.held[handle]
        state.releasing.discard(handle)
    held = sum(size for size, _ in state.held.values())
    return limits.room_bytes - held - state.reserved_bytes


def free_at_ms(state: StageServer, now_ms: int) -> int:
    """Return when the server is expected to take the next call."""
    return max(now_ms, state.busy_until_ms, state.away_until_ms)


def note_pace(state: StageServer, expected_ms: float, took_ms: int) -> None:
    """Learn from a call that took ``took_ms`` instead of the nominal time."""
    if expected_ms <= 0:
        return
    seen = min(MAX_PACE, took_ms / expected_ms)
    state.pace += PACE_WEIGHT * (seen - state.pace)
    state.failures = 0


def note_failure(state: StageServer, now_ms: int) -> None:
    """Leave a server alone for a time that doubles with each failure in a row."""
    backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(state.failures, 10))
    state.failures += 1
    state.away_until_ms = now_ms + backoff_ms


def note_full(state: StageServer, now_ms: int) -> None:
    """Note that the server had no room for a result."""
    state.full_until_ms = now_ms + FULL_MS


def overdue_ms(expected_ms: float) -> int:
    """Return after which time a call that should take ``expected_ms`` is lost."""
    return int(expected_ms * OVERDUE_FACTOR) + OVERDUE_EXTRA_MS
