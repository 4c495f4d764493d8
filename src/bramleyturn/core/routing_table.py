"""Hold the backend servers that accept work, by pool and availability zone."""

from typing import Final, NamedTuple

from bramleyturn.core.model import Configuration, Limits, Server
from bramleyturn.core.outliers import OutlierState, start_fresh
from bramleyturn.core.prefix_cache import HashRing, RecentPrefixes
from bramleyturn.core.server_load import NEVER_MS, PoolLoad, ServerLoad

HOLD_OFF_MS: Final = 100
# In force only until the first configuration is applied.
NO_LIMITS: Final = Limits(*(0 for _ in Limits._fields))


class ServerState:
    """Hold what the process knows about one server.

    ``left_ms`` is when it was last known to leave, None while it accepts work;
    ``live_ms`` when it was last shown live after that; ``heard_ms`` when it was last
    confirmed. ``held_alone`` reserves it for an attempt that runs alone.
    """

    __slots__ = (
        "busy_until_ms",
        "heard_ms",
        "held_alone",
        "is_listed_leaving",
        "left_ms",
        "live_ms",
        "load",
        "outlier",
        "server",
    )

    def __init__(self, server: Server, load: ServerLoad, outlier: OutlierState) -> None:
        self.server = server
        self.load = load
        self.outlier = outlier
        self.left_ms: int | None = None
        self.is_listed_leaving = False
        self.live_ms = NEVER_MS
        self.heard_ms = NEVER_MS
        self.busy_until_ms = 0
        self.held_alone = False


class Candidates(NamedTuple):
    """List the servers that accept work, and the hash ring over all configured ones."""

    states: tuple[ServerState, ...]
    by_name: dict[str, ServerState]
    ring: HashRing


class PoolState:
    """Hold a pool's servers, split into the own zone's and the others'."""

    def __init__(self, load: PoolLoad) -> None:
        self.load = load
        self.members: dict[str, ServerState] = {}
        self.ejected = 0
        self.own = _candidates((), HashRing(()))
        self.others = _candidates((), HashRing(()))


class RoutingTable:
    """Hold all pools and servers as seen from one zone."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.limits = NO_LIMITS
        self.pools: dict[str, PoolState] = {}
        self.servers: dict[str, ServerState] = {}
        self.prefixes = RecentPrefixes()
        self.ejections: list[tuple[int, str]] = []
        self.confirmed_since_ms = NEVER_MS
        self.to_confirm: dict[str, Server] = {}


def routing_table(zone: str) -> RoutingTable:
    """Return an empty table for a process in ``zone``."""
    return RoutingTable(zone)


def apply_servers(
    table: RoutingTable, configuration: Configuration, now_ms: int
) -> None:
    """Apply the servers of a configuration.

    A server whose definition is unchanged keeps its state. Servers that join a
    pool already in use go through slow start.
    """
    table.limits = configuration.limits
    _apply_pools(table, configuration)
    for name in table.servers.keys() - configuration.servers.keys():
        _remove_server(table, name)
    pools_in_use = {name for name, pool in table.pools.items() if pool.members}
    for name, server in configuration.servers.items():
        known = table.servers.get(name)
        if known is not None and known.server == server:
            continue
        if known is not None:
            _remove_server(table, name)
        since_ms = now_ms if server.pool in pools_in_use else None
        _add_server(table, server, since_ms)
    for pool in table.pools.values():
        _place_on_rings(table, pool)
        list_candidates(table, pool)


def server_leaving(
    table: RoutingTable, name: str, now_ms: int, *, is_listed: bool = False
) -> None:
    """Send the server no new work from now on.

    ``is_listed`` means that the platform's list says so: then the server's own
    reports can't undo it. A hint from before it was shown live changes nothing.
    """
    state = table.servers.get(name)
    if state is None or (now_ms < state.live_ms and not is_listed):
        return
    state.is_listed_leaving = state.is_listed_leaving or is_listed
    was_active = state.left_ms is None
    state.left_ms = now_ms if state.left_ms is None else max(state.left_ms, now_ms)
    if was_active:
        list_candidates(table, table.pools[state.server.pool])


def server_back(table: RoutingTable, name: str, shown_ms: int, now_ms: int) -> None:
    """Send the server work again, with slow start.

    ``shown_ms`` is the instant at which the list that shows it live was current; a
    list from before the server left changes nothing.
    """
    state = table.servers.get(name)
    if state is None or state.left_ms is None or shown_ms <= state.left_ms:
        return
    state.left_ms = None
    state.live_ms = shown_ms
    state.is_listed_leaving = False
    start_fresh(state.outlier, now_ms)
    list_candidates(table, table.pools[state.server.pool])


def _apply_pools(table: RoutingTable, configuration: Configuration) -> None:
    for name in table.pools.keys() - configuration.pools.keys():
        for server in list(table.pools[name].members):
            _remove_server(table, server)
        del table.pools[name]
    for name, pool in configuration.pools.items():
        known = table.pools.get(name)
        if known is None:
            table.pools[name] = PoolState(PoolLoad(pool.concurrency_per_server))
            continue
        known.load.capacity = max(1, pool.concurrency_per_server)


def _add_server(table: RoutingTable, server: Server, since_ms: int | None) -> None:
    pool = table.pools.get(server.pool)
    if pool is None:
        return
    load = ServerLoad(pool.load.capacity)
    state = ServerState(server, load, OutlierState(since_ms))
    table.servers[server.name] = state
    pool.members[server.name] = state


def _remove_server(table: RoutingTable, name: str) -> None:
    state = table.servers.pop(name, None)
    if state is None:
        return
    pool = table.pools[state.server.pool]
    del pool.members[name]
    if state.outlier.ejected_until_ms is not None:
        pool.ejected -= 1


def list_candidates(table: RoutingTable, pool: PoolState) -> None:
    """Rebuild the pool's candidates after a server came or went."""
    accepting = [
        state
        for _, state in sorted(pool.members.items())
        if state.left_ms is None and state.outlier.ejected_until_ms is None
    ]
    own = tuple(state for state in accepting if state.server.zone == table.zone)
    others = tuple(state for state in accepting if state.server.zone != table.zone)
    pool.own = _candidates(own, pool.own.ring)
    pool.others = _candidates(others, pool.others.ring)


def _candidates(states: tuple[ServerState, ...], ring: HashRing) -> Candidates:
    return Candidates(states, {state.server.name: state for state in states}, ring)


def _place_on_rings(table: RoutingTable, pool: PoolState) -> None:
    own = frozenset(
        name for name, state in pool.members.items() if state.server.zone == table.zone
    )
    pool.own = pool.own._replace(ring=HashRing(own))
    pool.others = pool.others._replace(ring=HashRing(pool.members.keys() - own))


def hold_off(table: RoutingTable, server_name: str, now_ms: int) -> None:
    """Send a server nothing for a moment after a connection to it was lost.

    If it crashed, its other connections may not show it yet, and inputs sent now
    would be suspected of causing the crash.
    """
    state = table.servers.get(server_name)
    if state is not None:
        state.busy_until_ms = max(state.busy_until_ms, now_ms + HOLD_OFF_MS)
