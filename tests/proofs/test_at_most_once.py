"""Proof with real processes: a ticket's request runs at most once.

The servers' ledgers judge every outcome: ``not_run`` only without a run, and never
two runs of a stage.
"""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Generic, NamedTuple, TypeVar

from scripts.fleet import Fleet
from scripts.process_group import wait_until
from tests.proofs.ticket_fleet import Ticket, TicketFleet, ticket_plan

PRIMARY = "entry-duluth-1"
BACKUP = "entry-milwaukee-1"
OTHER = "entry-toledo-1"
SIGNUP = "roster-signup"
ORDER = "packet-order"


class Case(NamedTuple):
    """Hold one ticketed request and what callers were told of it."""

    ticket: Ticket
    input: dict[str, str]
    told: list[dict[str, Any]]


def new_case(fleet: TicketFleet, pipeline: str) -> Case:
    """Return a request that nobody has sent yet."""
    return Case(fleet.ticket(PRIMARY, BACKUP, pipeline), fleet.input(), [])


@contextmanager
def fleet_of(
    folder: Path, entries: int, lifetime_ms: int = 120_000, concurrency: int = 16
) -> Iterator[TicketFleet]:
    plan = ticket_plan(folder, entries, lifetime_ms, concurrency)
    with Fleet(plan) as fleet:
        yield TicketFleet(fleet)


class TestCopies:
    def test_run_once_wherever_and_whenever_they_arrive(self, tmp_path: Path) -> None:
        with fleet_of(tmp_path, 3) as fleet:
            self.at_every_entry_at_once(fleet)
            self.again_after_a_break(fleet)

    def at_every_entry_at_once(self, fleet: TicketFleet) -> None:
        fleet.behave("roster", slow_factor=40)
        work, ticket = fleet.input(), fleet.ticket(PRIMARY, BACKUP, SIGNUP)
        sent = [fleet.send(name, ticket, work) for name in (OTHER, PRIMARY, BACKUP) * 3]
        answers = [each.end() for each in sent]
        assert {each["outcome"] for each in answers} == {"answered"}
        assert len({str(each["output"]) for each in answers}) == 1
        other = fleet.send(OTHER, ticket, fleet.input())
        other.end()
        assert other.status == 409
        assert fleet.check(SIGNUP, work, answers) == {"enrol": 1}

    def again_after_a_break(self, fleet: TicketFleet) -> None:
        fleet.behave("roster", slow_factor=200)
        work, ticket = fleet.input(), fleet.ticket(PRIMARY, BACKUP, SIGNUP)
        for name in (PRIMARY, OTHER):
            broken = fleet.send(name, ticket, work)
            fleet.wait_for_run(work, "enrol")
            broken.drop()
        answers = [
            fleet.send(name, ticket, work).end() for name in (OTHER, PRIMARY, BACKUP)
        ]
        assert {each["outcome"] for each in answers} == {"answered"}
        assert fleet.check(SIGNUP, work, answers) == {"enrol": 1}


T = TypeVar("T")


class Points(NamedTuple, Generic[T]):
    """Hold something for each point that a primary has reached with a request.

    ``asked`` waits for a backup that has not received the intent, ``recorded`` for
    an acknowledgement that is lost.
    """

    unsent: T
    asked: T
    recorded: T
    running: T
    answered: T


def bring_to_points(fleet: TicketFleet) -> Points[Case]:
    """Bring one request to each point, all with the same primary and backup."""
    points = Points(*(new_case(fleet, SIGNUP) for _ in Points._fields))
    fleet.ask(PRIMARY, points.answered.ticket, points.answered.input)
    fleet.wait_for_event(BACKUP, "outcome_recorded", "", 1)
    fleet.behave("roster", hang=True)
    fleet.send(PRIMARY, points.running.ticket, points.running.input)
    fleet.wait_for_run(points.running.input, "enrol")
    recorded = fleet.events(BACKUP, "intent_recorded", "enrol")
    fleet.link(BACKUP, drop_answers=True)
    fleet.send(PRIMARY, points.recorded.ticket, points.recorded.input)
    fleet.wait_for_event(BACKUP, "intent_recorded", "enrol", recorded + 1)
    asked = fleet.events(PRIMARY, "intent_asked", "enrol")
    fleet.link(BACKUP, mode="blackhole")
    fleet.send(PRIMARY, points.asked.ticket, points.asked.input)
    fleet.wait_for_event(PRIMARY, "intent_asked", "enrol", asked + 1)
    return points


