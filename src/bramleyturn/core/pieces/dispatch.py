"""Choose the calls to the servers of one stage pool.

Load patterns that it answers: a burst of requests for the same stage (pieces of
several requests share a call once no server is idle), a server that turned slow
(work waits for a faster one while that is sooner), and full servers (room for the
results is counted before a call is made).

The order of the requests is the pipeline's (core/pieces/pipeline.py). Every piece may
be made again, so a planner that is wrong or that stands beside another one costs work
and nothing else.
"""

from typing import Final

from bramleyturn.core.pieces.model import Piece, StageAsk, StageCall
from bramleyturn.core.pieces.planner import AskState, Outcome, Planner, RunningCall
from bramleyturn.core.pieces.stage_server import (
    StageServer,
    free_at_ms,
    free_bytes,
    is_idle,
    overdue_ms,
)
from bramleyturn.core.pieces.timing import stage_ms, work_of
from bramleyturn.core.units import BYTES_PER_MEGABYTE

# How much later a piece may be made for its inputs or its result to stay in a zone.
OTHER_ZONE_MS_PER_MEGABYTE: Final = 25.0
# A request that needs more than this part of all room begins when that much is free.
LARGE_PART: Final = 0.7
# Results this many times smaller than those that wait for room may pass them.
SMALL_FACTOR: Final = 10


def is_begun(state: AskState) -> bool:
    """Return whether a piece of the ask was begun, so that its results take room."""
    return bool(state.made) or state.running > 0 or bool(state.awaited)


def serve_in_order(
    planner: Planner, order: list[AskState], outcome: Outcome, now_ms: int
) -> None:
    """Send what waits to idle servers, the first asks first.

    An ask only begins when there is room for all of its pieces beside what has begun.
    Otherwise asks could fill the room with parts, none of which can be completed.
    """
    waiting = [state for state in order if state.waiting]
    serve_all(planner, _with_room(planner, waiting, now_ms), outcome, now_ms)


def serve_all(
    planner: Planner, order: list[AskState], outcome: Outcome, now_ms: int
) -> None:
    """Send what waits to idle servers, whether or not it can be completed."""
    for state in order:
        if state.ask.ask_id in planner.asks:
            _serve(planner, state, order, outcome, now_ms)


def _with_room(
    planner: Planner, waiting: list[AskState], now_ms: int
) -> list[AskState]:
    """Return the asks that have begun, and the others for which there is room."""
    limits = planner.limits
    servers = planner.servers.values()
    left = sum(max(0, free_bytes(server, limits, now_ms)) for server in servers)
    left -= sum(_needed_bytes(state) for state in waiting if is_begun(state))
    most = int(limits.result_capacity_bytes * len(servers) * LARGE_PART)
    blocked_bytes = 0
    admitted = []
    for state in waiting:
        if is_begun(state):
            admitted.append(state)
            continue
        size = state.ask.result_bytes
        if blocked_bytes and size * SMALL_FACTOR >= blocked_bytes:
            continue
        needed = min(_needed_bytes(state), most)
        if needed > left:
            blocked_bytes = size
            continue
        left -= needed
        admitted.append(state)
    return admitted


def _needed_bytes(state: AskState) -> int:
    return len(state.waiting) * state.ask.result_bytes


def _serve(
    planner: Planner,
    state: AskState,
    order: list[AskState],
    outcome: Outcome,
    now_ms: int,
) -> None:
    """Send the pieces of an ask to idle servers for as long as that is best."""
    while state.waiting:
        server = _best_server(planner, state, now_ms)
        if server is None or not is_idle(server, now_ms):
            return
        chosen = _fill(planner, server, state, order, now_ms)
        if not chosen:
            return
        outcome.calls.append(_start(planner, server, chosen, now_ms))


def _best_server(planner: Planner, state: AskState, now_ms: int) -> StageServer | None:
    """Return the server at which the ask's next call would end first."""
    ask = state.ask
    size = max(1, ask.result_bytes)
    count = min(len(state.waiting), planner.limits.batch_items)
    nominal_ms = stage_ms(planner, count, ask.result_bytes)
    spare_ms = max(0.0, ask.due_ms - now_ms - nominal_ms)
    best: StageServer | None = None
    best_ms = 0.0
    for server in planner.servers.values():
        room = free_bytes(server, planner.limits, now_ms)
        if room < size:
            continue
        fitting = min(count, room // size)
        end_ms = free_at_ms(server, now_ms) + nominal_ms * server.pace
        if fitting < count:
            # The rest takes another call.
            end_ms += stage_ms(planner, count - fitting, size)
        moved = _moved_bytes(ask, server.server.zone) * count / BYTES_PER_MEGABYTE
        end_ms += min(moved * OTHER_ZONE_MS_PER_MEGABYTE, spare_ms)
        if best is None or end_ms < best_ms:
            best, best_ms = server, end_ms
    return best


def _moved_bytes(ask: StageAsk, zone: str) -> int:
    """Return what crosses zones for a piece that is made in ``zone``."""
    moved = sum(size for held_in, size in ask.input_bytes if held_in != zone)
    if ask.near_zone and ask.near_zone != zone:
        moved += ask.result_bytes
    return moved


def _fill(
    planner: Planner,
    server: StageServer,
    first: AskState,
    order: list[AskState],
    now_ms: int,
) -> list[tuple[AskState, int]]:
    """Return the pieces of a call: those of ``first``, then of others that wait.

    Pieces of others lengthen the call, so they only join when no idle server is left
    for them.
    """
    room = free_bytes(server, planner.limits, now_ms)
    items = planner.limits.batch_items
    idle = sum(is_idle(each, now_ms) for each in planner.servers.values()) - 1
    waiting = sum(1 for each in order if each.waiting and each is not first)
    joining = [first] if waiting <= idle else [first, *order]
    chosen: list[tuple[AskState, int]] = []
    for state in joining:
        while state.waiting and len(chosen) < items:
            if state.ask.result_bytes > room:
                break
            room -= state.ask.result_bytes
            chosen.append((state, state.waiting.pop(0)))
    return chosen


def _start(
    planner: Planner,
    server: StageServer,
    chosen: list[tuple[AskState, int]],
    now_ms: int,
) -> StageCall:
    limits = planner.limits
    work = sum(work_of(planner, state.ask.result_bytes) for state, _ in chosen)
    nominal_ms = limits.call_ms + limits.item_ms * work
    expected_ms = nominal_ms * server.pace
    call = StageCall(
        call_id=planner.next_call_id,
        server_id=server.server.id,
        pieces=tuple(_piece(state.ask, number) for state, number in chosen),
        timeout_ms=overdue_ms(expected_ms),
    )
    planner.next_call_id += 1
    for state, _ in chosen:
        state.running += 1
        state.served_since_ms = now_ms
    sizes = tuple(state.ask.result_bytes for state, _ in chosen)
    server.call_id = call.call_id
    server.busy_until_ms = now_ms + int(expected_ms)
    server.reserved_bytes = sum(sizes)
    parts = [(state.ask.ask_id, number) for state, number in chosen]
    planner.calls[call.call_id] = RunningCall(call, parts, now_ms, nominal_ms, sizes)
    return call


def _piece(ask: StageAsk, number: int) -> Piece:
    return Piece(
        ask.attempt_id, ask.stage, number, ask.key, ask.inputs, ask.deadline_ms
    )
