"""Call programs over HTTP from tests; standard library only."""

import http.client
import json
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

CALL_LIMIT_S: Final = 30.0
WAIT_LIMIT_S: Final = 30.0
POLL_S: Final = 0.01


class Reply(NamedTuple):
    """Hold the response to one call."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def lines(self) -> list[Any]:
        """Return the JSON lines of the body."""
        return [json.loads(line) for line in self.body.splitlines()]


def connect(address: str, limit_s: float = CALL_LIMIT_S) -> http.client.HTTPConnection:
    """Return a connection that is opened with its first request."""
    return http.client.HTTPConnection(address, timeout=limit_s)


def send(
    connection: http.client.HTTPConnection, method: str, path: str, document: Any = None
) -> None:
    """Send a request without reading its response."""
    body = None if document is None else json.dumps(document)
    connection.request(method, path, body, {"Content-Type": "application/json"})


def receive(connection: http.client.HTTPConnection) -> Reply:
    """Read the complete response to the request sent before."""
    response = connection.getresponse()
    body = response.read()
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Reply(response.status, headers, body)


def call(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    limit_s: float = CALL_LIMIT_S,
) -> Reply:
    """Make one call on a connection of its own."""
    connection = connect(address, limit_s)
    try:
        send(connection, method, path, document)
        return receive(connection)
    finally:
        connection.close()


def received_part(connection: http.client.HTTPConnection) -> bytes:
    """Return the part of the body that arrives before the connection is cut."""
    parts = bytearray()
    try:
        response = connection.getresponse()
        while chunk := response.read1():
            parts += chunk
    except (http.client.HTTPException, OSError):
        pass
    return bytes(parts)


def wait_until(
    condition: Callable[[], bool], what: str, limit_s: float = WAIT_LIMIT_S
) -> None:
    """Wait for a condition; the limit only ends a wait that would last forever."""
    deadline_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline_s, f"still waiting for {what}"
        time.sleep(POLL_S)
