"""Process the outcome of calls, and end the asks that they complete."""

from collections.abc import Iterable
from typing import Final

from bramleyturn.core.pieces.held_results import add_result
from bramleyturn.core.pieces.model import AskDone, MadePiece, PieceFailure
from bramleyturn.core.pieces.planner import (
    AskState,
    MovedPiece,
    Outcome,
    Planner,
    RunningCall,
    server_of_call,
)
from bramleyturn.core.pieces.releases import release
from bramleyturn.core.pieces.short_space import is_short
from bramleyturn.core.pieces.stage_server import (
    StageServer,
    note_full,
    note_pace,
    note_refused,
    note_unanswered,
)
from bramleyturn.core.pieces.timing import learn_work

# Instances that believe each other to be the owner could pass a piece on forever.
MAX_HOPS: Final = 3
# An ask fails after this many failed calls.
MAX_FAILED_CALLS: Final = 4


def call_ended(
    planner: Planner, call_id: int, made: list[MadePiece], now_ms: int
) -> Outcome:
    """Process the answer of a server."""
    outcome = Outcome()
    closed = _close_call(planner, call_id)
    if closed is None:
        return outcome
    running, server = closed
    if server is not None:
        took_ms = now_ms - running.sent_ms
        if any(piece.failure is None for piece in made):
            learn_work(planner, server, running, took_ms)
            note_pace(server, running.nominal_ms, took_ms)
    unused: list[str] = []
    for part, piece, size in zip(
        running.parts, made, running.result_bytes, strict=True
    ):
        if piece.failure is None and server is not None:
            until_ms = now_ms + planner.limits.result_ttl_ms
            add_result(server.results, piece.handle, size, until_ms)
        if not _accept_piece(planner, running, part, piece, server, outcome, now_ms):
            unused += [piece.handle] if piece.failure is None else []
    failed = [
        ask_id
        for (ask_id, _), piece in zip(running.parts, made, strict=True)
        if piece.failure is PieceFailure.FAILED
    ]
    _count_failed_call(planner, failed, outcome, now_ms)
    outcome.releases += release(planner, unused)
    return outcome


def call_failed(
    planner: Planner, call_id: int, was_refused: bool, now_ms: int
) -> Outcome:
    """Process a call that got no answer, and requeue its pieces.

    ``was_refused`` means that the server refused the call at once because it was full.
    """
    outcome = Outcome()
    closed = _close_call(planner, call_id)
    if closed is None:
        return outcome
    running, server = closed
    if server is not None:
        if was_refused:
            note_refused(server, now_ms)
        else:
            took_ms = now_ms - running.sent_ms
            note_unanswered(server, running.nominal_ms, took_ms)
    for ask_id, number in running.parts:
        state = planner.asks.get(ask_id)
        if state is None:
            continue
        state.running -= 1
        if state.is_moved:
            outcome.moved.append(MovedPiece(planner.pool, ask_id, number, "", "", ""))
            continue
        if number not in state.made:
            state.waiting.append(number)
    if not was_refused:
        failed = [ask_id for ask_id, _ in running.parts]
        _count_failed_call(planner, failed, outcome, now_ms)
    return outcome


def isolate_asks(planner: Planner, ask_ids: Iterable[str]) -> None:
    """Mark asks as suspects, because they were on a server that crashed."""
    for ask_id in ask_ids:
        state = planner.asks.get(ask_id)
        if state is not None:
            state.is_suspect = True


def fail_asks(planner: Planner, ask_ids: Iterable[str], now_ms: int) -> Outcome:
    """End asks that must not be tried again with a failure."""
    outcome = Outcome()
    for ask_id in ask_ids:
        state = planner.asks.get(ask_id)
        if state is not None:
            fail_ask(planner, state, PieceFailure.FAILED, outcome, now_ms)
    return outcome


def forward_moved(planner: Planner, moved: MovedPiece) -> MovedPiece | None:
    """Return a piece for the next planner, None if its ask was not handed over."""
    state = planner.asks.get(moved.ask_id)
    is_here = state is not None and not state.is_moved
    if is_here or moved.ask_id in planner.done or moved.hops >= MAX_HOPS:
        return None
    return moved._replace(hops=moved.hops + 1)


