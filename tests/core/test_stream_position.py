"""Test what a resumed stream may be joined to."""

import pytest

from bramleyturn.core.event_splitter import StreamEvent
from bramleyturn.core.stream_position import StreamPosition, accept_event, can_resume


def sent(*ids: int | None) -> StreamPosition:
    """Return the position after events with these ids."""
    position = StreamPosition(None)
    for each in ids:
        accept_event(position, StreamEvent(each, b"data: x\n\n"))
    return position


class TestResumption:
    """Whether another run can go on where a stream was broken off."""

    @pytest.mark.parametrize("ids", [(0,), (1, 2), (1, None, 2)])
    def test_after_an_event_with_an_id(self, ids: tuple[int | None, ...]) -> None:
        assert can_resume(sent(*ids))

    @pytest.mark.parametrize("ids", [(), (None,), (1, None), (1, 2, None, None)])
    def test_not_after_an_event_without_an_id(
        self, ids: tuple[int | None, ...]
    ) -> None:
        assert not can_resume(sent(*ids))


class TestEvents:
    """Whether an event is new to the caller."""

    def test_event_that_was_sent_before_is_dropped(self) -> None:
        position = sent(1, 2)
        new = [
            accept_event(position, StreamEvent(each, b"")) for each in (1, 2, 3, 3, 4)
        ]
        assert new == [False, False, True, False, True]

    def test_events_that_the_caller_names_are_dropped(self) -> None:
        position = StreamPosition(7)
        assert not accept_event(position, StreamEvent(7, b""))
        assert accept_event(position, StreamEvent(8, b""))
