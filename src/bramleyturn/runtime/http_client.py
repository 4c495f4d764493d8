"""Call other processes over HTTP with JSON."""

import logging
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import orjson
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
    TimeoutError,
)
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HEADER, STATUS, RequestNotSent
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from bramleyturn.core.answer_end import EndVerdict, judge_json_end
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.answer_checks import checked_status, judge_answers
from bramleyturn.runtime.errors import CallFailed, CallFailure
from bramleyturn.runtime.transfer_timer import TransferTimer
from bramleyturn.runtime.twisted_types import Reactor
from bramleyturn.runtime.unread_bytes import has_unread_bytes

CONNECT_TIMEOUT_S: Final = 1.0
IDLE_CONNECTION_S: Final = 10
CONNECTIONS_PER_HOST: Final = 64
# The interim answers and the head of one answer, together: the longest line that
# CPython's http.client reads.
MAX_HEAD_BYTES: Final = 64 * 1024
# The bound of one message by default in NATS (max_payload), for 16 messages.
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
MAX_RETRY_AFTER_MS: Final = 300_000
STATUS_OK: Final = 200
# The state of Twisted's HTTP11ClientProtocol between two requests.
QUIESCENT: Final = "QUIESCENT"
HeaderMap = dict[bytes | str, bytes | str]

JSON_HEADERS: Final[HeaderMap] = {"Content-Type": "application/json"}

logger = logging.getLogger(__name__)


class JsonAnswer(NamedTuple):
    """Hold the answer to a call."""

    status: int
    document: Any
    retry_after_ms: int | None


class BytesAnswer(NamedTuple):
    """Hold the answer to a call. Header names are in lower case."""

    status: int
    content: bytes
    headers: dict[str, str]


class BrokenOffError(Exception):
    """Signal that an answer without a length ended in the middle of its content."""


class OverBoundError(Exception):
    """Signal that the body of an answer exceeds its bound."""


def log_over_bound(server: str, bound: str, size_bytes: int) -> None:
    """Log an answer whose connection is closed at a bound."""
    logger.warning(
        "answer over its bound",
        extra={"server": server, "bound": bound, "bytes": size_bytes},
    )


def bound_heads(connection: Any) -> Any:
    """Let an HTTP connection be closed once a head exceeds its bound.

    Twisted bounds each line of a head, but neither their number nor that of interim
    answers.
    """
    receive = connection.dataReceived
    head_bytes = 0

    def receive_bounded(data: bytes) -> None:
        nonlocal head_bytes
        receive(data)
        parser = connection._parser
        if parser is None or parser.state not in (STATUS, HEADER):
            head_bytes = 0
            return
        head_bytes += len(data)
        if head_bytes > MAX_HEAD_BYTES:
            peer = connection.transport.getPeer()
            log_over_bound(f"{peer.host}:{peer.port}", "head", head_bytes)
            connection.transport.abortConnection()

    connection.dataReceived = receive_bounded
    return connection


@implementer(IStreamClientEndpoint)
class BoundedEndpoint:
    """Connect to an address; heads are bounded, and answers judged."""

    def __init__(self, endpoint: Any) -> None:
        self.endpoint = endpoint

    def connect(self, protocolFactory: Any) -> Deferred[Any]:  # noqa: N803
        """Connect."""
        connected: Deferred[Any] = self.endpoint.connect(protocolFactory)
        return connected.addCallback(bound_heads).addCallback(judge_answers)


