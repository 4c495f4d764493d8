"""Tests of the summary of a load."""

from collections import Counter
from typing import Any

from bramleyturn.bench.load_report import (
    Progress,
    format_summary,
    percentiles,
    progress_line,
    summarise,
)
from bramleyturn.bench.verdicts import Fault, Outcome, Verdict
from tests.bench.finished import finished

ANSWERED: dict[str, Any] = {
    "outcome": "answered",
    "elapsed_ms": 20,
    "stages": {"enrol": ["answered", 1, 15, 100]},
}
LATE: dict[str, Any] = {**ANSWERED, "elapsed_ms": 2000}
NOT_RUN: dict[str, Any] = {"outcome": "not_run", "reason": "no capacity"}


class TestSummary:
    def test_counts_requests_by_outcome(self) -> None:
        requests = [finished(*each) for each in enumerate([ANSWERED, LATE, NOT_RUN])]
        row = summarise(requests, ())["pipelines"]["roster-signup"]
        assert row["sent"] == 3
        assert row["answered_in_deadline"] == 1
        assert row["answered_late"] == 1
        assert row["not_run"] == 1
        assert row["doubled"] == 0

    def test_adds_up_cost_by_stage(self) -> None:
        requests = [finished(*each) for each in enumerate([ANSWERED, LATE])]
        stage = summarise(requests, ())["stages"]["roster-signup.enrol"]
        assert stage["cost_micros"] == 200
        assert stage["attempts"] == 2
        assert stage["elapsed_ms"]["p50"] == 15

    def test_shows_faults_and_reasons(self) -> None:
        requests = [finished(0, ANSWERED), finished(1, NOT_RUN)]
        verdict = Verdict(0, "roster-signup", Fault.DOUBLED, "stages [0]")
        text = format_summary(summarise(requests, (verdict,)))
        assert "roster-signup request 0: doubled: stages [0]" in text
        assert "roster-signup not_run: no capacity" in text

    def test_long_list_of_faults_is_truncated_but_counted(self) -> None:
        requests = [finished(number, ANSWERED) for number in range(30)]
        verdicts = [
            Verdict(number, "roster-signup", Fault.CUT, "") for number in range(30)
        ]
        summary = summarise(requests, verdicts)
        assert len(summary["faults"]) == 30
        assert format_summary(summary).endswith("... and 10 more")

    def test_load_without_requests(self) -> None:
        text = format_summary(summarise([], ()))
        assert "No answer was lost" in text


class TestPercentiles:
    def test_values(self) -> None:
        found = percentiles(range(1, 101))
        assert found == {"p50": 50, "p90": 90, "p99": 99, "max": 100}

    def test_no_values(self) -> None:
        assert percentiles([]) == {}


class TestProgressLine:
    def test_running_requests_are_those_without_outcome(self) -> None:
        progress = Progress(10, Counter({Outcome.ANSWERED: 6, Outcome.FAILED: 1}))
        line = progress_line(progress, 2500)
        assert line == "  2.5 s  sent 10  running 3  answered 6 failed 1"
