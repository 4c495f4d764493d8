"""Distrust what was known of backend servers before the process was paused.

While a process is paused it hears of no server that leaves. Once it wakes it asks a
server for its load before it sends it work, and only those that it would choose, so
that the cost depends on the work and not on the number of servers.
"""

from typing import Final

from bramleyturn.core.model import Server
from bramleyturn.core.routing_table import PoolState, RoutingTable

PAUSE_MS: Final = 2_000
MAX_TO_CONFIRM: Final = 64
ELSEWHERE_MS: Final = 2_000
LEFT_ASKED_MS: Final = 500


def distrust_servers(table: RoutingTable, now_ms: int) -> None:
    """Forget that any server was heard before now."""
    table.view_from_ms = now_ms
    table.to_confirm.clear()


def is_confirmed(table: RoutingTable, server: Server) -> bool:
    """Tell whether the server was heard since the last pause; else have it asked."""
    state = table.servers[server.name]
    if state.heard_ms >= table.view_from_ms:
        return True
    if len(table.to_confirm) < MAX_TO_CONFIRM:
        table.to_confirm[server.name] = server
    return False


def ask_if_elsewhere(table: RoutingTable, server: Server, now_ms: int) -> None:
    """Have a server of another availability zone asked while it is in use.

    Only the own zone's servers are asked in turn. Work sent elsewhere need not wait for
    the answer: a server that leaves refuses it, but the refusal of a hedge that lost
    is never read.
    """
    if server.zone == table.zone or len(table.to_confirm) >= MAX_TO_CONFIRM:
        return
    state = table.servers[server.name]
    if now_ms - state.heard_ms > ELSEWHERE_MS:
        table.to_confirm[server.name] = server


def ask_those_that_left(table: RoutingTable, pool: PoolState, now_ms: int) -> None:
    """Have the servers that left asked whether they are back, as no other is live."""
    for name, state in pool.members.items():
        if len(table.to_confirm) >= MAX_TO_CONFIRM:
            return
        if state.left_ms is None or state.is_listed_leaving:
            continue
        if now_ms - state.heard_ms > LEFT_ASKED_MS:
            table.to_confirm[name] = state.server


def take_to_confirm(table: RoutingTable) -> list[Server]:
    """Return the servers to ask for their load now."""
    asked = list(table.to_confirm.values())
    table.to_confirm.clear()
    return asked


def confirm_server(table: RoutingTable, name: str, now_ms: int) -> None:
    """Take a server for heard: it answered for itself, or was asked in vain.

    One that can't be reached gets no work either, and one that tells no load answers
    for itself when work is sent. What others report of a server confirms nothing.
    """
    state = table.servers.get(name)
    if state is not None:
        state.heard_ms = now_ms
