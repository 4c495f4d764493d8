"""Admit, queue or refuse requests, with fair queuing between workspaces."""

from collections import OrderedDict
from collections.abc import Iterable
from enum import StrEnum
from heapq import heapify, heappop, heappush
from typing import Final, NamedTuple

from bramleyturn.core.adaptive_limit import (
    AdaptiveLimit,
    adaptive_limit,
    current_limit,
    record_latency,
    set_max_limit,
)
from bramleyturn.core.model import Configuration, Limits, Workspace
from bramleyturn.core.token_bucket import (
    TokenBucket,
    full_after_ms,
    refill,
    take_token,
    token_wait_ms,
)

IDLE_WORKSPACE_MS: Final = 60_000
PRUNED_PER_REQUEST: Final = 2
MEAN_EWMA_GAIN: Final = 0.05
OVERLOAD_RETRY_MS: Final = 1_000
COMPACT_SLACK: Final = 64


class AdmissionRequest(NamedTuple):
    """Ask for admission of one request.

    ``key`` is unique among the requests known to the process. ``expected_ms`` is
    how long it is expected to run, 0 if unknown.
    """

    key: str
    workspace: Workspace
    deadline_at_ms: int
    expected_ms: int


class RefusalReason(StrEnum):
    """Name why a request was refused."""

    DUPLICATE_KEY = "duplicate_key"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    OVERLOADED = "overloaded"


class Admitted(NamedTuple):
    """State that the request may run now."""

    key: str


class Queued(NamedTuple):
    """State that the request is queued behind ``ahead`` others of its workspace."""

    key: str
    ahead: int


class Refused(NamedTuple):
    """State why the request was refused and when to retry."""

    reason: RefusalReason
    retry_after_ms: int


class Waiting(NamedTuple):
    """Hold a queued request."""

    request: AdmissionRequest
    sequence: int


class Running(NamedTuple):
    """Hold an admitted request."""

    workspace: str
    started_ms: int


class WorkspaceState:
    """Hold one workspace's token bucket, running count and queue.

    ``listed_weight`` is its weight while it is in the heap of ready workspaces, else 0.
    """

    def __init__(self, workspace: Workspace, virtual_ms: float, now_ms: int) -> None:
        self.workspace = workspace
        self.bucket = TokenBucket(float(workspace.burst), now_ms)
        self.seen_ms = now_ms
        self.running = 0
        self.queued = 0
        self.virtual_ms = virtual_ms
        self.by_deadline: list[tuple[int, int, str]] = []
        self.listed_weight = 0


