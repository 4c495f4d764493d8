"""Test which streams an instance begins while it stops."""

from typing import Final

import pytest

from bramleyturn.core.catalog.model import RouteKind, WeightedPool
from bramleyturn.core.fleet.members import MemberRef
from bramleyturn.core.waiting.run_times import note_run, typical_ms
from bramleyturn.core.waiting.shutdown import plan_shutdown
from tests.gateway.one_entry import (
    POOL,
    SIGNATURE,
    CalledServer,
    Caller,
    OneEntry,
    plain_route,
    server,
)

GRACE_MS: Final = 8_000
# Arrivals after SIGTERM: in the rotation of the platform, and later.
EARLY_MS: Final = 1_000
LATE_MS: Final = 3_160
PAUSE_MS: Final = 30
TOKENS_PER_EVENT: Final = 3
USUAL_EVENTS: Final = 40
# Lasts longer than what is left of the grace period at both times.
LONG_EVENTS: Final = 240
SHORT_EVENTS: Final = 20
WAIT_MS: Final = 15_000
IDEAS: Final = "ideas"


def entry_of() -> OneEntry:
    """Return an instance with streams of two pools."""
    drafts = plain_route(
        RouteKind.STREAM, name="drafts", prefix="/drafts", timeout_ms=WAIT_MS
    )
    ideas = drafts._replace(
        name="ideas", prefix="/ideas", targets=(WeightedPool(IDEAS, 1.0),)
    )
    return OneEntry([drafts, ideas], [server("i-1"), server("i-2", pool=IDEAS)])


def send(
    entry: OneEntry,
    events: int,
    caller: Caller | None = None,
    wait_ms: int = WAIT_MS,
    path: str = "/drafts",
    is_size_named: bool = True,
) -> Caller:
    """Send the request of a stream."""
    caller = caller or Caller(entry)
    tokens = TOKENS_PER_EVENT * events
    fields = [f"Bramleyturn-Token-Counts: 100,{tokens}"] if is_size_named else []
    caller.send(wait_ms=wait_ms, fields=fields, path=path)
    return caller


def answer(entry: OneEntry, called: CalledServer, events: int) -> None:
    """Let a server send a whole stream."""
    entry.run(100)
    called.answer(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\nBramleyturn-Attempt-Id: a1\r\n"
        b"%b\r\n" % SIGNATURE
    )
    for number in range(1, events + 1):
        text = b"id: %d\ndata: piece\n\n" % number
        called.answer(b"%x\r\n%b\r\n" % (len(text), text))
        entry.run(PAUSE_MS)
    called.answer(b"0\r\n\r\n")


def serve(entry: OneEntry, events: int = USUAL_EVENTS, **options: str) -> Caller:
    """Serve one stream; return its caller."""
    caller = send(entry, events, path=options.get("path", "/drafts"))
    answer(entry, entry.accept(), events)
    assert caller.is_whole()
    return caller


def stop(entry: OneEntry, since_ms: int) -> None:
    """Let the instance have got SIGTERM ``since_ms`` ago."""
    asked_ms = entry.now_ms() - since_ms
    entry.serving.shutdown = plan_shutdown(asked_ms, asked_ms, GRACE_MS, 0)


def is_begun(entry: OneEntry) -> bool:
    """Return whether the instance sends a request to a server."""
    return entry.is_connecting()


