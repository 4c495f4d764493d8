"""Test that ``not_run`` is reported only for requests that never ran.

A request that was written to a server, and not refused there, must not be reported
as ``not_run`` either. Every outcome is compared with the ledgers of the backend
servers, which list the calls that really began.
"""

from collections.abc import Iterator
from itertools import product
from typing import Any, Final, NamedTuple

import pytest

from bramleyturn.core.events import AttemptFailed, FailureReason
from bramleyturn.core.outcomes import OutcomeKind
from scripts.fleet import Fleet, FleetPlan
from tests.core.entry_simulation import EntrySimulation, answers, started
from tests.http_calls import Reply, receive, wait_until
from tests.proofs.fleet_calls import (
    expected,
    ledger,
    new_ticket,
    send_request,
    servers_of,
    set_behaviour,
    set_link,
    start_request,
)
from tests.proofs.random_simulation import simulate_seeds

BLOCKS = [range(first, first + 500) for first in range(2_000, 4_000, 500)]
SHORT_MS: Final = 1_200
LIMITS: Final = """
[limits]
max_running = 4
max_queued = 0
ejection_failures = 1000
[workspace printing]
rate_per_s = 1
burst = 1
"""
WORKSPACES: Final = {"roster-signup": "rosters", "lesson-draft": "lessons"}


class TestInVirtualTime:
    @pytest.mark.parametrize("seeds", BLOCKS, ids=str)
    def test_what_ran_is_never_not_run(self, seeds: range) -> None:
        faults, kinds = simulate_seeds(seeds)
        print(f"{seeds}: {dict(kinds)}")
        assert not faults, "\n".join(faults)
        assert kinds[OutcomeKind.NOT_RUN] > 1_000

    def test_every_end_of_every_attempt(self) -> None:
        """Try every failure reason for each of up to three attempts of one stage."""
        reasons = [reason for reason in FailureReason if reason != "resume_refused"]
        nothing_ran = {FailureReason.NOT_CONNECTED, FailureReason.NOT_STARTED}
        for reasons_tried in product(reasons, repeat=3):
            simulation = EntrySimulation()
            attempt = started(simulation.send("draft", left_ms=2_000))
            made = []
            for reason in reasons_tried:
                made.append(reason)
                failure = AttemptFailed(attempt.attempt_id, reason, "", None, False)
                simulation.feed(failure)
                actions = simulation.advance(200)
                if answers(simulation.actions):
                    break
                attempt = started(actions)
            else:
                # Attempts that never connected are retried more often.
                assert FailureReason.NOT_CONNECTED in made
                continue
            (ended,) = answers(simulation.actions)
            is_not_run = ended.outcome.kind is OutcomeKind.NOT_RUN
            assert is_not_run == (set(made) <= nothing_ran), made


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    plan = FleetPlan(
        tmp_path_factory.mktemp("not-run"),
        entries_per_zone=1,
        fault_links=True,
        extra_files={"60-limits.ini": LIMITS},
    )
    with Fleet(plan) as running:
        yield running


class CheckedOutcome(NamedTuple):
    """Hold the outcome that a caller received and how often its stages ran."""

    outcome: str
    reason: str
    runs: int


def count_runs(fleet: Fleet, pipeline: str, value: Any) -> int:
    """Count the runs of a request's stages that must not be retried."""
    keys = expected(fleet, pipeline, value).run_keys
    return sum(
        entry["input_digest"] == key.input_digest
        for key in keys
        for server in servers_of(fleet, key.pool)
        for entry in ledger(fleet, server)
    )


def check_outcome(
    fleet: Fleet, pipeline: str, value: Any, reply: Reply
) -> CheckedOutcome:
    """Check a reply against the ledgers."""
    document = reply.document
    found = CheckedOutcome(
        document["outcome"], document["reason"], count_runs(fleet, pipeline, value)
    )
    print(value, found)
    if found.outcome == "not_run":
        assert found.runs == 0, found
        assert "retry-after" in reply.headers
    if found.outcome == "answered":
        assert found.runs == 1, found
    assert found.runs <= 1, found
    return found


def sign_up(fleet: Fleet, name: str, deadline_ms: int = SHORT_MS) -> CheckedOutcome:
    """Send a sign-up with a new ticket."""
    entry = fleet.entry_names()[0]
    ticket = new_ticket(fleet, entry, "roster-signup", "rosters")
    value = {"child": name}
    reply = send_request(
        fleet,
        entry,
        "roster-signup",
        value,
        workspace="rosters",
        ticket=ticket,
        deadline_ms=deadline_ms,
    )
    return check_outcome(fleet, "roster-signup", value, reply)


