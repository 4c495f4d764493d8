"""Render a merged timeline as text and as an HTML page."""

from collections.abc import Sequence
from datetime import UTC, datetime
from html import escape
from typing import Final

from bramleyturn.core.fault import printable
from bramleyturn.core.timeline_merge import MergedEvent
from bramleyturn.core.units import MS_PER_S

_STYLE: Final = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 1rem; color: #1c1c1c; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eef1f4; text-align: left; }
th, td { border: 1px solid #d4d9de; padding: 2px 8px; vertical-align: top; }
td:first-child { white-space: nowrap; font-variant-numeric: tabular-nums; }
td b { font-weight: 600; }
td small { color: #555; overflow-wrap: anywhere; }
input { font: inherit; width: 24rem; padding: 2px 6px; }
"""

_SCRIPT: Final = """
const box = document.getElementById("request");
const rows = Array.from(document.querySelectorAll("tbody tr"));
function show() {
  const wanted = box.value.trim();
  for (const row of rows)
    row.hidden = wanted !== "" && !row.dataset.requests.split(" ").includes(wanted);
}
box.addEventListener("input", show);
show();
"""


def timeline_text(events: Sequence[MergedEvent]) -> str:
    """Return one line of text for each event."""
    width = max((len(event.process) for event in events), default=0)
    return "".join(
        f"{clock_time(event.shown_ms)}  {event.process.ljust(width)}  "
        f"{describe_event(event)}\n"
        for event in events
    )


def describe_event(event: MergedEvent) -> str:
    """Describe what happened, without the time and the process."""
    named = (
        ("request", event.request_id),
        ("stage", event.stage),
        ("attempt", event.attempt_id),
    )
    parts = [event.kind]
    parts += [f"{name}={printable(value)}" for name, value in named if value]
    if event.detail:
        parts.append(f"({printable(event.detail)})")
    return " ".join(parts)


def clock_time(at_ms: int) -> str:
    """Format a wall-clock time in UTC, to the millisecond."""
    at = datetime.fromtimestamp(at_ms // MS_PER_S, UTC)
    return f"{at:%Y-%m-%dT%H:%M:%S}.{at_ms % MS_PER_S:03d}Z"


def timeline_page(events: Sequence[MergedEvent], request_id: str = "") -> str:
    """Return one self-contained HTML page with a column for each process.

    ``request_id`` is the initial value of the page's filter.
    """
    processes = sorted({event.process for event in events})
    owners = _requests_of_attempts(events)
    heads = "".join(f'<th scope="col">{escape(name)}</th>' for name in processes)
    rows = "\n".join(_row(event, processes, owners) for event in events)
    return f"""<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Timeline of bramleyturn</title>
<style>{_STYLE}</style>
</head>
<body>
<h1>Timeline</h1>
<p>{len(events)} events of {len(processes)} processes, each after what caused it.
Times are UTC, corrected for clocks that differ.</p>
<p><label>Only request <input id="request" value="{escape(request_id)}"></label></p>
<table>
<thead><tr><th scope="col">time</th>{heads}</tr></thead>
<tbody>
{rows}
</tbody>
</table>
<script>{_SCRIPT}</script>
</body>
</html>
"""


def _requests_of_attempts(events: Sequence[MergedEvent]) -> dict[str, str]:
    """Return the request that each attempt belongs to."""
    return {
        event.attempt_id: event.request_id
        for event in events
        if event.attempt_id and event.request_id
    }


def _row(event: MergedEvent, processes: Sequence[str], owners: dict[str, str]) -> str:
    """Return the table row of an event, in the column of its process."""
    request_id = event.request_id or owners.get(event.attempt_id, "")
    cells = "".join(
        f"<td>{_cell(event) if name == event.process else ''}</td>"
        for name in processes
    )
    time = clock_time(event.shown_ms)
    title = f"by the clock of its process: {clock_time(event.wall_ms)}"
    return (
        f'<tr data-requests="{escape(request_id)}">'
        f'<td title="{escape(title)}">{time}</td>{cells}</tr>'
    )


def _cell(event: MergedEvent) -> str:
    """Return what happened, as HTML."""
    kind, _, rest = describe_event(event).partition(" ")
    return f"<b>{escape(kind)}</b> <small>{escape(rest)}</small>"
