"""Search at random for a ticketed request that runs twice or is told a falsehood.

Run as ``python -m bramleyturn.bench.ticket_search --seeds 1000``. A seed decides
everything, so that a failing one can be run again alone.
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
    Run,
    Step,
    later,
    run_until,
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


class Told(NamedTuple):
    """Hold what a caller was told of one copy of its request."""

    ticket: int
    pipeline: str
    input: str
    outcome: Outcome


class Found(NamedTuple):
    """Hold what one seed showed."""

    seed: int
    falsehoods: tuple[str, ...]
    told: Counter[OutcomeKind]
    most_runs: int


def settings() -> Configuration:
    """Return the configuration of the search."""
    loaded = load_configuration(1, {"10.ini": SETTINGS})
    if isinstance(loaded, RefusedConfiguration):
        raise AssertionError(loaded.faults)
    return loaded


def search_seed(seed: int, *, with_faults: bool = True, stepping: Step = step) -> Found:
    """Send copies of some tickets to three entries, with the faults of ``seed``."""
    network = entry_network(settings(), ADDRESSES, seed, stepping)
    run_until(network, 1_000)
    if with_faults:
        network.faults = draw_faults(network.random)
        draw_failures(network)
    told: list[Told] = []
    for number in range(TICKETS):
        at_ms = network.random.randrange(LAST_SEND_MS // 2)
        later(network, at_ms, partial(take_ticket, network, number, told))
    run_until(network, END_MS)
    return Found(
        seed=seed,
        falsehoods=tuple(falsehoods(network, told)),
        told=Counter(each.outcome.kind for each in told),
        most_runs=max(network.ledger.values(), default=0),
    )


def draw_faults(random: Random) -> Faults:
    """Return the faults of messages and servers."""
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
    """Arrange kills, freezes and cuts between pairs of entries."""
    random = network.random
    for _ in range(random.randint(0, 5)):
        address = random.choice(tuple(ADDRESSES))
        at_ms, for_ms = random.randrange(LAST_SEND_MS), random.randint(1, 7_000)
        fail = random.choice((kill_for, freeze_for, replace_frozen, cut_for))
        later(network, at_ms, partial(fail, network, address, for_ms))


def kill_for(network: Network, address: str, for_ms: int) -> None:
    """Kill an entry and start another incarnation later."""
    kill(network, address)
    later(network, for_ms, partial(replace, network, address))


def freeze_for(network: Network, address: str, for_ms: int) -> None:
    """Freeze an entry and wake it later."""
    later(network, for_ms, partial(thaw, network, freeze(network, address)))


def replace_frozen(network: Network, address: str, for_ms: int) -> None:
    """Give the address of a frozen entry, which wakes later, to another."""
    freeze_for(network, address, for_ms)
    later(
        network, network.random.randrange(for_ms), partial(start_node, network, address)
    )


def cut_for(network: Network, address: str, for_ms: int) -> None:
    """Cut an entry off from one of the others for a time."""
    other = network.random.choice([each for each in ADDRESSES if each != address])
    pair = frozenset((address, other))
    network.cut_pairs.add(pair)
    later(network, for_ms, partial(network.cut_pairs.discard, pair))


def replace(network: Network, address: str) -> None:
    """Start a new incarnation in place of a dead one."""
    if not network.nodes[address].is_alive:
        start_node(network, address)


def take_ticket(network: Network, number: int, told: list[Told]) -> None:
    """Take a ticket at one entry and arrange to send copies of its request."""
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
        later(
            network,
            at_ms,
            partial(
                send, network, address, number, pipeline, input_, issued.text, told
            ),
        )


def send(
    network: Network,
    address: str,
    number: int,
    pipeline: str,
    input_: str,
    ticket: str,
    told: list[Told],
) -> None:
    """Send one copy of a request to one entry and keep what the caller is told."""
    node = network.nodes[address]
    if not node.is_alive:
        return

    def reply(action: Action) -> None:
        outcome = outcome_of(action)
        if outcome is not None:
            told.append(Told(number, pipeline, input_, outcome))

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


def falsehoods(network: Network, told: list[Told]) -> list[str]:
    """Return every broken promise."""
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
    for each in told:
        found += told_falsely(network, each)
    return found


def told_falsely(network: Network, told: Told) -> list[str]:
    """Return in what an outcome differs from what the servers ran."""
    runs = stage_runs(network, told)
    kind = told.outcome.kind
    found = []
    if kind is OutcomeKind.NOT_RUN and any(runs.values()):
        found.append(f"told {told.outcome} but ran {runs}")
    if kind is OutcomeKind.ANSWERED and not all(runs.values()):
        found.append(f"told {told.outcome} but ran {runs}")
    if kind is OutcomeKind.FAILED and not any(runs.values()):
        found.append(f"told {told.outcome} but nothing ran")
    for stage in told.outcome.stages:
        if stage.kind is OutcomeKind.NOT_RUN and runs[stage.name]:
            found.append(f"told that {stage.name} did not run: {told.outcome}")
        if stage.kind is OutcomeKind.ANSWERED and not runs[stage.name]:
            found.append(f"told that {stage.name} answered: {told.outcome}")
    return found


def stage_runs(network: Network, told: Told) -> dict[str, int]:
    """Return how often each stage of a caller's request ran."""
    runs, work = {}, told.input
    for stage in STAGES[told.pipeline]:
        runs[stage] = network.ledger[Run(stage, work)]
        work = f"{work}|{stage}"
    return runs


@dataclass
class SearchCommand:
    """Search the given seeds."""

    first: Annotated[int, cappa.Arg(long=True)] = 1
    seeds: Annotated[int, cappa.Arg(long=True)] = 1_000

    def __call__(self) -> None:
        """Print what was found; exit with code 1 when a promise is broken."""
        told: Counter[OutcomeKind] = Counter()
        broken = 0
        for seed in range(self.first, self.first + self.seeds):
            found = search_seed(seed)
            told += found.told
            for falsehood in found.falsehoods:
                print(f"seed {seed}: {falsehood}")
            broken += bool(found.falsehoods)
        last = self.first + self.seeds - 1
        print(f"seeds {self.first} to {last}: {broken} broken; told {dict(told)}")
        if broken:
            raise cappa.Exit(code=1)


if __name__ == "__main__":
    cappa.invoke(SearchCommand)
