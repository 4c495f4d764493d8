"""Proof: no stage result is lost, doubled or handed to another request."""

import pytest

from bramleyturn.core.outcomes import OutcomeKind
from tests.proofs.random_world import histories

BLOCKS = [range(first, first + 500) for first in range(0, 2_000, 500)]


class TestInVirtualTime:
    @pytest.mark.parametrize("seeds", BLOCKS, ids=str)
    def test_each_caller_gets_one_outcome_and_its_own_answer(
        self, seeds: range
    ) -> None:
        faults, kinds = histories(seeds)
        print(f"{seeds}: {dict(kinds)}")
        assert not faults, "\n".join(faults)
        assert set(kinds) == set(OutcomeKind)
