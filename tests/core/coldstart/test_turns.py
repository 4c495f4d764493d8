"""Grant turns at cold servers to all instances together, whatever fails."""

import pytest

from bramleyturn.core.coldstart.asking import (
    AskTimes,
    most_wait_ms,
    note_no_turn,
    note_silent_owner,
    runs_to_ask,
)
from bramleyturn.core.coldstart.cold_runs import MAX_RUNS, ColdRule
from bramleyturn.core.coldstart.turns import (
    ALONE_MS,
    MAX_AHEAD_MS,
    SETTLE_MS,
    Grant,
    Hearing,
    TurnGrants,
    grant_turn,
    granted_turn,
    interval_ms,
    is_valid,
    may_grant,
    note_ownership,
)
from tests.core.coldstart.turn_simulation import RULE, RUN, TurnSimulation

MOST = 13.85
SIZES = (1, 14, 119, 390)
SEEDS = (1, 2, 3)
ALL = Hearing(3, 3, True)


def owner() -> TurnGrants:
    """Return the state of an instance that has been the owner for long."""
    grants = TurnGrants(0)
    note_ownership(grants, True, 0)
    return grants


class TestBound:
    """No second of a cold server has more requests than it may get."""

    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("seed", SEEDS)
    def test_owners_that_change_crash_and_are_parted(
        self, size: int, seed: int
    ) -> None:
        """Turns of several owners, or of one before and after a restart, add up."""
        simulation = TurnSimulation(seed, size, 120.0, loss=0.05, waits_ms=800)
        first = simulation.owner()
        simulation.play(20_000)
        simulation.crash(first, 300)
        simulation.play(26_000)
        simulation.crash(first, 4_000)
        simulation.play(34_000)
        # The owner is on one side, the rest is on the other.
        simulation.part(lambda place: int(place % 2 == first % 2))
        simulation.play(40_000)
        simulation.part(lambda place: 0)
        simulation.play(44_000)
        simulation.part(lambda place: int(place == first))
        # Longer than instances are remembered: each side hears all that it knows.
        simulation.play(64_000)
        simulation.crash(first, 1_000)
        simulation.play(70_000)
        simulation.part(lambda place: 0)
        simulation.play(76_000)
        assert simulation.arrivals_ms
        assert simulation.most_in_a_second() <= MOST

    def test_two_owners_that_never_learn_of_each_other(self) -> None:
        """Both may use all of their turns at the worst times of each."""
        simulation = TurnSimulation(1, 14, 200.0, loss=0.0, waits_ms=800)
        first = simulation.owner()
        simulation.play(4_000)
        simulation.part(lambda place: int(place % 2 == first % 2))
        simulation.play(60_000)
        assert len(simulation.granting) == 2
        assert simulation.most_in_a_second() <= MOST

    def test_rule_of_two_owners_holds_for_every_rate(self) -> None:
        """The distance is to be derived from the bound of the settings."""
        for rate_per_s in (0.5, 2.0, 5.9, 20.0, 100.0):
            for slack in (2.0, 5.0, 10.0):
                rule = ColdRule(3_000, rate_per_s, rate_per_s * 1.5 + slack)
                distance_ms = interval_ms(rule)
                assert distance_ms is not None
                # A second, and by how much a use may be late.
                assert 2 * (1_120 // distance_ms + 1) <= rule.most_per_s
                assert distance_ms >= 1_000 / rate_per_s

    def test_bound_without_room_for_two_owners_has_no_turns(self) -> None:
        """One turn of each owner would exceed it."""
        assert interval_ms(ColdRule(3_000, 0.1, 1.9)) is None
        assert grant_turn(owner(), [(RUN, ColdRule(0, 0.1, 1.9))], 100, 0).run == ""


class TestUse:
    """How much of its cold rate a server gets while nothing fails."""

    @pytest.mark.parametrize("size", SIZES)
    def test_most_of_the_cold_rate_is_used(self, size: int) -> None:
        """A pool of cold servers must not idle while callers wait.

        The distance of turns allows 90.6 % of the rate.
        """
        simulation = TurnSimulation(1, size, 60.0, loss=0.0, waits_ms=150)
        simulation.connecting_ms = (0, 0, 0, 3)
        simulation.play(20_000)
        simulation.arrivals_ms.clear()
        simulation.play(80_000)
        share = len(simulation.arrivals_ms) / (60 * RULE.rate_per_s)
        print(f"{size} instances: {share:.3f} of the cold rate")
        assert share > 0.5


class TestOwner:
    """When an instance may grant turns."""

    def test_new_owner_waits_until_the_turns_of_the_last_are_over(self) -> None:
        """The turns of two owners of one side would add up."""
        grants = TurnGrants(0)
        note_ownership(grants, True, 500)
        assert not may_grant(grants, ALL, 499 + SETTLE_MS)
        assert may_grant(grants, ALL, 500 + SETTLE_MS)
        note_ownership(grants, False, 600)
        note_ownership(grants, True, 700)
        assert not may_grant(grants, ALL, 699 + SETTLE_MS)

    def test_owner_that_was_paused_begins_anew(self) -> None:
        """Another may have been the owner meanwhile, and still be it."""
        grants = owner()
        note_ownership(grants, True, 30_000)
        assert not may_grant(grants, ALL, 30_000)

    def test_owner_hears_most_of_the_instances(self) -> None:
        """Three small sides would have three owners."""
        grants = owner()
        assert not may_grant(grants, Hearing(5, 10, True), SETTLE_MS)
        assert may_grant(grants, Hearing(6, 10, True), SETTLE_MS)

    def test_instance_that_starts_cut_off_grants_nothing_at_first(self) -> None:
        """It knows nobody, and so hears everyone that it knows."""
        grants = owner()
        assert not may_grant(grants, Hearing(1, 1, True), ALONE_MS - 1)
        assert may_grant(grants, Hearing(1, 1, False), SETTLE_MS)


class TestTurns:
    """Turns of one owner."""

    def test_turn_lies_ahead_for_a_limited_time_only(self) -> None:
        """The turns of an owner that crashes must be over before the next begins."""
        grants = owner()
        granted = []
        while (grant := grant_turn(grants, [(RUN, RULE)], 10_000, 0)).run:
            granted.append(grant.wait_ms)
        assert granted == [0, 187, 374, 561, 748]
        assert grant.wait_ms == 935 > MAX_AHEAD_MS

    def test_first_turn_of_several_runs_is_granted(self) -> None:
        """Requests would wait for one server while another has a turn."""
        grants = owner()
        options = [("a", RULE), ("b", RULE)]
        assert grant_turn(grants, options, 0, 0) == Grant("a", 0)
        assert grant_turn(grants, options, 0, 0) == Grant("b", 0)
        assert grant_turn(grants, options, 0, 0) == Grant("", 187)

    def test_turn_is_valid_for_its_run_and_time_only(self) -> None:
        """A late request would come together with those of later turns."""
        turn = granted_turn(Grant(RUN, 50), 1_000, 1_030)
        assert not is_valid(turn, RUN, 1_079)
        assert is_valid(turn, RUN, 1_080)
        assert is_valid(turn, RUN, 1_150)
        assert not is_valid(turn, RUN, 1_151)
        assert not is_valid(turn, "s1@2", 1_080)

    def test_memory_is_bounded(self) -> None:
        """Runs of servers that restart for days must not fill the memory."""
        grants = owner()
        for number in range(2 * MAX_RUNS):
            grant_turn(grants, [(f"s{number}", RULE)], 0, number)
        assert len(grants.next_ms) <= MAX_RUNS


class TestAsking:
    """Whether an instance asks at all."""

    def test_run_without_a_turn_is_not_asked_for_before(self) -> None:
        """In a burst each request would wait for an answer, and load the owner."""
        times = AskTimes()
        note_no_turn(times, ["a"], 100, 1_000)
        assert runs_to_ask(times, ["a", "b"], 50, 1_000) == ["b"]
        assert runs_to_ask(times, ["a", "b"], 50, 1_050) == ["a", "b"]

    def test_owner_that_does_not_answer_is_left_alone(self) -> None:
        """Each request would lose the time of an ask while the owner is away."""
        times = AskTimes()
        note_silent_owner(times, 1_000)
        assert runs_to_ask(times, ["a"], 0, 1_100) == []
        assert runs_to_ask(times, ["a"], 0, 1_200) == ["a"]

    def test_wait_depends_on_whether_a_warm_server_is_left(self) -> None:
        """A request that a warm server can serve at once must not be late."""
        assert most_wait_ms(200, 1_600, True) == 20
        assert most_wait_ms(5_000, 9_000, True) == 150
        assert most_wait_ms(-5, -5, True) == most_wait_ms(-5, -5, False) == 0
        assert most_wait_ms(200, 1_600, False) == 800