@pytest.mark.usefixtures("healed")
class TestThroughProcesses:
    def test_refused_by_the_rate_limit(self, fleet: Fleet) -> None:
        entry = fleet.entry_names()[0]
        outcomes = []
        for place in range(3):
            ticket = new_ticket(fleet, entry, "packet-order", "printing")
            value = {"packet": f"rate-{place}"}
            reply = send_request(
                fleet, entry, "packet-order", value, workspace="printing", ticket=ticket
            )
            document = reply.document
            ran = count_runs(fleet, "packet-order", value)
            outcomes.append(document["outcome"])
            assert ran == (0 if document["outcome"] == "not_run" else 2), document
        assert "not_run" in outcomes

    def test_refused_by_a_full_entry(self, fleet: Fleet) -> None:
        entry = fleet.entry_names()[0]
        for server in servers_of(fleet, "drafting"):
            set_behaviour(fleet, server, slow_factor=20.0)
        values = [{"ask": f"full {place}"} for place in range(8)]
        sent = [start_request(fleet, entry, "lesson-draft", value) for value in values]
        replies = [receive(connection) for connection in sent]
        outcomes = [reply.document["outcome"] for reply in replies]
        assert set(outcomes) == {"answered", "not_run"}, outcomes
        digests = {
            entry["input_digest"]
            for server in servers_of(fleet, "encoders")
            for entry in ledger(fleet, server)
        }
        assert len(digests) >= outcomes.count("answered")
        for reply in replies:
            if reply.document["outcome"] == "not_run":
                stages = reply.document["stages"].values()
                assert all(stage["attempts"] == 0 for stage in stages)

    def test_refused_ticket_starts_nothing(self, fleet: Fleet) -> None:
        entry = fleet.entry_names()[0]
        ticket = new_ticket(fleet, entry, "packet-order", "printing")
        value = {"child": "forged"}
        for wrong in (ticket, ticket[:-4] + "AAAA", "nonsense"):
            reply = send_request(
                fleet, entry, "roster-signup", value, workspace="rosters", ticket=wrong
            )
            assert 400 <= reply.status < 500, reply
            assert count_runs(fleet, "roster-signup", value) == 0

    def test_no_server_reached(self, fleet: Fleet) -> None:
        for server in servers_of(fleet, "roster"):
            set_link(fleet, server, mode="refuse")
        found = sign_up(fleet, "refused")
        assert found.outcome == "not_run"

    def test_busy_servers(self, fleet: Fleet) -> None:
        for server in servers_of(fleet, "roster"):
            set_behaviour(fleet, server, refuse=True)
        assert sign_up(fleet, "busy").outcome == "not_run"

    def test_silent_backup(self, fleet: Fleet) -> None:
        entry, backup = fleet.entry_names()[:2]
        ticket = new_ticket(fleet, entry, "roster-signup", "rosters")
        value = {"child": "no backup"}
        fleet.freeze(backup)
        try:
            reply = send_request(
                fleet, entry, "roster-signup", value, workspace="rosters", ticket=ticket
            )
        finally:
            fleet.thaw(backup)
        assert check_outcome(fleet, "roster-signup", value, reply).outcome == "not_run"

    @pytest.mark.parametrize(
        "fault",
        [
            {"mode": "cut"},
            {"cut_after_bytes_to_server": 0},
            {"cut_after_bytes_to_server": 1},
            {"cut_after_bytes_to_server": 200},
            {"mode": "blackhole"},
            {"mode": "half_open"},
            {"drop_answers": True},
            {"cut_after_bytes_to_client": 1},
            {"cut_after_bytes_to_client": 100},
        ],
        ids=str,
    )
    def test_broken_after_the_connection_opened(
        self, fleet: Fleet, fault: dict[str, Any]
    ) -> None:
        for server in servers_of(fleet, "roster"):
            set_link(fleet, server, **fault)
        found = sign_up(fleet, f"broken {fault}")
        assert found.outcome == "unknown"

    @pytest.mark.parametrize(
        ("fault", "outcomes"),
        [
            ({"fail_next": 1}, {"failed"}),
            ({"hang": True}, {"unknown"}),
            ({"truncate_answer": True}, {"unknown"}),
            ({"wrong_attempt_id": True}, {"unknown"}),
            ({"drop_answer": True}, {"unknown"}),
        ],
        ids=str,
    )
    def test_ran_without_an_answer(
        self, fleet: Fleet, fault: dict[str, Any], outcomes: set[str]
    ) -> None:
        for server in servers_of(fleet, "roster"):
            set_behaviour(fleet, server, **fault)
        found = sign_up(fleet, f"ran {fault}")
        assert found.outcome in outcomes
        assert found.runs == 1

    def test_run_after_the_deadline_is_not_reported_as_not_run(
        self, fleet: Fleet
    ) -> None:
        """Delay the bytes of a written request until its caller has its outcome."""
        for server in servers_of(fleet, "roster"):
            set_link(fleet, server, delay_ms=1_000)
        value = {"child": "held back"}
        entry = fleet.entry_names()[0]
        ticket = new_ticket(fleet, entry, "roster-signup", "rosters")
        reply = send_request(
            fleet,
            entry,
            "roster-signup",
            value,
            workspace="rosters",
            ticket=ticket,
            deadline_ms=500,
        )
        assert reply.document["outcome"] == "unknown", reply.document
        for server in servers_of(fleet, "roster"):
            set_link(fleet, server, delay_ms=0)
        wait_until(
            lambda: all(
                entry["state"] != "running"
                for server in servers_of(fleet, "roster")
                for entry in ledger(fleet, server)
                if entry["input_digest"]
                == expected(fleet, "roster-signup", value).run_keys[0].input_digest
            ),
            "the server is done",
        )
        assert count_runs(fleet, "roster-signup", value) <= 1
