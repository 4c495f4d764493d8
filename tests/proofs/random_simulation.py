"""Drive one entry's core at random, with backend servers that keep a ledger.

Every choice comes from the seed: which request is sent when, how each attempt ends
and in which order its parts arrive, also after the entry has given it up.
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
STEPS: Final = 120
LONGEST_MS: Final = 70_000
LATE_STEPS: Final = 40


class Sent(NamedTuple):
    """Hold one request of one waiter, as its caller knows it."""

    workspace: str
    pipeline: str
    request_id: str
    input: str


@dataclass
class Running:
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
    """Return the output of a stage that is not an engine's."""
    return f"{stage}({value})"


def expected_output(sent: Sent) -> str:
    """Return the one right answer to a request."""
    if sent.pipeline == "draft":
        return "".join(tokens_of(output_of("encode", sent.input)))
    if sent.pipeline == "signup":
        return str(output_of("enrol", sent.input))
    return str(output_of("print", output_of("charge", sent.input)))


class RandomSimulation:
    """Hold the entry, its backend servers' ledger and what callers were told."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.simulation = EntrySimulation(seed=seed)
        self.servers: list[Running] = []
        self.runs: Counter[tuple[str, str]] = Counter()
        self.sent: dict[str, Sent] = {}
        self.key_of_waiter: dict[str, str] = {}
        self.tickets: dict[str, tuple[str, Sent]] = {}
        self.told: dict[str, list[Outcome]] = {}
        self.ended_kinds: Counter[OutcomeKind] = Counter()

    def take(self, actions: list[Action]) -> None:
        """Carry out what the entry decided."""
        for action in actions:
            if isinstance(action, StartAttempt):
                written = not action.needs_permission
                running = Running(action, written)
                if action.kind is PoolKind.ENGINE:
                    running.tokens = tokens_of(action.input)
                    running.sent_tokens = action.resume_offset
                self.servers.append(running)
            if isinstance(action, Answer):
                self.told.setdefault(action.waiter, []).append(action.outcome)
                self.ended_kinds[action.outcome.kind] += 1

    def send(self) -> None:
        """Let a caller send a new request, or one that it has sent before."""
        waiter = f"w{len(self.sent)}"
        again = self.random.random() < 0.25 and self.sent
        if again:
            sent = self.random.choice(list(self.sent.values()))
        else:
            sent = Sent(
                self.random.choice(WORKSPACES),
                self.random.choice(PIPELINES),
                self.random.choice(REQUEST_IDS),
                f"input-{len(self.sent)}",
            )
        self.sent[waiter] = sent
        self.take(
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
        """Return the ticket of a request, the former one if it is sent again."""
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

    def begin(self, running: Running) -> None:
        """Write down that a backend server began to run an attempt."""
        if not running.has_begun:
            running.has_begun = True
            key = running.action.idempotency_key.rpartition(".")[0]
            self.runs[key, running.action.stage] += 1

    def step(self) -> None:
        """Let one thing happen."""
        open_servers = [each for each in self.servers if not each.has_ended]
        draw = self.random.random()
        if draw < 0.15:
            self.send()
        elif draw < 0.45 or not open_servers:
            self.take(self.simulation.advance(self.random.choice((1, 5, 30, 300))))
        else:
            self.step_server(self.random.choice(open_servers))

    def step_server(self, running: Running) -> None:
        """Let one attempt go on at its backend server."""
        if not running.is_written:
            self.connect(running)
        elif self.random.random() < 0.12:
            self.fail(running)
        elif running.action.kind is PoolKind.ENGINE:
            self.stream(running)
        else:
            self.answer(running)

    def connect(self, running: Running) -> None:
        """Open the connection of an attempt that may not be repeated."""
        if self.random.random() < 0.2:
            running.has_ended = True
            self.feed_break(running, FailureReason.NOT_CONNECTED)
            return
        actions = self.simulation.connect(running.action)
        self.take(actions)
        running.is_written = PermitWrite(running.action.attempt_id) in actions
        running.has_ended = not running.is_written

    def fail(self, running: Running) -> None:
        """End an attempt without an answer, in one of the ways there are."""
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
            self.begin(running)
        if may_run and self.random.random() < 0.5:
            self.begin(running)
        running.has_ended = True
        self.feed_break(running, reason)

    def feed_break(self, running: Running, reason: FailureReason) -> None:
        """Report the end of an attempt."""
        event = AttemptFailed(running.action.attempt_id, reason, "", None, False)
        self.take(self.simulation.feed(event))

    def answer(self, running: Running) -> None:
        """Answer a call: once, twice, or with the answer of another attempt."""
        self.begin(running)
        action = running.action
        draw = self.random.random()
        if draw < 0.15:
            other = self.random.choice(self.servers).action
            output = output_of(other.stage, other.input)
            echoed = other.attempt_id
        else:
            output, echoed = output_of(action.stage, action.input), action.attempt_id
        # What is left open is answered a second time, late.
        running.has_ended = draw < 0.8
        self.take(
            self.simulation.feed(OutputArrived(action.attempt_id, echoed, output, 0))
        )

    def stream(self, running: Running) -> None:
        """Send the next part of a stream, or one that does not belong there."""
        self.begin(running)
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
            # A stream that stops early and announces just that can't be told from
            # a whole one, so fewer are announced only after all were sent.
            running.has_ended = True
            lowest = -1 if running.sent_tokens >= len(tokens) else 1
            self.feed_end(running, len(tokens) + self.random.choice((lowest, 1)))
        elif running.sent_tokens < len(tokens):
            self.feed_tokens(running, attempt_id, running.sent_tokens)
            running.sent_tokens += self.random.randint(1, CHUNK_TOKENS)
        else:
            running.has_ended = draw < 0.8
            self.feed_end(running, len(tokens))

    def feed_tokens(self, running: Running, echoed_id: str, offset: int) -> None:
        """Send the tokens from ``offset`` up to a chunk's length."""
        end = offset + CHUNK_TOKENS
        part = tuple(running.tokens[offset:end])
        event = TokensArrived(running.action.attempt_id, echoed_id, offset, part)
        self.take(self.simulation.feed(event))

    def feed_end(self, running: Running, total: int) -> None:
        """Send an end mark."""
        attempt_id = running.action.attempt_id
        self.take(
            self.simulation.feed(StreamEnded(attempt_id, attempt_id, max(0, total)))
        )

    def run(self) -> None:
        """Let the whole history happen, until nothing is left open."""
        for _ in range(STEPS):
            self.step()
        self.take(self.simulation.advance(LONGEST_MS))
        # Whatever is still on its way arrives after every deadline.
        for _ in range(LATE_STEPS):
            open_servers = [each for each in self.servers if not each.has_ended]
            if not open_servers:
                break
            self.step_server(self.random.choice(open_servers))
        for running in self.servers:
            if running.is_written and not running.has_ended:
                self.begin(running)


