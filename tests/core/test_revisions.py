"""Tests of accepting and refusing revisions."""

from bramleyturn.core.revisions import (
    MAX_KEPT_REFUSALS,
    InForce,
    Refused,
    Revisions,
    Stale,
    offer,
)

VALID = {"10.ini": "[limits]\nmax_running = 5\n"}
OTHER = {"10.ini": "[limits]\nmax_running = 6\n"}
FAULTY = {"10.ini": "[limits]\nmax_running = many\n"}


class TestOffer:
    def test_newer_revision_replaces_an_older_one(self) -> None:
        state = Revisions()
        assert isinstance(offer(state, 1, VALID, "platform", 0), InForce)
        verdict = offer(state, 2, OTHER, "peer", 7)
        assert isinstance(verdict, InForce)
        assert verdict is state.in_force
        assert verdict.configuration.limits.max_running == 6
        assert (verdict.source, verdict.accepted_ms) == ("peer", 7)

    def test_older_or_equal_revision_changes_nothing(self) -> None:
        state = Revisions()
        offer(state, 2, VALID, "platform", 0)
        before = state.in_force
        assert offer(state, 1, OTHER, "platform", 1) == Stale(1, 2)
        assert offer(state, 2, VALID, "platform", 1) == Stale(2, 2)
        assert state.in_force is before
        assert state.refused == ()

    def test_faulty_revision_leaves_the_one_in_force(self) -> None:
        state = Revisions()
        offer(state, 1, VALID, "platform", 0)
        refused = offer(state, 2, FAULTY, "platform", 1)
        assert isinstance(refused, Refused)
        assert refused.faults[0].key == "max_running"
        assert state.revision == 1
        assert state.refused == (refused,)
        assert isinstance(offer(state, 3, OTHER, "platform", 2), InForce)

    def test_refusal_is_recorded_once(self) -> None:
        state = Revisions()
        first = offer(state, 1, FAULTY, "platform", 1)
        assert offer(state, 1, FAULTY, "peer", 9) == first
        assert len(state.refused) == 1

    def test_different_content_of_the_revision_in_force_is_refused(self) -> None:
        state = Revisions()
        offer(state, 1, VALID, "platform", 0)
        refused = offer(state, 1, OTHER, "peer", 1)
        assert isinstance(refused, Refused)
        assert "offered" in refused.faults[0].expected
        assert state.in_force is not None
        assert state.in_force.files == VALID

    def test_number_below_one_is_refused(self) -> None:
        state = Revisions()
        assert isinstance(offer(state, 0, VALID, "platform", 0), Refused)
        assert isinstance(offer(state, -1, VALID, "platform", 0), Refused)
        assert state.in_force is None

    def test_refusals_are_bounded(self) -> None:
        state = Revisions()
        for revision in range(1, MAX_KEPT_REFUSALS + 5):
            offer(state, revision, FAULTY, "platform", revision)
        assert len(state.refused) == MAX_KEPT_REFUSALS
        assert state.refused[-1].revision == MAX_KEPT_REFUSALS + 4
