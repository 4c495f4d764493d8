"""Test that served requests do not stop the event loop for collecting garbage."""

import re
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import pytest

from bramleyturn.runtime.memory import YOUNG_OBJECTS
from tests.site.site_fleet import SiteFleet, running_fleet

CALLERS: Final = 8
# Enough for a collection if each of them left twenty objects.
REQUESTS: Final = YOUNG_OBJECTS // 20


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SiteFleet]:
    """Run one site for the module."""
    with running_fleet(tmp_path_factory.mktemp("site"), entries=1) as running:
        yield running


def metric(site: SiteFleet, name: str) -> float:
    """Return a metric of the entry, 0 if it has none of that name."""
    page = site.get(0, "metrics", "/metrics")[1].decode()
    found = re.search(rf"^bramleyturn_{re.escape(name)} (\S+)$", page, re.MULTILINE)
    return float(found[1]) if found else 0


class TestServedRequests:
    """Requests have been served and their connections are closed."""

    def test_lookups_leave_no_garbage_that_stops_the_loop(
        self, site: SiteFleet
    ) -> None:
        before = metric(site, "garbage_objects")
        with ThreadPoolExecutor(CALLERS) as pool:
            sent = [pool.submit(site.call, "/lookup/1") for _ in range(REQUESTS)]
        assert {each.result().status for each in sent} == {200}
        assert metric(site, "garbage_objects") - before < REQUESTS
