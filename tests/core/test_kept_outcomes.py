"""Tests of the outcomes kept for callers that ask again."""

from bramleyturn.core.kept_outcomes import (
    KeptOutcomes,
    OutcomeKey,
    drop_outcome,
    find_outcome,
    forget_expired,
    keep_outcome,
    pack_outcome,
    size_bytes,
    unpack_outcome,
)
from bramleyturn.core.outcomes import Outcome, OutcomeKind, StageOutcome

WHOLE = Outcome(
    OutcomeKind.ANSWERED,
    "whole",
    output={"text": "a draft"},
    stages=(StageOutcome("encode", OutcomeKind.ANSWERED, 2, 15, 20),),
    cost_micros=20,
)
KEY = OutcomeKey("lessons", "r1")


class TestKeptOutcomes:
    def test_return_an_outcome_unchanged(self) -> None:
        kept = KeptOutcomes()
        keep_outcome(kept, KEY, pack_outcome(WHOLE, b"digest", 100))
        found = find_outcome(kept, KEY, 99)
        assert found is not None
        assert unpack_outcome(found) == WHOLE

    def test_are_dropped_when_they_expire(self) -> None:
        kept = KeptOutcomes()
        keep_outcome(kept, KEY, pack_outcome(WHOLE, b"digest", 100))
        assert find_outcome(kept, KEY, 100) is None
        forget_expired(kept, 100)
        assert (len(kept.by_key), kept.size_bytes) == (0, 0)

    def test_drop_the_oldest_beyond_the_size_limit(self) -> None:
        outcome = pack_outcome(WHOLE, b"digest", 100)
        kept = KeptOutcomes(max_bytes=2 * size_bytes(outcome))
        for number in range(3):
            keep_outcome(kept, OutcomeKey("lessons", f"r{number}"), outcome)
        assert [key.request_id for key in kept.by_key] == ["r1", "r2"]

    def test_count_a_replaced_outcome_once(self) -> None:
        outcome = pack_outcome(WHOLE, b"digest", 100)
        kept = KeptOutcomes()
        keep_outcome(kept, KEY, outcome)
        keep_outcome(kept, KEY, outcome)
        assert kept.size_bytes == size_bytes(outcome)
        drop_outcome(kept, KEY)
        assert kept.size_bytes == 0
