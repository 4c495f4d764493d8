"""Choose the calls to the servers of one stage pool.

Load patterns handled here: a burst of requests for the same stage (pieces of several
requests are batched into a call once no server is idle), a server that became slow
(work waits for a faster one if that ends sooner), and full servers (space for the
results is reserved before a call is made).

core/pieces/pipeline.py decides the order of the requests. Every piece may safely be
made again, so a planner that is wrong or runs beside another one only wastes work.
"""

from typing import Final

from bramleyturn.core.pieces.model import (
    Piece,
    StageAsk,
    StageCall,
    useful_until_ms,
)
from bramleyturn.core.pieces.planner import AskState, Outcome, Planner, RunningCall
from bramleyturn.core.pieces.stage_server import (
    StageServer,
    call_timeout_ms,
    free_at_ms,
    free_bytes,
    is_idle,
)
from bramleyturn.core.pieces.timing import stage_ms, work_of
from bramleyturn.core.units import BYTES_PER_MEGABYTE

# Delay accepted for each megabyte of inputs or results that stays within a zone.
CROSS_ZONE_MS_PER_MEGABYTE: Final = 25.0
# An ask that needs more than this fraction of the pool's space starts once that
# fraction is free.
LARGE_REQUEST_FRACTION: Final = 0.7
# An ask with results this many times smaller may overtake one that waits for space.
SMALL_RESULT_FACTOR: Final = 10


def is_started(state: AskState) -> bool:
    """Return whether a piece of the ask was started, so that its results take space."""
    return bool(state.made) or state.running > 0 or bool(state.awaited)


def serve_in_order(
    planner: Planner, order: list[AskState], outcome: Outcome, now_ms: int
) -> None:
    """Send waiting pieces to idle servers, the first asks first.

    An ask only starts when there is space for all of its pieces in addition to those
    of started asks. Otherwise the space could fill up with parts of asks, none of
    which can be completed.
    """
    waiting = [state for state in order if state.waiting]
    serve_all(planner, _admit(planner, waiting, now_ms), outcome, now_ms)


def serve_all(
    planner: Planner, order: list[AskState], outcome: Outcome, now_ms: int
) -> None:
    """Send waiting pieces to idle servers, without regard to the space for results."""
    for state in order:
        if state.ask.ask_id in planner.asks:
            _serve(planner, state, order, outcome, now_ms)


def _admit(planner: Planner, waiting: list[AskState], now_ms: int) -> list[AskState]:
    """Return the asks that have started, and the others for which there is space."""
    limits = planner.limits
    servers = planner.servers.values()
    left = sum(max(0, free_bytes(server, limits, now_ms)) for server in servers)
    left -= sum(_needed_bytes(state) for state in waiting if is_started(state))
    cap_bytes = int(
        limits.result_capacity_bytes * len(servers) * LARGE_REQUEST_FRACTION
    )
    blocked_bytes = 0
    admitted = []
    for state in waiting:
        if is_started(state):
            admitted.append(state)
            continue
        size = state.ask.result_bytes
        if blocked_bytes and size * SMALL_RESULT_FACTOR >= blocked_bytes:
            continue
        needed = min(_needed_bytes(state), cap_bytes)
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
    """Send the pieces of an ask to the best server for as long as it is idle."""
    while state.waiting:
        server = _best_server(planner, state, now_ms)
        if server is None or not is_idle(server, now_ms):
            return
        chosen = _choose_pieces(planner, server, state, order, now_ms)
        if not chosen:
            return
        outcome.calls.append(_start_call(planner, server, chosen, now_ms))


def _best_server(planner: Planner, state: AskState, now_ms: int) -> StageServer | None:
    """Return the server on which the ask's next call would end first."""
    ask = state.ask
    size = max(1, ask.result_bytes)
    count = min(len(state.waiting), planner.limits.batch_items)
    nominal_ms = stage_ms(planner, count, ask.result_bytes)
    spare_ms = max(0.0, ask.due_ms - now_ms - nominal_ms)
    best: StageServer | None = None
    best_ms = 0.0
    for server in planner.servers.values():
        available_bytes = free_bytes(server, planner.limits, now_ms)
        if available_bytes < size:
            continue
        fitting = min(count, available_bytes // size)
        end_ms = free_at_ms(server, now_ms) + nominal_ms * server.pace
        if fitting < count:
            # The remaining pieces take another call.
            end_ms += stage_ms(planner, count - fitting, size)
        moved_mb = (
            _cross_zone_bytes(ask, server.server.zone) * count / BYTES_PER_MEGABYTE
        )
        end_ms += min(moved_mb * CROSS_ZONE_MS_PER_MEGABYTE, spare_ms)
        if best is None or end_ms < best_ms:
            best, best_ms = server, end_ms
    return best


def _cross_zone_bytes(ask: StageAsk, zone: str) -> int:
    """Return how many bytes a piece made in ``zone`` sends between zones."""
    moved = sum(size for held_in, size in ask.input_bytes if held_in != zone)
    if ask.near_zone and ask.near_zone != zone:
        moved += ask.result_bytes
    return moved


def _choose_pieces(
    planner: Planner,
    server: StageServer,
    first: AskState,
    order: list[AskState],
    now_ms: int,
) -> list[tuple[AskState, int]]:
    """Return the pieces of a call: those of ``first``, then those of other asks.

    Pieces of other asks lengthen the call, so they only join if there is no idle
    server left for them. A suspect stays alone, so that no other ask is on the server
    if it crashes again.
    """
    available_bytes = free_bytes(server, planner.limits, now_ms)
    items = planner.limits.batch_items
    idle = sum(is_idle(each, now_ms) for each in planner.servers.values()) - 1
    waiting = sum(1 for each in order if each.waiting and each is not first)
    joining = [first]
    if waiting > idle and not first.is_suspect:
        joining += [state for state in order if not state.is_suspect]
    chosen: list[tuple[AskState, int]] = []
    for state in joining:
        while state.waiting and len(chosen) < items:
            if state.ask.result_bytes > available_bytes:
                break
            available_bytes -= state.ask.result_bytes
            chosen.append((state, state.waiting.pop(0)))
    return chosen


def _start_call(
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
        timeout_ms=call_timeout_ms(expected_ms),
    )
    planner.next_call_id += 1
    for state, _ in chosen:
        state.running += 1
        state.last_served_ms = now_ms
    sizes = tuple(state.ask.result_bytes for state, _ in chosen)
    server.call_id = call.call_id
    server.busy_until_ms = now_ms + int(expected_ms)
    server.reserved_bytes = sum(sizes)
    parts = [(state.ask.ask_id, number) for state, number in chosen]
    planner.calls[call.call_id] = RunningCall(call, parts, now_ms, nominal_ms, sizes)
    return call


def _piece(ask: StageAsk, number: int) -> Piece:
    return Piece(
        ask.attempt_id, ask.stage, number, ask.key, ask.inputs, useful_until_ms(ask)
    )
