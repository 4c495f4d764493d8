"""Test with real processes that a request with a ticket runs at most once.

Every outcome is checked against the servers' ledgers: ``not_run`` only without a
run, and never two runs of a stage.
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
    """Hold one request with a ticket and the answers that callers got."""

    ticket: Ticket
    input: dict[str, str]
    answers: list[dict[str, Any]]


def new_case(fleet: TicketFleet, pipeline: str) -> Case:
    """Return a new request that has not been sent."""
    return Case(fleet.ticket(PRIMARY, BACKUP, pipeline), fleet.new_input(), [])


@contextmanager
def running_fleet(
    folder: Path, entries: int, lifetime_ms: int = 120_000, concurrency: int = 16
) -> Iterator[TicketFleet]:
    plan = ticket_plan(folder, entries, lifetime_ms, concurrency)
    with Fleet(plan) as fleet:
        yield TicketFleet(fleet)


class TestCopies:
    def test_run_once_wherever_and_whenever_they_arrive(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path, 3) as fleet:
            self.at_every_entry_at_once(fleet)
            self.again_after_a_break(fleet)

    def at_every_entry_at_once(self, fleet: TicketFleet) -> None:
        fleet.set_behaviour("roster", slow_factor=40)
        input_, ticket = fleet.new_input(), fleet.ticket(PRIMARY, BACKUP, SIGNUP)
        sent = [
            fleet.send(name, ticket, input_) for name in (OTHER, PRIMARY, BACKUP) * 3
        ]
        answers = [each.end() for each in sent]
        assert {each["outcome"] for each in answers} == {"answered"}
        assert len({str(each["output"]) for each in answers}) == 1
        other = fleet.send(OTHER, ticket, fleet.new_input())
        other.end()
        assert other.status == 409
        assert fleet.check(SIGNUP, input_, answers) == {"enrol": 1}

    def again_after_a_break(self, fleet: TicketFleet) -> None:
        fleet.set_behaviour("roster", slow_factor=200)
        input_, ticket = fleet.new_input(), fleet.ticket(PRIMARY, BACKUP, SIGNUP)
        for name in (PRIMARY, OTHER):
            broken = fleet.send(name, ticket, input_)
            fleet.wait_for_run(input_, "enrol")
            broken.drop()
        answers = [
            fleet.send(name, ticket, input_).end() for name in (OTHER, PRIMARY, BACKUP)
        ]
        assert {each["outcome"] for each in answers} == {"answered"}
        assert fleet.check(SIGNUP, input_, answers) == {"enrol": 1}


T = TypeVar("T")


class Points(NamedTuple, Generic[T]):
    """Hold one value for each point that a request may have reached at its primary.

    At ``asked`` the backup has not received the intent; at ``recorded`` it has, but
    its acknowledgement is lost.
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
    fleet.set_behaviour("roster", hang=True)
    fleet.send(PRIMARY, points.running.ticket, points.running.input)
    fleet.wait_for_run(points.running.input, "enrol")
    recorded = fleet.events(BACKUP, "intent_recorded", "enrol")
    fleet.change_links(BACKUP, drop_answers=True)
    fleet.send(PRIMARY, points.recorded.ticket, points.recorded.input)
    fleet.wait_for_event(BACKUP, "intent_recorded", "enrol", recorded + 1)
    asked = fleet.events(PRIMARY, "intent_asked", "enrol")
    fleet.change_links(BACKUP, mode="blackhole")
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
        case.answers.append(each.end())
    kinds = [each.end()["outcome"] for _, each in sent]
    size = len(points)
    return [Points(*kinds[at : at + size]) for at in range(0, len(kinds), size)]


def check_all(fleet: TicketFleet, points: Points[Case]) -> Points[int]:
    """Check the answers to each request against the ledger; return the runs."""
    return Points(
        *(fleet.check(SIGNUP, case.input, case.answers)["enrol"] for case in points)
    )


