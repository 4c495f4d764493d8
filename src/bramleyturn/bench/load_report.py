"""Summarise a load by pipeline and stage."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

from bramleyturn.bench.verdicts import Fault, Finished, Outcome, Verdict

LOWEST_MS: Final = 1
HIGHEST_MS: Final = 600_000
SIGNIFICANT_DIGITS: Final = 3
MAX_FAULTS_SHOWN: Final = 20
PERCENTILES: Final = (50, 90, 99)


class PipelineSummary(TypedDict):
    """Count the requests of one pipeline by outcome and fault."""

    sent: int
    answered_in_deadline: int
    answered_late: int
    not_run: int
    failed: int
    unknown: int
    refused: int
    lost: int
    doubled: int
    cut: int
    crossed: int
    false_not_run: int
    elapsed_ms: dict[str, int]


class StageSummary(TypedDict):
    """Summarise the times and cost of one stage over all answers."""

    runs: int
    attempts: int
    cost_micros: int
    elapsed_ms: dict[str, int]


class Summary(TypedDict):
    """Summarise one load."""

    pipelines: dict[str, PipelineSummary]
    stages: dict[str, StageSummary]
    faults: list[str]
    reasons: dict[str, int]


class Progress(NamedTuple):
    """Count requests while a load runs."""

    sent: int
    ended: Counter[Outcome]


def summarise(finished: Sequence[Finished], verdicts: Sequence[Verdict]) -> Summary:
    """Return the summary of a load."""
    names = sorted({request.pipeline for request in finished})
    return Summary(
        pipelines={name: _pipeline(name, finished, verdicts) for name in names},
        stages=_stages(finished),
        faults=[_fault_line(verdict) for verdict in verdicts],
        reasons=dict(_reasons(finished).most_common()),
    )


def progress_line(progress: Progress, passed_ms: int) -> str:
    """Format the progress of a running load as one line."""
    ended = progress.ended
    counts = " ".join(
        f"{outcome.value} {ended[outcome]}"
        for outcome in Outcome
        if ended[outcome] or outcome is Outcome.ANSWERED
    )
    running = progress.sent - ended.total()
    return (
        f"{passed_ms / 1000:5.1f} s  sent {progress.sent}  running {running}  {counts}"
    )


def format_summary(summary: Summary) -> str:
    """Format the summary for a terminal."""
    sections = [
        _pipeline_table(summary["pipelines"]),
        _stage_table(summary["stages"]),
    ]
    if summary["reasons"]:
        sections.append(_reason_lines(summary["reasons"]))
    if summary["faults"]:
        sections.append(_fault_lines(summary["faults"]))
    else:
        sections.append("No answer was lost, doubled, cut or crossed.")
    return "\n\n".join(sections)


def _pipeline(
    name: str, finished: Sequence[Finished], verdicts: Sequence[Verdict]
) -> PipelineSummary:
    requests = [request for request in finished if request.pipeline == name]
    outcomes = Counter(request.outcome for request in requests)
    faults = Counter(verdict.fault for verdict in verdicts if verdict.pipeline == name)
    in_deadline = sum(_in_deadline(request) for request in requests)
    return PipelineSummary(
        sent=len(requests),
        answered_in_deadline=in_deadline,
        answered_late=outcomes[Outcome.ANSWERED] - in_deadline,
        not_run=outcomes[Outcome.NOT_RUN],
        failed=outcomes[Outcome.FAILED],
        unknown=outcomes[Outcome.UNKNOWN],
        refused=outcomes[Outcome.REFUSED],
        lost=faults[Fault.LOST],
        doubled=faults[Fault.DOUBLED],
        cut=faults[Fault.CUT],
        crossed=faults[Fault.CROSSED],
        false_not_run=faults[Fault.FALSE_NOT_RUN],
        elapsed_ms=percentiles(
            request.elapsed_ms
            for request in requests
            if request.outcome is Outcome.ANSWERED
        ),
    )


def _in_deadline(request: Finished) -> bool:
    answered = request.outcome is Outcome.ANSWERED
    return answered and request.elapsed_ms <= request.deadline_ms


def _stages(finished: Sequence[Finished]) -> dict[str, StageSummary]:
    names = sorted(
        {(request.pipeline, stage) for request in finished for stage in request.stages}
    )
    return {f"{name}.{stage}": _stage(name, stage, finished) for name, stage in names}


def _stage(pipeline: str, stage: str, finished: Sequence[Finished]) -> StageSummary:
    costs = [
        request.stages[stage]
        for request in finished
        if request.pipeline == pipeline and stage in request.stages
    ]
    return StageSummary(
        runs=len(costs),
        attempts=sum(cost.attempts for cost in costs),
        cost_micros=sum(cost.cost_micros for cost in costs),
        elapsed_ms=percentiles(cost.elapsed_ms for cost in costs if cost.attempts),
    )


def percentiles(values_ms: Iterable[int]) -> dict[str, int]:
    """Return the percentiles and the maximum, or nothing without values."""
    histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
    recorded = 0
    for value_ms in values_ms:
        histogram.record_value(min(max(value_ms, LOWEST_MS), HIGHEST_MS))
        recorded += 1
    if not recorded:
        return {}
    found = {
        f"p{percent}": int(histogram.get_value_at_percentile(percent))
        for percent in PERCENTILES
    }
    return {**found, "max": int(histogram.get_max_value())}


def _reasons(finished: Sequence[Finished]) -> Counter[str]:
    return Counter(
        f"{request.pipeline} {request.outcome.value}: {request.reason}"
        for request in finished
        if request.outcome is not Outcome.ANSWERED
    )


def _fault_line(verdict: Verdict) -> str:
    return (
        f"{verdict.pipeline} request {verdict.number}: "
        f"{verdict.fault.value}: {verdict.detail}"
    )


def _pipeline_table(pipelines: dict[str, PipelineSummary]) -> str:
    headers = (
        "pipeline",
        "sent",
        "in deadline",
        "late",
        "not run",
        "failed",
        "unknown",
        "refused",
        "lost",
        "doubled",
        "cut",
        "crossed",
        "false not run",
        *_percentile_headers(),
    )
    rows = [
        (
            name,
            str(row["sent"]),
            str(row["answered_in_deadline"]),
            str(row["answered_late"]),
            str(row["not_run"]),
            str(row["failed"]),
            str(row["unknown"]),
            str(row["refused"]),
            str(row["lost"]),
            str(row["doubled"]),
            str(row["cut"]),
            str(row["crossed"]),
            str(row["false_not_run"]),
            *_percentile_cells(row["elapsed_ms"]),
        )
        for name, row in pipelines.items()
    ]
    return _table(headers, rows)


def _stage_table(stages: dict[str, StageSummary]) -> str:
    headers = ("stage", "runs", "attempts", "cost micros", *_percentile_headers())
    rows = [
        (
            name,
            str(row["runs"]),
            str(row["attempts"]),
            str(row["cost_micros"]),
            *_percentile_cells(row["elapsed_ms"]),
        )
        for name, row in stages.items()
    ]
    return _table(headers, rows)


def _percentile_headers() -> tuple[str, ...]:
    return (*(f"p{percent} ms" for percent in PERCENTILES), "max ms")


def _percentile_cells(found: dict[str, int]) -> tuple[str, ...]:
    names = (*(f"p{percent}" for percent in PERCENTILES), "max")
    return tuple(str(found.get(name, "-")) for name in names)


def _reason_lines(reasons: dict[str, int]) -> str:
    return "\n".join(
        ["Not answered", *(f"{times:6} {reason}" for reason, times in reasons.items())]
    )


def _fault_lines(faults: list[str]) -> str:
    shown = faults[:MAX_FAULTS_SHOWN]
    hidden = len(faults) - len(shown)
    more = [f"... and {hidden} more"] if hidden else []
    return "\n".join([f"Faults: {len(faults)}", *shown, *more])


def _table(headers: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(headers, *rows, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if place == 0 else cell.rjust(width)
            for place, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in (headers, *rows)
    )
