"""Test that a poison request crashes two servers at most and fails no other request."""

from pathlib import Path
from typing import Any

import pytest

from bramleyturn.core.outcomes import OutcomeKind
from scripts.fleet import OPERATORS, Fleet, FleetPlan, workspace_key
from tests.http_calls import connect, receive, wait_until
from tests.proofs.fleet_calls import (
    expected,
    send_request,
    servers_of,
    set_behaviour,
    start_request,
)
from tests.proofs.poison_simulation import (
    SERVERS_PER_POOL,
    PoisonResult,
    PoisonSimulation,
    send_poison_members,
    send_poison_to_all,
)

SEEDS = range(40)
MAX_CRASHES = 2
MAX_CRASHES_OF_MANY = 3
MAX_CRASHES_OF_PART = 3


def assert_contained(result: PoisonResult, seed: int) -> None:
    """Check the number of crashes and the outcomes of poison and other requests.

    The attempts lost in the first crash are suspects. Each is retried on a server of
    its own while there are enough servers; beyond that, two suspects may share the
    second server too, and only a third crash tells which of them is the poison.
    """
    can_be_separated = result.suspects <= SERVERS_PER_POOL - 1
    max_crashes = MAX_CRASHES if can_be_separated else MAX_CRASHES_OF_MANY
    assert len(result.crashed) <= max_crashes, f"seed {seed}: {result.crashed}"
    kinds = {outcome.kind for outcome in result.poisoned}
    assert kinds == {OutcomeKind.FAILED}, f"seed {seed}: {result.poisoned}"
    assert result.poisoned[-1].reason == "input_crashes_servers"
    unanswered = {
        name: outcome
        for name, outcome in result.neighbours.items()
        if outcome.kind is not OutcomeKind.ANSWERED
    }
    assert not unanswered, f"seed {seed}: {unanswered}"


class TestInVirtualTime:
    @pytest.mark.parametrize("entries", [1, 3])
    @pytest.mark.parametrize("neighbours", [0, 2, 8])
    @pytest.mark.parametrize("stage", ["encode", "generate"])
    def test_at_most_two_servers_lost_and_neighbours_answered(
        self, entries: int, neighbours: int, stage: str
    ) -> None:
        for seed in SEEDS:
            simulation = PoisonSimulation(seed, entries=entries, crashes_stage=stage)
            assert_contained(send_poison_to_all(simulation, neighbours), seed)

    def test_entries_without_hint_exchange_lose_more(self) -> None:
        simulation = PoisonSimulation(1, exchanges_hints=False)
        result = send_poison_to_all(simulation, neighbours=0)
        assert len(result.crashed) > MAX_CRASHES


class TestSharedMember:
    """Requests that are all different share a member on which servers crash."""

    @pytest.mark.parametrize("entries", [1, 3])
    @pytest.mark.parametrize("neighbours", [0, 2])
    def test_three_servers_lost_and_requests_with_its_other_members_answered(
        self, entries: int, neighbours: int
    ) -> None:
        for seed in SEEDS:
            simulation = PoisonSimulation(seed, entries=entries, crashes_stage="encode")
            result = send_poison_members(simulation, 6, neighbours)
            assert len(result.crashed) <= MAX_CRASHES_OF_PART, f"seed {seed}"
            assert result.poisoned[-1].reason == "input_crashes_servers"
            outcomes = result.neighbours.values()
            kinds = {outcome.kind for outcome in outcomes}
            assert kinds <= {OutcomeKind.ANSWERED}, f"seed {seed}: {outcomes}"


NEIGHBOURS = 6
ROUNDS = 2


def all_entries_have_met(fleet: Fleet) -> bool:
    """Tell whether every entry has received a message from every other one."""
    headers = {"Authorization": f"Bearer {workspace_key(OPERATORS)}"}
    for entry in fleet.entry_names():
        connection = connect(fleet.addresses[entry])
        connection.request("GET", "/v1/status", headers=headers)
        peers = receive(connection).document["peers"]
        connection.close()
        if (
            sum(bool(peer["incarnation"]) for peer in peers)
            < len(fleet.entry_names()) - 1
        ):
            return False
    return True


class TestThroughProcesses:
    @pytest.mark.parametrize("pool", ["drafting", "encoders"])
    def test_at_most_two_processes_lost_and_neighbours_answered(
        self, tmp_path: Path, pool: str
    ) -> None:
        """Send one poison draft to all entries in turn, among harmless ones."""
        zones = ("duluth", "milwaukee", "toledo")
        plan = FleetPlan(
            tmp_path, zones=zones, entries_per_zone=1, separate_servers=True
        )
        poison: dict[str, Any] = {"ask": "draft the poison"}
        with Fleet(plan) as fleet:
            wait_until(lambda: all_entries_have_met(fleet), "the entries have met")
            for server in servers_of(fleet, pool):
                set_behaviour(fleet, server, crash_marker="poison")
            for number, entry in enumerate(fleet.entry_names() * ROUNDS):
                values = [{"ask": f"{number} {each}"} for each in range(NEIGHBOURS)]
                sent = [
                    start_request(fleet, entry, "lesson-draft", value)
                    for value in values
                ]
                reply = send_request(fleet, entry, "lesson-draft", poison)
                assert reply.document["outcome"] == "failed", reply.document
                for value, connection in zip(values, sent, strict=True):
                    document = receive(connection).document
                    connection.close()
                    assert document["outcome"] == "answered", document
                    expected_output = expected(fleet, "lesson-draft", value).output
                    assert document["output"] == expected_output
            crashed = [
                server
                for server in servers_of(fleet, pool)
                if fleet.processes.started[server].popen.poll() is not None
            ]
        assert reply.document["reason"] == "input_crashes_servers"
        assert len(crashed) == MAX_CRASHES, crashed
