"""Plan the calls to the servers of one stage pool.

Load patterns that it answers: a burst of requests for the same stage (pieces of
several requests share a call once no server is idle), a server that turned slow
(work waits for a faster one while that is sooner), and full servers (room for the
results is counted before a call is made).

The order of the requests is the pipeline's (core/pieces/pipeline.py). Every piece may
be made again, so a planner that is wrong or that stands beside another one costs work
and nothing else.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer, BatchLimits
from bramleyturn.core.pieces.model import (
    AskDone,
    MadePiece,
    Piece,
    PieceFailure,
    Release,
    StageAsk,
    StageCall,
)
from bramleyturn.core.pieces.stage_server import (
    DOUBTED_MS,
    StageServer,
    free_at_ms,
    free_bytes,
    is_idle,
    note_full,
    note_pace,
    note_refused,
    note_silent,
    overdue_ms,
)

# A piece that failed this often makes its request fail.
MAX_TRIES: Final = 4
# How much later a result may be made for it to lie where it is used.
OTHER_ZONE_MS_PER_MEGABYTE: Final = 25.0
BYTES_PER_MEGABYTE: Final = 1_000_000
# A request that needs more than this part of all room begins when that much is free.
LARGE_PART: Final = 0.7
# Results this many times smaller than those that wait for room may pass them.
SMALL_FACTOR: Final = 10
# Weight of the newest call in the running mean of the work of a piece.
WORK_WEIGHT: Final = 0.3
MIN_WORK: Final = 0.05
MAX_WORK: Final = 4.0


class AskState:
    """Hold how far the pieces of one ask are.

    ``is_moved`` tells that another planner has taken it over: nothing new is begun
    here. ``awaited`` has the pieces that the planner before this one still has made,
    and until when.
    """

    def __init__(self, ask: StageAsk, now_ms: int) -> None:
        self.ask = ask
        self.heard_ms = now_ms
        self.waiting = list(range(ask.piece_count))
        self.running = 0
        self.made: dict[int, tuple[str, str]] = {}
        self.awaited: dict[int, int] = {}
        self.is_moved = False
        self.tries = 0
        self.served_since_ms = now_ms


class RunningCall:
    """Hold a call in progress and what it was expected to take."""

    def __init__(
        self,
        call: StageCall,
        parts: list[tuple[str, int]],
        sent_ms: int,
        nominal_ms: float,
        result_bytes: tuple[int, ...],
    ) -> None:
        self.call = call
        self.parts = parts
        self.sent_ms = sent_ms
        self.nominal_ms = nominal_ms
        self.result_bytes = result_bytes


class Planner:
    """Hold the asks, the servers and the calls of one pool."""

    def __init__(self, pool: str, limits: BatchLimits) -> None:
        self.pool = pool
        self.limits = limits
        self.servers: dict[str, StageServer] = {}
        self.asks: dict[str, AskState] = {}
        self.done: dict[str, tuple[AskDone, int]] = {}
        self.calls: dict[int, RunningCall] = {}
        self.work: dict[int, float] = {}
        self.next_call_id = 1


class MovedPiece(NamedTuple):
    """Tell the next planner what became of a piece; no handle stands for a failure."""

    pool: str
    ask_id: str
    number: int
    handle: str
    server_id: str
    zone: str


class Refused(NamedTuple):
    """Say why a request was refused: what it waits for, by pool, and when it ends."""

    attempt_id: str
    queue_ms: dict[str, int]
    finish_in_ms: int
    left_ms: int


class Outcome:
    """Collect what a step of the planner asks of its surroundings."""

    def __init__(self) -> None:
        self.calls: list[StageCall] = []
        self.done: list[AskDone] = []
        self.releases: list[Release] = []
        self.moved: list[MovedPiece] = []
        self.refused: list[Refused] = []


def update_servers(planner: Planner, servers: Iterable[BackendServer]) -> None:
    """Take over which servers take new work."""
    by_id = {server.id: server for server in servers}
    for server_id in planner.servers.keys() - by_id.keys():
        del planner.servers[server_id]
    for server_id, server in by_id.items():
        known = planner.servers.get(server_id)
        if known is None or known.server.born_ms != server.born_ms:
            fresh = planner.servers[server_id] = StageServer(server)
            # Another planner may have filled it.
            fresh.needs_report = True
        else:
            known.server = server


def submit(planner: Planner, ask: StageAsk, now_ms: int) -> AskDone | None:
    """Take in an ask, or a repetition of one; return its end if it has ended."""
    if ask.ask_id in planner.done:
        return planner.done[ask.ask_id][0]
    known = planner.asks.get(ask.ask_id)
    if known is not None:
        known.heard_ms = now_ms
        return None
    planner.asks[ask.ask_id] = AskState(ask, now_ms)
    return None


def withdraw(planner: Planner, ask_id: str) -> list[Release]:
    """Drop an ask that nobody waits for; return the results to give up."""
    state = planner.asks.pop(ask_id, None)
    if state is None:
        return []
    return release(planner, [handle for handle, _ in state.made.values()])


def release(planner: Planner, handles: Iterable[str]) -> list[Release]:
    """Give up results; return what their servers must be told.

    Their room counts as taken until the server has confirmed that it is free, since a
    call that overtakes the release would find it full.
    """
    by_server: dict[str, list[str]] = {}
    for handle in handles:
        for server_id, server in planner.servers.items():
            if handle in server.held and handle not in server.releasing:
                server.releasing.add(handle)
                by_server.setdefault(server_id, []).append(handle)
                break
    return [
        Release(server_id, tuple(handles)) for server_id, handles in by_server.items()
    ]


def release_foreign(
    planner: Planner, server_id: str, handles: Iterable[str], size: int
) -> Release | None:
    """Give up results that another planner had made on a server."""
    server = planner.servers.get(server_id)
    if server is None:
        return None
    unknown = tuple(handle for handle in handles if handle not in server.held)
    server.foreign_bytes = max(0, server.foreign_bytes - size * len(unknown))
    return Release(server_id, unknown) if unknown else None


def take_moved(planner: Planner, moved: MovedPiece, now_ms: int) -> Outcome:
    """Take in what became of a piece that the planner before this one had made."""
    outcome = Outcome()
    state = planner.asks.get(moved.ask_id)
    server = planner.servers.get(moved.server_id)
    if moved.handle and server is not None:
        size = state.ask.result_bytes if state is not None else 0
        server.held[moved.handle] = (size, now_ms + planner.limits.keep_ms)
    if state is None or moved.number not in state.awaited:
        return outcome
    del state.awaited[moved.number]
    if not moved.handle:
        state.waiting.append(moved.number)
        return outcome
    state.made[moved.number] = (moved.handle, moved.zone)
    if len(state.made) == state.ask.piece_count:
        _finish(planner, state, outcome, now_ms)
    return outcome


def wait_no_more(planner: Planner, now_ms: int) -> None:
    """Make anew the pieces that the planner before this one did not bring."""
    for state in planner.asks.values():
        overdue = [
            number for number, until_ms in state.awaited.items() if until_ms <= now_ms
        ]
        for number in overdue:
            del state.awaited[number]
            state.waiting.append(number)


def released(planner: Planner, confirmed: Release) -> None:
    """Take in that a server has given results up."""
    server = planner.servers.get(confirmed.server_id)
    if server is None:
        return
    server.full_until_ms = 0
    for handle in confirmed.handles:
        server.held.pop(handle, None)
        server.releasing.discard(handle)


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
    most = int(limits.room_bytes * len(servers) * LARGE_PART)
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


def call_ended(
    planner: Planner, call_id: int, made: list[MadePiece], now_ms: int
) -> Outcome:
    """Take in the answer of a server."""
    outcome = Outcome()
    running = planner.calls.pop(call_id, None)
    if running is None:
        return outcome
    server = planner.servers.get(running.call.server_id)
    if server is not None:
        _free_slot(server, running)
        took_ms = now_ms - running.sent_ms
        if any(piece.failure is None for piece in made):
            _learn_work(planner, server, running, took_ms)
            note_pace(server, running.nominal_ms, took_ms)
    unused: list[str] = []
    for part, piece, size in zip(
        running.parts, made, running.result_bytes, strict=True
    ):
        if piece.failure is None and server is not None:
            until_ms = now_ms + planner.limits.keep_ms
            server.held[piece.handle] = (size, until_ms)
        if not _take(planner, running, part, piece, server, outcome, now_ms):
            unused += [piece.handle] if piece.failure is None else []
    outcome.releases += release(planner, unused)
    return outcome


def call_failed(
    planner: Planner, call_id: int, was_refused: bool, now_ms: int
) -> Outcome:
    """Take in that a call brought no answer. A full server refuses it at once."""
    outcome = Outcome()
    running = planner.calls.pop(call_id, None)
    if running is None:
        return outcome
    server = planner.servers.get(running.call.server_id)
    if server is not None:
        _free_slot(server, running)
        if was_refused:
            note_refused(server, now_ms)
        else:
            took_ms = now_ms - running.sent_ms
            note_silent(server, running.nominal_ms, took_ms)
    for ask_id, number in running.parts:
        state = planner.asks.get(ask_id)
        if state is None:
            continue
        state.running -= 1
        if state.is_moved:
            outcome.moved.append(MovedPiece(planner.pool, ask_id, number, "", "", ""))
            continue
        state.waiting.append(number)
        state.tries += 0 if was_refused else 1
        if state.tries >= MAX_TRIES:
            fail_ask(planner, state, PieceFailure.FAILED, outcome, now_ms)
    return outcome


def piece_ms(planner: Planner, result_bytes: int) -> float:
    """Return the time in which the pool makes one piece while it is busy."""
    limits = planner.limits
    paces = [1 / server.pace for server in _answering(planner)]
    if not paces:
        return limits.call_ms + limits.item_ms
    own_ms = limits.item_ms * _work(planner, result_bytes)
    return (limits.call_ms / limits.batch_items + own_ms) / sum(paces)


def stage_ms(planner: Planner, count: int, result_bytes: int) -> float:
    """Return the nominal time of the pieces of a stage that run side by side."""
    limits = planner.limits
    in_call = min(count, limits.batch_items)
    return limits.call_ms + limits.item_ms * in_call * _work(planner, result_bytes)


def busy_ms(planner: Planner, now_ms: int) -> float:
    """Return for how long the servers are busy with what they have, on average."""
    servers = _answering(planner)
    if not servers:
        return DOUBTED_MS
    return sum(free_at_ms(server, now_ms) - now_ms for server in servers) / len(servers)


def _answering(planner: Planner) -> list[StageServer]:
    """Return the servers that are counted on."""
    return [server for server in planner.servers.values() if not server.is_doubted]


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
    megabytes = ask.result_bytes * count / BYTES_PER_MEGABYTE
    spare_ms = max(0.0, ask.due_ms - now_ms - nominal_ms)
    elsewhere_ms = min(megabytes * OTHER_ZONE_MS_PER_MEGABYTE, spare_ms)
    best: StageServer | None = None
    best_ms = 0.0
    for server in planner.servers.values():
        if free_bytes(server, planner.limits, now_ms) < size:
            continue
        fitting = min(count, free_bytes(server, planner.limits, now_ms) // size)
        end_ms = free_at_ms(server, now_ms) + nominal_ms * server.pace
        if fitting < count:
            # The rest takes another call.
            end_ms += stage_ms(planner, count - fitting, size)
        if ask.near_zone and server.server.zone != ask.near_zone:
            end_ms += elsewhere_ms
        if best is None or end_ms < best_ms:
            best, best_ms = server, end_ms
    return best


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
    work = sum(_work(planner, state.ask.result_bytes) for state, _ in chosen)
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


def _free_slot(server: StageServer, running: RunningCall) -> None:
    if server.call_id == running.call.call_id:
        server.call_id = None
        server.busy_until_ms = 0
        server.reserved_bytes = 0


def _take(
    planner: Planner,
    running: RunningCall,
    part: tuple[str, int],
    piece: MadePiece,
    server: StageServer | None,
    outcome: Outcome,
    now_ms: int,
) -> bool:
    """Take in one piece; return whether its result is wanted."""
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
    else:
        state.tries += 1
    state.waiting.append(number)
    if state.tries >= MAX_TRIES:
        fail_ask(planner, state, PieceFailure.FAILED, outcome, now_ms)
    return True


def _finish(planner: Planner, state: AskState, outcome: Outcome, now_ms: int) -> None:
    made = [state.made[number] for number in range(state.ask.piece_count)]
    handles = tuple(handle for handle, _ in made)
    zones = tuple(zone for _, zone in made)
    _end(planner, AskDone(state.ask.ask_id, handles, zones, None), outcome, now_ms)


def fail_ask(
    planner: Planner,
    state: AskState,
    failure: PieceFailure,
    outcome: Outcome,
    now_ms: int,
    wait_ms: int = 0,
) -> None:
    """End an ask without its results."""
    outcome.releases += release(planner, [handle for handle, _ in state.made.values()])
    done = AskDone(state.ask.ask_id, (), (), failure, wait_ms)
    _end(planner, done, outcome, now_ms)


def _end(planner: Planner, done: AskDone, outcome: Outcome, now_ms: int) -> None:
    planner.asks.pop(done.ask_id, None)
    planner.done[done.ask_id] = (done, now_ms)
    outcome.done.append(done)


def _work(planner: Planner, result_bytes: int) -> float:
    """Return the work of a piece relative to what the configuration says.

    Stages that share a pool differ in it; the size of their results tells them apart.
    """
    return planner.work.get(result_bytes, 1.0)


def _learn_work(
    planner: Planner, server: StageServer, running: RunningCall, took_ms: int
) -> None:
    sizes = set(running.result_bytes)
    limits = planner.limits
    if len(sizes) != 1 or limits.item_ms <= 0 or server.pace <= 0:
        return
    size = running.result_bytes[0]
    item_ms = (took_ms / server.pace - limits.call_ms) / len(running.result_bytes)
    seen = min(MAX_WORK, max(MIN_WORK, item_ms / limits.item_ms))
    known = planner.work.get(size, 1.0)
    planner.work[size] = known + WORK_WEIGHT * (seen - known)
