"""Encode and decode the messages between the askers and the owner of stages.

Clocks of different instances are not compared: times are sent as remaining durations.
"""

from typing import Any, NamedTuple

from bramleyturn.core.pieces.handover import (
    AskHandover,
    AwaitedPiece,
    Handover,
    HeldResult,
    MadeResult,
    ServerHandover,
)
from bramleyturn.core.pieces.model import AskDone, LaterStage, PieceFailure, StageAsk
from bramleyturn.core.pieces.planner import MovedPiece
from bramleyturn.core.placement.engine_queues import (
    MAX_READ_MS,
    EngineNeed,
    EngineOption,
)

Message = dict[str, Any]


def encode_ask(ask: StageAsk, now_ms: int) -> Message:
    """Encode an ask for a stage."""
    return {"type": "ask", **_ask_fields(ask, now_ms)}


def _ask_fields(ask: StageAsk, now_ms: int) -> Message:
    fields = ask._asdict()
    del fields["due_ms"], fields["deadline_ms"], fields["given_up_ms"]
    del fields["engine_need"], fields["engine"]
    if ask.engine:
        fields["engine"] = ask.engine
    if ask.engine_need is not None:
        fields["engine_need"] = _encode_engine_need(ask.engine_need)
    if ask.given_up_ms is not None:
        fields["given_up_in_ms"] = ask.given_up_ms - now_ms
    return {
        "due_in_ms": ask.due_ms - now_ms,
        "left_ms": ask.deadline_ms - now_ms,
        **fields,
        "later": [list(stage) for stage in ask.later],
        "input_bytes": [list(each) for each in ask.input_bytes],
    }


def _encode_engine_need(need: EngineNeed) -> list[Any]:
    options = [list(option) for option in need.options]
    return [need.part, need.shared_ms, need.own_ms, options]


def _decode_engine_need(document: Any) -> EngineNeed | None:
    # Instances of earlier builds choose the engine alone.
    if document is None:
        return None
    part, shared_ms, own_ms, options = document
    if not all(0 <= int(each) <= MAX_READ_MS for each in (shared_ms, own_ms)):
        raise ValueError("time to read is out of range")
    return EngineNeed(
        str(part),
        int(shared_ms),
        int(own_ms),
        tuple(EngineOption(str(server_id), str(zone)) for server_id, zone in options),
    )


def decode_ask(message: Message, now_ms: int) -> StageAsk | None:
    """Decode an ask; return None if malformed."""
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
            input_bytes=tuple(
                (str(zone), int(size)) for zone, size in message["input_bytes"]
            ),
            fingerprint=str(message.get("fingerprint", "")),
            is_only_reader=message.get("is_only_reader") is True,
            given_up_ms=(
                now_ms + int(message["given_up_in_ms"])
                if "given_up_in_ms" in message
                else None
            ),
            engine_need=_decode_engine_need(message.get("engine_need")),
            engine=str(message.get("engine", "")),
        )
    except (KeyError, TypeError, ValueError):
        return None


class EngineAsk(NamedTuple):
    """Ask for the engine of a request that needs no results of stages."""

    attempt_id: str
    need: EngineNeed


class EngineChosen(NamedTuple):
    """Name the engine of a request, empty if there is none."""

    attempt_id: str
    engine: str


def encode_engine_ask(ask: EngineAsk) -> Message:
    """Encode an ask for an engine."""
    return {
        "type": "engine_ask",
        "attempt_id": ask.attempt_id,
        "engine_need": _encode_engine_need(ask.need),
    }


def decode_engine_ask(message: Message) -> EngineAsk | None:
    """Decode an ask for an engine; return None if malformed."""
    try:
        need = _decode_engine_need(message["engine_need"])
        return None if need is None else EngineAsk(str(message["attempt_id"]), need)
    except (KeyError, TypeError, ValueError):
        return None


def encode_engine_chosen(chosen: EngineChosen) -> Message:
    """Encode the engine of a request."""
    return {"type": "engine_chosen", **chosen._asdict()}


def decode_engine_chosen(message: Message) -> EngineChosen | None:
    """Decode the engine of a request; return None if malformed."""
    try:
        return EngineChosen(str(message["attempt_id"]), str(message["engine"]))
    except KeyError:
        return None


