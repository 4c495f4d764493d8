"""Bound what all callers' connections of a process hold together.

Load pattern handled here: callers that open many connections and send nothing or a
part of a request on each, or send many large bodies. At a bound, the connection that
has been idle for the longest is closed, or the largest request that is still being
read is refused; it has not run.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final, Protocol

from bramleyturn.gateway.unread_answers import MAX_BUFFERED_BYTES

# Descriptors of a process that are kept for files.
RESERVED_DESCRIPTORS: Final = 200
# The parts of the other descriptors that connections of callers and those to servers
# may use. The rest is for other instances, the store, and connections being closed.
CALLERS_SHARE: Final = 0.6
SERVERS_SHARE: Final = 0.25
MIN_CONNECTIONS: Final = 16
# The part of the memory of a process for requests that are read or in progress: 38 MB
# on the smallest machine, which has 152 MB and uses 51 MB at rest.
READ_SHARE: Final = 0.25
MIN_READ_BYTES: Final = 8 * 1024 * 1024
BYTES_PER_MEGABYTE: Final = 1024 * 1024
# With more connections than this, each may buffer less of its answers.
FEW_CONNECTIONS: Final = 256
BUFFERED_BYTES_OF_MANY: Final = 4 * 1024


class Held(Protocol):
    """Hold the connection of a caller."""

    def close_idle_now(self) -> None:
        """Close a connection without a request at once."""

    def is_being_read(self) -> bool:
        """Return whether a request has been read in part."""

    def refuse_over_bound(self) -> None:
        """Refuse the request that is being read."""


class CallerBounds:
    """Hold what the connections of all servers of a process use together.

    ``idle`` has the connections without a complete request, the longest idle first.
    ``sizes`` has the bytes of bodies, and of what was sent ahead, by connection.
    ``on_bound`` is called with the name of a bound that was reached.
    """

    def __init__(self, max_connections: int, max_read_bytes: int) -> None:
        self.max_connections = max_connections
        self.max_read_bytes = max_read_bytes
        self.connections: set[Held] = set()
        self.idle: OrderedDict[Held, None] = OrderedDict()
        self.sizes: dict[Held, int] = {}
        self.total = 0
        self.on_bound: Callable[[str], None] = lambda _bound: None


def caller_bounds(file_descriptors: int, memory_mb: int) -> CallerBounds:
    """Return the bounds of a process with so many descriptors and so much memory."""
    return CallerBounds(
        _share(file_descriptors, CALLERS_SHARE),
        max(MIN_READ_BYTES, int(memory_mb * BYTES_PER_MEGABYTE * READ_SHARE)),
    )


def server_connections(file_descriptors: int) -> int:
    """Return how many connections to servers a process may have."""
    return _share(file_descriptors, SERVERS_SHARE)


def _share(file_descriptors: int, share: float) -> int:
    free = max(0, file_descriptors - RESERVED_DESCRIPTORS)
    return max(MIN_CONNECTIONS, int(free * share))


def unbounded() -> CallerBounds:
    """Return bounds that are never reached, for servers outside of an entry."""
    return CallerBounds(2**62, 2**62)


def add_connection(bounds: CallerBounds, held: Held) -> bool:
    """Add a connection, and close the longest idle one if there are too many.

    Return False if no other one could be closed: then this one has to be.
    """
    has_room = len(bounds.connections) < bounds.max_connections
    if not has_room:
        bounds.on_bound("connections")
        if not bounds.idle:
            return False
        longest, _ = bounds.idle.popitem(last=False)
        bounds.connections.discard(longest)
        longest.close_idle_now()
    bounds.connections.add(held)
    note_idle(bounds, held)
    return True


def drop_connection(bounds: CallerBounds, held: Held) -> None:
    """Forget a connection that has ended."""
    bounds.connections.discard(held)
    bounds.idle.pop(held, None)
    hold_read(bounds, held, 0)


def note_idle(bounds: CallerBounds, held: Held) -> None:
    """Record that a connection waits for its caller from now on."""
    bounds.idle[held] = None
    bounds.idle.move_to_end(held)


def note_busy(bounds: CallerBounds, held: Held) -> None:
    """Record that a connection has a complete request."""
    bounds.idle.pop(held, None)


def hold_read(bounds: CallerBounds, held: Held, size: int) -> None:
    """Set the bytes that a connection holds; refuse the largest over the bound."""
    before = bounds.sizes.pop(held, 0)
    bounds.total += size - before
    if not size:
        return
    bounds.sizes[held] = size
    if size <= before:
        return
    while bounds.total > bounds.max_read_bytes:
        read = [each for each in bounds.sizes if each.is_being_read()]
        if not read:
            return
        largest = max(read, key=lambda each: bounds.sizes[each])
        bounds.total -= bounds.sizes.pop(largest)
        bounds.on_bound("requests_read")
        largest.refuse_over_bound()


def buffered_bytes(bounds: CallerBounds) -> int:
    """Return what a new connection may buffer before its caller counts as slow."""
    if len(bounds.connections) <= FEW_CONNECTIONS:
        return MAX_BUFFERED_BYTES
    return BUFFERED_BYTES_OF_MANY
