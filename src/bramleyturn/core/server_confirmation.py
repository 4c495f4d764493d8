"""Confirm backend servers after the process was paused, before they get work.

A paused process receives no update about a server that leaves. Once it resumes, it
asks a server for its load before it sends it work, and only the servers that it would
choose, so that the cost depends on the work and not on the number of servers.
"""

from typing import Final

from bramleyturn.core.model import Server
from bramleyturn.core.routing_table import PoolState, RoutingTable

PAUSE_MS: Final = 2_000
MAX_TO_CONFIRM: Final = 64
OTHER_ZONE_RECHECK_MS: Final = 2_000
LEFT_RECHECK_MS: Final = 500


def mark_servers_unconfirmed(table: RoutingTable, now_ms: int) -> None:
    """Require every server to be confirmed again from now on."""
    table.confirmed_since_ms = now_ms
    table.to_confirm.clear()


def is_confirmed(table: RoutingTable, server: Server) -> bool:
    """Tell whether the server was confirmed since the last pause; if not, queue it."""
    state = table.servers[server.name]
    if state.heard_ms >= table.confirmed_since_ms:
        return True
    if len(table.to_confirm) < MAX_TO_CONFIRM:
        table.to_confirm[server.name] = server
    return False


def recheck_other_zone(table: RoutingTable, server: Server, now_ms: int) -> None:
    """Queue a server of another availability zone for a check while it is in use.

    Only the own zone's servers are polled in turn. Work sent to other zones need not
    wait for the answer: a server that leaves refuses it. The check is needed because
    the refusal of a hedge that lost is never read.
    """
    if server.zone == table.zone or len(table.to_confirm) >= MAX_TO_CONFIRM:
        return
    state = table.servers[server.name]
    if now_ms - state.heard_ms > OTHER_ZONE_RECHECK_MS:
        table.to_confirm[server.name] = server


def recheck_left_servers(table: RoutingTable, pool: PoolState, now_ms: int) -> None:
    """Queue the servers that left for a check: they may be back, and none is live."""
    for name, state in pool.members.items():
        if len(table.to_confirm) >= MAX_TO_CONFIRM:
            return
        if state.left_ms is None or state.is_listed_leaving:
            continue
        if now_ms - state.heard_ms > LEFT_RECHECK_MS:
            table.to_confirm[name] = state.server


def take_to_confirm(table: RoutingTable) -> list[Server]:
    """Empty the queue and return the servers to ask for their load now."""
    servers = list(table.to_confirm.values())
    table.to_confirm.clear()
    return servers


def confirm_server(table: RoutingTable, name: str, now_ms: int) -> None:
    """Mark a server as confirmed: it reported its load, or was asked without success.

    One that can't be reached gets no work either, and one that reports no load will
    accept or refuse work itself. What others report of a server confirms nothing.
    """
    state = table.servers.get(name)
    if state is not None:
        state.heard_ms = now_ms
