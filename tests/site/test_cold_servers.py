"""Test with real processes that servers which start again get few requests at first."""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from copy import deepcopy
from pathlib import Path
from typing import Any, Final

import pytest

from bramleyturn.standin.site.deployment import SMALL_SITE, Deployment
from tests.site.site_fleet import SiteFleet, running_fleet, wait_until

RATE_PER_S: Final = 5.9
COLD_S: Final = 3.0
BOUNDS: Final = {"bounds.coldOverage": "1.5", "bounds.coldSlack": "5"}
MOST: Final = 13.85
CALLERS: Final = 8
# A caller sends the next request this long after the answer to the one before.
PAUSE_S: Final = 0.01
# Owners of turns wait for 1 s after they start.
SETTLE_S: Final = 2.0


def cold_site() -> Deployment:
    """Return a site whose servers are cold after they start again."""
    site = deepcopy(SMALL_SITE)
    for pool in site["pools"]:
        pool["cold_start_s"], pool["cold_per_s"] = COLD_S, RATE_PER_S
        pool["servers"] = 3
    return site


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site with the rule in force."""
    deployment = cold_site()
    with running_fleet(tmp_path, deployment=deployment, added_settings=BOUNDS) as fleet:
        yield fleet


@contextmanager
def calling(site: SiteFleet, statuses: list[int]) -> Iterator[None]:
    """Send requests of all kinds to both entries until the block ends."""
    has_ended = threading.Event()

    def run(caller: int) -> None:
        number = 0
        while not has_ended.is_set():
            number += 1
            if caller % 2:
                statuses.append(site.call("/lookup/1", entry=caller // 2 % 2).status)
            else:
                key = f"k{caller}{number:x}"
                draft: dict[str, Any] = {"piece_key": key, "prompt": f"{key}:80,b:20"}
                statuses.append(site.draft(entry=caller // 2 % 2, **draft).status)
            time.sleep(PAUSE_S)

    threads = [threading.Thread(target=run, args=(each,)) for each in range(CALLERS)]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        has_ended.set()
        for thread in threads:
            thread.join()


def cold_arrivals_ms(site: SiteFleet, name: str) -> list[int]:
    """Return when requests came to a server while it was cold last."""
    server = site.send_control("/ledger")["servers"][name]
    end_ms = server["cold_until_ms"]
    from_ms = end_ms - COLD_S * 1_000
    return [each for each in server["arrivals_ms"] if from_ms <= each < end_ms]


def most_in_a_second(times_ms: list[int]) -> int:
    """Return the most requests in any second."""
    return max(
        (sum(0 <= at - first <= 1_000 for at in times_ms) for first in times_ms),
        default=0,
    )


class TestColdServers:
    """Servers that crash and start again, or turn cold, under load."""

    def test_servers_that_start_again_stay_within_the_bound(
        self, site: SiteFleet
    ) -> None:
        """Under all requests of a burst they crashed again and again."""
        names = ["i-members-0", "i-drafts-0", "i-books-0"]
        site.send_control("/restarts", restart_ms=300, keeps_ids=True)
        statuses: list[int] = []
        with calling(site, statuses):
            time.sleep(SETTLE_S)
            for name in names:
                site.send_control("/crash", server=name)
            time.sleep(0.3 + COLD_S + 1.0)
        found = {name: cold_arrivals_ms(site, name) for name in names}
        for name, times_ms in found.items():
            share = len(times_ms) / (COLD_S * RATE_PER_S)
            most = most_in_a_second(times_ms)
            print(f"{name}: {most} in a second, {share:.2f} of the cold rate")
        print({status: statuses.count(status) for status in set(statuses)})
        assert all(most_in_a_second(each) <= MOST for each in found.values())
        # They get something, and all requests are answered.
        assert all(found.values())
        assert statuses.count(200) > 0.9 * len(statuses)

    def test_server_that_says_that_it_is_cold_stays_within_the_bound(
        self, site: SiteFleet
    ) -> None:
        """Servers turn cold at any moment, and only their answers say so."""
        name = "i-members-1"
        statuses: list[int] = []
        with calling(site, statuses):
            time.sleep(SETTLE_S)
            site.send_control("/cold", server=name, left_ms=int(COLD_S * 1_000))
            time.sleep(COLD_S)
        times_ms = cold_arrivals_ms(site, name)
        print(f"{most_in_a_second(times_ms)} in a second, {len(times_ms)} in all")
        assert most_in_a_second(times_ms) <= MOST
        assert set(statuses) == {200}

    def test_whole_pool_that_is_cold_serves_some_and_refuses_the_rest(
        self, site: SiteFleet
    ) -> None:
        """Requests were sent to servers that can't handle them, and lost there."""
        names = [f"i-members-{place}" for place in range(3)]
        statuses: list[int] = []
        with calling(site, statuses):
            time.sleep(SETTLE_S)
        for name in names:
            site.send_control("/cold", server=name, left_ms=60_000)
        for _ in range(12):
            site.call("/lookup/1", entry=0)
            site.call("/lookup/1", entry=1)
        wait_until(
            lambda: (
                len(site.events(0, "server is cold")) >= len(names)
                and len(site.events(1, "server is cold")) >= len(names)
            ),
            "the entries know that the servers are cold",
        )
        before_ms = time.time() * 1_000
        answers = [site.call("/lookup/1", entry=each % 2) for each in range(40)]
        refused = [each for each in answers if each.status == 503]
        assert {each.status for each in answers} <= {200, 503}
        assert all(float(each.headers["retry-after"]) > 0 for each in refused)
        servers = site.send_control("/ledger")["servers"]
        for name in names:
            arrivals_ms = [at for at in servers[name]["arrivals_ms"] if at >= before_ms]
            assert arrivals_ms
            assert most_in_a_second(arrivals_ms) <= MOST
