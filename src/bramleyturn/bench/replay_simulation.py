"""Hold the state of a replay and schedule its events."""

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

Deliver = Callable[["Simulation", "ReplayEntry", Event], list[Action]]

SAME_ZONE_LATENCY_MS: Final = 0.5
CROSS_ZONE_LATENCY_MS: Final = 1.0


class ReplayEntry:
    """Hold one entry process and the time of its scheduled wake-up."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.wake_ms: int | None = None


class RequestResult(NamedTuple):
    """Hold a request's outcome and the time from arrival to outcome."""

    outcome: Outcome
    elapsed_ms: float


class Simulation:
    """Hold the state of a replay and its results.

    ``deliver`` passes an event to an entry immediately and performs the resulting
    actions. ``admitted_work_ms`` holds, by pool and request id, the work that the
    oracle admitted and that has not reached a server yet.
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
        self.request_results: dict[int, RequestResult] = {}
        self.attempts_sent: dict[tuple[str, str], int] = {}
        self.admitted_work_ms: dict[str, dict[str, float]] = {}


def can_reach(simulation: Simulation, zone: str, other: str) -> bool:
    """Return whether no partition separates two availability zones."""
    return (zone in simulation.cut_zones) == (other in simulation.cut_zones)


def zone_latency_ms(zone: str, other: str) -> float:
    """Return the one-way latency between two zones."""
    return SAME_ZONE_LATENCY_MS if zone == other else CROSS_ZONE_LATENCY_MS


def deliver_later(
    simulation: Simulation, entry: ReplayEntry, delay_ms: float, event: Event
) -> None:
    """Deliver an event to an entry after a delay."""
    call_after(
        simulation.time, delay_ms, lambda: simulation.deliver(simulation, entry, event)
    )


def record_outcome(simulation: Simulation, index: int, outcome: Outcome) -> None:
    """Record the first outcome of a request."""
    arrival_ms = simulation.trace.requests[index].arrival_ms
    result = RequestResult(outcome, simulation.time.now_ms - arrival_ms)
    simulation.request_results.setdefault(index, result)
    for work_ms in simulation.admitted_work_ms.values():
        work_ms.pop(f"r{index}", None)
