"""Split a byte stream of server-sent events into complete events."""

import re
from typing import Final, NamedTuple

EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
LONGEST_END_BYTES: Final = 4
# Regular expressions are slow, and most events need none.
LINE_FEEDS: Final = b"\n\n"
ID_FIELD: Final = b"id:"
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
    ends = _event_ends(rest, searched)
    complete = bytes(memoryview(rest)[: ends[-1]]) if ends else b""
    has_ids = ID_FIELD in complete
    for end in ends:
        whole = complete[start:end]
        start = end
        if len(whole) > MAX_EVENT_BYTES:
            splitter.over_bound_bytes = len(whole)
            break
        events.append(StreamEvent(_event_id(whole) if has_ids else None, whole))
    del rest[:start]
    if not splitter.over_bound_bytes and len(rest) > MAX_EVENT_BYTES:
        splitter.over_bound_bytes = len(rest)
    if splitter.over_bound_bytes:
        rest.clear()
    return events


def _event_ends(rest: bytearray, searched: int) -> list[int]:
    """Return where events end, from ``searched`` on."""
    if rest.find(b"\r", searched) >= 0:
        return [matched.end() for matched in EVENT_END.finditer(rest, searched)]
    ends = []
    found = rest.find(LINE_FEEDS, searched)
    while found >= 0:
        ends.append(found + len(LINE_FEEDS))
        found = rest.find(LINE_FEEDS, ends[-1])
    return ends


def _event_id(event: bytes) -> int | None:
    """Return the id of an event, None if it has none."""
    if ID_FIELD not in event:
        return None
    found = EVENT_ID.search(event)
    return int(found[1]) if found else None
