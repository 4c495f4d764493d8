"""Test that requests with a prompt part that crashes servers are not sent for ever."""

import itertools
import os
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import pytest

from bramleyturn.standin.site.deployment import SMALL_SITE, Deployment, engine_pool
from tests.processes import kill
from tests.site.site_fleet import (
    Answer,
    SiteFleet,
    launch_entry,
    running_fleet,
    wait_until,
)

# Time within which instances know of a crash; requests that may reach servers after it.
CONTACT_S: Final = 3.0
MAX_LATE_REQUESTS: Final = 3
CRASHES_FIRST: Final = 5
ENGINES: Final = 5
RESTART_MS: Final = 1_200
SYSTEM: Final = "5a"
CRASHING: Final = "c4a5"
REPEATS: Final = 16
SOUND_REQUESTS: Final = 20
_numbers = itertools.count(1)


def deployment() -> Deployment:
    """Return the small site with more engines."""
    engines = engine_pool(
        "drafts", ENGINES, slots=64, events=8, first_ms=(20, 60), gap_ms=(10, 10)
    )
    others = [pool for pool in SMALL_SITE["pools"] if pool["name"] != "drafts"]
    return {**SMALL_SITE, "pools": [*others, engines]}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run one site for the test."""
    with running_fleet(tmp_path, deployment=deployment()) as fleet:
        fleet.send_control("/restarts", restart_ms=RESTART_MS)
        yield fleet


def send(
    site: SiteFleet, parts: list[str], entry: int = 0, route: str = "note"
) -> Answer:
    """Send a stream request, unlike any other, whose prompt begins with the parts."""
    number = next(_numbers)
    own = f"{number:06x}"
    headers = {
        "Bramleyturn-Token-Counts": "100,20",
        "Bramleyturn-Prompt-Prefix": ",".join(f"{part}:40" for part in [*parts, own]),
        "Bramleyturn-Model": "m",
    }
    if route == "draft":
        headers |= {"Bramleyturn-Pieces": "2", "Bramleyturn-Piece-Key": f"k{own}"}
    return site.call(
        f"/{route}/1",
        method="POST",
        entry=entry,
        body=b"text %d" % number,
        wait_ms=4_000,
        extra_headers=headers,
    )


def send_crashing(site: SiteFleet, entry: int = 0, route: str = "note") -> Answer:
    """Send a request with the crashing part between parts that sound ones share."""
    return send(site, [SYSTEM, CRASHING], entry, route)


def arrivals(site: SiteFleet) -> int:
    """Return how many requests with the crashing part reached servers."""
    servers: dict[str, Any] = site.send_control("/ledger")["servers"]
    return sum(
        CRASHING in ran["headers"].get("bramleyturn-prompt-prefix", "")
        for server in servers.values()
        for ran in server["ran"]
    )


def crashes(site: SiteFleet) -> int:
    """Return how many servers have crashed."""
    servers = site.send_control("/ledger")["servers"].values()
    return sum(len(server["crashed_by"]) for server in servers)


def send_until_crashes(site: SiteFleet, route: str = "note") -> None:
    """Send requests with the part to both entries in turn until servers crashed."""
    for number in range(REPEATS):
        if crashes(site) >= CRASHES_FIRST:
            return
        send_crashing(site, number % 2, route)
        time.sleep(0.3)


def late_arrivals(site: SiteFleet, route: str = "note") -> int:
    """Send more requests with the part; return how many reached servers."""
    time.sleep(CONTACT_S)
    before = arrivals(site)
    for number in range(REPEATS):
        assert send_crashing(site, number % 2, route).status >= 500
        time.sleep(0.3)
    return arrivals(site) - before


@contextmanager
def sound_requests(site: SiteFleet) -> Iterator[list[Answer]]:
    """Send sound requests of the same caller and first part until the block ends."""
    answers: list[Answer] = []
    is_over = threading.Event()

    def run(entry: int) -> None:
        while not is_over.is_set():
            answers.append(send(site, [SYSTEM, "50d0"], entry))
            time.sleep(0.05)

    threads = [threading.Thread(target=run, args=(entry,)) for entry in range(2)]
    for thread in threads:
        thread.start()
    try:
        yield answers
    finally:
        is_over.set()
        for thread in threads:
            thread.join()


class TestPartThatCrashesServers:
    """Requests that are all different share one part, on which servers crash."""

    @pytest.mark.parametrize("point", ["nothing", "head", "event"])
    @pytest.mark.parametrize("after_ms", [0, 60])
    def test_requests_after_the_fifth_crash_reach_no_server(
        self, site: SiteFleet, point: str, after_ms: int
    ) -> None:
        site.send_control(
            "/crashing-parts", ids=[CRASHING], point=point, after_ms=after_ms
        )
        send_until_crashes(site)
        assert late_arrivals(site) <= MAX_LATE_REQUESTS

    def test_requests_beside_sound_ones_reach_no_server(self, site: SiteFleet) -> None:
        site.send_control("/crashing-parts", ids=[CRASHING], after_ms=60)
        with sound_requests(site):
            send_until_crashes(site)
            assert late_arrivals(site) <= MAX_LATE_REQUESTS

    def test_requests_whose_stages_come_first_reach_no_server(
        self, site: SiteFleet
    ) -> None:
        site.send_control("/crashing-parts", ids=[CRASHING], after_ms=60)
        send_until_crashes(site, "draft")
        assert late_arrivals(site, "draft") <= MAX_LATE_REQUESTS

    def test_request_that_waits_for_its_stages_is_refused_at_once(
        self, site: SiteFleet
    ) -> None:
        site.send_control("/crashing-parts", ids=[CRASHING], after_ms=60)
        for place in range(2):
            site.send_control(
                "/fault", server=f"i-books-{place}", fault="", processing_ms=3_000
            )
        answers: list[tuple[Answer, float]] = []

        def wait_for_stages() -> None:
            answers.append((send_crashing(site, 0, "draft"), time.monotonic()))

        waiting = threading.Thread(target=wait_for_stages)
        waiting.start()
        send_until_crashes(site)
        withheld_s = time.monotonic()
        waiting.join()
        answer, answered_s = answers[0]
        assert answer.status == 503
        assert answered_s < withheld_s + 1.0

    def test_sound_requests_with_the_same_first_part_begin_at_once(
        self, site: SiteFleet
    ) -> None:
        site.send_control("/crashing-parts", ids=[CRASHING], after_ms=60)
        with sound_requests(site) as answers:
            send_until_crashes(site)
            time.sleep(2 * CONTACT_S)
            answers.clear()
            while len(answers) < SOUND_REQUESTS:
                send_crashing(site)
                time.sleep(0.2)
            sound = [answer.status for answer in answers]
        assert sound.count(200) >= len(sound) / 2


class TestDisruptions:
    """Instances, servers and the store are disrupted while servers crash on a part."""

    @pytest.fixture(autouse=True)
    def crashing(self, site: SiteFleet) -> None:
        """Let servers crash on the part in the test."""
        site.send_control("/crashing-parts", ids=[CRASHING], after_ms=60)

    def test_restarted_instance_learns_of_earlier_crashes(
        self, site: SiteFleet, tmp_path: Path
    ) -> None:
        send_until_crashes(site)
        kill(site.entries[0])
        site.entries[0] = launch_entry(site, tmp_path, 0, "again")
        wait_until(lambda: site.is_ready(0), "ready again")
        assert late_arrivals(site) <= MAX_LATE_REQUESTS

    def test_instance_was_frozen_while_servers_crashed(self, site: SiteFleet) -> None:
        os.kill(site.entries[1].pid, signal.SIGSTOP)
        for _ in range(REPEATS):
            send_crashing(site)
            time.sleep(0.3)
        os.kill(site.entries[1].pid, signal.SIGCONT)
        assert late_arrivals(site) <= MAX_LATE_REQUESTS

    def test_store_was_away(self, site: SiteFleet) -> None:
        site.send_control("/restarts", restart_ms=RESTART_MS, keeps_ids=True)
        site.send_control("/store", silent=True)
        send_until_crashes(site)
        site.send_control("/store")
        assert late_arrivals(site) <= MAX_LATE_REQUESTS

    def test_other_servers_crashed_at_the_same_moment(self, site: SiteFleet) -> None:
        with sound_requests(site) as answers:
            for _ in range(2):
                for place in range(ENGINES):
                    site.send_control("/crash", server=f"i-drafts-{place}")
                time.sleep(2 * RESTART_MS / 1_000)
            send_until_crashes(site)
            assert late_arrivals(site) <= MAX_LATE_REQUESTS
            answers.clear()
            time.sleep(1.0)
            assert {answer.status for answer in answers} == {200}


class TestSoundParts:
    """Parts on which no server crashes, though servers crash under their requests."""

    def test_part_of_servers_that_are_killed_again_and_again(
        self, site: SiteFleet
    ) -> None:
        with sound_requests(site) as answers:
            for number in range(10):
                place = number % ENGINES
                site.send_control("/crash", server=f"i-drafts-{place}")
                time.sleep(0.4)
            time.sleep(2 * RESTART_MS / 1_000)
            answers.clear()
            time.sleep(1.0)
            assert {answer.status for answer in answers} == {200}
