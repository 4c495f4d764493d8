"""Choose the server of a request by load, and by what it has read before.

Load patterns that it answers: many requests that share a long prompt prefix (they go
to one engine, which reads it once), one prefix that gets much of the traffic (its
engine is passed over once waiting there costs more than reading the prefix again),
and servers that differ in speed or report a load that others caused.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.catalog.prompt import PromptPart, shared_prefix
from bramleyturn.core.placement.health import HealthTracker, is_avoided
from bramleyturn.core.short_hash import short_hash

# How much later a prompt is read for each request that the engine has: reading the
# prompts of others and the steps of their outputs go in between.
REQUEST_MS: Final = 40.0
# How long an engine takes to read a token of a prefix that it does not keep.
TOKEN_MS: Final = 1 / 60
# A reported load this old says nothing of the load now.
REPORT_KEEP_MS: Final = 1_000


class ReportedLoad(NamedTuple):
    """Hold the requests that a server had, by its own answer at ``at_ms``."""

    requests: int
    at_ms: int


class LoadTracker:
    """Hold what this instance sent to each server and what the server reported."""

    def __init__(self) -> None:
        self.in_flight: dict[str, int] = {}
        self.reported: dict[str, ReportedLoad] = {}
        self.sent_since: dict[str, int] = {}


def note_sent(book: LoadTracker, server_id: str) -> None:
    """Count a request that goes to a server."""
    book.in_flight[server_id] = book.in_flight.get(server_id, 0) + 1
    book.sent_since[server_id] = book.sent_since.get(server_id, 0) + 1


def note_ended(book: LoadTracker, server_id: str) -> None:
    """Count a request that has ended at a server."""
    left = book.in_flight.get(server_id, 0) - 1
    if left > 0:
        book.in_flight[server_id] = left
    else:
        book.in_flight.pop(server_id, None)


def note_report(book: LoadTracker, server_id: str, requests: int, now_ms: int) -> None:
    """Take in the load that a server reports."""
    book.reported[server_id] = ReportedLoad(requests, now_ms)
    book.sent_since[server_id] = 0


def forget_loads(book: LoadTracker, kept: frozenset[str]) -> None:
    """Drop what was reported of servers that are no longer registered."""
    for server_id in book.reported.keys() - kept:
        del book.reported[server_id]
    for server_id in book.sent_since.keys() - kept:
        del book.sent_since[server_id]


def load_of(book: LoadTracker, server_id: str, now_ms: int) -> float:
    """Return the requests that a server is believed to have."""
    own = book.in_flight.get(server_id, 0)
    report = book.reported.get(server_id)
    if report is None or now_ms - report.at_ms > REPORT_KEEP_MS:
        return own
    fading = 1 - (now_ms - report.at_ms) / REPORT_KEEP_MS
    others = max(0, report.requests + book.sent_since.get(server_id, 0) - own)
    return own + others * fading


def usable_servers(
    servers: Iterable[BackendServer],
    tried: frozenset[str],
    health: HealthTracker,
    now_ms: int,
    silent_zones: frozenset[str] = frozenset(),
) -> list[BackendServer]:
    """Return the servers to choose from: those not tried, and in doubt all of them.

    Servers that are avoided count only if no other one is left, and before them those
    in zones that can't be reached.
    """
    untried = [server for server in servers if server.id not in tried]
    sound = [server for server in untried if not is_avoided(health, server.id, now_ms)]
    near = [server for server in sound if server.zone not in silent_zones]
    return near or sound or untried


def choose_by_load(
    servers: Sequence[BackendServer], book: LoadTracker, random: Random, now_ms: int
) -> BackendServer | None:
    """Return a server with the least load for its slots, by chance among equals."""
    if not servers:
        return None
    return min(
        servers,
        key=lambda server: (
            load_of(book, server.id, now_ms) / max(1, server.slots),
            random.random(),
        ),
    )


def choose_by_prefix(
    servers: Sequence[BackendServer],
    prompt: tuple[PromptPart, ...],
    book: LoadTracker,
    random: Random,
    now_ms: int,
) -> BackendServer | None:
    """Return the server that is expected to have read the prompt first.

    All instances take the same server for the one that keeps a prefix: the first by a
    hash of both. Only the last shared part counts, since those before it are shared by
    so many requests that every engine keeps them.
    """
    shared = shared_prefix(prompt)
    if not shared or not servers:
        return choose_by_load(servers, book, random, now_ms)
    ranked = sorted(servers, key=lambda server: _rank(shared[-1].id, server.id))
    read_ms = shared[-1].tokens * TOKEN_MS
    costs = [
        load_of(book, server.id, now_ms) * REQUEST_MS + (read_ms if place else 0.0)
        for place, server in enumerate(ranked)
    ]
    return ranked[costs.index(min(costs))]


def _rank(prefix_id: str, server_id: str) -> bytes:
    return short_hash(f"{prefix_id}\0{server_id}")
