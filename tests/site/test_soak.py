"""Test the checks with planted violations, and run some seeds of the soak."""

import os
from pathlib import Path

import pytest

from tests.processes import SOURCE
from tests.site.rolling_checks import CROSSING_MS
from tests.site.soak import PLANS, run_seed
from tests.site.soak_checks import (
    DRAFT,
    LOOKUP,
    ORDER,
    SentAttempt,
    find_violations,
    served_share,
    whole_stream,
)

# A seed whose plan has faults of processes and of the store.
SEED = 2
# Seeds that once found a fault, with its cause.
REGRESSIONS = (
    # SIGHUP ended an entry that was still importing.
    1,
    # A clean close was taken for the end of an answer without a length.
    3,
)


# Ends a stopping entry with whatever it has in progress.
EARLY_EXIT = """
import os, signal, threading

set_handler = signal.signal


def plant(number, handler):
    def stop(*arguments):
        threading.Timer(0.5, os._exit, (0,)).start()
        handler(*arguments)

    planted = number == signal.SIGTERM and callable(handler)
    return set_handler(number, stop if planted else handler)


signal.signal = plant
"""


def answered(kind: str, body: bytes = b"answer to a") -> SentAttempt:
    """Return an attempt with a complete, signed answer of status 200."""
    return SentAttempt("a", kind, 200, body, True, True)


def closed_after(took_ms: int) -> SentAttempt:
    """Return an attempt on a kept connection that was closed without an answer."""
    return SentAttempt(
        "a", ORDER, 0, b"", False, False, True, "entry-0", took_ms=took_ms
    )


class TestChecks:
    """Each check finds its kind of violation."""

    def test_accepts_correct_answers(self, tmp_path: Path) -> None:
        assert find_violations([answered(LOOKUP)], {"a": 2}, tmp_path) == []
        assert find_violations([answered(ORDER)], {"a": 1}, tmp_path) == []
        stream = answered(DRAFT, whole_stream())
        assert find_violations([stream], {"a": 1}, tmp_path) == []
        assert find_violations([closed_after(0)], {}, tmp_path) == []
        cut = SentAttempt("a", ORDER, 200, b"answ", False, True)
        assert find_violations([cut], {"a": 1}, tmp_path) == []
        failed = SentAttempt("a", ORDER, 502, b"", True, False)
        assert find_violations([failed], {"a": 1}, tmp_path) == []

    @pytest.mark.parametrize(
        ("attempt", "runs", "expected"),
        [
            (answered(ORDER), {"a": 2}, "doubled"),
            (
                SentAttempt("a", ORDER, 503, b"", True, False),
                {"a": 1},
                "called not run",
            ),
            (
                SentAttempt("a", DRAFT, 429, b"", True, False),
                {"a": 1},
                "called not run",
            ),
            (closed_after(0), {"a": 1}, "closed without an answer"),
            (answered(LOOKUP, b"answer to b"), {"a": 1}, "crossed or cut"),
            (answered(DRAFT, whole_stream()[:-9]), {"a": 1}, "crossed or cut"),
            (answered(DRAFT, whole_stream() * 2), {"a": 1}, "crossed or cut"),
            (answered(LOOKUP), {}, "without a run"),
            (answered(LOOKUP)._replace(is_signed=False), {"a": 1}, "signature"),
            (answered(LOOKUP), {"a": 1, "b": 1}, "unasked"),
        ],
    )
    def test_finds_planted_violation(
        self,
        attempt: SentAttempt,
        runs: dict[str, int],
        expected: str,
        tmp_path: Path,
    ) -> None:
        violations = find_violations([attempt], runs, tmp_path)
        assert any(expected in each for each in violations)

    @pytest.mark.parametrize(
        ("log", "took_ms", "is_read"),
        [
            ('{"request_id":"a"}\n{"event":"stopped","in_progress":0}\n', 500, True),
            ('{"event":"stopped","in_progress":1}\n', 500, True),
            ("", 500, True),
            ('{"event":"stopped","in_progress":0}\n', 500, False),
            ("", CROSSING_MS, False),
        ],
        ids=["named", "left in progress", "ended early", "never read", "crosses"],
    )
    def test_finds_requests_that_were_read_and_never_run(
        self, log: str, took_ms: int, is_read: bool, tmp_path: Path
    ) -> None:
        (tmp_path / "entry-0.out").write_text(log)
        violations = find_violations([closed_after(took_ms)], {}, tmp_path)
        assert violations == ["read and closed without an answer: a"] * is_read

    def test_share_that_is_served(self) -> None:
        refused = SentAttempt("b", LOOKUP, 503, b"", True, False)
        assert served_share([answered(LOOKUP), refused], LOOKUP) == 0.5
        assert served_share([refused], ORDER) == 1.0


class TestPlan:
    """Plans are deterministic."""

    def test_same_seed_gives_same_plan(self) -> None:
        for draw in PLANS:
            assert draw(7) == draw(7)
            assert draw(7) != draw(8)


class TestSeeds:
    """Real processes with the faults of a seed."""

    @pytest.mark.parametrize("seed", [SEED, *REGRESSIONS])
    def test_no_guarantee_is_violated(self, seed: int, tmp_path: Path) -> None:
        violations, ends = run_seed(seed, tmp_path)
        assert violations == [], (seed, ends)

    def test_finds_entries_that_end_with_requests_in_progress(
        self, tmp_path: Path
    ) -> None:
        plant = tmp_path / "plant"
        plant.mkdir()
        (plant / "sitecustomize.py").write_text(EARLY_EXIT)
        source = os.pathsep.join((str(plant), str(SOURCE)))
        violations, ends = run_seed(SEED, tmp_path, entry_source=source)
        assert any("closed without an answer" in each for each in violations), ends
