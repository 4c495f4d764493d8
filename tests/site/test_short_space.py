"""Test when results are released by instances and the owner of the stages."""

import threading
import time
from collections.abc import Iterator
from copy import deepcopy
from pathlib import Path

import pytest

from bramleyturn.standin.site.deployment import SMALL_SITE
from tests.site.site_fleet import Answer, SiteFleet, running_fleet, wait_until

# The first event of an engine comes long after it has fetched its inputs.
START_MS = 1_500
FETCHED_S = 0.6
# Three results of 8 KB fill more than half of two servers.
SHORT_MB = 0.02
AMPLE_MB = 1.0


@pytest.fixture
def site(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[SiteFleet]:
    """Run a site whose stage servers have the space that the test names."""
    deployment = deepcopy(SMALL_SITE)
    for pool in deployment["pools"]:
        if pool["name"] == "books":
            pool["room_mb"] = request.param
    with running_fleet(tmp_path, deployment=deployment) as fleet:
        for server in ("i-drafts-0", "i-drafts-1"):
            fleet.send_control("/fault", server=server, fault="", start_ms=START_MS)
        yield fleet


def kept(site: SiteFleet) -> int:
    """Return how many results the servers keep."""
    servers = site.send_control("/ledger")["servers"]
    return sum(server["kept"] for server in servers.values())


def draft(site: SiteFleet) -> tuple[threading.Thread, list[Answer]]:
    """Ask for a draft in the background."""
    answers: list[Answer] = []
    thread = threading.Thread(
        target=lambda: answers.append(site.draft(pieces="3", attempt_id="d1"))
    )
    thread.start()
    wait_until(lambda: kept(site) == 3, "results are made")
    return thread, answers


class TestReaders:
    """Engines that have fetched their inputs and work on."""

    @pytest.mark.parametrize("site", [SHORT_MB], indirect=True)
    def test_results_are_released_once_fetched_while_space_is_short(
        self, site: SiteFleet
    ) -> None:
        thread, answers = draft(site)
        wait_until(lambda: kept(site) == 0, "released", FETCHED_S)
        assert answers == []
        thread.join()
        assert answers[0].status == 200
        assert len(site.ran("d1")) == 1

    @pytest.mark.parametrize("site", [AMPLE_MB], indirect=True)
    def test_results_stay_until_the_first_event_while_there_is_space(
        self, site: SiteFleet
    ) -> None:
        thread, answers = draft(site)
        time.sleep(FETCHED_S)
        assert (kept(site), answers) == (3, [])
        thread.join()
        wait_until(lambda: kept(site) == 0, "released")
        assert answers[0].status == 200