class Admission:
    """Hold all running and queued requests and the workspaces seen lately.

    ``ready`` is a heap by virtual time of the workspaces that may start a queued
    request.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.limit: AdaptiveLimit = adaptive_limit(limits.max_running)
        self.running: dict[str, Running] = {}
        self.waiting: dict[str, Waiting] = {}
        self.workspaces: OrderedDict[str, WorkspaceState] = OrderedDict()
        self.ready: list[tuple[float, int, str]] = []
        self.ready_weight = 0
        self.by_latest_start: list[tuple[int, int, str]] = []
        self.virtual_ms = 0.0
        self.mean_ms = 0.0
        self.last_sequence = 0


def admission(limits: Limits) -> Admission:
    """Return an admission with nothing running or queued."""
    return Admission(limits)


def request_admission(
    state: Admission, request: AdmissionRequest, now_ms: int
) -> Admitted | Queued | Refused:
    """Admit, queue or refuse a request.

    A refusal states when to retry; nothing is kept of a refused request.
    """
    if request.key in state.running or request.key in state.waiting:
        return Refused(RefusalReason.DUPLICATE_KEY, 0)
    if _latest_start_ms(request) < now_ms or request.deadline_at_ms <= now_ms:
        return Refused(RefusalReason.DEADLINE_TOO_SHORT, 0)
    workspace = _workspace_state(state, request.workspace, now_ms)
    rate_per_s = workspace.workspace.rate_per_s
    refill(workspace.bucket, rate_per_s, workspace.workspace.burst, now_ms)
    retry_after_ms = token_wait_ms(workspace.bucket, rate_per_s)
    if retry_after_ms > 0:
        return Refused(RefusalReason.RATE_LIMITED, retry_after_ms)
    if _has_free_slot(state) and _below_concurrency(workspace) and not workspace.queued:
        take_token(workspace.bucket)
        _run(state, workspace, request, now_ms)
        return Admitted(request.key)
    refused = _queue_refusal(state, workspace, request, now_ms)
    if refused is not None:
        return refused
    take_token(workspace.bucket)
    ahead = workspace.queued
    _enqueue(state, workspace, request)
    return Queued(request.key, ahead)


def release(state: Admission, key: str, now_ms: int) -> tuple[str, ...]:
    """Record that an admitted request ended; return the keys admitted as a result."""
    running = state.running.get(key)
    if running is None:
        return ()
    elapsed_ms = max(0, now_ms - running.started_ms)
    gain = MEAN_EWMA_GAIN if state.mean_ms else 1.0
    state.mean_ms += (elapsed_ms - state.mean_ms) * gain
    record_latency(state.limit, elapsed_ms, len(state.running))
    _stop_running(state, key, running)
    return _admit_waiting(state, now_ms)


def leave(state: Admission, key: str, now_ms: int) -> tuple[str, ...]:
    """Remove a request whose caller is gone; return the keys admitted as a result."""
    running = state.running.get(key)
    if running is not None:
        _stop_running(state, key, running)
        return _admit_waiting(state, now_ms)
    if key in state.waiting:
        _forget_waiting(state, key)
    return ()


def expire_queued(state: Admission, now_ms: int) -> tuple[str, ...]:
    """Remove queued requests that can no longer finish in time; return their keys."""
    late: list[str] = []
    while state.by_latest_start and state.by_latest_start[0][0] < now_ms:
        _, sequence, key = heappop(state.by_latest_start)
        waiting = state.waiting.get(key)
        if waiting is None or waiting.sequence != sequence:
            continue
        _forget_waiting(state, key)
        late.append(key)
    return tuple(late)


def next_expiry_ms(state: Admission) -> int | None:
    """Return when ``expire_queued`` is to be called next, None if nothing is queued."""
    while state.by_latest_start:
        latest_start_ms, sequence, key = state.by_latest_start[0]
        waiting = state.waiting.get(key)
        if waiting is not None and waiting.sequence == sequence:
            return latest_start_ms + 1
        heappop(state.by_latest_start)
    return None


def update_limits(state: Admission, configuration: Configuration) -> None:
    """Apply the limits of a configuration.

    Queued requests that the new limits allow are admitted by the next release.
    """
    state.limits = configuration.limits
    set_max_limit(state.limit, configuration.limits.max_running)
    for name, workspace in state.workspaces.items():
        configured = configuration.workspaces.get(name)
        if configured is not None:
            _change_workspace(state, workspace, configured)


def _latest_start_ms(request: AdmissionRequest) -> int:
    return request.deadline_at_ms - request.expected_ms


def _workspace_state(
    state: Admission, workspace: Workspace, now_ms: int
) -> WorkspaceState:
    known = state.workspaces.get(workspace.name)
    if known is None:
        known = WorkspaceState(workspace, state.virtual_ms, now_ms)
        state.workspaces[workspace.name] = known
    if known.workspace != workspace:
        _change_workspace(state, known, workspace)
    known.seen_ms = now_ms
    state.workspaces.move_to_end(workspace.name)
    _prune_workspaces(state, now_ms)
    return known


def _prune_workspaces(state: Admission, now_ms: int) -> None:
    for _ in range(PRUNED_PER_REQUEST):
        name, oldest = next(iter(state.workspaces.items()))
        if now_ms - oldest.seen_ms < _retention_ms(oldest.workspace):
            return
        if oldest.running or oldest.queued or oldest.listed_weight:
            state.workspaces.move_to_end(name)
            oldest.seen_ms = now_ms
            continue
        del state.workspaces[name]


def _retention_ms(workspace: Workspace) -> int:
    # A bucket may only be forgotten once it is full again.
    refill_ms = full_after_ms(workspace.rate_per_s, workspace.burst)
    return max(IDLE_WORKSPACE_MS, refill_ms)


def _change_workspace(
    state: Admission, known: WorkspaceState, workspace: Workspace
) -> None:
    known.workspace = workspace
    known.bucket.tokens = min(known.bucket.tokens, float(workspace.burst))
    _push_if_ready(state, known)


def _has_free_slot(state: Admission) -> bool:
    return len(state.running) < current_limit(state.limit)


def _below_concurrency(workspace: WorkspaceState) -> bool:
    return workspace.running < workspace.workspace.concurrency


def _run(
    state: Admission, workspace: WorkspaceState, request: AdmissionRequest, now_ms: int
) -> None:
    workspace.running += 1
    state.running[request.key] = Running(workspace.workspace.name, now_ms)
    start_ms = max(workspace.virtual_ms, state.virtual_ms)
    cost_ms = request.expected_ms or state.mean_ms or 1.0
    workspace.virtual_ms = start_ms + cost_ms / max(1, workspace.workspace.weight)


def _queue_refusal(
    state: Admission, workspace: WorkspaceState, request: AdmissionRequest, now_ms: int
) -> Refused | None:
    # Each workspace may queue at most as many requests as there are free slots in
    # the queue, which always leaves slots for a workspace that comes later.
    free = state.limits.max_queued - len(state.waiting)
    wait_ms = _wait_ms(state, workspace)
    if workspace.queued >= free:
        return Refused(RefusalReason.QUEUE_FULL, max(OVERLOAD_RETRY_MS, wait_ms))
    if now_ms + wait_ms > _latest_start_ms(request):
        return Refused(RefusalReason.OVERLOADED, max(OVERLOAD_RETRY_MS, wait_ms))
    return None


def _wait_ms(state: Admission, workspace: WorkspaceState) -> int:
    weight = max(1, workspace.workspace.weight)
    weights = state.ready_weight - workspace.listed_weight + weight
    slots = current_limit(state.limit) * weight / weights
    slots = max(1.0, min(slots, float(workspace.workspace.concurrency)))
    return int(workspace.queued * state.mean_ms / slots)


def _enqueue(
    state: Admission, workspace: WorkspaceState, request: AdmissionRequest
) -> None:
    state.last_sequence += 1
    state.waiting[request.key] = Waiting(request, state.last_sequence)
    entry = (request.deadline_at_ms, state.last_sequence, request.key)
    heappush(workspace.by_deadline, entry)
    latest = (_latest_start_ms(request), state.last_sequence, request.key)
    heappush(state.by_latest_start, latest)
    workspace.queued += 1
    _push_if_ready(state, workspace)


def _push_if_ready(state: Admission, workspace: WorkspaceState) -> None:
    if workspace.listed_weight or not workspace.queued:
        return
    if not _below_concurrency(workspace):
        return
    workspace.listed_weight = max(1, workspace.workspace.weight)
    state.ready_weight += workspace.listed_weight
    workspace.virtual_ms = max(workspace.virtual_ms, state.virtual_ms)
    state.last_sequence += 1
    entry = (workspace.virtual_ms, state.last_sequence, workspace.workspace.name)
    heappush(state.ready, entry)


def _stop_running(state: Admission, key: str, running: Running) -> None:
    del state.running[key]
    workspace = state.workspaces[running.workspace]
    workspace.running -= 1
    _push_if_ready(state, workspace)


def _forget_waiting(state: Admission, key: str) -> None:
    waiting = state.waiting.pop(key)
    workspace = state.workspaces[waiting.request.workspace.name]
    workspace.queued -= 1
    if _mostly_stale(len(workspace.by_deadline), workspace.queued):
        workspace.by_deadline = _live(state, workspace.by_deadline)
    if _mostly_stale(len(state.by_latest_start), len(state.waiting)):
        state.by_latest_start = _live(state, state.by_latest_start)


def _mostly_stale(entries: int, live: int) -> bool:
    return entries > 2 * live + COMPACT_SLACK


def _live(
    state: Admission, entries: Iterable[tuple[int, int, str]]
) -> list[tuple[int, int, str]]:
    kept = [entry for entry in entries if _is_live(state, entry)]
    heapify(kept)
    return kept


def _is_live(state: Admission, entry: tuple[int, int, str]) -> bool:
    waiting = state.waiting.get(entry[2])
    return waiting is not None and waiting.sequence == entry[1]


def _admit_waiting(state: Admission, now_ms: int) -> tuple[str, ...]:
    admitted: list[str] = []
    while state.ready and _has_free_slot(state):
        virtual_ms, _, name = heappop(state.ready)
        workspace = state.workspaces[name]
        state.ready_weight -= workspace.listed_weight
        workspace.listed_weight = 0
        state.virtual_ms = max(state.virtual_ms, virtual_ms)
        if not _below_concurrency(workspace):
            continue
        request = _earliest_feasible(state, workspace, now_ms)
        if request is None:
            continue
        _forget_waiting(state, request.key)
        _run(state, workspace, request, now_ms)
        admitted.append(request.key)
        _push_if_ready(state, workspace)
    return tuple(admitted)


def _earliest_feasible(
    state: Admission, workspace: WorkspaceState, now_ms: int
) -> AdmissionRequest | None:
    while workspace.by_deadline:
        entry = heappop(workspace.by_deadline)
        if not _is_live(state, entry):
            continue
        request = state.waiting[entry[2]].request
        if _latest_start_ms(request) >= now_ms:
            return request
        # An expired request stays in ``waiting`` until expire_queued reports it.
    return None