@implementer(IAgentEndpointFactory)
class IpEndpoints:
    """Make endpoints for numeric IP addresses.

    Twisted's default endpoints resolve names, and after a refused connection they
    wait for further addresses.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def endpointForURI(self, uri: URI) -> Any:  # noqa: N802
        """Return the endpoint of the IP number and port in ``uri``."""
        host = uri.host.decode("ascii")
        return BoundedEndpoint(
            TCP4ClientEndpoint(self.reactor, host, uri.port, CONNECT_TIMEOUT_S)
        )


@implementer(IBodyProducer)
class WholeBody:
    """Write a whole body in the reactor turn in which its request is written."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write everything at once."""
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: everything is written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: everything is written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: everything is written."""


def http_client(reactor: Any) -> HTTPClient:
    """Return a client that never retries a request by itself."""
    return HTTPClient(http_agent(reactor))


def http_agent(reactor: Any) -> Any:
    """Return the agent underneath ``http_client``, for frequent calls.

    It supports neither cookies nor compressed answers and so costs less.
    """
    pool = KeptConnections(reactor, persistent=True)  # type: ignore[no-untyped-call]
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = CONNECTIONS_PER_HOST
    pool.cachedConnectionTimeout = IDLE_CONNECTION_S
    return Agent.usingEndpointFactory(reactor, IpEndpoints(reactor), pool)


class KeptConnections(HTTPConnectionPool):
    """Keep connections on which no answer but the next request's own can follow.

    A faulty server may write a refusal once more, which would be taken for the answer
    to the next request. So a connection is closed after any answer but a success, or if
    bytes followed the answer, and is not reused if bytes wait on it.
    """

    def getConnection(self, key: Any, endpoint: Any) -> Deferred[Any]:  # noqa: N802
        """Return a kept connection or a new one."""
        kept = self._connections.get(key, [])
        while kept and not is_reusable(kept[0]):
            self._timeouts[kept[0]].cancel()
            self._removeConnection(key, kept[0])  # type: ignore[no-untyped-call]
        found: Deferred[Any] = super().getConnection(key, endpoint)
        return found

    def _putConnection(self, key: Any, connection: Any) -> None:  # noqa: N802
        if not connection.may_be_kept:
            connection.transport.loseConnection()
            return
        super()._putConnection(key, connection)  # type: ignore[no-untyped-call]


def is_reusable(connection: Any) -> bool:
    """Return whether a kept connection is open and no bytes wait on it.

    A lost connection stays in its pool, and has no socket.
    """
    return connection.state == QUIESCENT and not has_unread_bytes(connection.transport)


class PermissionRefusedError(ConnectError):
    """Signal that a connection was opened but must not be written to."""


@implementer(IStreamClientEndpoint)
class GuardedEndpoint:
    """Connect, and close the connection unless ``may_write`` allows its use."""

    def __init__(self, endpoint: Any, may_write: Callable[[], bool]) -> None:
        self.endpoint = endpoint
        self.may_write = may_write

    def connect(self, protocolFactory: Any) -> Deferred[Any]:  # noqa: N803
        """Connect; the caller writes in the reactor turn in which this succeeds."""
        connected: Deferred[Any] = self.endpoint.connect(protocolFactory)
        return connected.addCallback(self.check)

    def check(self, protocol: Any) -> Any:
        """Return the connection, or close it and raise ``PermissionRefusedError``."""
        if self.may_write():
            return protocol
        protocol.transport.loseConnection()
        raise PermissionRefusedError


@implementer(IAgentEndpointFactory)
class GuardedEndpoints:
    """Make endpoints that ask for permission before anything is written."""

    def __init__(self, reactor: Any, may_write: Callable[[], bool]) -> None:
        self.endpoints = IpEndpoints(reactor)
        self.may_write = may_write

    def endpointForURI(self, uri: URI) -> GuardedEndpoint:  # noqa: N802
        """Return the endpoint of the IP number and port in ``uri``."""
        return GuardedEndpoint(self.endpoints.endpointForURI(uri), self.may_write)


def guarded_agent(reactor: Any, may_write: Callable[[], bool]) -> Any:
    """Return an agent for one request that asks for permission once connected."""
    pool = HTTPConnectionPool(reactor, persistent=False)
    pool.retryAutomatically = False
    endpoints = GuardedEndpoints(reactor, may_write)
    return Agent.usingEndpointFactory(reactor, endpoints, pool)


async def call_bytes(
    client: HTTPClient,
    reactor: Reactor,
    method: str,
    url: str,
    *,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_ms: int,
    gap_ms: int | None = None,
) -> BytesAnswer | CallFailed:
    """Send one request and return its answer, or how the call failed.

    The whole call, body included, must end within ``timeout_ms``. With ``gap_ms`` an
    answer that has begun by then is read for as long as it makes progress.
    """
    timer = TransferTimer(
        reactor, lambda: now_ms(reactor), timeout_ms, gap_ms, lambda: sent.cancel()
    )
    sent = Deferred.fromCoroutine(
        fetch(client, method, url, body, headers, timer.received)
    )
    try:
        return await sent
    except (CancelledError, ConnectingCancelledError):
        return CallFailed(CallFailure.TIMED_OUT, f"no answer in {timeout_ms} ms")
    except Exception as error:
        return failure_of(error)
    finally:
        timer.stop()


def now_ms(reactor: Reactor) -> int:
    """Return the time of a reactor in milliseconds."""
    return int(reactor.seconds() * MS_PER_S)


async def fetch(
    client: HTTPClient,
    method: str,
    url: str,
    body: bytes | None,
    headers: Mapping[str, str] | None,
    on_received: Callable[[int], None],
) -> BytesAnswer:
    """Send one request and read its answer completely."""
    all_headers: HeaderMap = JSON_HEADERS.copy() if body is not None else {}
    for name, value in (headers or {}).items():
        all_headers[name] = value
    response = await client.request(
        method, url, data=body, headers=all_headers, allow_redirects=False
    )
    content = await read_body(url, response, on_received)
    return BytesAnswer(
        status=checked_status(response.code),
        content=content,
        headers={
            name.decode().lower(): values[-1].decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        },
    )


async def read_body(
    url: str, response: Any, on_received: Callable[[int], None]
) -> bytes:
    """Read the body of an answer; close its connection if it exceeds the bound.

    ``on_received`` is called with 0 for the head, and with the size of each part. Raise
    ``BrokenOffError`` if nothing marks the end of the body.
    """
    on_received(0)
    reader = BodyReader(url, response, on_received)
    response.deliverBody(reader)
    return await reader.ended


class BodyReader(Protocol):
    """Collect the body of an answer."""

    def __init__(
        self, url: str, response: Any, on_received: Callable[[int], None]
    ) -> None:
        self.url = url
        self.on_received = on_received
        self.size = response.length if isinstance(response.length, int) else 0
        self.parts: list[bytes] = []
        self.received = 0
        self.ended: Deferred[bytes] = Deferred(lambda _: self.abort())

    def connectionMade(self) -> None:  # noqa: N802
        """Close the connection at once if a larger body is announced."""
        self.check_size()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect a part of the body."""
        if self.ended.called:
            return
        self.on_received(len(data))
        self.parts.append(data)
        self.received += len(data)
        self.size = max(self.size, self.received)
        self.check_size()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End with the body, if its framing or its content marks it as whole."""
        if self.ended.called:
            return
        body = b"".join(self.parts)
        if reason.check(ResponseDone) or (
            reason.check(PotentialDataLoss)
            and judge_json_end(body) is EndVerdict.COMPLETE
        ):
            self.ended.callback(body)
        elif reason.check(PotentialDataLoss):
            self.ended.errback(BrokenOffError("the end of the answer is missing"))
        else:
            self.ended.errback(reason)

    def check_size(self) -> None:
        """Abort an answer that exceeds its bound."""
        if self.size > MAX_ANSWER_BYTES:
            self.parts.clear()
            log_over_bound(self.url, "body", self.size)
            self.ended.errback(OverBoundError(f"more than {MAX_ANSWER_BYTES} bytes"))
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        transport: Any = self.transport
        transport.loseConnection()


async def call_json(
    client: HTTPClient,
    reactor: Reactor,
    method: str,
    url: str,
    *,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_ms: int,
    gap_ms: int | None = None,
    count: Callable[[int], None] = lambda _size: None,
    parse: Callable[[bytes], Any] = orjson.loads,
) -> JsonAnswer | CallFailed:
    """Send one request and return its JSON answer, or how the call failed.

    ``count`` is called with the length of the answer's body. ``parse`` reads it, or
    raises JSONDecodeError.
    """
    answer = await call_bytes(
        client,
        reactor,
        method,
        url,
        body=body,
        headers=headers,
        timeout_ms=timeout_ms,
        gap_ms=gap_ms,
    )
    if isinstance(answer, CallFailed):
        return answer
    count(len(answer.content))
    try:
        document = parse(answer.content) if answer.content else None
    except orjson.JSONDecodeError as error:
        return CallFailed(CallFailure.BAD_ANSWER, str(error))
    return JsonAnswer(
        status=answer.status,
        document=document,
        retry_after_ms=retry_after_ms(answer.headers.get("retry-after", "")),
    )


def header_text(response: Any, name: str) -> str:
    """Return the last value of a response header, or an empty string."""
    values = response.headers.getRawHeaders(name) or [""]
    return str(values[-1])


def retry_after_ms(text: str) -> int | None:
    """Parse a ``Retry-After`` header in seconds, None if it is malformed.

    A longer wait than ``MAX_RETRY_AFTER_MS`` is shortened to it.
    """
    try:
        return min(max(0, int(float(text) * MS_PER_S)), MAX_RETRY_AFTER_MS)
    except (ValueError, OverflowError):
        return None


def failure_of(error: Exception) -> CallFailed:
    """Convert an exception of Twisted into a ``CallFailed``.

    Only an error raised before anything was written counts as not connected.
    """
    detail = f"{type(error).__name__}: {error}"
    if isinstance(error, RequestNotSent | ConnectError | DNSLookupError):
        return CallFailed(CallFailure.NOT_CONNECTED, detail)
    if isinstance(error, OverBoundError):
        return CallFailed(CallFailure.BAD_ANSWER, detail)
    if isinstance(error, TimeoutError):
        return CallFailed(CallFailure.NOT_CONNECTED, detail)
    return CallFailed(CallFailure.LOST, detail)