def faults_of(history: RandomSimulation) -> list[str]:
    """Return every promise that a history broke."""
    return [
        fault
        for waiter, sent in history.sent.items()
        for fault in faults_of_waiter(history, waiter, sent)
    ] + [
        f"{key}.{stage} ran {runs} times"
        for (key, stage), runs in history.runs.items()
        if runs > 1 and stage in ("enrol", "charge", "print")
    ]


def faults_of_waiter(history: RandomSimulation, waiter: str, sent: Sent) -> list[str]:
    """Return what was wrong with the outcome of one waiting caller."""
    told = history.told.get(waiter, [])
    if len(told) != 1:
        return [f"{waiter}: {len(told)} outcomes"]
    outcome = told[0]
    if outcome.kind is OutcomeKind.ANSWERED and outcome.output != expected_output(sent):
        return [f"{waiter}: {outcome.output!r}, not {expected_output(sent)!r}"]
    key = history.key_of_waiter.get(waiter)
    ran = [stage for owner, stage in history.runs if owner == key]
    if outcome.kind is OutcomeKind.NOT_RUN and ran:
        return [f"{waiter}: not_run, but {ran} ran"]
    if outcome.kind is OutcomeKind.UNKNOWN and sent.pipeline == "draft":
        return [f"{waiter}: unknown, though every stage may be repeated"]
    return []


def histories(seeds: range) -> tuple[list[str], Counter[OutcomeKind]]:
    """Return the faults of many histories, each with its seed, and the outcomes."""
    faults: list[str] = []
    kinds: Counter[OutcomeKind] = Counter()
    for seed in seeds:
        history = RandomSimulation(seed)
        history.run()
        kinds += history.ended_kinds
        faults += [f"seed {seed}: {fault}" for fault in faults_of(history)]
    return faults, kinds
