"""Load a local fleet under pairs of seeded random faults and check every answer.

Run as ``python -m scripts.soak`` from the root of the project. Exit codes: 0 if no
request was lost, doubled, crossed, cut or falsely reported as not run; 1 if one was,
or if a process exited unexpectedly. The command that replays a failed seed is printed.
"""

import argparse
import json
import sys
import tempfile
import time
import urllib.request
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import Any, Final, NamedTuple

from scripts.fleet import (
    CONTROL,
    FAULT_PROXY,
    Fleet,
    FleetPlan,
    description_path,
    put_json,
    restart,
    wait_for_entry,
    workspace_key,
)
from scripts.fleet_settings import FleetServer

PAIR_S: Final = 4.0
PAUSE_S: Final = 2.0
WARM_UP_S: Final = 1.5
RATE_PER_S: Final = 15.0
LOAD_LIMIT_S: Final = 120.0
HTTP_TIMEOUT_S: Final = 10.0
POISON_DEADLINE_MS: Final = 4_000
BURST_RATE_PER_S: Final = 60.0
BURST_S: Final = 2.0
POISON_MARKER: Final = "crash-every-server"
FAULT_COLUMNS: Final = ("lost", "doubled", "crossed", "cut", "false_not_run")
OUTCOME_COLUMNS: Final = (
    "sent",
    "answered_in_deadline",
    "answered_late",
    "not_run",
    "failed",
    "unknown",
)


