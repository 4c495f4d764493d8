"""Test by exhaustive search that stages run at most once and ``not_run`` is true."""

import pytest

from bramleyturn.bench.ticket_check import SearchTooLargeError, describe, search
from bramleyturn.bench.ticket_model_state import Bounds, repeated_run
from bramleyturn.core.outcomes import OutcomeKind
from tests.proofs.ticket_variants import (
    REPEATING_VARIANTS,
    TWO_STAGE_VARIANTS,
    VARIANTS,
)

ALL_BOUNDS = {
    "one stage": Bounds(),
    "two stages": Bounds(stages=("order", "charge")),
    "two parallel stages": Bounds(
        stages=("order", "charge"), ticks=2, backup_restarts=0, parallel=True
    ),
    "two restarts of each": Bounds(primary_restarts=2, backup_restarts=2),
    "no backup": Bounds(with_backup=False),
    "two stages, no backup": Bounds(stages=("order", "charge"), with_backup=False),
}


class TestProtocol:
    @pytest.mark.parametrize("name", ALL_BOUNDS)
    def test_keeps_its_guarantees(self, name: str) -> None:
        bounds = ALL_BOUNDS[name]
        found = search(bounds)
        print(f"{name}: {describe(found)}")
        assert not found.violation, found.trace
        assert found.most_runs == len(bounds.stages)
        assert {OutcomeKind.ANSWERED, OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN} <= (
            found.outcomes
        )

    def test_truncated_search_raises_an_error(self) -> None:
        with pytest.raises(SearchTooLargeError):
            search(Bounds(), max_states=10)


class TestBrokenVariants:
    @pytest.mark.parametrize("name", VARIANTS)
    def test_is_caught(self, name: str) -> None:
        found = search(Bounds(), VARIANTS[name])
        print(f"{name}: {describe(found)}")
        assert found.violation

    @pytest.mark.parametrize("name", REPEATING_VARIANTS)
    def test_a_second_run_is_caught(self, name: str) -> None:
        found = search(Bounds(), VARIANTS[name], find_violation=repeated_run)
        print(f"{name}: {describe(found)}")
        assert found.violation

    @pytest.mark.parametrize("name", TWO_STAGE_VARIANTS)
    def test_is_caught_between_stages(self, name: str) -> None:
        bounds = Bounds(stages=("order", "charge"))
        assert not search(Bounds(), TWO_STAGE_VARIANTS[name]).violation
        found = search(bounds, TWO_STAGE_VARIANTS[name])
        print(f"{name}: {describe(found)}")
        assert found.violation
