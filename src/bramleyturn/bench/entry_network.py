"""Simulate a faulty network between entry cores in virtual time.

Any message may be delayed, lost or duplicated. Each entry has its own monotonic clock.
A frozen entry handles the messages that arrived meanwhile when it resumes; a dead one
never does.
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

Callback = Callable[[], None]
StepFunction = Callable[[EntryState, Event, int], list[Action]]


class Faults(NamedTuple):
    """Hold the percentage of messages or attempts per fault, and the longest delays."""

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
    """Hold one entry process. ``inbox`` queues callbacks while it is frozen."""

    state: EntryState
    clock_offset_ms: int
    is_alive: bool = True
    is_frozen: bool = False
    inbox: list[Callback] = field(default_factory=list)
    replies: dict[str, Callable[[BackupAnswer], None]] = field(default_factory=dict)
    waiters: dict[str, Callable[[Action], None]] = field(default_factory=dict)


class StageRun(NamedTuple):
    """Identify what a backend server ran by stage and input of the attempt."""

    stage: str
    input: str


class Network:
    """Hold the entries by address, the servers' ledger and the scheduled callbacks."""

    def __init__(
        self,
        configuration: Configuration,
        zones: dict[str, str],
        seed: int,
        step_function: StepFunction = step,
    ) -> None:
        self.configuration = configuration
        self.zones = zones
        self.step_function = step_function
        self.random = Random(seed)
        self.now_ms = 0
        self.sequence = 0
        self.due: list[tuple[int, int, Callback]] = []
        self.faults = Faults()
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.nodes: dict[str, Node] = {}
        self.ledger: Counter[StageRun] = Counter()
        self.cancelled: set[str] = set()
        self.started_attempts: set[str] = set()


def schedule(network: Network, delay_ms: int, callback: Callback) -> None:
    """Schedule a callback after a delay."""
    network.sequence += 1
    due_ms = network.now_ms + delay_ms
    heapq.heappush(network.due, (due_ms, network.sequence, callback))


def run_until(network: Network, end_ms: int) -> None:
    """Run every callback that is due by ``end_ms``."""
    while network.due and network.due[0][0] <= end_ms:
        network.now_ms, _, callback = heapq.heappop(network.due)
        callback()
    network.now_ms = end_ms


def is_reachable(network: Network, node: Node, other: Node) -> bool:
    """Return whether no partition separates two nodes."""
    pair = frozenset((node.state.me.address, other.state.me.address))
    return pair not in network.partitioned_pairs


def run_at_node(node: Node, callback: Callback) -> None:
    """Run a callback at a node: now, when it resumes, or never if it is dead."""
    if not node.is_alive:
        return
    if node.is_frozen:
        node.inbox.append(callback)
        return
    callback()


def fault_occurs(network: Network, percent: int) -> bool:
    """Draw whether a fault of this probability occurs."""
    return network.random.random() * 100 < percent


def delay_ms(network: Network) -> int:
    """Draw the latency of a message."""
    if fault_occurs(network, network.faults.slow_percent):
        return network.random.randrange(network.faults.slow_ms)
    return network.random.randint(1, network.faults.delay_ms)


def send_message(
    network: Network, sender: Node, other: Node, deliver: Callback
) -> None:
    """Send a message between two nodes; it may be lost or duplicated."""
    copies = 2 if fault_occurs(network, network.faults.repeated_percent) else 1
    for _ in range(copies):
        if fault_occurs(network, network.faults.lost_percent):
            continue

        def arrive() -> None:
            if is_reachable(network, sender, other):
                run_at_node(other, deliver)

        schedule(network, delay_ms(network), arrive)


class RunOnce:
    """Run only the first of several callbacks, such as an answer and its timeout."""

    def __init__(self) -> None:
        self.has_run = False

    def run(self, callback: Callback) -> None:
        """Run the callback unless another one ran before."""
        if not self.has_run:
            self.has_run = True
            callback()
