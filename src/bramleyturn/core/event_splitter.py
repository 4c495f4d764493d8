"""Split a byte stream of server-sent events into complete events."""

import re
from typing import Final, NamedTuple

EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
LONGEST_END_BYTES: Final = 4
EVENT_ID: Final = re.compile(rb"(?:^|[\r\n])id: ?([0-9]{1,15})(?=[\r\n])")
# The bound of one message by default in NATS (max_payload) and Kafka.
MAX_EVENT_BYTES: Final = 1024 * 1024


class StreamEvent(NamedTuple):
    """Hold the bytes of one complete event and its id, None if it has none."""

    id: int | None
    data: bytes


class EventSplitter:
    """Buffer the bytes of an event that is not complete yet.

    ``over_bound_bytes`` is the size at which an event exceeded ``MAX_EVENT_BYTES``, 0
    if none did. Nothing that follows is read or kept.
    """

    def __init__(self) -> None:
        self.rest = bytearray()
        self.over_bound_bytes = 0


def split_events(splitter: EventSplitter, data: bytes) -> list[StreamEvent]:
    """Return the events that ``data`` completes.

    Only the new bytes are searched, and those before them that an end may begin with.
    """
    if splitter.over_bound_bytes:
        return []
    rest = splitter.rest
    searched = max(0, len(rest) - LONGEST_END_BYTES + 1)
    rest += data
    events = []
    start = 0
    for end in [matched.end() for matched in EVENT_END.finditer(rest, searched)]:
        whole = bytes(rest[start:end])
        start = end
        if len(whole) > MAX_EVENT_BYTES:
            splitter.over_bound_bytes = len(whole)
            break
        found = EVENT_ID.search(whole)
        events.append(StreamEvent(int(found[1]) if found else None, whole))
    del rest[:start]
    if not splitter.over_bound_bytes and len(rest) > MAX_EVENT_BYTES:
        splitter.over_bound_bytes = len(rest)
    if splitter.over_bound_bytes:
        rest.clear()
    return events
