"""Send one request repeatedly, and report throughput and latency."""

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

MAX_LATENCY_US: Final = 60_000_000
SIGNIFICANT_FIGURES: Final = 3
TIMEOUT_MS: Final = 30_000
STATUS_OK: Final = 200
US_PER_MS: Final = 1_000
ATTEMPT_PLACEHOLDER: Final = b"ATTEMPT"
RUN_ID: Final = secrets.token_hex(4).encode()


class RequestTemplate(NamedTuple):
    """Hold the request to send; ``ATTEMPT`` in its body is replaced by a unique id."""

    url: str
    body: bytes
    headers: dict[str, str]


class Tally:
    """Count answers and record their latencies."""

    def __init__(self) -> None:
        self.sent = 0
        self.answered = 0
        self.failed = 0
        self.latencies_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)


@dataclass
class Flood:
    """Send one request repeatedly and print the metrics as one JSON line.

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
        """Send for the requested time and print the metrics."""
        template = RequestTemplate(
            self.url,
            self.body_file.read_bytes(),
            orjson.loads(self.headers_file.read_bytes()),
        )
        loop: Any = reactor
        work = flood(loop, template, self.seconds, self.connections, self.rate)
        done = Deferred.fromCoroutine(work)
        done.addCallback(print_metrics)
        done.addBoth(lambda _result: loop.stop())
        loop.run()


async def flood(
    loop: Any, template: RequestTemplate, seconds: float, connections: int, rate: float
) -> dict[str, float]:
    """Send for ``seconds`` and return the metrics."""
    clock = system_clock()
    tally = Tally()
    client = http_client(loop)
    started_ms = clock.monotonic_ms()
    end_s = loop.seconds() + seconds
    if rate > 0:
        await send_open_loop(loop, client, template, tally, end_s, rate)
    else:
        callers = [
            Deferred.fromCoroutine(
                send_closed_loop(loop, client, template, tally, end_s)
            )
            for _ in range(connections)
        ]
        await gatherResults(callers)
    elapsed_s = (clock.monotonic_ms() - started_ms) / 1_000
    return metrics(tally, elapsed_s)


async def send_closed_loop(
    loop: Any, client: HTTPClient, template: RequestTemplate, tally: Tally, end_s: float
) -> None:
    """Send each request when the previous one is answered."""
    while loop.seconds() < end_s:
        await send_once(loop, client, template, tally)


async def send_open_loop(
    loop: Any,
    client: HTTPClient,
    template: RequestTemplate,
    tally: Tally,
    end_s: float,
    rate: float,
) -> None:
    """Start requests at even intervals, regardless of unanswered ones."""
    sent: list[Deferred[None]] = []
    start_s = loop.seconds()
    while (due_s := start_s + len(sent) / rate) < end_s:
        await deferLater(loop, max(0.0, due_s - loop.seconds()))
        sent.append(Deferred.fromCoroutine(send_once(loop, client, template, tally)))
    await gatherResults(sent)


async def send_once(
    loop: Any, client: HTTPClient, template: RequestTemplate, tally: Tally
) -> None:
    """Send one request and count its answer."""
    start_s = loop.seconds()
    tally.sent += 1
    answer = await call_bytes(
        client,
        loop,
        "POST",
        template.url,
        body=template.body.replace(
            ATTEMPT_PLACEHOLDER, b"%s-%d" % (RUN_ID, tally.sent)
        ),
        headers=template.headers,
        timeout_ms=TIMEOUT_MS,
    )
    if isinstance(answer, CallFailed) or answer.status != STATUS_OK:
        tally.failed += 1
        return
    tally.answered += 1
    tally.latencies_us.record_value(int((loop.seconds() - start_s) * 1_000_000))


def metrics(tally: Tally, elapsed_s: float) -> dict[str, float]:
    """Return the metrics of a run."""
    latencies = tally.latencies_us
    return {
        "answered": tally.answered,
        "failed": tally.failed,
        "per_s": round(tally.answered / elapsed_s, 1),
        "p50_ms": latencies.get_value_at_percentile(50) / US_PER_MS,
        "p99_ms": latencies.get_value_at_percentile(99) / US_PER_MS,
    }


def print_metrics(found: dict[str, float]) -> None:
    """Print the metrics as one JSON line."""
    print(orjson.dumps(found).decode(), flush=True)


if __name__ == "__main__":
    cappa.invoke(Flood)
