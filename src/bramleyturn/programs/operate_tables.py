"""Format answers of the administration API as tables."""

from collections.abc import Iterable, Sequence
from typing import Any, Final

from bramleyturn.core.fault import printable

MICROS_PER_UNIT: Final = 1_000_000
UNKNOWN: Final = "?"

Document = dict[str, Any]


def table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return aligned columns; numeric ones are right-aligned."""
    lines = [list(heads), *([cell_text(cell) for cell in row] for row in rows)]
    numeric = [all(line[i].isdigit() for line in lines[1:]) for i in range(len(heads))]
    widths = [max(len(line[i]) for line in lines) for i in range(len(heads))]
    return "\n".join(
        "  ".join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, numeric, strict=True)
        ).rstrip()
        for line in lines
    )


def cell_text(cell: object) -> str:
    """Return a cell as printable text."""
    if cell is None:
        return UNKNOWN
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return printable(str(cell))


def status_text(document: Document) -> str:
    """Return the processes of a zone and the problems to look into."""
    rows = [status_row(process) for process in document["processes"]]
    heads = ("PROCESS", "ROLE", "STATE", "REVISION", "RUNNING", "ATTEMPTS", "KEPT")
    problems = document["problems"] or ["none"]
    return "\n".join(
        [
            f"availability zone {document['zone']}, revision {document['revision']}",
            table(heads, rows),
            *(f"problem: {printable(problem)}" for problem in problems),
        ]
    )


def status_row(process: Document) -> tuple[object, ...]:
    """Return the table row of one process."""
    status = process["status"] or {}
    state = process["state"]
    if not process["is_reachable"]:
        state = "unreachable"
    elif status.get("is_draining"):
        state = "draining"
    return (
        process["name"],
        process["role"],
        state,
        status.get("revision"),
        status.get("running_requests", ""),
        status.get("running_attempts", ""),
        status.get("kept_outcomes", ""),
    )


def cost_text(document: Document) -> str:
    """Return what each workspace has spent, in units of the currency."""
    heads = ("WORKSPACE", "PIPELINE", "STAGE", "ATTEMPTS", "COST", "WASTED")
    rows = [
        (
            row["workspace"],
            row["pipeline"],
            row["stage"],
            row["attempts"],
            money(row["micros"]),
            money(row["wasted_micros"]),
        )
        for row in document["rows"]
    ]
    total = f"total {money(document['total_micros'])} since the entries started"
    return "\n".join([table(heads, rows), total, *unreachable_lines(document)])


def money(micros: int) -> str:
    """Return millionths as an amount in the currency unit."""
    return f"{micros // MICROS_PER_UNIT}.{micros % MICROS_PER_UNIT:06d}"


def servers_text(document: Document) -> str:
    """Return the backend servers and which entries have ejected them."""
    heads = ("SERVER", "POOL", "ZONE", "IN FLIGHT", "LEAVING", "EJECTED BY")
    rows = [
        (
            server["name"],
            server["pool"],
            server["zone"],
            server["in_flight"],
            any(seen["is_leaving"] for seen in server["seen_by"]),
            ", ".join(seen["entry"] for seen in server["seen_by"] if seen["is_ejected"])
            or "-",
        )
        for server in document["servers"]
    ]
    return "\n".join([table(heads, rows), *unreachable_lines(document)])


def unreachable_lines(document: Document) -> list[str]:
    """Return a line for each process that is missing from an answer."""
    return [f"unreachable, not counted: {name}" for name in document["unreachable"]]
