"""Write answers with any framing, whole, broken off anywhere, or without end."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final, NamedTuple

from bramleyturn.core.answer_end import Framing
from bramleyturn.gateway.exchange import Exchange, Headers

LAST_CHUNK: Final = b"0\r\n\r\n"
FLUSH_S: Final = 0.01
# Written at a time by an answer without end, at most.
PIECE_BYTES: Final = 64 * 1024
SLOW_WRITES_PER_S: Final = 20
# Length that no answer reaches, in a length or a chunk's head.
ENDLESS_LENGTH: Final = 1 << 40


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


class EndlessPart(StrEnum):
    """Name the part of an answer that never ends, or that all of them end.

    ``EVENTS`` are whole events, ``LARGE_EVENTS`` those of 200,000 bytes. ``AFTER``
    follows a whole answer on a connection that is kept.
    """

    NONE = "none"
    FIELD = "field"
    FIELDS = "fields"
    INTERIM = "interim"
    EVENT = "event"
    EVENTS = "events"
    LARGE_EVENTS = "large_events"
    LINE = "line"
    CHUNK = "chunk"
    CHUNK_HEAD = "chunk_head"
    CHUNK_HEADS = "chunk_heads"
    TRAILER = "trailer"
    AFTER = "after"


class Endless(NamedTuple):
    """Hold the bytes that begin an answer or its body, and those that are repeated."""

    start: bytes
    repeated: bytes


ENDLESS_HEADS: Final = {
    EndlessPart.FIELD: Endless(b"HTTP/1.1 200 Answer\r\nFiller: ", b"x"),
    EndlessPart.FIELDS: Endless(b"HTTP/1.1 200 Answer\r\n", b"Filler: xxxxxxx\r\n"),
    EndlessPart.INTERIM: Endless(b"", b"HTTP/1.1 103 Hints\r\nFiller: x\r\n\r\n"),
}
ENDLESS_BODIES: Final = {
    EndlessPart.EVENT: Endless(b"", b"data: xxxxxxxxx\n"),
    EndlessPart.EVENTS: Endless(b"", b"data: x\n\n"),
    EndlessPart.LARGE_EVENTS: Endless(b"", b"data: %b\n\n" % (b"x" * 200_000)),
    EndlessPart.LINE: Endless(b"", b"x"),
    EndlessPart.CHUNK: Endless(b"%x\r\n" % ENDLESS_LENGTH, b"data: xxxxxxxxx\n"),
    EndlessPart.CHUNK_HEAD: Endless(b"1;", b"x"),
    EndlessPart.CHUNK_HEADS: Endless(b"", b"1;%b\r\nx\r\n" % (b"x" * 1_000)),
    EndlessPart.TRAILER: Endless(b"0\r\n", b"Filler: xxxxxxx\r\n"),
    EndlessPart.AFTER: Endless(b"", b"x"),
}


# Bytes of a body that are framed as such.
FRAMED_PARTS: Final = frozenset(
    {
        EndlessPart.EVENT,
        EndlessPart.EVENTS,
        EndlessPart.LARGE_EVENTS,
        EndlessPart.LINE,
    }
)


class AnswerShape(NamedTuple):
    """Hold how a server frames its answers, where it breaks them off, and how.

    ``ending`` is how an answer that is broken off ends. A whole one ends as framed.
    ``has_ids`` is whether the events of a stream have ids. An answer whose part
    ``endless`` never ends goes on until its caller closes, at ``bytes_per_s``, or as
    fast as the link allows if that is 0; with ``is_status`` only the answers to calls
    for the server's status are without end.
    """

    framing: Framing
    break_point: BreakPoint = BreakPoint.NONE
    ending: AnswerEnding = AnswerEnding.FRAMED
    content_type: str = ""
    has_ids: bool = True
    endless: EndlessPart = EndlessPart.NONE
    bytes_per_s: int = 0
    is_status: bool = False


def read_shape(document: dict[str, Any]) -> AnswerShape:
    """Return the shape that a test asks for; raise ValueError if it is malformed."""
    return AnswerShape(
        Framing(document["framing"]),
        BreakPoint(document.get("break_point", BreakPoint.NONE)),
        AnswerEnding(document.get("ending", AnswerEnding.FRAMED)),
        document.get("content_type", ""),
        document.get("has_ids", True),
        EndlessPart(document.get("endless", EndlessPart.NONE)),
        document.get("bytes_per_s", 0),
        document.get("is_status", False),
    )


class RawAnswer:
    """Write one answer to a caller's connection, which ends with the answer."""

    def __init__(self, reactor: Any, exchange: Exchange, shape: AnswerShape) -> None:
        self.reactor = reactor
        self.exchange = exchange
        self.shape = shape
        self.transport: Any = exchange.connection.transport
        # Written to without regard to what the caller has read.
        self.transport.unregisterProducer()

    def start(self, status: int, headers: Headers, length: int) -> None:
        """Write the head; ``length`` is that of the whole body in bytes."""
        fields = [*headers]
        if self.shape.endless is not EndlessPart.AFTER:
            fields.append((b"Connection", b"close"))
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


class EndlessAnswer:
    """Repeat bytes on a caller's connection until the caller closes it.

    ``on_closed`` is called with the number of bytes written.
    """

    def __init__(
        self, raw: RawAnswer, endless: Endless, on_closed: Callable[[int], None]
    ) -> None:
        self.raw = raw
        self.repeated = endless.repeated
        self.on_closed = on_closed
        self.written = 0
        self.is_closed = False

    def start(self) -> None:
        """Write until the caller closes."""
        if self.raw.shape.bytes_per_s:
            self._write_slowly()
        self.raw.transport.registerProducer(self, bool(self.raw.shape.bytes_per_s))

    def resumeProducing(self) -> None:  # noqa: N802
        """Write a piece, as the last one has been sent."""
        if not self.raw.shape.bytes_per_s:
            self._write(PIECE_BYTES)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: a slow answer never fills the buffer."""

    def stopProducing(self) -> None:  # noqa: N802
        """Report that the caller has closed."""
        if not self.is_closed:
            self.is_closed = True
            self.on_closed(self.written)

    def _write_slowly(self) -> None:
        if self.is_closed:
            return
        self._write(max(1, self.raw.shape.bytes_per_s // SLOW_WRITES_PER_S))
        self.raw.reactor.callLater(1 / SLOW_WRITES_PER_S, self._write_slowly)

    def _write(self, size: int) -> None:
        whole = len(self.repeated)
        begun = self.written % whole
        piece = (self.repeated * (size // whole + 2))[begun : begun + size]
        self.written += size
        if self.raw.shape.endless in FRAMED_PARTS:
            self.raw.send(piece)
        else:
            self.raw.transport.write(piece)


def send_endless(
    raw: RawAnswer, headers: Headers, body: bytes, on_closed: Callable[[int], None]
) -> None:
    """Send an answer of which one part never ends."""
    part = raw.shape.endless
    if part in ENDLESS_HEADS:
        endless = ENDLESS_HEADS[part]
    else:
        is_after = part is EndlessPart.AFTER
        raw.start(200, headers, len(body) if is_after else ENDLESS_LENGTH)
        endless = ENDLESS_BODIES[part]
        if is_after:
            raw.send(body)
    raw.transport.write(endless.start)
    EndlessAnswer(raw, endless, on_closed).start()
