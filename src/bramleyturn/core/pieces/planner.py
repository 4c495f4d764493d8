"""Hold the asks, the servers and the calls of one stage pool."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer, BatchLimits
from bramleyturn.core.contention.arrival_rates import ArrivalRates
from bramleyturn.core.pieces.model import (
    AskDone,
    Release,
    StageAsk,
    StageCall,
)
from bramleyturn.core.pieces.refused_asks import RefusedAsks
from bramleyturn.core.pieces.stage_server import StageServer
from bramleyturn.core.placement.engine_queues import EngineQueues

# Servers of one pool whose state is kept while they get no work, those of an evacuated
# zone for instance. The oldest ones are forgotten first.
MAX_LEFT_SERVERS: Final = 256


class AskState:
    """Hold the progress of the pieces of one ask.

    ``heard_ms`` is when the ask was last repeated, and ``last_served_ms`` when its last
    call started. ``is_moved`` means that the ask was handed over to another planner, so
    that nothing new starts here. ``awaited`` has the pieces that the previous planner
    still has in progress, and until when they are waited for. The pieces of a suspect,
    an ask that was on a server when it crashed, are not batched with those of others.
    Once ``are_inputs_freed``, a piece that fails can't be made again. ``is_kept`` is
    whether a plan has kept a late request for the time after a burst, and
    ``has_returned`` whether its request was refused before.
    """

    def __init__(self, ask: StageAsk, now_ms: int) -> None:
        self.ask = ask
        self.heard_ms = now_ms
        self.waiting = list(range(ask.piece_count))
        self.running = 0
        self.made: dict[int, tuple[str, str]] = {}
        self.awaited: dict[int, int] = {}
        self.is_moved = False
        self.moved_ms = now_ms
        self.failed_calls = 0
        self.is_suspect = False
        self.are_inputs_freed = False
        self.is_kept = False
        self.has_returned = False
        self.last_served_ms = now_ms


class RunningCall:
    """Hold a call in progress and its nominal time."""

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
    """Hold the asks, the servers and the calls of one pool.

    ``freed`` has results that were released before their request was done with them,
    and when they would have expired. ``left`` has the servers that accept no new work:
    a call may be in progress there, and they may return in the same run.
    """

    def __init__(self, pool: str, limits: BatchLimits) -> None:
        self.pool = pool
        self.limits = limits
        self.servers: dict[str, StageServer] = {}
        self.left: dict[str, StageServer] = {}
        self.asks: dict[str, AskState] = {}
        self.done: dict[str, tuple[AskDone, int]] = {}
        self.calls: dict[int, RunningCall] = {}
        self.work: dict[int, float] = {}
        self.next_call_id = 1
        self.freed: dict[str, int] = {}


class Pipeline:
    """Hold the planners of all stage pools by name.

    ``arriving`` has, by pool, the recently arrived work in milliseconds of the whole
    pool, which decays, and when it was last updated, and ``rates`` has that of the last
    half minute. ``engines`` has what was assigned to the engines that the requests go
    to after their stages.
    """

    def __init__(self) -> None:
        self.planners: dict[str, Planner] = {}
        self.arriving: dict[str, tuple[float, int]] = {}
        self.rates: dict[str, ArrivalRates] = {}
        self.refused = RefusedAsks()
        self.engines = EngineQueues()


class MovedPiece(NamedTuple):
    """Tell the next planner the outcome of a piece; an empty handle is a failure.

    ``hops`` is how often a planner that had handed the ask over passed it on.
    """

    pool: str
    ask_id: str
    number: int
    handle: str
    server_id: str
    zone: str
    hops: int = 0


class Refused(NamedTuple):
    """Explain a refusal: the queue of each pool and the forecast finish."""

    attempt_id: str
    queue_ms: dict[str, int]
    finish_in_ms: int
    left_ms: int


class Outcome:
    """Collect what the caller must send or log after a step of the planner."""

    def __init__(self) -> None:
        self.calls: list[StageCall] = []
        self.done: list[AskDone] = []
        self.releases: list[Release] = []
        self.moved: list[MovedPiece] = []
        self.refused: list[Refused] = []


def update_servers(planner: Planner, servers: Iterable[BackendServer]) -> None:
    """Replace the set of servers that accept new work.

    A server that returns in the same run keeps its call in progress and its results,
    and reports before it gets another call.
    """
    by_id = {server.id: server for server in servers}
    for server_id in planner.servers.keys() - by_id.keys():
        planner.left.pop(server_id, None)
        planner.left[server_id] = planner.servers.pop(server_id)
    for server_id, server in by_id.items():
        known = planner.servers.get(server_id)
        back = planner.left.pop(server_id, None)
        if back is not None and back.server.started_ms == server.started_ms:
            known = planner.servers[server_id] = back
            known.needs_report = known.is_suspected = True
            known.silent_from_ms = None
        if known is None or known.server.started_ms != server.started_ms:
            planner.servers[server_id] = StageServer(server)
        else:
            known.server = server
    while len(planner.left) > MAX_LEFT_SERVERS:
        del planner.left[next(iter(planner.left))]


def server_of_call(
    planner: Planner, call_id: int, server_id: str
) -> StageServer | None:
    """Return the server that a call in progress is on, None if its run is gone."""
    for known in (planner.servers.get(server_id), planner.left.get(server_id)):
        if known is not None and known.call_id == call_id:
            return known
    return None


def submit(planner: Planner, ask: StageAsk, now_ms: int) -> AskDone | None:
    """Add an ask, or record its repetition; return its result if it has ended."""
    if ask.ask_id in planner.done:
        return planner.done[ask.ask_id][0]
    known = planner.asks.get(ask.ask_id)
    if known is not None:
        known.heard_ms = now_ms
        return None
    planner.asks[ask.ask_id] = AskState(ask, now_ms)
    return None