class Soak:
    """Hold the fleet under load, the random source and the results of the loads."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self.fleet = fleet
        self.random = random
        self.loads: list[Path] = []


Undo = Callable[[], None]
Fault = Callable[[Soak], Undo]


class ScheduledFault(NamedTuple):
    """Name one fault and when it begins, counted from the start of its pair."""

    name: str
    after_s: float


class Result(NamedTuple):
    """Hold the counts and faults of one seed."""

    seed: int
    pairs: list[tuple[str, str]]
    counts: Counter[str]
    faults: list[str]
    reasons: Counter[str]


def straggler(soak: Soak) -> Undo:
    """Slow one backend server down by a factor of twenty."""
    return set_behaviour(soak, draw_server(soak), slow_factor=20.0)


def failed_stage(soak: Soak) -> Undo:
    """Let one backend server fail half of its calls at random."""
    return set_behaviour(soak, draw_server(soak), fail_percent=50)


def faulty_answers(soak: Soak) -> Undo:
    """Let one backend server cut, drop or mix up answers."""
    fault = soak.random.choice(
        ("truncate_answer", "drop_answer", "wrong_attempt_id", "longer_than_announced")
    )
    return set_behaviour(soak, draw_server(soak), **{fault: True})


def hung_server(soak: Soak) -> Undo:
    """Let one backend server accept calls and never answer them."""
    return set_behaviour(soak, draw_server(soak), hang=True)


def crashed_server(soak: Soak) -> Undo:
    """Crash one backend server, which restarts after a second."""
    server = draw_server(soak)
    # Every input contains the letter, so the next call crashes the server, and so
    # does the first call after it has restarted.
    return set_behaviour(
        soak, server, crash_marker="a", crash_server_only=True, crash_down_ms=1_000
    )


def killed_entry(soak: Soak) -> Undo:
    """Kill one entry process; the undo restarts it."""
    name = soak.random.choice(soak.fleet.entry_names())
    soak.fleet.kill(name)

    def undo() -> None:
        restart(soak.fleet, name)
        wait_for_entry(soak.fleet, name)

    return undo


def frozen_entry(soak: Soak) -> Undo:
    """Pause one entry process."""
    name = soak.random.choice(soak.fleet.entry_names())
    soak.fleet.freeze(name)
    return lambda: soak.fleet.thaw(name)


def platform_outage(soak: Soak) -> Undo:
    """Let the platform refuse all connections."""
    url = f"http://{soak.fleet.addresses[CONTROL]}/standin/behaviour"
    post_json(url, {"outage": "refuse"})
    return lambda: post_json(url, {"outage": "none"})


def partition(soak: Soak) -> Undo:
    """Drop all traffic between the entries and the servers of one availability zone."""
    zone = soak.random.choice(soak.fleet.plan.zones)
    names = [server.name for server in soak.fleet.servers if server.zone == zone]
    set_links(soak, names, mode="blackhole")
    return lambda: set_links(soak, names, reset=True)


def burst(soak: Soak) -> Undo:
    """Send many times the usual load for a short time."""
    start_load(soak, BURST_S, BURST_RATE_PER_S)
    return lambda: None


def poison(soak: Soak) -> Undo:
    """Send one input that crashes each server running it, at all entries in turn."""
    pool = soak.random.choice(("encoders", "drafting"))
    servers = [server for server in soak.fleet.servers if server.pool == pool]
    marker = f"{POISON_MARKER}-{len(soak.loads)}-{soak.random.randrange(1_000_000)}"
    undos = [
        set_behaviour(
            soak,
            server,
            crash_marker=marker,
            crash_server_only=True,
            crash_down_ms=1_000,
        )
        for server in servers
    ]
    pipeline = "craft-idea" if pool == "drafting" else "lesson-draft"
    for entry in soak.fleet.entry_names():
        send_poison(soak, entry, pipeline, marker)

    def undo() -> None:
        for each in undos:
            each()

    return undo


FAULTS: Final[dict[str, Fault]] = {
    fault.__name__: fault
    for fault in (
        straggler,
        failed_stage,
        faulty_answers,
        hung_server,
        crashed_server,
        killed_entry,
        frozen_entry,
        platform_outage,
        partition,
        burst,
        poison,
    )
}


def draw_server(soak: Soak) -> FleetServer:
    """Draw one backend server."""
    return soak.random.choice(soak.fleet.servers)


def set_behaviour(soak: Soak, server: FleetServer, **fields: Any) -> Undo:
    """Change how a backend server behaves and return the undo."""
    url = f"http://{soak.fleet.addresses[server.name]}/standin/behaviour"
    reset = {"reset": True}

    def undo() -> None:
        retry_until_up(lambda: post_json(url, reset))

    retry_until_up(lambda: post_json(url, fields))
    return undo


def set_links(soak: Soak, names: Sequence[str], **fields: Any) -> None:
    """Change the links to some backend servers in one step."""
    url = f"http://{soak.fleet.addresses[FAULT_PROXY]}/links"
    put_json(url, {"links": dict.fromkeys(names, fields)})


def post_json(url: str, document: object) -> None:
    """Send a document with POST; raise ``OSError`` if it is not accepted."""
    body = json.dumps(document).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(url, body, headers)
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
        response.read()


def retry_until_up(change: Callable[[], None]) -> None:
    """Retry a change at a server that may be down for a second after a crash."""
    for _ in range(100):
        try:
            return change()
        except OSError:
            time.sleep(0.05)
    return change()


def send_poison(soak: Soak, entry: str, pipeline: str, marker: str) -> None:
    """Send the poison input to one entry; its outcome is ignored."""
    request = urllib.request.Request(
        f"http://{soak.fleet.addresses[entry]}/v1/pipelines/{pipeline}/requests",
        json.dumps({"input": {"ask": marker}}).encode(),
        {
            "Authorization": f"Bearer {workspace_key('lessons')}",
            "Content-Type": "application/json",
            "Bramleyturn-Deadline-Ms": str(POISON_DEADLINE_MS),
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
            response.read()
    except OSError:
        return


def start_load(soak: Soak, seconds: float, rate: float) -> str:
    """Start a load with a seed of its own and return the name of its process."""
    name = f"load-{len(soak.loads)}"
    out = soak.fleet.plan.folder / f"{name}.json"
    soak.loads.append(out)
    command = [
        *(sys.executable, "-m", "bramleyturn.bench.load"),
        *("--fleet", str(description_path(soak.fleet)), "--out", str(out)),
        *("--seconds", str(seconds), "--rate", str(rate)),
        *("--seed", str(soak.random.randrange(1_000_000))),
    ]
    soak.fleet.processes.start(name, command)
    return name


def draw_pairs(
    random: Random, count: int
) -> list[tuple[ScheduledFault, ScheduledFault]]:
    """Return pairs of different faults that overlap in time."""
    pairs = []
    for _ in range(count):
        first, second = random.sample(sorted(FAULTS), 2)
        pairs.append(
            (
                ScheduledFault(first, 0.0),
                ScheduledFault(second, random.uniform(0.1, PAIR_S / 2)),
            )
        )
    return pairs


def run_pair(soak: Soak, pair: tuple[ScheduledFault, ScheduledFault]) -> None:
    """Inject two overlapping faults and undo them."""
    started_s = time.monotonic()
    undos: list[Undo] = []
    try:
        for scheduled in pair:
            sleep_until(started_s + scheduled.after_s)
            undos.append(FAULTS[scheduled.name](soak))
        sleep_until(started_s + PAIR_S)
    finally:
        for undo in reversed(undos):
            undo()


def sleep_until(at_s: float) -> None:
    """Sleep until an instant of the monotonic clock; faults last for a set time."""
    time.sleep(max(0.0, at_s - time.monotonic()))


def run_seed(seed: int, pairs: int, folder: Path) -> Result:
    """Run one seed's plan on a fleet of its own."""
    random = Random(seed)
    plan = FleetPlan(folder=folder, entries_per_zone=2, fault_links=True)
    scheduled = draw_pairs(random, pairs)
    names = [(first.name, second.name) for first, second in scheduled]
    with Fleet(plan) as fleet:
        soak = Soak(fleet, random)
        seconds = WARM_UP_S + pairs * (PAIR_S + PAUSE_S)
        start_load(soak, seconds, RATE_PER_S)
        sleep_until(time.monotonic() + WARM_UP_S)
        for pair in scheduled:
            print(f"seed {seed}: {pair[0].name} and {pair[1].name}", flush=True)
            run_pair(soak, pair)
            sleep_until(time.monotonic() + PAUSE_S)
        for number in range(len(soak.loads)):
            fleet.processes.wait_for_end(f"load-{number}", LOAD_LIMIT_S)
        faults = unexpected_exits(fleet)
    return add_load_results(
        Result(seed, names, Counter(), faults, Counter()), soak.loads
    )


