"""Spread reports of crashes among instances that lose messages and are cut off."""

from random import Random

import pytest

from bramleyturn.core.crashes import (
    CRASH_RETENTION_MS,
    CrashHint,
    Suspects,
    connection_lost,
    import_hints,
    request_finished,
)
from bramleyturn.core.poison import (
    Clear,
    Quarantined,
    Suspect,
    choose_hints,
    classify_request,
)
from bramleyturn.core.poison_parts import (
    choose_part_hints,
    find_poison_parts,
    part_marks,
    quarantined_part,
)
from bramleyturn.core.request_names import RequestNames
from bramleyturn.gateway.heartbeats import (
    MAX_SENT_FINGERPRINTS,
    MAX_SENT_MARKS,
    NEWS_DELAY_MS,
)

BEAT_MS = 400
# Time within which every instance in contact must know of a crash.
CONTACT_MS = 3_000
# Crashes on a part from which the time counts within which it must be withheld.
PART_CRASHES = 5
POISON = "poison"
SYSTEM = "system"


class Fleet:
    """Simulate the messages of instances, each of which goes to up to 24 others.

    Instances send at intervals, and shortly after they learned of a crash.
    """

    def __init__(self, instances: int, loss: float, seed: int) -> None:
        self.instances = [Suspects(CRASH_RETENTION_MS) for _ in range(instances)]
        self.random = Random(seed)
        self.loss = loss
        self.now_ms = 10_000
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
        hints = (
            *choose_hints(sender, self.random, MAX_SENT_FINGERPRINTS, self.now_ms),
            *choose_part_hints(sender, self.random, MAX_SENT_MARKS, self.now_ms),
        )
        side = [
            other
            for other in range(len(self.instances))
            if other != place and (other in self.cut_off) == (place in self.cut_off)
        ]
        for other in self.random.sample(side, min(24, len(side))):
            if self.random.random() < self.loss:
                continue
            suspects = self.instances[other]
            known = len(suspects.crashes)
            import_hints(suspects, hints, self.now_ms + 5)
            find_poison_parts(suspects)
            if len(suspects.crashes) > known:
                self.next_ms[other] = self.now_ms + NEWS_DELAY_MS

    def run(self, duration_ms: int) -> None:
        """Run for some time."""
        for _ in range(duration_ms // NEWS_DELAY_MS):
            self.step()

    def crash(self, place: int, server: str, names: list[str]) -> None:
        """Let an instance detect a crash."""
        connection_lost(self.instances[place], server, names, self.now_ms)
        self.next_ms[place] = self.now_ms + NEWS_DELAY_MS

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
        self.next_ms[place] = self.now_ms + NEWS_DELAY_MS

    def finish(self, place: int, *parts: str) -> None:
        """Let an instance have a request with the parts that ends well."""
        request_finished(self.instances[place], "any", self.now_ms, parts)

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
        hints = choose_hints(suspects, Random(1), MAX_SENT_FINGERPRINTS, 2_000)
        assert len(hints) == 8
        assert sum(len(hint.fingerprints) for hint in hints) <= MAX_SENT_FINGERPRINTS
        assert all(POISON in hint.fingerprints for hint in hints)
