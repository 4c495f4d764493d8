"""Simulate engines that read prompts with shared parts, in virtual time."""

import heapq
from collections.abc import Callable, Mapping
from random import Random
from types import MappingProxyType
from typing import NamedTuple

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.catalog.prompt import PromptPart, shared_prefix
from bramleyturn.core.placement.choice import (
    LoadTracker,
    choose_by_load,
    choose_by_prefix,
    engine_need,
    note_ended,
    note_report,
    note_sent,
)
from bramleyturn.core.placement.engine_queues import (
    EngineQueues,
    assign_engine,
    note_late_engine,
    report_after_ms,
)

ENTRIES = 10
ENGINES = 5
# How fast an engine reads prompts, and how long it writes an output.
TOKENS_PER_MS = 60.0
OUTPUT_MS = 900
# What instances expect of the first event of a prompt.
EXPECTED_MS = 280
Choice = Callable[
    [list[BackendServer], "Request", LoadTracker, Random, int], BackendServer | None
]


class Request(NamedTuple):
    """Hold a request: its arrival time, its entry and its prompt."""

    at_ms: int
    entry: int
    prompt: tuple[PromptPart, ...]


class Engine:
    """Hold the cached parts, the end of the reading queue and the open requests."""

    def __init__(self) -> None:
        self.kept: set[str] = set()
        self.free_ms = 0.0
        self.requests = 0


def engine_server(place: int) -> BackendServer:
    """Return the registered entry of an engine."""
    return BackendServer(
        f"e{place}", "drafts", "10.0.0.1", 80 + place, "z", "v", 64, False, 0, 0
    )


def requests(
    seed: int,
    per_s: float,
    subjects: int,
    hot_part: float = 0.0,
    entries: int = ENTRIES,
) -> list[Request]:
    """Return half a minute of requests about subjects; ``hot_part`` go to the first."""
    random = Random(seed)
    made = []
    at_ms = 0.0
    for number in range(int(30 * per_s)):
        at_ms += random.expovariate(per_s) * 1_000
        is_hot = random.random() < hot_part
        subject = 0 if is_hot else random.randrange(subjects)
        own = int(3_700 * random.lognormvariate(-0.6, 1.1))
        prompt = (PromptPart(f"s{subject}", 13_300), PromptPart(f"own{number}", own))
        made.append(Request(int(at_ms), random.randrange(entries), prompt))
    return made


def first_event_times_ms(
    requests_sent: list[Request],
    choose: Choice,
    engine_count: int = ENGINES,
    slow: Mapping[int, float] = MappingProxyType({}),
    report: Callable[[str, int, int], None] | None = None,
) -> list[int]:
    """Return the time to first event of each request.

    ``slow`` has the factor by which an engine is slower. ``report`` is told which one
    has no first event after some time, how late it is and when, and again with the
    first event.
    """
    servers = [engine_server(place) for place in range(engine_count)]
    engines = [Engine() for _ in servers]
    entries = max(request.entry for request in requests_sent) + 1
    trackers = [LoadTracker() for _ in range(entries)]
    random = Random(1)
    ends: list[tuple[float, int, int]] = []
    late: list[tuple[int, str, int]] = []
    times = []
    for request in requests_sent:
        while report is not None and late and late[0][0] <= request.at_ms:
            at_ms, server_id, late_ms = heapq.heappop(late)
            report(server_id, late_ms, at_ms)
        while ends and ends[0][0] <= request.at_ms:
            _, entry, place = heapq.heappop(ends)
            engines[place].requests -= 1
            note_ended(trackers[entry], servers[place].id)
        tracker = trackers[request.entry]
        chosen = choose(servers, request, tracker, random, request.at_ms)
        assert chosen is not None
        place = servers.index(chosen)
        engine = engines[place]
        note_report(tracker, chosen.id, engine.requests, request.at_ms)
        note_sent(tracker, chosen.id)
        engine.requests += 1
        tokens = request.prompt[-1].tokens + sum(
            part.tokens
            for part in shared_prefix(request.prompt)
            if part.id not in engine.kept
        )
        engine.kept.update(part.id for part in request.prompt)
        begin_ms = max(float(request.at_ms), engine.free_ms)
        engine.free_ms = begin_ms + tokens / TOKENS_PER_MS * slow.get(place, 1.0)
        times.append(int(engine.free_ms - request.at_ms))
        if times[-1] > report_after_ms(EXPECTED_MS):
            for waited_ms in (report_after_ms(EXPECTED_MS), times[-1]):
                known = (request.at_ms + waited_ms, chosen.id, waited_ms - EXPECTED_MS)
                heapq.heappush(late, known)
        heapq.heappush(ends, (engine.free_ms + OUTPUT_MS, request.entry, place))
    return times


def by_reading_cost(
    servers: list[BackendServer],
    request: Request,
    tracker: LoadTracker,
    random: Random,
    now_ms: int,
) -> BackendServer | None:
    """Choose by prefix affinity and load, as entries do."""
    return choose_by_prefix(servers, request.prompt, tracker, random, now_ms)


def by_common_queues(queues: EngineQueues | None = None) -> Choice:
    """Return a choice as the owner of the stages makes it for all entries."""
    queues = queues or EngineQueues()

    def choose(
        servers: list[BackendServer],
        request: Request,
        _tracker: LoadTracker,
        random: Random,
        now_ms: int,
    ) -> BackendServer | None:
        need = engine_need(servers, request.prompt, random)
        option = assign_engine(queues, request.prompt[-1].id, need, now_ms)
        by_id = {server.id: server for server in servers}
        return by_id[option.server_id] if option is not None else None

    return choose


def late_report(queues: EngineQueues) -> Callable[[str, int, int], None]:
    """Return what the owner of the stages does with the report of a late engine."""
    return lambda server_id, late_ms, at_ms: note_late_engine(
        queues, server_id, late_ms, at_ms
    )


def by_least_load(
    servers: list[BackendServer],
    _request: Request,
    tracker: LoadTracker,
    random: Random,
    now_ms: int,
) -> BackendServer | None:
    """Choose by load alone."""
    return choose_by_load(servers, tracker, random, now_ms)


def by_prefix_alone(
    servers: list[BackendServer],
    request: Request,
    _tracker: LoadTracker,
    random: Random,
    now_ms: int,
) -> BackendServer | None:
    """Choose the engine that caches the prefix, whatever its load."""
    return by_reading_cost(servers, request, LoadTracker(), random, now_ms)
