"""Hold what a replay simulates."""

from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from bramleyturn.bench.replay_policies import Policy, apply_policy
from bramleyturn.bench.replay_servers import ServerModel
from bramleyturn.bench.trace import Trace
from bramleyturn.bench.virtual_time import VirtualTime, call_after
from bramleyturn.core.actions import Action
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import Event
from bramleyturn.core.model import Configuration
from bramleyturn.core.outcomes import Outcome

Deliver = Callable[["World", "ReplayEntry", Event], list[Action]]

OWN_ZONE_HOP_MS: Final = 0.5
OTHER_ZONE_HOP_MS: Final = 1.0


class ReplayEntry:
    """Hold one entry process and the instant at which it wakes."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.wake_ms: int | None = None


class Ending(NamedTuple):
    """Hold a request's outcome and how long after its arrival it came."""

    outcome: Outcome
    elapsed_ms: float


class World:
    """Hold everything that a replay simulates and what came of it.

    ``deliver`` hands an event to an entry now and carries out what it decides.
    """

    def __init__(
        self,
        trace: Trace,
        configuration: Configuration,
        policy: Policy,
        seed: int,
        deliver: Deliver,
    ) -> None:
        self.trace = trace
        self.configuration = apply_policy(policy, configuration)
        self.policy = policy
        self.random = Random(seed)
        self.deliver = deliver
        self.time = VirtualTime()
        self.models: dict[str, ServerModel] = {}
        self.entries: list[ReplayEntry] = []
        self.by_address: dict[str, ReplayEntry] = {}
        self.cut_zones: set[str] = set()
        self.platform_is_up = True
        self.endings: dict[int, Ending] = {}
        self.sent: dict[tuple[str, str], int] = {}
        self.promised: dict[str, dict[str, float]] = {}


def can_reach(world: World, zone: str, other: str) -> bool:
    """Tell whether no partition lies between two availability zones."""
    return (zone in world.cut_zones) == (other in world.cut_zones)


def hop_ms(zone: str, other: str) -> float:
    """Return how long a message takes from one zone to another."""
    return OWN_ZONE_HOP_MS if zone == other else OTHER_ZONE_HOP_MS


def later(world: World, entry: ReplayEntry, delay_ms: float, event: Event) -> None:
    """Hand an event to an entry after a delay."""
    call_after(world.time, delay_ms, lambda: world.deliver(world, entry, event))


def finish(world: World, index: int, outcome: Outcome) -> None:
    """Write down the outcome of a request."""
    arrival_ms = world.trace.requests[index].arrival_ms
    ending = Ending(outcome, world.time.now_ms - arrival_ms)
    world.endings.setdefault(index, ending)
    for promised in world.promised.values():
        promised.pop(f"r{index}", None)
