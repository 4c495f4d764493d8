"""Measure the core's processor time per request by the number of servers.

Run as ``python -m bramleyturn.bench.request_cost [ROUNDS]``.
"""

import sys
from random import Random
from statistics import median
from time import process_time_ns
from typing import Final, NamedTuple

from bramleyturn.core.actions import StartAttempt
from bramleyturn.core.configuration import RefusedConfiguration, load_configuration
from bramleyturn.core.entry import start, step
from bramleyturn.core.entry_state import EntryState, entry_state
from bramleyturn.core.events import OutputArrived, RequestArrived
from bramleyturn.core.model import Configuration
from bramleyturn.core.tickets import ProcessRef

SERVER_COUNTS: Final = (8, 26, 130, 1_300)
ZONES: Final = ("duluth", "milwaukee", "toledo", "rochester")
REQUESTS_PER_ROUND: Final = 400
ROUNDS: Final = 11
SEED: Final = 7
NANOSECONDS_PER_US: Final = 1_000
INPUT: Final = "The Lord is my shepherd; I shall not want. " * 8
COMMON: Final = """
[pool encoders]
kind = encoder
model = encode-small
concurrency_per_server = 64
[pipeline lookup]
stages = encode
deadline_ms = 5000
[stage lookup.encode]
pool = encoders
repeatable = yes
timeout_ms = 1000
[workspace lessons]
key_sha256 = {digest}
pipelines = *
rate_per_s = 100000
burst = 100000
"""


class RequestCost(NamedTuple):
    """Hold the median processor time of one request in the core."""

    servers: int
    cost_us: float


def bench_configuration(servers: int) -> Configuration:
    """Return a configuration with one pool of this many backend servers."""
    sections = [COMMON.format(digest="a" * 64)]
    sections += [
        f"[server encoder-{number}]\npool = encoders\n"
        f"zone = {ZONES[number % len(ZONES)]}\n"
        f"address = 127.0.0.1:{number + 1}\n"
        for number in range(servers)
    ]
    loaded = load_configuration(1, {"10.ini": "".join(sections)})
    if isinstance(loaded, RefusedConfiguration):
        raise AssertionError(loaded.faults[:1])
    return loaded


def new_entry(servers: int) -> EntryState:
    """Return the state of an entry process with this many backend servers."""
    state = entry_state(
        "entry-1",
        ZONES[0],
        ProcessRef("127.0.0.1:9", "bench"),
        bench_configuration(servers),
        Random(SEED),
        1_000,
    )
    start(state, 1_000)
    return state


def run_requests(state: EntryState, first: int, count: int) -> None:
    """Run requests through the core in sequence; all are answered."""
    for number in range(first, first + count):
        now_ms = 1_000 + number * 10
        actions = step(state, arrival(number), now_ms)
        (attempt,) = (each for each in actions if isinstance(each, StartAttempt))
        output = OutputArrived(attempt.attempt_id, attempt.attempt_id, "vector", 10)
        step(state, output, now_ms + 5)


def arrival(number: int) -> RequestArrived:
    """Return the arrival of one request."""
    return RequestArrived(
        waiter=f"w{number}",
        workspace="lessons",
        pipeline="lookup",
        request_id=f"r{number}",
        input=INPUT,
        input_bytes=len(INPUT),
        left_ms=5_000,
        ticket="",
    )


def measure(rounds: int) -> list[RequestCost]:
    """Return the median cost per size; sizes take turns in each round."""
    entries = {servers: new_entry(servers) for servers in SERVER_COUNTS}
    samples: dict[int, list[float]] = {servers: [] for servers in SERVER_COUNTS}
    for turn in range(rounds):
        for servers, state in entries.items():
            started_ns = process_time_ns()
            run_requests(state, turn * REQUESTS_PER_ROUND, REQUESTS_PER_ROUND)
            passed_ns = process_time_ns() - started_ns
            samples[servers].append(passed_ns / REQUESTS_PER_ROUND / NANOSECONDS_PER_US)
    return [RequestCost(servers, median(found)) for servers, found in samples.items()]


def main() -> None:
    """Print the cost per size and its ratio to the smallest size."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else ROUNDS
    costs = measure(rounds)
    for cost in costs:
        ratio = cost.cost_us / costs[0].cost_us
        print(f"{cost.servers:5} servers  {cost.cost_us:7.1f} us  {ratio:.2f}")


if __name__ == "__main__":
    main()
