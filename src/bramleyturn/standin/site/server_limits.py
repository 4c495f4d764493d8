"""Let servers say of themselves what they accept, and record what arrives."""

from collections.abc import Callable
from typing import Any

from bramleyturn.gateway.exchange import AnswerWriter, Exchange, Headers
from bramleyturn.platform.answers import (
    COLD_REMAINING,
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_LIMIT,
    STATUS_UNAVAILABLE,
)


class ServerLimit:
    """Hold the limit that a server names in its answers, "" for none.

    ``is_leaving`` is whether its answers say that it leaves, and ``pause`` the seconds
    that its refusals name, "" for none. ``refusals_ms`` has the times of the latter.
    ``arrivals_ms`` has the time of each request of whatever kind, ``named_ms`` when the
    limit was set. The server says that it is cold until ``cold_until_ms``.
    """

    def __init__(self) -> None:
        self.text = ""
        self.is_leaving = False
        self.pause = ""
        self.refusals_ms: list[int] = []
        self.named_ms = 0
        self.arrivals_ms: list[int] = []
        self.cold_until_ms = 0


class LimitNamingWriter:
    """Add the headers to each answer that is written."""

    def __init__(
        self,
        connection: AnswerWriter,
        limit: ServerLimit,
        wall_ms: Callable[[], int],
    ) -> None:
        self.connection = connection
        self.wall_ms = wall_ms
        self.transport: Any = connection.transport
        self.limit = limit

    @property
    def is_blocked(self) -> bool:
        """Return whether the caller has not read what is buffered."""
        return self.connection.is_blocked

    def caller_address(self) -> str:
        """Return the address and port of the caller."""
        return self.connection.caller_address()

    def send_head(self, status: int, headers: Headers) -> None:
        """Write the head of an answer, with what the server says of itself."""
        if self.limit.text:
            headers = [*headers, (SERVER_LIMIT, self.limit.text.encode())]
        if self.limit.is_leaving:
            headers = [*headers, (SERVER_LEAVING, b"1")]
        cold_ms = self.limit.cold_until_ms - self.wall_ms()
        if cold_ms > 0:
            headers = [*headers, (COLD_REMAINING, b"%d" % cold_ms)]
        if self.limit.pause and status == STATUS_UNAVAILABLE:
            self.limit.refusals_ms.append(self.wall_ms())
            headers = [*headers, (RETRY_AFTER, self.limit.pause.encode())]
        self.connection.send_head(status, headers)

    def send_body(self, data: bytes) -> None:
        """Write a part of the body of an answer."""
        self.connection.send_body(data)

    def end_answer(self) -> None:
        """End the answer."""
        self.connection.end_answer()

    def cut_answer(self) -> None:
        """End the connection in a way that the caller can't take for an end."""
        self.connection.cut_answer()

    def abort(self) -> None:
        """Close the connection at once."""
        self.connection.abort()


def limited_handler(
    handle: Callable[[Exchange], None], limit: ServerLimit, wall_ms: Callable[[], int]
) -> Callable[[Exchange], None]:
    """Return a handler that records requests and adds the headers to the answers."""

    def handle_limited(exchange: Exchange) -> None:
        limit.arrivals_ms.append(wall_ms())
        exchange.connection = LimitNamingWriter(exchange.connection, limit, wall_ms)
        handle(exchange)

    return handle_limited