class TestLongStreams:
    """Streams that name more output than fits into the rest of the grace period.

    Guards against streams that were taken on kept connections, because the runs before
    them were short, and cut at the end of the grace period.
    """

    @pytest.mark.parametrize("since_ms", [EARLY_MS, LATE_MS])
    @pytest.mark.parametrize("is_kept", [False, True])
    def test_are_refused_at_once(self, since_ms: int, is_kept: bool) -> None:
        entry = entry_of()
        first = serve(entry)
        stop(entry, since_ms)
        caller = send(entry, LONG_EVENTS, first if is_kept else None)
        assert not is_begun(entry)
        assert b"HTTP/1.1 503" in caller.received()
        assert b"retry-after" in caller.received().lower()

    def test_are_refused_where_the_pool_has_served_none(self) -> None:
        entry = entry_of()
        serve(entry, path="/drafts")
        stop(entry, LATE_MS)
        assert send(entry, LONG_EVENTS, path="/ideas").status() == 503

    def test_are_begun_if_their_deadline_comes_first(self) -> None:
        entry = entry_of()
        serve(entry)
        stop(entry, LATE_MS)
        send(entry, LONG_EVENTS, wait_ms=4_000)
        assert is_begun(entry)

    def test_are_begun_in_calm(self) -> None:
        entry = entry_of()
        serve(entry)
        caller = send(entry, LONG_EVENTS)
        answer(entry, entry.accept(), LONG_EVENTS)
        assert caller.is_whole()

    def test_one_long_stream_before_keeps_no_short_one_away(self) -> None:
        entry = entry_of()
        serve(entry, LONG_EVENTS)
        stop(entry, LATE_MS)
        send(entry, SHORT_EVENTS)
        assert is_begun(entry)


class TestUnknownSizes:
    """Streams of which nothing tells how long they are."""

    def test_are_refused_late(self) -> None:
        entry = entry_of()
        serve(entry)
        stop(entry, LATE_MS)
        assert send(entry, USUAL_EVENTS, is_size_named=False).status() == 503

    def test_are_begun_in_the_rotation(self) -> None:
        entry = entry_of()
        serve(entry)
        stop(entry, EARLY_MS)
        send(entry, USUAL_EVENTS, is_size_named=False)
        assert is_begun(entry)

    def test_order_of_an_unused_pool_is_begun(self) -> None:
        entry = OneEntry([plain_route(RouteKind.NON_IDEMPOTENT)], [server("i-1")])
        stop(entry, LATE_MS)
        Caller(entry).send(wait_ms=WAIT_MS)
        assert is_begun(entry)


class TestUsualStreams:
    """Streams that end in time."""

    @pytest.mark.parametrize("since_ms", [EARLY_MS, LATE_MS])
    def test_are_begun(self, since_ms: int) -> None:
        entry = entry_of()
        serve(entry)
        stop(entry, since_ms)
        send(entry, USUAL_EVENTS)
        assert is_begun(entry)

    def test_margin_is_for_the_run_and_not_for_its_stages(self) -> None:
        """Guards against late streams that end in time and were refused."""
        entry = entry_of()
        serve(entry)
        run_ms = typical_ms(entry.serving.run_times, POOL, 0)
        for _ in range(2):
            note_run(entry.serving.request_times, "drafts", run_ms + 1_010)
        stop(entry, LATE_MS)
        send(entry, USUAL_EVENTS)
        assert is_begun(entry)

    def test_are_refused_late_where_another_instance_serves_them(self) -> None:
        entry = entry_of()
        serve(entry)
        stop(entry, LATE_MS)
        other = MemberRef("front-2", "north", "10.0.0.8:7740", "1-2")
        live = [entry.serving.me, other]
        entry.serving.live = lambda: live  # type: ignore[method-assign]
        assert send(entry, USUAL_EVENTS).status() == 503

    def test_rest_of_a_stream_tells_nothing_of_the_pace(self) -> None:
        entry = entry_of()
        caller = Caller(entry)
        tokens = TOKENS_PER_EVENT * LONG_EVENTS
        caller.send(
            wait_ms=WAIT_MS,
            path="/drafts",
            fields=[f"Bramleyturn-Token-Counts: 100,{tokens}", "Last-Event-Id: 238"],
        )
        answer(entry, entry.accept(), LONG_EVENTS)
        stop(entry, LATE_MS)
        assert send(entry, LONG_EVENTS).status() == 503
