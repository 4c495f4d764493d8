"""Poll backend servers for their load, one after another."""

from collections.abc import Iterator
from functools import partial
from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bramleyturn.core.events import LoadReportArrived, LoadReportMissing, TimePassed
from bramleyturn.core.membership import Liveness
from bramleyturn.core.routing import LoadReport
from bramleyturn.core.server_confirmation import take_to_confirm
from bramleyturn.core.server_load import is_plausible
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.entry_loop import EntryLoop, feed
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import call_json
from bramleyturn.runtime.peer_client import count_read

MIN_INTERVAL_MS: Final = 100
ZONE_REPORTS_PER_S: Final = 20
CONFIRM_INTERVAL_MS: Final = 20
POLL_TIMEOUT_MS: Final = 1_000


async def poll_servers(loop: EntryLoop) -> None:
    """Poll the backend servers of the own availability zone in turn, endlessly.

    The polling rate does not depend on the number of backend servers. The entry
    processes of a zone share one rate and exchange the reports by gossip.
    """
    while True:
        for name, address in shuffled_servers(loop):
            start_poll(loop, name, address)
            await wait_for_next_poll(loop)
        await wait_for_next_poll(loop)


async def wait_for_next_poll(loop: EntryLoop) -> None:
    """Wait until the next poll is due; poll servers that work waits for meanwhile."""
    for _ in range(interval_ms(loop) // CONFIRM_INTERVAL_MS):
        await deferLater(loop.reactor, CONFIRM_INTERVAL_MS / MS_PER_S)
        feed(loop, TimePassed())
        for server in take_to_confirm(loop.state.routing):
            start_poll(loop, server.name, server.address)


def start_poll(loop: EntryLoop, name: str, address: str) -> None:
    """Poll a server without waiting, so that a silent one does not delay the others.

    The timeout bounds the number of concurrent polls.
    """
    Deferred.fromCoroutine(poll_server(loop, name, address))


def interval_ms(loop: EntryLoop) -> int:
    """Return the time between two polls of this process."""
    members = loop.state.peers.by_address.values()
    sharing = 1 + sum(
        member.life is Liveness.ALIVE and member.zone == loop.state.zone
        for member in members
    )
    return max(MIN_INTERVAL_MS, sharing * MS_PER_S // ZONE_REPORTS_PER_S)


def shuffled_servers(loop: EntryLoop) -> Iterator[tuple[str, str]]:
    """Yield the name and address of each server of the own zone, in random order."""
    servers = [
        server
        for server in loop.state.configuration.servers.values()
        if server.zone == loop.state.zone
    ]
    loop.state.random.shuffle(servers)
    for server in servers:
        yield server.name, server.address


async def poll_server(loop: EntryLoop, name: str, address: str) -> None:
    """Poll one backend server for its load and feed the report."""
    answer = await call_json(
        loop.backends.client,
        loop.reactor,
        "GET",
        f"http://{address}/v1/load",
        timeout_ms=POLL_TIMEOUT_MS,
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
        state = document["state"]
        report = LoadReport(
            server=name,
            running=whole_number(document["running"]),
            queued=whole_number(document["queued"]),
            capacity=whole_number(document["capacity"]),
            age_ms=whole_number(document["age_ms"]),
            leaving=state == "leaving",
        )
    except (KeyError, TypeError):
        return None
    return report if isinstance(state, str) and is_plausible(report) else None


def whole_number(value: object) -> int:
    """Return a number without its fraction, or raise TypeError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError
    return int(value)
