"""Test the freshness of the copy of the store, and which instances watch it."""

from bramleyturn.core.fleet.freshness import (
    SETTLE_MS,
    STALE_MS,
    WATCHERS_PER_ZONE,
    Freshness,
    age_ms,
    full_revision,
    note_confirmed,
    note_peer_confirmation,
    should_watch,
    watcher_place,
)
from bramleyturn.core.fleet.members import MemberRef
from bramleyturn.core.fleet.owners import STAGES, owner_of
from bramleyturn.core.fleet.store_revision import StoreRevision

ZONES = ("north", "east", "south", "west")


def at(number: int, era: int = 0) -> StoreRevision:
    """Return a revision of the store."""
    return StoreRevision(era, number)


def fleet(size: int) -> list[MemberRef]:
    """Return instances that are evenly spread over the zones."""
    return [
        MemberRef(f"i{place}", ZONES[place % len(ZONES)], f"i{place}:7740", "1")
        for place in range(size)
    ]


def fresh(now_ms: int) -> Freshness:
    """Return the freshness of a copy that was just confirmed, long after the start."""
    freshness = Freshness(now_ms - SETTLE_MS)
    note_confirmed(freshness, at(7), now_ms)
    return freshness


def watchers(live: list[MemberRef], now_ms: int) -> list[MemberRef]:
    """Return the instances that watch the store while all copies are fresh."""
    return [each for each in live if should_watch(fresh(now_ms), each, live, now_ms)]


class TestWatchers:
    """A growing fleet must not make more calls to the store."""

    def test_their_number_does_not_grow_with_the_fleet(self) -> None:
        for size in (16, 101, 392):
            assert len(watchers(fleet(size), 0)) == WATCHERS_PER_ZONE * len(ZONES)

    def test_each_zone_has_some(self) -> None:
        assert {each.zone for each in watchers(fleet(101), 0)} == set(ZONES)

    def test_lost_watcher_is_replaced(self) -> None:
        live = fleet(40)
        lost = watchers(live, 0)[0]
        left = [each for each in live if each != lost]
        after = watchers(left, 0)
        assert lost not in after
        assert len(after) == WATCHERS_PER_ZONE * len(ZONES)

    def test_instance_with_a_stale_copy_watches_itself(self) -> None:
        live = fleet(40)
        other = next(each for each in live if each not in watchers(live, 0))
        freshness = fresh(0)
        assert not should_watch(freshness, other, live, STALE_MS)
        assert should_watch(freshness, other, live, STALE_MS + 1)
        note_confirmed(freshness, at(7), STALE_MS)
        assert not should_watch(freshness, other, live, STALE_MS + 1)

    def test_new_process_watches_itself(self) -> None:
        live = fleet(40)
        assert all(should_watch(Freshness(0), each, live, 1) for each in live)

    def test_new_process_that_has_read_everything_hears_of_others_first(self) -> None:
        (me,) = alone = fleet(1)
        freshness = Freshness(0)
        note_confirmed(freshness, at(7), 10)
        assert not should_watch(freshness, me, alone, SETTLE_MS - 1)
        assert should_watch(freshness, me, alone, SETTLE_MS)


class TestAge:
    """Which confirmations count."""

    def test_older_revision_confirms_nothing(self) -> None:
        freshness = fresh(0)
        note_confirmed(freshness, at(6), 900)
        assert age_ms(freshness, 1_000) == 1_000

    def test_newest_confirmation_of_the_same_revision_counts(self) -> None:
        freshness = fresh(0)
        note_confirmed(freshness, at(7), 900)
        note_confirmed(freshness, at(7), 300)
        assert age_ms(freshness, 1_000) == 100

    def test_newer_revision_counts_from_its_own_time(self) -> None:
        freshness = fresh(500)
        note_confirmed(freshness, at(8), 400)
        assert (freshness.revision, age_ms(freshness, 1_000)) == (at(8), 600)


class TestPeerConfirmation:
    """Confirmations that are passed on between instances."""

    def test_confirms_the_same_revision_only(self) -> None:
        freshness = fresh(0)
        note_peer_confirmation(freshness, at(8), 0, 1_000)
        note_peer_confirmation(freshness, at(6), 0, 1_000)
        assert age_ms(freshness, 1_000) == 1_000
        note_peer_confirmation(freshness, at(7), 200, 1_000)
        assert 200 <= age_ms(freshness, 1_000) < 300

    def test_never_looks_fresher_than_it_is(self) -> None:
        one, other = fresh(0), fresh(0)
        way_ms = 20
        for now_ms in range(0, 4_000, 2 * way_ms):
            told_ms = age_ms(one, now_ms)
            note_peer_confirmation(other, at(7), told_ms, now_ms + way_ms)
            told_ms = age_ms(other, now_ms + way_ms)
            note_peer_confirmation(one, at(7), told_ms, now_ms + 2 * way_ms)
        assert age_ms(one, 4_000) == 4_000


class TestOwner:
    """Instances of different capacity."""

    def test_stages_go_to_an_instance_of_the_highest_capacity(self) -> None:
        weak = fleet(30)
        strong = [each._replace(name=f"s{each.name}", capacity=215) for each in weak]
        owner = owner_of(STAGES, weak + strong)
        assert owner in strong
        assert owner_of(STAGES, weak) in weak


class TestEras:
    """A store that came back from an older copy."""

    def test_later_era_is_newer_whatever_the_number(self) -> None:
        freshness = fresh(0)
        note_confirmed(freshness, at(2, era=1), 500)
        assert freshness.revision == at(2, era=1)
        note_confirmed(freshness, at(9), 900)
        assert (freshness.revision, age_ms(freshness, 1_000)) == (at(2, era=1), 500)

    def test_instance_of_an_earlier_build_is_read_as_before(self) -> None:
        freshness = Freshness(0)
        assert full_revision(freshness, 0, 5) == at(5)
        note_confirmed(freshness, at(7, era=3), 0)
        assert full_revision(freshness, 0, 8) == at(8, era=3)
        assert full_revision(freshness, 4, 2) == at(2, era=4)

    def test_after_a_return_its_revisions_are_older_than_all_others(self) -> None:
        freshness = Freshness(0)
        note_confirmed(freshness, at(7, era=3), 0)
        note_confirmed(freshness, at(2, era=4), 0)
        assert full_revision(freshness, 0, 8) < freshness.revision


class TestPlaces:
    """In which order instances take the place of the watchers of their zone."""

    def test_places_count_from_the_watchers_on(self) -> None:
        zone = [MemberRef(f"f-{each}", "north", f"h{each}:1", "1") for each in range(6)]
        other = MemberRef("s", "south", "s:1", "1")
        places = sorted(watcher_place(each, [*zone, other]) for each in zone)
        assert places == [0, 0, 1, 2, 3, 4]
        assert watcher_place(other, [*zone, other]) == 0

    def test_instance_that_is_shutting_down_comes_last(self) -> None:
        zone = [MemberRef(f"f-{each}", "north", f"h{each}:1", "1") for each in range(6)]
        assert watcher_place(zone[0], zone[1:]) == 5
