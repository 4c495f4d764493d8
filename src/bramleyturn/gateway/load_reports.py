"""Tell other instances the loads of servers, within the heartbeats.

A report is passed on with its age, so that it goes from instance to instance while it
is fresh. A malformed row is dropped alone and counted.
"""

from collections.abc import Sequence
from itertools import chain
from typing import Any, Final, NamedTuple

import orjson

from bramleyturn.core.balance.outcomes import (
    MAX_OUTCOME_ID,
    MAX_OUTCOMES,
    OUTCOME_TTL_MS,
    Outcome,
    has_errors,
    newest,
)
from bramleyturn.core.balance.speeds import note_told, own_pace_percent
from bramleyturn.core.balance.state import (
    REPORT_TTL_MS,
    RunState,
    ServerReport,
    note_report,
    run_state,
)
from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.token_bucket import TokenBucket, refill
from bramleyturn.gateway.balance import note_outcomes, note_uneven_pool, update_paces
from bramleyturn.gateway.metrics import count
from bramleyturn.gateway.serving import Serving

MAX_ROWS: Final = 12
# Names may be long, and a datagram has the heartbeats beside its rows.
MAX_ROWS_BYTES: Final = 1_200
# Beside what else control may take of 5 KB a second.
LOAD_BYTES_PER_S: Final = 4_300
BURST_BYTES: Final = 2_000
# So many of a heartbeat's receivers get all rows: more don't fit in the bytes a second.
FULL_TARGETS: Final = 3
# Rows with errors go to all receivers of a heartbeat, as many as these.
MAX_URGENT_ROWS: Final = 2
# A report ages by this with each instance, so that none is refreshed by being passed on
# in circles.
TOLD_AGE_MS: Final = 50
MAX_FIGURE: Final = 10**6
MAX_PACE_PERCENT: Final = 10_000
OUTCOME_FIGURES: Final = 3

Told = list[tuple[Sequence[str], dict[str, Any]]]


class LoadRow(NamedTuple):
    """Hold what an instance tells of a run of a server.

    ``pace_percent`` is 0 if none was learned. ``outcomes`` has the id, 1 for an error,
    and the age of the newest answers, and is empty without errors.
    """

    run: str
    running: int
    waiting: int
    slots: int
    pace_percent: int
    age_ms: int
    outcomes: tuple[int, ...] = ()


class LoadReports:
    """Hold the bytes that reports of loads may take."""

    def __init__(self, now_ms: int) -> None:
        self.bucket = TokenBucket(float(BURST_BYTES), now_ms)


def tell_loads(
    serving: Serving, reports: LoadReports, addresses: Sequence[str]
) -> Told:
    """Return the receivers of a heartbeat in groups, with the field for each."""
    if not serving.balance.uneven:
        return [(addresses, {})]
    update_paces(serving)
    rows = choose_rows(serving)
    urgent = [row for row in rows if row.outcomes][:MAX_URGENT_ROWS]
    bucket = reports.bucket
    refill(bucket, LOAD_BYTES_PER_S, BURST_BYTES, serving.now_ms())
    told: Told = []
    left = list(addresses)
    full_targets = 1 if urgent else FULL_TARGETS
    for group, most in ((rows, full_targets), (urgent, len(left))):
        if not group:
            continue
        sent = [_encode(row) for row in group]
        size = len(orjson.dumps(sent))
        number = min(most, len(left), int(bucket.tokens / size))
        bucket.tokens -= number * size
        told.append((left[:number], {"server_loads": sent}))
        left = left[number:]
        count(serving.metrics, "load_bytes_sent", by=number * size)
    return [*told, (left, {})]


def choose_rows(serving: Serving) -> list[LoadRow]:
    """Return what is fresh, first of servers with errors and then the newest first."""
    balance, now_ms = serving.balance, serving.now_ms()
    rows = []
    for pool in balance.uneven:
        runs = map(run_name, serving.ready(pool))
        states = {run: balance.runs[run] for run in runs if run in balance.runs}
        rows += [
            _row(states, run, now_ms)
            for run, state in states.items()
            if _is_fresh(state, now_ms)
        ]
    rows.sort(key=lambda row: (not row.outcomes, row.age_ms))
    fitting: list[LoadRow] = []
    size = 0
    for row in rows[:MAX_ROWS]:
        size += len(orjson.dumps(_encode(row)))
        if size > MAX_ROWS_BYTES:
            break
        fitting.append(row)
    return fitting


