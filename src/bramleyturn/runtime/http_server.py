"""Serve HTTP with JSON."""

import sys
from typing import Any, Final, NamedTuple

import orjson
from klein import Klein
from twisted.python.failure import Failure
from werkzeug.exceptions import MethodNotAllowed, NotFound

from bramleyturn.core.address import parse_address
from bramleyturn.core.intake import BadRequest
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.bounded_http import BodyLimit, BoundedSite
from bramleyturn.runtime.listening_port import open_port
from bramleyturn.runtime.twisted_types import HttpRequest

MAX_BODY_BYTES: Final = 64 * 1024
PROBLEM_TYPE: Final = "application/problem+json"
JSON_TYPE: Final = "application/json"


class OpenServer(NamedTuple):
    """Hold the address of a listening server, and what closing it needs."""

    address: str
    port: Any
    site: BoundedSite


def listen(
    reactor: Any,
    app: Klein,
    address: str,
    body_limit: BodyLimit = lambda _path: MAX_BODY_BYTES,
) -> str:
    """Serve ``app`` until the process ends; return the address."""
    return open_server(reactor, app, address, body_limit).address


def open_server(
    reactor: Any,
    app: Klein,
    address: str,
    body_limit: BodyLimit = lambda _path: MAX_BODY_BYTES,
) -> OpenServer:
    """Serve ``app`` at ``address``.

    Port 0 takes any free port. A request whose body exceeds the ``body_limit`` of
    its path is refused while it arrives.
    """
    answer_unknown_routes(app)
    site = BoundedSite(app.resource(), body_limit)
    wanted = parse_address(address)
    if wanted is None:
        raise ValueError(f"expected IP:PORT as address, found {address}")
    port = open_port(reactor, wanted.port, site, wanted.host)
    bound = port.getHost()
    return OpenServer(f"{bound.host}:{bound.port}", port, site)


def answer_unknown_routes(app: Klein) -> None:
    """Make ``app`` answer unknown routes and methods with a problem document."""

    @app.handle_errors(NotFound, MethodNotAllowed)
    def unknown_route(request: HttpRequest, failure: Failure) -> bytes:
        error: Any = failure.value
        methods = getattr(error, "valid_methods", None)
        if methods:
            request.setHeader("Allow", ", ".join(sorted(methods)))
        detail = "this process serves no such route or method"
        return problem(request, BadRequest(error.code, error.name, detail, "path"))


def print_ready(address: str, **more: Any) -> None:
    """Print one JSON line for the parent process, which says that this one listens."""
    line = orjson.dumps({"ready": True, "address": address} | more).decode()
    print(line, flush=True)
    sys.stdout.flush()


def json_answer(request: HttpRequest, document: Any, status: int = 200) -> bytes:
    """Return a JSON body and set the response's status and type."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", JSON_TYPE)
    return orjson.dumps(document)


def problem(request: HttpRequest, bad: BadRequest, **more: Any) -> bytes:
    """Return a problem document (RFC 9457) and set the response's status and type."""
    request.setResponseCode(bad.status)
    request.setHeader("Content-Type", PROBLEM_TYPE)
    return orjson.dumps(
        {
            "type": "about:blank",
            "title": bad.title,
            "status": bad.status,
            "detail": bad.detail,
            "field": bad.field,
        }
        | more
    )


def set_retry_after(request: HttpRequest, retry_after_ms: int) -> None:
    """Set ``Retry-After`` in whole seconds, rounded up."""
    seconds = max(1, -(-retry_after_ms // MS_PER_S))
    request.setHeader("Retry-After", str(seconds))


def header(request: HttpRequest, name: str) -> str:
    """Return a request header, or an empty string if it is absent."""
    value = request.getHeader(name)
    return value if isinstance(value, str) else ""
