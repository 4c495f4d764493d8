"""Ask backend servers for their load, one at a time."""

from collections.abc import Iterator
from typing import Any, Final

from twisted.internet.task import deferLater

from bramleyturn.core.events import LoadReportArrived
from bramleyturn.core.routing import LoadReport
from bramleyturn.runtime.entry_loop import EntryLoop, feed
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import call_json

INTERVAL_MS: Final = 100
TIMEOUT_MS: Final = 1_000
MS_PER_S: Final = 1_000


async def follow_load(loop: EntryLoop) -> None:
    """Ask the backend servers of the own availability zone in turn, for ever.

    The rate of questions does not depend on the number of backend servers.
    """
    while True:
        for address_name, address in servers_in_turn(loop):
            await ask_load(loop, address_name, address)
            await deferLater(loop.reactor, INTERVAL_MS / MS_PER_S)
        await deferLater(loop.reactor, INTERVAL_MS / MS_PER_S)


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
    )
    if isinstance(answer, CallFailed):
        return
    report = parse_report(name, answer.document)
    if report is not None:
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
