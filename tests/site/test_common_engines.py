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
SLOW_MS = 2_000


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


class TestSlowEngine:
    """An engine that turns slow, and keeps a part that others need."""

    def engine_of(self, site: SiteFleet, attempt_id: str, entry: int) -> str:
        """Send a request; return the engine that ran it."""
        answer = site.draft(prompt=PROMPT, entry=entry, attempt_id=attempt_id)
        assert answer.status == 200
        servers = site.send_control("/ledger")["servers"]
        (engine,) = [
            name
            for name in ENGINES
            if any(ran["attempt_id"] == attempt_id for ran in servers[name]["ran"])
        ]
        return engine

    def test_is_not_chosen_by_another_instance_after_it_was_late(
        self, site: SiteFleet
    ) -> None:
        engine = self.engine_of(site, "s0", 0)
        assert self.engine_of(site, "s1", 1) == engine
        site.send_control("/fault", server=engine, fault="", start_ms=SLOW_MS)
        assert self.engine_of(site, "s2", 0) == engine
        assert self.engine_of(site, "s3", 1) != engine
