"""Stop an entry under load without cutting anyone off."""

import os
import signal
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.processes import READY_LIMIT_S, kill
from tests.site.site_fleet import launch_entry, running_fleet, until


def ignores_hangups(pid: int) -> bool:
    """Return whether a process ignores SIGHUP."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    ignored = next(line for line in lines if line.startswith("SigIgn:"))
    return bool(int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1))


class TestStopping:
    """A stop while streams are answered."""

    def test_streams_in_progress_end_whole(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path) as fleet, ThreadPoolExecutor(8) as callers:
            asked = [callers.submit(fleet.draft, entry=0) for _ in range(8)]
            until(lambda: fleet.steer("/ledger")["servers"] != {}, "a ledger")
            fleet.stop_entry(0)
            until(lambda: not fleet.is_ready(0), "out of rotation")
            answers = [each.result() for each in asked]
            assert all(answer.is_whole for answer in answers)
            assert {answer.status for answer in answers} == {200}
            process = fleet.entries[0].process
            until(lambda: process.poll() is not None, "ended")
            assert process.returncode == 0


class TestStarting:
    """A start that is told of new settings."""

    def test_word_of_new_settings_does_not_end_it(self, tmp_path: Path) -> None:
        with running_fleet(tmp_path) as fleet:
            kill(fleet.entries[0])
            again = fleet.entries[0] = launch_entry(fleet, tmp_path, 0, "again")
            until(lambda: ignores_hangups(again.pid), "past its first lines")
            assert not fleet.is_ready(0), "already started"
            os.kill(again.pid, signal.SIGHUP)
            until(lambda: fleet.is_ready(0), "ready", READY_LIMIT_S)
