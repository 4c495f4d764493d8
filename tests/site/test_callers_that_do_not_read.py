"""Test that callers that leave their answers unread end no process.

In a trial, callers that pipelined requests and read nothing made an entry grow from 34
to more than 203 MB, so that the system ended it. The checks do not depend on speed:
that the process lives, what memory and descriptors it uses, and that one ordinary
request is answered afterwards.
"""

import itertools
import os
import socket
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Final

import pytest

from bramleyturn.core.catalog.limits import DEFAULT_CALLER_LIMITS
from tests.http_calls import call
from tests.processes import RunningProcess, running
from tests.raw_calls import answers_in, raw_connection
from tests.site.site_fleet import HOSTS, SiteFleet, running_fleet, wait_until
from tests.site.test_endless_answers import memory_bytes

# The memory of the smallest machine.
MEMORY_BYTES: Final = 152_000_000
# What the settings of these tests allow, and the part of it that is not for files.
FILE_DESCRIPTORS: Final = 600
MAX_DESCRIPTORS: Final = FILE_DESCRIPTORS - 200
CALLERS: Final = 24
CONNECTIONS_PER_CALLER: Final = 12
BYTES_PER_CONNECTION: Final = 3_000_000
REQUESTS_PER_WRITE: Final = 200
# A connection that takes nothing for this long is left open, and the next one opened.
STALL_S: Final = 0.5
IDLE_CONNECTIONS: Final = 500
UNFINISHED_BODIES: Final = 80
SENT_AHEAD: Final = 200
LARGE_PATH: Final = "/v1/openapi.json"
ENTRY_SETTINGS: Final = """
[process]
name = entry-duluth-1
zone = duluth
listen = 127.0.0.1:0
watch = 127.0.0.1:9
"""
_numbers = itertools.count(1)
pytestmark = pytest.mark.crowd


