"""Bound what callers leave unread of their answers, all of them together.

Load pattern handled here: callers on slow links get large answers, or streams that a
server in trouble sends faster than they are read. One stream is held back by its own
connection. Over the bound of all, the connection that holds the most is closed, as its
caller is the furthest from the end of its answer and its end costs the fewest callers.
"""

from collections.abc import Callable
from typing import Final, Protocol

from bramleyturn.gateway.answer_bounds import MAX_BODY_BYTES

# Two of the largest answers.
MAX_UNREAD_BYTES: Final = 2 * MAX_BODY_BYTES
# What one connection buffers before the source of its answer is held back.
MAX_BUFFERED_BYTES: Final = 32 * 1024


class Reader(Protocol):
    """Hold the connection of a caller."""

    def abort(self) -> None:
        """Close the connection at once."""

    def caller_address(self) -> str:
        """Return the address and port of the caller."""


class UnreadAnswers:
    """Hold what each connection has buffered since its caller stopped to read.

    ``on_over_bound`` is called with the address of a caller whose connection is closed
    and the size in bytes.
    """

    def __init__(self) -> None:
        self.sizes: dict[Reader, int] = {}
        self.total = 0
        self.on_over_bound: Callable[[str, int], None] = lambda _address, _size: None


def hold_unread(unread: UnreadAnswers, reader: Reader, size: int) -> None:
    """Add bytes that a caller has not read; close the largest over the bound."""
    if reader not in unread.sizes:
        # The transport only reports what is buffered beyond this.
        unread.sizes[reader] = MAX_BUFFERED_BYTES
        unread.total += MAX_BUFFERED_BYTES
    unread.sizes[reader] += size
    unread.total += size
    while unread.total > MAX_UNREAD_BYTES:
        largest = max(unread.sizes, key=lambda each: unread.sizes[each])
        size_bytes = unread.sizes[largest]
        release_unread(unread, largest)
        unread.on_over_bound(largest.caller_address(), size_bytes)
        largest.abort()


def release_unread(unread: UnreadAnswers, reader: Reader) -> None:
    """Forget what a caller has read, or will never read."""
    unread.total -= unread.sizes.pop(reader, 0)
