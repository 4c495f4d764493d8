"""Assemble the answer that a model engine streams."""

from bramleyturn.core.attempt_results import drop_late_answer, wrong_answer
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    AttemptFailed,
    FailureReason,
    OutputArrived,
    StreamEnded,
    TokensArrived,
)
from bramleyturn.core.silence import hear


def tokens_arrived(
    state: EntryState, event: TokensArrived, now_ms: int
) -> AttemptFailed | None:
    """Add a part of a stream, or return why it can't belong to the answer.

    A part that overlaps the tokens received so far must agree with them. A part that
    starts beyond them leaves a gap.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late_answer(state, event.attempt_id, now_ms)
        return None
    if event.echoed_id != event.attempt_id:
        return wrong_answer(state, event.attempt_id, "another attempt's id")
    hear(attempt, now_ms)
    received = state.requests[attempt.request_key].stages[attempt.stage].tokens
    if event.offset > len(received):
        return wrong_answer(state, event.attempt_id, "a gap in the stream")
    overlap = tuple(received[event.offset : event.offset + len(event.tokens)])
    if overlap != event.tokens[: len(overlap)]:
        return wrong_answer(state, event.attempt_id, "a part that contradicts another")
    received.extend(event.tokens[len(overlap) :])
    return None


def stream_ended(
    state: EntryState, event: StreamEnded, now_ms: int
) -> AttemptFailed | OutputArrived | None:
    """Return the complete answer of a stream, or why it is not complete.

    A stream that holds more than was announced can't be trusted at any offset, so
    its tokens are discarded and the stage starts again from the beginning.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        drop_late_answer(state, event.attempt_id, now_ms)
        return None
    progress = state.requests[attempt.request_key].stages[attempt.stage]
    if event.echoed_id != event.attempt_id:
        return wrong_answer(state, event.attempt_id, "another attempt's id")
    if len(progress.tokens) < event.total:
        return AttemptFailed(
            event.attempt_id,
            FailureReason.CUT,
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
