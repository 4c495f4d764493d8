"""Remember refused requests, so that one that comes back is due as at first.

Load pattern handled here: a burst whose refused callers come back. The latency target
of a request counts from its first attempt, so a repeat must not go before a new request
that can still be in time. Repeats reach any instance under new ids, but all stages have
one owner. A repeat has the fingerprint of the refused attempt, and its caller still
gives up at the same time. How long a caller waits tells nothing by itself: that differs
between the callers of a route.
"""

from typing import Final, NamedTuple

from bramleyturn.core.pieces.model import StageAsk

# Network latency and rounding move the deadline that a repeat sends by less than this.
DEADLINE_TOLERANCE_MS: Final = 250


class RefusedAsk(NamedTuple):
    """Hold when a refused request was due at first, and when its caller gives up.

    ``repeat_id`` is the attempt that came back, empty before.
    """

    due_ms: int
    deadline_ms: int
    repeat_id: str = ""


class RefusedAsks:
    """Hold the refused asks by fingerprint until their deadlines."""

    def __init__(self) -> None:
        self.by_fingerprint: dict[str, list[RefusedAsk]] = {}


def note_refusal(refused: RefusedAsks, ask: StageAsk, now_ms: int) -> None:
    """Remember a refused ask."""
    _forget_overdue(refused, now_ms)
    if not ask.fingerprint:
        return
    known = refused.by_fingerprint.pop(ask.fingerprint, [])
    kept = [
        each
        for each in known
        if each.repeat_id != ask.attempt_id and each.deadline_ms >= now_ms
    ]
    kept.append(RefusedAsk(ask.due_ms, ask.deadline_ms))
    refused.by_fingerprint[ask.fingerprint] = kept


def due_as_at_first(refused: RefusedAsks, ask: StageAsk) -> StageAsk:
    """Return an ask, due when its request was due before a refusal.

    Each refusal is matched with one later attempt, and with all of its stages.
    """
    known = refused.by_fingerprint.get(ask.fingerprint, [])
    for place, each in enumerate(known):
        shift_ms = abs(ask.deadline_ms - each.deadline_ms)
        if shift_ms > DEADLINE_TOLERANCE_MS:
            continue
        if each.repeat_id in ("", ask.attempt_id):
            known[place] = each._replace(repeat_id=ask.attempt_id)
            return ask._replace(due_ms=min(ask.due_ms, each.due_ms))
    return ask


def has_returned(refused: RefusedAsks, ask: StageAsk) -> bool:
    """Return whether an ask was matched with an earlier refusal."""
    known = refused.by_fingerprint.get(ask.fingerprint, [])
    return any(each.repeat_id == ask.attempt_id for each in known)


def _forget_overdue(refused: RefusedAsks, now_ms: int) -> None:
    """Forget the requests refused longest ago whose deadlines have passed."""
    by_fingerprint = refused.by_fingerprint
    while by_fingerprint:
        oldest = next(iter(by_fingerprint))
        if any(each.deadline_ms >= now_ms for each in by_fingerprint[oldest]):
            return
        del by_fingerprint[oldest]