def unexpected_exits(fleet: Fleet) -> list[str]:
    """Return the processes that ended without a request to stop."""
    return [
        f"{name} ended with exit code {started.popen.returncode}"
        for name, started in fleet.processes.started.items()
        if not name.startswith("load-") and started.popen.poll() is not None
    ]


def add_load_results(result: Result, loads: list[Path]) -> Result:
    """Add the summaries of the loads to a result."""
    for out in loads:
        if not out.exists():
            result.faults.append(f"{out.name}: the load has no summary")
            continue
        summary = json.loads(out.read_text())
        result.faults.extend(summary["faults"])
        result.reasons.update(summary["reasons"])
        for row in summary["pipelines"].values():
            for column in (*OUTCOME_COLUMNS, *FAULT_COLUMNS):
                result.counts[column] += row[column]
    return result


def describe(result: Result) -> str:
    """Format the figures of one seed."""
    sent = max(1, result.counts["sent"])
    lines = [
        f"seed {result.seed}: "
        + ", ".join(f"{name} {result.counts[name]}" for name in OUTCOME_COLUMNS),
        "  " + ", ".join(f"{name} {result.counts[name]}" for name in FAULT_COLUMNS),
        f"  share unknown {result.counts['unknown'] / sent:.2%}, "
        f"failed {result.counts['failed'] / sent:.2%}",
        *(f"  {times} {reason}" for reason, times in result.reasons.most_common(8)),
        *(f"  FAULT {fault}" for fault in result.faults),
    ]
    return "\n".join(lines)


def parse_options(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="scripts/soak.py", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=list(range(1, 11)))
    parser.add_argument("--pairs", type=int, default=4, help="of faults, per seed")
    parser.add_argument("--folder", type=Path, help="for logs, settings and ledgers")
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run every seed; return 0 if none found a fault."""
    options = parse_options(arguments)
    base = options.folder or Path(tempfile.mkdtemp(prefix="bramleyturn-soak-"))
    failed_seeds = []
    total: Counter[str] = Counter()
    for seed in options.seeds:
        result = run_seed(seed, options.pairs, base.resolve() / f"seed-{seed}")
        print(describe(result), flush=True)
        total += result.counts
        if result.faults:
            failed_seeds.append(seed)
    print(describe(Result(0, [], total, [], Counter())).replace("seed 0", "all seeds"))
    for seed in failed_seeds:
        print(f"replay: python -m scripts.soak --seeds {seed} --pairs {options.pairs}")
    print(f"logs: {base}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
