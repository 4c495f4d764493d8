"""Simulate one entry's core in virtual time; the test acts as its servers."""

from pathlib import Path
from random import Random
from typing import Any

from bramleyturn.core.actions import Action, Answer, StartAttempt
from bramleyturn.core.configuration import load_configuration
from bramleyturn.core.entry import next_wake_ms, start, step
from bramleyturn.core.entry_state import EntryState, entry_state
from bramleyturn.core.events import (
    ConnectionReady,
    Event,
    OutputArrived,
    PeerSeen,
    RequestArrived,
    StreamEnded,
    TimePassed,
    TokensArrived,
)
from bramleyturn.core.model import Configuration
from bramleyturn.core.tickets import ProcessRef

FOLDER = {"10.ini": (Path(__file__).parent / "data" / "entry.ini").read_text("utf-8")}
BACKUP = ProcessRef("127.0.0.1:7002", "backup-incarnation")


def configuration(files: dict[str, str] | None = None) -> Configuration:
    loaded = load_configuration(1, files or FOLDER)
    assert isinstance(loaded, Configuration), loaded
    return loaded


class EntrySimulation:
    """Hold one entry's state and the virtual time, and collect its actions."""

    def __init__(
        self,
        *,
        with_backup: bool = False,
        seed: int = 1,
        files: dict[str, str] | None = None,
        number: int = 1,
    ) -> None:
        self.now_ms = 1_000
        self.state: EntryState = entry_state(
            f"entry-{number}",
            "duluth",
            ProcessRef(f"127.0.0.1:700{number}", f"incarnation-{number}"),
            configuration(files),
            Random(seed),
            self.now_ms,
        )
        start(self.state, self.now_ms)
        self.actions: list[Action] = []
        if with_backup:
            self.feed(PeerSeen("entry-2", "toledo", BACKUP.address, BACKUP.incarnation))

    def feed(self, event: Event) -> list[Action]:
        """Feed an event to the core and return its actions."""
        actions = step(self.state, event, self.now_ms)
        self.actions += actions
        return actions

    def advance(self, by_ms: int) -> list[Action]:
        """Advance the time, running each timer at its due time."""
        until_ms = self.now_ms + by_ms
        actions: list[Action] = []
        while (wake_ms := next_wake_ms(self.state)) is not None and wake_ms <= until_ms:
            self.now_ms = max(self.now_ms, wake_ms)
            actions += self.feed(TimePassed())
        self.now_ms = until_ms
        return actions

    def freeze(self, for_ms: int) -> None:
        """Advance the time without running anything, as a paused process would."""
        self.now_ms += for_ms

    def send(
        self,
        pipeline: str,
        *,
        input_: Any = "text",
        request_id: str = "r1",
        workspace: str = "lessons",
        ticket: str = "",
        waiter: str = "w1",
        left_ms: int = 2_000,
        is_forwarded: bool = False,
    ) -> list[Action]:
        """Feed a caller's request."""
        return self.feed(
            RequestArrived(
                waiter,
                workspace,
                pipeline,
                request_id,
                input_,
                100,
                left_ms,
                ticket,
                is_forwarded,
            )
        )

    def output(self, attempt: StartAttempt, output: Any = "out") -> list[Action]:
        """Feed a backend server's answer to an attempt."""
        return self.feed(
            OutputArrived(attempt.attempt_id, attempt.attempt_id, output, 0)
        )

    def tokens(self, attempt: StartAttempt, offset: int, *tokens: str) -> list[Action]:
        """Feed a part of an engine's stream."""
        return self.feed(
            TokensArrived(attempt.attempt_id, attempt.attempt_id, offset, tokens)
        )

    def end(self, attempt: StartAttempt, total: int) -> list[Action]:
        """Feed the end of an engine's stream."""
        return self.feed(StreamEnded(attempt.attempt_id, attempt.attempt_id, total))

    def connect(self, attempt: StartAttempt) -> list[Action]:
        """Open the connection of an attempt that must not be retried."""
        return self.feed(ConnectionReady(attempt.attempt_id))


def started(actions: list[Action]) -> StartAttempt:
    """Return the one attempt that the actions start."""
    attempts = [action for action in actions if isinstance(action, StartAttempt)]
    assert len(attempts) == 1, actions
    return attempts[0]


def answer(actions: list[Action]) -> Answer:
    """Return the one answer among the actions."""
    (found,) = answers(actions)
    return found


def answers(actions: list[Action]) -> list[Answer]:
    """Return the answers among the actions."""
    return [action for action in actions if isinstance(action, Answer)]
