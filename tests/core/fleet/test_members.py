"""Test failure detection through losses, restarts and pauses."""

from random import Random

from bramleyturn.core.fleet.members import (
    HEARTBEAT_TIMEOUT_MS,
    Heartbeat,
    MemberRef,
    Members,
    is_live,
    live_members,
    merge_heartbeats,
    newer_configuration_holder,
    newest_holder,
    next_heartbeat,
    silent_zones,
    suspect,
)
from bramleyturn.core.fleet.owners import owner_of, owner_order
from bramleyturn.core.fleet.store_revision import StoreRevision

SEED = "10.0.0.9:7740"


def ref(name: str, incarnation: str = "1") -> MemberRef:
    """Return an instance by its name."""
    return MemberRef(name, "north", f"{name}:7740", incarnation)


def beat(name: str, beats: int, incarnation: str = "1", revision: int = 0) -> Heartbeat:
    """Return a heartbeat."""
    return Heartbeat(ref(name, incarnation), beats, at(revision), False)


def at(number: int, era: int = 0) -> StoreRevision:
    """Return a revision of the store."""
    return StoreRevision(era, number)


def members() -> Members:
    """Return the members known to an instance that has received no heartbeat."""
    return Members(ref("me"), (SEED,), 0)


class TestLiveness:
    """Which instances count as live."""

    def test_live_until_the_timeout(self) -> None:
        known = members()
        assert merge_heartbeats(known, [beat("a", 1)], 0) == ["a"]
        assert is_live(known, "a", HEARTBEAT_TIMEOUT_MS)
        assert not is_live(known, "a", HEARTBEAT_TIMEOUT_MS + 1)

    def test_old_heartbeat_does_not_extend_the_timeout(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 5)], 0)
        merge_heartbeats(known, [beat("a", 5), beat("a", 4)], 1_200)
        assert not is_live(known, "a", HEARTBEAT_TIMEOUT_MS + 1)

    def test_restarted_instance_counts_from_one(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 500)], 0)
        merge_heartbeats(known, [beat("a", 1, incarnation="2")], 1_000)
        assert known.others["a"].heartbeat.beats == 1

    def test_restart_after_the_wall_clock_stepped_back(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 500, incarnation="9")], 0)
        merge_heartbeats(
            known, [beat("a", 1, incarnation="3")], HEARTBEAT_TIMEOUT_MS + 10
        )
        assert is_live(known, "a", HEARTBEAT_TIMEOUT_MS + 20)

    def test_suspected_until_the_next_heartbeat(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 1)], 0)
        suspect(known, "a")
        assert not is_live(known, "a", 10)
        merge_heartbeats(known, [beat("a", 2)], 20)
        assert is_live(known, "a", 20)

    def test_pause_of_this_process_makes_no_instance_silent(self) -> None:
        known = members()
        random = Random(1)
        merge_heartbeats(known, [beat("a", 1)], 0)
        next_heartbeat(known, at(0), random, 400)
        next_heartbeat(known, at(0), random, 6_000)
        assert is_live(known, "a", 6_000)

    def test_instance_that_shuts_down_is_not_listed(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 1)], 0)
        known.is_ending = True
        assert live_members(known, 10) == [ref("a")]


class TestGossip:
    """What an instance gossips, and to which addresses."""

    def test_seeds_get_heartbeats_while_no_others_are_known(self) -> None:
        gossiped, addresses = next_heartbeat(members(), at(7), Random(1), 400)
        assert addresses == [SEED]
        assert gossiped[0].revision == at(7)

    def test_heartbeats_of_others_are_passed_on(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 1), beat("b", 1)], 0)
        gossiped, addresses = next_heartbeat(known, at(0), Random(1), 400)
        assert {heartbeat.member.name for heartbeat in gossiped} == {"me", "a", "b"}
        assert {"a:7740", "b:7740", SEED} == set(addresses)

    def test_newest_holder(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 1, revision=4), beat("b", 1, revision=9)], 0)
        holder = newest_holder(known, at(5), Random(1), 10)
        assert holder is not None
        assert holder.name == "b"
        assert newest_holder(known, at(9), Random(1), 10) is None

    def test_holder_of_a_later_era_is_newer(self) -> None:
        known = members()
        later = beat("b", 1)._replace(revision=at(2, era=1))
        merge_heartbeats(known, [beat("a", 1, revision=9), later], 0)
        holder = newest_holder(known, at(9), Random(1), 10)
        assert holder is not None
        assert holder.name == "b"
        assert newest_holder(known, at(2, era=1), Random(1), 10) is None

    def test_holder_of_a_newer_configuration(self) -> None:
        known = members()
        merge_heartbeats(known, [beat("a", 1), beat("b", 1)], 0)
        known.others["a"].configuration_version = 4
        holder = newer_configuration_holder(known, 3, Random(1), 10)
        assert holder is not None
        assert holder.name == "a"
        assert newer_configuration_holder(known, 4, Random(1), 10) is None
        late_ms = HEARTBEAT_TIMEOUT_MS + 1
        assert newer_configuration_holder(known, 3, Random(1), late_ms) is None


class TestOwners:
    """Which instance owns a task."""

    def test_all_agree_whatever_the_order(self) -> None:
        refs = [ref(name) for name in "abcdef"]
        assert owner_of("stages", refs) == owner_of("stages", refs[::-1])

    def test_next_owner_is_second_in_the_order(self) -> None:
        refs = [ref(name) for name in "abcdef"]
        first, second, *_ = owner_order("stages", refs)
        refs.remove(first)
        assert owner_of("stages", refs) == second

    def test_no_instances(self) -> None:
        assert owner_of("stages", []) is None


class TestSilentZones:
    """A zone is cut off from the others, or lost."""

    def known(self) -> Members:
        """Return the members known to an instance in north, from three zones."""
        known = members()
        for name, zone in (("n", "north"), ("e1", "east"), ("e2", "east"), ("s", "w")):
            member = MemberRef(name, zone, f"{name}:7740", "1")
            merge_heartbeats(known, [Heartbeat(member, 1, at(0), False)], 0)
        return known

    def merge_again(self, known: Members, *names: str, now_ms: int) -> None:
        """Merge one more heartbeat of each named instance."""
        for name in names:
            heartbeat = known.others[name].heartbeat
            again = heartbeat._replace(beats=heartbeat.beats + 1)
            merge_heartbeats(known, [again], now_ms)

    def test_none_while_each_zone_has_a_live_instance(self) -> None:
        known = self.known()
        self.merge_again(known, "n", "e2", "s", now_ms=2_000)
        assert silent_zones(known, 2_000) == frozenset()

    def test_zone_without_heartbeats(self) -> None:
        known = self.known()
        self.merge_again(known, "n", "s", now_ms=2_000)
        assert silent_zones(known, 2_000) == {"east"}

    def test_one_silent_instance_does_not_make_its_zone_silent(self) -> None:
        known = self.known()
        self.merge_again(known, "n", "e1", now_ms=2_000)
        assert silent_zones(known, 2_000) == frozenset()

    def test_none_if_this_instance_is_cut_off_itself(self) -> None:
        assert silent_zones(self.known(), 2_000) == frozenset()

    def test_zone_silent_for_long_is_dropped(self) -> None:
        known = self.known()
        self.merge_again(known, "n", "s", now_ms=40_000)
        assert silent_zones(known, 40_000) == frozenset()
