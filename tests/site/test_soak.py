"""Test the checks with planted violations, and run some seeds of the soak."""

from pathlib import Path

import pytest

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


def answered(kind: str, body: bytes = b"answer to a") -> SentAttempt:
    """Return an attempt with a complete, signed answer of status 200."""
    return SentAttempt("a", kind, 200, body, True, True)


class TestChecks:
    """Each check finds its kind of violation."""

    def test_accepts_correct_answers(self) -> None:
        assert find_violations([answered(LOOKUP)], {"a": 2}) == []
        assert find_violations([answered(ORDER)], {"a": 1}) == []
        assert find_violations([answered(DRAFT, whole_stream())], {"a": 1}) == []
        closed = SentAttempt("a", ORDER, 0, b"", False, False, must_end=True)
        assert find_violations([closed], {}) == []
        cut = SentAttempt("a", ORDER, 200, b"answ", False, True)
        assert find_violations([cut], {"a": 1}) == []
        assert (
            find_violations([SentAttempt("a", ORDER, 502, b"", True, False)], {"a": 1})
            == []
        )

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
            (
                SentAttempt("a", ORDER, 0, b"", False, False, must_end=True),
                {"a": 1},
                "closed without an answer",
            ),
            (answered(LOOKUP, b"answer to b"), {"a": 1}, "crossed or cut"),
            (answered(DRAFT, whole_stream()[:-9]), {"a": 1}, "crossed or cut"),
            (answered(DRAFT, whole_stream() * 2), {"a": 1}, "crossed or cut"),
            (answered(LOOKUP), {}, "without a run"),
            (answered(LOOKUP)._replace(is_signed=False), {"a": 1}, "signature"),
            (answered(LOOKUP), {"a": 1, "b": 1}, "unasked"),
        ],
    )
    def test_finds_planted_violation(
        self, attempt: SentAttempt, runs: dict[str, int], expected: str
    ) -> None:
        assert any(expected in each for each in find_violations([attempt], runs))

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
