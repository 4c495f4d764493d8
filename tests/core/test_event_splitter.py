"""Tests of splitting a byte stream into events."""

import itertools
import time
from typing import Final
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core import event_splitter
from bramleyturn.core.event_splitter import EventSplitter, split_events

ENDS: Final = (b"\r\n\r\n", b"\n\n", b"\r\r")
PARTS: Final = (*ENDS, b"\r", b"\n", b"\r\n", b"id: 7", b"data: x", b"x" * 30)
PIECE_BYTES: Final = 64 * 1024
PACKET_BYTES: Final = 1_460
MEGABYTE: Final = 1_000_000
# Far above what a core needs for work that is constant for each byte.
LONGEST_S_PER_MB: Final = 0.05
# Largest event that is accepted.
BOUND_BYTES: Final = 1024 * 1024
STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


class TestSplit:
    """Tests of events whose bytes arrive in arbitrary chunks."""

    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_chunking_does_not_change_the_events(self, cuts: list[int]) -> None:
        splitter = EventSplitter()
        places = [0, *sorted(cuts), len(STREAM)]
        events = [
            event
            for start, end in itertools.pairwise(places)
            for event in split_events(splitter, STREAM[start:end])
        ]
        assert b"".join(event.data for event in events) + splitter.rest == STREAM
        assert [event.id for event in events][-1] == 3

    def test_incomplete_event_stays_buffered(self) -> None:
        splitter = EventSplitter()
        events = split_events(splitter, b"id: 1\ndata: a\n\nid: 2\nda")
        assert [event.id for event in events] == [1]
        assert splitter.rest == b"id: 2\nda"

    def test_event_without_an_id(self) -> None:
        (event,) = split_events(EventSplitter(), b"data: a\n\n")
        assert event.id is None


def split_in_time(splitter: EventSplitter, piece: bytes, size: int) -> int:
    """Split ``size`` bytes, in pieces; return the number of events.

    Fail as soon as that takes too much of the processor.
    """
    limit_s = max(1, size / MEGABYTE) * LONGEST_S_PER_MB
    started_s = time.thread_time()
    events = 0
    for _ in range(0, size, len(piece)):
        events += len(split_events(splitter, piece))
        assert time.thread_time() - started_s < limit_s
    print(f"{size / MEGABYTE:.0f} MB: {time.thread_time() - started_s:.3f} s")
    return events


def plain_split(stream: bytes, bound: int) -> tuple[list[bytes], bytes, bool]:
    """Split a whole stream byte by byte.

    Return the events, the rest, and whether an event or the rest exceeds the bound.
    """
    events: list[bytes] = []
    start = place = 0
    while place < len(stream):
        ends = (end for end in ENDS if stream.startswith(end, place))
        end = next(ends, b"")
        if not end:
            place += 1
            continue
        place += len(end)
        if place - start > bound:
            return events, b"", True
        events.append(stream[start:place])
        start = place
    is_over = len(stream) - start > bound
    return events, b"" if is_over else stream[start:], is_over


class TestAgainstPlainSplitter:
    """The events do not depend on how the stream is cut."""

    @given(
        st.lists(st.sampled_from(PARTS), max_size=40),
        st.lists(st.integers(0, 200), max_size=20),
        st.integers(1, 60),
    )
    @settings(max_examples=500)
    def test_random_cuts_and_bounds(
        self, parts: list[bytes], cuts: list[int], bound: int
    ) -> None:
        stream = b"".join(parts)
        splitter = EventSplitter()
        events: list[bytes] = []
        places = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
        with patch.object(event_splitter, "MAX_EVENT_BYTES", bound):
            for start, end in itertools.pairwise(places):
                found = split_events(splitter, stream[start:end])
                events += [event.data for event in found]
        is_over = splitter.over_bound_bytes > 0
        assert (events, bytes(splitter.rest), is_over) == plain_split(stream, bound)


class TestWork:
    """Work and memory for bytes without the end of an event."""

    @pytest.mark.parametrize("megabytes", [1, 10, 100])
    def test_time_for_bytes_without_end_grows_as_they_do(self, megabytes: int) -> None:
        splitter = EventSplitter()
        split_in_time(splitter, b"x" * PIECE_BYTES, megabytes * MEGABYTE)
        assert len(splitter.rest) <= BOUND_BYTES

    @pytest.mark.parametrize("size", [PACKET_BYTES, PIECE_BYTES])
    def test_one_large_event_is_not_searched_for_each_piece(self, size: int) -> None:
        splitter = EventSplitter()
        split_in_time(splitter, b"x" * size, BOUND_BYTES - size)
        (event,) = split_events(splitter, b"\n\n")
        assert len(event.data) > BOUND_BYTES - 2 * size

    @pytest.mark.parametrize("megabytes", [1, 10, 100])
    def test_time_for_whole_events_grows_as_they_do(self, megabytes: int) -> None:
        piece = (b"id: 1\ndata: %b\n\n" % (b"x" * 1_000)) * 64
        splitter = EventSplitter()
        events = split_in_time(splitter, piece, megabytes * MEGABYTE)
        assert events >= megabytes * MEGABYTE / len(piece) * 64
