"""Measure 20 entry processes in four availability zones, idle and under load.

Run as ``python -m scripts.capacity_fleet --out run-output/capacity-fleet.json``.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from statistics import median
from typing import Any, Final, NamedTuple

from scripts.fleet import (
    LAKESHORE_ZONES,
    OPERATORS,
    Fleet,
    FleetPlan,
    description_path,
    workspace_key,
)

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
ENTRIES_PER_ZONE: Final = 5
SETTLE_S: Final = 15
SEED: Final = 9
DEFAULT_OUT: Final = Path("run-output/capacity-fleet.json")


class Sample(NamedTuple):
    """Hold what one process has used and sent so far."""

    cpu_s: float
    resident_mb: float
    messages: dict[str, int]
    bytes: dict[str, int]
    answered: int


def main() -> int:
    """Run both phases, write the figures as JSON and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=DEFAULT_OUT)
    parser.add_argument("--seconds", type=int, default=120)
    parser.add_argument("--rate", type=int, default=60)
    arguments = parser.parse_args()
    document: dict[str, Any] = {"seconds": arguments.seconds, "rate": arguments.rate}
    with tempfile.TemporaryDirectory() as folder:
        plan = FleetPlan(
            Path(folder), zones=LAKESHORE_ZONES, entries_per_zone=ENTRIES_PER_ZONE
        )
        with Fleet(plan) as fleet:
            time.sleep(SETTLE_S)
            document["load_before"] = os.getloadavg()[0]
            document["idle"] = measure(fleet, arguments.seconds, 0, plan.folder)
            document["load"] = measure(
                fleet, arguments.seconds, arguments.rate, plan.folder
            )
            document["load_after"] = os.getloadavg()[0]
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    arguments.out.write_text(json.dumps(document, indent=2), "utf-8")
    print(json.dumps(document, indent=2))
    return 0 if not document["load"]["load_exit_code"] else 1


def measure(fleet: Fleet, seconds: int, rate: int, folder: Path) -> dict[str, Any]:
    """Return what the processes used in one phase, by role."""
    names = {
        "entry": fleet.entry_names(),
        "watch": [name.replace("entry", "watch", 1) for name in fleet.entry_names()],
    }
    before = {name: sample(fleet, name) for role in names for name in names[role]}
    reads_before = platform_reads(fleet)
    began_s = time.monotonic()
    exit_code = run_load(fleet, seconds, rate, folder)
    passed_s = time.monotonic() - began_s
    after = {name: sample(fleet, name) for name in before}
    reads = {
        path: (count - reads_before.get(path, 0)) / passed_s
        for path, count in platform_reads(fleet).items()
    }
    result: dict[str, Any] = {
        role: summary([(before[name], after[name]) for name in names[role]], passed_s)
        for role in names
    }
    return result | {
        "seconds": passed_s,
        "load_exit_code": exit_code,
        "platform_reads_per_s": reads,
    }


def run_load(fleet: Fleet, seconds: int, rate: int, folder: Path) -> int:
    """Send a load for that long, or wait idly; return the load's exit code."""
    if not rate:
        time.sleep(seconds)
        return 0
    command = [
        *(sys.executable, "-m", "bramleyturn.bench.load"),
        *("--fleet", str(description_path(fleet)), "--seed", str(SEED)),
        *("--out", str(folder / "load.json")),
        *("--seconds", str(seconds), "--rate", str(rate)),
    ]
    done = subprocess.run(command, check=False, stdout=subprocess.DEVNULL)
    return done.returncode


def sample(fleet: Fleet, name: str) -> Sample:
    """Return what a process has used and sent so far."""
    pid = fleet.processes.started[name].popen.pid
    fields = Path(f"/proc/{pid}/stat").read_text("ascii").rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text("ascii")
    resident_kb = int(status.partition("VmRSS:")[2].split()[0])
    document = get_json(f"http://{fleet.addresses[name]}/v1/status")
    messages = document.get("messages", {})
    return Sample(
        (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        resident_kb / 1024,
        messages.get("count", {}),
        messages.get("bytes", {}),
        document.get("counters", {}).get("answered", 0),
    )


def summary(pairs: Iterable[tuple[Sample, Sample]], seconds: float) -> dict[str, Any]:
    """Return the use of the processes of one role: median, least and most."""
    samples = list(pairs)
    cores = sorted(100 * (new.cpu_s - old.cpu_s) / seconds for old, new in samples)
    memory = sorted(new.resident_mb for _, new in samples)
    answered = sum(new.answered - old.answered for old, new in samples)
    return {
        "processes": len(samples),
        "core_percent": spread(cores),
        "resident_mb": spread(memory),
        "answered_per_s": answered / seconds,
        "messages_per_process_s": rates(
            [(old.messages, new.messages) for old, new in samples], seconds
        ),
        "bytes_per_process_s": rates(
            [(old.bytes, new.bytes) for old, new in samples], seconds
        ),
    }


def rates(
    pairs: list[tuple[dict[str, int], dict[str, int]]], seconds: float
) -> dict[str, float]:
    """Return the mean rate of each kind in one process."""
    total: Counter[str] = Counter()
    for old, new in pairs:
        total.update({kind: new[kind] - old.get(kind, 0) for kind in new})
    return {
        kind: round(count / len(pairs) / seconds, 3) for kind, count in total.items()
    }


def spread(values: list[float]) -> dict[str, float]:
    """Return the median of sorted values, and the least and most."""
    return {
        "median": round(median(values), 3),
        "least": round(values[0], 3),
        "most": round(values[-1], 3),
    }


def platform_reads(fleet: Fleet) -> dict[str, int]:
    """Return how often the platform was read, by path."""
    url = f"http://{fleet.addresses['platform-control']}/standin/reads"
    return dict(get_json(url)["by_path"])


def get_json(url: str) -> Any:
    """Return the document at a URL, read with the operators' key."""
    key = workspace_key(OPERATORS)
    request = urllib.request.Request(url, headers={"Authorization": f"Bearer {key}"})
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.load(response)


if __name__ == "__main__":
    sys.exit(main())
