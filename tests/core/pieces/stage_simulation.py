"""Simulate stages in virtual time: arrivals, servers at work, space for results."""

import heapq
from collections.abc import Callable, Container, Iterable
from functools import partial
from random import Random
from typing import NamedTuple

from bramleyturn.core.catalog.model import BackendServer, BatchLimits
from bramleyturn.core.pieces.call_results import call_ended, call_failed, fail_ask
from bramleyturn.core.pieces.dispatch import serve_all
from bramleyturn.core.pieces.model import (
    AskDone,
    LaterStage,
    MadePiece,
    Piece,
    PieceFailure,
    Release,
    StageAsk,
    StageCall,
)
from bramleyturn.core.pieces.pipeline import reports_wanted, take_ask
from bramleyturn.core.pieces.planner import Outcome, Pipeline, Planner, update_servers
from bramleyturn.core.pieces.releases import confirm_release, release
from bramleyturn.core.pieces.short_space import FETCH_MS, drop_freed, release_fetched
from bramleyturn.core.pieces.stage_server import (
    StageServer,
    note_report,
    note_report_asked,
)

TICK_MS = 60
# Round trips of a call to a server and of an ask to the planner.
CALL_LATENCY_MS = 4
# A server has fetched the inputs of a call after this time.
FETCHED_MS = 30
ASK_LATENCY_MS = 3
Policy = Callable[[Pipeline, int], dict[str, Outcome]]


class StageNeed(NamedTuple):
    """Hold one stage of a kind of request; each needs the results of the one before."""

    pool: str
    piece_count: int
    result_bytes: int


class RequestKind(NamedTuple):
    """Hold a kind of request: its stages, times, urgency and worth.

    ``patience_ms`` is how long its callers wait for a beginning, 0 until the deadline.
    """

    name: str
    stages: tuple[StageNeed, ...]
    aim_ms: int
    deadline_ms: int
    urgency: int
    worth: float
    run_ms: int
    patience_ms: int = 0


class Arrival(NamedTuple):
    """Hold when a request of a kind arrives."""

    at_ms: int
    kind: RequestKind


class Job:
    """Hold the progress of one simulated request.

    ``attempt`` is how often its caller has come back, and ``sent_ms`` when last.
    """

    def __init__(self, name: str, arrival: Arrival) -> None:
        self.name = name
        self.kind = arrival.kind
        self.at_ms = arrival.at_ms
        self.stage = 0
        self.handles: tuple[str, ...] = ()
        self.attempt = 0
        self.sent_ms = arrival.at_ms
        self.ended_ms: int | None = None
        self.refused_after_ms: int | None = None

    @property
    def deadline_ms(self) -> int:
        """Return when the caller gives its request up."""
        return self.at_ms + self.kind.deadline_ms


