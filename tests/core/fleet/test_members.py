"""Know who is alive, through losses, restarts and pauses."""

from random import Random

from bramleyturn.core.fleet.members import (
    SILENT_MS,
    Heartbeat,
    MemberRef,
    Members,
    is_live,
    live_members,
    merge_heartbeats,
    newest_holder,
    next_heartbeat,
    silent_zones,
    suspect,
)
from bramleyturn.core.fleet.owners import owner_of, owner_order

SEED = "10.0.0.9:7740"


def ref(name: str, incarnation: str = "1") -> MemberRef:
    """Return an instance by its name."""
    return MemberRef(name, "north", f"{name}:7740", incarnation)


def beat(name: str, beats: int, incarnation: str = "1", revision: int = 0) -> Heartbeat:
    """Return a heartbeat."""
    return Heartbeat(ref(name, incarnation), beats, revision, False)


def members() -> Members:
    """Return what an instance knows that has heard nobody."""
    return Members(ref("me"), (SEED,), 0)


class TestLife:
    """Who counts as alive."""

    def test_heard_and_silent(self) -> None:
        known = members()
        assert merge_heartbeats(known, [beat("a", 1)], 0) == ["a"]
        assert is_live(known, "a", SILENT_MS)
        assert not is_live(known, "a", SILENT_MS + 1)

    def test_old_heartbeat_is_no_sign_of_life(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 5)], 0)
        merge_heartbeats(known, [beat("a", 5), beat("a", 4)], 1_200)
        assert not is_live(known, "a", SILENT_MS + 1)

    def test_restarted_instance_counts_anew(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 500)], 0)
        merge_heartbeats(known, [beat("a", 1, incarnation="2")], 1_000)
        assert known.others["a"].heartbeat.beats == 1

    def test_restart_after_the_wall_clock_stepped_back(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 500, incarnation="9")], 0)
        merge_heartbeats(known, [beat("a", 1, incarnation="3")], SILENT_MS + 10)
        assert is_live(known, "a", SILENT_MS + 20)

    def test_doubted_until_the_next_heartbeat(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 1)], 0)
        suspect(known, "a")
        assert not is_live(known, "a", 10)
        merge_heartbeats(known, [beat("a", 2)], 20)
        assert is_live(known, "a", 20)

    def test_pause_of_this_process_makes_nobody_silent(self) -> None:
        known = members()
        random = Random(1)
        merge_heartbeats(known, [beat("a", 1)], 0)
        next_heartbeat(known, 0, random, 400)
        next_heartbeat(known, 0, random, 6_000)
        assert is_live(known, "a", 6_000)

    def test_ending_instance_owns_nothing(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 1)], 0)
        known.is_ending = True
        assert live_members(known, 10) == [ref("a")]


class TestSpread:
    """Whom an instance tells."""

    def test_seeds_are_told_until_others_are_known(self) -> None:
        told, addresses = next_heartbeat(members(), 7, Random(1), 400)
        assert addresses == [SEED]
        assert told[0].revision == 7

    def test_others_are_told_of(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 1), beat("b", 1)], 0)
        told, addresses = next_heartbeat(known, 0, Random(1), 400)
        assert {heartbeat.member.name for heartbeat in told} == {"me", "a", "b"}
        assert {"a:7740", "b:7740", SEED} == set(addresses)

    def test_newest_holder(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 1, revision=4), beat("b", 1, revision=9)], 0)
        holder = newest_holder(known, 5, Random(1), 10)
        assert holder is not None
        assert holder.name == "b"
        assert newest_holder(known, 9, Random(1), 10) is None


class TestOwners:
    """Which instance does a task."""

    def test_all_agree_whatever_the_order(self) -> None:
        refs = [ref(name) for name in "abcdef"]
        assert owner_of("stages", refs) == owner_of("stages", refs[::-1])

    def test_next_owner_is_second_in_the_order(self) -> None:
        refs = [ref(name) for name in "abcdef"]
        first, second, *_ = owner_order("stages", refs)
        refs.remove(first)
        assert owner_of("stages", refs) == second

    def test_nobody(self) -> None:
        assert owner_of("stages", []) is None


class TestSilentZones:
    """A zone that is cut off from the others, or lost."""

    def known(self) -> Members:
        """Return what an instance of the north knows of three zones."""
        known = members()
        for name, zone in (("n", "north"), ("e1", "east"), ("e2", "east"), ("s", "w")):
            member = MemberRef(name, zone, f"{name}:7740", "1")
            merge_heartbeats(known, [Heartbeat(member, 1, 0, False)], 0)
        return known

    def hear_again(self, known: Members, *names: str, now_ms: int) -> None:
        """Hear some instances once more."""
        for name in names:
            heartbeat = known.others[name].heartbeat
            again = heartbeat._replace(beats=heartbeat.beats + 1)
            merge_heartbeats(known, [again], now_ms)

    def test_none_while_one_instance_of_each_is_heard(self) -> None:
        known = self.known()
        self.hear_again(known, "n", "e2", "s", now_ms=2_000)
        assert silent_zones(known, 2_000) == frozenset()

    def test_a_zone_of_which_nobody_is_heard(self) -> None:
        known = self.known()
        self.hear_again(known, "n", "s", now_ms=2_000)
        assert silent_zones(known, 2_000) == {"east"}

    def test_one_silent_instance_says_nothing_of_its_zone(self) -> None:
        known = self.known()
        self.hear_again(known, "n", "e1", now_ms=2_000)
        assert silent_zones(known, 2_000) == frozenset()

    def test_an_instance_that_hears_nobody_is_cut_off_itself(self) -> None:
        assert silent_zones(self.known(), 2_000) == frozenset()

    def test_a_zone_that_left_long_ago_is_forgotten(self) -> None:
        known = self.known()
        self.hear_again(known, "n", "s", now_ms=40_000)
        assert silent_zones(known, 40_000) == frozenset()