def merge_loads(serving: Serving, sender: str, rows: Any) -> None:
    """Record what another instance told of registered servers."""
    if not isinstance(rows, list | tuple):
        count(serving.metrics, "load_rows_malformed")
        return
    for encoded in rows[:MAX_ROWS]:
        row = decode_row(encoded)
        if row is None:
            count(serving.metrics, "load_rows_malformed")
            continue
        entry = serving.registry.entries.get(row.run.rpartition("@")[0])
        if entry is not None and run_name(entry.server) == row.run:
            _merge(serving, sender, entry.server, row)


def decode_row(encoded: Any) -> LoadRow | None:
    """Decode a row; return None if it is malformed.

    Further figures, of later builds, are ignored.
    """
    if not isinstance(encoded, list) or len(encoded) < len(LoadRow._fields) - 1:
        return None
    run, *figures = encoded[:6]
    outcomes = encoded[6] if len(encoded) > len(LoadRow._fields) - 1 else []
    if not isinstance(run, str) or not isinstance(outcomes, list):
        return None
    outcomes = outcomes[: MAX_OUTCOMES * OUTCOME_FIGURES]
    if any(
        type(figure) is not int or not 0 <= figure <= MAX_FIGURE
        for figure in chain(figures, outcomes)
    ):
        return None
    running, waiting, slots, percent, age_ms = figures
    row = LoadRow(run, running, waiting, slots, percent, age_ms, tuple(outcomes))
    is_whole = len(outcomes) % OUTCOME_FIGURES == 0
    return row if is_whole and row.pace_percent <= MAX_PACE_PERCENT else None


def _encode(row: LoadRow) -> list[Any]:
    return list(row) if row.outcomes else list(row[:-1])


def _merge(serving: Serving, sender: str, server: BackendServer, row: LoadRow) -> None:
    now_ms, balance = serving.now_ms(), serving.balance
    note_uneven_pool(serving, server.pool, sender)
    age_ms = row.age_ms + TOLD_AGE_MS
    if age_ms <= REPORT_TTL_MS:
        report = ServerReport(
            row.running, row.waiting, row.slots, now_ms - age_ms, row.pace_percent
        )
        if note_report(balance, row.run, report) and row.pace_percent:
            note_told(run_state(balance, row.run).pace, row.pace_percent)
    told = (row.outcomes[place::OUTCOME_FIGURES] for place in range(OUTCOME_FIGURES))
    outcomes = [
        Outcome(outcome_id % MAX_OUTCOME_ID, bool(is_error), now_ms - each_ms)
        for outcome_id, is_error, age in zip(*told, strict=True)
        if (each_ms := age + TOLD_AGE_MS) <= OUTCOME_TTL_MS
    ]
    if outcomes:
        note_outcomes(serving, server, outcomes)


def _is_fresh(state: RunState, now_ms: int) -> bool:
    report = state.report
    is_reported = report is not None and now_ms - report.at_ms <= REPORT_TTL_MS
    return is_reported or has_errors(state.outcomes, now_ms)


def _row(states: dict[str, RunState], run: str, now_ms: int) -> LoadRow:
    state = states[run]
    outcomes: tuple[int, ...] = ()
    if has_errors(state.outcomes, now_ms):
        outcomes = tuple(
            figure
            for each in newest(state.outcomes)
            for figure in (each.outcome_id, int(each.is_error), now_ms - each.at_ms)
        )
    # Without a report the row is one that is too old to count.
    report = state.report or ServerReport(0, 0, 0, now_ms - REPORT_TTL_MS)
    age_ms = min(MAX_FIGURE, max(0, now_ms - report.at_ms))
    percent = report.told_percent
    if percent is None:
        percent = own_pace_percent(
            {key: each.pace for key, each in states.items()}, run
        )
    return LoadRow(
        run, report.running, report.waiting, report.slots, percent, age_ms, outcomes
    )
