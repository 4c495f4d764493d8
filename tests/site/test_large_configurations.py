"""Test that a configuration of thousands of routes gets over small links."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.processes import kill
from tests.site.site_fleet import SiteFleet, launch_entry, running_fleet, wait_until

MEGABIT_BYTES = 125_000
# Bounds of the large deployment: a version is in force everywhere, and callers are
# served again after all instances were killed.
APPLY_S = 4.0
RECOVERY_S = 15.0
LAST_ADDED = "/added-{}/1"


@pytest.fixture(params=[(1_700, 10), (8_200, 5)], ids=["1700-10Mbit", "8200-5Mbit"])
def size(request: pytest.FixtureRequest) -> tuple[int, int]:
    """Return the number of routes, and the bytes a second of an instance's link."""
    routes, megabits = request.param
    return routes, megabits * MEGABIT_BYTES


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site with two entries."""
    with running_fleet(tmp_path) as fleet:
        yield fleet


def grow(site: SiteFleet, size: tuple[int, int], breaks_at_bytes: int = 0) -> None:
    """Write a configuration with many more routes, over small links."""
    routes, bytes_per_s = size
    site.send_control(
        "/store", link_bytes_per_s=bytes_per_s, link_breaks_at_bytes=breaks_at_bytes
    )
    site.send_control("/configuration", added_routes=routes)


def serves_last_route(site: SiteFleet, routes: int, entry: int) -> bool:
    """Return whether a lookup on the last route is served."""
    path = LAST_ADDED.format(routes - 1)
    try:
        return site.call(path, entry=entry).status == 200
    except OSError:
        return False


def all_serve(site: SiteFleet, routes: int) -> bool:
    """Return whether every entry serves the last route."""
    return all(serves_last_route(site, routes, entry) for entry in range(2))


class TestLargeConfiguration:
    """Instances that read many routes over links of a few megabits a second."""

    def test_is_in_force_in_time(self, site: SiteFleet) -> None:
        grow(site, (1_700, 10 * MEGABIT_BYTES))
        wait_until(lambda: all_serve(site, 1_700), "in force", APPLY_S)

    def test_is_read_by_the_watch(self, site: SiteFleet, size: tuple[int, int]) -> None:
        grow(site, size)
        wait_until(lambda: all_serve(site, size[0]), "in force", RECOVERY_S)

    def test_is_read_after_all_instances_were_killed(
        self, site: SiteFleet, tmp_path: Path, size: tuple[int, int]
    ) -> None:
        grow(site, size)
        for place in range(2):
            kill(site.entries[place])
            name = f"again-{place}"
            site.entries[place] = launch_entry(site, tmp_path, place, name)
        wait_until(lambda: all_serve(site, size[0]), "served again", RECOVERY_S)

    def test_is_read_again_after_a_reset(
        self, site: SiteFleet, size: tuple[int, int]
    ) -> None:
        grow(site, size, breaks_at_bytes=300_000)
        wait_until(lambda: all_serve(site, size[0]), "in force", RECOVERY_S)

    def test_is_copied_by_an_instance_that_the_store_does_not_answer(
        self, site: SiteFleet, tmp_path: Path, size: tuple[int, int]
    ) -> None:
        kill(site.entries[1])
        site.entries[1] = launch_entry(site, tmp_path, 1, "told", "127.0.0.1:1")
        grow(site, size)
        wait_until(lambda: all_serve(site, size[0]), "copied", RECOVERY_S)
