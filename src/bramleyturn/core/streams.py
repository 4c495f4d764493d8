"""Put the stream of a model engine together."""

from bramleyturn.core.attempt_results import drop_late, wrong_answer
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    AttemptBroke,
    BreakReason,
    OutputArrived,
    StreamEnded,
    TokensArrived,
)
from bramleyturn.core.silence import record_answer_part


def tokens_arrived(
    state: EntryState, event: TokensArrived, now_ms: int
) -> AttemptBroke | None:
    """Add a part of a stream, or say why it can't belong to the answer.

    A part that overlaps what is held must agree with it. A part beyond the held
    offset leaves a gap.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late(state, event.attempt_id, now_ms)
        return None
    if event.echoed_id != event.attempt_id:
        return wrong_answer(state, event.attempt_id, "another attempt's id")
    record_answer_part(attempt, now_ms)
    held = state.requests[attempt.request_key].stages[attempt.stage].tokens
    if event.offset > len(held):
        return wrong_answer(state, event.attempt_id, "a gap in the stream")
    overlap = tuple(held[event.offset : event.offset + len(event.tokens)])
    if overlap != event.tokens[: len(overlap)]:
        return wrong_answer(state, event.attempt_id, "a part that contradicts another")
    held.extend(event.tokens[len(overlap) :])
    return None


def stream_ended(
    state: EntryState, event: StreamEnded, now_ms: int
) -> AttemptBroke | OutputArrived | None:
    """Return the whole answer of a stream, or why it is not whole.

    A stream that holds more than was announced can't be trusted at any offset, so
    its tokens are discarded and the stage starts again from the beginning.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late(state, event.attempt_id, now_ms)
        return None
    progress = state.requests[attempt.request_key].stages[attempt.stage]
    if event.echoed_id != event.attempt_id:
        return wrong_answer(state, event.attempt_id, "another attempt's id")
    if len(progress.tokens) < event.total:
        return AttemptBroke(
            event.attempt_id,
            BreakReason.CUT,
            "fewer tokens than announced",
            None,
            False,
        )
    if len(progress.tokens) > event.total:
        progress.tokens.clear()
        return wrong_answer(state, event.attempt_id, "more tokens than announced")
    return OutputArrived(
        attempt_id=event.attempt_id,
        echoed_id=event.echoed_id,
        output="".join(progress.tokens),
        tokens=event.total - attempt.resume_offset,
    )
