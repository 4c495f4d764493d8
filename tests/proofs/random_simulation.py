"""Simulate one entry's core with random events and servers that count their runs.

Every choice comes from the seed: which request is sent when, how each attempt ends
and in which order its parts arrive, including after the entry has abandoned it.
"""

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final, NamedTuple

from bramleyturn.core.actions import Action, Answer, PermitWrite, StartAttempt
from bramleyturn.core.arrivals import IssuedTicket, issue_ticket
from bramleyturn.core.events import (
    AttemptFailed,
    FailureReason,
    OutputArrived,
    StreamEnded,
    TokensArrived,
)
from bramleyturn.core.model import PoolKind
from bramleyturn.core.outcomes import Outcome, OutcomeKind
from tests.core.entry_simulation import EntrySimulation

PIPELINES: Final = ("draft", "draft", "signup", "order")
WORKSPACES: Final = ("lessons", "rosters")
REQUEST_IDS: Final = ("r1", "r2", "r3", "r4")
CHUNK_TOKENS: Final = 3
STEPS_PER_SEED: Final = 120
LONGEST_DEADLINE_MS: Final = 70_000
STEPS_AFTER_DEADLINE: Final = 40


class Sent(NamedTuple):
    """Hold one request of one waiter, as its caller sent it."""

    workspace: str
    pipeline: str
    request_id: str
    input: str


@dataclass
class RunningAttempt:
    """Hold one attempt as its backend server sees it."""

    action: StartAttempt
    is_written: bool
    has_begun: bool = False
    has_ended: bool = False
    sent_tokens: int = 0
    tokens: list[str] = field(default_factory=list)


def tokens_of(text: Any) -> list[str]:
    """Return the tokens that an engine generates for ``text``."""
    length = 1 + sum(map(ord, str(text))) % 17
    return [f"<{text}:{number}>" for number in range(length)]


def output_of(stage: str, value: Any) -> Any:
    """Return the output of a stage that does not run on an engine."""
    return f"{stage}({value})"


def expected_output(sent: Sent) -> str:
    """Return the only correct answer to a request."""
    if sent.pipeline == "draft":
        return "".join(tokens_of(output_of("encode", sent.input)))
    if sent.pipeline == "signup":
        return str(output_of("enrol", sent.input))
    return str(output_of("print", output_of("charge", sent.input)))


