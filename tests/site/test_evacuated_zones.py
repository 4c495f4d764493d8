"""Test with real processes that an evacuated zone gets nothing new."""

import base64
import itertools
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from bramleyturn.standin.site.deployment import SMALL_SITE
from tests.site.site_fleet import SiteFleet, running_fleet, wait_until

ZONE, OTHER_ZONE = list(SMALL_SITE["zones"])[:2]
EVACUATED: Final = "zone evacuation"
POOLS: Final = ("members", "drafts", "books")
_numbers = itertools.count(1)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site with an entry in each of two zones."""
    with running_fleet(tmp_path) as fleet:
        yield fleet


def evacuate(site: SiteFleet, zone: str) -> None:
    """Evacuate a zone, and wait until both entries know."""
    known = len(site.events(0, EVACUATED)), len(site.events(1, EVACUATED))
    value = base64.b64encode(b"{}").decode()
    site.send_control("/entry", key=f"op/evacuate/{zone}", value=value)
    for entry in range(2):
        wait_until(
            lambda entry=entry: len(site.events(entry, EVACUATED)) > known[entry],  # type: ignore[misc]
            "the entry learns of the evacuation",
        )


def arrivals(site: SiteFleet, place: int) -> int:
    """Return how many requests and calls the servers at a place in each pool got."""
    servers = site.send_control("/ledger")["servers"]
    return sum(len(servers[f"i-{pool}-{place}"]["arrivals_ms"]) for pool in POOLS)


def send_all_kinds(site: SiteFleet) -> list[int]:
    """Send requests of all kinds to both entries; return their statuses."""
    answers = []
    for entry in range(2):
        for _ in range(4):
            number = next(_numbers)
            answers += [
                site.call("/lookup/1", entry=entry),
                site.draft(
                    piece_key=f"k{number:x}", prompt=f"{number:x}:80,b:20", entry=entry
                ),
            ]
    return [answer.status for answer in answers]


class TestEvacuatedZone:
    """Requests while an operator evacuates a zone."""

    def test_its_servers_get_nothing_and_all_requests_are_served(
        self, site: SiteFleet
    ) -> None:
        assert set(send_all_kinds(site)) == {200}
        evacuate(site, ZONE)
        before = arrivals(site, 0)
        assert set(send_all_kinds(site)) == {200}
        assert arrivals(site, 0) == before

    def test_requests_are_refused_once_no_zone_is_left(self, site: SiteFleet) -> None:
        for zone in (ZONE, OTHER_ZONE):
            evacuate(site, zone)
        before = arrivals(site, 0), arrivals(site, 1)
        lookup = site.call("/lookup/1")
        assert lookup.status == 503
        assert float(lookup.headers["retry-after"]) > 0
        assert site.draft(wait_ms=2_500).status == 503
        assert (arrivals(site, 0), arrivals(site, 1)) == before
