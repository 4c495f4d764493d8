"""Compare what callers saw around planned stops with the servers' ledgers and the logs.

Times are of the day, in milliseconds.
"""

import json
import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from tests.site.rolling_callers import Attempt

# Attempts that are judged: sent from this long before SIGTERM to this long after it.
BEFORE_MS: Final = 3_000
AFTER_MS: Final = 9_000
# A request that crosses the close of its connection ends within this time.
CROSSING_MS: Final = 200
# Attempts sent up to this long after SIGTERM may still run at the end of the grace.
EARLY_MS: Final = 3_000
# An answer is due this long before the deadline or the route's timeout.
DEADLINE_MARGIN_MS: Final = 60
# The reset of a crash destroys what a server sent this long before.
IN_FLIGHT_MS: Final = 200
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
BROKEN_ENDS: Final = ("cut", "closed", "reset")
STOPPED_IDLE: Final = re.compile(r'"event":"stopped","in_progress":0\b')


class Stop(NamedTuple):
    """Hold one planned stop of an entry process, ``killed_ms`` 0 if it ended itself."""

    entry: str
    how: str
    sigterm_ms: int
    exited_ms: int
    exit_code: int
    killed_ms: int = 0


class Run(NamedTuple):
    """Hold one run of a request at a server, ``ended_ms`` None if it has not ended."""

    server: str
    began_ms: int
    ended_ms: int | None
    is_whole: bool
    crashed_ms: int | None


class Lost(NamedTuple):
    """Hold one attempt that ended without a whole answer around a planned stop."""

    kind: str
    attempt: Attempt
    stop: Stop
    timeline: list[str]


class Records(NamedTuple):
    """Hold the runs and the stage calls of each attempt."""

    runs: dict[str, list[Run]]
    calls: dict[str, list[tuple[str, dict[str, Any]]]]


def read_ledger(servers: dict[str, Any]) -> Records:
    """Sort the servers' ledgers by attempt."""
    records = Records({}, {})
    for name, server in servers.items():
        for ran in server["ran"]:
            ended_ms = ran["ended_ms"]
            crashes = [
                each
                for each in server["crashes_ms"]
                if ran["began_ms"] <= each <= (ended_ms or each) + IN_FLIGHT_MS
            ]
            run = Run(
                name,
                ran["began_ms"],
                ended_ms,
                ran["is_whole"],
                crashes[0] if crashes else None,
            )
            records.runs.setdefault(ran["attempt_id"], []).append(run)
        for call in server["calls"]:
            for attempt_id in call["attempt_ids"]:
                records.calls.setdefault(attempt_id, []).append((name, call))
    return records


def find_lost(
    attempts: Iterable[Attempt],
    stops: Iterable[Stop],
    records: Records,
    folder: Path,
    grace_ms: int,
) -> list[Lost]:
    """Return the attempts that broke the promise around planned stops."""
    stop_by_entry = {stop.entry: stop for stop in stops}
    lost = []
    for attempt in attempts:
        stop = stop_by_entry.get(attempt.entry)
        if stop is None or attempt.end not in BROKEN_ENDS:
            continue
        after_ms = attempt.sent_ms - stop.sigterm_ms
        if not -BEFORE_MS <= after_ms <= AFTER_MS:
            continue
        kind = _kind(attempt, stop, records, folder, grace_ms)
        if kind:
            timeline = describe(attempt, stop, records, folder)
            lost.append(Lost(kind, attempt, stop, timeline))
    return lost


def _kind(
    attempt: Attempt, stop: Stop, records: Records, folder: Path, grace_ms: int
) -> str:
    """Return how a broken attempt breaks the promise, empty if it does not."""
    took_ms = attempt.ended_ms - attempt.sent_ms
    if took_ms >= attempt.wait_ms - DEADLINE_MARGIN_MS:
        return ""
    runs = records.runs.get(attempt.id, [])
    if runs and runs[-1].crashed_ms is not None:
        return ""
    last_sixth_ms = stop.sigterm_ms + grace_ms * 5 // 6
    was_early = attempt.sent_ms <= stop.sigterm_ms + EARLY_MS
    at_work = [run for run in runs if (run.ended_ms or last_sixth_ms) >= last_sixth_ms]
    if was_early and at_work:
        return ""
    where = "stream" if attempt.first_read_ms else "no answer"
    if runs:
        return f"{where}, at a server"
    calls = records.calls.get(attempt.id, [])
    if calls:
        busy = any(
            (call["ended_ms"] or last_sixth_ms) >= last_sixth_ms for _, call in calls
        )
        return f"{where}, at stages{' in the last sixth' if busy else ''}"
    if attempt.ended_ms - attempt.last_sent_ms <= CROSSING_MS:
        return ""
    log = (folder / f"{attempt.entry}.out").read_text()
    if attempt.id in log:
        return f"{where}, read by the entry"
    if stop.killed_ms and attempt.last_sent_ms >= stop.killed_ms:
        return ""
    # Every request that is read is named at its end, unless the process ends first.
    return "" if STOPPED_IDLE.search(log) else f"{where}, not known to be read"


