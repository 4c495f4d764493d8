"""Test that all instances together keep the limits that servers name."""

import itertools
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import pytest

from bramleyturn.standin.site.deployment import (
    SMALL_SITE,
    Deployment,
    engine_pool,
    plain_pool,
    stage_pool,
)
from bramleyturn.standin.site.run_records import wall_ms
from tests.processes import kill
from tests.site.server_limit_checks import (
    CONTACT_MS,
    allowed_requests,
    most_in_window,
)
from tests.site.site_fleet import (
    Answer,
    SiteFleet,
    launch_entry,
    running_fleet,
)

ENTRIES: Final = 4
CALLERS_OF_ENTRY: Final = 2
ENGINES: Final = 4
PAUSE_S: Final = 0.05
KNOWN_S: Final = CONTACT_MS / 1_000
WATCHED_S: Final = 6.0
# A refusal that does not wait for anything.
AT_ONCE_MS: Final = 300
LIMIT: Final = "1"
_numbers = itertools.count(1)


def deployment() -> Deployment:
    """Return the small site with more servers, which answer soon."""
    pools = [
        engine_pool(
            "drafts", ENGINES, slots=64, events=4, first_ms=(5, 10), gap_ms=(5, 5)
        ),
        plain_pool("members", 3, slots=64, work_ms=5),
        stage_pool("books", 3, work_ms=10, item_ms=(5, 10), batch=2),
    ]
    new = {pool["name"] for pool in pools}
    others = [pool for pool in SMALL_SITE["pools"] if pool["name"] not in new]
    return {**SMALL_SITE, "pools": [*others, *pools]}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run one site with four entries for the test."""
    with running_fleet(tmp_path, ENTRIES, deployment=deployment()) as fleet:
        yield fleet


def note(site: SiteFleet, entry: int) -> Answer:
    """Request a stream without stages."""
    headers = {
        "Bramleyturn-Token-Counts": "100,4",
        "Bramleyturn-Prompt-Prefix": f"aa:80,{next(_numbers):06x}:20",
        "Bramleyturn-Model": "m",
    }
    return site.call(
        "/note/1", method="POST", body=b"x", entry=entry, extra_headers=headers
    )


def draft(site: SiteFleet, entry: int) -> Answer:
    """Request a stream with pieces of a stage."""
    return site.draft(piece_key=f"k{next(_numbers):x}", entry=entry, wait_ms=4_000)


def lookup(site: SiteFleet, entry: int) -> Answer:
    """Request a lookup."""
    return site.call("/lookup/1", entry=entry)


@contextmanager
def load(
    site: SiteFleet, send: Callable[[SiteFleet, int], Answer]
) -> Iterator[list[tuple[int, Answer]]]:
    """Send requests to all entries until the block ends; yield times and answers."""
    answers: list[tuple[int, Answer]] = []
    is_over = threading.Event()

    def run(entry: int) -> None:
        while not is_over.is_set():
            sent_s = time.monotonic()
            try:
                answer = send(site, entry)
            except OSError:
                time.sleep(PAUSE_S)
                continue
            answers.append((int((time.monotonic() - sent_s) * 1_000), answer))
            time.sleep(PAUSE_S)

    threads = [
        threading.Thread(target=run, args=(number % ENTRIES,))
        for number in range(ENTRIES * CALLERS_OF_ENTRY)
    ]
    for thread in threads:
        thread.start()
    try:
        yield answers
    finally:
        is_over.set()
        for thread in threads:
            thread.join()


def servers(site: SiteFleet, pool: str) -> dict[str, Any]:
    """Return what the servers of a pool have recorded."""
    found = site.send_control("/ledger")["servers"].items()
    return {name: each for name, each in found if name.startswith(f"i-{pool}-")}


def name_limit(site: SiteFleet, server: str, per_s: str = LIMIT) -> None:
    """Let a server name a limit, "" for none."""
    site.send_control("/limit", server=server, per_s=per_s)


def most_arrivals(site: SiteFleet, pool: str, server: str) -> int:
    """Return the most requests in a window since all know of the limit."""
    ledger = servers(site, pool)[server]
    from_ms = ledger["limit_named_ms"] + CONTACT_MS
    return most_in_window(ledger["arrivals_ms"], from_ms, wall_ms())


class TestOneServer:
    """One server of a pool names a limit of one request a second."""

    @pytest.mark.parametrize(
        ("send", "pool"), [(note, "drafts"), (lookup, "members"), (draft, "books")]
    )
    def test_all_instances_together_keep_the_limit(
        self, site: SiteFleet, send: Callable[[SiteFleet, int], Answer], pool: str
    ) -> None:
        """The others take the load: no request is refused, and it is still used."""
        server = f"i-{pool}-0"
        name_limit(site, server)
        with load(site, send) as answers:
            time.sleep(KNOWN_S)
            answers.clear()
            time.sleep(WATCHED_S)
        assert most_arrivals(site, pool, server) <= allowed_requests(float(LIMIT))
        assert Counter(answer.status for _, answer in answers).keys() == {200}
        since_ms = wall_ms() - WATCHED_S * 1_000
        arrivals_ms = servers(site, pool)[server]["arrivals_ms"]
        assert sum(at_ms > since_ms for at_ms in arrivals_ms) >= 1

    def test_instance_that_started_again_keeps_it(
        self, site: SiteFleet, tmp_path: Path
    ) -> None:
        """A new process learns of the limit from the others or the first answer."""
        name_limit(site, "i-drafts-0")
        with load(site, note):
            time.sleep(KNOWN_S)
            kill(site.entries[0])
            site.entries[0] = launch_entry(site, tmp_path, 0, "entry-again")
            time.sleep(WATCHED_S)
        most = most_arrivals(site, "drafts", "i-drafts-0")
        assert most <= allowed_requests(float(LIMIT))

    def test_its_limit_ends_with_the_first_answers_without_it(
        self, site: SiteFleet
    ) -> None:
        """The server gets its share again."""
        name_limit(site, "i-drafts-0")
        with load(site, note):
            time.sleep(KNOWN_S + 1.0)
            name_limit(site, "i-drafts-0", "")
            time.sleep(KNOWN_S)
            before = servers(site, "drafts")
            time.sleep(WATCHED_S / 2)
        after = servers(site, "drafts")
        got = {
            name: len(after[name]["arrivals_ms"]) - len(before[name]["arrivals_ms"])
            for name in after
        }
        assert got["i-drafts-0"] > min(got.values()) / 2
        assert got["i-drafts-0"] > sum(got.values()) / ENGINES / 2


class TestWholePool:
    """All servers of a pool name a limit below what callers ask for."""

    @pytest.mark.parametrize(
        ("send", "pool", "count"), [(note, "drafts", ENGINES), (lookup, "members", 3)]
    )
    def test_what_is_over_the_limits_is_refused_with_retry_after(
        self,
        site: SiteFleet,
        send: Callable[[SiteFleet, int], Answer],
        pool: str,
        count: int,
    ) -> None:
        """Callers learn at once or soon; the limits are used."""
        for number in range(count):
            name_limit(site, f"i-{pool}-{number}")
        with load(site, send) as answers:
            time.sleep(KNOWN_S)
            answers.clear()
            time.sleep(WATCHED_S)
        for number in range(count):
            most = most_arrivals(site, pool, f"i-{pool}-{number}")
            assert most <= allowed_requests(float(LIMIT))
        statuses = Counter(answer.status for _, answer in answers)
        assert statuses.keys() == {200, 503}
        assert statuses[200] >= count * WATCHED_S / 4
        for _, answer in answers:
            assert answer.status == 200 or float(answer.headers["retry-after"]) > 0
        refused_ms = sorted(took for took, each in answers if each.status == 503)
        assert refused_ms[len(refused_ms) // 2] < AT_ONCE_MS
