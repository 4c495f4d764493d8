"""Carry messages between entry cores in virtual time, with faults.

Every message may be delayed, lost or repeated. Each entry has a monotonic clock of its
own; a frozen one handles what arrived when it wakes, a dead one never does.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from bramleyturn.core.actions import Action
from bramleyturn.core.entry import step
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import BackupAnswer, Event
from bramleyturn.core.model import Configuration

Call = Callable[[], None]
Step = Callable[[EntryState, Event, int], list[Action]]


class Faults(NamedTuple):
    """Hold the shares of messages that a fault strikes, and the longest delays."""

    lost_percent: int = 0
    repeated_percent: int = 0
    not_connected_percent: int = 0
    refused_percent: int = 0
    failed_percent: int = 0
    delay_ms: int = 5
    slow_percent: int = 0
    slow_ms: int = 2_500
    service_ms: int = 100


@dataclass(slots=True)
class Node:
    """Hold one entry process. ``inbox`` is what arrived while it was frozen."""

    state: EntryState
    clock_offset_ms: int
    is_alive: bool = True
    is_frozen: bool = False
    inbox: list[Call] = field(default_factory=list)
    replies: dict[str, Callable[[BackupAnswer], None]] = field(default_factory=dict)
    waiters: dict[str, Callable[[Action], None]] = field(default_factory=dict)


class Run(NamedTuple):
    """Identify what a backend server ran: a stage and the attempt's input."""

    stage: str
    input: str


class Network:
    """Hold the entries by address, the servers' ledger and what is still to happen."""

    def __init__(
        self,
        configuration: Configuration,
        zones: dict[str, str],
        seed: int,
        stepping: Step = step,
    ) -> None:
        self.configuration = configuration
        self.zones = zones
        self.stepping = stepping
        self.random = Random(seed)
        self.now_ms = 0
        self.sequence = 0
        self.due: list[tuple[int, int, Call]] = []
        self.faults = Faults()
        self.cut_pairs: set[frozenset[str]] = set()
        self.nodes: dict[str, Node] = {}
        self.ledger: Counter[Run] = Counter()
        self.cancelled: set[str] = set()
        self.began: set[str] = set()


def later(network: Network, delay_ms: int, call: Call) -> None:
    """Arrange a call."""
    network.sequence += 1
    due_ms = network.now_ms + delay_ms
    heapq.heappush(network.due, (due_ms, network.sequence, call))


def run_until(network: Network, end_ms: int) -> None:
    """Let everything happen that is due by ``end_ms``."""
    while network.due and network.due[0][0] <= end_ms:
        network.now_ms, _, call = heapq.heappop(network.due)
        call()
    network.now_ms = end_ms


def is_reachable(network: Network, node: Node, other: Node) -> bool:
    """Tell whether two nodes are in parts of the network that are not cut apart."""
    pair = frozenset((node.state.me.address, other.state.me.address))
    return pair not in network.cut_pairs


def at_node(node: Node, call: Call) -> None:
    """Do something in a node's loop: now, when it wakes, or never."""
    if not node.is_alive:
        return
    if node.is_frozen:
        node.inbox.append(call)
        return
    call()


def chance(network: Network, percent: int) -> bool:
    """Tell whether a fault strikes that strikes so often."""
    return network.random.random() * 100 < percent


def delay_ms(network: Network) -> int:
    """Return how long a message takes."""
    if chance(network, network.faults.slow_percent):
        return network.random.randrange(network.faults.slow_ms)
    return network.random.randint(1, network.faults.delay_ms)


def carry(network: Network, one: Node, other: Node, deliver: Call) -> None:
    """Carry a message between two nodes, unless it is lost; perhaps twice."""
    copies = 2 if chance(network, network.faults.repeated_percent) else 1
    for _ in range(copies):
        if chance(network, network.faults.lost_percent):
            continue

        def arrive() -> None:
            if is_reachable(network, one, other):
                at_node(other, deliver)

        later(network, delay_ms(network), arrive)


class Once:
    """Let only the first of several ends of a call count."""

    def __init__(self) -> None:
        self.has_ended = False

    def end(self, act: Call) -> None:
        """Act if nothing ended the call before."""
        if not self.has_ended:
            self.has_ended = True
            act()
