"""Track which servers are likely to have a prompt prefix cached."""

from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Container, Iterable
from typing import Final

import xxhash

MAX_PREFIXES: Final = 4_096
SERVERS_PER_PREFIX: Final = 2
POINTS_PER_SERVER: Final = 8
POINTS_TRIED: Final = 16


class RecentPrefixes:
    """Hold the servers that recently processed each prefix, the latest first."""

    def __init__(self) -> None:
        self.servers: OrderedDict[tuple[str, str], tuple[str, ...]] = OrderedDict()


class HashRing:
    """Consistent-hashing ring of servers, the same in all processes."""

    def __init__(self, names: Iterable[str]) -> None:
        points = sorted(
            (_point(f"{name}#{number}"), name)
            for name in names
            for number in range(POINTS_PER_SERVER)
        )
        self.points = [point for point, _ in points]
        self.names = [name for _, name in points]


def remember_prefix(
    prefixes: RecentPrefixes, pool: str, prefix: str, server: str
) -> None:
    """Record that the server has just processed the prefix."""
    key = (pool, prefix)
    known = prefixes.servers.get(key, ())
    if not known or known[0] != server:
        others = tuple(name for name in known if name != server)
        prefixes.servers[key] = (server, *others)[:SERVERS_PER_PREFIX]
    prefixes.servers.move_to_end(key)
    if len(prefixes.servers) > MAX_PREFIXES:
        prefixes.servers.popitem(last=False)


def recent_servers(prefixes: RecentPrefixes, pool: str, prefix: str) -> tuple[str, ...]:
    """Return the servers that recently processed the prefix, the latest first."""
    return prefixes.servers.get((pool, prefix), ())


def home_server(ring: HashRing, prefix: str, live: Container[str]) -> str | None:
    """Return the live server to which every process prefers to send the prefix.

    Only the next ``POINTS_TRIED`` points of the ring are tried; None if none of them
    belongs to a live server.
    """
    start = bisect_right(ring.points, _point(prefix))
    count = len(ring.names)
    for offset in range(min(count, POINTS_TRIED)):
        name = ring.names[(start + offset) % count]
        if name in live:
            return name
    return None


def _point(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
