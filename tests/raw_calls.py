"""Exchange raw bytes with a server from tests; standard library only."""

import io
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPResponse
from typing import Any, Final, NamedTuple

from tests.http_calls import CALL_LIMIT_S, Reply

READ_BYTES: Final = 65_536
# The system doubles this. The rest of an answer then waits at the server.
SMALL_BUFFER_BYTES: Final = 2_048


class Received(NamedTuple):
    """Hold what arrived until the connection ended, and how it ended."""

    data: bytes
    error: str


class _KeptOpen(io.BytesIO):
    """Hold the bytes of several answers: the end of one does not close it."""

    def close(self) -> None:
        """Stay open for the next answer."""


class _Source:
    """Stand in for the socket of ``HTTPResponse``."""

    def __init__(self, file: _KeptOpen) -> None:
        self.file = file

    def makefile(self, *_: Any) -> _KeptOpen:
        """Return the bytes that are left."""
        return self.file


@contextmanager
def raw_connection(address: str, buffer_bytes: int = 0) -> Iterator[socket.socket]:
    """Open a connection; ``buffer_bytes`` limits what it receives ahead."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    try:
        if buffer_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        connection.settimeout(CALL_LIMIT_S)
        connection.connect((host, int(port)))
        yield connection
    finally:
        connection.close()


def head(method: str, path: str, *headers: str) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers, "", ""]
    return "\r\n".join(lines).encode()


def read_to_end(connection: socket.socket, pause_s: float = 0.0) -> Received:
    """Read until the connection ends; ``pause_s`` is the pause between reads."""
    parts = bytearray()
    try:
        while part := connection.recv(SMALL_BUFFER_BYTES if pause_s else READ_BYTES):
            parts += part
            time.sleep(pause_s)
    except OSError as error:
        return Received(bytes(parts), f"{type(error).__name__}: {error}")
    return Received(bytes(parts), "")


def answers_in(data: bytes) -> list[Reply]:
    """Return the answers in ``data``; raise ``HTTPException`` if one is cut."""
    file = _KeptOpen(data)
    replies = []
    while file.tell() < len(data):
        source: Any = _Source(file)
        response = HTTPResponse(source)
        response.begin()
        body = response.read()
        headers = {name.lower(): value for name, value in response.getheaders()}
        replies.append(Reply(response.status, headers, body))
    return replies


def read_answer(connection: socket.socket) -> Reply:
    """Read one answer and leave the connection open."""
    response = HTTPResponse(connection)
    response.begin()
    body = response.read()
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Reply(response.status, headers, body)
