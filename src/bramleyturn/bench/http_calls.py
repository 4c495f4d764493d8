"""Make HTTP calls that are never repeated by the connection pool."""

from typing import Any, Final, NamedTuple

import orjson
import treq
from treq.client import HTTPClient
from twisted.internet import defer, error
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import (  # type: ignore[attr-defined]
    URI,
    Agent,
    HTTPConnectionPool,
    RequestGenerationFailed,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

CONNECT_TIMEOUT_S: Final = 3.0
MAX_CONNECTIONS_PER_HOST: Final = 256

BROKEN: Final = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionClosed,
    RequestGenerationFailed,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
    PotentialDataLoss,
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


@implementer(IAgentEndpointFactory)
class IpEndpoints:
    """Connect to IP numbers.

    Endpoints for host names wait for further addresses after a refused connection.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:  # noqa: N802
        """Return the endpoint of the IP number and port in ``uri``."""
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(self.reactor, host, uri.port, CONNECT_TIMEOUT_S)


def create_client(reactor: Any) -> HTTPClient:
    """Return a client with persistent connections."""
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
    endpoints = IpEndpoints(reactor)
    agent: Any = Agent.usingEndpointFactory(reactor, endpoints, pool=pool)
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
