"""Test with real processes that instances share the choice of engines."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.site.site_fleet import SiteFleet, running_fleet

ENGINES = ("i-drafts-0", "i-drafts-1")
# The own load of an instance outweighs reading this prompt again at six requests.
PROMPT = "aa:13300,bb:3700"
REQUESTS = 8


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site with two entries."""
    with running_fleet(tmp_path) as fleet:
        yield fleet


class TestPopularPart:
    """Requests at both entries at the same moment, with the same prompt part."""

    @pytest.mark.parametrize("pieces", ["2", "0"], ids=["stages", "no stages"])
    def test_requests_are_spread_over_the_engines(
        self, site: SiteFleet, pieces: str
    ) -> None:
        def send(number: int) -> int:
            return site.draft(
                prompt=PROMPT,
                pieces=pieces,
                entry=number % 2,
                attempt_id=f"r{number}",
            ).status

        with ThreadPoolExecutor(REQUESTS) as callers:
            assert list(callers.map(send, range(REQUESTS))) == [200] * REQUESTS
        servers = site.send_control("/ledger")["servers"]
        counts = [
            sum(each["attempt_id"].startswith("r") for each in servers[engine]["ran"])
            for engine in ENGINES
        ]
        assert sum(counts) == REQUESTS
        assert min(counts) >= 2, counts
