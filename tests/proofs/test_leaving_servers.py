"""Test that a leaving backend server gets no new work after 3 s.

A server's ledger lists what it ran, and a counter the calls that it refused.
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
    running_zones,
    send_request,
    set_platform_behaviour,
    set_server_behaviour,
    status_of,
    two_zone_plan,
    wait_seconds,
)

LIMIT_S: Final = 3.0
OBSERVED_S: Final = 3.0
LIST_LAG_MS: Final = 30_000
ENTRIES_IN_OTHER_ZONE: Final = 1
PAUSED_REQUESTS: Final = 8
PIPELINES: Final = ("lesson-draft", "craft-idea")
ENTRIES: Final = ("entry-duluth-1", "entry-milwaukee-1")


@pytest.fixture(scope="module")
def zones(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Zones]:
    folder: Path = tmp_path_factory.mktemp("leaving")
    with running_zones(two_zone_plan(folder)) as running:
        yield running


class Received(NamedTuple):
    """Count what a server ran and what it refused."""

    run: int
    refused: int


def received_by(zones: Zones, server: str) -> Received:
    document = ledger(zones.fleet, server)
    return Received(len(document["entries"]), int(document["counts"]["refused"]))


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


def assert_unused_after_leaving(
    zones: Zones,
    load: SteadyLoad,
    servers: tuple[str, ...],
    announce: Callable[[Zones, str], None],
) -> None:
    """Announce that servers leave, under load; none may run anything after the limit.

    An entry of the other zone doesn't poll the load of these servers, so it may send
    one call and learn from its refusal.
    """
    wait_until_used(zones, servers)
    for name in servers:
        announce(zones, name)
    wait_seconds(LIMIT_S)
    before = {name: received_by(zones, name) for name in servers}
    answered_before = len(load.sent)
    wait_seconds(OBSERVED_S)
    after = {name: received_by(zones, name) for name in servers}
    assert len(load.sent) > answered_before + 10
    print("received", after, "answers by status", statuses(load.sent))
    for name in servers:
        assert after[name].run == before[name].run, name
        assert after[name].refused - before[name].refused <= ENTRIES_IN_OTHER_ZONE, name


def assert_all_answered(load: SteadyLoad) -> None:
    """Check that no request failed because servers left."""
    others = [
        (each.status, each.error, each.document)
        for each in load.sent
        if each.status != 200
    ]
    assert not others, others[0]


def restore_servers(zones: Zones, servers: tuple[str, ...]) -> None:
    """Let servers return and wait until their own zone considers them live."""
    for name in servers:
        set_server_behaviour(zones.fleet, name, reset=True)
        zone = name.split("-")[1]
        wait_until(lambda: not is_leaving(zones, f"entry-{zone}-1", name), name)  # noqa: B023


def is_leaving(zones: Zones, entry: str, server: str) -> bool:
    listed = status_of(zones.fleet, entry)["servers"]
    return any(each["is_leaving"] for each in listed if each["name"] == server)


def announce_by_server(zones: Zones, server: str) -> None:
    """Let a server announce itself that it is leaving."""
    set_server_behaviour(zones.fleet, server, leaving=True)


def announce_by_list(zones: Zones, server: str) -> None:
    """Let only the platform's list announce that a server is leaving."""
    zones.fleet.leaving.add(server)
    publish_instances(zones.fleet)


class TestLeavingServers:
    def test_list_lags_and_a_zone_is_cut_off(self, zones: Zones) -> None:
        servers = ("encoders-duluth-1", "rerankers-milwaukee-1")
        set_platform_behaviour(zones.fleet, list_lag_ms=LIST_LAG_MS)
        cut_zone(zones, "milwaukee")
        try:
            with steady_load(zones) as load:
                assert_unused_after_leaving(zones, load, servers, announce_by_server)
        finally:
            restore_servers(zones, servers)
            heal_zone(zones, "milwaukee")
            set_platform_behaviour(zones.fleet, list_lag_ms=0)
        assert_all_answered(load)

    def test_platform_is_down(self, zones: Zones) -> None:
        servers = ("retrievers-duluth-1", "drafting-milwaukee-1")
        set_platform_behaviour(zones.fleet, outage="refuse")
        try:
            with steady_load(zones) as load:
                assert_unused_after_leaving(zones, load, servers, announce_by_server)
        finally:
            restore_servers(zones, servers)
            set_platform_behaviour(zones.fleet, outage="none")
        assert_all_answered(load)

    def test_frozen_entry_resumes(self, zones: Zones) -> None:
        server, entry = "drafting-duluth-1", "entry-duluth-1"
        with steady_load(zones):
            wait_until_used(zones, (server,))
        wait_until(
            lambda: status_of(zones.fleet, entry)["running_requests"] == 0, "idle"
        )
        address = zones.fleet.addresses[f"own-{entry}"]
        zones.fleet.freeze(entry)
        before = received_by(zones, server)
        set_server_behaviour(zones.fleet, server, leaving=True)
        with ThreadPoolExecutor(PAUSED_REQUESTS) as callers:
            futures = [
                callers.submit(
                    send_request, address, "craft-idea", f"paused-{number}", number
                )
                for number in range(PAUSED_REQUESTS)
            ]
            wait_seconds(LIMIT_S)
            zones.fleet.thaw(entry)
            sent = [future.result() for future in futures]
        print("received", before, received_by(zones, server), statuses(sent))
        assert received_by(zones, server) == before
        assert [each.status for each in sent] == [200] * PAUSED_REQUESTS, sent
        set_server_behaviour(zones.fleet, server, reset=True)

    def test_only_the_list_announces_it(self, zones: Zones) -> None:
        with steady_load(zones) as load:
            servers = ("rerankers-duluth-1",)
            assert_unused_after_leaving(zones, load, servers, announce_by_list)
        assert_all_answered(load)
