"""Count the bytes of single HTTP exchanges as they go over the connection."""

import time
from statistics import median
from typing import Any, Final

import orjson
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.http import HTTPChannel
from twisted.web.server import Site

from bramleyturn.bench.capacity_points import REPEATS, Point, Slope, fit
from bramleyturn.core.peer_message import message_mac
from bramleyturn.runtime.http_client import call_bytes, http_client
from bramleyturn.runtime.http_server import JSON_TYPE
from bramleyturn.runtime.peer_client import MAC_HEADER
from bramleyturn.runtime.twisted_types import HttpRequest

TIMEOUT_MS: Final = 5_000
SIZES: Final = (0, 1_000, 10_000)
COUNT: Final = 200
EXCHANGES: Final = (
    ("message on a new connection", "POST", True),
    ("message on a kept connection", "POST", False),
    ("read on a kept connection", "GET", False),
)
KEY: Final = "a-key-for-measurements-only"


class Counted:
    """Count what a server reads and writes."""

    def __init__(self) -> None:
        self.read_bytes = 0
        self.written_bytes = 0


def counting_channel(counted: Counted) -> type[HTTPChannel]:
    """Return a channel that counts the bytes of its connection."""

    class CountingChannel(HTTPChannel):
        def dataReceived(self, data: bytes) -> None:  # noqa: N802
            counted.read_bytes += len(data)
            channel: Any = super()
            channel.dataReceived(data)

        def makeConnection(self, transport: Any) -> None:  # noqa: N802
            write, write_all = transport.write, transport.writeSequence

            def count(data: bytes) -> None:
                counted.written_bytes += len(data)
                write(data)

            def count_all(parts: list[bytes]) -> None:
                counted.written_bytes += sum(map(len, parts))
                write_all(parts)

            transport.write, transport.writeSequence = count, count_all
            channel: Any = super()
            channel.makeConnection(transport)

    return CountingChannel


def measure_http() -> list[Slope]:
    """Return the bytes of an exchange by the length of its bodies."""
    result: list[Slope] = []
    loop: Any = reactor

    async def work() -> None:
        counted = Counted()
        site: Any = Site(_app().resource())
        site.protocol = counting_channel(counted)
        host = loop.listenTCP(0, site, interface="127.0.0.1").getHost()
        address = f"{host.host}:{host.port}"
        signed = [await _exchange(counted, address, size, "POST") for size in SIZES]
        plain = [await _exchange(counted, address, size, "GET") for size in SIZES]
        result.append(fit("signed message and its answer", "B", "body byte", signed))
        result.append(fit("unsigned read", "B", "body byte", plain))
        for name, method, is_new in EXCHANGES:
            point = await _exchange_micros(address, method, is_new)
            result.append(fit(f"{name}, both ends", "us CPU", "exchange", [point]))

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
    """Measure the processor time of one exchange, client and server together."""
    client = http_client(reactor)
    values: list[float] = []
    for _ in range(REPEATS):
        began_ns = time.process_time_ns()
        for _ in range(COUNT):
            await call_bytes(
                http_client(reactor) if is_new else client,
                reactor,
                method,
                f"http://{address}/peer/v1/message/250",
                body=b"x" * 250 if method == "POST" else None,
                timeout_ms=TIMEOUT_MS,
            )
        values.append((time.process_time_ns() - began_ns) / 1e3 / COUNT)
    return Point(1, median(values), min(values), max(values))


async def _exchange(counted: Counted, address: str, size: int, method: str) -> Point:
    before = counted.read_bytes + counted.written_bytes
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
    total = counted.read_bytes + counted.written_bytes - before
    return Point(size, total, total, total)
