"""Test that a request that crashes its servers is not sent to servers for ever."""

import os
import signal
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import pytest

from tests.processes import kill
from tests.site.site_fleet import (
    Answer,
    SiteFleet,
    launch_entry,
    running_fleet,
    wait_until,
)

# Time within which all instances know of a crash, and retries allowed after that.
CONTACT_S = 3.0
MAX_LATE_RETRIES = 3
MAX_CRASHES = 3
# A server that ended in silence is known to have ended when its registration is gone.
REGISTRATION_EXPIRY_S = 5.0
REPEATS = 16


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run one site for the test."""
    with running_fleet(tmp_path) as fleet:
        yield fleet


def crashes(site: SiteFleet) -> list[str]:
    """Return the attempts that crashed a server."""
    servers = site.send_control("/ledger")["servers"].values()
    return [attempt for server in servers for attempt in server["crashed_by"]]


def repeat_until_crashes(site: SiteFleet, send: Callable[[int], Answer]) -> None:
    """Repeat a request at both entries in turn until it crashed three servers."""
    for number in range(REPEATS):
        if len(crashes(site)) >= MAX_CRASHES:
            return
        send(number % 2)
        time.sleep(0.2)


def late_retries(site: SiteFleet, send: Callable[[int], Answer]) -> int:
    """Repeat a request at both entries; return how many servers it reached."""
    time.sleep(CONTACT_S)
    before = len(crashes(site))
    for number in range(REPEATS):
        answer = send(number % 2)
        assert answer.status >= 500
        time.sleep(0.3)
    return len(crashes(site)) - before


class TestRequestThatCrashesServers:
    """The same request comes again and again, at any instance."""

    @pytest.mark.parametrize("keeps_ids", [False, True])
    def test_repeats_after_the_third_crash_reach_no_server(
        self, site: SiteFleet, keeps_ids: bool
    ) -> None:
        site.send_control("/restarts", keeps_ids=keeps_ids)

        def send(entry: int) -> Answer:
            return site.call("/lookup/crash", entry=entry)

        repeat_until_crashes(site, send)
        assert late_retries(site, send) <= MAX_LATE_RETRIES

    def test_order(self, site: SiteFleet) -> None:
        def send(entry: int) -> Answer:
            return site.call("/order/1", "POST", entry=entry, body=b"crash")

        repeat_until_crashes(site, send)
        assert late_retries(site, send) <= MAX_LATE_RETRIES

    def test_stream(self, site: SiteFleet) -> None:
        def send(entry: int) -> Answer:
            return site.draft(entry=entry, body=b"crash", wait_ms=2_000)

        repeat_until_crashes(site, send)
        assert late_retries(site, send) <= MAX_LATE_RETRIES

    def test_piece_of_a_stage(self, site: SiteFleet) -> None:
        def send(entry: int) -> Answer:
            return site.draft(entry=entry, piece_key="crash", wait_ms=2_000)

        repeat_until_crashes(site, send)
        assert late_retries(site, send) <= MAX_LATE_RETRIES

    def test_restarted_instance_learns_of_earlier_crashes(
        self, site: SiteFleet, tmp_path: Path
    ) -> None:
        def send(entry: int) -> Answer:
            return site.call("/lookup/crash", entry=entry)

        repeat_until_crashes(site, send)
        kill(site.entries[0])
        site.entries[0] = launch_entry(site, tmp_path, 0, "again")
        wait_until(lambda: site.is_ready(0), "ready again")
        assert late_retries(site, send) <= MAX_LATE_RETRIES


class TestDisruptions:
    """Instances and servers are disrupted while a request crashes servers."""

    @staticmethod
    def send(site: SiteFleet, entry: int) -> Answer:
        """Send the request that crashes its server."""
        return site.call("/lookup/crash", entry=entry)

    def test_instance_was_frozen_while_servers_crashed(self, site: SiteFleet) -> None:
        os.kill(site.entries[1].pid, signal.SIGSTOP)
        repeat_until_crashes(site, lambda _: self.send(site, 0))
        time.sleep(2.0)
        os.kill(site.entries[1].pid, signal.SIGCONT)
        assert late_retries(site, partial(self.send, site)) <= MAX_LATE_RETRIES

    def test_all_instances_were_restarted_in_turn(
        self, site: SiteFleet, tmp_path: Path
    ) -> None:
        repeat_until_crashes(site, partial(self.send, site))
        for entry in range(2):
            site.stop_entry(entry)
            site.entries[entry].process.wait()
            site.entries[entry] = launch_entry(site, tmp_path, entry, f"again-{entry}")
            wait_until(partial(site.is_ready, entry), "ready again")
        assert late_retries(site, partial(self.send, site)) <= MAX_LATE_RETRIES

    def test_store_was_away(self, site: SiteFleet) -> None:
        site.send_control("/restarts", keeps_ids=True)
        site.send_control("/store", silent=True)
        repeat_until_crashes(site, partial(self.send, site))
        site.send_control("/store")
        assert late_retries(site, partial(self.send, site)) <= MAX_LATE_RETRIES

    def test_servers_started_again_at_each_others_address(
        self, site: SiteFleet
    ) -> None:
        for _ in range(3):
            site.send_control("/swap", servers=["i-members-0", "i-drafts-0"])
            self.send(site, 0)
            time.sleep(1.6)
        repeat_until_crashes(site, partial(self.send, site))
        assert late_retries(site, partial(self.send, site)) <= MAX_LATE_RETRIES

    def test_servers_were_leaving(self, site: SiteFleet) -> None:
        for number in range(4):
            site.send_control("/leave", server=f"i-members-{number % 2}")
            self.send(site, number % 2)
            time.sleep(1.6)
        repeat_until_crashes(site, partial(self.send, site))
        assert late_retries(site, partial(self.send, site)) <= MAX_LATE_RETRIES

    def test_settings_were_read_again(self, site: SiteFleet) -> None:
        repeat_until_crashes(site, partial(self.send, site))
        for entry in site.entries:
            os.kill(entry.pid, signal.SIGHUP)
        assert late_retries(site, partial(self.send, site)) <= MAX_LATE_RETRIES

    def test_server_failed_the_request_between_crashes(self, site: SiteFleet) -> None:
        for number in range(6):
            for place in range(2):
                fault = "fail" if place == number % 2 else ""
                site.send_control("/fault", server=f"i-members-{place}", fault=fault)
            for entry in range(2):
                self.send(site, entry)
            time.sleep(1.6)
        assert len(crashes(site)) <= MAX_CRASHES

    @pytest.mark.parametrize("keeps_ids", [False, True])
    def test_resets_were_lost_and_servers_back_before_the_timeout(
        self, site: SiteFleet, keeps_ids: bool
    ) -> None:
        site.send_control("/restarts", keeps_ids=keeps_ids, loses_resets=True)
        repeat_until_crashes(site, partial(self.send, site))
        time.sleep(REGISTRATION_EXPIRY_S)
        assert late_retries(site, partial(self.send, site)) <= MAX_LATE_RETRIES

    def test_server_was_frozen(self, site: SiteFleet) -> None:
        site.send_control("/fault", server="i-members-0", fault="hang")
        for number in range(4):
            site.call("/lookup/crash", entry=number % 2, wait_ms=400)
            time.sleep(0.4)
        site.send_control("/fault", server="i-members-0", fault="")
        repeat_until_crashes(site, partial(self.send, site))
        assert late_retries(site, partial(self.send, site)) <= MAX_LATE_RETRIES


class TestOtherRequests:
    """Requests that crash no server are served, whatever happens to their servers."""

    def test_same_request_of_a_server_that_was_killed_thrice(
        self, site: SiteFleet
    ) -> None:
        for _ in range(MAX_CRASHES):
            for place in range(2):
                site.send_control("/crash", server=f"i-members-{place}")
            site.call("/lookup/1")
            time.sleep(1.6)
            assert site.call("/lookup/1").status == 200

    def test_broken_connections_to_living_servers(self, site: SiteFleet) -> None:
        for place in range(2):
            site.send_control("/fault", server=f"i-members-{place}", fault="reset")
        for number in range(6):
            assert site.call("/lookup/2", entry=number % 2).status == 502
        for place in range(2):
            site.send_control("/fault", server=f"i-members-{place}", fault="")
        for number in range(4):
            assert site.call("/lookup/2", entry=number % 2).status == 200
