"""Encode the calls to the servers of a stage and decode their answers."""

from collections.abc import Sequence
from typing import Any, Final

import orjson

from bramleyturn.core.pieces.model import MadePiece, Piece, PieceFailure
from bramleyturn.core.units import BYTES_PER_MEGABYTE
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.fields import number_field, read_object, text_field

RUN_TARGET: Final = "/bramleyturn/stage-run"
RELEASE_TARGET: Final = "/bramleyturn/stage-free"
REPORT_TARGET: Final = "/bramleyturn/report"
MAX_HANDLE_CHARACTERS: Final = 200
FAILURES_BY_REASON: Final = {
    # The piece's deadline had passed when its turn came.
    "late": PieceFailure.LATE,
    # An input of the piece no longer exists.
    "gone": PieceFailure.INPUT_GONE,
    # The server had no capacity for the result.
    "room": PieceFailure.NO_ROOM,
    "error": PieceFailure.FAILED,
}


def encode_run(pieces: Sequence[Piece], now_ms: int) -> bytes:
    """Return the body of a call that runs ``pieces``."""
    return orjson.dumps({"items": [_encode_piece(piece, now_ms) for piece in pieces]})


def encode_release(handles: Sequence[str]) -> bytes:
    """Return the body of a call that releases results."""
    return orjson.dumps({"handles": list(handles)})


def decode_run(body: bytes, count: int) -> list[MadePiece] | None:
    """Return the outcome of each of ``count`` pieces, None for a malformed answer."""
    document = read_object("stage call", body)
    if isinstance(document, Malformed):
        return None
    items = document.get("items")
    if not isinstance(items, list) or len(items) != count:
        return None
    return [_decode_piece(item) for item in items]


def _encode_piece(piece: Piece, now_ms: int) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "id": piece.attempt_id,
        "stage": piece.stage,
        "piece": piece.number,
        "leftMs": max(1, piece.deadline_ms - now_ms),
    }
    if piece.inputs:
        return encoded | {"inputs": list(piece.inputs)}
    return encoded | {"key": piece.key}


def _decode_piece(item: Any) -> MadePiece:
    if not isinstance(item, dict):
        return MadePiece("", PieceFailure.FAILED)
    handle = item.get("handle")
    if isinstance(handle, str) and 0 < len(handle) <= MAX_HANDLE_CHARACTERS:
        return MadePiece(handle, None)
    reason = text_field(item, "reason") or ""
    return MadePiece("", FAILURES_BY_REASON.get(reason, PieceFailure.FAILED))


def call_headers(server_id: str) -> list[tuple[bytes, bytes]]:
    """Return the headers of a call to one server of a stage."""
    return [
        (b"Content-Type", b"application/json"),
        (b"Bramleyturn-Expected-Instance", server_id.encode()),
    ]


def decode_free_bytes(body: bytes) -> int | None:
    """Return the upper bound of a server's free capacity, None if malformed.

    ``freeMb`` is rounded down to whole megabytes, and some servers have less than one.
    """
    document = read_object("report", body)
    if isinstance(document, Malformed):
        return None
    free = number_field(document, "freeMb")
    return None if free is None else int((free + 1) * BYTES_PER_MEGABYTE)


def is_release_answer(body: bytes) -> bool:
    """Return whether a body can be that of the answer to a call that releases results.

    Servers answer without one. Those of other calls have fields of their own.
    """
    document = read_object("release", body)
    if isinstance(document, Malformed):
        return not body
    return not document.keys() & {"items", "freeMb"}


def handle_address(handle: str) -> str:
    """Return the address, IP:PORT, of the server that holds a result."""
    return handle.partition("/")[0]
