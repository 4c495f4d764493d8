"""Prove that a leaving backend server gets no new work after 3 s.

What a server was sent shows in its ledger (what ran) and in its count of refusals.
"""

from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final, NamedTuple

import pytest

from scripts.fleet import publish_instances
from scripts.process_group import wait_until
from tests.proofs.zones import (
    Sent,
    SteadyLoad,
    Zones,
    cut_zone,
    heal_zone,
    ledger,
    let_pass,
    plan_of,
    platform_behaviour,
    running_zones,
    send_request,
    server_behaviour,
    status_of,
)

LIMIT_S: Final = 3.0
WATCHED_S: Final = 3.0
LIST_LAG_MS: Final = 30_000
OTHER_ZONE_ENTRIES: Final = 1
PAUSED_REQUESTS: Final = 8
PIPELINES: Final = ("lesson-draft", "craft-idea")
ENTRIES: Final = ("entry-duluth-1", "entry-milwaukee-1")


@pytest.fixture(scope="module")
def zones(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Zones]:
    folder: Path = tmp_path_factory.mktemp("leaving")
    with running_zones(plan_of(folder)) as running:
        yield running


class Received(NamedTuple):
    """Count what a server ran and what it refused."""

    run: int
    refused: int


def received_by(zones: Zones, server: str) -> Received:
    shown = ledger(zones.fleet, server)
    return Received(len(shown["entries"]), int(shown["counts"]["refused"]))


def steady_load(zones: Zones) -> SteadyLoad:
    addresses = {name: zones.fleet.addresses[f"own-{name}"] for name in ENTRIES}
    return SteadyLoad(addresses, PIPELINES)


def wait_until_used(zones: Zones, servers: tuple[str, ...]) -> None:
    before = {name: received_by(zones, name) for name in servers}
    for name in servers:
        wait_until(lambda: received_by(zones, name) != before[name], name)  # noqa: B023


def statuses(sent: list[Sent]) -> dict[int, int]:
    return {
        status: sum(each.status == status for each in sent)
        for status in {each.status for each in sent}
    }


def assert_unused_once_left(
    zones: Zones,
    load: SteadyLoad,
    servers: tuple[str, ...],
    announce: Callable[[Zones, str], None],
) -> None:
    """Let servers leave under load: after the limit none may run anything.

    An entry of the other zone asks for no load here. It may learn by one refusal.
    """
    wait_until_used(zones, servers)
    for name in servers:
        announce(zones, name)
    let_pass(LIMIT_S)
    before = {name: received_by(zones, name) for name in servers}
    answered_before = len(load.sent)
    let_pass(WATCHED_S)
    after = {name: received_by(zones, name) for name in servers}
    assert len(load.sent) > answered_before + 10
    print("received", after, "answers by status", statuses(load.sent))
    for name in servers:
        assert after[name].run == before[name].run, name
        assert after[name].refused - before[name].refused <= OTHER_ZONE_ENTRIES, name


def assert_all_answered(load: SteadyLoad) -> None:
    """Check that servers that leave cost no request."""
    others = [
        (each.status, each.error, each.document)
        for each in load.sent
        if each.status != 200
    ]
    assert not others, others[0]


def come_back(zones: Zones, servers: tuple[str, ...]) -> None:
    """Let servers come back and wait until their own zone takes them for live."""
    for name in servers:
        server_behaviour(zones.fleet, name, reset=True)
        zone = name.split("-")[1]
        wait_until(lambda: not is_leaving(zones, f"entry-{zone}-1", name), name)  # noqa: B023


def is_leaving(zones: Zones, entry: str, server: str) -> bool:
    shown = status_of(zones.fleet, entry)["servers"]
    return any(each["is_leaving"] for each in shown if each["name"] == server)


def by_itself(zones: Zones, server: str) -> None:
    """Let a server say that it leaves."""
    server_behaviour(zones.fleet, server, leaving=True)


def by_list(zones: Zones, server: str) -> None:
    """Let only the platform's list say that a server leaves."""
    zones.fleet.leaving.add(server)
    publish_instances(zones.fleet)


class TestLeavingServers:
    def test_list_lags_and_a_zone_is_cut_off(self, zones: Zones) -> None:
        servers = ("encoders-duluth-1", "rerankers-milwaukee-1")
        platform_behaviour(zones.fleet, list_lag_ms=LIST_LAG_MS)
        cut_zone(zones, "milwaukee")
        try:
            with steady_load(zones) as load:
                assert_unused_once_left(zones, load, servers, by_itself)
        finally:
            come_back(zones, servers)
            heal_zone(zones, "milwaukee")
            platform_behaviour(zones.fleet, list_lag_ms=0)
        assert_all_answered(load)

    def test_platform_is_down(self, zones: Zones) -> None:
        servers = ("retrievers-duluth-1", "drafting-milwaukee-1")
        platform_behaviour(zones.fleet, outage="refuse")
        try:
            with steady_load(zones) as load:
                assert_unused_once_left(zones, load, servers, by_itself)
        finally:
            come_back(zones, servers)
            platform_behaviour(zones.fleet, outage="none")
        assert_all_answered(load)

    def test_a_frozen_entry_wakes(self, zones: Zones) -> None:
        server, entry = "drafting-duluth-1", "entry-duluth-1"
        with steady_load(zones):
            wait_until_used(zones, (server,))
        wait_until(
            lambda: status_of(zones.fleet, entry)["running_requests"] == 0, "idle"
        )
        address = zones.fleet.addresses[f"own-{entry}"]
        zones.fleet.freeze(entry)
        before = received_by(zones, server)
        server_behaviour(zones.fleet, server, leaving=True)
        with ThreadPoolExecutor(PAUSED_REQUESTS) as callers:
            futures = [
                callers.submit(
                    send_request, address, "craft-idea", f"paused-{number}", number
                )
                for number in range(PAUSED_REQUESTS)
            ]
            let_pass(LIMIT_S)
            zones.fleet.thaw(entry)
            sent = [future.result() for future in futures]
        print("received", before, received_by(zones, server), statuses(sent))
        assert received_by(zones, server) == before
        assert [each.status for each in sent] == [200] * PAUSED_REQUESTS, sent
        server_behaviour(zones.fleet, server, reset=True)

    def test_only_the_list_says_so(self, zones: Zones) -> None:
        with steady_load(zones) as load:
            servers = ("rerankers-duluth-1",)
            assert_unused_once_left(zones, load, servers, by_list)
        assert_all_answered(load)
