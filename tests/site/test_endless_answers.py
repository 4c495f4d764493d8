"""Test that a server whose answers have no end harms no one but itself."""

import itertools
import subprocess
import sys
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any, Final

import pytest

from tests.site.site_fleet import (
    HOSTS,
    TIMEOUT_S,
    Answer,
    SiteFleet,
    running_fleet,
    wait_until,
)

POOLS = ("members", "drafts", "books")
FRAMINGS = ("length", "chunked", "close")
HEADS = [("field", "close"), ("fields", "close"), ("interim", "close")]
CHUNKS = [("chunk", "chunked"), ("chunk_head", "chunked"), ("chunk_heads", "chunked")]
BODIES = [(part, framing) for part in ("event", "line") for framing in FRAMINGS]
# One of each kind of bound.
KINDS = [HEADS[0], HEADS[2], ("event", "chunked"), ("line", "close"), *CHUNKS]
# Time within which a bound is reached, also on a busy machine; half of ``WAIT_MS``.
CLOSE_MS: Final = 2_000
# Targets of issue 28.
LOOP_DELAY_MS: Final = 50
MEMORY_BYTES: Final = 64 * 1024 * 1024
CALLERS = 4
MANY_CALLERS = 12
WAIT_MS = 4_000
SLOW_BYTES_PER_S = 400
EVENTS = 8

Shape = Mapping[str, object]
_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SiteFleet]:
    """Run one site for the module."""
    with running_fleet(tmp_path_factory.mktemp("site"), entries=1) as running:
        yield running


@pytest.fixture
def site(fleet: SiteFleet) -> Iterator[SiteFleet]:
    """Return the site for a test, with sound servers before and after it."""
    yield fleet
    for pool, place in itertools.product(POOLS, (0, 1)):
        fleet.send_control("/fault", server=f"i-{pool}-{place}", fault="")
    wait_until(lambda: not fleet.in_progress(0), "every request has ended")
    wait_until(lambda: order(fleet).status == 200, "orders are served")
    wait_until(lambda: draft(fleet).status == 200, "drafts are served")


class Watched:
    """Hold the longest delay of an entry's loop and the peak of its memory."""

    def __init__(self) -> None:
        self.longest_ms = 0.0
        self.peak_bytes = 0
        self.rest_bytes = 0


