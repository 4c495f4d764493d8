"""Summarise the status reports of the processes of one availability zone."""

from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

from bramleyturn.core.cost import CostRow

STALE_READ_MS: Final = 30_000


class ProcessReport(NamedTuple):
    """Hold the status that one process returned, or why there is none.

    ``document`` is None for a process that gave no usable answer.
    """

    name: str
    role: str
    address: str
    state: str
    document: dict[str, Any] | None
    detail: str


def describe_process(report: ProcessReport) -> dict[str, Any]:
    """Return a process with its status, for the admin API."""
    return {
        "name": report.name,
        "role": report.role,
        "address": report.address,
        "state": report.state,
        "is_reachable": report.document is not None,
        "detail": report.detail,
        "status": report.document,
    }


def unreachable_names(reports: Iterable[ProcessReport]) -> list[str]:
    """Return the names of the processes that gave no usable answer."""
    return sorted(report.name for report in reports if report.document is None)


def find_problems(reports: Sequence[ProcessReport]) -> list[str]:
    """Return the problems that an operator should look into, as text."""
    if not reports:
        return ["no process of this availability zone is listed"]
    newest = max(map(_revision, reports))
    problems = [line for report in reports for line in _process_problems(report)]
    problems += [
        f"{report.name} holds revision {_revision(report)}, others {newest}"
        for report in reports
        if report.document is not None and _revision(report) < newest
    ]
    if not any(
        report.role == "entry" and _takes_requests(report) for report in reports
    ):
        problems.append("no entry process takes requests")
    return problems


def _revision(report: ProcessReport) -> int:
    """Return the revision in force in a process, 0 if unknown."""
    revision = (report.document or {}).get("revision")
    return revision if isinstance(revision, int) else 0


def _takes_requests(report: ProcessReport) -> bool:
    """Return whether an entry process is reachable and not draining."""
    return report.document is not None and not report.document.get("is_draining")


def _process_problems(report: ProcessReport) -> Iterable[str]:
    """Yield the problems of one process, without comparing it to others."""
    document = report.document
    if document is None:
        yield f"{report.name} is unreachable: {report.detail}"
        return
    if _revision(report) == 0:
        yield f"{report.name} has no configuration"
    if document.get("is_draining"):
        yield f"{report.name} is draining"
    for refused in document.get("refused", ()):
        if refused["revision"] >= _revision(report):
            yield f"{report.name} refused revision {refused['revision']}"
    for key in ("platform_age_ms", "instances_age_ms"):
        age_ms = document.get(key, 0)
        if age_ms is None or age_ms > STALE_READ_MS:
            yield f"{report.name} has not read the platform lately: {key} {age_ms}"


def sum_cost(reports: Iterable[ProcessReport]) -> list[CostRow]:
    """Sum the cost of the zone by workspace, pipeline and stage."""
    sums: dict[tuple[str, str, str], CostRow] = {}
    for report in reports:
        for row in (report.document or {}).get("rows", ()):
            item = CostRow(*(row[name] for name in CostRow._fields))
            key = (item.workspace, item.pipeline, item.stage)
            old = sums.get(key, CostRow(*key, 0, 0, 0, 0))
            sums[key] = CostRow(
                *key,
                attempts=old.attempts + item.attempts,
                micros=old.micros + item.micros,
                wasted_attempts=old.wasted_attempts + item.wasted_attempts,
                wasted_micros=old.wasted_micros + item.wasted_micros,
            )
    return [sums[key] for key in sorted(sums)]


def server_rows(reports: Iterable[ProcessReport]) -> list[dict[str, Any]]:
    """Return the backend servers, each with its state as seen by each entry."""
    rows: dict[str, dict[str, Any]] = {}
    for report in reports:
        for server in (report.document or {}).get("servers", ()):
            row = rows.setdefault(
                server["name"],
                {
                    "name": server["name"],
                    "pool": server["pool"],
                    "zone": server["zone"],
                    "in_flight": 0,
                    "seen_by": [],
                },
            )
            row["in_flight"] += server["in_flight"]
            row["seen_by"].append(
                {
                    "entry": report.name,
                    "in_flight": server["in_flight"],
                    "is_leaving": server["is_leaving"],
                    "is_ejected": server["is_ejected"],
                }
            )
    return [rows[name] for name in sorted(rows)]


def request_rows(reports: Iterable[ProcessReport]) -> list[dict[str, Any]]:
    """Return the running and kept requests with the entry that holds each."""
    return [
        {"entry": report.name, **request}
        for report in reports
        for request in (report.document or {}).get("requests", ())
    ]
