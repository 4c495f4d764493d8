"""Choose the server of a request by load, and by what it has read before.

Load patterns that it answers: many requests that share a long prompt prefix (they go
to one engine, which reads it once), one prefix that gets much of the traffic (its
engine is passed over while it has far more to do than the others), and servers that
differ in speed or report a load that others caused.
"""

import hashlib
from collections.abc import Iterable, Sequence
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.catalog.prompt import PromptPart, shared_prefix
from bramleyturn.core.placement.health import HealthBook, is_avoided

# An engine is passed over for a shared prefix while its load is above this many
# times the mean, and by at least this many requests.
LOAD_FACTOR: Final = 1.5
LOAD_EXTRA: Final = 4.0
# A reported load this old says nothing of the load now.
REPORT_KEEP_MS: Final = 1_000
HASH_BYTES: Final = 8


class ReportedLoad(NamedTuple):
    """Hold the requests that a server had, by its own answer at ``at_ms``."""

    requests: int
    at_ms: int


class LoadBook:
    """Hold what this instance sent to each server and what the server reported."""

    def __init__(self) -> None:
        self.in_flight: dict[str, int] = {}
        self.reported: dict[str, ReportedLoad] = {}
        self.sent_since: dict[str, int] = {}


def note_sent(book: LoadBook, server_id: str) -> None:
    """Count a request that goes to a server."""
    book.in_flight[server_id] = book.in_flight.get(server_id, 0) + 1
    book.sent_since[server_id] = book.sent_since.get(server_id, 0) + 1


def note_ended(book: LoadBook, server_id: str) -> None:
    """Count a request that has ended at a server."""
    left = book.in_flight.get(server_id, 0) - 1
    if left > 0:
        book.in_flight[server_id] = left
    else:
        book.in_flight.pop(server_id, None)


def note_report(book: LoadBook, server_id: str, requests: int, now_ms: int) -> None:
    """Take in the load that a server reports."""
    book.reported[server_id] = ReportedLoad(requests, now_ms)
    book.sent_since[server_id] = 0


def forget_loads(book: LoadBook, kept: frozenset[str]) -> None:
    """Drop what was reported of servers that are no longer registered."""
    for server_id in book.reported.keys() - kept:
        del book.reported[server_id]
    for server_id in book.sent_since.keys() - kept:
        del book.sent_since[server_id]


def load_of(book: LoadBook, server_id: str, now_ms: int) -> float:
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
    health: HealthBook,
    now_ms: int,
) -> list[BackendServer]:
    """Return the servers to choose from: those not tried, and in doubt all of them.

    Servers that are avoided count only if no other one is left.
    """
    untried = [server for server in servers if server.id not in tried]
    sound = [server for server in untried if not is_avoided(health, server.id, now_ms)]
    return sound or untried


def choose_by_load(
    servers: Sequence[BackendServer], book: LoadBook, random: Random, now_ms: int
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
    book: LoadBook,
    random: Random,
    now_ms: int,
) -> BackendServer | None:
    """Return the server that all instances first choose for a shared prefix.

    Servers are ranked by a hash of the prefix and their id. One that has far more to
    do than the others is passed over.
    """
    shared = shared_prefix(prompt)
    if not shared:
        return choose_by_load(servers, book, random, now_ms)
    loads = {server.id: load_of(book, server.id, now_ms) for server in servers}
    if not loads:
        return None
    bound = LOAD_FACTOR * sum(loads.values()) / len(loads) + LOAD_EXTRA
    ranked = sorted(servers, key=lambda server: _rank(shared[-1].id, server.id))
    for server in ranked:
        if loads[server.id] <= bound:
            return server
    return ranked[0]


def _rank(prefix_id: str, server_id: str) -> bytes:
    text = f"{prefix_id}\0{server_id}".encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
