"""Test the choice of servers by load, prefix and health."""

from collections import Counter
from random import Random

from bramleyturn.core.balance.choice import ExpectedLoad
from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.catalog.prompt import PromptPart
from bramleyturn.core.placement.choice import (
    LoadTracker,
    choose_by_load,
    choose_by_prefix,
    forget_loads,
    load_of,
    note_ended,
    note_report,
    note_sent,
    usable_servers,
)
from bramleyturn.core.placement.health import (
    HealthTracker,
    is_avoided,
    note_answered,
    note_failed,
)


def server(place: int, slots: int = 64) -> BackendServer:
    """Return a server."""
    return BackendServer(
        f"s{place}", "drafts", "10.0.0.1", 80 + place, "z", "v", slots, False, 0, 0
    )


SERVERS = [server(place) for place in range(6)]


def prompt(shared: str, own: str = "own") -> tuple[PromptPart, ...]:
    """Return a prompt with a shared part."""
    return (PromptPart(shared, 13_300), PromptPart(own, 3_700))


class TestPrefix:
    """Many requests share long parts of their prompts."""

    def test_one_shared_part_goes_to_one_engine(self) -> None:
        chosen = {
            choose_by_prefix(SERVERS, prompt("a", str(n)), LoadTracker(), Random(n), 0)
            for n in range(20)
        }
        assert len(chosen) == 1

    def test_slow_engine_loses_its_part_at_fewer_requests(self) -> None:
        """A slow engine took as many prompts in progress as a fast one.

        An idle one that answers with errors kept its parts.
        """
        first = choose_by_prefix(SERVERS, prompt("a"), LoadTracker(), Random(1), 0)
        assert first is not None
        cases = ((3, 1.0, 1.0, True), (3, 4.0, 1.0, False), (0, 1.0, 0.02, False))
        for count, pace, trust, keeps in cases:
            loads = {each.id: ExpectedLoad(count, 64, 1.0, 1.0) for each in SERVERS}
            loads[first.id] = ExpectedLoad(count, 64, pace, trust)
            chosen = choose_by_prefix(
                SERVERS, prompt("a"), LoadTracker(), Random(1), 0, loads
            )
            assert (chosen == first) == keeps

    def test_parts_spread_over_the_engines(self) -> None:
        tracker = LoadTracker()
        counts = Counter(
            choose_by_prefix(SERVERS, prompt(str(n)), tracker, Random(n), 0)
            for n in range(600)
        )
        assert max(counts.values()) < 1.5 * 100
        assert len(counts) == len(SERVERS)

    def test_hot_part_spills_over(self) -> None:
        tracker = LoadTracker()
        counts: Counter[str] = Counter()
        for number in range(120):
            chosen = choose_by_prefix(
                SERVERS, prompt("hot"), tracker, Random(number), 0
            )
            assert chosen is not None
            note_sent(tracker, chosen.id)
            counts[chosen.id] += 1
        assert len(counts) > 2
        assert max(counts.values()) < 60

    def test_lost_engine_moves_only_its_own_parts(self) -> None:
        before = {
            n: choose_by_prefix(SERVERS, prompt(str(n)), LoadTracker(), Random(1), 0)
            for n in range(100)
        }
        left = SERVERS[1:]
        for number, chosen in before.items():
            if chosen != SERVERS[0]:
                after = choose_by_prefix(
                    left, prompt(str(number)), LoadTracker(), Random(1), 0
                )
                assert after == chosen


class TestLoad:
    """Choice by load, without shared prompts."""

    def test_least_load_for_its_slots(self) -> None:
        small, large = server(1, slots=2), server(2, slots=20)
        tracker = LoadTracker()
        for _ in range(2):
            note_sent(tracker, small.id)
        for _ in range(4):
            note_sent(tracker, large.id)
        assert choose_by_load([small, large], tracker, Random(1), 0) == large

    def test_reported_load_of_others_fades(self) -> None:
        tracker = LoadTracker()
        note_report(tracker, "s1", 10, 0)
        assert load_of(tracker, "s1", 0) == 10
        assert 0 < load_of(tracker, "s1", 500) < 10
        assert load_of(tracker, "s1", 2_000) == 0

    def test_ended_requests_do_not_count(self) -> None:
        tracker = LoadTracker()
        note_sent(tracker, "s1")
        note_ended(tracker, "s1")
        assert load_of(tracker, "s1", 0) == 0

    def test_unregistered_servers_are_dropped(self) -> None:
        tracker = LoadTracker()
        note_sent(tracker, "s1")
        note_report(tracker, "s1", 3, 0)
        note_ended(tracker, "s1")
        forget_loads(tracker, frozenset())
        assert (tracker.reported, tracker.sent_since_report) == ({}, {})

    def test_no_servers(self) -> None:
        assert choose_by_load([], LoadTracker(), Random(1), 0) is None


class TestHealth:
    """Servers that fail requests."""

    def test_refused_connection_is_certain(self) -> None:
        tracker = HealthTracker()
        assert note_failed(tracker, "s1", 0, is_certain=True)
        assert is_avoided(tracker, "s1", 100)
        assert not is_avoided(tracker, "s1", 600)

    def test_single_failure_may_be_chance(self) -> None:
        tracker = HealthTracker()
        assert not note_failed(tracker, "s1", 0)
        for _ in range(8):
            note_answered(tracker, "s1")
        assert not note_failed(tracker, "s1", 10)

    def test_server_that_fails_half_its_requests_is_avoided(self) -> None:
        tracker = HealthTracker()
        avoided = 0
        for number in range(40):
            if number % 2:
                note_answered(tracker, "s1")
            else:
                avoided += note_failed(tracker, "s1", number * 100)
        assert avoided > 5

    def test_avoided_servers_are_used_if_there_are_no_others(self) -> None:
        tracker = HealthTracker()
        for each in SERVERS:
            note_failed(tracker, each.id, 0, is_certain=True)
        assert usable_servers(SERVERS, frozenset(), tracker, 1) == SERVERS
        note_answered(tracker, "s1")
        tried = frozenset({"s0"})
        assert server(0) not in usable_servers(SERVERS, tried, tracker, 1)


class TestSilentZone:
    """A zone sends no heartbeats."""

    def test_its_servers_come_last(self) -> None:
        far = [each._replace(zone="far") for each in SERVERS[:3]]
        near = SERVERS[3:]
        silent = frozenset({"far"})
        health = HealthTracker()
        assert usable_servers(far + near, frozenset(), health, 0, silent) == near
        tried = frozenset(each.id for each in near)
        assert usable_servers(far + near, tried, health, 0, silent) == far

    def test_they_come_before_avoided_servers(self) -> None:
        far = [each._replace(zone="far") for each in SERVERS[:3]]
        health = HealthTracker()
        note_failed(health, SERVERS[3].id, 0, is_certain=True)
        chosen = usable_servers(
            [*far, SERVERS[3]], frozenset(), health, 1, frozenset({"far"})
        )
        assert chosen == far
