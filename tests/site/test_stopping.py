"""Test that stopping an entry under load cuts off no answer."""

import os
import signal
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.processes import READY_LIMIT_S, kill
from tests.site.site_fleet import (
    Answer,
    SiteFleet,
    launch_entry,
    running_fleet,
    wait_until,
)


def ignores_hangups(pid: int) -> bool:
    """Return whether a process ignores SIGHUP."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    ignored = next(line for line in lines if line.startswith("SigIgn:"))
    return bool(int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1))


def hold_order(fleet: SiteFleet, callers: ThreadPoolExecutor) -> "Future[Answer]":
    """Send the first entry an order that no server ever answers."""
    for place in range(2):
        fleet.send_control("/fault", server=f"i-members-{place}", fault="hang")
    fleet.send_control("/configuration", timeouts_ms={"order": 20_000})
    wait_until(lambda: fleet.in_force(0) == 2, "in force")
    order = callers.submit(fleet.call, "/order/1", "POST", 0, b"x", 20_000, "held")
    wait_until(lambda: len(fleet.ran("held")) == 1, "the order runs")
    for place in range(2):
        fleet.send_control("/fault", server=f"i-members-{place}", fault="")
    return order


class TestStopping:
    """SIGTERM while streams are being answered."""

    def test_streams_in_progress_complete(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path) as fleet, ThreadPoolExecutor(8) as callers:
            calls = [callers.submit(fleet.draft, entry=0) for _ in range(8)]
            wait_until(
                lambda: fleet.send_control("/ledger")["servers"] != {}, "a ledger"
            )
            fleet.stop_entry(0)
            wait_until(lambda: not fleet.is_ready(0), "not ready")
            answers = [each.result() for each in calls]
            assert all(answer.is_whole for answer in answers)
            assert {answer.status for answer in answers} == {200}
            process = fleet.entries[0].process
            wait_until(lambda: process.poll() is not None, "ended")
            assert process.returncode == 0

    def test_request_that_waits_for_its_stages_is_refused_before_the_end(
        self, tmp_path: Path
    ) -> None:
        with running_fleet(tmp_path) as fleet, ThreadPoolExecutor(2) as callers:
            for place in range(2):
                fleet.send_control("/fault", server=f"i-books-{place}", fault="shed")
            process = fleet.entries[0].process
            fleet.send_control("/configuration", timeouts_ms={"draft": 20_000})
            wait_until(lambda: fleet.in_force(0) == 2, "in force")
            waiting = callers.submit(
                fleet.draft, entry=0, attempt_id="waits", wait_ms=20_000
            )
            wait_until(lambda: fleet.in_progress(0) == 1, "the draft is read")
            fleet.stop_entry(0)
            answer = waiting.result()
            assert (answer.status, answer.is_whole) == (503, True)
            assert "retry-after" in answer.headers
            assert fleet.ran("waits") == []
            wait_until(lambda: process.poll() is not None, "ended")
            assert process.returncode == 0

    def test_order_at_a_silent_server_is_answered_before_the_end(
        self, tmp_path: Path
    ) -> None:
        with running_fleet(tmp_path) as fleet, ThreadPoolExecutor(2) as callers:
            order = hold_order(fleet, callers)
            fleet.stop_entry(0)
            answer = order.result()
            assert (answer.status, answer.is_whole) == (504, True)


class TestLateRequests:
    """Requests that are read when the time to stop is almost over."""

    # Eight events: a stream takes 1.6 s.
    GAP_MS = 200
    # SIGTERM plus this leaves about 0.9 s, and less than a stream takes.
    LATE_S = 6.8

    @pytest.fixture
    def fleet(self, tmp_path: Path) -> Iterator[SiteFleet]:
        """Run a site with slow streams."""
        with running_fleet(tmp_path) as fleet:
            for place in range(2):
                fleet.send_control(
                    "/fault", server=f"i-drafts-{place}", fault="", gap_ms=self.GAP_MS
                )
            with ThreadPoolExecutor(1) as callers:
                hold_order(fleet, callers)
                yield fleet

    def stop(self, fleet: SiteFleet) -> float:
        """Stop the first entry; return when its time is almost over."""
        fleet.stop_entry(0)
        return time.monotonic() + self.LATE_S

    @pytest.mark.parametrize("has_served", [True, False])
    def test_stream_that_cannot_end_in_time_is_not_begun(
        self, fleet: SiteFleet, has_served: bool
    ) -> None:
        if has_served:
            assert fleet.draft(entry=0).status == 200
        late_s = self.stop(fleet)
        time.sleep(late_s - time.monotonic())
        sent_s = time.monotonic()
        answer = fleet.draft(entry=0, attempt_id="late")
        took_s = time.monotonic() - sent_s
        assert (answer.status, answer.is_whole) == (503, True)
        assert "retry-after" in answer.headers
        assert fleet.ran("late") == []
        assert took_s < 0.3, "refused at once"

    def test_stream_whose_stages_end_too_late_is_not_begun(
        self, fleet: SiteFleet
    ) -> None:
        assert fleet.draft(entry=0).status == 200
        for place in range(2):
            fleet.send_control("/fault", server=f"i-books-{place}", fault="shed")
        late_s = self.stop(fleet)
        with ThreadPoolExecutor(1) as callers:
            # The stage is tried again at longer and longer intervals, the third time
            # 2.5 s after the first.
            time.sleep(late_s - time.monotonic() - 2.9)
            waiting = callers.submit(fleet.draft, entry=0, attempt_id="waits")
            time.sleep(late_s - time.monotonic() - 1.3)
            for place in range(2):
                fleet.send_control("/fault", server=f"i-books-{place}", fault="")
            answer = waiting.result()
        assert (answer.status, answer.is_whole) == (503, True)
        assert fleet.ran("waits") == []

    def test_new_connection_has_time_to_send_its_request(
        self, fleet: SiteFleet
    ) -> None:
        late_s = self.stop(fleet)
        time.sleep(late_s - time.monotonic() - 2.6)
        kept = fleet.connection(0)
        kept.connect()
        time.sleep(0.2)
        assert fleet.call("/lookup/1", kept=kept).status == 200

    def test_requests_that_end_in_time_are_served(self, fleet: SiteFleet) -> None:
        assert fleet.draft(entry=0).status == 200
        late_s = self.stop(fleet)
        # Twice the time of a stream is left.
        time.sleep(late_s - time.monotonic() - 2.6)
        answer = fleet.draft(entry=0)
        assert (answer.status, answer.is_whole) == (200, True)
        time.sleep(max(0.0, late_s - time.monotonic()))
        assert fleet.call("/lookup/1", entry=0).status == 200
        assert fleet.call("/order/1", "POST", 0, b"x").status == 200


class TestStarting:
    """SIGHUP, which announces new settings, during startup."""

    def test_sighup_does_not_end_the_process(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path) as fleet:
            kill(fleet.entries[0])
            again = fleet.entries[0] = launch_entry(fleet, tmp_path, 0, "again")
            wait_until(lambda: ignores_hangups(again.pid), "SIGHUP is ignored")
            assert not fleet.is_ready(0), "already started"
            os.kill(again.pid, signal.SIGHUP)
            wait_until(lambda: fleet.is_ready(0), "ready", READY_LIMIT_S)
