"""Compare orders of ticket dispatch and outcome copy under the same seeded kills.

Run as ``python -m scripts.measure_tickets`` from the root of the project. Each
variant first serves requests one by one, to measure latency, and then a load
during which entries are killed and restarted.
"""

import argparse
import http.client
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from random import Random
from statistics import median, quantiles
from typing import Any, Final, NamedTuple

from bramleyturn.standin.answers import input_digest
from scripts.fleet import (
    OPERATORS,
    Fleet,
    FleetPlan,
    restart,
    wait_for_entry,
    workspace_key,
)
from scripts.ticket_variant import VARIANTS

PIPELINE: Final = "roster-signup"
KEY: Final = workspace_key("rosters")
ZONES: Final = ("duluth", "milwaukee", "toledo")
CALL_LIMIT_S: Final = 20.0
DEADLINE_MS: Final = 4_000
CALLERS: Final = 64
SLOW_FACTOR: Final = 20
SETTLE_S: Final = 1.0
LIMITS: Final = """
[workspace rosters]
rate_per_s = 10000
burst = 10000
concurrency = 1000
"""


class CallResult(NamedTuple):
    """Hold the result of one request; ``is_affected`` if its first send failed."""

    input: str
    kind: str
    is_affected: bool
    took_ms: float


class Result(NamedTuple):
    """Hold the figures of one variant."""

    variant: str
    p50_ms: float
    p95_ms: float
    intent_p50_ms: float | None
    intent_p95_ms: float | None
    sent: int
    affected: int
    kinds: dict[str, int]
    unknown_that_ran: int
    affected_p50_ms: float
    false_not_run: int
    runs_beyond_one: int


class Load(NamedTuple):
    """Describe the load with kills.

    ``hold_ms`` is the mean time for which a caller holds its ticket before it sends.
    """

    seed: int
    seconds: float
    rate: int
    kill_every_s: float
    hold_ms: int


