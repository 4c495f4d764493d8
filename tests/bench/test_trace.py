"""Tests of trace files."""

from pathlib import Path

import orjson
import pytest

from bramleyturn.bench.trace import (
    BadTrace,
    Trace,
    TraceHeader,
    TraceRequest,
    parse_trace,
    trace_lines,
    write_trace,
)

TRACE = Trace(
    TraceHeader("lakeshore", 7, 60, 2_000, {"attainment": 0.9}),
    (
        TraceRequest(5, "lessons", "lesson-draft", 400, 80, "unit-1", True, 8_000),
        TraceRequest(9, "rosters", "roster-signup", 30, 1, "", False, 4_000),
    ),
)


def changed(line: int, **fields: object) -> bytes:
    """Return the trace with some fields of a line changed; None removes one."""
    lines = [orjson.loads(item) for item in trace_lines(TRACE)]
    lines[line - 1].update(fields)
    kept = {name: value for name, value in lines[line - 1].items() if value is not None}
    lines[line - 1] = kept
    return b"\n".join(orjson.dumps(item) for item in lines)


class TestRoundTrip:
    def test_written_trace_is_read_back(self, tmp_path: Path) -> None:
        path = tmp_path / "trace.jsonl"
        write_trace(path, TRACE)
        assert parse_trace(path.read_bytes()) == TRACE


class TestFaults:
    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            (b"", BadTrace(1, "the trace is empty")),
            (b"[]", BadTrace(1, "not an object")),
            (
                changed(1, format="other"),
                BadTrace(1, "format must be bramleyturn-trace-1"),
            ),
            (changed(2, deadline_ms=None), BadTrace(2, "deadline_ms is missing")),
            (changed(3, size=1), BadTrace(3, "size is unknown")),
            (changed(3, repeatable=1), BadTrace(3, "repeatable must be bool")),
            (changed(3, input_tokens=1.5), BadTrace(3, "input_tokens must be int")),
            (
                changed(2, output_tokens=-1),
                BadTrace(2, "output_tokens must not be negative"),
            ),
            (
                changed(3, arrival_ms=1),
                BadTrace(3, "arrival_ms is before that of the line above"),
            ),
        ],
    )
    def test_is_reported_with_its_line(self, text: bytes, expected: BadTrace) -> None:
        assert parse_trace(text) == expected

    def test_invalid_json(self) -> None:
        result = parse_trace(b"{")
        assert isinstance(result, BadTrace)
        assert result.reason.startswith("not JSON")