class TestLostPrimary:
    def test_killed_at_each_point(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path, 3) as fleet:
            points = bring_to_points(fleet)
            fleet.fleet.kill(PRIMARY)
            fleet.change_links(BACKUP, reset=True)
            (outcomes,) = ask_all(fleet, points, OTHER)
            assert outcomes.unsent == "not_run"
            assert (outcomes.recorded, outcomes.running) == ("unknown", "unknown")
            assert outcomes.answered == "answered"
            fleet.restart(PRIMARY)
            for outcomes in ask_all(fleet, points, OTHER, PRIMARY, BACKUP):
                assert outcomes.unsent == "not_run"
                assert (outcomes.recorded, outcomes.running) == ("unknown", "unknown")
                assert outcomes.answered == "answered"
            runs = check_all(fleet, points)
            assert runs == Points(0, 0, 0, 1, 1)

    def test_frozen_and_woken_in_time(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path, 3) as fleet:
            case = new_case(fleet, SIGNUP)
            fleet.fleet.freeze(PRIMARY)
            late = fleet.send(PRIMARY, case.ticket, case.input, deadline_ms=9_000)
            case.answers.append(fleet.ask(OTHER, case.ticket, case.input))
            fleet.fleet.thaw(PRIMARY)
            case.answers.append(late.end())
            for name in (PRIMARY, OTHER, BACKUP):
                case.answers.append(fleet.ask(name, case.ticket, case.input))
            assert fleet.check(SIGNUP, case.input, case.answers) == {"enrol": 0}
            assert {each["outcome"] for each in case.answers} == {"not_run"}

    def test_frozen_at_each_point_and_woken_past_expiry(self, tmp_path: Path) -> None:
        lifetime_ms = 5_000
        with running_fleet(tmp_path, 3, lifetime_ms) as fleet:
            points = bring_to_points(fleet)
            expired_s = time.monotonic() + lifetime_ms / 1_000
            fleet.fleet.freeze(PRIMARY)
            fleet.change_links(BACKUP, reset=True)
            late = [fleet.send(PRIMARY, case.ticket, case.input) for case in points]
            (outcomes,) = ask_all(fleet, points, OTHER)
            assert outcomes.unsent == "not_run"
            assert (outcomes.recorded, outcomes.running) == ("unknown", "unknown")
            assert outcomes.answered == "answered"
            wait_until(lambda: time.monotonic() > expired_s, "every ticket expires")
            fleet.fleet.thaw(PRIMARY)
            for case, each in zip(points, late, strict=True):
                case.answers.append(each.end())
            fleet.wait_until_idle(PRIMARY, BACKUP, OTHER)
            for outcomes in ask_all(fleet, points, OTHER, PRIMARY):
                assert outcomes.unsent == "not_run"
                assert outcomes.running == "unknown"
                assert outcomes.answered == "answered"
            runs = check_all(fleet, points)
            assert runs == Points(0, 0, 0, 1, 1)


class TestLostBackup:
    def test_runs_nothing_unrecorded_and_recorded_work_once(
        self, tmp_path: Path
    ) -> None:
        with running_fleet(tmp_path, 2) as fleet:
            self.cut_off(fleet)
            self.killed_and_restarted_before_the_intent(fleet)
            self.killed_during_the_run_and_the_primary_after_it(fleet)

    def cut_off(self, fleet: TicketFleet) -> None:
        case = new_case(fleet, SIGNUP)
        fleet.change_links(BACKUP, mode="cut")
        case.answers.append(fleet.ask(PRIMARY, case.ticket, case.input))
        fleet.change_links(BACKUP, reset=True)
        for name in (PRIMARY, BACKUP):
            case.answers.append(fleet.ask(name, case.ticket, case.input))
        assert {each["outcome"] for each in case.answers} == {"not_run"}
        assert fleet.check(SIGNUP, case.input, case.answers) == {"enrol": 0}

    def killed_and_restarted_before_the_intent(self, fleet: TicketFleet) -> None:
        before, after = new_case(fleet, SIGNUP), new_case(fleet, SIGNUP)
        fleet.fleet.kill(BACKUP)
        before.answers.append(fleet.ask(PRIMARY, before.ticket, before.input))
        fleet.restart(BACKUP)
        for case in (before, after):
            for name in (PRIMARY, BACKUP):
                case.answers.append(fleet.ask(name, case.ticket, case.input))
            assert {each["outcome"] for each in case.answers} == {"not_run"}
            assert fleet.check(SIGNUP, case.input, case.answers) == {"enrol": 0}

    def killed_during_the_run_and_the_primary_after_it(
        self, fleet: TicketFleet
    ) -> None:
        fleet.set_behaviour("roster", slow_factor=200)
        case, unsent = new_case(fleet, SIGNUP), new_case(fleet, SIGNUP)
        sent = fleet.send(PRIMARY, case.ticket, case.input)
        fleet.wait_for_run(case.input, "enrol")
        fleet.fleet.kill(BACKUP)
        case.answers.append(sent.end())
        assert case.answers[0]["outcome"] == "answered"
        fleet.fleet.kill(PRIMARY)
        fleet.restart(PRIMARY, BACKUP)
        for each in (case, unsent):
            for name in (PRIMARY, BACKUP):
                each.answers.append(fleet.ask(name, each.ticket, each.input))
            assert {answer["outcome"] for answer in each.answers[-2:]} == {"unknown"}
        assert fleet.check(SIGNUP, case.input, case.answers) == {"enrol": 1}
        assert fleet.check(SIGNUP, unsent.input, unsent.answers) == {"enrol": 0}