@contextmanager
def watching(site: SiteFleet) -> Iterator[Watched]:
    """Measure an entry's delays and memory until the block ends.

    The loop itself answers the readiness check, so a delay of the answer is one of it.
    """
    watched = Watched()
    pid = site.entries[0].pid
    watched.rest_bytes = memory_bytes(pid, "VmRSS")
    Path(f"/proc/{pid}/clear_refs").write_text("5")
    address = f"{HOSTS[0]}:{site.ports['ready']}"
    probe = subprocess.Popen(
        [sys.executable, "-m", "tests.site.loop_probe", address, str(pid)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert probe.stdout is not None
    try:
        assert probe.stdout.readline() == b"ready\n"
        yield watched
    finally:
        longest_ms = probe.communicate(timeout=TIMEOUT_S)[0]
    watched.longest_ms = float(longest_ms)
    watched.peak_bytes = memory_bytes(pid, "VmHWM")
    grown_mb = (watched.peak_bytes - watched.rest_bytes) / 1e6
    print(f"loop {watched.longest_ms:.0f} ms, memory {grown_mb:.1f} MB")


def memory_bytes(pid: int, field: str) -> int:
    """Return a figure on the memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (line,) = (each for each in lines if each.startswith(field))
    return int(line.split()[1]) * 1024


def assert_unharmed(watched: Watched) -> None:
    """Check the targets of an entry that reads from a server in trouble."""
    assert watched.longest_ms <= LOOP_DELAY_MS
    assert watched.peak_bytes - watched.rest_bytes <= MEMORY_BYTES


def set_endless(
    site: SiteFleet,
    pool: str,
    part: str,
    framing: str,
    places: tuple[int, ...] = (0, 1),
    **changes: Any,
) -> None:
    """Let servers of a pool send one part of their answers without end."""
    shape: Shape = {"framing": framing, "endless": part, **changes}
    for place in places:
        site.send_control("/fault", server=f"i-{pool}-{place}", fault="", shape=shape)


def ended(site: SiteFleet, pool: str) -> list[dict[str, int]]:
    """Return the answers without end of a pool that the entry has closed."""
    servers = site.send_control("/ledger")["servers"]
    return [
        each for place in (0, 1) for each in servers[f"i-{pool}-{place}"]["endless"]
    ]


def unlike_others() -> bytes:
    """Return a body of its own."""
    return b"%d" % next(_numbers)


def note(site: SiteFleet) -> Answer:
    """Request a stream that must not be resumed."""
    return site.call("/note/1", method="POST", body=unlike_others(), wait_ms=WAIT_MS)


def draft(site: SiteFleet) -> Answer:
    """Request a stream that may be resumed, and that follows a stage."""
    return site.draft(unlike_others(), wait_ms=WAIT_MS)


def order(site: SiteFleet) -> Answer:
    """Request an answer that is no stream, which must not be repeated."""
    return site.call("/order/1", method="POST", body=unlike_others())


def lookup(site: SiteFleet) -> Answer:
    """Request an answer that may be repeated."""
    return site.call("/lookup/1")


def call_at_once(
    site: SiteFleet, send: Callable[[SiteFleet], Answer], callers: int = CALLERS
) -> list[Answer]:
    """Send requests at the same time, with a lookup after each."""
    with ThreadPoolExecutor(2 * callers) as pool:
        sent = [pool.submit(send, site) for _ in range(callers)]
        lookups = [pool.submit(lookup, site) for _ in range(callers)]
        assert {each.result().status for each in lookups} == {200}
        return [each.result() for each in sent]


def assert_closed_at_once(site: SiteFleet, pool: str, before: int) -> None:
    """Check that no answer without end was read for long."""
    wait_until(lambda: len(ended(site, pool)) > before, "an answer was closed")
    assert max(each["took_ms"] for each in ended(site, pool)[before:]) < CLOSE_MS


def assert_whole_stream(answer: Answer) -> None:
    """Check that a stream reached its caller whole."""
    assert (answer.status, answer.is_whole) == (200, True)
    assert answer.body.count(b"data: token-") == EVENTS
    assert answer.body.count(b"\n\n") == EVENTS


def is_closed_after_lookups(site: SiteFleet, before: int) -> bool:
    """Return whether lookups, all of which are answered, met an answer without end."""
    call_at_once(site, lookup)
    return len(ended(site, "members")) > before


class TestRepeats:
    """An engine's answer has no end, and another engine's has.

    This comes first: later tests use up the budget for repeated requests.
    """

    @pytest.mark.parametrize(("part", "framing"), KINDS)
    def test_other_engine_serves_what_may_be_repeated(
        self, site: SiteFleet, part: str, framing: str
    ) -> None:
        for place in (0, 1):
            set_endless(site, "drafts", part, framing, (place,))
            other = f"i-drafts-{1 - place}"
            site.send_control("/fault", server=other, fault="")
            assert_whole_stream(draft(site))


class TestStreams:
    """An engine's answer has no end."""

    @pytest.mark.parametrize(("part", "framing"), HEADS + BODIES + CHUNKS)
    def test_lookups_wait_for_no_stream_without_end(
        self, site: SiteFleet, part: str, framing: str
    ) -> None:
        before = len(ended(site, "drafts"))
        set_endless(site, "drafts", part, framing)
        with watching(site) as watched:
            answers = call_at_once(site, draft)
        assert {answer.status for answer in answers} == {502}
        assert_closed_at_once(site, "drafts", before)
        assert_unharmed(watched)

    @pytest.mark.parametrize(("part", "framing"), KINDS)
    def test_stream_that_must_not_be_repeated_fails_at_once(
        self, site: SiteFleet, part: str, framing: str
    ) -> None:
        set_endless(site, "drafts", part, framing)
        assert note(site).status == 502
        assert max(len(site.ran(each)) for each in self._attempts(site)) == 1

    @pytest.mark.parametrize("part", ["field", "interim", "event", "line"])
    def test_trickle_ends_with_the_deadline(self, site: SiteFleet, part: str) -> None:
        set_endless(site, "drafts", part, "close", bytes_per_s=SLOW_BYTES_PER_S)
        with watching(site) as watched:
            answer = site.draft(unlike_others(), wait_ms=1_500)
        assert answer.status in {502, 504}
        assert_unharmed(watched)

    def test_bytes_after_a_whole_stream_reach_no_one(self, site: SiteFleet) -> None:
        before = len(ended(site, "drafts"))
        set_endless(site, "drafts", "after", "length")
        with watching(site) as watched:
            answers = call_at_once(site, note)
        for answer in answers:
            assert answer.body == b"id: 0\ndata: token-0\n\n"
        assert_closed_at_once(site, "drafts", before)
        assert_unharmed(watched)

    def test_bound_is_logged_and_counted(self, site: SiteFleet) -> None:
        set_endless(site, "drafts", "event", "chunked")
        assert note(site).status == 502

        def lines() -> list[dict[str, Any]]:
            found = site.events(0, "answer over its bound")
            return [each for each in found if each["bound"] == "event"]

        wait_until(lambda: bool(lines()), "the bound is logged")
        line = lines()[-1]
        assert line["server"].startswith("i-drafts-")
        assert line["bytes"] > 0
        page = site.get(0, "metrics", "/metrics")[1].decode()
        label = f'answers_over_bound_total{{of="{line["server"]} event"}}'
        assert label in page

    def _attempts(self, site: SiteFleet) -> list[str]:
        servers = site.send_control("/ledger")["servers"]
        return [
            ran["attempt_id"]
            for place in (0, 1)
            for ran in servers[f"i-drafts-{place}"]["ran"]
            if ran["target"].startswith("/note/")
        ]


class TestOtherAnswers:
    """A plain server's answer has no end."""

    @pytest.mark.parametrize(("part", "framing"), KINDS)
    def test_lookups_are_answered_by_another_server(
        self, site: SiteFleet, part: str, framing: str
    ) -> None:
        before = len(ended(site, "members"))
        set_endless(site, "members", part, framing, (0,))
        with watching(site) as watched:
            wait_until(partial(is_closed_after_lookups, site, before), "closed")
        assert_closed_at_once(site, "members", before)
        assert_unharmed(watched)

    @pytest.mark.parametrize(("part", "framing"), KINDS)
    def test_order_fails_at_once(
        self, site: SiteFleet, part: str, framing: str
    ) -> None:
        before = len(ended(site, "members"))
        set_endless(site, "members", part, framing)
        assert order(site).status == 502
        assert_closed_at_once(site, "members", before)

    def test_many_bodies_at_once_hold_no_more_than_a_few(self, site: SiteFleet) -> None:
        before = len(ended(site, "members"))
        set_endless(site, "members", "line", "close")
        with watching(site) as watched, ThreadPoolExecutor(MANY_CALLERS) as pool:
            answers = list(pool.map(order, [site] * MANY_CALLERS))
        assert {answer.status for answer in answers} <= {502, 504}
        assert_closed_at_once(site, "members", before)
        assert_unharmed(watched)

    def test_status_without_end_confirms_no_answer(self, site: SiteFleet) -> None:
        before = len(ended(site, "members"))
        set_endless(site, "members", "line", "close", is_status=True)
        assert order(site).status == 502
        assert_closed_at_once(site, "members", before)


class TestStageCalls:
    """The answer to a call of a stage has no end."""

    @pytest.mark.parametrize(("part", "framing"), KINDS)
    def test_drafts_are_refused_at_once(
        self, site: SiteFleet, part: str, framing: str
    ) -> None:
        before = len(ended(site, "books"))
        set_endless(site, "books", part, framing)
        with watching(site) as watched:
            answers = call_at_once(site, draft)
        assert {answer.status for answer in answers} == {503}
        assert_closed_at_once(site, "books", before)
        assert_unharmed(watched)

    @pytest.mark.parametrize("place", [0, 1])
    def test_pieces_are_made_by_another_server(
        self, site: SiteFleet, place: int
    ) -> None:
        set_endless(site, "books", "line", "chunked", (place,))
        for answer in call_at_once(site, draft):
            assert_whole_stream(answer)


class TestSoundServers:
    """Sound servers are used as before."""

    def test_server_is_used_again_once_it_is_sound(self, site: SiteFleet) -> None:
        set_endless(site, "drafts", "event", "chunked")
        assert note(site).status == 502
        for place in (0, 1):
            site.send_control("/fault", server=f"i-drafts-{place}", fault="")
        wait_until(partial(is_whole, site), "streams are served")


def is_whole(site: SiteFleet) -> bool:
    """Return whether a stream is served."""
    return note(site).status == 200
