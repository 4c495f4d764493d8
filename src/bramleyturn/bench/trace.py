"""Read and write traces: a header line, then one JSON line for each request."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final, NamedTuple

import orjson

FORMAT: Final = "bramleyturn-trace-1"


class TraceHeader(NamedTuple):
    """Describe a trace and the expected results of its replay.

    ``stated`` holds the minimum of ``attainment`` and the maximum of ``wasted`` and
    ``offered`` in a replay without faults. Any key may be absent.
    """

    user: str
    seed: int
    load_percent: int
    duration_ms: int
    stated: dict[str, float]


class TraceRequest(NamedTuple):
    """Describe one request of a trace.

    ``prefix_group`` names the prompt prefix that requests share. ``repeatable``
    is false for a request that needs a ticket.
    """

    arrival_ms: int
    workspace: str
    pipeline: str
    input_tokens: int
    output_tokens: int
    prefix_group: str
    repeatable: bool
    deadline_ms: int


class Trace(NamedTuple):
    """Hold a header and its requests in the order of their arrival."""

    header: TraceHeader
    requests: tuple[TraceRequest, ...]


class BadTrace(NamedTuple):
    """Report the first invalid line of a trace and the reason."""

    line: int
    reason: str


def trace_lines(trace: Trace) -> Iterable[bytes]:
    """Return the lines of a trace."""
    header = {"format": FORMAT, **trace.header._asdict()}
    yield orjson.dumps(header) + b"\n"
    for request in trace.requests:
        yield orjson.dumps(request._asdict()) + b"\n"


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace to a file."""
    path.write_bytes(b"".join(trace_lines(trace)))


def parse_trace(text: bytes) -> Trace | BadTrace:
    """Parse a trace file, or return its first fault."""
    lines = text.splitlines()
    if not lines:
        return BadTrace(1, "the trace is empty")
    header = _parse_header(lines[0])
    if isinstance(header, BadTrace):
        return header
    requests: list[TraceRequest] = []
    for number, line in enumerate(lines[1:], start=2):
        request = _parse_request(number, line)
        if isinstance(request, BadTrace):
            return request
        if requests and request.arrival_ms < requests[-1].arrival_ms:
            return BadTrace(number, "arrival_ms is before that of the line above")
        requests.append(request)
    return Trace(header, tuple(requests))


def _parse_header(line: bytes) -> TraceHeader | BadTrace:
    fields = _parse_fields(1, line)
    if isinstance(fields, BadTrace):
        return fields
    if fields.pop("format", None) != FORMAT:
        return BadTrace(1, f"format must be {FORMAT}")
    faulty = _faulty_field(fields, TraceHeader.__annotations__)
    return BadTrace(1, faulty) if faulty else TraceHeader(**fields)


def _parse_request(number: int, line: bytes) -> TraceRequest | BadTrace:
    fields = _parse_fields(number, line)
    if isinstance(fields, BadTrace):
        return fields
    faulty = _faulty_field(fields, TraceRequest.__annotations__)
    return BadTrace(number, faulty) if faulty else TraceRequest(**fields)


def _parse_fields(number: int, line: bytes) -> dict[str, Any] | BadTrace:
    try:
        fields = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        return BadTrace(number, f"not JSON: {error}")
    return fields if isinstance(fields, dict) else BadTrace(number, "not an object")


def _faulty_field(fields: dict[str, Any], types: dict[str, type]) -> str:
    missing = sorted(types.keys() - fields.keys())
    if missing:
        return f"{missing[0]} is missing"
    unknown = sorted(fields.keys() - types.keys())
    if unknown:
        return f"{unknown[0]} is unknown"
    for name, value in fields.items():
        wanted: type = dict if name == "stated" else types[name]
        if type(value) is not wanted:
            return f"{name} must be {wanted.__name__}"
        if isinstance(value, int) and name != "seed" and value < 0:
            return f"{name} must not be negative"
    return ""
