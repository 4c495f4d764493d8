"""Tests of splitting a byte stream into events."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from bramleyturn.core.event_splitter import EventSplitter, split_events

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
