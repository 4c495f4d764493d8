"""Write answers with any framing, whole or broken off anywhere, and any kind of end."""

from enum import StrEnum
from typing import Any, Final, NamedTuple

from bramleyturn.core.answer_end import Framing
from bramleyturn.gateway.http1_server import Exchange, Headers

LAST_CHUNK: Final = b"0\r\n\r\n"
FLUSH_S: Final = 0.01


class BreakPoint(StrEnum):
    """Name where an answer is broken off, or that it is whole."""

    HEAD = "head"
    START = "start"
    INSIDE = "inside"
    BETWEEN = "between"
    NONE = "none"


class AnswerEnding(StrEnum):
    """Name how an answer ends: as framed, or with the connection or the server."""

    FRAMED = "framed"
    CLOSED = "closed"
    RESET = "reset"
    CRASHED = "crashed"


class AnswerShape(NamedTuple):
    """Hold how a server frames its answers, where it breaks them off, and how.

    ``ending`` is how an answer that is broken off ends. A whole one ends as framed.
    ``has_ids`` is whether the events of a stream have ids.
    """

    framing: Framing
    break_point: BreakPoint = BreakPoint.NONE
    ending: AnswerEnding = AnswerEnding.FRAMED
    content_type: str = ""
    has_ids: bool = True


def read_shape(document: dict[str, Any]) -> AnswerShape:
    """Return the shape that a test asks for; raise ValueError if it is malformed."""
    return AnswerShape(
        Framing(document["framing"]),
        BreakPoint(document.get("break_point", BreakPoint.NONE)),
        AnswerEnding(document.get("ending", AnswerEnding.FRAMED)),
        document.get("content_type", ""),
        document.get("has_ids", True),
    )


class RawAnswer:
    """Write one answer to a caller's connection, which ends with the answer."""

    def __init__(self, reactor: Any, exchange: Exchange, shape: AnswerShape) -> None:
        self.reactor = reactor
        self.exchange = exchange
        self.shape = shape
        self.transport: Any = exchange.connection.transport

    def start(self, status: int, headers: Headers, length: int) -> None:
        """Write the head; ``length`` is that of the whole body in bytes."""
        fields = [*headers, (b"Connection", b"close")]
        if self.shape.framing is Framing.LENGTH:
            fields.append((b"Content-Length", b"%d" % length))
        elif self.shape.framing is Framing.CHUNKED:
            fields.append((b"Transfer-Encoding", b"chunked"))
        lines = [b"HTTP/1.1 %d Answer" % status]
        lines += [name + b": " + value for name, value in fields]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        is_broken = self.shape.break_point is BreakPoint.HEAD
        self._write(head[: len(head) // 2] if is_broken else head)

    def send(self, data: bytes) -> None:
        """Write a part of the body."""
        if self.shape.framing is Framing.CHUNKED and data:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._write(data)

    def end(self) -> None:
        """End the answer, as framed."""
        if self.shape.framing is Framing.CHUNKED:
            self._write(LAST_CHUNK)
        self.transport.loseConnection()

    def break_off(self) -> bool:
        """End an answer that is not whole; return whether the server is to crash."""
        if self.shape.ending is AnswerEnding.FRAMED:
            self.end()
        elif self.shape.ending is AnswerEnding.RESET:
            # A reset discards what was not sent yet.
            self.reactor.callLater(FLUSH_S, self.transport.abortConnection)
        else:
            self.transport.loseConnection()
        return self.shape.ending is AnswerEnding.CRASHED

    def _write(self, data: bytes) -> None:
        if not self.exchange.is_gone:
            self.transport.write(data)
