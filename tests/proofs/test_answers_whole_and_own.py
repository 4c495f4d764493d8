"""Test that no stage result is lost, duplicated or handed to another request."""

from collections.abc import Iterator
from typing import Any

import pytest

from bramleyturn.core.outcomes import OutcomeKind
from scripts.fleet import Fleet, FleetPlan, restart, wait_for_entry
from tests.http_calls import Reply, receive, wait_until
from tests.proofs.fleet_calls import (
    expected,
    fetch_outcome,
    ledger,
    send_request,
    servers_of,
    set_behaviour,
    set_link,
    start_request,
)
from tests.proofs.random_simulation import simulate_seeds

BLOCKS = [range(first, first + 500) for first in range(0, 2_000, 500)]


class TestInVirtualTime:
    @pytest.mark.parametrize("seeds", BLOCKS, ids=str)
    def test_each_caller_gets_one_outcome_and_its_own_answer(
        self, seeds: range
    ) -> None:
        faults, kinds = simulate_seeds(seeds)
        print(f"{seeds}: {dict(kinds)}")
        assert not faults, "\n".join(faults)
        assert set(kinds) == set(OutcomeKind)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    plan = FleetPlan(
        tmp_path_factory.mktemp("answers"),
        entries_per_zone=1,
        fault_links=True,
        extra_files={"60-limits.ini": "[limits]\nejection_failures = 1000\n"},
    )
    with Fleet(plan) as started:
        yield started


def assert_answered(fleet: Fleet, values: list[dict[str, Any]], reply: Reply) -> None:
    """Check that a reply is the correct answer to the last of ``values``."""
    document = reply.document
    assert document["outcome"] == "answered", document
    expected_output = expected(fleet, "lesson-draft", values[-1]).output
    assert document["output"] == expected_output, values[-1]


ANSWER_FAULTS: list[dict[str, Any]] = [
    {"unframed": True, "truncate_answer": True},
    {"wrong_attempt_id": True},
    {"truncate_answer": True},
    {"drop_answer": True},
    {"longer_than_announced": True},
    {"duplicate_chunk": True},
]


@pytest.mark.usefixtures("healed")
class TestThroughProcesses:
    @pytest.mark.parametrize(
        "fault", ANSWER_FAULTS, ids=lambda fault: next(iter(fault))
    )
    def test_faulty_answers_reach_nobody(
        self, fleet: Fleet, fault: dict[str, Any]
    ) -> None:
        for pool in ("encoders", "retrievers", "rerankers", "drafting"):
            name = next(iter(fault))
            server = servers_of(fleet, pool)[0]
            set_behaviour(fleet, server, **fault, answer_faults_left=2)
            values = [{"ask": f"{name} {pool} {place}"} for place in range(6)]
            sent = [
                start_request(fleet, entry, "lesson-draft", value)
                for entry, value in zip(fleet.entry_names() * 3, values, strict=True)
            ]
            for value, connection in zip(values, sent, strict=True):
                assert_answered(fleet, [value], receive(connection))
                connection.close()

    def test_answers_without_a_length_arrive_at_the_first_attempt(
        self, fleet: Fleet
    ) -> None:
        for pool in ("encoders", "retrievers", "rerankers", "drafting"):
            for server in servers_of(fleet, pool):
                set_behaviour(fleet, server, unframed=True)
        for place, entry in enumerate(fleet.entry_names() * 3):
            value = {"ask": f"unframed {place}"}
            reply = send_request(fleet, entry, "lesson-draft", value)
            assert_answered(fleet, [value], reply)
            stages = reply.document["stages"].values()
            assert [stage["attempts"] for stage in stages] == [1] * len(stages)

    @pytest.mark.parametrize("cut_after_bytes", [1, 150, 400])
    def test_connections_reused_after_a_cut(
        self, fleet: Fleet, cut_after_bytes: int
    ) -> None:
        for pool in ("encoders", "retrievers", "drafting"):
            values: list[dict[str, Any]] = [{"ask": f"{cut_after_bytes} {pool} first"}]
            entry = fleet.entry_names()[0]
            assert_answered(
                fleet, values, send_request(fleet, entry, "lesson-draft", values[-1])
            )
            server = servers_of(fleet, pool)[0]
            set_link(
                fleet, server, cut_after_bytes_to_client=cut_after_bytes, cuts_left=1
            )
            for place in range(3):
                values.append({"ask": f"{cut_after_bytes} {pool} {place}"})
                reply = send_request(fleet, entry, "lesson-draft", values[-1])
                assert_answered(fleet, values, reply)

    def test_late_answers_reach_nobody(self, fleet: Fleet) -> None:
        for server in servers_of(fleet, "encoders")[:1]:
            set_link(fleet, server, delay_ms=900)
        values = [{"ask": f"late {place}"} for place in range(4)]
        sent = [
            start_request(fleet, entry, "lesson-draft", value)
            for entry, value in zip(fleet.entry_names() * 2, values, strict=True)
        ]
        for value, connection in zip(values, sent, strict=True):
            assert_answered(fleet, [value], receive(connection))
            connection.close()

    def test_equal_ids_of_two_workspaces_are_kept_separate(self, fleet: Fleet) -> None:
        entry, other = fleet.entry_names()[:2]
        values = {"lessons": {"ask": "ours"}, "library": {"ask": "theirs"}}
        sent = {
            name: start_request(
                fleet, entry, "lesson-draft", value, workspace=name, request_id="same"
            )
            for name, value in values.items()
        }
        for name, connection in sent.items():
            assert_answered(fleet, [values[name]], receive(connection))
            connection.close()
        for asked in (entry, other):
            for name, value in values.items():
                assert_answered(
                    fleet, [value], fetch_outcome(fleet, asked, "same", name)
                )

    def test_id_of_another_workspace_is_not_found(self, fleet: Fleet) -> None:
        entry, other = fleet.entry_names()[:2]
        value = {"ask": "private"}
        reply = send_request(fleet, entry, "lesson-draft", value, request_id="private")
        assert_answered(fleet, [value], reply)
        for asked in (entry, other):
            assert fetch_outcome(fleet, asked, "private", "lessons").status == 200
            assert fetch_outcome(fleet, asked, "private", "library").status == 404

    def test_entry_killed_between_stage_and_answer(self, fleet: Fleet) -> None:
        killed, other = fleet.entry_names()[:2]
        drafting = servers_of(fleet, "drafting")
        for server in drafting:
            set_behaviour(fleet, server, hang=True)
        before = {server: len(ledger(fleet, server)) for server in drafting}
        value = {"ask": "survives its entry"}
        abandoned = start_request(
            fleet, killed, "lesson-draft", value, request_id="kept"
        )
        wait_until(
            lambda: any(len(ledger(fleet, name)) > before[name] for name in drafting),
            "the last stage runs",
        )
        fleet.kill(killed)
        abandoned.close()
        for server in drafting:
            set_behaviour(fleet, server, reset=True)
        reply = send_request(fleet, other, "lesson-draft", value, request_id="kept")
        assert_answered(fleet, [value], reply)
        restart(fleet, killed)
        wait_for_entry(fleet, killed)
