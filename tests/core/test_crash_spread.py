"""Spread reports of crashes among instances that lose messages and are cut off."""

from random import Random

import orjson
import pytest

from bramleyturn.core.crashes import (
    CRASH_RETENTION_MS,
    CrashHint,
    PartMark,
    Suspects,
    connection_lost,
    import_hints,
    request_finished,
)
from bramleyturn.core.fleet.reports import (
    NEWS_INTERVAL_MS,
    NEWS_SIZE,
    ReportSchedule,
    choose_targets,
    is_news_left,
    next_report,
    note_news,
    note_told,
)
from bramleyturn.core.poison import (
    Clear,
    Quarantined,
    Suspect,
    choose_hints,
    classify_request,
    linked_suspects,
)
from bramleyturn.core.poison_parts import (
    find_poison_parts,
    part_marks,
    quarantined_part,
)
from bramleyturn.core.request_names import RequestNames
from bramleyturn.gateway.crash_hints import encode_report
from bramleyturn.gateway.heartbeats import NEWS_DELAY_MS

BEAT_MS = 400
OWN_HEARTBEAT_BYTES = 250
# Time within which every instance in contact must know of a crash.
CONTACT_MS = 3_000
# Crashes on a part from which the time counts within which it must be withheld.
PART_CRASHES = 5
EARLIER_CRASHES = 20
# Time within which an instance that started knows of all that matters.
START_KNOWN_MS = 5_000
SETTLING_MS = 2_000
KNOWN_CRASHES = 80
POISON_CRASHES = (3, 30, 50)
POISON_PART_CRASHES = (5, 25, 45)
POISON = "poison"
SYSTEM = "system"


def copy_suspects(known: Suspects) -> Suspects:
    """Return the crashes as another instance knows them."""
    copied = Suspects(CRASH_RETENTION_MS)
    copied.crashes = list(known.crashes)
    copied.changes = known.changes
    return copied


def address(place: int) -> str:
    """Return the address of an instance."""
    return f"{place:03d}"