def with_new_key() -> bytes:
    """Return a request with an API key that no other has."""
    number = next(_numbers)
    lines = [
        "GET /order/1 HTTP/1.1",
        "Host: site.example",
        f"Bramleyturn-Attempt-Id: k{number}",
        "Bramleyturn-Deadline-Ms: 4000",
        f"Authorization: Bearer key-{number}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def without_headers() -> bytes:
    """Return a request without the usual headers."""
    return get("/order/1")


def get(path: str) -> bytes:
    """Return a request with the least that is valid."""
    return f"GET {path} HTTP/1.1\r\nHost: site.example\r\n\r\n".encode()


def readiness() -> bytes:
    """Return a readiness check."""
    return get("/bramleyturn/readiness")


def metrics() -> bytes:
    """Return a request for all metrics."""
    return get("/metrics")


Shape = tuple[str, Callable[[], bytes], bool]
SHAPES: Final[dict[str, Shape]] = {
    "new-keys": ("front", with_new_key, False),
    "no-headers": ("front", without_headers, False),
    "readiness": ("ready", readiness, False),
    "control": ("control", without_headers, False),
    "metrics": ("metrics", metrics, False),
    "half-closed": ("ready", readiness, True),
}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site whose entry has few descriptors."""
    limits = {
        "limits.memoryMb": "152",
        "limits.fileDescriptors": str(FILE_DESCRIPTORS),
    }
    with running_fleet(tmp_path, entries=1, added_settings=limits) as fleet:
        yield fleet


@pytest.fixture
def entry(tmp_path: Path) -> Iterator[RunningProcess]:
    """Run an entry of the project's own interface, without a configuration."""
    with running("bramleyturn.programs.entry", ENTRY_SETTINGS, tmp_path) as started:
        yield started


class Crowd:
    """Hold connections to one address that are left open and never read."""

    def __init__(self, host: str, port: int) -> None:
        self.address = (host, port)
        self.opened: list[socket.socket] = []

    def open(self) -> socket.socket:
        """Open one connection."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        caller.settimeout(STALL_S)
        self.opened.append(caller)
        caller.connect(self.address)
        return caller

    def pipeline(self, request: Callable[[], bytes], is_half_closed: bool) -> None:
        """Send requests on one connection after the other, and read nothing."""
        for _ in range(CONNECTIONS_PER_CALLER):
            sent_bytes = 0
            try:
                caller = self.open()
                while sent_bytes < BYTES_PER_CONNECTION:
                    data = b"".join(request() for _ in range(REQUESTS_PER_WRITE))
                    caller.sendall(data)
                    sent_bytes += len(data)
                    if is_half_closed:
                        caller.shutdown(socket.SHUT_WR)
                        break
            except OSError:
                continue

    def send(self, data: bytes) -> None:
        """Send bytes on a new connection, and read nothing."""
        try:
            self.open().sendall(data)
        except OSError:
            return


@contextmanager
def crowd(host: str, port: int) -> Iterator[Crowd]:
    """Close the connections of a crowd at the end of the block."""
    opened = Crowd(host, port)
    try:
        yield opened
    finally:
        for each in opened.opened:
            each.close()


@contextmanager
def bounded(process: RunningProcess) -> Iterator[None]:
    """Check that a process lives and stays within its memory and descriptors."""
    Path(f"/proc/{process.pid}/clear_refs").write_text("5")
    yield
    assert process.process.poll() is None
    peak_bytes = memory_bytes(process.pid, "VmHWM")
    descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
    print(f"memory {peak_bytes / 1e6:.0f} MB, descriptors {descriptors}")
    assert peak_bytes <= MEMORY_BYTES
    assert descriptors <= MAX_DESCRIPTORS


def assert_order_served(site: SiteFleet) -> None:
    """Check that an ordinary request is answered."""
    wait_until(lambda: site.call("/order/1", "POST").status == 200, "order served")


class TestPipelinedRequests:
    """Callers pipeline requests and read none of their answers.

    Guards against answers that were produced without end for callers that do not read,
    and against a recursion over pipelined requests, whose tracebacks filled the memory.
    """

    @pytest.mark.parametrize("shape", SHAPES)
    def test_memory_and_descriptors_are_bounded(
        self, site: SiteFleet, shape: str
    ) -> None:
        port, request, is_half_closed = SHAPES[shape]
        with crowd(HOSTS[0], site.ports[port]) as callers:
            with bounded(site.entries[0]), ThreadPoolExecutor(CALLERS) as pool:
                for _ in range(CALLERS):
                    pool.submit(callers.pipeline, request, is_half_closed)
            assert_order_served(site)

    def test_requests_sent_ahead_are_answered_once_their_caller_reads(
        self, site: SiteFleet
    ) -> None:
        address = f"{HOSTS[0]}:{site.ports['ready']}"
        with raw_connection(address) as caller:
            caller.sendall(readiness() * SENT_AHEAD)
            received = b""
            while received.count(b"\r\n\r\n") < SENT_AHEAD:
                data = caller.recv(65_536)
                assert data, f"closed after {received.count(b'HTTP/1.1 200')} answers"
                received += data
        assert received.count(b"HTTP/1.1 200") == SENT_AHEAD


class TestUnfinishedRequests:
    """Callers hold connections without a request, or with a part of one.

    Guards against descriptors and memory that grew with what callers began to send.
    """

    @pytest.mark.parametrize("port", ["front", "ready"])
    @pytest.mark.parametrize("part", [b"", b"GET / HTTP/1.1\r\nHos"])
    def test_descriptors_are_bounded(
        self, site: SiteFleet, port: str, part: bytes
    ) -> None:
        with crowd(HOSTS[0], site.ports[port]) as callers:
            with bounded(site.entries[0]):
                for _ in range(IDLE_CONNECTIONS):
                    callers.send(part)
                # The answer shows that the connections before it were accepted.
                status, _ = site.get(0, port, "/bramleyturn/readiness")
                assert status == (200 if port == "ready" else 404)
            assert_order_served(site)

    def test_bodies_being_read_are_bounded_together(self, site: SiteFleet) -> None:
        size = DEFAULT_CALLER_LIMITS.max_body_bytes
        limits = {"maxBodyBytes": size, "headerTimeoutMs": 30_000}
        version = site.send_control("/configuration", limits=limits)["version"]
        wait_until(lambda: site.in_force(0) == version, "configuration in force")
        head = (
            f"POST /order/1 HTTP/1.1\r\nHost: site.example\r\nContent-Length: {size}"
            "\r\n\r\n"
        )
        data = head.encode() + bytes(size - 1)
        with crowd(HOSTS[0], site.ports["front"]) as callers:
            with bounded(site.entries[0]), ThreadPoolExecutor(CALLERS) as pool:
                for _ in range(UNFINISHED_BODIES):
                    pool.submit(callers.send, data)
            assert_order_served(site)


class TestOwnInterface:
    """Callers of ``bramleyturn-entry`` read none of their answers.

    Guards against large answers that were produced for every request read ahead.
    """

    @pytest.mark.parametrize("path", [LARGE_PATH, "/readyz", "/nowhere"])
    def test_memory_is_bounded(self, entry: RunningProcess, path: str) -> None:
        host, _, port = entry.address.partition(":")
        with crowd(host, int(port)) as callers:
            with bounded(entry), ThreadPoolExecutor(CALLERS) as pool:
                for _ in range(CALLERS):
                    pool.submit(callers.pipeline, lambda: get(path), False)
            assert call(entry.address, "GET", "/healthz").status == 200

    def test_requests_sent_ahead_are_answered_once_their_caller_reads(
        self, entry: RunningProcess
    ) -> None:
        with raw_connection(entry.address) as caller:
            caller.sendall(get("/healthz") * SENT_AHEAD)
            received = b""
            while received.count(b'{"healthy":true}') < SENT_AHEAD:
                data = caller.recv(65_536)
                assert data, f"closed after {len(answers_in(received))} answers"
                received += data
