"""Measure the cost of one server choice, compared with simpler policies.

Run as ``python -m bramleyturn.bench.choice_cost [ROUNDS]``.
"""

import sys
from collections.abc import Callable
from itertools import count
from random import Random
from statistics import median
from time import perf_counter_ns
from typing import Final, NamedTuple

from bramleyturn.core.model import (
    AdminSettings,
    Configuration,
    Limits,
    PeerSettings,
    Pool,
    PoolKind,
    Server,
    TicketSettings,
)
from bramleyturn.core.routing import (
    AttemptEnd,
    AttemptVerdict,
    Choice,
    ChoiceRequest,
    LoadReport,
    RoutingTable,
    apply_servers,
    attempt_ended,
    attempt_started,
    choose_server,
    load_reported,
    routing_table,
)

POOL: Final = "drafting"
SERVER_COUNTS: Final = (8, 26, 1_300)
ZONES: Final = ("duluth", "milwaukee", "toledo", "rochester")
SEED: Final = 20_261_203
CHOICES_PER_ROUND: Final = 500
ROUNDS: Final = 21
IN_FLIGHT_PER_SERVER: Final = 2
CAPACITY: Final = 8
SIZE_TOKENS: Final = 300
PREFIXES: Final = 200
NANOSECONDS_PER_US: Final = 1_000

Chooser = Callable[[], object]


class CostResult(NamedTuple):
    """Hold the median cost of one choice by one policy."""

    policy: str
    servers: int
    cost_us: float


def bench_configuration(servers: int, zones: tuple[str, ...]) -> Configuration:
    """Return a configuration with one pool of this many servers."""
    pool = Pool(POOL, PoolKind.ENGINE, "draft-7b", 0, 600, CAPACITY, False, False)
    names = [f"{POOL}-{number}" for number in range(servers)]
    return Configuration(
        revision=1,
        pools={POOL: pool},
        servers={
            name: Server(name, POOL, zones[number % len(zones)], f"10.0.0.1:{number}")
            for number, name in enumerate(names)
        },
        pipelines={},
        workspaces={},
        limits=Limits(
            1 << 20, 60_000, 256, 256, 10, 3, 95, 60_000, 5, 10_000, 30, 10_000, 1_000
        ),
        tickets=TicketSettings("", "", 60_000, 10_000, 500),
        peers=PeerSettings("", "", 1_000, 500, 3_000, 65_536),
        admin=AdminSettings("", ""),
    )


def loaded_table(servers: int, zones: tuple[str, ...], random: Random) -> RoutingTable:
    """Return a table of servers with reports, attempts in flight and warm prefixes."""
    table = routing_table(ZONES[0])
    configuration = bench_configuration(servers, zones)
    apply_servers(table, configuration, 0)
    for name in configuration.servers:
        running = random.randrange(CAPACITY)
        load_reported(table, LoadReport(name, running, 0, CAPACITY, 500, False), 1_000)
        for _ in range(IN_FLIGHT_PER_SERVER):
            prefix = f"prefix-{random.randrange(PREFIXES)}"
            attempt_started(table, name, SIZE_TOKENS, prefix, 1_000)
        end = AttemptEnd(AttemptVerdict.OK, random.randint(50, 500), SIZE_TOKENS)
        attempt_ended(table, name, end, 1_200)
    return table


def choosers(servers: int) -> dict[str, Chooser]:
    """Return every policy as a function that makes one choice."""
    random = Random(SEED)
    names = list(bench_configuration(servers, ZONES).servers)
    loads = {name: random.randrange(CAPACITY) for name in names}
    turn = count()

    def two_choices() -> str:
        first, second = random.choice(names), random.choice(names)
        return first if loads[first] <= loads[second] else second

    return {
        "random": lambda: random.choice(names),
        "round robin": lambda: names[next(turn) % len(names)],
        "least in-flight": lambda: min(names, key=loads.__getitem__),
        "power of two": two_choices,
        **_entry_choosers(servers, ZONES, "four zones"),
        **_entry_choosers(servers, ZONES[:1], "one zone"),
    }


def measure(rounds: int) -> list[CostResult]:
    """Return the median cost of each policy at each number of servers.

    The policies take turns in each round, so that a slow phase of the machine affects
    all of them.
    """
    policies = {
        (name, servers): chooser
        for servers in SERVER_COUNTS
        for name, chooser in choosers(servers).items()
    }
    costs_us: dict[tuple[str, int], list[float]] = {key: [] for key in policies}
    for _ in range(rounds):
        for key, chooser in policies.items():
            costs_us[key].append(_cost_us(chooser))
    return [
        CostResult(name, servers, median(values))
        for (name, servers), values in costs_us.items()
    ]


def report(results: list[CostResult]) -> str:
    """Format the results as a table, with ratios to power of two choices."""
    cost_us = {(item.policy, item.servers): item.cost_us for item in results}
    header = "".join(f"{servers:>12}" for servers in SERVER_COUNTS)
    lines = [f"{'us per choice':<26}{header}{'of p2c':>10}{'growth':>10}"]
    for policy in dict.fromkeys(item.policy for item in results):
        cells = "".join(
            f"{cost_us[policy, servers]:12.2f}" for servers in SERVER_COUNTS
        )
        middle = SERVER_COUNTS[1]
        ratio = cost_us[policy, middle] / cost_us["power of two", middle]
        growth = cost_us[policy, SERVER_COUNTS[-1]] / cost_us[policy, SERVER_COUNTS[0]]
        lines.append(f"{policy:<26}{cells}{ratio:10.1f}{growth:10.2f}")
    return "\n".join(lines)


def main() -> None:
    """Print the table."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else ROUNDS
    sys.stdout.write(report(measure(rounds)) + "\n")


def _entry_choosers(
    servers: int, zones: tuple[str, ...], label: str
) -> dict[str, Chooser]:
    random = Random(SEED)
    table = loaded_table(servers, zones, random)
    turn = count()
    plain = ChoiceRequest(POOL, SIZE_TOKENS, "", frozenset(), False)
    warm = [plain._replace(prefix=f"prefix-{number}") for number in range(PREFIXES)]
    return {
        f"own, {label}": lambda: _chosen(table, plain, random),
        f"own, {label}, prefix": lambda: _chosen(
            table, warm[next(turn) % PREFIXES], random
        ),
    }


def _chosen(table: RoutingTable, request: ChoiceRequest, random: Random) -> Choice:
    choice = choose_server(table, request, 1_500, random)
    if not isinstance(choice, Choice):
        raise RuntimeError(f"no server was chosen: {choice.reason}")
    return choice


def _cost_us(chooser: Chooser) -> float:
    begin_ns = perf_counter_ns()
    for _ in range(CHOICES_PER_ROUND):
        chooser()
    return (perf_counter_ns() - begin_ns) / CHOICES_PER_ROUND / NANOSECONDS_PER_US


if __name__ == "__main__":
    main()