def main() -> int:
    """Print the figures of each variant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--rate", type=int, default=80)
    parser.add_argument("--kill-every-s", type=float, default=2.0)
    parser.add_argument("--sequential", type=int, default=300)
    parser.add_argument("--hold-ms", type=int, default=0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--variants", nargs="+", default=VARIANTS, choices=VARIANTS)
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.rounds):
        load = Load(
            seed,
            options.seconds,
            options.rate,
            options.kill_every_s,
            options.hold_ms,
        )
        for variant in options.variants:
            found = measure(variant, load, options.sequential)
            print(json.dumps({"seed": seed, **found._asdict()}), flush=True)
    return 0


def measure(variant: str, load: Load, sequential: int) -> Result:
    """Return the figures of one variant."""
    folder = Path(tempfile.mkdtemp(prefix="bramleyturn-tickets-"))
    plan = FleetPlan(
        folder,
        zones=ZONES,
        entries_per_zone=1,
        extra_files={"90-limits.ini": LIMITS},
        linked_entries=True,
        entry_command=(sys.executable, "-m", "scripts.ticket_variant", variant),
    )
    with Fleet(plan) as fleet:
        time.sleep(SETTLE_S)
        unloaded_ms = [
            send(fleet, Random(number), f"quiet {number}", [], 0).took_ms
            for number in range(sequential)
        ]
        intents = intent_times(fleet)
        slow_down(fleet)
        results = load_with_kills(fleet, load)
        runs = ledger_runs(fleet)
    return summary(variant, unloaded_ms, intents, results, runs)


def summary(
    variant: str,
    unloaded_ms: list[float],
    intents: list[float],
    results: list[CallResult],
    runs: Counter[str],
) -> Result:
    """Return the figures of the results of callers and the runs on the servers."""
    affected = [each for each in results if each.is_affected]
    ran = {each.input: runs[input_digest(each.input)] for each in results}
    return Result(
        variant=variant,
        p50_ms=round(median(unloaded_ms), 2),
        p95_ms=round(quantiles(unloaded_ms, n=20)[-1], 2),
        intent_p50_ms=median(intents) if intents else None,
        intent_p95_ms=quantiles(intents, n=20)[-1] if intents else None,
        sent=len(results),
        affected=len(affected),
        kinds=dict(Counter(each.kind for each in affected)),
        unknown_that_ran=sum(
            ran[each.input] for each in affected if each.kind == "unknown"
        ),
        affected_p50_ms=round(median(each.took_ms for each in affected), 1),
        false_not_run=sum(
            ran[each.input] > 0 for each in results if each.kind == "not_run"
        ),
        runs_beyond_one=sum(count > 1 for count in runs.values()),
    )


def load_with_kills(fleet: Fleet, load: Load) -> list[CallResult]:
    """Send requests at seeded times while entries are killed at seeded times."""
    random = Random(load.seed)
    began_s = time.monotonic()
    down: list[str] = []
    with ThreadPoolExecutor(CALLERS) as pool:
        killing = pool.submit(kill_repeatedly, fleet, load, began_s, down)
        futures: list[Future[CallResult]] = []
        at_s = 0.0
        while at_s < load.seconds:
            at_s += random.expovariate(load.rate)
            time.sleep(max(0.0, began_s + at_s - time.monotonic()))
            number = len(futures)
            choices = Random(f"{load.seed}-{number}")
            input_text = f"kills {number}"
            futures.append(
                pool.submit(send, fleet, choices, input_text, down, load.hold_ms)
            )
        killing.result()
        return [each.result() for each in futures]


def kill_repeatedly(fleet: Fleet, load: Load, began_s: float, down: list[str]) -> None:
    """Kill one entry after the other and restart each under its address."""
    random = Random(load.seed + 1)
    at_s = load.kill_every_s / 2
    while at_s < load.seconds:
        time.sleep(max(0.0, began_s + at_s - time.monotonic()))
        name = random.choice(fleet.entry_names())
        down.append(name)
        fleet.kill(name)
        restart(fleet, name)
        wait_for_entry(fleet, name)
        down.remove(name)
        at_s += load.kill_every_s


def send(
    fleet: Fleet, random: Random, input_text: str, down: list[str], hold_ms: int
) -> CallResult:
    """Send one request; if the send fails, send copies to the other entries."""
    names = list(fleet.entry_names())
    random.shuffle(names)
    names.sort(key=lambda name: name in down)
    ticket = first_success(names, lambda name: take_ticket(fleet, name))
    if hold_ms:
        time.sleep(random.expovariate(1_000 / hold_ms))
    began_s = time.monotonic()
    order = [ticket[0], *(name for name in names if name != ticket[0])]
    for tries, name in enumerate(order):
        try:
            document = post(fleet, name, input_text, ticket[1])
        except (OSError, http.client.HTTPException):
            continue
        took_ms = (time.monotonic() - began_s) * 1_000
        return CallResult(input_text, document["outcome"], tries > 0, took_ms)
    return CallResult(
        input_text, "unreached", True, (time.monotonic() - began_s) * 1_000
    )


def first_success(names: list[str], take: Callable[[str], str]) -> tuple[str, str]:
    """Return the first entry that issues a ticket, and the ticket."""
    for name in names * 10:
        try:
            return name, take(name)
        except (OSError, http.client.HTTPException, KeyError):
            continue
    raise RuntimeError("no entry issued a ticket")


def take_ticket(fleet: Fleet, name: str) -> str:
    """Return a new ticket of an entry."""
    body = {"pipeline": PIPELINE}
    return str(request(fleet, name, "/v1/tickets", body, {})["ticket"])


def post(fleet: Fleet, name: str, input_text: str, ticket: str) -> dict[str, Any]:
    """Send a copy of a request to an entry and return its outcome."""
    headers = {
        "Bramleyturn-Ticket": ticket,
        "Bramleyturn-Deadline-Ms": str(DEADLINE_MS),
    }
    path = f"/v1/pipelines/{PIPELINE}/requests"
    return request(fleet, name, path, {"input": input_text}, headers)


def request(
    fleet: Fleet, name: str, path: str, body: object, headers: dict[str, str]
) -> dict[str, Any]:
    """Make one call on a connection of its own."""
    address = fleet.addresses[name]
    connection = http.client.HTTPConnection(address, timeout=CALL_LIMIT_S)
    try:
        connection.request(
            "POST",
            path,
            json.dumps(body),
            {"Authorization": f"Bearer {KEY}", **headers},
        )
        document: dict[str, Any] = json.loads(connection.getresponse().read())
        return document
    finally:
        connection.close()


def slow_down(fleet: Fleet) -> None:
    """Slow every server down so that kills hit running requests."""
    for server in fleet.servers:
        address = fleet.addresses[server.name]
        connection = http.client.HTTPConnection(address, timeout=CALL_LIMIT_S)
        body = json.dumps({"slow_factor": SLOW_FACTOR})
        connection.request("POST", "/standin/behaviour", body)
        connection.getresponse().read()
        connection.close()


def intent_times(fleet: Fleet) -> list[float]:
    """Return how long the entries waited for each acknowledgement of an intent."""
    times: list[float] = []
    for name in fleet.entry_names():
        connection = http.client.HTTPConnection(fleet.addresses[name])
        key = workspace_key(OPERATORS)
        headers = {"Authorization": f"Bearer {key}"}
        connection.request("GET", "/v1/timeline", headers=headers)
        asked: dict[str, int] = {}
        for event in json.loads(connection.getresponse().read())["events"]:
            if event["kind"] == "intent_asked":
                asked[event["request_id"]] = event["at_ms"]
            elif event["kind"] == "intent_answered":
                times.append(event["at_ms"] - asked.pop(event["request_id"]))
        connection.close()
    return times


def ledger_runs(fleet: Fleet) -> Counter[str]:
    """Return how often the servers ran each input, by its digest."""
    runs: Counter[str] = Counter()
    for server in fleet.servers:
        if server.pool != "roster":
            continue
        address = fleet.addresses[server.name]
        connection = http.client.HTTPConnection(address, timeout=CALL_LIMIT_S)
        connection.request("GET", "/standin/ledger")
        entries = json.loads(connection.getresponse().read())["entries"]
        runs.update(entry["input_digest"] for entry in entries)
        connection.close()
    return runs


if __name__ == "__main__":
    sys.exit(main())