def ask_all(fleet: TicketFleet, points: Points[Case], *names: str) -> list[Points[str]]:
    """Send copies of all requests at once; return the kinds of outcome by entry."""
    sent = [
        (case, fleet.send(name, case.ticket, case.input, deadline_ms=3_500))
        for name in names
        for case in points
    ]
    for case, each in sent:
        case.told.append(each.end())
    kinds = [each.end()["outcome"] for _, each in sent]
    size = len(points)
    return [Points(*kinds[at : at + size]) for at in range(0, len(kinds), size)]


def check_all(fleet: TicketFleet, points: Points[Case]) -> Points[int]:
    """Compare what was told of each request with the ledger; return the runs."""
    return Points(
        *(fleet.check(SIGNUP, case.input, case.told)["enrol"] for case in points)
    )


class TestLostPrimary:
    def test_killed_at_each_point(self, tmp_path: Path) -> None:
        with fleet_of(tmp_path, 3) as fleet:
            points = bring_to_points(fleet)
            fleet.fleet.kill(PRIMARY)
            fleet.link(BACKUP, reset=True)
            (told,) = ask_all(fleet, points, OTHER)
            assert told.unsent == "not_run"
            assert (told.recorded, told.running) == ("unknown", "unknown")
            assert told.answered == "answered"
            fleet.restart(PRIMARY)
            for told in ask_all(fleet, points, OTHER, PRIMARY, BACKUP):
                assert told.unsent == "not_run"
                assert (told.recorded, told.running) == ("unknown", "unknown")
                assert told.answered == "answered"
            runs = check_all(fleet, points)
            assert runs == Points(0, 0, 0, 1, 1)

    def test_frozen_and_woken_in_time(self, tmp_path: Path) -> None:
        with fleet_of(tmp_path, 3) as fleet:
            case = new_case(fleet, SIGNUP)
            fleet.fleet.freeze(PRIMARY)
            late = fleet.send(PRIMARY, case.ticket, case.input, deadline_ms=9_000)
            case.told.append(fleet.ask(OTHER, case.ticket, case.input))
            fleet.fleet.thaw(PRIMARY)
            case.told.append(late.end())
            for name in (PRIMARY, OTHER, BACKUP):
                case.told.append(fleet.ask(name, case.ticket, case.input))
            assert fleet.check(SIGNUP, case.input, case.told) == {"enrol": 0}
            assert {each["outcome"] for each in case.told} == {"not_run"}

    def test_frozen_at_each_point_and_woken_past_expiry(self, tmp_path: Path) -> None:
        lifetime_ms = 5_000
        with fleet_of(tmp_path, 3, lifetime_ms) as fleet:
            points = bring_to_points(fleet)
            expired_s = time.monotonic() + lifetime_ms / 1_000
            fleet.fleet.freeze(PRIMARY)
            fleet.link(BACKUP, reset=True)
            late = [fleet.send(PRIMARY, case.ticket, case.input) for case in points]
            (told,) = ask_all(fleet, points, OTHER)
            assert told.unsent == "not_run"
            assert (told.recorded, told.running) == ("unknown", "unknown")
            assert told.answered == "answered"
            wait_until(lambda: time.monotonic() > expired_s, "every ticket expires")
            fleet.fleet.thaw(PRIMARY)
            for case, each in zip(points, late, strict=True):
                case.told.append(each.end())
            fleet.wait_until_idle(PRIMARY, BACKUP, OTHER)
            for told in ask_all(fleet, points, OTHER, PRIMARY):
                assert told.unsent == "not_run"
                assert told.running == "unknown"
                assert told.answered == "answered"
            runs = check_all(fleet, points)
            assert runs == Points(0, 0, 0, 1, 1)


