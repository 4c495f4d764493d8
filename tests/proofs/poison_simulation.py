"""Play several entries and the servers that they share, one of whose inputs crashes.

Time is virtual. The entries tell each other of crashes after ``hint_delay_ms``.
"""

from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.actions import Action, Answer, CancelAttempt, StartAttempt
from bramleyturn.core.events import (
    AttemptFailed,
    FailureReason,
    OutputArrived,
    StreamEnded,
    TokensArrived,
)
from bramleyturn.core.model import PoolKind
from bramleyturn.core.outcomes import Outcome
from bramleyturn.core.poison import export_hints, import_hints
from tests.core.entry_simulation import FOLDER, EntrySimulation

MARKER: Final = "poison"
TICK_MS: Final = 5
LEFT_MS: Final = 5_000
SERVERS: Final = 6
HIGHEST_RUN_MS: Final = 60


class OnServer(NamedTuple):
    """Hold one attempt that runs on a server."""

    entry: int
    action: StartAttempt
    ends_ms: int


def folder(servers: int) -> dict[str, str]:
    """Return a configuration with so many servers in each pool."""
    sections = [
        f"[server more-{pool}-{number}]\npool = {pool}\nzone = duluth\n"
        f"address = 127.0.1.{number}:{port}\n"
        for pool, port in (("encoders", 9100), ("drafting", 9200))
        for number in range(servers - 2)
    ]
    return {**FOLDER, "20.ini": "".join(sections)}


class PoisonSimulation:
    """Hold the entries, what runs on the servers and which of them crashed."""

    def __init__(
        self,
        seed: int,
        *,
        entries: int = 3,
        crashes_stage: str = "generate",
        hint_delay_ms: int = 20,
        tells_peers: bool = True,
    ) -> None:
        self.random = Random(seed)
        self.files = folder(SERVERS)
        self.entries = [
            EntrySimulation(seed=seed * 100 + number, files=self.files, number=number)
            for number in range(1, entries + 1)
        ]
        self.crashes_stage = crashes_stage
        self.hint_delay_ms = hint_delay_ms
        self.tells_peers = tells_peers
        self.on_server: list[OnServer] = []
        self.crashed: list[str] = []
        self.suspects = 0
        self.outcomes: dict[str, Outcome] = {}
        self.hints_due_ms = hint_delay_ms

    def take(self, entry: int, actions: list[Action]) -> None:
        """Carry out what one entry decided."""
        for action in actions:
            if isinstance(action, StartAttempt):
                self.start(entry, action)
            elif isinstance(action, CancelAttempt):
                self.on_server = [
                    each
                    for each in self.on_server
                    if each.action.attempt_id != action.attempt_id
                    or each.entry != entry
                ]
            elif isinstance(action, Answer):
                self.outcomes[action.waiter] = action.outcome

    def start(self, entry: int, action: StartAttempt) -> None:
        """Let a server begin an attempt."""
        now_ms = self.entries[entry].now_ms
        run_ms = self.random.randint(10, HIGHEST_RUN_MS)
        if MARKER in str(action.input) and action.stage == self.crashes_stage:
            run_ms = TICK_MS
        self.on_server.append(OnServer(entry, action, now_ms + run_ms))

    def send(self, entry: int, waiter: str, text: str) -> None:
        """Let a caller send a draft to one entry."""
        simulation = self.entries[entry]
        actions = simulation.send(
            "draft", input_=text, request_id=waiter, waiter=waiter, left_ms=LEFT_MS
        )
        self.take(entry, actions)

    def tick(self) -> None:
        """Let a little time pass everywhere."""
        for entry, simulation in enumerate(self.entries):
            self.take(entry, simulation.advance(TICK_MS))
        now_ms = self.entries[0].now_ms
        for running in [each for each in self.on_server if each.ends_ms <= now_ms]:
            if running in self.on_server:
                self.on_server.remove(running)
                self.end(running)
        if self.tells_peers and now_ms >= self.hints_due_ms:
            self.hints_due_ms = now_ms + self.hint_delay_ms
            self.exchange_hints()

    def end(self, running: OnServer) -> None:
        """End one attempt: with a crash, without a connection, or with its answer."""
        action = running.action
        if action.server.name in self.crashed:
            self.feed_break(running, FailureReason.NOT_CONNECTED)
        elif MARKER in str(action.input) and action.stage == self.crashes_stage:
            self.crash(running)
        elif action.kind is PoolKind.ENGINE:
            attempt_id = action.attempt_id
            simulation = self.entries[running.entry]
            tokens = (f"<{action.input}>",)[action.resume_offset :]
            self.take(
                running.entry,
                simulation.feed(
                    TokensArrived(attempt_id, attempt_id, action.resume_offset, tokens)
                ),
            )
            ended = StreamEnded(attempt_id, attempt_id, 1)
            self.take(running.entry, simulation.feed(ended))
        else:
            attempt_id = action.attempt_id
            output = f"{action.stage}({action.input})"
            event = OutputArrived(attempt_id, attempt_id, output, 0)
            self.take(running.entry, self.entries[running.entry].feed(event))

    def crash(self, poison: OnServer) -> None:
        """End a server and every attempt on it, whichever entry sent it."""
        name = poison.action.server.name
        self.crashed.append(name)
        lost = [each for each in self.on_server if each.action.server.name == name]
        self.on_server = [each for each in self.on_server if each not in lost]
        if len(self.crashed) == 1:
            self.suspects = 1 + len(lost)
        for running in [poison, *lost]:
            self.feed_break(running, FailureReason.LOST)

    def feed_break(self, running: OnServer, reason: FailureReason) -> None:
        """Report the end of an attempt to its entry."""
        event = AttemptFailed(running.action.attempt_id, reason, "", None, False)
        self.take(running.entry, self.entries[running.entry].feed(event))

    def exchange_hints(self) -> None:
        """Let every entry learn what every other one knows of crashes."""
        for giver in self.entries:
            hints = export_hints(giver.state.suspects, giver.now_ms)
            for taker in self.entries:
                if taker is not giver:
                    import_hints(taker.state.suspects, hints, taker.now_ms)

    def run_until_told(self, waiter: str) -> Outcome:
        """Let time pass until a caller has its outcome."""
        for _ in range(2 * LEFT_MS // TICK_MS):
            if waiter in self.outcomes:
                return self.outcomes[waiter]
            self.tick()
        raise AssertionError(f"{waiter} got no outcome")


class PoisonStory(NamedTuple):
    """Tell what one poison request did."""

    crashed: tuple[str, ...]
    suspects: int
    poisoned: tuple[Outcome, ...]
    neighbours: dict[str, Outcome]


def send_poison_everywhere(
    simulation: PoisonSimulation, neighbours: int
) -> PoisonStory:
    """Let a caller send one poison request at all entries in turn, twice.

    Before each try every entry gets some requests that crash nothing.
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
        poisoned.append(simulation.run_until_told(waiter))
        for name in names:
            simulation.run_until_told(name)
    found = {name: simulation.outcomes[name] for name in names}
    return PoisonStory(
        tuple(simulation.crashed), simulation.suspects, tuple(poisoned), found
    )
