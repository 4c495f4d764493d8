"""Compare the overhead of an entry process with that of a plain forwarder.

Run as ``python -m scripts.measure_overhead`` from the root of the project.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Final, NamedTuple

from scripts.fleet import Fleet, FleetPlan, workspace_key
from scripts.process_group import ProcessGroup

INPUT: Final = "The Lord is my shepherd; I shall not want. " * 8
LOOKUP: Final = """
[pipeline lookup]
stages = encode
deadline_ms = 8000

[stage lookup.encode]
pool = encoders
after = none
repeatable = yes
timeout_ms = 5000
hedge = no

[pool encoders]
concurrency_per_server = 512

[workspace lessons]
pipelines = *
rate_per_s = 100000
burst = 100000
concurrency = 1000
"""
SENDER_PROCESSES: Final = 2
CONNECTIONS: Final = 16
US_PER_S: Final = 1_000_000


class Target(NamedTuple):
    """Describe one route to the backend server."""

    name: str
    url: str
    body: dict[str, object]
    headers: dict[str, str]
    process_id: int


def main() -> int:
    """Print throughput and latency of each route, and the ratios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="bramleyturn-overhead-"))
    plan = FleetPlan(
        folder,
        zones=("duluth",),
        entries_per_zone=1,
        separate_servers=True,
        extra_files={"90-lookup.ini": LOOKUP},
        standin_values={"service_ms": "0", "concurrency": "1024"},
    )
    with Fleet(plan) as fleet:
        forwarders = ProcessGroup(folder / "others")
        try:
            rounds = [
                measure(
                    folder, build_targets(fleet, forwarders, number), options.seconds
                )
                for number in range(options.rounds)
            ]
        finally:
            forwarders.end_all()
    text = json.dumps({"seconds": options.seconds, "rounds": rounds}, indent=2)
    if options.out:
        options.out.write_text(text, "utf-8")
    print_table(rounds)
    return 0


def build_targets(fleet: Fleet, forwarders: ProcessGroup, number: int) -> list[Target]:
    """Return the three routes to an encoder: direct, forwarder and entry."""
    encoder = next(each for each in fleet.servers if each.pool == "encoders")
    server = fleet.addresses[encoder.name]
    name = f"forwarder-{number}"
    module = "bramleyturn.bench.forwarder"
    forwarders.start(name, [sys.executable, "-m", module, server])
    forwarder = forwarders.wait_for_address(name)
    entry = fleet.entry_addresses()[0]
    encoder_pid = fleet.processes.started[encoder.name].popen.pid
    forwarder_pid = forwarders.started[name].popen.pid
    call: dict[str, object] = {
        "attempt_id": "ATTEMPT",
        "model": encoder.model,
        "input": INPUT,
    }
    key = workspace_key("lessons")
    return [
        Target("direct", f"http://{server}/v1/run", call, {}, encoder_pid),
        Target("forwarder", f"http://{forwarder}/v1/run", call, {}, forwarder_pid),
        Target(
            "entry",
            f"http://{entry}/v1/pipelines/lookup/requests",
            {"input": INPUT},
            {"Authorization": f"Bearer {key}"},
            fleet.processes.started[fleet.entry_names()[0]].popen.pid,
        ),
    ]


def measure(
    folder: Path, targets: list[Target], seconds: float
) -> dict[str, dict[str, float]]:
    """Return throughput at saturation, and latency at half the entry's throughput."""
    found = {target.name: flood(folder, target, seconds, 0.0) for target in targets}
    half = found["entry"]["per_s"] / 2
    for target in targets:
        at_half = flood(folder, target, seconds, half)
        found[target.name] |= {
            "half_load_per_s": at_half["per_s"],
            "half_load_p50_ms": at_half["p50_ms"],
            "half_load_p99_ms": at_half["p99_ms"],
        }
    return found


def flood(
    folder: Path, target: Target, seconds: float, rate: float
) -> dict[str, float]:
    """Return the combined figures of several sending processes."""
    body, headers = folder / f"{target.name}.body", folder / f"{target.name}.headers"
    body.write_text(json.dumps(target.body), "utf-8")
    headers.write_text(json.dumps(target.headers), "utf-8")
    command = [
        *(sys.executable, "-m", "bramleyturn.bench.flood", target.url),
        *(str(body), str(headers), "--seconds", str(seconds)),
        *("--connections", str(CONNECTIONS), "--rate", str(rate / SENDER_PROCESSES)),
    ]
    before_us = processor_us(target.process_id)
    senders = [
        subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        for _ in range(SENDER_PROCESSES)
    ]
    results = [json.loads(sender.communicate()[0]) for sender in senders]
    answered = sum(result["answered"] for result in results)
    return {
        "cpu_us": (processor_us(target.process_id) - before_us) / max(1, answered),
        "per_s": sum(result["per_s"] for result in results),
        "failed": sum(result["failed"] for result in results),
        "p50_ms": max(result["p50_ms"] for result in results),
        "p99_ms": max(result["p99_ms"] for result in results),
    }


def processor_us(process_id: int) -> float:
    """Return the processor time that a process has used, in microseconds."""
    fields = Path(f"/proc/{process_id}/stat").read_text("utf-8").rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) * US_PER_S / os.sysconf("SC_CLK_TCK")


def print_table(rounds: list[dict[str, dict[str, float]]]) -> None:
    """Print each round, and the ratios to the forwarder."""
    for number, found in enumerate(rounds, 1):
        print(f"round {number}")
        for name, row in found.items():
            cells = "  ".join(f"{key} {value:g}" for key, value in row.items())
            print(f"  {name:10} {cells}")
        entry, forwarder, direct = found["entry"], found["forwarder"], found["direct"]
        added_entry = entry["half_load_p99_ms"] - direct["half_load_p99_ms"]
        added_forwarder = forwarder["half_load_p99_ms"] - direct["half_load_p99_ms"]
        print(
            f"  entry/forwarder: throughput {entry['per_s'] / forwarder['per_s']:.2f}, "
            f"processor time {entry['cpu_us'] / forwarder['cpu_us']:.2f}, "
            f"p99 added at half load {added_entry:.1f} ms to {added_forwarder:.1f} ms "
            f"= {added_entry / added_forwarder:.2f}"
        )


if __name__ == "__main__":
    sys.exit(main())