class TestLostBackup:
    def test_runs_nothing_it_can_not_record_and_once_what_it_did(
        self, tmp_path: Path
    ) -> None:
        with fleet_of(tmp_path, 2) as fleet:
            self.cut_off(fleet)
            self.killed_and_restarted_before_the_intent(fleet)
            self.killed_during_the_run_and_the_primary_after_it(fleet)

    def cut_off(self, fleet: TicketFleet) -> None:
        case = new_case(fleet, SIGNUP)
        fleet.link(BACKUP, mode="cut")
        case.told.append(fleet.ask(PRIMARY, case.ticket, case.input))
        fleet.link(BACKUP, reset=True)
        for name in (PRIMARY, BACKUP):
            case.told.append(fleet.ask(name, case.ticket, case.input))
        assert {each["outcome"] for each in case.told} == {"not_run"}
        assert fleet.check(SIGNUP, case.input, case.told) == {"enrol": 0}

    def killed_and_restarted_before_the_intent(self, fleet: TicketFleet) -> None:
        before, after = new_case(fleet, SIGNUP), new_case(fleet, SIGNUP)
        fleet.fleet.kill(BACKUP)
        before.told.append(fleet.ask(PRIMARY, before.ticket, before.input))
        fleet.restart(BACKUP)
        for case in (before, after):
            for name in (PRIMARY, BACKUP):
                case.told.append(fleet.ask(name, case.ticket, case.input))
            assert {each["outcome"] for each in case.told} == {"not_run"}
            assert fleet.check(SIGNUP, case.input, case.told) == {"enrol": 0}

    def killed_during_the_run_and_the_primary_after_it(
        self, fleet: TicketFleet
    ) -> None:
        fleet.behave("roster", slow_factor=200)
        case, unsent = new_case(fleet, SIGNUP), new_case(fleet, SIGNUP)
        sent = fleet.send(PRIMARY, case.ticket, case.input)
        fleet.wait_for_run(case.input, "enrol")
        fleet.fleet.kill(BACKUP)
        case.told.append(sent.end())
        assert case.told[0]["outcome"] == "answered"
        fleet.fleet.kill(PRIMARY)
        fleet.restart(PRIMARY, BACKUP)
        for each in (case, unsent):
            for name in (PRIMARY, BACKUP):
                each.told.append(fleet.ask(name, each.ticket, each.input))
            assert {told["outcome"] for told in each.told[-2:]} == {"unknown"}
        assert fleet.check(SIGNUP, case.input, case.told) == {"enrol": 1}
        assert fleet.check(SIGNUP, unsent.input, unsent.told) == {"enrol": 0}


class TestZonesCutFromEachOther:
    def test_the_caller_reaches_primary_and_backup(self, tmp_path: Path) -> None:
        with fleet_of(tmp_path, 2) as fleet:
            for cut in ((PRIMARY, BACKUP), (PRIMARY,), (BACKUP,)):
                self.before_the_intent(fleet, cut)
            self.backup_asked_first(fleet)
            self.during_the_run(fleet)

    def before_the_intent(self, fleet: TicketFleet, cut: tuple[str, ...]) -> None:
        case = new_case(fleet, SIGNUP)
        fleet.link(*cut, mode="blackhole")
        sent = [fleet.send(name, case.ticket, case.input) for name in (BACKUP, PRIMARY)]
        case.told.extend(each.end() for each in sent)
        fleet.link(*cut, reset=True)
        for name in (PRIMARY, BACKUP):
            case.told.append(fleet.ask(name, case.ticket, case.input))
        runs = fleet.check(SIGNUP, case.input, case.told)
        if PRIMARY in cut and BACKUP in cut:
            assert runs == {"enrol": 0}
        assert len({each["outcome"] for each in case.told[-2:]}) == 1

    def backup_asked_first(self, fleet: TicketFleet) -> None:
        case = new_case(fleet, SIGNUP)
        fleet.link(PRIMARY, mode="cut")
        for name in (BACKUP, PRIMARY):
            case.told.append(fleet.ask(name, case.ticket, case.input))
        fleet.link(PRIMARY, reset=True)
        assert fleet.check(SIGNUP, case.input, case.told) == {"enrol": 0}
        assert {each["outcome"] for each in case.told} == {"not_run"}

    def during_the_run(self, fleet: TicketFleet) -> None:
        fleet.behave("roster", slow_factor=300)
        case = new_case(fleet, SIGNUP)
        sent = fleet.send(PRIMARY, case.ticket, case.input)
        fleet.wait_for_run(case.input, "enrol")
        fleet.link(PRIMARY, BACKUP, mode="blackhole")
        case.told.append(fleet.ask(BACKUP, case.ticket, case.input, deadline_ms=1_000))
        case.told.append(sent.end())
        fleet.link(PRIMARY, BACKUP, reset=True)
        case.told.append(fleet.ask(BACKUP, case.ticket, case.input))
        kinds = [each["outcome"] for each in case.told]
        assert kinds == ["unknown", "answered", "answered"]
        assert fleet.check(SIGNUP, case.input, case.told) == {"enrol": 1}