class LateEngine(NamedTuple):
    """Report how much later than expected the first event of a request came."""

    engine: str
    late_ms: int


def encode_late_engine(late: LateEngine) -> Message:
    """Encode the report of a late engine."""
    return {"type": "engine_late", **late._asdict()}


def decode_late_engine(message: Message) -> LateEngine | None:
    """Decode the report of a late engine; return None if malformed."""
    engine, late_ms = message.get("engine"), message.get("late_ms")
    if not isinstance(engine, str) or type(late_ms) is not int or late_ms < 0:
        return None
    return LateEngine(engine, late_ms)


def encode_done(done: AskDone) -> Message:
    """Encode the outcome of an ask."""
    failure = None if done.failure is None else str(done.failure)
    return {"type": "done", **done._asdict(), "failure": failure}


def decode_done(message: Message) -> AskDone | None:
    """Decode the outcome of an ask; return None if malformed."""
    try:
        failure = message["failure"]
        return AskDone(
            ask_id=str(message["ask_id"]),
            handles=tuple(str(handle) for handle in message["handles"]),
            zones=tuple(str(zone) for zone in message["zones"]),
            failure=None if failure is None else PieceFailure(failure),
            wait_ms=int(message["wait_ms"]),
            is_space_short=message.get("is_space_short") is True,
            engine=str(message.get("engine", "")),
        )
    except (KeyError, TypeError, ValueError):
        return None


def encode_withdrawal(pool: str, ask_id: str) -> Message:
    """Encode that nobody waits for an ask any more."""
    return {"type": "withdraw", "pool": pool, "ask_id": ask_id}


def encode_moved(moved: MovedPiece) -> Message:
    """Encode the outcome of a piece, for the next owner."""
    return {"type": "moved", **moved._asdict()}


def decode_moved(message: Message) -> MovedPiece | None:
    """Decode the outcome of a piece; return None if malformed."""
    try:
        return MovedPiece(
            pool=str(message["pool"]),
            ask_id=str(message["ask_id"]),
            number=int(message["number"]),
            handle=str(message["handle"]),
            server_id=str(message["server_id"]),
            zone=str(message["zone"]),
            hops=int(message.get("hops", 0)),
        )
    except (KeyError, TypeError, ValueError):
        return None


def encode_handover(handover: Handover, now_ms: int) -> Message:
    """Encode the handover of a pool."""
    return {
        "type": "handover",
        "pool": handover.pool,
        "servers": [
            [
                each.server_id,
                each.busy_ms,
                each.pace,
                [list(held) for held in each.held],
            ]
            for each in handover.servers
        ],
        "suspected": [each.server_id for each in handover.servers if each.is_suspected],
        "asks": [
            {
                "ask": _ask_fields(each.ask, now_ms),
                "origin": each.origin,
                "made": [list(made) for made in each.made],
                "awaited": [list(awaited) for awaited in each.awaited],
                "are_inputs_freed": each.are_inputs_freed,
            }
            for each in handover.asks
        ],
    }


def decode_handover(message: Message, now_ms: int) -> Handover | None:
    """Decode the handover of a pool; return None if malformed."""
    try:
        # Instances of earlier builds do not name them.
        suspected = {str(server_id) for server_id in message.get("suspected", [])}
        servers = tuple(
            ServerHandover(
                str(server_id),
                int(busy_ms),
                float(pace),
                tuple(
                    HeldResult(str(handle), int(size), int(left_ms))
                    for handle, size, left_ms in held
                ),
                str(server_id) in suspected,
            )
            for server_id, busy_ms, pace, held in message["servers"]
        )
        asks = tuple(
            _decode_ask_handover(document, now_ms) for document in message["asks"]
        )
        return Handover(str(message["pool"]), servers, asks)
    except (KeyError, TypeError, ValueError):
        return None


def _decode_ask_handover(document: Message, now_ms: int) -> AskHandover:
    ask = decode_ask(document["ask"], now_ms)
    if ask is None:
        raise ValueError("ask is malformed")
    return AskHandover(
        ask,
        str(document["origin"]),
        tuple(
            MadeResult(int(number), str(handle), str(zone))
            for number, handle, zone in document["made"]
        ),
        tuple(
            AwaitedPiece(int(number), int(left_ms))
            for number, left_ms in document["awaited"]
        ),
        document.get("are_inputs_freed") is True,
    )
