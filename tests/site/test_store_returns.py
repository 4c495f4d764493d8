"""Test what instances believe after the store came back from an older copy."""

import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.processes import kill
from tests.site.site_fleet import SiteFleet, launch_entry, running_fleet, wait_until

# Bounds of the deployments: a configuration is in force everywhere after this time, and
# a server that leaves gets nothing after the same time.
APPLY_S = 2.0
# Servers that live have registered again after this time, and the entries of others
# have expired.
SETTLED_S = 4.5
NO_STORE = "127.0.0.1:1"
NO_KEYS = [{"name": "north", "apiKeys": []}]


@pytest.fixture(params=["read", "told"])
def site(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[SiteFleet]:
    """Run a site whose second entry reads the store, or can only be told of it."""
    with running_fleet(tmp_path) as fleet:
        if request.param == "told":
            restart(fleet, tmp_path, NO_STORE)
        yield fleet


def restart(site: SiteFleet, folder: Path, store: str = "") -> None:
    """Start the second entry again."""
    kill(site.entries[1])
    name = f"again-{time.monotonic_ns()}"
    site.entries[1] = launch_entry(site, folder, 1, name, store)
    wait_until(lambda: site.is_ready(1), "ready again")


def copy(site: SiteFleet) -> None:
    """Take the copy that the store comes back from."""
    site.send_control("/store", copy=True)


def come_back(site: SiteFleet) -> None:
    """Let the store come back from its copy."""
    site.send_control("/store", restore=True)


def write_configurations(site: SiteFleet, count: int, **changes: object) -> None:
    """Write versions of the configuration and wait until the last is in force."""
    for _ in range(count):
        written = site.send_control("/configuration", **changes)["version"]
    wait_until(lambda: versions(site) == [written] * 2, "last version in force")
    time.sleep(0.3)


def versions(site: SiteFleet) -> list[int]:
    """Return the versions that the entries have in force."""
    return [site.in_force(entry) for entry in range(2)]


def statuses(site: SiteFleet) -> list[int]:
    """Return how both entries answer a lookup."""
    return [site.call("/lookup/1", entry=entry).status for entry in range(2)]


def holds_for(seconds: float, condition: Callable[[], bool]) -> bool:
    """Return whether a condition holds all the time."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        if not condition():
            return False
        time.sleep(0.05)
    return True


def ran_at(site: SiteFleet, server: str) -> int:
    """Return how many requests a server ran."""
    return len(site.send_control("/ledger")["servers"][server]["ran"])


class TestConfigurations:
    """What operators wrote in the lost seconds, and after them."""

    def test_version_written_after_the_return_is_in_force(
        self, site: SiteFleet
    ) -> None:
        copy(site)
        write_configurations(site, 5)
        come_back(site)
        time.sleep(0.5)
        before = max(versions(site))
        site.send_control("/configuration")
        wait_until(lambda: min(versions(site)) > before, "newest version", APPLY_S)

    def test_key_taken_away_in_the_lost_seconds_stays_away(
        self, site: SiteFleet
    ) -> None:
        copy(site)
        write_configurations(site, 2, tenants=NO_KEYS)
        come_back(site)
        assert holds_for(SETTLED_S, lambda: statuses(site) == [401, 401])
        site.send_control("/configuration")
        wait_until(lambda: statuses(site) == [200, 200], "keys again", APPLY_S)

    def test_instance_that_starts_after_the_return_learns_of_it(
        self, site: SiteFleet, tmp_path: Path
    ) -> None:
        copy(site)
        write_configurations(site, 2, tenants=NO_KEYS)
        come_back(site)
        restart(site, tmp_path)
        wait_until(lambda: statuses(site) == [401, 401], "told by others", APPLY_S)

    def test_second_return(self, site: SiteFleet) -> None:
        copy(site)
        write_configurations(site, 5)
        for _ in range(2):
            come_back(site)
            time.sleep(0.05)
        time.sleep(0.5)
        before = max(versions(site))
        site.send_control("/configuration")
        wait_until(lambda: min(versions(site)) > before, "newest version", APPLY_S)


class TestServers:
    """What servers registered in the lost seconds, and after them."""

    def test_server_that_had_left_gets_nothing(self, site: SiteFleet) -> None:
        copy(site)
        write_configurations(site, 3)
        site.send_control("/remove", server="i-members-0")
        time.sleep(APPLY_S)
        come_back(site)
        before = ran_at(site, "i-members-0")
        assert holds_for(SETTLED_S, lambda: statuses(site) == [200, 200])
        assert ran_at(site, "i-members-0") == before

    def test_server_that_was_leaving_gets_nothing(self, site: SiteFleet) -> None:
        copy(site)
        write_configurations(site, 3)
        site.send_control("/leave", server="i-members-0")
        time.sleep(APPLY_S)
        come_back(site)
        before = ran_at(site, "i-members-0")
        assert holds_for(SETTLED_S, lambda: statuses(site) == [200, 200])
        assert ran_at(site, "i-members-0") == before

    def test_server_that_leaves_after_the_return_gets_nothing(
        self, site: SiteFleet
    ) -> None:
        copy(site)
        write_configurations(site, 20)
        come_back(site)
        time.sleep(0.5)
        site.send_control("/leave", server="i-members-0")
        time.sleep(APPLY_S)
        before = ran_at(site, "i-members-0")
        assert holds_for(1.0, lambda: statuses(site) == [200, 200])
        assert ran_at(site, "i-members-0") == before

    def test_server_of_the_lost_seconds_is_used_all_the_time(
        self, site: SiteFleet
    ) -> None:
        site.send_control("/remove", server="i-members-0")
        copy(site)
        write_configurations(site, 3)
        site.send_control("/restarts", restart_ms=100)
        site.send_control("/crash", server="i-members-0")
        wait_until(lambda: known_as(site, "i-members-0."), "registered")
        site.send_control("/fault", server="i-members-1", fault="shed")
        wait_until(lambda: statuses(site) == [200, 200], "used")
        come_back(site)
        assert holds_for(SETTLED_S, lambda: statuses(site) == [200, 200])

    def test_server_that_died_with_the_lost_seconds_is_dropped(
        self, site: SiteFleet
    ) -> None:
        copy(site)
        write_configurations(site, 3)
        site.send_control("/restarts", restart_ms=100)
        site.send_control("/crash", server="i-members-0")
        wait_until(lambda: known_as(site, "i-members-0."), "registered")
        site.send_control("/restarts", restart_ms=3_600_000)
        come_back(site)
        site.send_control("/crash", server="i-members-0")
        wait_until(
            lambda: all(gone(site, entry) for entry in range(2)), "dropped", SETTLED_S
        )


def known_as(site: SiteFleet, prefix: str) -> bool:
    """Return whether both entries know a server whose id begins so."""
    return all(
        any(
            line["server"].startswith(prefix) and line["state"] == "ready"
            for line in site.events(entry, "backend server")
        )
        for entry in range(2)
    )


def gone(site: SiteFleet, entry: int) -> bool:
    """Return whether an entry has dropped the server that died."""
    lines = site.events(entry, "backend server")
    states = [each["state"] for each in lines if each["server"].count(".")]
    return bool(states) and states[-1] == "gone"


class TestBadEras:
    """Eras that can't be read leave the instances as they were."""

    @pytest.mark.parametrize("text", ["", "first", "-1", "0", "1.5", "9" * 40])
    def test_configurations_are_applied_as_before(
        self, site: SiteFleet, text: str
    ) -> None:
        site.send_control("/store", era_text=text)
        before = max(versions(site))
        time.sleep(1.0)
        site.send_control("/store")
        site.send_control("/configuration")
        wait_until(lambda: min(versions(site)) > before, "newest version", APPLY_S)
        assert statuses(site) == [200, 200]
