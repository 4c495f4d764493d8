"""Test that callers whose requests cost much do not shut out the others.

In a review eight callers sent bodies in chunks of one byte, and an entry answered no
one for 20 s. The checks do not depend on speed: that the process lives, what memory and
descriptors it uses, and that an ordinary request is answered beside the crowd.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Final

import pytest

from tests.http_calls import call
from tests.processes import RunningProcess, running
from tests.site.crowds import (
    LIMITS,
    Visit,
    assert_order_served,
    bounded,
    new_key,
    request,
    send_and_read,
    visiting,
)
from tests.site.site_fleet import HOSTS, SiteFleet, running_fleet, wait_until

CALLERS: Final = 24
MANY_CALLERS: Final = 60
# The largest body of a request in the site files.
BODY_BYTES: Final = 100_000
SENT_AHEAD: Final = 20
# Time for the crowd to send requests before others do.
CROWD_S: Final = 3.0
CHUNKED: Final = ("Transfer-Encoding: chunked",)
TINY_CHUNKS: Final = b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n"
SHORT_LINES: Final = ["a:"] * 3_500
pytestmark = pytest.mark.crowd


def tiny_chunks() -> bytes:
    """Return a request whose body has chunks of one byte."""
    return request(method="POST", fields=CHUNKED) + TINY_CHUNKS


def many_lines() -> bytes:
    """Return a request with many header lines."""
    return request(fields=SHORT_LINES)


def new_keys() -> bytes:
    """Return requests that are sent ahead, each with an API key of its own."""
    return b"".join(request(key=new_key()) for _ in range(SENT_AHEAD))


def metrics() -> bytes:
    """Return requests for all metrics that are sent ahead."""
    return request("/metrics") * SENT_AHEAD


SHAPES: Final[dict[str, tuple[int, Callable[[], bytes]]]] = {
    "tiny-chunks": (CALLERS, tiny_chunks),
    "many-lines": (CALLERS, many_lines),
    "new-keys": (MANY_CALLERS, new_keys),
}
PORTS: Final = ("front", "ready", "control", "metrics")
CASES: Final = [
    *(("front", shape) for shape in SHAPES),
    *((port, "tiny-chunks") for port in PORTS[1:]),
]


ENTRY_SETTINGS: Final = """
[process]
name = entry-duluth-1
zone = duluth
listen = 127.0.0.1:0
watch = 127.0.0.1:9
"""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site whose entry has little memory and few descriptors."""
    with running_fleet(tmp_path, entries=1, added_settings=LIMITS) as fleet:
        yield fleet


@pytest.fixture
def entry(tmp_path: Path) -> Iterator[RunningProcess]:
    """Run an entry of the project's own interface, without a configuration."""
    with running("bramleyturn.programs.entry", ENTRY_SETTINGS, tmp_path) as started:
        yield started


def check_beside(site: SiteFleet, port: str, callers: int, visit: Visit) -> None:
    """Check the bounds, and that an order is served, while callers visit a port."""
    with (
        bounded(site.entries[0]),
        visiting(HOSTS[0], site.ports[port], callers, visit),
    ):
        time.sleep(CROWD_S)
        assert_order_served(site)
    assert_order_served(site)


class TestCostlyRequests:
    """Callers send requests that take long to parse, and read their answers.

    Guards against an event loop that parses what some callers sent while all others,
    and the readiness check, wait.
    """

    @pytest.mark.parametrize(("port", "shape"), CASES)
    def test_an_order_is_served_beside_them(
        self, site: SiteFleet, port: str, shape: str
    ) -> None:
        callers, data = SHAPES[shape]
        check_beside(site, port, callers, send_and_read(data))

    def test_an_order_is_served_beside_readers_of_metrics(
        self, site: SiteFleet
    ) -> None:
        check_beside(site, "metrics", CALLERS, send_and_read(metrics))


class TestOwnInterface:
    """Callers of ``bramleyturn-entry`` send what takes long to parse.

    Guards against the same in the reader of the project's own interface.
    """

    @pytest.mark.parametrize(
        "data",
        [tiny_chunks, many_lines, new_keys],
        ids=lambda data: str(data.__name__),
    )
    def test_a_check_is_answered_beside_them(
        self, entry: RunningProcess, data: Callable[[], bytes]
    ) -> None:
        host, _, port = entry.address.partition(":")
        visit = send_and_read(data)
        with bounded(entry), visiting(host, int(port), CALLERS, visit):
            time.sleep(CROWD_S)
            wait_until(lambda: is_healthy(entry), "check answered")


def is_healthy(entry: RunningProcess) -> bool:
    """Return whether an entry answers its health check."""
    with suppress(OSError):
        return call(entry.address, "GET", "/healthz").status == 200
    return False
