"""Search random faults for ticketed requests with double runs or false outcomes.

Run as ``python -m bramleyturn.bench.ticket_search --seeds 1000``. Each run is fully
determined by its seed, so that a failing seed can be replayed alone.
"""

from collections import Counter
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Annotated, Final, NamedTuple

import cappa

from bramleyturn.bench.entry_cores import (
    entry_network,
    feed,
    freeze,
    kill,
    new_waiter,
    outcome_of,
    start_node,
    thaw,
)
from bramleyturn.bench.entry_network import (
    Faults,
    Network,
    StageRun,
    StepFunction,
    run_until,
    schedule,
)
from bramleyturn.core.actions import Action
from bramleyturn.core.arrivals import IssuedTicket, issue_ticket
from bramleyturn.core.configuration import RefusedConfiguration, load_configuration
from bramleyturn.core.entry import step
from bramleyturn.core.events import RequestArrived
from bramleyturn.core.model import Configuration
from bramleyturn.core.outcomes import Outcome, OutcomeKind

ADDRESSES: Final = {"127.0.0.1:1": "a", "127.0.0.1:2": "b", "127.0.0.1:3": "c"}
STAGES: Final = {"signup": ("enrol",), "order": ("charge", "print")}
TICKETS: Final = 6
LAST_SEND_MS: Final = 9_000
END_MS: Final = 40_000
SETTINGS: Final = """
[pool roster]
kind = plain
[server roster-1]
pool = roster
zone = a
address = 127.0.0.1:9001
[server roster-2]
pool = roster
zone = b
address = 127.0.0.1:9002
[pipeline signup]
stages = enrol
deadline_ms = 4000
[stage signup.enrol]
pool = roster
repeatable = no
timeout_ms = 3000
[pipeline order]
stages = charge, print
deadline_ms = 5000
[stage order.charge]
pool = roster
repeatable = no
timeout_ms = 3000
[stage order.print]
pool = roster
repeatable = no
timeout_ms = 3000
[workspace lessons]
key_sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
pipelines = *
rate_per_s = 1000
burst = 1000
[tickets]
key = a-key-of-sixteen-characters
lifetime_ms = 4000
margin_ms = 1000
[peers]
key = another-key-of-sixteen-characters
"""


class Received(NamedTuple):
    """Hold the outcome that a caller received for one copy of its request."""

    ticket: int
    pipeline: str
    input: str
    outcome: Outcome


class SeedResult(NamedTuple):
    """Hold the result of one seed."""

    seed: int
    violations: tuple[str, ...]
    outcomes: Counter[OutcomeKind]
    most_runs: int


def settings() -> Configuration:
    """Return the configuration of the search."""
    loaded = load_configuration(1, {"10.ini": SETTINGS})
    if isinstance(loaded, RefusedConfiguration):
        raise AssertionError(loaded.faults)
    return loaded


