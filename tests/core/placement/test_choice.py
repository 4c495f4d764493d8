"""Choose servers by load, prefix and health."""

from collections import Counter
from random import Random

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
    """Many requests that share long parts."""

    def test_one_shared_part_goes_to_one_engine(self) -> None:
        chosen = {
            choose_by_prefix(SERVERS, prompt("a", str(n)), LoadTracker(), Random(n), 0)
            for n in range(20)
        }
        assert len(chosen) == 1

    def test_parts_spread_over_the_engines(self) -> None:
        book = LoadTracker()
        counts = Counter(
            choose_by_prefix(SERVERS, prompt(str(n)), book, Random(n), 0)
            for n in range(600)
        )
        assert max(counts.values()) < 1.5 * 100
        assert len(counts) == len(SERVERS)

    def test_hot_part_spills_over(self) -> None:
        book = LoadTracker()
        counts: Counter[str] = Counter()
        for number in range(120):
            chosen = choose_by_prefix(SERVERS, prompt("hot"), book, Random(number), 0)
            assert chosen is not None
            note_sent(book, chosen.id)
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
    """Plain services."""

    def test_least_load_for_its_slots(self) -> None:
        small, large = server(1, slots=2), server(2, slots=20)
        book = LoadTracker()
        for _ in range(2):
            note_sent(book, small.id)
        for _ in range(4):
            note_sent(book, large.id)
        assert choose_by_load([small, large], book, Random(1), 0) == large

    def test_reported_load_of_others_fades(self) -> None:
        book = LoadTracker()
        note_report(book, "s1", 10, 0)
        assert load_of(book, "s1", 0) == 10
        assert 0 < load_of(book, "s1", 500) < 10
        assert load_of(book, "s1", 2_000) == 0

    def test_ended_requests_do_not_count(self) -> None:
        book = LoadTracker()
        note_sent(book, "s1")
        note_ended(book, "s1")
        assert load_of(book, "s1", 0) == 0

    def test_servers_that_are_gone_are_forgotten(self) -> None:
        book = LoadTracker()
        note_sent(book, "s1")
        note_report(book, "s1", 3, 0)
        note_ended(book, "s1")
        forget_loads(book, frozenset())
        assert (book.reported, book.sent_since) == ({}, {})

    def test_nobody(self) -> None:
        assert choose_by_load([], LoadTracker(), Random(1), 0) is None


class TestHealth:
    """Servers that fail."""

    def test_refused_connection_is_certain(self) -> None:
        book = HealthTracker()
        assert note_failed(book, "s1", 0, is_certain=True)
        assert is_avoided(book, "s1", 100)
        assert not is_avoided(book, "s1", 600)

    def test_single_failure_may_be_chance(self) -> None:
        book = HealthTracker()
        assert not note_failed(book, "s1", 0)
        for _ in range(8):
            note_answered(book, "s1")
        assert not note_failed(book, "s1", 10)

    def test_grey_server_is_avoided(self) -> None:
        book = HealthTracker()
        avoided = 0
        for number in range(40):
            if number % 2:
                note_answered(book, "s1")
            else:
                avoided += note_failed(book, "s1", number * 100)
        assert avoided > 5

    def test_avoided_servers_are_used_when_no_other_is_left(self) -> None:
        book = HealthTracker()
        for each in SERVERS:
            note_failed(book, each.id, 0, is_certain=True)
        assert usable_servers(SERVERS, frozenset(), book, 1) == SERVERS
        note_answered(book, "s1")
        tried = frozenset({"s0"})
        assert server(0) not in usable_servers(SERVERS, tried, book, 1)


class TestSilentZone:
    """A zone of which no instance is heard."""

    def test_its_servers_come_last(self) -> None:
        far = [each._replace(zone="far") for each in SERVERS[:3]]
        near = SERVERS[3:]
        silent = frozenset({"far"})
        health = HealthTracker()
        assert usable_servers(far + near, frozenset(), health, 0, silent) == near
        tried = frozenset(each.id for each in near)
        assert usable_servers(far + near, tried, health, 0, silent) == far

    def test_they_go_before_a_server_that_is_avoided(self) -> None:
        far = [each._replace(zone="far") for each in SERVERS[:3]]
        health = HealthTracker()
        note_failed(health, SERVERS[3].id, 0, is_certain=True)
        chosen = usable_servers(
            [*far, SERVERS[3]], frozenset(), health, 1, frozenset({"far"})
        )
        assert chosen == far
