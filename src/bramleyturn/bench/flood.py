"""Send one request again and again, and report throughput and latency."""

import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final, NamedTuple

import cappa
import orjson
from hdrh.histogram import HdrHistogram
from treq.client import HTTPClient
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import call_bytes, http_client
from bramleyturn.runtime.system_clock import system_clock

HIGHEST_US: Final = 60_000_000
SIGNIFICANT_FIGURES: Final = 3
TIMEOUT_MS: Final = 30_000
STATUS_OK: Final = 200
US_PER_MS: Final = 1_000
ATTEMPT_MARK: Final = b"ATTEMPT"
RUN: Final = secrets.token_hex(4).encode()


class Shot(NamedTuple):
    """Hold the request to send. ``ATTEMPT`` in its body becomes a new id each time."""

    url: str
    body: bytes
    headers: dict[str, str]


class Tally:
    """Count answers and their latencies."""

    def __init__(self) -> None:
        self.sent = 0
        self.answered = 0
        self.failed = 0
        self.latencies_us = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_FIGURES)


@dataclass
class Flood:
    """Send one request over and over and print the figures as one JSON line.

    Without --rate each of --connections callers sends its next request when the
    last one is answered. With --rate requests start at even intervals.
    """

    url: Annotated[str, cappa.Arg(help="Where to send the request.")]
    body_file: Annotated[Path, cappa.Arg(help="The body to send.")]
    headers_file: Annotated[Path, cappa.Arg(help="A JSON object of headers.")]
    seconds: Annotated[float, cappa.Arg(long=True, help="How long to send.")] = 5.0
    connections: Annotated[int, cappa.Arg(long=True, help="Callers at once.")] = 16
    rate: Annotated[float, cappa.Arg(long=True, help="Requests per second.")] = 0.0

    def __call__(self) -> None:
        """Send for the time asked for and print the figures."""
        shot = Shot(
            self.url,
            self.body_file.read_bytes(),
            orjson.loads(self.headers_file.read_bytes()),
        )
        loop: Any = reactor
        work = flood(loop, shot, self.seconds, self.connections, self.rate)
        done = Deferred.fromCoroutine(work)
        done.addCallback(print_figures)
        done.addBoth(lambda _result: loop.stop())
        loop.run()


async def flood(
    loop: Any, shot: Shot, seconds: float, connections: int, rate: float
) -> dict[str, float]:
    """Send for ``seconds`` and return the figures."""
    clock = system_clock()
    tally = Tally()
    client = http_client(loop)
    started_ms = clock.monotonic_ms()
    end_s = loop.seconds() + seconds
    if rate > 0:
        await send_at_rate(loop, client, shot, tally, end_s, rate)
    else:
        callers = [
            Deferred.fromCoroutine(send_in_turn(loop, client, shot, tally, end_s))
            for _ in range(connections)
        ]
        await gatherResults(callers)
    elapsed_s = (clock.monotonic_ms() - started_ms) / 1_000
    return figures(tally, elapsed_s)


async def send_in_turn(
    loop: Any, client: HTTPClient, shot: Shot, tally: Tally, end_s: float
) -> None:
    """Send the next request whenever the last one is answered."""
    while loop.seconds() < end_s:
        await send_once(loop, client, shot, tally)


async def send_at_rate(
    loop: Any, client: HTTPClient, shot: Shot, tally: Tally, end_s: float, rate: float
) -> None:
    """Start requests at even intervals, whether or not others are answered."""
    sent: list[Deferred[None]] = []
    start_s = loop.seconds()
    while (due_s := start_s + len(sent) / rate) < end_s:
        await deferLater(loop, max(0.0, due_s - loop.seconds()))
        sent.append(Deferred.fromCoroutine(send_once(loop, client, shot, tally)))
    await gatherResults(sent)


async def send_once(loop: Any, client: HTTPClient, shot: Shot, tally: Tally) -> None:
    """Send one request and count its answer."""
    start_s = loop.seconds()
    tally.sent += 1
    answer = await call_bytes(
        client,
        loop,
        "POST",
        shot.url,
        body=shot.body.replace(ATTEMPT_MARK, b"%s-%d" % (RUN, tally.sent)),
        headers=shot.headers,
        timeout_ms=TIMEOUT_MS,
    )
    if isinstance(answer, CallFailed) or answer.status != STATUS_OK:
        tally.failed += 1
        return
    tally.answered += 1
    tally.latencies_us.record_value(int((loop.seconds() - start_s) * 1_000_000))


def figures(tally: Tally, elapsed_s: float) -> dict[str, float]:
    """Return the figures of a run."""
    latencies = tally.latencies_us
    return {
        "answered": tally.answered,
        "failed": tally.failed,
        "per_s": round(tally.answered / elapsed_s, 1),
        "p50_ms": latencies.get_value_at_percentile(50) / US_PER_MS,
        "p99_ms": latencies.get_value_at_percentile(99) / US_PER_MS,
    }


def print_figures(found: dict[str, float]) -> None:
    """Print the figures as one JSON line."""
    print(orjson.dumps(found).decode(), flush=True)


if __name__ == "__main__":
    cappa.invoke(Flood)
