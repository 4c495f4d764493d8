"""Test that callers that read slowly, or never, harm no one but themselves."""

import socket
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from typing import Final

import pytest

from bramleyturn.standin.site.site import API_KEY
from tests.site.site_fleet import HOSTS, SiteFleet, running_fleet, wait_until
from tests.site.test_endless_answers import (
    MEMORY_BYTES,
    Watched,
    assert_unharmed,
    draft,
    ended,
    lookup,
    order,
    set_endless,
    unlike_others,
    watching,
)

CALLERS: Final = 12
# 5 Mbit/s.
READ_BYTES: Final = 62_500
READ_INTERVAL_S: Final = 0.1
WAIT_MS: Final = 4_000
LARGE_ANSWER_BYTES: Final = 8 * 1024 * 1024
EVENTS: Final = ["events", "large_events"]
FRAMINGS: Final = ["chunked", "close"]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SiteFleet]:
    """Run one site for the module."""
    with running_fleet(tmp_path_factory.mktemp("site"), entries=1) as running:
        yield running


@pytest.fixture
def site(fleet: SiteFleet) -> Iterator[SiteFleet]:
    """Return the site for a test, with sound servers before and after it."""
    yield fleet
    for pool in ("members", "drafts"):
        for place in (0, 1):
            fleet.send_control("/fault", server=f"i-{pool}-{place}", fault="")
    wait_until(lambda: not fleet.in_progress(0), "every request has ended")
    wait_until(lambda: order(fleet).status == 200, "orders are served")
    wait_until(lambda: draft(fleet).status == 200, "drafts are served")


def open_caller(site: SiteFleet, path: str, wait_ms: int = WAIT_MS) -> socket.socket:
    """Send a request and read nothing yet."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    caller.settimeout(WAIT_MS / 1_000 + 2)
    caller.connect((HOSTS[0], site.ports["front"]))
    body = unlike_others()
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: site.example",
        f"Bramleyturn-Attempt-Id: u{body.decode()}",
        f"Bramleyturn-Deadline-Ms: {wait_ms}",
        f"Authorization: Bearer {API_KEY}",
        f"Content-Length: {len(body)}",
    ]
    caller.sendall("\r\n".join([*lines, "", ""]).encode() + body)
    return caller


def read(caller: socket.socket, interval_s: float) -> bytes:
    """Read an answer until its connection ends, at the speed of a caller's link."""
    received = bytearray()
    try:
        while data := caller.recv(READ_BYTES):
            received += data
            time.sleep(interval_s)
    except OSError:
        pass
    return bytes(received)


@contextmanager
def open_callers(
    site: SiteFleet, path: str, count: int = CALLERS
) -> Iterator[list[socket.socket]]:
    """Send requests of callers, whose connections are closed at the end."""
    with ExitStack() as opened:
        yield [opened.enter_context(open_caller(site, path)) for _ in range(count)]


def run_beside(
    site: SiteFleet, path: str, use: Callable[[socket.socket], bytes]
) -> tuple[Watched, list[bytes]]:
    """Use connections of callers, and send lookups and orders beside them."""
    with (
        watching(site) as watched,
        open_callers(site, path) as callers,
        ThreadPoolExecutor(2 * CALLERS) as pool,
    ):
        used = [pool.submit(use, caller) for caller in callers]
        others = [pool.submit(each, site) for each in (lookup, order) for _ in range(6)]
        assert {each.result().status for each in others} == {200}
        return watched, [each.result() for each in used]


def read_slowly(caller: socket.socket) -> bytes:
    """Read at the speed of a slow link."""
    return read(caller, READ_INTERVAL_S)


def read_fast(caller: socket.socket) -> bytes:
    """Read without a pause."""
    return read(caller, 0)


def read_nothing(caller: socket.socket) -> bytes:
    """Read nothing until the deadline is over."""
    time.sleep(WAIT_MS / 1_000 + 1)
    return b""


class TestStreamsWithoutEnd:
    """A server sends whole events without end.

    Guards against the entry's buffering what slow callers do not read.
    """

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("part", EVENTS)
    @pytest.mark.parametrize("use", [read_slowly, read_nothing])
    def test_unread_events_are_left_to_the_server(
        self,
        site: SiteFleet,
        part: str,
        framing: str,
        use: Callable[[socket.socket], bytes],
    ) -> None:
        set_endless(site, "drafts", part, framing)
        watched, received = run_beside(site, "/note/1", use)
        assert_unharmed(watched)
        assert not any(each.endswith(b"\r\n0\r\n\r\n") for each in received)
        wait_until(lambda: bool(ended(site, "drafts")), "the stream was closed")

    @pytest.mark.parametrize("part", EVENTS)
    def test_fast_caller_is_served_beside_others(
        self, site: SiteFleet, part: str
    ) -> None:
        set_endless(site, "drafts", part, "chunked")
        with (
            watching(site) as watched,
            open_callers(site, "/note/1", 1) as callers,
            ThreadPoolExecutor(4) as pool,
        ):
            used = pool.submit(read_fast, callers[0])
            others = [pool.submit(lookup, site) for _ in range(6)]
            assert {each.result().status for each in others} == {200}
            received = used.result()
        assert received
        assert_unharmed(watched)


class TestLargeAnswers:
    """Callers leave large answers of sound servers unread."""

    @pytest.fixture(autouse=True)
    def _large(self, site: SiteFleet) -> None:
        for place in (0, 1):
            site.send_control(
                "/fault",
                server=f"i-members-{place}",
                fault="",
                answer_bytes=LARGE_ANSWER_BYTES,
            )

    def test_all_together_are_bounded(self, site: SiteFleet) -> None:
        with watching(site) as watched, open_callers(site, "/order/1"):
            time.sleep(WAIT_MS / 1_000)
        # The answers that are read from servers, and those not read by callers.
        assert watched.peak_bytes - watched.rest_bytes <= 2 * MEMORY_BYTES
        page = site.get(0, "metrics", "/metrics")[1].decode()
        assert "answers_unread_total" in page

    def test_one_that_is_read_is_whole(self, site: SiteFleet) -> None:
        answer = order(site)
        assert (answer.status, len(answer.body)) == (200, LARGE_ANSWER_BYTES)


class TestSoundStreams:
    """Streams of sound servers reach slow callers whole."""

    def test_stream_that_is_longer_than_the_buffers(self, site: SiteFleet) -> None:
        event_bytes = 200_000
        for place in (0, 1):
            site.send_control(
                "/fault",
                server=f"i-drafts-{place}",
                fault="",
                event_bytes=event_bytes,
            )
        with open_callers(site, "/note/1", 2) as callers, ThreadPoolExecutor(2) as pool:
            for received in pool.map(read_whole, callers):
                assert received.count(b"data: token-") == 8
                assert received.endswith(b"0\r\n\r\n")
                assert len(received) > 8 * event_bytes


def read_whole(caller: socket.socket) -> bytes:
    """Read one answer in chunks, slowly."""
    received = bytearray()
    while not received.endswith(b"\r\n0\r\n\r\n"):
        data = caller.recv(READ_BYTES)
        if not data:
            break
        received += data
        time.sleep(READ_INTERVAL_S / 2)
    return bytes(received)
