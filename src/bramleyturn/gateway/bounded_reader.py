"""Parse what a peer sends in steps whose cost is bounded.

The h11 library parses a head at once, and each chunk by itself. So it is given few
lines at a time, and header lines and what chunks have besides their data are counted.
"""

from typing import Any, Final

import h11

from bramleyturn.gateway.answer_bounds import (
    CHUNK_ALLOWANCE_BYTES,
    CHUNK_ALLOWANCE_PER_BYTE,
    MAX_CHUNK_EXCESS_BYTES,
)
from bramleyturn.runtime.parse_steps import STEP_BYTES, take_bytes, take_step

# In one head: more than twice those of Apache's httpd.
MAX_HEADER_LINES: Final = 256
# Given to the library at a time: it parses one chunk after the other, but the lines of
# a trailer at once.
CHUNKS_STEP_BYTES: Final = 16 * 1024
# What a chunk costs, its two lines.
CHUNK_UNITS: Final = 2
BODY_BYTES_PER_UNIT: Final = 16 * 1024
ENDLESS_BYTES: Final = 2**62
STATUS_HEAD_TOO_LARGE: Final = 431


class BoundedReader:
    """Hold the parser of one connection, and the bytes that it has not been given.

    ``head_bytes`` is what was parsed of the current head, ``excess_bytes`` what chunks
    have had besides their data and an allowance. ``units`` is what parsing has cost
    since it was last taken, see core/contention/loop_turns.py.
    """

    def __init__(self, role: Any, max_head_bytes: int) -> None:
        self.http = h11.Connection(role, max_incomplete_event_size=max_head_bytes)
        self.unparsed = bytearray()
        self.units = 0
        self.is_drained = True
        self.begin_message()

    def begin_message(self) -> None:
        """Count from here on for the next request or answer."""
        self.is_in_head = True
        self.is_chunked = False
        self.body_left = 0
        self.head_bytes = 0
        self.lines = 0
        self.excess_bytes = 0
        self.is_drained = not self.waiting_bytes()

    def receive(self, data: bytes) -> None:
        """Take bytes that are parsed later."""
        self.unparsed += data
        self.is_drained = False

    def receive_end(self) -> None:
        """Take the end of the connection, once all bytes are parsed."""
        self.http.receive_data(b"")

    def drop_bytes(self) -> None:
        """Forget what the parser has not been given, as no one needs it."""
        self.unparsed.clear()

    def is_pending(self) -> bool:
        """Return whether bytes that were received may hold a further event."""
        return not self.is_drained

    def waiting_bytes(self) -> int:
        """Return how many bytes wait, most of them for the next message."""
        return len(self.unparsed) + len(self.http.trailing_data[0])

    def take_units(self) -> int:
        """Return what parsing has cost since the last call."""
        units = self.units
        self.units = 0
        return units

    def next_event(self) -> Any:
        """Return the next event, after one step at most.

        ``h11.NEED_DATA`` means that more may follow while ``is_pending``. Raise
        ``h11.RemoteProtocolError`` if the bytes are malformed or exceed a bound.
        """
        event = self.http.next_event()
        if event is h11.NEED_DATA and self.unparsed:
            self._check_bounds()
            self._step()
            event = self.http.next_event()
        if event is h11.NEED_DATA:
            self._check_bounds()
            self.is_drained = not self.unparsed
        elif self.is_chunked and isinstance(event, h11.Data):
            self._note_chunk(event)
        elif isinstance(event, h11.EndOfMessage):
            self.units += len(event.headers)
        return event

    def end_head(self, body_bytes: int | None, is_chunked: bool) -> None:
        """Parse a body from here on.

        ``body_bytes`` is its length, 0 in chunks, and None if it ends with the
        connection.
        """
        rest_bytes = len(self.http.trailing_data[0])
        self.is_in_head = False
        self.is_chunked = is_chunked
        if body_bytes is None:
            self.body_left = ENDLESS_BYTES
        else:
            self.body_left = max(0, body_bytes - rest_bytes)
        self.excess_bytes = rest_bytes if is_chunked else 0

    def _step(self) -> None:
        lines = 0
        if self.is_chunked:
            data = take_bytes(self.unparsed, CHUNKS_STEP_BYTES)
            self.excess_bytes += len(data)
        elif self.body_left:
            data = take_bytes(self.unparsed, min(STEP_BYTES, self.body_left))
            self.body_left -= len(data)
        else:
            data, lines = take_step(self.unparsed)
            self.lines += lines
            self.head_bytes += len(data)
        self.units += 1 + lines + len(data) // BODY_BYTES_PER_UNIT
        self.http.receive_data(data)

    def _note_chunk(self, event: h11.Data) -> None:
        size = len(event.data)
        self.excess_bytes -= size + CHUNK_ALLOWANCE_PER_BYTE * size
        if event.chunk_start:
            self.excess_bytes -= CHUNK_ALLOWANCE_BYTES
            self.units += CHUNK_UNITS

    def _check_bounds(self) -> None:
        if self.is_in_head and self.lines > MAX_HEADER_LINES:
            raise h11.RemoteProtocolError(
                "too many header lines", error_status_hint=STATUS_HEAD_TOO_LARGE
            )
        self.excess_bytes = max(0, self.excess_bytes)
        if self.excess_bytes > MAX_CHUNK_EXCESS_BYTES:
            raise h11.RemoteProtocolError(
                "chunks have too much besides their data",
                error_status_hint=STATUS_HEAD_TOO_LARGE,
            )
