"""Hand stage planning over to the instance that owns it now.

Load pattern handled here: a rolling restart of the instances under load. Without a
handover, the next owner would repeat every piece in progress and send calls to servers
that are busy or full.
"""

from typing import Final, NamedTuple

from bramleyturn.core.pieces.held_results import add_result, remove_all_but_releasing
from bramleyturn.core.pieces.model import AskDone, StageAsk
from bramleyturn.core.pieces.planner import AskState, Pipeline, Planner
from bramleyturn.core.pieces.stage_server import (
    StageServer,
    forget_report,
    is_silent,
)

# How long after its expected end a piece of the previous planner is waited for.
AWAIT_EXTRA_MS: Final = 300


class HeldResult(NamedTuple):
    """Hold a result stored on a server: its size in bytes and its remaining time."""

    handle: str
    size: int
    left_ms: int


class ServerHandover(NamedTuple):
    """Hold the state of one server, and whether it is suspected to be gone."""

    server_id: str
    busy_ms: int
    pace: float
    held: tuple[HeldResult, ...]
    is_suspected: bool = False


class MadeResult(NamedTuple):
    """Hold a finished piece of an ask."""

    number: int
    handle: str
    zone: str


class AwaitedPiece(NamedTuple):
    """Hold a piece in progress, and how long it may still take."""

    number: int
    left_ms: int


class AskHandover(NamedTuple):
    """Hold an ask, the instance that sent it, and its progress.

    Once ``are_inputs_freed``, a piece that fails can't be made again.
    """

    ask: StageAsk
    origin: str
    made: tuple[MadeResult, ...]
    awaited: tuple[AwaitedPiece, ...]
    are_inputs_freed: bool = False


class Handover(NamedTuple):
    """Hold what the next owner needs to know of one pool."""

    pool: str
    servers: tuple[ServerHandover, ...]
    asks: tuple[AskHandover, ...]


def hand_over(
    pipeline: Pipeline, origins: dict[str, str], now_ms: int
) -> list[Handover]:
    """Return the state that the next owner needs; start nothing new for its asks.

    Only what is new since the last handover is returned: the next owner knows the
    servers better by then.
    """
    handovers = []
    for planner in pipeline.planners.values():
        asks = [state for state in planner.asks.values() if not state.is_moved]
        servers = [
            server_id
            for server_id, server in planner.servers.items()
            if (asks and _is_known(server, now_ms))
            or server.results.by_handle.keys() - server.results.releasing
        ]
        if not servers and not asks:
            continue
        handover = Handover(
            planner.pool,
            tuple(_export_server(planner, server_id, now_ms) for server_id in servers),
            tuple(
                _export_ask(planner, state, origins.get(state.ask.ask_id, ""), now_ms)
                for state in asks
            ),
        )
        handovers.append(handover)
    return handovers


def _is_known(server: StageServer, now_ms: int) -> bool:
    """Return whether the next owner may know less of a server."""
    return server.has_reported or is_silent(server, now_ms)


def take_back(pipeline: Pipeline, now_ms: int) -> int:
    """Resume asks whose handover was not acknowledged; return their number."""
    taken = 0
    for planner in pipeline.planners.values():
        for state in planner.asks.values():
            if not state.is_moved:
                continue
            known = state.made.keys() | _running_numbers(planner, state)
            numbers = range(state.ask.piece_count)
            state.is_moved = False
            state.heard_ms = now_ms
            state.waiting = [number for number in numbers if number not in known]
            taken += 1
    return taken


def take_over(planner: Planner, handover: Handover, now_ms: int) -> list[AskDone]:
    """Continue from the state of the previous owner; return the asks that ended here.

    An ask may have come here before the handover, from an instance that then asked
    another one.
    """
    ended = []
    for given in handover.servers:
        server = planner.servers.get(given.server_id)
        if server is None:
            continue
        if given.is_suspected or not server.has_reported:
            server.needs_report = server.is_suspected = given.is_suspected
        server.foreign_bytes = 0
        server.pace = server.answered_pace = given.pace
        if server.call_id is None:
            server.busy_until_ms = now_ms + given.busy_ms
        for result in given.held:
            until_ms = now_ms + result.left_ms
            add_result(server.results, result.handle, result.size, until_ms)
    for each in handover.asks:
        if each.ask.ask_id in planner.done:
            ended.append(planner.done[each.ask.ask_id][0])
        else:
            _import_ask(planner, each, now_ms)
    return ended


def _export_server(planner: Planner, server_id: str, now_ms: int) -> ServerHandover:
    server = planner.servers[server_id]
    held = tuple(
        HeldResult(handle, kept.size, kept.until_ms - now_ms)
        for handle, kept in server.results.by_handle.items()
        if kept.until_ms > now_ms and handle not in server.results.releasing
    )
    remove_all_but_releasing(server.results)
    busy_ms = max(0, server.busy_until_ms - now_ms)
    is_suspected = server.is_suspected and _is_known(server, now_ms)
    forget_report(server)
    return ServerHandover(server_id, busy_ms, server.answered_pace, held, is_suspected)


def _export_ask(
    planner: Planner, state: AskState, origin: str, now_ms: int
) -> AskHandover:
    state.is_moved = True
    state.moved_ms = now_ms
    state.waiting = []
    awaited = [
        AwaitedPiece(number, max(0, _end_ms(planner, call_id) - now_ms))
        for call_id, running in planner.calls.items()
        for ask_id, number in running.parts
        if ask_id == state.ask.ask_id
    ]
    # An earlier planner has these in progress; its outcome is passed on.
    awaited += [
        AwaitedPiece(number, max(0, until_ms - AWAIT_EXTRA_MS - now_ms))
        for number, until_ms in state.awaited.items()
    ]
    state.awaited = {}
    made = [MadeResult(number, *result) for number, result in state.made.items()]
    return AskHandover(
        state.ask, origin, tuple(made), tuple(awaited), state.are_inputs_freed
    )


def _running_numbers(planner: Planner, state: AskState) -> set[int]:
    return {
        number
        for running in planner.calls.values()
        for ask_id, number in running.parts
        if ask_id == state.ask.ask_id
    }


def _end_ms(planner: Planner, call_id: int) -> int:
    running = planner.calls[call_id]
    return running.sent_ms + running.call.timeout_ms


def _import_ask(planner: Planner, given: AskHandover, now_ms: int) -> None:
    ask = given.ask
    state = planner.asks.get(ask.ask_id)
    if state is None:
        state = planner.asks[ask.ask_id] = AskState(ask, now_ms)
    state.are_inputs_freed |= given.are_inputs_freed
    for made in given.made:
        state.made.setdefault(made.number, (made.handle, made.zone))
    for awaited in given.awaited:
        if awaited.number in state.waiting:
            until_ms = now_ms + awaited.left_ms + AWAIT_EXTRA_MS
            state.awaited[awaited.number] = until_ms
    known = state.made.keys() | state.awaited.keys()
    state.waiting = [number for number in state.waiting if number not in known]
