"""Hold a caller's request, and send its answer on the caller's connection."""

from collections.abc import Callable
from typing import Any, Protocol

import h11

Headers = list[tuple[bytes, bytes]]


class AnswerWriter(Protocol):
    """Write the answer of the request that a connection has read."""

    transport: Any

    @property
    def is_blocked(self) -> bool:
        """Return whether the caller has not read what is buffered."""

    def caller_address(self) -> str:
        """Return the address and port of the caller."""

    def send_head(self, status: int, headers: Headers) -> None:
        """Write the head of an answer."""

    def send_body(self, data: bytes) -> None:
        """Write a part of the body of an answer."""

    def end_answer(self) -> None:
        """End the answer and read the next request."""

    def cut_answer(self) -> None:
        """End the connection in a way that the caller can't take for an end."""

    def abort(self) -> None:
        """Close the connection at once, without sending what is buffered."""


class Source(Protocol):
    """Deliver the parts of an answer, for as long as it is not paused."""

    def pause(self) -> None:
        """Deliver nothing for now."""

    def resume(self) -> None:
        """Deliver what follows."""


class Exchange:
    """Hold one request, and send its answer.

    Header names are in lower case. ``arrived_ms`` is when the first byte was read.
    ``was_held_back`` is set once the source of the answer had to wait for the caller.
    """

    def __init__(
        self,
        connection: AnswerWriter,
        request: h11.Request,
        body: bytes,
        arrived_ms: int,
    ) -> None:
        self.connection = connection
        self.method: bytes = request.method
        self.target: bytes = request.target
        self.headers: Headers = list(request.headers)
        self.body = body
        self.arrived_ms = arrived_ms
        self.is_started = False
        self.is_finished = False
        self.is_cut = False
        self.is_gone = False
        self.on_gone: Callable[[], None] | None = None
        self.source: Source | None = None
        self.was_held_back = False

    def read_from(self, source: Source | None) -> None:
        """Take the parts of the answer from ``source``, as fast as the caller reads."""
        self.source = source
        if source is not None and self.connection.is_blocked:
            self.was_held_back = True
            source.pause()

    def set_blocked(self, is_blocked: bool) -> None:
        """Pause the source while the caller does not read what was sent."""
        if self.source is None:
            return
        if is_blocked:
            self.was_held_back = True
            self.source.pause()
        else:
            self.source.resume()

    def header(self, name: bytes) -> str:
        """Return a header of the request, empty if it is absent."""
        for each, value in self.headers:
            if each == name:
                return value.decode("latin-1")
        return ""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        if self.is_gone or self.is_started:
            return
        length = (b"Content-Length", b"%d" % len(body))
        self.is_started = True
        self.connection.send_head(status, [*headers, length])
        if body:
            self.connection.send_body(body)
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in parts."""
        if self.is_gone:
            return
        self.is_started = True
        chunked = (b"Transfer-Encoding", b"chunked")
        self.connection.send_head(status, [*headers, chunked])

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self.is_gone:
            self.connection.send_body(data)

    def finish(self) -> None:
        """End the answer as complete."""
        if self.is_gone or self.is_finished:
            return
        self.is_finished = True
        self.connection.end_answer()

    def cut(self) -> None:
        """Close the connection so that the caller sees an incomplete answer."""
        if self.is_gone or self.is_finished:
            return
        self.is_finished = True
        self.is_cut = True
        self.connection.cut_answer()
