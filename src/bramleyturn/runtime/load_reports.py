"""Ask backend servers for their load, one at a time."""

from collections.abc import Iterator
from functools import partial
from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bramleyturn.core.events import LoadReportArrived, LoadReportMissing, TimePassed
from bramleyturn.core.membership import Liveness
from bramleyturn.core.routing import LoadReport
from bramleyturn.core.server_confirmation import take_to_confirm
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.entry_loop import EntryLoop, feed
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import call_json
from bramleyturn.runtime.peer_client import count_read

LEAST_INTERVAL_MS: Final = 100
ZONE_REPORTS_PER_S: Final = 20
CONFIRM_INTERVAL_MS: Final = 20
TIMEOUT_MS: Final = 1_000


async def follow_load(loop: EntryLoop) -> None:
    """Ask the backend servers of the own availability zone in turn, for ever.

    The rate of questions does not depend on the number of backend servers. The entry
    processes of a zone share one rate and tell each other what they learn.
    """
    while True:
        for name, address in servers_in_turn(loop):
            start_asking(loop, name, address)
            await next_turn(loop)
        await next_turn(loop)


async def next_turn(loop: EntryLoop) -> None:
    """Wait for the next turn to ask, and ask those that hold up work meanwhile."""
    for _ in range(interval_ms(loop) // CONFIRM_INTERVAL_MS):
        await deferLater(loop.reactor, CONFIRM_INTERVAL_MS / MS_PER_S)
        feed(loop, TimePassed())
        for server in take_to_confirm(loop.state.routing):
            start_asking(loop, server.name, server.address)


def start_asking(loop: EntryLoop, name: str, address: str) -> None:
    """Ask without waiting, so that a silent server holds up no question to others.

    The time-out bounds the questions that are open at once.
    """
    Deferred.fromCoroutine(ask_load(loop, name, address))


def interval_ms(loop: EntryLoop) -> int:
    """Return the time between two questions of this process."""
    members = loop.state.peers.by_address.values()
    sharing = 1 + sum(
        member.life is Liveness.ALIVE and member.zone == loop.state.zone
        for member in members
    )
    return max(LEAST_INTERVAL_MS, sharing * MS_PER_S // ZONE_REPORTS_PER_S)


def servers_in_turn(loop: EntryLoop) -> Iterator[tuple[str, str]]:
    """Yield the name and address of each backend server of the own zone."""
    servers = [
        server
        for server in loop.state.configuration.servers.values()
        if server.zone == loop.state.zone
    ]
    loop.state.random.shuffle(servers)
    for server in servers:
        yield server.name, server.address


async def ask_load(loop: EntryLoop, name: str, address: str) -> None:
    """Ask one backend server for its load and feed the report."""
    answer = await call_json(
        loop.backends.client,
        loop.reactor,
        "GET",
        f"http://{address}/v1/load",
        timeout_ms=TIMEOUT_MS,
        count=partial(count_read, loop.peers.traffic, "load_reports"),
    )
    report = (
        None if isinstance(answer, CallFailed) else parse_report(name, answer.document)
    )
    if report is None:
        feed(loop, LoadReportMissing(name))
        return
    feed(loop, LoadReportArrived(report))


def parse_report(name: str, document: Any) -> LoadReport | None:
    """Return the report in a document, None if it is malformed."""
    try:
        return LoadReport(
            server=name,
            running=int(document["running"]),
            queued=int(document["queued"]),
            capacity=int(document["capacity"]),
            age_ms=int(document["age_ms"]),
            leaving=document["state"] == "leaving",
        )
    except (KeyError, TypeError, ValueError):
        return None