class Fleet:
    """Simulate the reports of instances, as far as each one's budget allows them.

    Instances send at intervals, and shortly after they learned of a crash.
    """

    def __init__(self, instances: int, loss: float, seed: int) -> None:
        self.instances = [Suspects(CRASH_RETENTION_MS) for _ in range(instances)]
        self.random = Random(seed)
        self.loss = loss
        self.now_ms = 10_000
        self.noted = [frozenset[str]() for _ in range(instances)]
        self.schedules = [ReportSchedule(self.now_ms) for _ in range(instances)]
        self.cut_off: set[int] = set()
        self.next_ms = [self.random.randrange(BEAT_MS) for _ in range(instances)]

    def step(self) -> None:
        """Let the instances whose time has come send to others on their side."""
        self.now_ms += NEWS_DELAY_MS
        due = [
            place for place, at_ms in enumerate(self.next_ms) if at_ms <= self.now_ms
        ]
        for place in due:
            self.next_ms[place] = self.now_ms + BEAT_MS
            self.send(place)

    def send(self, place: int) -> None:
        """Send what an instance knows."""
        sender = self.instances[place]
        schedule = self.schedules[place]
        report = next_report(schedule, sender, self.random, self.now_ms)
        if report is None:
            return
        side = [
            address(other)
            for other in range(len(self.instances))
            if other != place and (other in self.cut_off) == (place in self.cut_off)
        ]
        targets = choose_targets(
            schedule,
            report.size,
            address(place),
            side,
            len(orjson.dumps(encode_report(report))) + OWN_HEARTBEAT_BYTES,
            self.random,
            self.now_ms,
        )
        if not targets:
            return
        note_told(schedule, report)
        if is_news_left(schedule):
            soon_ms = self.now_ms + NEWS_INTERVAL_MS
            self.next_ms[place] = min(self.next_ms[place], soon_ms)
        for other in map(int, targets):
            if self.random.random() < self.loss:
                continue
            suspects = self.instances[other]
            known = len(suspects.crashes)
            linked = linked_suspects(suspects)
            hints = (*report.hints, *report.part_hints)
            import_hints(suspects, hints, self.now_ms + 5)
            is_linked = not linked_suspects(suspects) <= linked
            if len(suspects.crashes) > known or is_linked:
                self.tell_soon(other)
            self.note_poison_parts(other)

    def tell_soon(self, place: int) -> None:
        """Let an instance send shortly, because it learned of a crash."""
        note_news(self.schedules[place])
        self.next_ms[place] = self.now_ms + NEWS_DELAY_MS

    def note_poison_parts(self, place: int) -> None:
        """Let an instance send shortly if other parts are quarantined now."""
        found = find_poison_parts(self.instances[place]).keys()
        if found != self.noted[place]:
            self.noted[place] = frozenset(found)
            self.tell_soon(place)

    def run(self, duration_ms: int) -> None:
        """Run for some time."""
        for _ in range(duration_ms // NEWS_DELAY_MS):
            self.step()

    def crash(self, place: int, server: str, names: list[str]) -> None:
        """Let an instance detect a crash."""
        connection_lost(self.instances[place], server, names, self.now_ms)
        self.tell_soon(place)

    def crash_on_part(self, place: int, server: str, others: int) -> None:
        """Let a server crash on a part, beside other requests of the instance."""
        suspects = self.instances[place]
        requests = [
            RequestNames(f"{server}-{each}", (SYSTEM, f"{server}-{each}"))
            for each in range(others)
        ]
        for names in (RequestNames(server, (SYSTEM, POISON)), *requests):
            marks = part_marks(suspects, names)
            connection_lost(suspects, server, [names.fingerprint], self.now_ms, marks)
        self.tell_soon(place)

    def finish(self, place: int, *parts: str) -> None:
        """Let an instance have a request with the parts that ends well."""
        request_finished(self.instances[place], "any", self.now_ms, parts)
        self.note_poison_parts(place)

    def withheld_at(self, *parts: str) -> set[int]:
        """Return the instances that withhold new requests with the parts."""
        names = RequestNames("new", parts)
        return {
            place
            for place, suspects in enumerate(self.instances)
            if quarantined_part(suspects, names, self.now_ms) is not None
        }

    def quarantined_at(self) -> set[int]:
        """Return the instances that do not send the poison request any more."""
        return {
            place
            for place, suspects in enumerate(self.instances)
            if isinstance(classify_request(suspects, POISON, self.now_ms), Quarantined)
        }


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("instances", [2, 14, 100])
class TestSpread:
    """Three crashes, each detected by another instance."""

    def crash_thrice(self, fleet: Fleet) -> None:
        count = len(fleet.instances)
        for number in range(3):
            names = [f"n{number}-{each}" for each in range(60)]
            fleet.crash(number % count, f"s{number}@1", [POISON, *names])

    def test_all_know_in_time_though_messages_are_lost(
        self, instances: int, seed: int
    ) -> None:
        fleet = Fleet(instances, loss=0.3, seed=seed)
        self.crash_thrice(fleet)
        fleet.run(CONTACT_MS)
        assert fleet.quarantined_at() == set(range(instances))

    def test_all_know_though_many_other_servers_crash(
        self, instances: int, seed: int
    ) -> None:
        fleet = Fleet(instances, loss=0.1, seed=seed)
        self.crash_thrice(fleet)
        for number in range(40):
            names = [f"m{number}-{each}" for each in range(60)]
            fleet.crash(number % instances, f"t{number}@1", names)
        fleet.run(CONTACT_MS)
        assert fleet.quarantined_at() == set(range(instances))

    def test_all_know_though_many_other_servers_had_crashed(
        self, instances: int, seed: int
    ) -> None:
        fleet = Fleet(instances, loss=0.1, seed=seed)
        for number in range(EARLIER_CRASHES):
            for each in range(30):
                place = fleet.random.randrange(instances)
                fleet.crash(place, f"t{number}@1", [f"m{number}-{each}"])
            fleet.run(50)
        fleet.run(2_000)
        for number in range(3):
            names = [f"n{number}-{each}" for each in range(30)]
            fleet.crash(number % instances, f"s{number}@1", [POISON, *names])
        fleet.run(CONTACT_MS)
        assert fleet.quarantined_at() == set(range(instances))

    def test_instances_that_were_cut_off_know_in_time_after_the_cut(
        self, instances: int, seed: int
    ) -> None:
        fleet = Fleet(instances, loss=0.1, seed=seed)
        fleet.cut_off = set(range(instances // 2))
        outside = instances - 1
        for number in range(3):
            fleet.crash(outside, f"s{number}@1", [POISON, f"n{number}"])
        fleet.run(10_000)
        assert fleet.quarantined_at().isdisjoint(fleet.cut_off)
        fleet.cut_off = set()
        fleet.run(CONTACT_MS)
        assert fleet.quarantined_at() == set(range(instances))

    def test_restarted_instance_knows_in_time(self, instances: int, seed: int) -> None:
        fleet = Fleet(instances, loss=0.1, seed=seed)
        self.crash_thrice(fleet)
        fleet.run(CONTACT_MS)
        fleet.instances[0] = Suspects(CRASH_RETENTION_MS)
        fleet.run(CONTACT_MS)
        assert 0 in fleet.quarantined_at()


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("instances", [2, 14, 100])
class TestPartsSpread:
    """Servers crash on a part, each beside others of one instance after another."""

    def crash_in_turn(self, fleet: Fleet) -> None:
        count = len(fleet.instances)
        fleet.finish(0, SYSTEM)
        for number in range(PART_CRASHES):
            fleet.crash_on_part(number % count, f"s{number}@1", others=20)
            fleet.run(200)

    def test_all_withhold_it_in_time_though_messages_are_lost(
        self, instances: int, seed: int
    ) -> None:
        fleet = Fleet(instances, loss=0.3, seed=seed)
        self.crash_in_turn(fleet)
        fleet.run(CONTACT_MS)
        assert fleet.withheld_at(POISON) == set(range(instances))
        assert not fleet.withheld_at(SYSTEM, "other")

    def test_restarted_instance_withholds_it_in_time_after_many_other_crashes(
        self, instances: int, seed: int
    ) -> None:
        fleet = Fleet(instances, loss=0.1, seed=seed)
        self.crash_in_turn(fleet)
        for number in range(40):
            name = f"t{number}@1"
            names = RequestNames(name, (SYSTEM, f"session-{number}"))
            suspects = fleet.instances[number % instances]
            marks = part_marks(suspects, names)
            connection_lost(suspects, name, [name], fleet.now_ms, marks)
            fleet.finish(number % instances, SYSTEM, f"session-{number}")
        fleet.run(CONTACT_MS)
        fleet.instances[0] = Suspects(CRASH_RETENTION_MS)
        fleet.run(CONTACT_MS)
        assert fleet.withheld_at(POISON) == set(range(instances))
        assert not fleet.withheld_at(SYSTEM, "session-1")

    def test_instances_that_were_cut_off_withhold_it_in_time_after_the_cut(
        self, instances: int, seed: int
    ) -> None:
        fleet = Fleet(instances, loss=0.1, seed=seed)
        fleet.cut_off = set(range(instances // 2))
        for number in range(3):
            fleet.crash_on_part(instances - 1, f"s{number}@1", 20)
            fleet.finish(0, SYSTEM)
            fleet.finish(instances - 1, SYSTEM)
        fleet.run(10_000)
        assert fleet.withheld_at(POISON).isdisjoint(fleet.cut_off)
        fleet.cut_off = set()
        fleet.run(CONTACT_MS)
        assert fleet.withheld_at(POISON) == set(range(instances))
        assert not fleet.withheld_at(SYSTEM, "other")

    def test_success_at_one_instance_ends_it_at_all(
        self, instances: int, seed: int
    ) -> None:
        fleet = Fleet(instances, loss=0.1, seed=seed)
        self.crash_in_turn(fleet)
        fleet.run(CONTACT_MS)
        fleet.finish(instances - 1, POISON)
        fleet.run(CONTACT_MS)
        assert not fleet.withheld_at(POISON)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("instances", [14, 135])
class TestStart:
    """An instance that starts when the others know of many crashes."""

    def test_knows_in_time_what_brings_requests_to_their_quarantine(
        self, instances: int, seed: int
    ) -> None:
        fleet = Fleet(instances, loss=0.1, seed=seed)
        known = Suspects(CRASH_RETENTION_MS)
        for number in range(KNOWN_CRASHES):
            server = f"s{number}@1"
            poison = [POISON] if number in POISON_CRASHES else []
            names = [f"n{number // 2}-{each}" for each in range(30)]
            marks = [
                PartMark(f"p{number}-{each}", "w", 1, name)
                for each, name in enumerate(names)
            ]
            if number in POISON_PART_CRASHES:
                depth = 1 + POISON_PART_CRASHES.index(number)
                marks.append(PartMark(POISON, "", depth, f"r{number}"))
            at_ms = fleet.now_ms - 1_000 * (KNOWN_CRASHES - number)
            connection_lost(known, server, [*poison, *names], at_ms, marks)
        for place in range(instances):
            fleet.instances[place] = copy_suspects(known)
            fleet.noted[place] = frozenset(find_poison_parts(fleet.instances[place]))
        fleet.run(SETTLING_MS)
        fleet.instances[0] = Suspects(CRASH_RETENTION_MS)
        fleet.schedules[0] = ReportSchedule(fleet.now_ms)
        fleet.run(START_KNOWN_MS)
        assert 0 in fleet.quarantined_at()
        assert 0 in fleet.withheld_at(POISON)


class TestSameRun:
    """Reports of one crash, which reach an instance at different times."""

    def test_report_that_was_read_late_is_no_second_crash(self) -> None:
        suspects = Suspects(CRASH_RETENTION_MS)
        hint = CrashHint("s1@1", ("p",), 0)
        import_hints(suspects, [hint], 1_000)
        import_hints(suspects, [hint], 5_000)
        assert classify_request(suspects, "p", 5_000) == Suspect("p", ("s1@1",), 0, 1)

    def test_next_run_of_a_server_with_the_same_id_may_crash_too(self) -> None:
        suspects = Suspects(CRASH_RETENTION_MS)
        for number, run in enumerate(("s1@1", "s1@2")):
            connection_lost(suspects, run, ["p"], 1_000 + number)
        assert isinstance(classify_request(suspects, "p", 2_000), Quarantined)


class TestThirdCrash:
    """Requests that crashes can't be told apart by."""

    def test_request_in_three_crashes_is_quarantined_with_its_neighbours(self) -> None:
        suspects = Suspects(CRASH_RETENTION_MS)
        for number in range(3):
            status = classify_request(suspects, POISON, 1_000)
            assert isinstance(status, Clear | Suspect)
            connection_lost(suspects, f"s{number}@1", [POISON, "neighbour"], 1_000)
        for name in (POISON, "neighbour"):
            assert isinstance(classify_request(suspects, name, 2_000), Quarantined)

    def test_crashes_that_a_proven_request_explains_do_not_count(self) -> None:
        suspects = Suspects(CRASH_RETENTION_MS)
        connection_lost(suspects, "s0@1", [POISON], 1_000)
        for number in range(1, 4):
            connection_lost(suspects, f"s{number}@1", [POISON, "neighbour"], 1_000)
        assert isinstance(classify_request(suspects, POISON, 2_000), Quarantined)
        assert isinstance(classify_request(suspects, "neighbour", 2_000), Suspect)


class TestHintsToSend:
    """The fingerprints of a message are limited."""

    def test_limit_is_shared_and_repeated_suspects_go_first(self) -> None:
        suspects = Suspects(CRASH_RETENTION_MS)
        for number in range(8):
            names = [f"n{number}-{each}" for each in range(100)]
            connection_lost(suspects, f"s{number}@1", [POISON, *names], 1_000)
        hints = choose_hints(suspects, Random(1), NEWS_SIZE.fingerprints, 2_000)
        assert len(hints) == 8
        assert sum(len(hint.fingerprints) for hint in hints) <= NEWS_SIZE.fingerprints
        assert all(POISON in hint.fingerprints for hint in hints)
