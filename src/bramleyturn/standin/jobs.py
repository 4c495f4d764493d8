"""Queue the attempts that a backend server stand-in accepts."""

import heapq
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from bramleyturn.standin.behaviour import Behaviour
from bramleyturn.standin.ledger import LedgerEntry


class JobState(StrEnum):
    """Name the stages in the life of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class Job:
    """Hold one attempt from its arrival to its end."""

    def __init__(self, attempt_id: str, value: Any, request: Request) -> None:
        self.attempt_id = attempt_id
        self.value = value
        self.request = request
        self.idempotency_key = ""
        self.priority = 0
        self.resume_offset = 0
        self.state = JobState.QUEUED
        self.faults = Behaviour()
        self.entry: LedgerEntry | None = None
        self.timer: DelayedCall | None = None
        self.answered: Deferred[bytes | None] = Deferred()
        self.on_end: Callable[[Job], None] = lambda _: None
        self.output: Any = None
        self.tokens: list[str] = []
        self.sent_tokens = 0


class JobQueue:
    """Hold the running and the waiting jobs of one server."""

    def __init__(self, concurrency: int, max_waiting: int) -> None:
        self.concurrency = concurrency
        self.max_waiting = max_waiting
        self.running: dict[str, Job] = {}
        self.waiting: list[tuple[int, int, Job]] = []
        self.arrivals = 0


def has_capacity(queue: JobQueue) -> bool:
    """Return whether one more job can run or wait."""
    free = queue.concurrency - len(queue.running)
    return len(queue.waiting) < queue.max_waiting + max(0, free)


def add_job(queue: JobQueue, job: Job) -> None:
    """Queue ``job`` behind those with a lower or equal priority number."""
    queue.arrivals += 1
    heapq.heappush(queue.waiting, (job.priority, queue.arrivals, job))


def take_job(queue: JobQueue) -> Job | None:
    """Move the next waiting job to the running ones, if there is capacity."""
    if not queue.waiting or len(queue.running) >= queue.concurrency:
        return None
    _, _, job = heapq.heappop(queue.waiting)
    queue.running[job.attempt_id] = job
    job.state = JobState.RUNNING
    return job


def find_job(queue: JobQueue, attempt_id: str) -> Job | None:
    """Return the running or waiting job of an attempt."""
    if attempt_id in queue.running:
        return queue.running[attempt_id]
    for _, _, job in queue.waiting:
        if job.attempt_id == attempt_id:
            return job
    return None


def remove_job(queue: JobQueue, job: Job) -> None:
    """Remove ``job`` from the queue, whether it waits or runs."""
    if queue.running.get(job.attempt_id) is job:
        del queue.running[job.attempt_id]
        return
    queue.waiting = [item for item in queue.waiting if item[2] is not job]
    heapq.heapify(queue.waiting)
