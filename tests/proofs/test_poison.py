"""Proof: one poison request costs two servers at most, and no neighbour its answer."""

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
    SERVERS,
    PoisonSimulation,
    PoisonStory,
    send_poison_everywhere,
)

SEEDS = range(40)
MOST_CRASHES = 2
MOST_CRASHES_OF_MANY = 3


def assert_contained(story: PoisonStory, seed: int) -> None:
    """Check what the caller, its neighbours and the servers went through.

    Suspects are kept apart while there is a server for each. Beyond that, two of
    them may share the second server too, and it takes a third crash to tell.
    """
    can_be_apart = story.suspects <= SERVERS - 1
    most = MOST_CRASHES if can_be_apart else MOST_CRASHES_OF_MANY
    assert len(story.crashed) <= most, f"seed {seed}: {story.crashed}"
    kinds = {outcome.kind for outcome in story.poisoned}
    assert kinds == {OutcomeKind.FAILED}, f"seed {seed}: {story.poisoned}"
    assert story.poisoned[-1].reason == "input_crashes_servers"
    unanswered = {
        name: outcome
        for name, outcome in story.neighbours.items()
        if outcome.kind is not OutcomeKind.ANSWERED
    }
    assert not unanswered, f"seed {seed}: {unanswered}"


class TestInVirtualTime:
    @pytest.mark.parametrize("entries", [1, 3])
    @pytest.mark.parametrize("neighbours", [0, 2, 8])
    @pytest.mark.parametrize("stage", ["encode", "generate"])
    def test_two_servers_at_most_and_neighbours_answered(
        self, entries: int, neighbours: int, stage: str
    ) -> None:
        for seed in SEEDS:
            simulation = PoisonSimulation(seed, entries=entries, crashes_stage=stage)
            assert_contained(send_poison_everywhere(simulation, neighbours), seed)

    def test_entries_that_tell_each_other_nothing_lose_more(self) -> None:
        simulation = PoisonSimulation(1, tells_peers=False)
        story = send_poison_everywhere(simulation, neighbours=0)
        assert len(story.crashed) > MOST_CRASHES


NEIGHBOURS = 6
ROUNDS = 2


def all_know_each_other(fleet: Fleet) -> bool:
    """Tell whether every entry has heard from every other one."""
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
    def test_two_processes_lost_at_most_and_neighbours_answered(
        self, tmp_path: Path, pool: str
    ) -> None:
        """Send one poison draft at all entries in turn, innocent ones beside it."""
        zones = ("duluth", "milwaukee", "toledo")
        plan = FleetPlan(
            tmp_path, zones=zones, entries_per_zone=1, separate_servers=True
        )
        poison: dict[str, Any] = {"ask": "draft the poison"}
        with Fleet(plan) as fleet:
            wait_until(lambda: all_know_each_other(fleet), "the entries meet")
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
                    right = expected(fleet, "lesson-draft", value).output
                    assert document["output"] == right
            crashed = [
                server
                for server in servers_of(fleet, pool)
                if fleet.processes.started[server].popen.poll() is not None
            ]
        assert reply.document["reason"] == "input_crashes_servers"
        assert len(crashed) == MOST_CRASHES, crashed
