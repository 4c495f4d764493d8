"""Test that a graceful shutdown cuts off no request in flight."""

import signal
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

import pytest

from scripts.fleet import publish_instances, workspace_key
from scripts.process_group import wait_until
from tests.http_calls import connect
from tests.proofs.zones import (
    WORKSPACE_OF,
    Sent,
    SteadyLoad,
    Zones,
    cut_zone,
    heal_zone,
    launch,
    running_ids,
    running_zones,
    send_request,
    status_of,
    two_zone_plan,
)

# A draft of 128 tokens takes more than a second.
SLOW_TOKENS: Final = {"token_ms": "10"}
LONG_DRAFTS: Final = 4
PIPELINES: Final = ("craft-idea", "roster-signup", "lesson-draft")
SHUTDOWN_LIMIT_S: Final = 20.0


@pytest.fixture(scope="module")
def zones(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Zones]:
    folder: Path = tmp_path_factory.mktemp("shutdown")
    plan = two_zone_plan(folder, entries_per_zone=2, standin_values=SLOW_TOKENS)
    with running_zones(plan) as running:
        launch(running, "admin-duluth-1")
        yield running


def start_long_drafts(
    zones: Zones, callers: ThreadPoolExecutor, name: str, mark: str
) -> list[Future[Sent]]:
    """Send drafts to an entry and wait until all of them run."""
    address = zones.fleet.addresses[f"own-{name}"]
    ids = [f"{mark}-{name}-{number}" for number in range(LONG_DRAFTS)]
    drafts = [
        callers.submit(send_request, address, "lesson-draft", request_id, number)
        for number, request_id in enumerate(ids)
    ]
    # Requests of the steady load run there too.
    wait_until(lambda: running_ids(zones.fleet, name).issuperset(ids), name)
    return drafts


def assert_drains(zones: Zones, name: str) -> None:
    """Check that a stopping entry with work left drains and refuses new requests."""
    address = zones.fleet.addresses[f"own-{name}"]
    wait_until(lambda: status_of(zones.fleet, name)["is_draining"], name)
    connection = connect(address)
    connection.request("GET", "/readyz")
    response = connection.getresponse()
    assert response.status == 503
    assert response.getheader("Connection") == "close"
    connection.close()
    for pipeline in PIPELINES:
        refused = send_request(address, pipeline, f"late-{name}-{pipeline}", "late")
        assert refused.status == 503, refused
        assert refused.document["outcome"] == "not_run"
        assert refused.document["reason"] == "shutting_down"
        assert refused.document["retry_after_ms"] > 0


def restart_under_work(zones: Zones, name: str, load: SteadyLoad) -> None:
    """Stop an entry while drafts run on it, and restart it."""
    processes = zones.fleet.processes
    with ThreadPoolExecutor(LONG_DRAFTS) as callers:
        drafts = start_long_drafts(zones, callers, name, "draft")
        idle = connect(zones.fleet.addresses[f"own-{name}"])
        idle.connect()
        processes.send_signal(name, signal.SIGTERM)
        assert_drains(zones, name)
        processes.send_signal(name, signal.SIGTERM)
        assert processes.wait_for_end(name, SHUTDOWN_LIMIT_S) == 0
        sent = [draft.result() for draft in drafts]
        idle.close()
    assert [each.status for each in sent] == [200] * LONG_DRAFTS, sent
    load.sent += sent
    launch(zones, name)
    publish_instances(zones.fleet)
    address = zones.fleet.addresses[f"own-{name}"]
    wait_until(lambda: is_ready(zones, name), f"{name} is ready")
    load.addresses[name] = address


def is_ready(zones: Zones, name: str) -> bool:
    connection = connect(zones.fleet.addresses[f"own-{name}"])
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    finally:
        connection.close()


def fetch_outcome(zones: Zones, entry: str, sent: Sent) -> Any:
    """Fetch the outcome of a request from an entry."""
    for workspace in sorted(set(WORKSPACE_OF.values())):
        connection = connect(zones.fleet.addresses[f"own-{entry}"])
        headers = {"Authorization": f"Bearer {workspace_key(workspace)}"}
        connection.request("GET", f"/v1/requests/{sent.request_id}", headers=headers)
        response = connection.getresponse()
        body = response.read()
        connection.close()
        if response.status != 404:
            return response.status, body
    return 404, b""


class TestGracefulShutdown:
    def test_rolling_restart_of_all_entries(self, zones: Zones) -> None:
        names = zones.fleet.entry_names()
        addresses = {name: zones.fleet.addresses[f"own-{name}"] for name in names}
        with SteadyLoad(addresses, PIPELINES) as load:
            for name in names:
                restart_under_work(zones, name, load)
        cut = [each for each in load.sent if each.error.startswith("cut")]
        answered = [each for each in load.sent if each.status == 200]
        print("sent", len(load.sent), "answered", len(answered), "cut", len(cut))
        assert not cut, cut[:5]
        lost = [
            (each.request_id, found)
            for each in answered
            if (found := fetch_outcome(zones, names[0], each))[0] != 200
        ]
        assert not lost, (len(lost), lost[:5])

    def test_watch_and_admin(self, zones: Zones) -> None:
        for name in ("watch-duluth-1", "admin-duluth-1"):
            zones.fleet.processes.send_signal(name, signal.SIGTERM)
            zones.fleet.processes.send_signal(name, signal.SIGTERM)
            assert zones.fleet.processes.wait_for_end(name, SHUTDOWN_LIMIT_S) == 0
            launch(zones, name)

    def test_while_cut_off(self, zones: Zones) -> None:
        names = ("entry-milwaukee-1", "entry-milwaukee-2")
        cut_zone(zones, "milwaukee", "blackhole")
        try:
            with ThreadPoolExecutor(LONG_DRAFTS) as callers:
                drafts = start_long_drafts(zones, callers, names[0], "cut")
                for name in (*names, "watch-milwaukee-1", "watch-milwaukee-2"):
                    zones.fleet.processes.send_signal(name, signal.SIGTERM)
                for name in (*names, "watch-milwaukee-1", "watch-milwaukee-2"):
                    code = zones.fleet.processes.wait_for_end(name, SHUTDOWN_LIMIT_S)
                    assert code == 0, name
                sent = [draft.result() for draft in drafts]
            assert [each.status for each in sent] == [200] * LONG_DRAFTS, sent
        finally:
            heal_zone(zones, "milwaukee")