class StageSimulation:
    """Hold the event queue, the pipeline under test and the jobs.

    ``slow`` has the factor by which a server is slower, ``unresponsive`` the servers
    that do not answer, and ``kept`` when each result expires. The answers of the calls
    in ``lost_calls``, counted from 1, are lost on their way.
    """

    def __init__(
        self, limits: dict[str, BatchLimits], servers: int, policy: Policy
    ) -> None:
        self.now_ms = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.counter = 0
        self.policy = policy
        self.pipeline = Pipeline()
        self.jobs: dict[str, Job] = {}
        self.kept: dict[str, int] = {}
        self.slow: dict[str, float] = {}
        self.unresponsive: set[str] = set()
        self.lost_calls: Container[int] = ()
        self.call_count = 0
        self.unused_pieces = 0
        self.missed: set[Piece] = set()
        for pool, limit in limits.items():
            planner = Planner(pool, limit)
            servers_of_pool = [pool_server(pool, place) for place in range(servers)]
            update_servers(planner, servers_of_pool)
            self.pipeline.planners[pool] = planner

    def at(self, at_ms: int, what: Callable[[], None]) -> None:
        """Schedule an event."""
        self.counter += 1
        heapq.heappush(self.events, (at_ms, self.counter, what))

    def simulate(self, arrivals: Iterable[Arrival], until_ms: int) -> "StageSimulation":
        """Simulate all arrivals and the events that they cause."""
        for number, arrival in enumerate(arrivals):
            job = Job(f"r{number}", arrival)
            self.jobs[job.name] = job
            self.at(arrival.at_ms, partial(self.ask, job))
        for at_ms in range(0, until_ms, TICK_MS):
            self.at(at_ms, self.run)
        while self.events and self.events[0][0] <= until_ms:
            at_ms, _, what = heapq.heappop(self.events)
            self.now_ms = at_ms
            what()
        return self

    def ask(self, job: Job) -> None:
        """Submit the ask for the next stage of a job."""
        needs = job.kind.stages
        need = needs[job.stage]
        ask = StageAsk(
            ask_id=f"{job.name}.{job.attempt}.{job.stage}",
            pool=need.pool,
            attempt_id=f"{job.name}.{job.attempt}",
            stage=job.stage,
            piece_count=need.piece_count,
            key=job.name,
            inputs=job.handles,
            result_bytes=need.result_bytes,
            due_ms=self.due_ms(job),
            deadline_ms=job.deadline_ms,
            urgency=job.kind.urgency,
            near_zone="",
            has_started=job.stage > 0,
            later=tuple(LaterStage(*later) for later in needs[job.stage + 1 :]),
            fingerprint=job.name,
            is_only_reader=True,
            given_up_ms=(
                job.sent_ms + job.kind.patience_ms - job.kind.run_ms
                if job.kind.patience_ms
                else None
            ),
        )
        take_ask(self.pipeline, ask, self.now_ms)
        self.run()

    def due_ms(self, job: Job) -> int:
        """Return when the stages of a request must be done, as its instance sees it."""
        return job.sent_ms + job.kind.aim_ms - job.kind.run_ms

    def run(self) -> None:
        """Run the policy and carry out its outcomes."""
        for planner in self.pipeline.planners.values():
            for state in planner.asks.values():
                state.heard_ms = self.now_ms
        for pool, outcome in self.policy(self.pipeline, self.now_ms).items():
            self.carry_out(self.pipeline.planners[pool], outcome)
        for pool, releases in release_fetched(self.pipeline, self.now_ms).items():
            self.confirm(self.pipeline.planners[pool], releases)
        for planner, server in reports_wanted(self.pipeline, self.now_ms):
            note_report_asked(server, self.now_ms)
            if server.server.id not in self.unresponsive:
                reported = partial(self.report, planner, server)
                self.at(self.now_ms + CALL_LATENCY_MS, reported)

    def report(self, planner: Planner, server: StageServer) -> None:
        """Answer a request for a server's free space."""
        free_bytes = planner.limits.result_capacity_bytes - server.results.total_bytes
        note_report(server, planner.limits, free_bytes, self.now_ms)
        self.run()

    def carry_out(self, planner: Planner, outcome: Outcome) -> None:
        """Make the calls of an outcome and end its asks."""
        self.confirm(planner, outcome.releases)
        for ordered in outcome.calls:
            self.call(planner, ordered)
        for done in outcome.done:
            self.done(done)

    def call(self, planner: Planner, ordered: StageCall) -> None:
        """Start a call on a server."""
        self.call_count += 1
        self.at(self.now_ms + FETCHED_MS, lambda: self.fetch(ordered))
        is_lost = self.call_count in self.lost_calls
        if is_lost or ordered.server_id in self.unresponsive:
            give_up_ms = self.now_ms + ordered.timeout_ms
            self.at(give_up_ms, lambda: self.lost(planner, ordered))
            return
        work_ms = planner.limits.call_ms
        work_ms += planner.limits.item_ms * len(ordered.pieces)
        took_ms = CALL_LATENCY_MS + int(work_ms * self.slow.get(ordered.server_id, 1.0))
        if took_ms > ordered.timeout_ms:
            give_up_ms = self.now_ms + ordered.timeout_ms
            self.at(give_up_ms, lambda: self.lost(planner, ordered))
            return
        self.at(self.now_ms + took_ms, lambda: self.answer(planner, ordered))

    def fetch(self, ordered: StageCall) -> None:
        """Fetch the inputs of a call, and note the pieces that lack one."""
        for piece in ordered.pieces:
            if any(self.kept.get(handle, 0) < self.now_ms for handle in piece.inputs):
                self.missed.add(piece)

    def lost(self, planner: Planner, ordered: StageCall) -> None:
        """End a call without an answer."""
        outcome = call_failed(planner, ordered.call_id, False, self.now_ms)
        self.carry_out(planner, outcome)
        self.run()

    def answer(self, planner: Planner, ordered: StageCall) -> None:
        """Answer a call; its results expire after the configured time."""
        made = []
        for piece in ordered.pieces:
            if piece in self.missed:
                self.missed.discard(piece)
                made.append(MadePiece("", PieceFailure.INPUT_GONE))
                continue
            handle = (
                f"{ordered.server_id}/{piece.attempt_id}.{piece.stage}.{piece.number}"
            )
            self.kept[handle] = self.now_ms + planner.limits.result_ttl_ms
            made.append(MadePiece(handle, None))
        outcome = call_ended(planner, ordered.call_id, made, self.now_ms)
        self.carry_out(planner, outcome)
        self.run()

    def done(self, done: AskDone) -> None:
        """Continue a job whose stage has ended."""
        job = self.jobs[done.ask_id.partition(".")[0]]
        before = job.handles
        if done.failure is not None:
            job.refused_after_ms = self.now_ms - job.at_ms
            self.release(before)
            return
        job.handles = done.handles
        job.stage += 1
        self.release(before)
        if job.stage < len(job.kind.stages):
            self.at(self.now_ms + ASK_LATENCY_MS, lambda: self.ask(job))
            return
        end_ms = self.now_ms + job.kind.run_ms
        self.at(end_ms, lambda: self.finish(job, end_ms))
        if done.is_space_short:
            self.at(self.now_ms + FETCH_MS, lambda: self.release(done.handles))

    def finish(self, job: Job, end_ms: int) -> None:
        """End a job and release its results."""
        job.ended_ms = end_ms
        self.release(job.handles)
        self.run()

    def release(self, handles: tuple[str, ...]) -> None:
        """Release results and confirm it at once."""
        for planner in self.pipeline.planners.values():
            left = drop_freed(planner, list(handles), self.now_ms)
            self.confirm(planner, release(planner, left))

    def confirm(self, planner: Planner, releases: Iterable[Release]) -> None:
        """Free the space of results, which are gone then."""
        for ordered in releases:
            confirm_release(planner, ordered)
            for handle in ordered.handles:
                self.kept.pop(handle, None)

    def worth_in_time(self, kind: str = "") -> float:
        """Return the fraction of the worth that was served in time."""
        jobs = [job for job in self.jobs.values() if kind in ("", job.kind.name)]
        owed = sum(job.kind.worth for job in jobs)
        served = sum(
            job.kind.worth
            for job in jobs
            if job.ended_ms is not None and job.ended_ms - job.at_ms <= job.kind.aim_ms
        )
        return served / owed if owed else 1.0

    def answered(self, kind: str = "") -> float:
        """Return the fraction of the requests that was answered."""
        jobs = [job for job in self.jobs.values() if kind in ("", job.kind.name)]
        return sum(job.ended_ms is not None for job in jobs) / max(1, len(jobs))

    def refusals_ms(self) -> list[int]:
        """Return after how long each refused request was refused, sorted."""
        return sorted(
            job.refused_after_ms
            for job in self.jobs.values()
            if job.refused_after_ms is not None
        )