class RandomSimulation:
    """Hold the entry, the runs on its backend servers and the outcomes of callers."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.simulation = EntrySimulation(seed=seed)
        self.servers: list[RunningAttempt] = []
        self.runs: Counter[tuple[str, str]] = Counter()
        self.sent: dict[str, Sent] = {}
        self.key_of_waiter: dict[str, str] = {}
        self.tickets: dict[str, tuple[str, Sent]] = {}
        self.outcomes: dict[str, list[Outcome]] = {}
        self.ended_kinds: Counter[OutcomeKind] = Counter()

    def apply_actions(self, actions: list[Action]) -> None:
        """Carry out the entry's actions."""
        for action in actions:
            if isinstance(action, StartAttempt):
                written = not action.needs_permission
                running = RunningAttempt(action, written)
                if action.kind is PoolKind.ENGINE:
                    running.tokens = tokens_of(action.input)
                    running.sent_tokens = action.resume_offset
                self.servers.append(running)
            if isinstance(action, Answer):
                self.outcomes.setdefault(action.waiter, []).append(action.outcome)
                self.ended_kinds[action.outcome.kind] += 1

    def send(self) -> None:
        """Send a new request of a caller, or repeat an earlier one."""
        waiter = f"w{len(self.sent)}"
        is_repeat = self.random.random() < 0.25 and self.sent
        if is_repeat:
            sent = self.random.choice(list(self.sent.values()))
        else:
            sent = Sent(
                self.random.choice(WORKSPACES),
                self.random.choice(PIPELINES),
                self.random.choice(REQUEST_IDS),
                f"input-{len(self.sent)}",
            )
        self.sent[waiter] = sent
        self.apply_actions(
            self.simulation.send(
                sent.pipeline,
                input_=sent.input,
                request_id=sent.request_id,
                workspace=sent.workspace,
                ticket=self.ticket_for(sent),
                waiter=waiter,
                left_ms=self.random.choice((40, 400, 2_000, 5_000)),
            )
        )
        key = self.simulation.state.request_by_waiter.get(waiter)
        if key is not None:
            self.key_of_waiter[waiter] = key

    def ticket_for(self, sent: Sent) -> str:
        """Return the ticket of a request; a repeated request keeps its ticket."""
        if sent.pipeline == "draft":
            return ""
        known = self.tickets.get(sent.input)
        if known is not None:
            return known[0]
        issued = issue_ticket(
            self.simulation.state, sent.workspace, sent.pipeline, self.simulation.now_ms
        )
        assert isinstance(issued, IssuedTicket)
        self.tickets[sent.input] = (issued.text, sent)
        return issued.text

    def record_run(self, running: RunningAttempt) -> None:
        """Record that a backend server began to run an attempt."""
        if not running.has_begun:
            running.has_begun = True
            key = running.action.idempotency_key.rpartition(".")[0]
            self.runs[key, running.action.stage] += 1

    def step(self) -> None:
        """Simulate one random event."""
        open_servers = [each for each in self.servers if not each.has_ended]
        draw = self.random.random()
        if draw < 0.15:
            self.send()
        elif draw < 0.45 or not open_servers:
            self.apply_actions(
                self.simulation.advance(self.random.choice((1, 5, 30, 300)))
            )
        else:
            self.step_server(self.random.choice(open_servers))

    def step_server(self, running: RunningAttempt) -> None:
        """Advance one attempt at its backend server."""
        if not running.is_written:
            self.connect(running)
        elif self.random.random() < 0.12:
            self.fail(running)
        elif running.action.kind is PoolKind.ENGINE:
            self.stream(running)
        else:
            self.answer(running)

    def connect(self, running: RunningAttempt) -> None:
        """Open the connection of an attempt that must not be retried, or fail to."""
        if self.random.random() < 0.2:
            running.has_ended = True
            self.feed_failure(running, FailureReason.NOT_CONNECTED)
            return
        actions = self.simulation.connect(running.action)
        self.apply_actions(actions)
        running.is_written = PermitWrite(running.action.attempt_id) in actions
        running.has_ended = not running.is_written

    def fail(self, running: RunningAttempt) -> None:
        """End an attempt without an answer, for a random reason."""
        reasons = [FailureReason.LOST, FailureReason.CUT, FailureReason.ERROR_ANSWER]
        if not running.has_begun:
            reasons.append(FailureReason.NOT_STARTED)
            if not running.action.needs_permission:
                reasons.append(FailureReason.NOT_CONNECTED)
            if running.action.resume_offset:
                reasons.append(FailureReason.RESUME_REFUSED)
        reason = self.random.choice(reasons)
        may_run = reason in (FailureReason.LOST, FailureReason.CUT)
        if reason is FailureReason.ERROR_ANSWER:
            self.record_run(running)
        if may_run and self.random.random() < 0.5:
            self.record_run(running)
        running.has_ended = True
        self.feed_failure(running, reason)

    def feed_failure(self, running: RunningAttempt, reason: FailureReason) -> None:
        """Report the failure of an attempt."""
        event = AttemptFailed(running.action.attempt_id, reason, "", None, False)
        self.apply_actions(self.simulation.feed(event))

    def answer(self, running: RunningAttempt) -> None:
        """Answer a call: once, twice, or with the answer of another attempt."""
        self.record_run(running)
        action = running.action
        draw = self.random.random()
        if draw < 0.15:
            other = self.random.choice(self.servers).action
            output = output_of(other.stage, other.input)
            echoed = other.attempt_id
        else:
            output, echoed = output_of(action.stage, action.input), action.attempt_id
        # An attempt that is left open is answered a second time later.
        running.has_ended = draw < 0.8
        self.apply_actions(
            self.simulation.feed(OutputArrived(action.attempt_id, echoed, output, 0))
        )

    def stream(self, running: RunningAttempt) -> None:
        """Send the next part of a stream, or a wrong one."""
        self.record_run(running)
        attempt_id, tokens = running.action.attempt_id, running.tokens
        draw = self.random.random()
        if draw < 0.06:
            self.feed_tokens(running, attempt_id, running.sent_tokens + 1)
        elif draw < 0.12:
            self.feed_tokens(running, f"{attempt_id}-other", running.sent_tokens)
        elif draw < 0.18:
            self.feed_tokens(
                running, attempt_id, max(0, running.sent_tokens - CHUNK_TOKENS)
            )
        elif draw < 0.24:
            # A stream that stops early and announces just the tokens that it sent
            # looks complete, so fewer are announced only after all were sent.
            running.has_ended = True
            lowest = -1 if running.sent_tokens >= len(tokens) else 1
            self.feed_end(running, len(tokens) + self.random.choice((lowest, 1)))
        elif running.sent_tokens < len(tokens):
            self.feed_tokens(running, attempt_id, running.sent_tokens)
            running.sent_tokens += self.random.randint(1, CHUNK_TOKENS)
        else:
            running.has_ended = draw < 0.8
            self.feed_end(running, len(tokens))

    def feed_tokens(self, running: RunningAttempt, echoed_id: str, offset: int) -> None:
        """Send the tokens from ``offset`` up to a chunk's length."""
        end = offset + CHUNK_TOKENS
        part = tuple(running.tokens[offset:end])
        event = TokensArrived(running.action.attempt_id, echoed_id, offset, part)
        self.apply_actions(self.simulation.feed(event))

    def feed_end(self, running: RunningAttempt, total: int) -> None:
        """Send an end mark."""
        attempt_id = running.action.attempt_id
        self.apply_actions(
            self.simulation.feed(StreamEnded(attempt_id, attempt_id, max(0, total)))
        )

    def run(self) -> None:
        """Run all steps, then finish every attempt that is still open."""
        for _ in range(STEPS_PER_SEED):
            self.step()
        self.apply_actions(self.simulation.advance(LONGEST_DEADLINE_MS))
        # The remaining answers arrive after every deadline.
        for _ in range(STEPS_AFTER_DEADLINE):
            open_servers = [each for each in self.servers if not each.has_ended]
            if not open_servers:
                break
            self.step_server(self.random.choice(open_servers))
        for running in self.servers:
            if running.is_written and not running.has_ended:
                self.record_run(running)


