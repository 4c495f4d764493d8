"""Test that an accepted configuration takes effect everywhere and never reverts."""

import threading
import time
from collections import Counter
from collections.abc import Iterator
from http.client import HTTPException
from pathlib import Path
from typing import Any, Final

import pytest

from bramleyturn.core.configuration import load_configuration
from bramleyturn.core.model import Configuration
from scripts.fleet import publish_instances
from scripts.process_group import wait_until
from tests.http_calls import call
from tests.proofs.zones import (
    NoStatusError,
    Zones,
    cut_zone,
    heal_zone,
    launch,
    running_zones,
    set_platform_behaviour,
    status_of,
    two_zone_plan,
    wait_seconds,
)

IN_FORCE_LIMIT_S: Final = 10.0
LARGE_IN_FORCE_LIMIT_S: Final = 30.0
OUTAGE_S: Final = 4.0
SAMPLE_INTERVAL_S: Final = 0.1
SAMPLE_TIMEOUT_S: Final = 1.0
FOLDER_BYTES: Final = 1_000_000
# The platform allows 2,000 reads per second, for at most 390 instances.
READS_PER_S_OF_INSTANCE: Final = 2_000 / 390
FILE: Final = "60-trial.ini"
LATER_FILE: Final = "61-trial.ini"
BAD_FILE: Final = "62-trial.ini"
LARGE_FILE: Final = "70-large.ini"

# The number of revisions published in each second of the monotonic clock.
PUBLISHED_AT: Final[Counter[int]] = Counter()


class RevisionPoller:
    """Poll the revision of every entry and record any decrease."""

    def __init__(self, zones: Zones) -> None:
        self.zones = zones
        self.newest: dict[tuple[str, str], int] = {}
        self.decreases: list[str] = []
        self.samples = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        while not self.stopping.wait(SAMPLE_INTERVAL_S):
            for name in self.zones.fleet.entry_names():
                self.sample(name)

    def sample(self, name: str) -> None:
        try:
            status = status_of(self.zones.fleet, name, SAMPLE_TIMEOUT_S)
        except (OSError, HTTPException, NoStatusError):
            return
        self.samples += 1
        key = (name, str(status["incarnation"]))
        revision = int(status["revision"])
        if revision < self.newest.get(key, 0):
            self.decreases.append(f"{name}: {self.newest[key]} to {revision}")
        self.newest[key] = max(revision, self.newest.get(key, 0))


@pytest.fixture(scope="module")
def zones(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Zones]:
    folder: Path = tmp_path_factory.mktemp("configuration")
    with running_zones(two_zone_plan(folder, entries_per_zone=2)) as running:
        yield running


@pytest.fixture(autouse=True)
def never_reverts(zones: Zones) -> Iterator[None]:
    """Poll every entry during a test: no revision may decrease."""
    poller = RevisionPoller(zones)
    poller.thread.start()
    yield
    poller.stopping.set()
    poller.thread.join()
    for name in zones.fleet.entry_names():
        poller.sample(name)
    assert poller.samples
    assert not poller.decreases


def publish(zones: Zones, files: dict[str, str]) -> int:
    """Publish the folder with more files and return its revision."""
    fleet = zones.fleet
    fleet.files |= files
    control = fleet.addresses["platform-control"]
    reply = call(control, "PUT", "/standin/config", {"files": fleet.files})
    assert reply.status == 200, reply.body
    PUBLISHED_AT[int(time.monotonic())] += 1
    return int(reply.document["revision"])


def publish_trial(zones: Zones, value: int, file: str = FILE) -> int:
    """Publish a value of ``max_queued`` and return the revision."""
    return publish(zones, {file: f"[limits]\nmax_queued = {value}\n"})


def revisions(zones: Zones, names: tuple[str, ...]) -> dict[str, int]:
    return {name: int(status_of(zones.fleet, name)["revision"]) for name in names}


def wait_in_force(
    zones: Zones,
    revision: int,
    names: tuple[str, ...] = (),
    limit_s: float = IN_FORCE_LIMIT_S,
) -> None:
    """Wait until a revision is in force on each named entry, by default on all."""
    names = names or zones.fleet.entry_names()
    begin = time.monotonic()
    wait_until(
        lambda: set(revisions(zones, names).values()) == {revision},
        f"revision {revision} is in force on {names}",
        limit_s,
    )
    print(f"revision {revision} in force after {time.monotonic() - begin:.2f} s")


def folder_of(zones: Zones, watch: str) -> dict[str, Any]:
    """Return the folder that a watch serves."""
    address = zones.fleet.addresses[f"own-{watch}"]
    document: dict[str, Any] = call(address, "GET", "/v1/config?after=0").document
    return document


def watch_names(zones: Zones) -> tuple[str, ...]:
    return tuple(
        name.replace("entry", "watch", 1) for name in zones.fleet.entry_names()
    )


def restart_instance(
    zones: Zones, instance: str, extra_settings: dict[str, str]
) -> None:
    """Kill the watch and the entry of an instance and start new ones."""
    for role, settings in (("watch", extra_settings), ("entry", {})):
        name = f"{role}-{instance}"
        zones.fleet.kill(name)
        launch(zones, name, settings)


def is_ready(zones: Zones, name: str) -> bool:
    address = zones.fleet.addresses[f"own-{name}"]
    return call(address, "GET", "/readyz").status == 200


