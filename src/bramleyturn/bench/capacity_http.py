"""Measure the bytes and processor time of single HTTP exchanges."""

import time
from statistics import median
from typing import Any, Final

import orjson
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.http import HTTPChannel
from twisted.web.server import Site

from bramleyturn.bench.capacity_points import REPEATS, Point, Slope, fit_line
from bramleyturn.core.peer_message import message_mac
from bramleyturn.runtime.http_client import call_bytes, http_client
from bramleyturn.runtime.http_server import JSON_TYPE
from bramleyturn.runtime.peer_client import MAC_HEADER
from bramleyturn.runtime.twisted_types import HttpRequest

TIMEOUT_MS: Final = 5_000
BODY_SIZES_BYTES: Final = (0, 1_000, 10_000)
EXCHANGES_PER_REPEAT: Final = 200
EXCHANGES: Final = (
    ("message on a new connection", "POST", True),
    ("message on a kept connection", "POST", False),
    ("read on a kept connection", "GET", False),
)
KEY: Final = "a-key-for-measurements-only"


class ByteCounter:
    """Count what a server reads and writes."""

    def __init__(self) -> None:
        self.read_bytes = 0
        self.written_bytes = 0


def counting_channel(counter: ByteCounter) -> type[HTTPChannel]:
    """Return a channel class that counts the bytes of its connections."""

    class CountingChannel(HTTPChannel):
        def dataReceived(self, data: bytes) -> None:  # noqa: N802
            counter.read_bytes += len(data)
            channel: Any = super()
            channel.dataReceived(data)

        def makeConnection(self, transport: Any) -> None:  # noqa: N802
            write, write_all = transport.write, transport.writeSequence

            def count(data: bytes) -> None:
                counter.written_bytes += len(data)
                write(data)

            def count_all(parts: list[bytes]) -> None:
                counter.written_bytes += sum(map(len, parts))
                write_all(parts)

            transport.write, transport.writeSequence = count, count_all
            channel: Any = super()
            channel.makeConnection(transport)

    return CountingChannel


def measure_http() -> list[Slope]:
    """Return the slopes of bytes and processor time of HTTP exchanges."""
    result: list[Slope] = []
    loop: Any = reactor

    async def work() -> None:
        counter = ByteCounter()
        site: Any = Site(_app().resource())
        site.protocol = counting_channel(counter)
        host = loop.listenTCP(0, site, interface="127.0.0.1").getHost()
        address = f"{host.host}:{host.port}"
        signed = [
            await _exchange_bytes(counter, address, size, "POST")
            for size in BODY_SIZES_BYTES
        ]
        plain = [
            await _exchange_bytes(counter, address, size, "GET")
            for size in BODY_SIZES_BYTES
        ]
        result.append(
            fit_line("signed message and its answer", "B", "body byte", signed)
        )
        result.append(fit_line("unsigned read", "B", "body byte", plain))
        for name, method, is_new in EXCHANGES:
            point = await _exchange_micros(address, method, is_new)
            result.append(fit_line(f"{name}, both ends", "us CPU", "exchange", [point]))

    done = Deferred.fromCoroutine(work())
    done.addErrback(lambda failure: print(failure.getTraceback()))
    done.addBoth(lambda _: loop.stop())
    loop.run()
    return result


def _app() -> Klein:
    app = Klein()

    @app.route("/peer/v1/message/<int:size>", methods=["GET"])
    def plain(request: HttpRequest, size: int) -> bytes:
        request.setHeader("Content-Type", JSON_TYPE)
        return b"x" * size

    @app.route("/peer/v1/message/<int:size>", methods=["POST"])
    def signed(request: HttpRequest, size: int) -> bytes:
        body = b"x" * size
        request.setHeader(MAC_HEADER, message_mac(body, KEY))
        return body

    return app


async def _exchange_micros(address: str, method: str, is_new: bool) -> Point:
    """Measure the processor time of one exchange on client and server together."""
    client = http_client(reactor)
    values: list[float] = []
    for _ in range(REPEATS):
        started_ns = time.process_time_ns()
        for _ in range(EXCHANGES_PER_REPEAT):
            await call_bytes(
                http_client(reactor) if is_new else client,
                reactor,
                method,
                f"http://{address}/peer/v1/message/250",
                body=b"x" * 250 if method == "POST" else None,
                timeout_ms=TIMEOUT_MS,
            )
        values.append(
            (time.process_time_ns() - started_ns) / 1e3 / EXCHANGES_PER_REPEAT
        )
    return Point(1, median(values), min(values), max(values))


async def _exchange_bytes(
    counter: ByteCounter, address: str, size: int, method: str
) -> Point:
    before = counter.read_bytes + counter.written_bytes
    body = orjson.dumps("x" * max(0, size - 2)) if method == "POST" else None
    mac = message_mac(body or b"", KEY)
    await call_bytes(
        http_client(reactor),
        reactor,
        method,
        f"http://{address}/peer/v1/message/{size}",
        body=body,
        headers={MAC_HEADER: mac} if body is not None else None,
        timeout_ms=TIMEOUT_MS,
    )
    total = counter.read_bytes + counter.written_bytes - before
    return Point(size, total, total, total)