class TestZonesCutFromEachOther:
    def test_the_caller_reaches_primary_and_backup(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path, 2) as fleet:
            for cut in ((PRIMARY, BACKUP), (PRIMARY,), (BACKUP,)):
                self.before_the_intent(fleet, cut)
            self.backup_asked_first(fleet)
            self.during_the_run(fleet)

    def before_the_intent(self, fleet: TicketFleet, cut: tuple[str, ...]) -> None:
        case = new_case(fleet, SIGNUP)
        fleet.change_links(*cut, mode="blackhole")
        sent = [fleet.send(name, case.ticket, case.input) for name in (BACKUP, PRIMARY)]
        case.answers.extend(each.end() for each in sent)
        fleet.change_links(*cut, reset=True)
        for name in (PRIMARY, BACKUP):
            case.answers.append(fleet.ask(name, case.ticket, case.input))
        runs = fleet.check(SIGNUP, case.input, case.answers)
        if PRIMARY in cut and BACKUP in cut:
            assert runs == {"enrol": 0}
        assert len({each["outcome"] for each in case.answers[-2:]}) == 1

    def backup_asked_first(self, fleet: TicketFleet) -> None:
        case = new_case(fleet, SIGNUP)
        fleet.change_links(PRIMARY, mode="cut")
        for name in (BACKUP, PRIMARY):
            case.answers.append(fleet.ask(name, case.ticket, case.input))
        fleet.change_links(PRIMARY, reset=True)
        assert fleet.check(SIGNUP, case.input, case.answers) == {"enrol": 0}
        assert {each["outcome"] for each in case.answers} == {"not_run"}

    def during_the_run(self, fleet: TicketFleet) -> None:
        fleet.set_behaviour("roster", slow_factor=300)
        case = new_case(fleet, SIGNUP)
        sent = fleet.send(PRIMARY, case.ticket, case.input)
        fleet.wait_for_run(case.input, "enrol")
        fleet.change_links(PRIMARY, BACKUP, mode="blackhole")
        case.answers.append(
            fleet.ask(BACKUP, case.ticket, case.input, deadline_ms=1_000)
        )
        case.answers.append(sent.end())
        fleet.change_links(PRIMARY, BACKUP, reset=True)
        case.answers.append(fleet.ask(BACKUP, case.ticket, case.input))
        kinds = [each["outcome"] for each in case.answers]
        assert kinds == ["unknown", "answered", "answered"]
        assert fleet.check(SIGNUP, case.input, case.answers) == {"enrol": 1}


# A charge lasts for a second or more, so that the links are changed before it ends.
SLOW_CHARGE = 300
LONG_MS = 20_000


