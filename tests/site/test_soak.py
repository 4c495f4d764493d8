"""Catch planted faults, and play one seed of the soak."""

from pathlib import Path

import pytest

from tests.site.soak import plan_of, soak
from tests.site.soak_checks import (
    DRAFT,
    LOOKUP,
    ORDER,
    Sent,
    faults,
    served_part,
    whole_stream,
)

# Of the seeds that are drawn, one in which processes and the store are disturbed alike.
SEED = 2
# Seeds that once showed a fault, with its cause.
REGRESSIONS = (
    # SIGHUP ended an entry that was still importing.
    1,
)


def answered(kind: str, body: bytes = b"answer to a") -> Sent:
    """Return an attempt with a whole and signed success."""
    return Sent("a", kind, 200, body, True, True)


class TestChecks:
    """Each check sees the fault that it is for."""

    def test_what_went_well_is_no_fault(self) -> None:
        assert faults([answered(LOOKUP)], {"a": 2}) == []
        assert faults([answered(ORDER)], {"a": 1}) == []
        assert faults([answered(DRAFT, whole_stream())], {"a": 1}) == []
        cut = Sent("a", ORDER, 200, b"answ", False, True)
        assert faults([cut], {"a": 1}) == []
        assert faults([Sent("a", ORDER, 502, b"", True, False)], {"a": 1}) == []

    @pytest.mark.parametrize(
        ("attempt", "runs", "expected"),
        [
            (answered(ORDER), {"a": 2}, "doubled"),
            (Sent("a", ORDER, 503, b"", True, False), {"a": 1}, "called not run"),
            (Sent("a", DRAFT, 429, b"", True, False), {"a": 1}, "called not run"),
            (answered(LOOKUP, b"answer to b"), {"a": 1}, "crossed or cut"),
            (answered(DRAFT, whole_stream()[:-9]), {"a": 1}, "crossed or cut"),
            (answered(DRAFT, whole_stream() * 2), {"a": 1}, "crossed or cut"),
            (answered(LOOKUP), {}, "without a run"),
            (answered(LOOKUP)._replace(is_signed=False), {"a": 1}, "signature"),
            (answered(LOOKUP), {"a": 1, "b": 1}, "unasked"),
        ],
    )
    def test_planted_fault(
        self, attempt: Sent, runs: dict[str, int], expected: str
    ) -> None:
        assert any(expected in each for each in faults([attempt], runs))

    def test_part_that_is_served(self) -> None:
        refused = Sent("b", LOOKUP, 503, b"", True, False)
        assert served_part([answered(LOOKUP), refused], LOOKUP) == 0.5
        assert served_part([refused], ORDER) == 1.0


class TestPlan:
    """A seed stands for one plan."""

    def test_is_the_same_each_time(self) -> None:
        assert plan_of(7) == plan_of(7)
        assert plan_of(7) != plan_of(8)


class TestSeeds:
    """Real processes under the faults of a seed."""

    @pytest.mark.parametrize("seed", [SEED, *REGRESSIONS])
    def test_keeps_every_promise(self, seed: int, tmp_path: Path) -> None:
        found, ends = soak(seed, tmp_path)
        assert found == [], (seed, ends)