def describe(attempt: Attempt, stop: Stop, records: Records, folder: Path) -> list[str]:
    """Return what happened to an attempt, in milliseconds after SIGTERM."""
    zero_ms = stop.sigterm_ms
    steps = [
        (attempt.sent_ms, f"caller sends, connection used {attempt.reuse} times"),
        (attempt.last_sent_ms, "caller has sent all"),
        (attempt.first_read_ms, f"caller reads the first byte, {attempt.status}"),
        (attempt.last_read_ms, "caller reads the last byte"),
        (attempt.ended_ms, f"end: {attempt.end}, {len(attempt.body)} bytes of body"),
        (zero_ms, f"SIGTERM ({stop.how})"),
        (stop.killed_ms, "SIGKILL"),
        (stop.exited_ms, f"exit, code {stop.exit_code}"),
    ]
    for run in records.runs.get(attempt.id, []):
        steps.append((run.began_ms, f"{run.server} begins to run"))
        steps.append((run.ended_ms or 0, f"{run.server} ends, whole {run.is_whole}"))
    for name, call in records.calls.get(attempt.id, []):
        what = f"{name}, stage {call['stage']}, {call['pieces']} pieces"
        steps.append((call["arrived_ms"], f"call arrives: {what}"))
        steps.append((call["began_ms"], f"call begins: {what}"))
        steps.append((call["ended_ms"] or 0, f"call ends: {what}"))
    for line in _log_lines(folder, attempt, stop):
        fields = {
            name: value
            for name, value in line.items()
            if name not in ("time_ms", "at_ms", "level", "zone", "request_id")
        }
        steps.append((line["time_ms"], json.dumps(fields)))
    return [f"{at_ms - zero_ms:>7}  {what}" for at_ms, what in sorted(steps) if at_ms]


def _log_lines(folder: Path, attempt: Attempt, stop: Stop) -> Iterator[dict[str, Any]]:
    """Return the entry's lines about its stop, and all entries' about the attempt."""
    for file in sorted(folder.glob("entry-*.out")):
        is_own = file.stem == attempt.entry
        for text in file.read_text().splitlines():
            own_stop = is_own and any(
                f'"event":"{event}"' in text
                for event in ("stopping", "requests ended", "stopped")
            )
            if not own_stop and attempt.id not in text:
                continue
            try:
                line: dict[str, Any] = json.loads(text)
            except ValueError:
                # The process was killed within the line.
                continue
            yield line


def find_broken_promises(attempts: Iterable[Attempt], records: Records) -> list[str]:
    """Return doubled orders, false refusals and streams that are whole but short."""
    broken = []
    for attempt in attempts:
        runs = records.runs.get(attempt.id, [])
        may_repeat = attempt.kind == "idempotent" or attempt.is_resumable
        if not may_repeat and len(runs) > 1:
            broken.append(f"doubled, {len(runs)} runs: {attempt.id} {attempt.route}")
        if attempt.status in NOT_RUN_STATUSES and runs:
            broken.append(f"{attempt.status} and has run: {attempt.id} {attempt.route}")
        is_stream = attempt.kind == "streaming" and attempt.status == 200
        if is_stream and attempt.end == "whole" and not _is_whole_stream(attempt):
            broken.append(f"short and called whole: {attempt.id} {attempt.route}")
    return broken


def _is_whole_stream(attempt: Attempt) -> bool:
    ids = [
        int(line[4:]) for line in attempt.body.split(b"\n") if line.startswith(b"id: ")
    ]
    return ids == list(range(attempt.expected_events))
