"""Track how far a caller has received a stream, so that another run can go on there."""

from bramleyturn.core.event_splitter import StreamEvent


class StreamPosition:
    """Hold the id of the last event sent; ``is_known`` if no event without id followed.

    ``last_id`` is None before the first event with an id.
    """

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self.is_known = True


def accept_event(position: StreamPosition, event: StreamEvent) -> bool:
    """Record an event; return whether the caller has not received it yet."""
    if event.id is None:
        position.is_known = False
        return True
    if position.last_id is not None and event.id <= position.last_id:
        return False
    position.last_id = event.id
    position.is_known = True
    return True


def can_resume(position: StreamPosition) -> bool:
    """Return whether another run can go on without a gap or a repetition."""
    return position.is_known and position.last_id is not None
