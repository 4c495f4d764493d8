"""Run attempts as a backend server does: queue, start, end, cancel, crash.

Behaviour that differs by kind comes in as the function that begins a started job.
"""

import os
import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Final, NamedTuple, NoReturn, TypedDict

import orjson
from twisted.internet.defer import Deferred
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.tcp import Port

from bramleyturn.core.clock import Clock
from bramleyturn.core.model import PoolKind
from bramleyturn.runtime.timers import stop_timer
from bramleyturn.standin.answers import canonical, input_digest
from bramleyturn.standin.behaviour import Behaviour, answer_faults
from bramleyturn.standin.jobs import (
    Job,
    JobQueue,
    JobState,
    add_job,
    has_place,
    remove_job,
    take_job,
)
from bramleyturn.standin.json_http import LEAVING, hang_up
from bramleyturn.standin.lag import LaggedValue, note_value
from bramleyturn.standin.ledger import (
    Ledger,
    LedgerEntry,
    open_ledger,
    record_end,
    record_start,
)
from bramleyturn.standin.ports import listen, port_number, stop_listening
from bramleyturn.standin.settings import Listen, ServerSettings

CRASH_EXIT_CODE: Final = 70
KEYS_KEPT: Final = 100_000


class LoadReport(NamedTuple):
    """Count the jobs of a server at one instant."""

    running: int
    queued: int


class KeptAnswer:
    """Hold the run under one idempotency key and those who wait for it."""

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self.output: Any = None
        self.finished = False
        self.waiting: list[Callable[[Any], None]] = []


KeptAnswers = OrderedDict[str, KeptAnswer]


class ServerCounts(TypedDict):
    """Count what the ledger does not show."""

    refused: int
    never_started: int
    repeated_keys: int


class BackendServer:
    """Hold the state of one backend server stand-in."""

    def __init__(
        self,
        settings: ServerSettings,
        reactor: PosixReactorBase,
        clock: Clock,
        kept_answers: KeptAnswers,
        begin: Callable[["BackendServer", Job], None],
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.clock = clock
        self.kept_answers = kept_answers
        self.begin = begin
        self.behaviour = Behaviour()
        self.queue = JobQueue(settings.concurrency, settings.queue)
        self.ledger: Ledger = open_ledger(settings.ledger)
        self.load = LaggedValue(settings.load_lag_ms, LoadReport(0, 0))
        self.random = random.Random(settings.name)
        self.counts = ServerCounts(refused=0, never_started=0, repeated_keys=0)
        self.port: Port | None = None
        self.hang_up_all: Callable[[], None] = lambda: None


def refusal(server: BackendServer) -> str | None:
    """Return why the server takes no new work now, if so."""
    if server.behaviour.leaving:
        return LEAVING
    if server.behaviour.refuse or not has_place(server.queue):
        return "busy"
    return None


def submit(server: BackendServer, job: Job) -> Deferred[bytes | None]:
    """Queue ``job``; the result ends the answer, None if nothing is to follow.

    Cancelling the result, as happens when the connection is lost, cancels the job,
    but for a plain service's call that has begun: it runs to its end.
    """
    job.answered = Deferred(lambda _: _lose_caller(server, job))
    add_job(server.queue, job)
    start_jobs(server)
    return job.answered


def _lose_caller(server: BackendServer, job: Job) -> None:
    plain = server.settings.kind == PoolKind.PLAIN
    if not plain or job.state == JobState.QUEUED:
        end_job(server, job, "cancelled")


def start_jobs(server: BackendServer) -> None:
    """Start the waiting jobs for which there is room."""
    while (job := take_job(server.queue)) is not None:
        _start(server, job)
    _note_load(server)


def end_job(server: BackendServer, job: Job, state: str) -> None:
    """Record how ``job`` ended and start the next; do nothing if it has ended."""
    if job.state == JobState.ENDED:
        return
    job.state = JobState.ENDED
    stop_timer(job.timer)
    remove_job(server.queue, job)
    if job.entry is None:
        server.counts["never_started"] += 1
    else:
        record_end(server.ledger, job.entry, state, server.clock.monotonic_ms())
    job.on_end(job)
    start_jobs(server)


def give(job: Job, body: bytes | None) -> None:
    """End the answer of ``job`` with ``body``, unless it was given already."""
    if not job.answered.called:
        job.answered.callback(body)


def drop(job: Job) -> None:
    """Close the caller's connection in place of an answer."""
    hang_up(job.request)


def later(server: BackendServer, job: Job, delay_ms: float, step: Any) -> None:
    """Take the next step of ``job`` after a delay, longer if the server is slow."""
    delay_s = delay_ms * server.behaviour.slow_factor / 1000
    job.timer = server.reactor.callLater(delay_s, step, server, job)


def draws_failure(server: BackendServer) -> bool:
    """Tell whether the next attempt is to fail, and count it."""
    behaviour = server.behaviour
    if behaviour.fail_next > 0:
        server.behaviour = behaviour._replace(fail_next=behaviour.fail_next - 1)
        return True
    return server.random.randrange(100) < behaviour.fail_percent


def _start(server: BackendServer, job: Job) -> None:
    job.faults, server.behaviour = answer_faults(server.behaviour)
    job.entry = record_start(
        server.ledger,
        LedgerEntry(
            number=0,
            server=server.settings.name,
            attempt_id=job.attempt_id,
            idempotency_key=job.idempotency_key,
            input_digest=input_digest(job.value),
            resume_offset=job.resume_offset,
            started_ms=server.clock.monotonic_ms(),
            ended_ms=None,
            state="running",
        ),
    )
    if _is_poison(server.behaviour, job.value):
        crash(server)
        return
    if not job.faults.hang:
        server.begin(server, job)


def _is_poison(behaviour: Behaviour, value: Any) -> bool:
    marker = behaviour.crash_marker
    # The marker is compared in its JSON form, as strings stand in the input.
    return bool(marker) and orjson.dumps(marker)[1:-1] in canonical(value)


def crash(server: BackendServer) -> None:
    """End the process at once, or only this server if its behaviour says so."""
    if not server.behaviour.crash_server_only:
        _exit_at_once()
    for job in list(server.queue.running.values()):
        _crash_job(server, job)
    for _, _, job in list(server.queue.waiting):
        _crash_job(server, job)
    server.hang_up_all()
    server.queue = JobQueue(server.settings.concurrency, server.settings.queue)
    _note_load(server)
    _close_port(server, server.behaviour.crash_down_ms)


def _crash_job(server: BackendServer, job: Job) -> None:
    job.state = JobState.ENDED
    stop_timer(job.timer)
    if job.entry is not None:
        now_ms = server.clock.monotonic_ms()
        record_end(server.ledger, job.entry, "crashed", now_ms)
    job.on_end(job)


def _close_port(server: BackendServer, down_ms: int) -> None:
    """Listen no more, for ``down_ms`` or, if that is 0, for good."""
    port = server.port
    if port is None or not port.connected:
        return
    address = Listen(port.interface, port_number(port))
    stop_listening(port)
    if down_ms:
        down_s = down_ms / 1000
        server.reactor.callLater(down_s, _reopen, server, address, port.factory)


def _reopen(server: BackendServer, address: Listen, factory: Any) -> None:
    server.port = listen(server.reactor, address, factory)


def _exit_at_once() -> NoReturn:
    # Exit handlers and buffers are skipped on purpose: a crash runs none.
    os._exit(CRASH_EXIT_CODE)


def _note_load(server: BackendServer) -> None:
    report = LoadReport(len(server.queue.running), len(server.queue.waiting))
    note_value(server.load, report, server.clock.monotonic_ms())
