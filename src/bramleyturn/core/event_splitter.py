"""Split a byte stream of server-sent events into complete events."""

import re
from typing import Final, NamedTuple

EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID: Final = re.compile(rb"(?:^|[\r\n])id: ?([0-9]{1,15})(?=[\r\n])")


class StreamEvent(NamedTuple):
    """Hold the bytes of one complete event and its id, None if it has none."""

    id: int | None
    data: bytes


class EventSplitter:
    """Buffer the bytes of an event that is not complete yet."""

    def __init__(self) -> None:
        self.rest = b""


def split_events(splitter: EventSplitter, data: bytes) -> list[StreamEvent]:
    """Return the events that ``data`` completes."""
    buffered = splitter.rest + data
    events = []
    start = 0
    for matched in EVENT_END.finditer(buffered):
        whole = buffered[start : matched.end()]
        start = matched.end()
        found = EVENT_ID.search(whole)
        events.append(StreamEvent(int(found[1]) if found else None, whole))
    splitter.rest = buffered[start:]
    return events