def find_faults(simulation: RandomSimulation) -> list[str]:
    """Return every guarantee that a simulation violated."""
    return [
        fault
        for waiter, sent in simulation.sent.items()
        for fault in find_faults_of_waiter(simulation, waiter, sent)
    ] + [
        f"{key}.{stage} ran {runs} times"
        for (key, stage), runs in simulation.runs.items()
        if runs > 1 and stage in ("enrol", "charge", "print")
    ]


def find_faults_of_waiter(
    simulation: RandomSimulation, waiter: str, sent: Sent
) -> list[str]:
    """Return the faults in the outcome of one waiting caller."""
    outcomes = simulation.outcomes.get(waiter, [])
    if len(outcomes) != 1:
        return [f"{waiter}: {len(outcomes)} outcomes"]
    outcome = outcomes[0]
    if outcome.kind is OutcomeKind.ANSWERED and outcome.output != expected_output(sent):
        return [f"{waiter}: {outcome.output!r}, not {expected_output(sent)!r}"]
    key = simulation.key_of_waiter.get(waiter)
    ran = [stage for owner, stage in simulation.runs if owner == key]
    if outcome.kind is OutcomeKind.NOT_RUN and ran:
        return [f"{waiter}: not_run, but {ran} ran"]
    if outcome.kind is OutcomeKind.UNKNOWN and sent.pipeline == "draft":
        return [f"{waiter}: unknown, though every stage may be repeated"]
    return []


def simulate_seeds(seeds: range) -> tuple[list[str], Counter[OutcomeKind]]:
    """Simulate many seeds; return the faults, each with its seed, and the outcomes."""
    faults: list[str] = []
    kinds: Counter[OutcomeKind] = Counter()
    for seed in seeds:
        simulation = RandomSimulation(seed)
        simulation.run()
        kinds += simulation.ended_kinds
        faults += [f"seed {seed}: {fault}" for fault in find_faults(simulation)]
    return faults, kinds
