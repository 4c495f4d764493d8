"""Simulate the platform's backend servers: plain services, engines and stages.

Each keeps a ledger of the requests that it ran, which tests compare with what callers
received.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, Final, NamedTuple
from weakref import WeakKeyDictionary

import orjson

from bramleyturn.core.answer_end import Framing
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.exchange import Exchange, Headers
from bramleyturn.standin.site.crashing_parts import (
    CrashingParts,
    CrashPoint,
    has_crashing_part,
)
from bramleyturn.standin.site.deployment import PoolPlan
from bramleyturn.standin.site.raw_answers import (
    AnswerShape,
    BreakPoint,
    EndlessPart,
    RawAnswer,
    send_endless,
)
from bramleyturn.standin.site.run_records import RunRecord, StageCallRecord, wall_ms
from bramleyturn.standin.site.server_limits import ServerLimit

RUN_TARGET: Final = b"/bramleyturn/stage-run"
RELEASE_TARGET: Final = b"/bramleyturn/stage-free"
REPORT_TARGET: Final = b"/bramleyturn/report"
HEALTH_TARGET: Final = b"/health"
NOT_RUN_HEADER: Final = (b"Bramleyturn-Not-Executed", b"1")
# A request with this in its target, body or piece key crashes the server that runs it.
CRASH_MARKER: Final = b"crash"
STATUS_MISDIRECTED: Final = 421
# Bytes of an answer that is written again.
ANSWER_AGAIN: Final = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
REPEATING_FAULTS: Final = frozenset({"repeat", "repeat_unnamed"})


class OddAnswer(NamedTuple):
    """Hold what an engine answers to a request to resume a stream."""

    status: int
    content_type: str
    body: str
    framing: Framing

    def send(self, server: "SiteServer", exchange: Exchange, attempt_id: str) -> None:
        """Send the answer."""
        headers = _answer_headers(server, attempt_id)
        headers.append((b"Content-Type", self.content_type.encode()))
        raw = RawAnswer(server.reactor, exchange, AnswerShape(self.framing))
        raw.start(self.status, headers, len(self.body))
        raw.send(self.body.encode())
        raw.end()


class SiteServer:
    """Hold one server: its identity, its injected fault and the requests that it ran.

    ``fault`` names the injected fault: ``shed`` refuses requests, ``repeat`` refuses
    the first on each connection and writes that refusal once more when it begins to run
    a later one (``repeat_unnamed``: the refusal names no attempt), ``again`` writes its
    last answer on a connection once more before the next one, ``reset`` closes the
    connection after the run, ``cut`` closes it in the middle of the answer, ``error``
    answers 500, ``fail`` does so without a run, ``hang`` never answers, ``mute`` does
    so at an engine. ``shape`` tells how its answers are framed and broken off, None for
    whole and framed ones.

    ``crash`` ends the server, which starts again later, ``deafen`` lets it accept no
    more connections, though its port stays open, and ``crashed_by`` has the
    attempt that each crash was due to. ``name`` stays the same when the server starts
    again under another ``id``. ``state`` is what it last registered, "" if nothing.
    ``endless`` has the bytes and the time until its close of each answer without end.

    ``answer_bytes`` is the least size of a plain answer's body, ``event_bytes`` that of
    an event's text. An engine sends its first event after ``start_ms``, crashes on
    ``crashing_parts``, and answers with ``resumption``, if set, instead of resuming.
    """

    def __init__(
        self, reactor: Any, server_id: str, pool: str, address: str, plan: PoolPlan
    ) -> None:
        self.reactor = reactor
        self.plan = plan
        self.random = Random(server_id)
        self.name = server_id
        self.id = server_id
        self.crash: Callable[[], None] = lambda: None
        self.deafen: Callable[[], None] = lambda: None
        self.crashed_by: list[str] = []
        self.pool = pool
        self.address = address
        self.zone = ""
        self.born_ms = 0
        self.starts = 0
        self.state = ""
        self.fault = ""
        self.shape: AnswerShape | None = None
        self.processing_ms = plan["work_ms"]
        self.gap_ms = plan["gap_ms"][0]
        self.start_ms = 0
        self.crashing_parts = CrashingParts()
        self.resumption: OddAnswer | None = None
        self.limit = ServerLimit()
        self.answer_bytes = 0
        self.event_bytes = plan["event_bytes"]
        self.ran: list[RunRecord] = []
        self.calls: list[StageCallRecord] = []
        self.crashes_ms: list[int] = []
        self.running = 0
        self.results: dict[str, str] = {}
        self.made = 0
        # The attempt that each result was made for, also once it is released.
        self.made_for: dict[str, str] = {}
        self.capacity_bytes = 1_000_000
        self.endless: list[dict[str, int]] = []
        # Written first on each connection, to be repeated.
        self.refusals: WeakKeyDictionary[Any, bytes] = WeakKeyDictionary()
        # The last answer on each connection.
        self.answers: WeakKeyDictionary[Any, bytes] = WeakKeyDictionary()


def plain_handler(server: SiteServer) -> Callable[[Exchange], None]:
    """Return the request handler of a plain service."""

    def handle(exchange: Exchange) -> None:
        if _refused(server, exchange):
            return
        if exchange.target == HEALTH_TARGET:
            if not _is_endless(server, exchange, [_identity(server)], b"", True):
                exchange.answer(200, [_identity(server)], b"")
            return
        ran = _record_run(server, exchange)
        if _crashes(server, exchange.target + exchange.body, ran.attempt_id):
            return
        if server.fault == "hang":
            return
        server.running += 1
        server.reactor.callLater(server.processing_ms / MS_PER_S, end, exchange, ran)

    def end(exchange: Exchange, ran: RunRecord) -> None:
        server.running -= 1
        _note_end(ran, is_whole=not exchange.is_gone)
        _answer_plain(server, exchange, ran.attempt_id)

    return handle


def engine_handler(server: SiteServer) -> Callable[[Exchange], None]:
    """Return the request handler of an engine, which streams events."""
    plan = server.plan
    started = server.starts

    def handle(exchange: Exchange) -> None:
        if exchange.target == REPORT_TARGET:
            shown = {"waiting": 0, "running": server.running, "born": server.born_ms}
            report = orjson.dumps(shown)
            if not _is_endless(server, exchange, [], report, True):
                exchange.answer(200, [], report)
            return
        if _refused(server, exchange):
            return
        ran = _record_run(server, exchange)
        if _crashes(server, exchange.target + exchange.body, ran.attempt_id):
            return
        if server.fault == "mute":
            return
        last = exchange.header(b"last-event-id")
        if last and server.resumption is not None:
            server.resumption.send(server, exchange, ran.attempt_id)
            return
        first = int(last) + 1 if last else 0
        events = plan["events"] or output_tokens(exchange)
        server.running += 1
        headers = _answer_headers(server, ran.attempt_id)
        headers.append((b"Content-Type", b"text/event-stream"))
        if has_crashing_part(server.crashing_parts, exchange):
            begin_and_crash(exchange, headers, ran.attempt_id)
            return
        if _is_endless(server, exchange, headers, _event(first)):
            return
        if server.shape is not None:
            raw = RawAnswer(server.reactor, exchange, server.shape)
            has_ids = server.shape.has_ids
            stream = [_event(number, has_ids) for number in range(first, events)]
            raw.start(200, headers, sum(map(len, stream)))
            send_raw(raw, stream, first, events // 2)
            return
        exchange.start(200, headers)
        start_ms = server.start_ms or server.random.uniform(*plan["first_ms"])
        if start_ms:
            start_s = start_ms / MS_PER_S
            server.reactor.callLater(start_s, send, exchange, ran, first, events)
        else:
            send(exchange, ran, first, events)

    def begin_and_crash(exchange: Exchange, headers: Headers, attempt_id: str) -> None:
        crashing = server.crashing_parts
        if crashing.point is not CrashPoint.NOTHING:
            exchange.start(200, headers)
        if crashing.point is CrashPoint.EVENT:
            exchange.send(_event(0, text_bytes=server.event_bytes))

        def crash() -> None:
            if server.starts == started:
                server.crashed_by.append(attempt_id)
                server.crash()

        server.reactor.callLater(crashing.after_ms / MS_PER_S, crash)

    def send_raw(raw: RawAnswer, stream: list[bytes], number: int, middle: int) -> None:
        point = raw.shape.break_point
        is_middle = number >= middle
        if raw.exchange.is_gone:
            server.running -= 1
        elif point in (BreakPoint.HEAD, BreakPoint.START) or (
            is_middle and point is BreakPoint.BETWEEN
        ):
            _break_off(server, raw)
        elif is_middle and point is BreakPoint.INSIDE:
            raw.send(stream[0][: len(stream[0]) // 2])
            _break_off(server, raw)
        elif not stream:
            server.running -= 1
            raw.end()
        else:
            raw.send(stream[0])
            gap_s = server.gap_ms / MS_PER_S
            server.reactor.callLater(
                gap_s, send_raw, raw, stream[1:], number + 1, middle
            )

    def send(exchange: Exchange, ran: RunRecord, number: int, events: int) -> None:
        if exchange.is_gone:
            server.running -= 1
            _note_end(ran, is_whole=False)
            return
        if server.fault == "cut" and number == events // 2:
            server.running -= 1
            _note_end(ran, is_whole=False)
            exchange.send(b"id: %d\nda" % number)
            exchange.cut()
            return
        if number == events:
            server.running -= 1
            _note_end(ran, is_whole=True)
            exchange.finish()
            return
        exchange.send(_event(number, text_bytes=server.event_bytes))
        least_ms, most_ms = plan["gap_ms"]
        gap_ms = server.gap_ms + server.random.uniform(0, most_ms - least_ms)
        server.reactor.callLater(
            gap_ms / MS_PER_S, send, exchange, ran, number + 1, events
        )

    return handle


def output_tokens(exchange: Exchange) -> int:
    """Return how many output tokens a request names, 1 if none."""
    return int(exchange.header(b"bramleyturn-token-counts").partition(",")[2] or 1)


def _note_end(ran: RunRecord, is_whole: bool) -> None:
    ran.ended_ms = wall_ms()
    ran.is_whole = is_whole


def stage_handler(server: SiteServer) -> Callable[[Exchange], None]:
    """Return the request handler of a stage server, which runs one call at a time."""
    plan = server.plan
    waiting: deque[tuple[Exchange, int]] = deque()
    started = server.starts

    def handle(exchange: Exchange) -> None:
        if exchange.target == REPORT_TARGET:
            shown = {
                "waiting": len(waiting),
                "busy": server.running,
                "freeMb": plan["room_mb"],
                "born": server.born_ms,
            }
            report = orjson.dumps(shown)
            if not _is_endless(server, exchange, [], report, True):
                exchange.answer(200, [], report)
        elif exchange.target == RELEASE_TARGET:
            for handle in orjson.loads(exchange.body)["handles"]:
                server.results.pop(handle, None)
            exchange.answer(200, [], b"")
        elif exchange.target == RUN_TARGET and not _refused(server, exchange):
            transport = exchange.connection.transport
            if server.fault == "again" and transport in server.answers:
                transport.write(server.answers.pop(transport))
            if not server.running:
                begin(exchange, wall_ms())
            elif len(waiting) < plan["queue"]:
                waiting.append((exchange, wall_ms()))
            else:
                exchange.answer(503, [NOT_RUN_HEADER], b"")

    def begin(exchange: Exchange, arrived_ms: int) -> None:
        server.running += 1
        items = orjson.loads(exchange.body)["items"]
        call = StageCallRecord(items, arrived_ms)
        server.calls.append(call)
        wait_ms = server.processing_ms + sum(
            server.random.uniform(*plan["item_ms"]) for _ in items
        )
        server.reactor.callLater(wait_ms / MS_PER_S, run, exchange, items, call)

    def run(
        exchange: Exchange, items: list[dict[str, Any]], call: StageCallRecord
    ) -> None:
        if server.starts != started:
            return
        server.running -= 1
        call.ended_ms = wall_ms()
        while waiting and not server.running:
            following, arrived_ms = waiting.popleft()
            # A close drops a call that waits, but not one that is worked on.
            if not following.is_gone:
                begin(following, arrived_ms)
        if exchange.is_gone:
            return
        for item in items:
            if _crashes(server, str(item.get("key")).encode(), str(item["id"])):
                return
        made = {"items": [_create_result(server, item) for item in items]}
        body = orjson.dumps(made)
        copy = ANSWER_AGAIN % (len(body), body)
        server.answers[exchange.connection.transport] = copy
        _answer(server, exchange, 200, [], body)

    return handle


def _event(number: int, has_id: bool = True, text_bytes: int = 0) -> bytes:
    text = (b"token-%d" % number).ljust(text_bytes, b".")
    data = b"data: %b\n\n" % text
    return b"id: %d\n%b" % (number, data) if has_id else data


def _break_off(server: SiteServer, raw: RawAnswer) -> None:
    server.running -= 1
    if raw.break_off():
        server.crashed_by.append(raw.exchange.header(b"bramleyturn-attempt-id"))
        server.crash()


def _answer(
    server: SiteServer, exchange: Exchange, status: int, headers: Headers, body: bytes
) -> None:
    """Answer with a whole body, unless the server's shape says otherwise."""
    shape = server.shape
    if shape is None:
        exchange.answer(status, headers, body)
        return
    server.running += 1
    if _is_endless(server, exchange, headers, body):
        return
    raw = RawAnswer(server.reactor, exchange, shape)
    raw.start(status, headers, len(body))
    if shape.break_point is BreakPoint.NONE:
        server.running -= 1
        raw.send(body)
        raw.end()
        return
    if shape.break_point in (BreakPoint.INSIDE, BreakPoint.BETWEEN):
        raw.send(body[: len(body) // 2])
    _break_off(server, raw)


def _is_endless(
    server: SiteServer,
    exchange: Exchange,
    headers: Headers,
    body: bytes,
    is_status: bool = False,
) -> bool:
    """Answer without end if the server is to; return whether it does."""
    shape = server.shape
    if shape is None or shape.endless is EndlessPart.NONE:
        return False
    if shape.is_status is not is_status:
        return False
    started_s = server.reactor.seconds()

    def on_closed(size: int) -> None:
        server.running -= 0 if is_status else 1
        took_ms = int((server.reactor.seconds() - started_s) * MS_PER_S)
        server.endless.append({"bytes": size, "took_ms": took_ms})

    raw = RawAnswer(server.reactor, exchange, shape)
    send_endless(raw, headers, body, on_closed)
    return True


def _create_result(server: SiteServer, item: dict[str, Any]) -> dict[str, str]:
    server.made += 1
    handle = f"{server.address}/{server.made:x}"
    server.made_for[handle] = str(item["id"])
    server.results[handle] = f"{item['id']}.{item['stage']}.{item['piece']}"
    return {"handle": handle}


def _refused(server: SiteServer, exchange: Exchange) -> bool:
    expected = exchange.header(b"bramleyturn-expected-instance")
    if expected and expected != server.id:
        exchange.answer(STATUS_MISDIRECTED, [_identity(server)], b"")
        return True
    if server.fault == "shed":
        exchange.answer(503, [NOT_RUN_HEADER], b"")
        return True
    if server.fault in REPEATING_FAULTS and not _repeat_refusal(server, exchange):
        return True
    if server.fault == "fail":
        attempt_id = exchange.header(b"bramleyturn-attempt-id")
        exchange.answer(500, _answer_headers(server, attempt_id), b"failed")
        return True
    return False


def _repeat_refusal(server: SiteServer, exchange: Exchange) -> bool:
    """Refuse the first request on a connection, and write that again before others.

    Return whether the request is to run nevertheless.
    """
    transport = exchange.connection.transport
    refusal = server.refusals.get(transport)
    if refusal is not None:
        transport.write(refusal)
        return True
    headers = [NOT_RUN_HEADER]
    if server.fault != "repeat_unnamed":
        attempt_id = exchange.header(b"bramleyturn-attempt-id").encode()
        headers.append((b"Bramleyturn-Attempt-Id", attempt_id))
    lines = [name + b": " + value for name, value in headers]
    server.refusals[transport] = b"\r\n".join(
        [b"HTTP/1.1 503 Refused", *lines, b"Content-Length: 0", b"", b""]
    )
    exchange.answer(503, headers, b"")
    return False


def _crashes(server: SiteServer, content: bytes, attempt_id: str) -> bool:
    """Crash the server if the content is marked; return whether it was."""
    if CRASH_MARKER not in content:
        return False
    server.crashed_by.append(attempt_id)
    server.crash()
    return True


def _record_run(server: SiteServer, exchange: Exchange) -> RunRecord:
    ran = RunRecord(exchange.header(b"bramleyturn-attempt-id"), exchange)
    server.ran.append(ran)
    return ran


def _answer_plain(server: SiteServer, exchange: Exchange, attempt_id: str) -> None:
    if server.fault == "reset":
        exchange.cut()
        return
    body = (b"answer to " + attempt_id.encode()).ljust(server.answer_bytes, b".")
    headers = _answer_headers(server, attempt_id)
    if server.fault == "cut":
        exchange.start(200, headers)
        exchange.send(body[:5])
        exchange.cut()
        return
    if server.shape is not None and server.shape.content_type:
        headers.append((b"Content-Type", server.shape.content_type.encode()))
        body = orjson.dumps({"answer": body.decode()})
    _answer(server, exchange, 500 if server.fault == "error" else 200, headers, body)


def _identity(server: SiteServer) -> tuple[bytes, bytes]:
    return (b"Bramleyturn-Instance-Id", server.id.encode())


def _answer_headers(server: SiteServer, attempt_id: str) -> Headers:
    load = f"{server.running},0,6".encode()
    return [
        (b"Bramleyturn-Attempt-Id", attempt_id.encode()),
        (b"Bramleyturn-Response-Signature", f"signed-by-{server.id}".encode()),
        (b"Bramleyturn-Instance-Load", load),
    ]
