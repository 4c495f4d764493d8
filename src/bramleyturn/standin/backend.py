"""Run attempts as a backend server does: queue, start, end, cancel, crash.

Behaviour that depends on the kind of server is passed in as the function that begins a
started job.
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
from bramleyturn.standin.behaviour import Behaviour, take_answer_faults
from bramleyturn.standin.jobs import (
    Job,
    JobQueue,
    JobState,
    add_job,
    has_capacity,
    remove_job,
    take_job,
)
from bramleyturn.standin.json_http import LEAVING, close_connection
from bramleyturn.standin.lag import LaggedValue, set_value
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
MAX_IDEMPOTENCY_KEYS: Final = 100_000


class LoadReport(NamedTuple):
    """Count the jobs of a server at one instant."""

    running: int
    queued: int


class KeyedRun:
    """Hold the run under one idempotency key and the calls that wait for its output."""

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self.output: Any = None
        self.finished = False
        self.waiting: list[Callable[[Any], None]] = []


KeyedRuns = OrderedDict[str, KeyedRun]


class ServerCounts(TypedDict):
    """Count events that the ledger does not record."""

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
        keyed_runs: KeyedRuns,
        begin: Callable[["BackendServer", Job], None],
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.clock = clock
        self.keyed_runs = keyed_runs
        self.begin = begin
        self.behaviour = Behaviour()
        self.queue = JobQueue(settings.concurrency, settings.queue)
        self.ledger: Ledger = open_ledger(settings.ledger)
        self.load = LaggedValue(settings.load_lag_ms, LoadReport(0, 0))
        self.random = random.Random(settings.name)
        self.counts = ServerCounts(refused=0, never_started=0, repeated_keys=0)
        self.port: Port | None = None
        self.close_all_connections: Callable[[], None] = lambda: None


def refusal_reason(server: BackendServer) -> str | None:
    """Return why the server refuses new work, None if it accepts it."""
    if server.behaviour.leaving:
        return LEAVING
    if server.behaviour.refuse or not has_capacity(server.queue):
        return "busy"
    return None


def submit(server: BackendServer, job: Job) -> Deferred[bytes | None]:
    """Queue ``job``; the result ends the answer, None if it adds no more bytes.

    Cancelling the result, as happens when the connection is lost, cancels the job.
    The exception is a plain service's call that has begun, which runs to its end.
    """
    job.answered = Deferred(lambda _: _on_connection_lost(server, job))
    add_job(server.queue, job)
    start_jobs(server)
    return job.answered


def _on_connection_lost(server: BackendServer, job: Job) -> None:
    plain = server.settings.kind == PoolKind.PLAIN
    if not plain or job.state == JobState.QUEUED:
        end_job(server, job, "cancelled")


def start_jobs(server: BackendServer) -> None:
    """Start waiting jobs while there is free capacity."""
    while (job := take_job(server.queue)) is not None:
        _start(server, job)
    _update_load(server)


def end_job(server: BackendServer, job: Job, state: str) -> None:
    """Record how ``job`` ended and start waiting jobs; do nothing if it has ended."""
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


def complete_answer(job: Job, body: bytes | None) -> None:
    """End the answer of ``job`` with ``body``, unless it has ended already."""
    if not job.answered.called:
        job.answered.callback(body)


def drop_connection(job: Job) -> None:
    """Close the caller's connection instead of ending the answer."""
    close_connection(job.request)


def schedule_step(server: BackendServer, job: Job, delay_ms: float, step: Any) -> None:
    """Schedule the next step of ``job``; the slow factor multiplies the delay."""
    delay_s = delay_ms * server.behaviour.slow_factor / 1000
    job.timer = server.reactor.callLater(delay_s, step, server, job)


def draw_failure(server: BackendServer) -> bool:
    """Return whether the next attempt fails; decrement ``fail_next`` if it is set."""
    behaviour = server.behaviour
    if behaviour.fail_next > 0:
        server.behaviour = behaviour._replace(fail_next=behaviour.fail_next - 1)
        return True
    return server.random.randrange(100) < behaviour.fail_percent


def _start(server: BackendServer, job: Job) -> None:
    job.faults, server.behaviour = take_answer_faults(server.behaviour)
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
    # The marker is compared in JSON form, because the input is searched as JSON.
    return bool(marker) and orjson.dumps(marker)[1:-1] in canonical(value)


def crash(server: BackendServer) -> None:
    """Exit the process at once, or stop only this server if ``crash_server_only``."""
    if not server.behaviour.crash_server_only:
        _exit_at_once()
    for job in list(server.queue.running.values()):
        _crash_job(server, job)
    for _, _, job in list(server.queue.waiting):
        _crash_job(server, job)
    server.close_all_connections()
    server.queue = JobQueue(server.settings.concurrency, server.settings.queue)
    _update_load(server)
    _close_port(server, server.behaviour.crash_down_ms)


def _crash_job(server: BackendServer, job: Job) -> None:
    job.state = JobState.ENDED
    stop_timer(job.timer)
    if job.entry is not None:
        now_ms = server.clock.monotonic_ms()
        record_end(server.ledger, job.entry, "crashed", now_ms)
    job.on_end(job)


def _close_port(server: BackendServer, down_ms: int) -> None:
    """Stop listening for ``down_ms``, permanently if it is 0."""
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
    # os._exit skips exit handlers and buffer flushes, as a real crash does.
    os._exit(CRASH_EXIT_CODE)


def _update_load(server: BackendServer) -> None:
    report = LoadReport(len(server.queue.running), len(server.queue.waiting))
    set_value(server.load, report, server.clock.monotonic_ms())
