"""Describe the time line of a process to those who may see it."""

from typing import Any

from bramleyturn.core.clock import Clock
from bramleyturn.core.timeline import Timeline, events_after
from bramleyturn.runtime.twisted_types import HttpRequest


def after_argument(request: HttpRequest) -> int:
    """Return the sequence number after which a reader wants events, -1 for all."""
    after = request.args.get(b"after", [b""])[0]
    return int(after) if after.isdigit() else -1


def timeline_document(
    name: str, timeline: Timeline, clock: Clock, after: int, watch: str = ""
) -> dict[str, Any]:
    """Return the kept events and how to turn their times into wall-clock times.

    ``watch`` is the address of the watch that the process follows, if any.
    """
    return {
        "process": name,
        "watch": watch,
        "wall_minus_monotonic_ms": clock.wall_ms() - clock.monotonic_ms(),
        "events": [event._asdict() for event in events_after(timeline, after)],
    }
