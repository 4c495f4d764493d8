"""Send a mixed load through separate processes and check every answer."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from scripts.fleet import Fleet, FleetPlan, description_path
from scripts.process_group import wait_until

SEED = 5
LOAD_LIMIT_S = 120


def load_command(fleet: Fleet, out: Path, *, seconds: int, rate: int) -> list[str]:
    """Return the command that sends a load to ``fleet``."""
    return [
        *(sys.executable, "-m", "bramleyturn.bench.load"),
        *("--fleet", str(description_path(fleet)), "--out", str(out)),
        *("--seconds", str(seconds), "--rate", str(rate), "--seed", str(SEED)),
    ]


def load(fleet: Fleet, out: Path, *, seconds: int, rate: int) -> tuple[int, str]:
    """Run one load and return its exit code and output."""
    command = load_command(fleet, out, seconds=seconds, rate=rate)
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=LOAD_LIMIT_S, check=False
    )
    return done.returncode, done.stdout + done.stderr


class TestWholePath:
    @pytest.mark.parametrize("zones", [("duluth",), ("duluth", "milwaukee")])
    def test_every_request_is_answered_completely(
        self, tmp_path: Path, zones: tuple[str, ...]
    ) -> None:
        plan = FleetPlan(tmp_path, zones=zones, entries_per_zone=2)
        out = tmp_path / "summary.json"
        with Fleet(plan) as fleet:
            code, text = load(fleet, out, seconds=4, rate=15)
        print(text)
        assert code == 0, text
        for name, row in json.loads(out.read_text())["pipelines"].items():
            assert row["sent"] > 0, name
            assert row["answered_in_deadline"] == row["sent"], (name, text)

    def test_killed_entry_loses_and_duplicates_nothing(self, tmp_path: Path) -> None:
        plan = FleetPlan(tmp_path, zones=("duluth", "milwaukee"), entries_per_zone=1)
        out = tmp_path / "summary.json"
        with Fleet(plan) as fleet:
            command = load_command(fleet, out, seconds=6, rate=15)
            fleet.processes.start("load", command)
            lines = fleet.processes.started["load"].out
            wait_until(lambda: "answered" in lines.read_text(), "the load runs")
            fleet.kill("entry-duluth-1")
            code = fleet.processes.wait_for_end("load", LOAD_LIMIT_S)
        text = lines.read_text()
        print(text)
        assert code == 0, text
        assert sum(
            row["sent"] for row in json.loads(out.read_text())["pipelines"].values()
        )

    def test_graceful_stop_ends_every_process_with_0(self, tmp_path: Path) -> None:
        with Fleet(FleetPlan(tmp_path, zones=("duluth",))) as fleet:
            codes = fleet.stop()
        assert set(codes.values()) == {0}, codes