def take_moved(planner: Planner, moved: MovedPiece, now_ms: int) -> Outcome:
    """Process the outcome of a piece that the previous planner had started.

    A result is used even if the piece is not awaited: the ask may have come here before
    the handover, or without it.
    """
    outcome = Outcome()
    state = planner.asks.get(moved.ask_id)
    server = planner.servers.get(moved.server_id)
    if moved.handle and server is not None:
        size = state.ask.result_bytes if state is not None else 0
        until_ms = now_ms + planner.limits.result_ttl_ms
        add_result(server.results, moved.handle, size, until_ms)
    if state is None or moved.number in state.made:
        return outcome
    was_awaited = state.awaited.pop(moved.number, None) is not None
    if not moved.handle:
        if was_awaited:
            state.waiting.append(moved.number)
        return outcome
    if moved.number in state.waiting:
        state.waiting.remove(moved.number)
    state.made[moved.number] = (moved.handle, moved.zone)
    if len(state.made) == state.ask.piece_count:
        _finish(planner, state, outcome, now_ms)
    return outcome


def requeue_overdue_pieces(planner: Planner, now_ms: int) -> None:
    """Requeue the pieces that the previous planner did not deliver in time."""
    for state in planner.asks.values():
        overdue = [
            number for number, until_ms in state.awaited.items() if until_ms <= now_ms
        ]
        for number in overdue:
            del state.awaited[number]
            state.waiting.append(number)


def _close_call(
    planner: Planner, call_id: int
) -> tuple[RunningCall, StageServer | None] | None:
    """Free the server of a call that has ended; return None for an unknown call.

    The server is None if another run of it has begun.
    """
    running = planner.calls.pop(call_id, None)
    if running is None:
        return None
    server = server_of_call(planner, call_id, running.call.server_id)
    if server is not None:
        server.call_id = None
        server.busy_until_ms = 0
        server.reserved_bytes = 0
    return running, server


def _accept_piece(
    planner: Planner,
    running: RunningCall,
    part: tuple[str, int],
    piece: MadePiece,
    server: StageServer | None,
    outcome: Outcome,
    now_ms: int,
) -> bool:
    """Process one piece; return whether its result is needed."""
    ask_id, number = part
    state = planner.asks.get(ask_id)
    if state is None:
        return False
    state.running -= 1
    zone = server.server.zone if server is not None else ""
    if state.is_moved:
        server_id = running.call.server_id
        moved = MovedPiece(planner.pool, ask_id, number, piece.handle, server_id, zone)
        outcome.moved.append(moved)
        return True
    if number in state.made:
        return False
    if piece.failure is None:
        state.made[number] = (piece.handle, zone)
        if len(state.made) == state.ask.piece_count:
            _finish(planner, state, outcome, now_ms)
        return True
    if piece.failure in (PieceFailure.LATE, PieceFailure.INPUT_GONE):
        fail_ask(planner, state, piece.failure, outcome, now_ms)
        return True
    if piece.failure is PieceFailure.NO_ROOM and server is not None:
        note_full(server, now_ms)
    state.waiting.append(number)
    return True


def _count_failed_call(
    planner: Planner, failed: Iterable[str], outcome: Outcome, now_ms: int
) -> None:
    """Count a failed call once for each open ask, however many pieces it had."""
    for ask_id in dict.fromkeys(failed):
        state = planner.asks.get(ask_id)
        if state is None or state.is_moved:
            continue
        state.failed_calls += 1
        if state.failed_calls >= MAX_FAILED_CALLS:
            fail_ask(planner, state, PieceFailure.FAILED, outcome, now_ms)


def _finish(planner: Planner, state: AskState, outcome: Outcome, now_ms: int) -> None:
    made = [state.made[number] for number in range(state.ask.piece_count)]
    handles = tuple(handle for handle, _ in made)
    zones = tuple(zone for _, zone in made)
    done = AskDone(
        ask_id=state.ask.ask_id,
        handles=handles,
        zones=zones,
        failure=None,
        is_space_short=is_short(planner, now_ms),
        engine=state.ask.engine,
    )
    _end(planner, done, outcome, now_ms)


def fail_ask(
    planner: Planner,
    state: AskState,
    failure: PieceFailure,
    outcome: Outcome,
    now_ms: int,
    wait_ms: int = 0,
) -> None:
    """End an ask with a failure, and release the results that it has."""
    outcome.releases += release(planner, [handle for handle, _ in state.made.values()])
    done = AskDone(state.ask.ask_id, (), (), failure, wait_ms)
    _end(planner, done, outcome, now_ms)


def _end(planner: Planner, done: AskDone, outcome: Outcome, now_ms: int) -> None:
    planner.asks.pop(done.ask_id, None)
    planner.done[done.ask_id] = (done, now_ms)
    outcome.done.append(done)
