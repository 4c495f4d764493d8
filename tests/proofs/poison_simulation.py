"""Simulate several entries that share servers, and an input that crashes servers.

Time is virtual. The entries exchange hints about crashes every ``hint_delay_ms``.
"""

from random import Random
from typing import Any, Final, NamedTuple

from bramleyturn.core.actions import Action, Answer, CancelAttempt, StartAttempt
from bramleyturn.core.crashes import MAX_HINTS, import_hints
from bramleyturn.core.events import (
    AttemptFailed,
    FailureReason,
    OutputArrived,
    StreamEnded,
    TokensArrived,
)
from bramleyturn.core.model import PoolKind
from bramleyturn.core.outcomes import Outcome
from bramleyturn.core.poison_parts import crash_hints
from tests.core.entry_simulation import FOLDER, EntrySimulation

MARKER: Final = "poison"
TICK_MS: Final = 5
DEADLINE_MS: Final = 5_000
SERVERS_PER_POOL: Final = 6
MAX_RUN_MS: Final = 60


class RunningAttempt(NamedTuple):
    """Hold one attempt that runs on a server."""

    entry: int
    action: StartAttempt
    ends_ms: int


def configuration_files(servers: int) -> dict[str, str]:
    """Return a configuration with ``servers`` servers in each pool."""
    sections = [
        f"[server more-{pool}-{number}]\npool = {pool}\nzone = duluth\n"
        f"address = 127.0.1.{number}:{port}\n"
        for pool, port in (("encoders", 9100), ("drafting", 9200))
        for number in range(servers - 2)
    ]
    return {**FOLDER, "20.ini": "".join(sections)}


