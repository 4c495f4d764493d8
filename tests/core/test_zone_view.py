"""Tests of summarising the processes of a zone."""

from typing import Any

import pytest

from bramleyturn.core.zone_view import (
    ProcessReport,
    find_problems,
    server_rows,
    sum_cost,
    unreachable_names,
)

ENTRY: dict[str, Any] = {"revision": 7, "is_draining": False}
WATCH: dict[str, Any] = {
    "revision": 7,
    "refused": [],
    "platform_age_ms": 10,
    "instances_age_ms": 10,
}


def report(name: str, document: dict[str, Any] | None) -> ProcessReport:
    role = name.partition("-")[0]
    detail = "" if document is not None else "timed_out"
    return ProcessReport(name, role, "127.0.0.1:1", "live", document, detail)


class TestProblems:
    def test_no_problems(self) -> None:
        assert find_problems([report("entry-1", ENTRY), report("watch-1", WATCH)]) == []

    @pytest.mark.parametrize(
        ("name", "document", "expected"),
        [
            ("entry-2", None, "entry-2 is unreachable: timed_out"),
            ("entry-2", {**ENTRY, "is_draining": True}, "entry-2 is draining"),
            ("entry-2", {**ENTRY, "revision": 6}, "holds revision 6, others 7"),
            ("watch-2", {**WATCH, "revision": 0}, "watch-2 has no configuration"),
            (
                "watch-2",
                {**WATCH, "refused": [{"revision": 8}]},
                "watch-2 refused revision 8",
            ),
            ("watch-2", {**WATCH, "platform_age_ms": 60_000}, "platform_age_ms 60000"),
            ("watch-2", {**WATCH, "instances_age_ms": None}, "instances_age_ms None"),
        ],
    )
    def test_problem_of_one_process(
        self, name: str, document: dict[str, Any] | None, expected: str
    ) -> None:
        problems = find_problems([report("entry-1", ENTRY), report(name, document)])
        assert any(expected in problem for problem in problems)

    def test_refused_revision_older_than_the_one_in_force_is_no_problem(self) -> None:
        watch = {**WATCH, "refused": [{"revision": 6}]}
        assert find_problems([report("entry-1", ENTRY), report("watch-1", watch)]) == []

    @pytest.mark.parametrize(
        "reports",
        [
            [],
            [report("watch-1", WATCH)],
            [report("entry-1", None)],
            [report("entry-1", {**ENTRY, "is_draining": True})],
        ],
    )
    def test_no_entry_takes_requests(self, reports: list[ProcessReport]) -> None:
        assert find_problems(reports)


def cost_row(workspace: str, micros: int, **more: Any) -> dict[str, Any]:
    return {
        "workspace": workspace,
        "pipeline": "p",
        "stage": "s",
        "attempts": 1,
        "micros": micros,
        "wasted_attempts": 0,
        "wasted_micros": 0,
        **more,
    }


class TestSums:
    def test_cost_of_several_entries(self) -> None:
        rows = sum_cost(
            [
                report("entry-1", {"rows": [cost_row("b", 5), cost_row("a", 1)]}),
                report("entry-2", {"rows": [cost_row("a", 2, later_member=1)]}),
                report("entry-3", None),
            ]
        )
        assert [(row.workspace, row.attempts, row.micros) for row in rows] == [
            ("a", 2, 3),
            ("b", 1, 5),
        ]

    def test_servers_as_seen_by_each_entry(self) -> None:
        seen = {"in_flight": 2, "is_leaving": False, "is_ejected": True}
        server = {"name": "s", "pool": "p", "zone": "z", **seen}
        reports = [report(f"entry-{n}", {"servers": [server]}) for n in (1, 2)]
        rows = server_rows([*reports, report("entry-3", None)])
        assert rows == [
            {
                "name": "s",
                "pool": "p",
                "zone": "z",
                "in_flight": 4,
                "seen_by": [{"entry": f"entry-{n}", **seen} for n in (1, 2)],
            }
        ]

    def test_unreachable_processes(self) -> None:
        reports = [report("entry-2", None), report("entry-1", ENTRY)]
        assert unreachable_names(reports) == ["entry-2"]
