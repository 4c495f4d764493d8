"""Make HTTP calls that are never repeated by the connection pool."""

from typing import Any, Final, NamedTuple

import orjson
import treq
from treq.client import HTTPClient
from twisted.internet import defer, error
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed
from twisted.web.http_headers import Headers

CONNECT_TIMEOUT_S: Final = 3.0
MAX_CONNECTIONS_PER_HOST: Final = 256

BROKEN: Final = (
    error.ConnectError,
    error.ConnectionClosed,
    ResponseFailed,
    defer.CancelledError,
    defer.TimeoutError,
    error.TimeoutError,
    TimeoutError,
)


class Response(NamedTuple):
    """Hold a whole HTTP response."""

    status: int
    body: bytes


class Broken(NamedTuple):
    """Tell why a call has no whole response."""

    reason: str


def create_client(reactor: Any) -> HTTPClient:
    """Return a client with persistent connections."""
    pool = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
    agent: Any = Agent(  # type: ignore[no-untyped-call]
        reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool
    )
    return HTTPClient(agent)


async def call(
    client: HTTPClient,
    reactor: IReactorTime,
    method: str,
    url: str,
    *,
    headers: dict[str, str] | None = None,
    document: object = None,
    timeout_ms: int,
) -> Response | Broken:
    """Return the whole response to one call, within ``timeout_ms``."""
    whole = defer.Deferred.fromCoroutine(
        _whole_response(client, method, url, headers or {}, document)
    )
    whole.addTimeout(max(timeout_ms, 1) / 1000, reactor)
    try:
        return await whole
    except BROKEN as broken:
        return Broken(f"{type(broken).__name__}: {broken}")


async def _whole_response(
    client: HTTPClient,
    method: str,
    url: str,
    headers: dict[str, str],
    document: object,
) -> Response:
    data = None if document is None else orjson.dumps(document)
    response = await client.request(method, url, data=data, headers=_headers(headers))
    body = await treq.content(response)
    return Response(response.code, body)


def _headers(headers: dict[str, str]) -> Headers:
    named = {"Content-Type": "application/json", **headers}
    return Headers({name: [value] for name, value in named.items()})
