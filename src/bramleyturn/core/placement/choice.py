"""Choose the server of a request by load and prefix affinity.

Load patterns handled here: many requests that share a long prompt prefix (they go to
one engine, which reads the prefix once), one prefix that gets much of the traffic (its
requests go elsewhere once waiting for its engine costs more than reading the prefix
again), and servers that differ in speed or report load caused by other instances.
"""

from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.balance.choice import ExpectedLoad
from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.catalog.prompt import PromptPart, own_tokens, shared_prefix
from bramleyturn.core.placement.engine_queues import (
    MAX_READ_MS,
    EngineNeed,
    EngineOption,
)
from bramleyturn.core.placement.health import HealthTracker, is_avoided
from bramleyturn.core.short_hash import short_hash

# How much later a prompt is read for each request that the engine has in progress: the
# engine reads other prompts and writes other outputs in between.
REQUEST_DELAY_MS: Final = 40.0
# How long an engine takes to read a token of a prefix that is not in its cache.
READ_TOKEN_MS: Final = 1 / 60
# As many engines are named to the owner of the stages, which chooses one of them.
MAX_ENGINE_OPTIONS: Final = 4
# A load report this old says nothing about the present load.
REPORT_TTL_MS: Final = 1_000


class ReportedLoad(NamedTuple):
    """Hold the number of requests that a server reported at ``at_ms``."""

    requests: int
    at_ms: int


class LoadTracker:
    """Hold the requests that this instance sent to servers, and their load reports."""

    def __init__(self) -> None:
        self.in_flight: dict[str, int] = {}
        self.reported: dict[str, ReportedLoad] = {}
        self.sent_since_report: dict[str, int] = {}


def note_sent(tracker: LoadTracker, server_id: str) -> None:
    """Count a request sent to a server."""
    tracker.in_flight[server_id] = tracker.in_flight.get(server_id, 0) + 1
    tracker.sent_since_report[server_id] = (
        tracker.sent_since_report.get(server_id, 0) + 1
    )


def note_ended(tracker: LoadTracker, server_id: str) -> None:
    """Count a request that ended on a server."""
    left = tracker.in_flight.get(server_id, 0) - 1
    if left > 0:
        tracker.in_flight[server_id] = left
    else:
        tracker.in_flight.pop(server_id, None)


def note_report(
    tracker: LoadTracker, server_id: str, requests: int, now_ms: int
) -> None:
    """Record the load that a server reports."""
    tracker.reported[server_id] = ReportedLoad(requests, now_ms)
    tracker.sent_since_report[server_id] = 0


def forget_loads(tracker: LoadTracker, kept: frozenset[str]) -> None:
    """Drop the reports of servers that are no longer registered."""
    for server_id in tracker.reported.keys() - kept:
        del tracker.reported[server_id]
    for server_id in tracker.sent_since_report.keys() - kept:
        del tracker.sent_since_report[server_id]


def load_of(tracker: LoadTracker, server_id: str, now_ms: int) -> float:
    """Return the estimated number of requests that a server has."""
    own = tracker.in_flight.get(server_id, 0)
    report = tracker.reported.get(server_id)
    if report is None or now_ms - report.at_ms > REPORT_TTL_MS:
        return own
    decay = 1 - (now_ms - report.at_ms) / REPORT_TTL_MS
    others = max(0, report.requests + tracker.sent_since_report.get(server_id, 0) - own)
    return own + others * decay


def usable_servers(
    servers: Iterable[BackendServer],
    tried: frozenset[str],
    health: HealthTracker,
    now_ms: int,
    silent_zones: frozenset[str] = frozenset(),
) -> list[BackendServer]:
    """Return the servers to choose from, none of which was tried before.

    Servers in unreachable zones are only used if there are no others, and avoided
    servers only if there are no servers in unreachable zones either.
    """
    untried = [server for server in servers if server.id not in tried]
    healthy = [
        server for server in untried if not is_avoided(health, server.id, now_ms)
    ]
    reachable = [server for server in healthy if server.zone not in silent_zones]
    return reachable or healthy or untried


def choose_by_load(
    servers: Sequence[BackendServer], tracker: LoadTracker, random: Random, now_ms: int
) -> BackendServer | None:
    """Return the server with the lowest load per slot, a random one among equals."""
    if not servers:
        return None
    return min(
        servers,
        key=lambda server: (
            load_of(tracker, server.id, now_ms) / max(1, server.slots),
            random.random(),
        ),
    )


def choose_by_prefix(
    servers: Sequence[BackendServer],
    prompt: tuple[PromptPart, ...],
    tracker: LoadTracker,
    random: Random,
    now_ms: int,
    expected: Mapping[str, ExpectedLoad] | None = None,
) -> BackendServer | None:
    """Return the server that is expected to finish reading the prompt first.

    All instances expect a prefix to be cached on the same server, by rendezvous
    hashing. Only the last shared part counts, since earlier parts are shared by so many
    requests that every engine has them in its cache. ``expected`` has the load of the
    servers of an uneven pool by id, None for other pools.
    """
    shared = shared_prefix(prompt)
    if not shared or not servers:
        return choose_by_load(servers, tracker, random, now_ms)
    ranked = sorted(servers, key=lambda server: _rank(shared[-1].id, server.id))
    read_ms = shared[-1].tokens * READ_TOKEN_MS
    costs = []
    for place, server in enumerate(ranked):
        prefix_ms = read_ms if place else 0.0
        load = expected.get(server.id) if expected else None
        if load is None:
            requests = load_of(tracker, server.id, now_ms)
            costs.append(requests * REQUEST_DELAY_MS + prefix_ms)
            continue
        # With the request itself, so that an idle engine that fails has a cost too.
        busy_ms = (load.requests + 1) * REQUEST_DELAY_MS + prefix_ms
        costs.append(busy_ms * load.pace / load.trust)
    return ranked[costs.index(min(costs))]


def engine_need(
    servers: Sequence[BackendServer], prompt: tuple[PromptPart, ...], random: Random
) -> EngineNeed:
    """Return what a prompt needs of an engine, and the engines to choose from.

    All instances name the same ones for a shared part.
    """
    shared = shared_prefix(prompt)
    part = shared[-1].id if shared else ""
    count = min(MAX_ENGINE_OPTIONS, len(servers))
    if part:
        named = sorted(servers, key=lambda server: _rank(part, server.id))[:count]
    else:
        named = random.sample(servers, count)
    return EngineNeed(
        part=part,
        shared_ms=_read_ms(sum(each.tokens for each in shared)),
        own_ms=_read_ms(own_tokens(prompt)),
        options=tuple(EngineOption(server.id, server.zone) for server in named),
    )


def _read_ms(tokens: int) -> int:
    return min(MAX_READ_MS, int(tokens * READ_TOKEN_MS))


def _rank(prefix_id: str, server_id: str) -> bytes:
    return short_hash(f"{prefix_id}\0{server_id}")