def search_seed(
    seed: int, *, with_faults: bool = True, step_function: StepFunction = step
) -> SeedResult:
    """Send copies of ticketed requests to three entries, with faults from ``seed``."""
    network = entry_network(settings(), ADDRESSES, seed, step_function)
    run_until(network, 1_000)
    if with_faults:
        network.faults = draw_faults(network.random)
        draw_failures(network)
    received: list[Received] = []
    for number in range(TICKETS):
        at_ms = network.random.randrange(LAST_SEND_MS // 2)
        schedule(network, at_ms, partial(obtain_ticket, network, number, received))
    run_until(network, END_MS)
    return SeedResult(
        seed=seed,
        violations=tuple(violations(network, received)),
        outcomes=Counter(each.outcome.kind for each in received),
        most_runs=max(network.ledger.values(), default=0),
    )


def draw_faults(random: Random) -> Faults:
    """Draw the faults of messages and servers."""
    return Faults(
        lost_percent=random.choice((0, 0, 5, 20)),
        repeated_percent=random.choice((0, 5, 20)),
        not_connected_percent=random.choice((0, 10)),
        refused_percent=random.choice((0, 10)),
        failed_percent=random.choice((0, 10)),
        slow_percent=random.choice((0, 5, 20)),
        service_ms=random.choice((20, 400, 2_000)),
    )


def draw_failures(network: Network) -> None:
    """Schedule kills, freezes and partitions between pairs of entries."""
    random = network.random
    for _ in range(random.randint(0, 5)):
        address = random.choice(tuple(ADDRESSES))
        at_ms, for_ms = random.randrange(LAST_SEND_MS), random.randint(1, 7_000)
        fail = random.choice((kill_for, freeze_for, replace_frozen, partition_for))
        schedule(network, at_ms, partial(fail, network, address, for_ms))


def kill_for(network: Network, address: str, for_ms: int) -> None:
    """Kill an entry and start another incarnation later."""
    kill(network, address)
    schedule(network, for_ms, partial(replace, network, address))


def freeze_for(network: Network, address: str, for_ms: int) -> None:
    """Freeze an entry and resume it later."""
    schedule(network, for_ms, partial(thaw, network, freeze(network, address)))


def replace_frozen(network: Network, address: str, for_ms: int) -> None:
    """Start another incarnation at the address of a frozen entry that resumes later."""
    freeze_for(network, address, for_ms)
    schedule(
        network, network.random.randrange(for_ms), partial(start_node, network, address)
    )


def partition_for(network: Network, address: str, for_ms: int) -> None:
    """Partition an entry from one other entry for a time."""
    other = network.random.choice([each for each in ADDRESSES if each != address])
    pair = frozenset((address, other))
    network.partitioned_pairs.add(pair)
    schedule(network, for_ms, partial(network.partitioned_pairs.discard, pair))


def replace(network: Network, address: str) -> None:
    """Start a new incarnation in place of a dead one."""
    if not network.nodes[address].is_alive:
        start_node(network, address)


def obtain_ticket(network: Network, number: int, received: list[Received]) -> None:
    """Obtain a ticket at one entry and schedule copies of its request."""
    random = network.random
    pipeline = random.choice(tuple(STAGES))
    node = network.nodes[random.choice(tuple(ADDRESSES))]
    if not node.is_alive or node.is_frozen:
        return
    now_ms = network.now_ms + node.clock_offset_ms
    issued = issue_ticket(node.state, "lessons", pipeline, now_ms)
    if not isinstance(issued, IssuedTicket):
        return
    for copy in range(random.randint(1, 5)):
        at_ms = random.choice((1, random.randrange(300), random.randrange(9_000)))
        differs = copy > 0 and random.random() < 0.05
        input_ = f"{number}-other" if differs else f"{number}-input"
        address = random.choice((node.state.me.address, *ADDRESSES))
        schedule(
            network,
            at_ms,
            partial(
                send, network, address, number, pipeline, input_, issued.text, received
            ),
        )


def send(
    network: Network,
    address: str,
    number: int,
    pipeline: str,
    input_: str,
    ticket: str,
    received: list[Received],
) -> None:
    """Send one copy of a request to one entry and record the caller's outcome."""
    node = network.nodes[address]
    if not node.is_alive:
        return

    def reply(action: Action) -> None:
        outcome = outcome_of(action)
        if outcome is not None:
            received.append(Received(number, pipeline, input_, outcome))

    def arrive() -> None:
        event = RequestArrived(
            waiter=new_waiter(network, node, reply),
            workspace="lessons",
            pipeline=pipeline,
            request_id=f"r{number}",
            input=input_,
            input_bytes=100,
            left_ms=left_ms,
            ticket=ticket,
        )
        feed(network, node, event)

    left_ms = network.random.choice((300, 2_000, 5_000))
    if node.is_frozen:
        node.inbox.append(arrive)
    else:
        arrive()


def violations(network: Network, received: list[Received]) -> list[str]:
    """Return every violation of the protocol's guarantees."""
    found = [
        f"{run.stage} of {run.input} ran {count} times"
        for run, count in network.ledger.items()
        if count > 1
    ]
    inputs: dict[str, set[str]] = {}
    for run in network.ledger:
        number, _, rest = run.input.partition("-")
        inputs.setdefault(number, set()).add(rest.partition("|")[0])
    found += [
        f"ticket {number} ran with two inputs"
        for number, used in inputs.items()
        if len(used) > 1
    ]
    for each in received:
        found += outcome_violations(network, each)
    return found


def outcome_violations(network: Network, received: Received) -> list[str]:
    """Return how a reported outcome contradicts the servers' ledger."""
    runs = stage_runs(network, received)
    kind = received.outcome.kind
    found = []
    if kind is OutcomeKind.NOT_RUN and any(runs.values()):
        found.append(f"reported {received.outcome} but ran {runs}")
    if kind is OutcomeKind.ANSWERED and not all(runs.values()):
        found.append(f"reported {received.outcome} but ran {runs}")
    if kind is OutcomeKind.FAILED and not any(runs.values()):
        found.append(f"reported {received.outcome} but nothing ran")
    for stage in received.outcome.stages:
        if stage.kind is OutcomeKind.NOT_RUN and runs[stage.name]:
            found.append(
                f"{stage.name} falsely reported as not run: {received.outcome}"
            )
        if stage.kind is OutcomeKind.ANSWERED and not runs[stage.name]:
            found.append(
                f"{stage.name} falsely reported as answered: {received.outcome}"
            )
    return found


def stage_runs(network: Network, received: Received) -> dict[str, int]:
    """Return how often each stage of a caller's request ran."""
    runs, work = {}, received.input
    for stage in STAGES[received.pipeline]:
        runs[stage] = network.ledger[StageRun(stage, work)]
        work = f"{work}|{stage}"
    return runs


@dataclass
class SearchCommand:
    """Search the given seeds."""

    first: Annotated[int, cappa.Arg(long=True)] = 1
    seeds: Annotated[int, cappa.Arg(long=True)] = 1_000

    def __call__(self) -> None:
        """Print the violations; exit with code 1 if there are any."""
        outcomes: Counter[OutcomeKind] = Counter()
        faulty = 0
        for seed in range(self.first, self.first + self.seeds):
            found = search_seed(seed)
            outcomes += found.outcomes
            for violation in found.violations:
                print(f"seed {seed}: {violation}")
            faulty += bool(found.violations)
        last = self.first + self.seeds - 1
        print(
            f"seeds {self.first} to {last}: {faulty} with violations; "
            f"outcomes {dict(outcomes)}"
        )
        if faulty:
            raise cappa.Exit(code=1)


if __name__ == "__main__":
    cappa.invoke(SearchCommand)
