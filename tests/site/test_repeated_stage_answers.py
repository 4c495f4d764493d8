"""Test that requests run with their own inputs if stage servers repeat answers."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.site.site_fleet import SiteFleet, running_fleet, wait_until

DRAFTS = 60
CALLERS = 4
POOLS = ("books", "drafts")


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site with one entry."""
    with running_fleet(tmp_path, entries=1) as fleet:
        yield fleet


def foreign_inputs(site: SiteFleet) -> dict[str, list[str]]:
    """Return the requests that ran with results made for others."""
    servers = site.send_control("/ledger")["servers"].values()
    made_for = {
        handle: of for each in servers for handle, of in each["made_for"].items()
    }
    found = {}
    for ran in (ran for each in servers for ran in each["ran"]):
        handles = ran["headers"].get("bramleyturn-inputs", "").split(",")
        others = [each for each in handles if made_for.get(each) != ran["attempt_id"]]
        if ran["target"].startswith("/draft/") and others:
            found[ran["attempt_id"]] = others
    return found


class TestAnswersWrittenAgain:
    """Stage servers write their last answer again before the next one.

    Guards against requests that ran with the inputs of others, which the copy named.
    """

    @pytest.mark.parametrize("places", [(0,), (0, 1)])
    def test_requests_run_with_their_own_inputs(
        self, site: SiteFleet, places: tuple[int, ...]
    ) -> None:
        for place in places:
            site.send_control("/fault", server=f"i-books-{place}", fault="again")

        def draft(number: int) -> int:
            answer = site.draft(b"%d" % number, f"{number:04x}", pieces="1")
            return answer.status

        with ThreadPoolExecutor(CALLERS) as callers:
            statuses = list(callers.map(draft, range(DRAFTS)))
        assert foreign_inputs(site) == {}
        assert statuses.count(200) >= DRAFTS // 2

    def test_sound_servers_serve_all(self, site: SiteFleet) -> None:
        statuses = [
            site.draft(b"%d" % number, f"{number:04x}", pieces="1").status
            for number in range(DRAFTS // 4)
        ]
        assert set(statuses) == {200}
        assert foreign_inputs(site) == {}
        wait_until(lambda: not site.in_progress(0), "every request has ended")
