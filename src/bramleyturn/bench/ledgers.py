"""Read from the backend server stand-ins which calls really ran."""

from collections import Counter
from typing import Final, NamedTuple

import orjson
from treq.client import HTTPClient
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from bramleyturn.bench.verdicts import RunKey
from bramleyturn.core.model import Configuration, PoolKind, Server
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import BytesAnswer, call_bytes

READ_TIMEOUT_MS: Final = 10_000
READ_ATTEMPTS: Final = 20
READ_PAUSE_S: Final = 1.0
HTTP_OK: Final = 200


class UnreadLedger(NamedTuple):
    """Report which ledger could not be read, and why."""

    server: str
    reason: str


async def read_runs(
    client: HTTPClient, reactor: IReactorTime, configuration: Configuration
) -> Counter[RunKey] | UnreadLedger:
    """Return how often each call ran, over all servers of plain pools."""
    runs: Counter[RunKey] = Counter()
    for server in configuration.servers.values():
        if configuration.pools[server.pool].kind is not PoolKind.PLAIN:
            continue
        ran = await _read_ledger(client, reactor, server)
        if isinstance(ran, UnreadLedger):
            return ran
        runs.update(ran)
    return runs


async def _read_ledger(
    client: HTTPClient, reactor: IReactorTime, server: Server
) -> list[RunKey] | UnreadLedger:
    response = await _call_with_retries(client, reactor, server)
    if isinstance(response, CallFailed):
        return UnreadLedger(server.name, response.detail)
    if response.status != HTTP_OK:
        return UnreadLedger(server.name, f"status {response.status}")
    entries = orjson.loads(response.content)["entries"]
    return [RunKey(server.pool, entry["input_digest"]) for entry in entries]


async def _call_with_retries(
    client: HTTPClient, reactor: IReactorTime, server: Server
) -> BytesAnswer | CallFailed:
    """Retry the call while the server is being restarted."""
    for _ in range(READ_ATTEMPTS - 1):
        response = await _call(client, reactor, server)
        if not isinstance(response, CallFailed):
            return response
        await deferLater(reactor, READ_PAUSE_S)
    return await _call(client, reactor, server)


async def _call(
    client: HTTPClient, reactor: IReactorTime, server: Server
) -> BytesAnswer | CallFailed:
    return await call_bytes(
        client,
        reactor,
        "GET",
        f"http://{server.address}/standin/ledger",
        timeout_ms=READ_TIMEOUT_MS,
    )