class TestTwoStages:
    def test_primary_lost_between_them(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path, 3, concurrency=1) as fleet:
            self.orphan_is_cancelled_while_its_primary_is_frozen(fleet)
            self.killed_before_the_second_intent(fleet)
            self.killed_after_the_second_intent_and_in_the_second_run(fleet)

    def stage_outcomes(self, fleet: TicketFleet, case: Case) -> list[dict[str, str]]:
        """Ask every entry; return the outcome of each stage in each answer."""
        for name in (OTHER, PRIMARY, BACKUP):
            case.answers.append(fleet.ask(name, case.ticket, case.input, ORDER))
        assert {each["outcome"] for each in case.answers} == {"unknown"}
        return [
            {stage: result["outcome"] for stage, result in each["stages"].items()}
            for each in case.answers
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
        for stages in self.stage_outcomes(fleet, case):
            assert stages == {"charge": "answered", "print": "unknown"}
        wait_until(lambda: fleet.queued("printing") == 0, "the orphan is cancelled")
        fleet.fleet.thaw(frozen)
        fleet.release("printing", held)
        runs = fleet.check(ORDER, case.input, case.answers)
        assert runs == {"charge": 1, "print": 0}

    def killed_before_the_second_intent(self, fleet: TicketFleet) -> None:
        fleet.set_behaviour("roster", slow_factor=SLOW_CHARGE)
        case = new_case(fleet, ORDER)
        asked = fleet.events(PRIMARY, "intent_asked", "print")
        fleet.send(
            PRIMARY, case.ticket, case.input, pipeline=ORDER, deadline_ms=LONG_MS
        )
        fleet.wait_for_run(case.input, "charge")
        fleet.change_links(BACKUP, mode="blackhole")
        fleet.wait_for_event(PRIMARY, "intent_asked", "print", asked + 1)
        fleet.fleet.kill(PRIMARY)
        fleet.change_links(BACKUP, reset=True)
        fleet.restart(PRIMARY)
        for stages in self.stage_outcomes(fleet, case):
            assert stages["charge"] in ("answered", "unknown")
        runs = fleet.check(ORDER, case.input, case.answers)
        assert runs == {"charge": 1, "print": 0}

    def killed_after_the_second_intent_and_in_the_second_run(
        self, fleet: TicketFleet
    ) -> None:
        recorded, running = new_case(fleet, ORDER), new_case(fleet, ORDER)
        fleet.set_behaviour("roster", slow_factor=100)
        fleet.set_behaviour("printing", hang=True)
        fleet.send(PRIMARY, running.ticket, running.input, pipeline=ORDER)
        fleet.wait_for_run(running.input, "print")
        known = fleet.events(BACKUP, "intent_recorded", "print")
        fleet.set_behaviour("roster", slow_factor=SLOW_CHARGE)
        fleet.send(
            PRIMARY,
            recorded.ticket,
            recorded.input,
            pipeline=ORDER,
            deadline_ms=LONG_MS,
        )
        fleet.wait_for_run(recorded.input, "charge")
        fleet.change_links(BACKUP, drop_answers=True)
        fleet.wait_for_event(BACKUP, "intent_recorded", "print", known + 1)
        fleet.fleet.kill(PRIMARY)
        fleet.change_links(BACKUP, reset=True)
        fleet.restart(PRIMARY)
        for case, prints in ((running, 1), (recorded, 0)):
            for stages in self.stage_outcomes(fleet, case):
                assert stages == {"charge": "answered", "print": "unknown"}
            runs = fleet.check(ORDER, case.input, case.answers)
            assert runs == {"charge": 1, "print": prints}


class TestSteppedWallClock:
    def test_affects_no_decision(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path, 2) as fleet:
            for name in (PRIMARY, BACKUP):
                fleet.restart_with_stepped_wall_clock(name)
            self.ends_at_its_deadline(fleet)
            self.is_revoked_when_its_primary_is_silent(fleet)

    def ends_at_its_deadline(self, fleet: TicketFleet) -> None:
        fleet.set_behaviour("roster", hang=True)
        case = new_case(fleet, SIGNUP)
        began_s = time.monotonic()
        for name in (PRIMARY, BACKUP):
            case.answers.append(
                fleet.ask(name, case.ticket, case.input, deadline_ms=1_000)
            )
        took_s = time.monotonic() - began_s
        assert 1.0 <= took_s < 10.0
        assert {each["outcome"] for each in case.answers} == {"unknown"}
        assert fleet.check(SIGNUP, case.input, case.answers) == {"enrol": 1}

    def is_revoked_when_its_primary_is_silent(self, fleet: TicketFleet) -> None:
        fleet.set_behaviour("roster", reset=True)
        case, answered = new_case(fleet, SIGNUP), new_case(fleet, SIGNUP)
        fleet.fleet.freeze(PRIMARY)
        case.answers.append(fleet.ask(BACKUP, case.ticket, case.input))
        fleet.fleet.thaw(PRIMARY)
        case.answers.append(fleet.ask(PRIMARY, case.ticket, case.input))
        assert {each["outcome"] for each in case.answers} == {"not_run"}
        assert fleet.check(SIGNUP, case.input, case.answers) == {"enrol": 0}
        answered.answers.append(fleet.ask(BACKUP, answered.ticket, answered.input))
        assert answered.answers[0]["outcome"] == "answered"
        assert fleet.check(SIGNUP, answered.input, answered.answers) == {"enrol": 1}
