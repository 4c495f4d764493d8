"""Test the load tool against backend servers without reachable entries."""

import subprocess
import sys
from pathlib import Path

from scripts.fleet import (
    Fleet,
    FleetPlan,
    description_path,
    start_standins,
    write_description,
)

LOAD_LIMIT_S = 100
CLOSED = "127.0.0.1:1"
SHORT_DEADLINES = """
[pipeline lesson-draft]
deadline_ms = 500
[pipeline craft-idea]
deadline_ms = 500
[pipeline roster-signup]
deadline_ms = 500
[pipeline packet-order]
deadline_ms = 500
"""


class TestLoad:
    def test_distinguishes_lost_requests_from_those_not_run(
        self, tmp_path: Path
    ) -> None:
        files = {"60-deadlines.ini": SHORT_DEADLINES}
        fleet = Fleet(FleetPlan(tmp_path, zones=("duluth",), extra_files=files))
        try:
            start_standins(fleet)
            write_description(fleet, (CLOSED,))
            command = [sys.executable, "-m", "bramleyturn.bench.load", "--seconds=1"]
            done = subprocess.run(
                [*command, "--fleet", str(description_path(fleet))],
                capture_output=True,
                text=True,
                timeout=LOAD_LIMIT_S,
                check=False,
            )
        finally:
            fleet.stop()
        assert done.returncode == 1, done.stdout + done.stderr
        assert "lesson-draft request" in done.stdout
        assert "lost: no outcome" in done.stdout
        assert "roster-signup not_run: no ticket obtained" in done.stdout

    def test_bad_description_is_exit_code_2(self, tmp_path: Path) -> None:
        command = [sys.executable, "-m", "bramleyturn.bench.load"]
        done = subprocess.run(
            [*command, "--fleet", str(tmp_path / "none.json")],
            capture_output=True,
            text=True,
            timeout=LOAD_LIMIT_S,
            check=False,
        )
        assert done.returncode == 2
        assert "No such file" in done.stderr
