"""Test that stopping an entry under load cuts off no answer."""

import os
import signal
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.processes import READY_LIMIT_S, kill
from tests.site.site_fleet import launch_entry, running_fleet, wait_until


def ignores_hangups(pid: int) -> bool:
    """Return whether a process ignores SIGHUP."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    ignored = next(line for line in lines if line.startswith("SigIgn:"))
    return bool(int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1))


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
            for place in range(2):
                fleet.send_control("/fault", server=f"i-members-{place}", fault="hang")
            fleet.send_control("/configuration", timeouts_ms={"order": 20_000})
            wait_until(lambda: fleet.in_force(0) == 2, "in force")
            order = callers.submit(
                fleet.call, "/order/1", "POST", 0, b"x", 20_000, "held"
            )
            wait_until(lambda: len(fleet.ran("held")) == 1, "the order runs")
            fleet.stop_entry(0)
            answer = order.result()
            assert (answer.status, answer.is_whole) == (504, True)


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
