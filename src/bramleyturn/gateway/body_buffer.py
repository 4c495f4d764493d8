"""Collect the body of an answer from pieces of any size."""

from typing import Final

# Smaller pieces are joined as they arrive: a list of them takes more than their bytes.
PIECE_BYTES: Final = 16 * 1024


class BodyBuffer:
    """Hold the pieces of a body, and its size in bytes so far."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.rest = bytearray()
        self.size = 0


def add_piece(buffer: BodyBuffer, data: bytes) -> None:
    """Add bytes to the end of a body."""
    buffer.size += len(data)
    if not buffer.rest and len(data) >= PIECE_BYTES:
        buffer.pieces.append(data)
        return
    buffer.rest += data
    if len(buffer.rest) >= PIECE_BYTES:
        buffer.pieces.append(bytes(buffer.rest))
        buffer.rest.clear()


def whole_body(buffer: BodyBuffer) -> bytes:
    """Return the whole body."""
    return b"".join((*buffer.pieces, buffer.rest))


def drop_body(buffer: BodyBuffer) -> None:
    """Forget a body that no one needs."""
    buffer.pieces.clear()
    buffer.rest.clear()