class TestTwoStages:
    def test_primary_lost_between_them(self, tmp_path: Path) -> None:
        with fleet_of(tmp_path, 3, concurrency=1) as fleet:
            self.orphan_is_cancelled_while_its_primary_is_frozen(fleet)
            self.killed_before_the_second_intent(fleet)
            self.killed_after_the_second_intent_and_in_the_second_run(fleet)

    def told_of(self, fleet: TicketFleet, case: Case) -> list[dict[str, str]]:
        """Ask everywhere; return what each says of each stage."""
        for name in (OTHER, PRIMARY, BACKUP):
            case.told.append(fleet.ask(name, case.ticket, case.input, ORDER))
        assert {each["outcome"] for each in case.told} == {"unknown"}
        return [
            {stage: told["outcome"] for stage, told in each["stages"].items()}
            for each in case.told
        ]

    def orphan_is_cancelled_while_its_primary_is_frozen(
        self, fleet: TicketFleet
    ) -> None:
        case = new_case(fleet, ORDER)
        held = fleet.occupy("printing")
        fleet.send(PRIMARY, case.ticket, case.input, pipeline=ORDER)
        wait_until(lambda: fleet.queued("printing") == 1, "the print is queued")
        fleet.fleet.freeze(PRIMARY)
        frozen = fleet.replace_frozen(PRIMARY)
        for told in self.told_of(fleet, case):
            assert told == {"charge": "answered", "print": "unknown"}
        wait_until(lambda: fleet.queued("printing") == 0, "the orphan is cancelled")
        fleet.fleet.thaw(frozen)
        fleet.release("printing", held)
        runs = fleet.check(ORDER, case.input, case.told)
        assert runs == {"charge": 1, "print": 0}

    def killed_before_the_second_intent(self, fleet: TicketFleet) -> None:
        fleet.behave("roster", slow_factor=100)
        case = new_case(fleet, ORDER)
        asked = fleet.events(PRIMARY, "intent_asked", "print")
        fleet.send(PRIMARY, case.ticket, case.input, pipeline=ORDER)
        fleet.wait_for_run(case.input, "charge")
        fleet.link(BACKUP, mode="blackhole")
        fleet.wait_for_event(PRIMARY, "intent_asked", "print", asked + 1)
        fleet.fleet.kill(PRIMARY)
        fleet.link(BACKUP, reset=True)
        fleet.restart(PRIMARY)
        for told in self.told_of(fleet, case):
            assert told["charge"] in ("answered", "unknown")
        runs = fleet.check(ORDER, case.input, case.told)
        assert runs == {"charge": 1, "print": 0}

    def killed_after_the_second_intent_and_in_the_second_run(
        self, fleet: TicketFleet
    ) -> None:
        recorded, running = new_case(fleet, ORDER), new_case(fleet, ORDER)
        fleet.behave("printing", hang=True)
        fleet.send(PRIMARY, running.ticket, running.input, pipeline=ORDER)
        fleet.wait_for_run(running.input, "print")
        known = fleet.events(BACKUP, "intent_recorded", "print")
        fleet.send(PRIMARY, recorded.ticket, recorded.input, pipeline=ORDER)
        fleet.wait_for_run(recorded.input, "charge")
        fleet.link(BACKUP, drop_answers=True)
        fleet.wait_for_event(BACKUP, "intent_recorded", "print", known + 1)
        fleet.fleet.kill(PRIMARY)
        fleet.link(BACKUP, reset=True)
        fleet.restart(PRIMARY)
        for case, prints in ((running, 1), (recorded, 0)):
            for told in self.told_of(fleet, case):
                assert told == {"charge": "answered", "print": "unknown"}
            runs = fleet.check(ORDER, case.input, case.told)
            assert runs == {"charge": 1, "print": prints}


class TestSteppedWallClock:
    def test_reaches_no_decision(self, tmp_path: Path) -> None:
        with fleet_of(tmp_path, 2) as fleet:
            for name in (PRIMARY, BACKUP):
                fleet.restart_with_stepped_wall_clock(name)
            self.ends_at_its_deadline(fleet)
            self.is_revoked_when_its_primary_is_silent(fleet)

    def ends_at_its_deadline(self, fleet: TicketFleet) -> None:
        fleet.behave("roster", hang=True)
        case = new_case(fleet, SIGNUP)
        began_s = time.monotonic()
        for name in (PRIMARY, BACKUP):
            case.told.append(
                fleet.ask(name, case.ticket, case.input, deadline_ms=1_000)
            )
        took_s = time.monotonic() - began_s
        assert 1.0 <= took_s < 10.0
        assert {each["outcome"] for each in case.told} == {"unknown"}
        assert fleet.check(SIGNUP, case.input, case.told) == {"enrol": 1}

    def is_revoked_when_its_primary_is_silent(self, fleet: TicketFleet) -> None:
        fleet.behave("roster", reset=True)
        case, answered = new_case(fleet, SIGNUP), new_case(fleet, SIGNUP)
        fleet.fleet.freeze(PRIMARY)
        case.told.append(fleet.ask(BACKUP, case.ticket, case.input))
        fleet.fleet.thaw(PRIMARY)
        case.told.append(fleet.ask(PRIMARY, case.ticket, case.input))
        assert {each["outcome"] for each in case.told} == {"not_run"}
        assert fleet.check(SIGNUP, case.input, case.told) == {"enrol": 0}
        answered.told.append(fleet.ask(BACKUP, answered.ticket, answered.input))
        assert answered.told[0]["outcome"] == "answered"
        assert fleet.check(SIGNUP, answered.input, answered.told) == {"enrol": 1}
