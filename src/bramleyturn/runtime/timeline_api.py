"""Serve the timeline of a process."""

from typing import Any

from bramleyturn.core.clock import Clock
from bramleyturn.core.timeline import Timeline, events_after
from bramleyturn.runtime.twisted_types import HttpRequest


def after_argument(request: HttpRequest) -> int:
    """Return the ``after`` query parameter, a sequence number; -1 if it is absent."""
    after = request.args.get(b"after", [b""])[0]
    return int(after) if after.isdigit() else -1


def timeline_document(
    name: str, timeline: Timeline, clock: Clock, after: int, watch: str = ""
) -> dict[str, Any]:
    """Return the kept events and the offset of their times from the wall clock.

    ``watch`` is the address of the watch that the process follows, if any.
    """
    return {
        "process": name,
        "watch": watch,
        "wall_minus_monotonic_ms": clock.wall_ms() - clock.monotonic_ms(),
        "events": [event._asdict() for event in events_after(timeline, after)],
    }