class TestInForceEverywhere:
    def test_two_operators_race(self, zones: Zones) -> None:
        publish_trial(zones, 101, LATER_FILE)
        revision = publish_trial(zones, 102)
        wait_in_force(zones, revision)
        folders = [folder_of(zones, name) for name in watch_names(zones)]
        assert all(folder["files"] == zones.fleet.files for folder in folders)
        loaded = load_configuration(revision, folders[0]["files"])
        assert isinstance(loaded, Configuration)
        assert loaded.limits.max_queued == 101

    def test_a_bad_revision_between_two_good_ones(self, zones: Zones) -> None:
        good = publish_trial(zones, 103)
        wait_in_force(zones, good)
        bad = publish(zones, {BAD_FILE: "[limits]\nmax_queued = many\n"})
        for name in watch_names(zones):
            wait_until(lambda: refused_by(zones, name) == [bad], name, IN_FORCE_LIMIT_S)  # noqa: B023
        assert set(revisions(zones, zones.fleet.entry_names()).values()) == {good}
        fault = folder_of(zones, "watch-duluth-1")["refused"][-1]["faults"][0]
        assert (fault["file"], fault["key"]) == (BAD_FILE, "max_queued")
        del zones.fleet.files[BAD_FILE]
        wait_in_force(zones, publish_trial(zones, 104))

    def test_a_folder_at_the_megabyte_limit(self, zones: Zones) -> None:
        revision = publish(zones, {LARGE_FILE: large_file()})
        wait_in_force(zones, revision, limit_s=LARGE_IN_FORCE_LIMIT_S)
        del zones.fleet.files[LARGE_FILE]
        wait_in_force(zones, publish(zones, {}))


class TestNeverReverts:
    def test_a_new_instance_at_a_stale_replica(self, zones: Zones) -> None:
        old = publish_trial(zones, 105)
        wait_in_force(zones, old)
        newest = publish_trial(zones, 106)
        wait_in_force(zones, newest)
        set_platform_behaviour(zones.fleet, stale_revision=old)
        try:
            restart_instance(zones, "duluth-2", {})
            wait_until(lambda: is_ready(zones, "entry-duluth-2"), "ready")
            assert revisions(zones, ("entry-duluth-2",)) == {"entry-duluth-2": newest}
            assert set(revisions(zones, zones.fleet.entry_names()).values()) == {newest}
        finally:
            set_platform_behaviour(zones.fleet, stale_revision=0)
            publish_instances(zones.fleet)

    def test_an_instance_is_replaced_in_a_long_outage(self, zones: Zones) -> None:
        newest = publish_trial(zones, 107)
        wait_in_force(zones, newest)
        set_platform_behaviour(zones.fleet, outage="refuse")
        try:
            wait_seconds(OUTAGE_S)
            peers = ", ".join(
                zones.fleet.addresses[name] for name in ("watch-duluth-1",)
            )
            restart_instance(zones, "duluth-2", {"peers": peers})
            wait_until(lambda: is_ready(zones, "entry-duluth-2"), "ready")
            assert set(revisions(zones, zones.fleet.entry_names()).values()) == {newest}
        finally:
            set_platform_behaviour(zones.fleet, outage="none")
            publish_instances(zones.fleet)
        wait_in_force(zones, publish_trial(zones, 108))

    def test_a_zone_is_cut_off_and_healed(self, zones: Zones) -> None:
        before = publish_trial(zones, 109)
        wait_in_force(zones, before)
        cut_zone(zones, "milwaukee", "blackhole")
        duluth, milwaukee = (
            tuple(name for name in zones.fleet.entry_names() if zone in name)
            for zone in zones.fleet.plan.zones
        )
        try:
            publish_trial(zones, 110)
            newest = publish_trial(zones, 111)
            wait_in_force(zones, newest, duluth)
            assert set(revisions(zones, milwaukee).values()) == {before}
        finally:
            heal_zone(zones, "milwaukee")
        wait_in_force(zones, newest)

    def test_paused_processes(self, zones: Zones) -> None:
        paused = ("watch-milwaukee-1", "entry-milwaukee-2")
        for name in paused:
            zones.fleet.freeze(name)
        try:
            publish_trial(zones, 112)
            newest = publish_trial(zones, 113)
            running_entries = ("entry-duluth-1", "entry-duluth-2")
            wait_in_force(zones, newest, running_entries)
        finally:
            for name in paused:
                zones.fleet.thaw(name)
        wait_in_force(zones, newest)

    def test_reads_stay_within_the_published_limit(self, zones: Zones) -> None:
        control = zones.fleet.addresses["platform-control"]
        reads = call(control, "GET", "/standin/reads").document
        instances = len(watch_names(zones))
        by_second = [(int(second), int(count)) for second, count in reads["by_second"]]
        print("reads", reads["by_path"], "by second", by_second)
        assert reads["refused"] == 0
        assert reads["waiting"] <= instances
        # A waiting watch reads once more for each revision that ends its wait.
        for second, count in by_second:
            revisions_published = PUBLISHED_AT[second] + PUBLISHED_AT[second - 1]
            most = READS_PER_S_OF_INSTANCE + revisions_published
            assert count <= most * instances, second


def refused_by(zones: Zones, watch: str) -> list[int]:
    """Return the last revision that a watch refused, if any."""
    return [each["revision"] for each in folder_of(zones, watch)["refused"]][-1:]


def large_file() -> str:
    """Return a file of about the size limit of a folder, all of it settings."""
    sections: list[str] = []
    size = number = 0
    while size < FOLDER_BYTES:
        number += 1
        digest = f"{number:064x}"
        section = f"[workspace large-{number}]\nkey_sha256 = {digest}\npipelines = *\n"
        sections.append(section)
        size += len(section)
    return "".join(sections)
