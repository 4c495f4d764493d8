"""Serve the time line of a process."""

from typing import Any

from klein import Klein

from bramleyturn.core.clock import Clock
from bramleyturn.core.timeline import Timeline, events_after
from bramleyturn.runtime.http_server import json_answer
from bramleyturn.runtime.twisted_types import HttpRequest


def timeline_api(app: Klein, name: str, timeline: Timeline, clock: Clock) -> None:
    """Add the route of the time line to ``app``."""

    @app.route("/v1/timeline", methods=["GET"])
    def events(request: HttpRequest) -> bytes:
        after = request.args.get(b"after", [b""])[0]
        sequence = int(after) if after.isdigit() else -1
        return json_answer(request, timeline_document(name, timeline, clock, sequence))


def timeline_document(
    name: str, timeline: Timeline, clock: Clock, after: int
) -> dict[str, Any]:
    """Return the kept events and how to turn their times into wall-clock times."""
    return {
        "process": name,
        "wall_minus_monotonic_ms": clock.wall_ms() - clock.monotonic_ms(),
        "events": [event._asdict() for event in events_after(timeline, after)],
    }
