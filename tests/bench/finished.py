"""Build finished requests for tests."""

from typing import Any

from bramleyturn.bench.verdicts import Finished, Outcome, RunKey, StageCost, Try


def run_key(text: str) -> RunKey:
    return RunKey("roster", text)


def finished(number: int, case: dict[str, Any]) -> Finished:
    """Return the request that a case describes, with defaults for omitted fields."""
    return Finished(
        number=number,
        pipeline=case.get("pipeline", "roster-signup"),
        outcome=Outcome(case["outcome"]),
        output=case.get("output"),
        expected=case.get("expected"),
        elapsed_ms=case.get("elapsed_ms", 10),
        deadline_ms=case.get("deadline_ms", 1000),
        tries=tuple(
            Try(Outcome(outcome), tuple(map(run_key, keys)))
            for outcome, keys in case.get("tries", [])
        ),
        stages={
            name: StageCost(*values) for name, values in case.get("stages", {}).items()
        },
        reason=case.get("reason", ""),
    )