def first_come_first_served(pipeline: Pipeline, now_ms: int) -> dict[str, Outcome]:
    """Plan as a baseline: first come, first served; refuse only after the deadline."""
    outcomes = {}
    for name, planner in pipeline.planners.items():
        outcome = Outcome()
        for state in list(planner.asks.values()):
            if now_ms > state.ask.deadline_ms:
                fail_ask(planner, state, PieceFailure.LATE, outcome, now_ms)
        order = sorted(planner.asks.values(), key=lambda state: state.last_served_ms)
        serve_all(planner, order, outcome, now_ms)
        outcomes[name] = outcome
    return outcomes


def poisson(
    kind: RequestKind, per_s: float, from_ms: int, until_ms: int, random: Random
) -> list[Arrival]:
    """Return Poisson arrivals of a kind at a mean rate."""
    arrivals: list[Arrival] = []
    at_ms = float(from_ms)
    while True:
        at_ms += random.expovariate(per_s) * 1_000
        if at_ms >= until_ms:
            return arrivals
        arrivals.append(Arrival(int(at_ms), kind))


def pool_server(pool: str, place: int) -> BackendServer:
    """Return a server of a pool."""
    return BackendServer(
        id=f"{pool}-{place}",
        pool=pool,
        host="127.0.0.1",
        port=1 + place,
        zone=f"zone-{place}",
        version="v1",
        slots=1,
        is_leaving=False,
        warmup_left_ms=0,
        started_ms=0,
    )
