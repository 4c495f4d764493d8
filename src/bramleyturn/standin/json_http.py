"""Read and write JSON over klein requests."""

from typing import Any, Final, NamedTuple
from weakref import WeakSet

import orjson
from twisted.internet.interfaces import IAddress
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import Site

RETRY_AFTER_S: Final = b"1"
LEAVING: Final = "leaving"


class BadBody(NamedTuple):
    """Hold why a request body could not be parsed."""

    reason: str


class QuietSite(Site):
    """Serve a resource without an access log, and track open connections."""

    def __init__(self, resource: Resource) -> None:
        super().__init__(resource)  # type: ignore[no-untyped-call]
        self.channels: WeakSet[Any] = WeakSet()

    def buildProtocol(self, addr: IAddress | None) -> Any:  # noqa: N802
        """Return the protocol of a new connection."""
        channel = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        self.channels.add(channel)
        return channel

    def log(self, request: Request) -> None:
        """Log nothing."""


def quiet_site(resource: Resource) -> QuietSite:
    """Return a site that serves ``resource``."""
    site = QuietSite(resource)
    site.displayTracebacks = False
    return site


def abort_all(site: QuietSite) -> None:
    """Close every connection of ``site`` at once."""
    for channel in list(site.channels):
        transport = channel._channel.transport
        if transport is not None and transport.connected:
            transport.abortConnection()


def read_object(request: Request) -> dict[str, Any] | BadBody:
    """Return the JSON object in the body of ``request``."""
    assert request.content is not None
    try:
        document = orjson.loads(request.content.read())
    except orjson.JSONDecodeError as error:
        return BadBody(f"bad JSON: {error}")
    if not isinstance(document, dict):
        return BadBody("expected a JSON object")
    return document


def answer(request: Request, status: int, document: Any) -> bytes:
    """Set the status, type and length of an answer and return its body."""
    request.setResponseCode(status)
    set_header(request, b"content-type", b"application/json")
    if status == 503:
        set_header(request, b"retry-after", RETRY_AFTER_S)
    body = orjson.dumps(document)
    set_header(request, b"content-length", str(len(body)).encode())
    return body


def set_header(request: Request, name: bytes, value: bytes) -> None:
    """Set a header of the answer."""
    request.setHeader(name, value)


def end_with_connection(request: Request) -> None:
    """Send the answer with neither a length nor chunks, as HTTP/1.0 servers do."""
    request.responseHeaders.removeHeader(b"content-length")
    request.clientproto = b"HTTP/1.0"
    request.channel.persistent = False


def write(request: Request, data: bytes) -> None:
    """Write a part of the answer, unless the caller has disconnected."""
    if connected(request):
        request.write(data)


def bad_request(request: Request, reason: str) -> bytes:
    """Answer 400: the request is invalid and nothing was started."""
    return answer(request, 400, {"error": reason, "not_started": True})


def not_started(request: Request, status: int, reason: str) -> bytes:
    """Answer that nothing was started, for ``reason``."""
    document: dict[str, Any] = {"error": reason, "not_started": True}
    if reason == LEAVING:
        document["state"] = LEAVING
    return answer(request, status, document)


def number_argument(request: Request, name: bytes, default: int) -> int:
    """Return a query argument as an integer, ``default`` if absent or invalid."""
    assert request.args is not None
    values = request.args.get(name, [])
    if not values or not values[0].isdigit():
        return default
    return int(values[0])


def connected(request: Request) -> bool:
    """Return whether the caller can still be written to."""
    return not request.finished and not request._disconnected


def close_connection(request: Request) -> None:
    """Close the caller's connection without ending the answer."""
    if connected(request):
        request.loseConnection()
