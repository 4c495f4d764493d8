"""Word the messages between those who ask for stages and those who plan them.

Clocks of different instances are not compared: times travel as what is left.
"""

from typing import Any

from bramleyturn.core.pieces.model import AskDone, LaterStage, PieceFailure, StageAsk

Message = dict[str, Any]


def encode_ask(ask: StageAsk, now_ms: int) -> Message:
    """Return the message that asks for a stage."""
    fields = ask._asdict()
    del fields["due_ms"], fields["deadline_ms"]
    return {
        "type": "ask",
        "due_in_ms": ask.due_ms - now_ms,
        "left_ms": ask.deadline_ms - now_ms,
        **fields,
        "later": [list(stage) for stage in ask.later],
    }


def decode_ask(message: Message, now_ms: int) -> StageAsk | None:
    """Return the ask of a message, None if the message is malformed."""
    try:
        return StageAsk(
            ask_id=str(message["ask_id"]),
            pool=str(message["pool"]),
            attempt_id=str(message["attempt_id"]),
            stage=int(message["stage"]),
            piece_count=int(message["piece_count"]),
            key=str(message["key"]),
            inputs=tuple(str(handle) for handle in message["inputs"]),
            result_bytes=int(message["result_bytes"]),
            due_ms=now_ms + int(message["due_in_ms"]),
            deadline_ms=now_ms + int(message["left_ms"]),
            urgency=int(message["urgency"]),
            near_zone=str(message["near_zone"]),
            has_started=bool(message["has_started"]),
            later=tuple(
                LaterStage(str(pool), int(pieces), int(size))
                for pool, pieces, size in message["later"]
            ),
        )
    except (KeyError, TypeError, ValueError):
        return None


def encode_done(done: AskDone) -> Message:
    """Return the message that ends an ask."""
    failure = None if done.failure is None else str(done.failure)
    return {"type": "done", **done._asdict(), "failure": failure}


def decode_done(message: Message) -> AskDone | None:
    """Return the end of an ask, None if the message is malformed."""
    try:
        failure = message["failure"]
        return AskDone(
            ask_id=str(message["ask_id"]),
            handles=tuple(str(handle) for handle in message["handles"]),
            zones=tuple(str(zone) for zone in message["zones"]),
            failure=None if failure is None else PieceFailure(failure),
            wait_ms=int(message["wait_ms"]),
        )
    except (KeyError, TypeError, ValueError):
        return None