class PoisonSimulation:
    """Hold the entries, the running attempts and the crashed servers."""

    def __init__(
        self,
        seed: int,
        *,
        entries: int = 3,
        crashes_stage: str = "generate",
        hint_delay_ms: int = 20,
        exchanges_hints: bool = True,
    ) -> None:
        self.random = Random(seed)
        self.files = configuration_files(SERVERS_PER_POOL)
        self.entries = [
            EntrySimulation(seed=seed * 100 + number, files=self.files, number=number)
            for number in range(1, entries + 1)
        ]
        self.crashes_stage = crashes_stage
        self.hint_delay_ms = hint_delay_ms
        self.exchanges_hints = exchanges_hints
        self.running_attempts: list[RunningAttempt] = []
        self.crashed: list[str] = []
        self.suspects = 0
        self.outcomes: dict[str, Outcome] = {}
        self.hints_due_ms = hint_delay_ms

    def apply_actions(self, entry: int, actions: list[Action]) -> None:
        """Carry out the actions of one entry."""
        for action in actions:
            if isinstance(action, StartAttempt):
                self.start(entry, action)
            elif isinstance(action, CancelAttempt):
                self.running_attempts = [
                    each
                    for each in self.running_attempts
                    if each.action.attempt_id != action.attempt_id
                    or each.entry != entry
                ]
            elif isinstance(action, Answer):
                self.outcomes[action.waiter] = action.outcome

    def start(self, entry: int, action: StartAttempt) -> None:
        """Start an attempt on a server."""
        now_ms = self.entries[entry].now_ms
        run_ms = self.random.randint(10, MAX_RUN_MS)
        if MARKER in str(action.input) and action.stage == self.crashes_stage:
            run_ms = TICK_MS
        self.running_attempts.append(RunningAttempt(entry, action, now_ms + run_ms))

    def send(self, entry: int, waiter: str, work: Any) -> None:
        """Send a caller's draft request to one entry."""
        simulation = self.entries[entry]
        actions = simulation.send(
            "draft", input_=work, request_id=waiter, waiter=waiter, left_ms=DEADLINE_MS
        )
        self.apply_actions(entry, actions)

    def tick(self) -> None:
        """Advance the time by one tick everywhere."""
        for entry, simulation in enumerate(self.entries):
            self.apply_actions(entry, simulation.advance(TICK_MS))
        now_ms = self.entries[0].now_ms
        for running in [
            each for each in self.running_attempts if each.ends_ms <= now_ms
        ]:
            if running in self.running_attempts:
                self.running_attempts.remove(running)
                self.end(running)
        if self.exchanges_hints and now_ms >= self.hints_due_ms:
            self.hints_due_ms = now_ms + self.hint_delay_ms
            self.exchange_hints()

    def end(self, running: RunningAttempt) -> None:
        """End one attempt with a crash, a refused connection or its answer."""
        action = running.action
        if action.server.name in self.crashed:
            self.feed_failure(running, FailureReason.NOT_CONNECTED)
        elif MARKER in str(action.input) and action.stage == self.crashes_stage:
            self.crash(running)
        elif action.kind is PoolKind.ENGINE:
            attempt_id = action.attempt_id
            simulation = self.entries[running.entry]
            tokens = (f"<{action.input}>",)[action.resume_offset :]
            self.apply_actions(
                running.entry,
                simulation.feed(
                    TokensArrived(attempt_id, attempt_id, action.resume_offset, tokens)
                ),
            )
            ended = StreamEnded(attempt_id, attempt_id, 1)
            self.apply_actions(running.entry, simulation.feed(ended))
        else:
            attempt_id = action.attempt_id
            output = f"{action.stage}({action.input})"
            event = OutputArrived(attempt_id, attempt_id, output, 0)
            self.apply_actions(running.entry, self.entries[running.entry].feed(event))

    def crash(self, poison: RunningAttempt) -> None:
        """Crash a server and fail every attempt on it, of all entries."""
        name = poison.action.server.name
        self.crashed.append(name)
        lost = [
            each for each in self.running_attempts if each.action.server.name == name
        ]
        self.running_attempts = [
            each for each in self.running_attempts if each not in lost
        ]
        if len(self.crashed) == 1:
            self.suspects = 1 + len(lost)
        for running in [poison, *lost]:
            self.feed_failure(running, FailureReason.LOST)

    def feed_failure(self, running: RunningAttempt, reason: FailureReason) -> None:
        """Report the failure of an attempt to its entry."""
        event = AttemptFailed(running.action.attempt_id, reason, "", None, False)
        self.apply_actions(running.entry, self.entries[running.entry].feed(event))

    def exchange_hints(self) -> None:
        """Give every entry the crash hints of every other one."""
        for source in self.entries:
            suspects = source.state.suspects
            newest = suspects.crashes[-MAX_HINTS:]
            hints = crash_hints(suspects, newest, source.now_ms)
            for target in self.entries:
                if target is not source:
                    import_hints(target.state.suspects, hints, target.now_ms)

    def run_until_outcome(self, waiter: str) -> Outcome:
        """Advance the time until a caller has its outcome."""
        for _ in range(2 * DEADLINE_MS // TICK_MS):
            if waiter in self.outcomes:
                return self.outcomes[waiter]
            self.tick()
        raise AssertionError(f"{waiter} got no outcome")


class PoisonResult(NamedTuple):
    """Hold the effects of one poison request."""

    crashed: tuple[str, ...]
    suspects: int
    poisoned: tuple[Outcome, ...]
    neighbours: dict[str, Outcome]


def send_poison_to_all(simulation: PoisonSimulation, neighbours: int) -> PoisonResult:
    """Send one poison request to all entries in turn, twice.

    Before each try every entry gets ``neighbours`` requests that crash nothing.
    """
    names: list[str] = []
    poisoned: list[Outcome] = []
    for number in range(2 * len(simulation.entries)):
        for entry in range(len(simulation.entries)):
            for place in range(neighbours):
                name = f"neighbour-{number}-{entry}-{place}"
                names.append(name)
                simulation.send(entry, name, name)
        for _ in range(simulation.random.randint(1, 8)):
            simulation.tick()
        waiter = f"poison-{number}"
        simulation.send(number % len(simulation.entries), waiter, MARKER)
        poisoned.append(simulation.run_until_outcome(waiter))
        for name in names:
            simulation.run_until_outcome(name)
    found = {name: simulation.outcomes[name] for name in names}
    return PoisonResult(
        tuple(simulation.crashed), simulation.suspects, tuple(poisoned), found
    )


def send_poison_members(
    simulation: PoisonSimulation, requests: int, neighbours: int
) -> PoisonResult:
    """Send requests that share a member on which servers crash, each unlike the others.

    Before each one every entry gets ``neighbours`` requests that share another member
    with it.
    """
    names: list[str] = []
    poisoned: list[Outcome] = []
    for number in range(requests):
        for entry in range(len(simulation.entries)):
            for place in range(neighbours):
                name = f"neighbour-{number}-{entry}-{place}"
                names.append(name)
                simulation.send(entry, name, {"class": "5b", "week": name})
        for _ in range(simulation.random.randint(1, 8)):
            simulation.tick()
        waiter = f"poison-{number}"
        work = {"class": "5b", "curriculum": MARKER, "week": waiter}
        simulation.send(number % len(simulation.entries), waiter, work)
        poisoned.append(simulation.run_until_outcome(waiter))
        for name in names:
            simulation.run_until_outcome(name)
    found = {name: simulation.outcomes[name] for name in names}
    return PoisonResult(
        tuple(simulation.crashed), simulation.suspects, tuple(poisoned), found
    )
