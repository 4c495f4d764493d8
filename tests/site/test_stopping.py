"""Stop an entry under load without cutting anyone off."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.site.site_fleet import running_fleet, until


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
