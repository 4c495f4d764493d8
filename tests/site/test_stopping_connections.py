"""Test what happens to connections while an entry stops as a real process.

Each stop is the platform's: SIGTERM, and SIGKILL exactly after the grace period.
"""

import signal
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any, Final

import pytest

from tests.processes import freeze, output_of, thaw
from tests.site.raw_caller import (
    CallEnd,
    Pace,
    call,
    draft_bytes,
    open_caller,
    read_answer,
    request_bytes,
    sleep_until,
    stopping,
)
from tests.site.site_fleet import SiteFleet, running_fleet, wait_until

# A stopping entry ends its requests this long after SIGTERM.
TIME_TO_STOP_S: Final = 7.75
LEAVE_ROTATION_S: Final = 3.0
MAX_BODY_BYTES: Final = 65_536
# More than a connection with a small window holds by far.
LARGE_BYTES: Final = 2_560_000
EVENTS: Final = 8


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site with one entry."""
    with running_fleet(tmp_path, entries=1) as fleet:
        yield fleet


@contextmanager
def callers_of(count: int) -> Iterator[ThreadPoolExecutor]:
    """Run threads that call."""
    with ThreadPoolExecutor(count) as callers:
        yield callers


def set_servers(fleet: SiteFleet, pool: str, fault: str = "", **fields: Any) -> None:
    """Set the fault and the answers of both servers of a pool."""
    for place in range(2):
        fleet.send_control("/fault", server=f"i-{pool}-{place}", fault=fault, **fields)


def allow_long_requests(fleet: SiteFleet) -> None:
    """Publish timeouts that no test reaches."""
    timeouts_ms = dict.fromkeys(("lookup", "order", "draft", "note"), 20_000)
    fleet.send_control("/configuration", timeouts_ms=timeouts_ms)
    wait_until(lambda: fleet.in_force(0) == 2, "in force")


def hold_order(fleet: SiteFleet, callers: ThreadPoolExecutor) -> "Future[CallEnd]":
    """Send the entry an order that no server answers, which keeps it from ending."""
    allow_long_requests(fleet)
    set_servers(fleet, "members", "hang")
    order = request_bytes("/order/1", "POST", b"x", attempt_id="held")
    held = callers.submit(call, fleet, order)
    wait_until(lambda: len(fleet.ran("held")) == 1, "the order runs")
    set_servers(fleet, "members")
    return held


def hold_both(
    fleet: SiteFleet, callers: ThreadPoolExecutor
) -> "dict[str, Future[CallEnd]]":
    """Send an order that no server answers, and a draft whose stages are refused."""
    order = hold_order(fleet, callers)
    set_servers(fleet, "books", "shed")
    draft = callers.submit(call, fleet, draft_bytes("waits"))
    wait_until(lambda: fleet.in_progress(0) == 2, "the draft is read")
    return {"order": order, "draft": draft}


def told(fleet: SiteFleet, *seen: object) -> str:
    """Return what was seen and the end of the entry's log, for a failing test."""
    return "\n".join([*map(repr, seen), output_of(fleet.entries[0])])


def assert_ended(fleet: SiteFleet) -> None:
    """Check that the entry ends by itself."""
    process = fleet.entries[0].process
    wait_until(lambda: process.poll() is not None, "ended")
    assert process.returncode == 0, told(fleet)


class TestLateLoop:
    """The process does not run for a while, around SIGTERM or the end of its time."""

    @pytest.mark.parametrize("pause_s", [0.3, 0.6, 1.2])
    def test_requests_are_answered_before_the_kill_if_sigterm_is_handled_late(
        self, fleet: SiteFleet, pause_s: float
    ) -> None:
        with callers_of(2) as callers:
            held = hold_both(fleet, callers)
            freeze(fleet.entries[0])
            with stopping(fleet):
                time.sleep(pause_s)
                thaw(fleet.entries[0])
                ends = {name: each.result() for name, each in held.items()}
        expected = {"order": ("whole", 504), "draft": ("whole", 503)}
        found = {name: (each.how, each.status) for name, each in ends.items()}
        assert found == expected, told(fleet, ends)

    @pytest.mark.parametrize("until_s", [7.9, 7.93])
    def test_requests_are_answered_if_the_end_of_the_time_is_handled_late(
        self, fleet: SiteFleet, until_s: float
    ) -> None:
        with callers_of(2) as callers:
            held = hold_both(fleet, callers)
            with stopping(fleet) as sent_s:
                sleep_until(sent_s + 7.6)
                freeze(fleet.entries[0])
                sleep_until(sent_s + until_s)
                thaw(fleet.entries[0])
                ends = {name: each.result() for name, each in held.items()}
        expected = {"order": ("whole", 504), "draft": ("whole", 503)}
        found = {name: (each.how, each.status) for name, each in ends.items()}
        assert found == expected, told(fleet, ends)

    @pytest.mark.parametrize("until_s", [7.8, 7.9, 7.94])
    @pytest.mark.parametrize("is_accepted", [False, True], ids=["queued", "accepted"])
    def test_requests_that_arrive_while_the_end_is_late_are_answered(
        self, fleet: SiteFleet, is_accepted: bool, until_s: float
    ) -> None:
        """The connections are accepted before the pause, or wait in the queue."""
        with ExitStack() as opened, callers_of(1) as callers:
            held = hold_order(fleet, callers)
            with stopping(fleet) as sent_s:
                sleep_until(sent_s + 7.5)
                if not is_accepted:
                    freeze(fleet.entries[0])
                late = [opened.enter_context(open_caller(fleet)) for _ in range(20)]
                if is_accepted:
                    time.sleep(0.1)
                    freeze(fleet.entries[0])
                for caller in late:
                    caller.sendall(request_bytes("/none"))
                sleep_until(sent_s + until_s)
                thaw(fleet.entries[0])
                ends = [read_answer(caller) for caller in late]
                assert held.result().status == 504
        assert {each.how for each in ends} == {"whole"}, told(fleet, ends)


class TestUnreadBytes:
    """Bytes that the caller sent, and the entry hasn't read when it closes."""

    # About 1.2 s in all, less than a closing connection is given.
    PACE: Final = Pace(pause_s=0.03)
    FURTHER: Final = {
        "line end": b"\r\n",
        "start of a head": b"GET /lookup/2 HT",
        "request": request_bytes("/lookup/2"),
    }

    @pytest.mark.parametrize("further", FURTHER)
    @pytest.mark.parametrize("is_stopping", [True, False])
    def test_bytes_sent_during_the_answer_do_not_cut_it(
        self, fleet: SiteFleet, further: str, is_stopping: bool
    ) -> None:
        set_servers(fleet, "members", processing_ms=400, answer_bytes=LARGE_BYTES)
        headers = {} if is_stopping else {"Connection": "close"}
        with open_caller(fleet, has_small_window=True) as caller:
            caller.sendall(request_bytes(headers=headers))
            time.sleep(0.2)
            if is_stopping:
                fleet.stop_entry(0)
            time.sleep(0.4)
            caller.sendall(self.FURTHER[further])
            end = read_answer(caller, self.PACE)
        assert (end.how, end.status) == ("whole", 200), told(fleet, end)
        assert len(end.body) == LARGE_BYTES

    @pytest.mark.parametrize("further", FURTHER)
    def test_bytes_sent_with_the_request_do_not_cut_its_answer(
        self, fleet: SiteFleet, further: str
    ) -> None:
        set_servers(fleet, "members", processing_ms=400, answer_bytes=LARGE_BYTES)
        with open_caller(fleet, has_small_window=True) as caller:
            caller.sendall(request_bytes() + self.FURTHER[further])
            time.sleep(0.2)
            fleet.stop_entry(0)
            time.sleep(0.4)
            end = read_answer(caller, self.PACE)
        assert (end.how, end.status) == ("whole", 200), told(fleet, end)
        assert len(end.body) == LARGE_BYTES

    @pytest.mark.parametrize("is_chunked", [True, False])
    def test_refusal_of_a_large_body_arrives_and_the_rest_can_be_sent(
        self, fleet: SiteFleet, is_chunked: bool
    ) -> None:
        part = b"x" * 16_384
        count = 5 * MAX_BODY_BYTES // len(part)
        if is_chunked:
            headers = {"Transfer-Encoding": "chunked"}
            parts = [b"%x\r\n%b\r\n" % (len(part), part)] * count + [b"0\r\n\r\n"]
        else:
            headers = {"Content-Length": str(count * len(part))}
            parts = [part] * count
        request = request_bytes("/order/1", "POST", headers=headers)
        end, has_reset = self._send_slowly(fleet, request, parts)
        assert (end.how, end.status) == ("whole", 413), told(fleet, end)
        assert not has_reset, told(fleet, end)

    def test_refusal_of_a_large_head_arrives_and_the_rest_can_be_sent(
        self, fleet: SiteFleet
    ) -> None:
        request = request_bytes()[:-2]
        parts = [
            b"X-Large-%d: " % number + b"x" * 4_000 + b"\r\n" for number in range(20)
        ]
        end, has_reset = self._send_slowly(fleet, request, [*parts, b"\r\n"])
        assert (end.how, end.status) == ("whole", 431), told(fleet, end)
        assert not has_reset, told(fleet, end)

    def test_caller_that_sends_on_after_a_refusal_is_disconnected(
        self, fleet: SiteFleet
    ) -> None:
        """It would send for 10 s."""
        headers = {"Content-Length": str(1_000_000_000)}
        request = request_bytes("/order/1", "POST", headers=headers)
        _, has_reset = self._send_slowly(fleet, request, [b"x" * 16_384] * 500)
        assert has_reset, told(fleet)

    def _send_slowly(
        self, fleet: SiteFleet, request: bytes, parts: list[bytes]
    ) -> tuple[CallEnd, bool]:
        """Return the answer, and whether the connection was reset while sending."""
        has_reset = False
        with open_caller(fleet) as caller:
            try:
                caller.sendall(request)
                for part in parts:
                    caller.sendall(part)
                    time.sleep(0.02)
            except (ConnectionResetError, BrokenPipeError):
                has_reset = True
            return read_answer(caller), has_reset


class TestSlowReaders:
    """Callers that take seconds to read an answer that is complete."""

    # A socket may hold 4 MB of it.
    SIZE_BYTES: Final = 6 * LARGE_BYTES
    # About 4 s in all.
    PACE: Final = Pace(384 * 1024, 0.1)
    # The caller is busy at first, and reads all within 7 s.
    LATE: Final = Pace(first_pause_s=5.5)
    PAUSED: Final = Pace(first_pause_s=3.5)

    def _set_answers(self, fleet: SiteFleet, processing_ms: int) -> None:
        allow_long_requests(fleet)
        set_servers(
            fleet, "members", processing_ms=processing_ms, answer_bytes=self.SIZE_BYTES
        )

    def _assert_whole(self, fleet: SiteFleet, end: CallEnd) -> None:
        found = (end.how, end.status, len(end.body))
        assert found == ("whole", 200, self.SIZE_BYTES), told(fleet, end)

    @pytest.mark.parametrize("pace", [PACE, LATE], ids=["4s", "late"])
    def test_answer_made_before_sigterm_is_read_to_its_end(
        self, fleet: SiteFleet, pace: Pace
    ) -> None:
        self._set_answers(fleet, 10)
        with callers_of(1) as callers:
            slow = callers.submit(call, fleet, request_bytes(), pace)
            wait_until(lambda: len(fleet.events(0, "request ended")) == 1, "made")
            with stopping(fleet):
                end = slow.result()
        self._assert_whole(fleet, end)

    def test_answer_made_while_stopping_is_read_to_its_end(
        self, fleet: SiteFleet
    ) -> None:
        self._set_answers(fleet, 400)
        with callers_of(1) as callers:
            slow = callers.submit(call, fleet, request_bytes(), self.PACE)
            time.sleep(0.2)
            with stopping(fleet):
                end = slow.result()
        self._assert_whole(fleet, end)

    def test_answer_made_while_in_use_is_read_on_a_kept_connection(
        self, fleet: SiteFleet
    ) -> None:
        """The request is read 2 s after SIGTERM, from a connection that was used."""
        self._set_answers(fleet, 10)
        with open_caller(fleet, has_small_window=True) as caller:
            caller.sendall(request_bytes("/none"))
            assert read_answer(caller).status == 404
            with stopping(fleet) as sent_s:
                sleep_until(sent_s + 2)
                caller.sendall(request_bytes())
                end = read_answer(caller, self.PACE)
        self._assert_whole(fleet, end)

    @pytest.mark.parametrize("is_stopping", [False, True])
    def test_last_event_is_read_by_a_slow_caller_of_a_stream(
        self, fleet: SiteFleet, is_stopping: bool
    ) -> None:
        """The stream begins just before SIGTERM, or while the entry is stopping."""
        allow_long_requests(fleet)
        event_bytes = 2 * LARGE_BYTES // EVENTS
        set_servers(fleet, "drafts", event_bytes=event_bytes, gap_ms=20)
        with callers_of(1) as callers:
            if not is_stopping:
                slow = callers.submit(call, fleet, draft_bytes("slow"), self.PAUSED)
                wait_until(lambda: len(fleet.ran("slow")) == 1, "the stream runs")
                time.sleep(0.1)
            with stopping(fleet):
                if is_stopping:
                    slow = callers.submit(call, fleet, draft_bytes("slow"), self.PAUSED)
                end = slow.result()
        found = (end.how, end.status, end.body.count(b"token-"))
        assert found == ("whole", 200, EVENTS), told(fleet, end)

    @pytest.mark.parametrize("kind", ["Connection: close", "HTTP/1.0"])
    def test_connection_that_is_closed_after_its_answer_has_time_to_send_it(
        self, fleet: SiteFleet, kind: str
    ) -> None:
        self._set_answers(fleet, 10)
        if kind == "HTTP/1.0":
            request = request_bytes(version="1.0")
        else:
            request = request_bytes(headers={"Connection": "close"})
        self._assert_whole(fleet, call(fleet, request, self.PACE))

    def test_caller_that_never_reads_is_disconnected(self, fleet: SiteFleet) -> None:
        self._set_answers(fleet, 10)
        with open_caller(fleet, has_small_window=True) as caller:
            caller.sendall(request_bytes(headers={"Connection": "close"}))
            wait_until(lambda: _connections(fleet) == 1, "connected")
            wait_until(lambda: _connections(fleet) == 0, "disconnected", 20.0)


def _connections(fleet: SiteFleet) -> int:
    """Return how many connections of callers the entry has."""
    page = fleet.get(0, "metrics", "/metrics")[1].decode()
    (line,) = (each for each in page.splitlines() if "caller_connections" in each)
    return int(float(line.split()[-1]))


class TestHalfReadRequests:
    """Requests of which a part has arrived when the time to stop ends."""

    REQUESTS: Final = {
        "head": (request_bytes(), 40),
        "body": (request_bytes("/order/1", "POST", b"x" * 2_000), -1_000),
    }

    @pytest.mark.parametrize("part", REQUESTS)
    def test_unfinished_request_is_answered_before_the_end(
        self, fleet: SiteFleet, part: str
    ) -> None:
        request, size = self.REQUESTS[part]
        with callers_of(1) as callers:
            hold_order(fleet, callers)
            with stopping(fleet) as sent_s:
                sleep_until(sent_s + 7)
                with open_caller(fleet) as caller:
                    caller.sendall(request[:size])
                    end = read_answer(caller)
        assert (end.how, end.status) == ("whole", 503), told(fleet, end)

    @pytest.mark.parametrize("rest_s", [7.5, 7.8, 7.88])
    @pytest.mark.parametrize("part", REQUESTS)
    def test_request_whose_rest_arrives_in_time_is_answered(
        self, fleet: SiteFleet, part: str, rest_s: float
    ) -> None:
        request, size = self.REQUESTS[part]
        with callers_of(1) as callers:
            hold_order(fleet, callers)
            with stopping(fleet) as sent_s:
                sleep_until(sent_s + 7)
                with open_caller(fleet) as caller:
                    caller.sendall(request[:size])
                    sleep_until(sent_s + rest_s)
                    caller.sendall(request[size:])
                    end = read_answer(caller)
        assert end.is_whole, told(fleet, end)
        assert end.status in (200, 503), told(fleet, end)


class TestNewConnections:
    """Connections that are opened while a stopping process ends."""

    COUNT: Final = 200
    # Answered at once by the entry itself.
    REQUEST: Final = request_bytes("/none")

    def _call_until_refused(
        self, fleet: SiteFleet, from_s: float, interval_s: float
    ) -> list[CallEnd]:
        """Open connections with a request each, and return how all of them ended."""
        opened: list[socket.socket] = []
        ends: list[CallEnd] = []
        refused = 0
        for number in range(5 * self.COUNT):
            sleep_until(from_s + number * interval_s)
            try:
                caller = open_caller(fleet)
            except (ConnectionRefusedError, ConnectionResetError):
                # The request was not sent.
                refused += 1
                if refused >= self.COUNT // 10:
                    break
                continue
            try:
                caller.sendall(self.REQUEST)
            except (ConnectionResetError, BrokenPipeError):
                ends.append(CallEnd("reset", 0, b"", 0.0))
                caller.close()
                continue
            opened.append(caller)
        for caller in opened:
            with caller:
                caller.settimeout(3.0)
                ends.append(read_answer(caller))
        return [*ends, *[CallEnd("refused", 0, b"", 0.0)] * refused]

    def _assert_none_lost(self, fleet: SiteFleet, ends: list[CallEnd]) -> None:
        counts = Counter(f"{each.how} {each.status}" for each in ends)
        print(f"connections: {dict(counts)}")
        assert {each.how for each in ends} <= {"whole", "refused"}, told(fleet, counts)
        assert {"whole", "refused"} <= {each.how for each in ends}, "over the exit"

    def test_requests_sent_while_an_idle_process_ends_are_answered_or_refused(
        self, fleet: SiteFleet
    ) -> None:
        with stopping(fleet) as sent_s:
            # Rare enough that the process is idle at times, and ends.
            begin_s = sent_s + LEAVE_ROTATION_S - 0.05
            ends = self._call_until_refused(fleet, begin_s, 0.003)
        self._assert_none_lost(fleet, ends)

    def test_requests_sent_at_the_end_of_the_grace_period_are_answered_or_refused(
        self, fleet: SiteFleet
    ) -> None:
        with callers_of(1) as callers:
            held = hold_order(fleet, callers)
            with stopping(fleet) as sent_s:
                ends = self._call_until_refused(fleet, sent_s + 7.4, 0.001)
                assert held.result().status == 504
        self._assert_none_lost(fleet, ends)


class TestAnswersAtTheEnd:
    """Answers that are made or sent just before the time to stop ends."""

    def test_stream_that_ends_just_in_time_is_whole(self, fleet: SiteFleet) -> None:
        allow_long_requests(fleet)
        gap_s = 0.95
        set_servers(fleet, "drafts", gap_ms=int(gap_s * 1_000))
        with callers_of(1) as callers:
            began_s = time.monotonic()
            stream = callers.submit(call, fleet, draft_bytes("stream"))
            wait_until(lambda: len(fleet.ran("stream")) == 1, "the stream runs")
            # It ends 100 ms before the time to stop does.
            sleep_until(time.monotonic() + EVENTS * gap_s - TIME_TO_STOP_S + 0.1)
            with stopping(fleet) as sent_s:
                end = stream.result()
        ended_s = began_s + end.took_s - sent_s
        found = (end.how, end.status, end.body.count(b"token-"))
        assert found == ("whole", 200, EVENTS), told(fleet, end, ended_s)

    def test_stream_whose_last_event_is_sent_at_the_end_is_whole(
        self, fleet: SiteFleet
    ) -> None:
        """The whole stream is sent 100 ms before the end, in one moment."""
        allow_long_requests(fleet)
        set_servers(fleet, "drafts", gap_ms=1, start_ms=7_700)
        with callers_of(1) as callers:
            stream = callers.submit(call, fleet, draft_bytes("stream"))
            wait_until(lambda: len(fleet.ran("stream")) == 1, "the stream runs")
            sleep_until(time.monotonic() + 0.07)
            with stopping(fleet):
                end = stream.result()
        found = (end.how, end.status, end.body.count(b"token-"))
        assert found == ("whole", 200, EVENTS), told(fleet, end)

    @pytest.mark.parametrize("is_slow", [False, True])
    def test_answer_made_just_in_time_is_sent_whole(
        self, fleet: SiteFleet, is_slow: bool
    ) -> None:
        """The answer is made 100 ms before the end; a slow caller reads for 150 ms."""
        size = 256_000 if is_slow else 0
        allow_long_requests(fleet)
        set_servers(fleet, "members", processing_ms=7_700, answer_bytes=size)
        with callers_of(1) as callers:
            order = request_bytes("/order/1", "POST", b"x", "order")
            pace = Pace(16_384, 0.01) if is_slow else None
            answer = callers.submit(call, fleet, order, pace)
            wait_until(lambda: len(fleet.ran("order")) == 1, "the order runs")
            sleep_until(time.monotonic() + 0.07)
            with stopping(fleet):
                end = answer.result()
        assert (end.how, end.status) == ("whole", 200), told(fleet, end)
        assert len(end.body) >= size


@contextmanager
def _new(fleet: SiteFleet) -> Iterator[Callable[[], CallEnd]]:
    yield lambda: call(fleet, request_bytes())


@contextmanager
def _kept(fleet: SiteFleet) -> Iterator[Callable[[], CallEnd]]:
    """Call on a connection that was used once before SIGTERM."""
    with open_caller(fleet) as caller:
        caller.sendall(request_bytes("/none"))
        assert read_answer(caller).status == 404

        def call_kept() -> CallEnd:
            caller.sendall(request_bytes())
            return read_answer(caller)

        yield call_kept


@contextmanager
def _pipelined(fleet: SiteFleet) -> Iterator[Callable[[], CallEnd]]:
    """Call on a kept connection, with a further request right behind."""
    with open_caller(fleet) as caller:

        def call_pipelined() -> CallEnd:
            caller.sendall(request_bytes() + request_bytes("/lookup/2"))
            return read_answer(caller)

        yield call_pipelined


@contextmanager
def _http_1_0(fleet: SiteFleet) -> Iterator[Callable[[], CallEnd]]:
    yield lambda: call(fleet, request_bytes(version="1.0"))


@contextmanager
def _closing(fleet: SiteFleet) -> Iterator[Callable[[], CallEnd]]:
    yield lambda: call(fleet, request_bytes(headers={"Connection": "close"}))


@contextmanager
def _expecting(fleet: SiteFleet) -> Iterator[Callable[[], CallEnd]]:
    """Send the body only after 100 Continue has arrived."""
    headers = {"Expect": "100-continue", "Content-Length": "5"}
    with open_caller(fleet) as caller:

        def call_expecting() -> CallEnd:
            caller.sendall(request_bytes("/order/1", "POST", headers=headers))
            assert caller.recv(1_000).startswith(b"HTTP/1.1 100 ")
            caller.sendall(b"order")
            return read_answer(caller)

        yield call_expecting


KINDS: Final = {
    "new": _new,
    "kept": _kept,
    "pipelined": _pipelined,
    "HTTP/1.0": _http_1_0,
    "Connection: close": _closing,
    "Expect: 100-continue": _expecting,
}


class TestKindsOfConnections:
    """Every kind of connection, with a request that SIGTERM meets at any point."""

    # The request is at a server at SIGTERM; is sent with it; is read while stopping;
    # is at a server when the process leaves the rotation.
    SENT_S: Final = (-0.3, 0.0, 1.5, 2.8)

    @pytest.mark.parametrize("kind", KINDS)
    def test_request_is_answered(self, fleet: SiteFleet, kind: str) -> None:
        set_servers(fleet, "members", processing_ms=500)
        count = len(self.SENT_S)
        with callers_of(count) as callers, ExitStack() as opened:
            ready = [opened.enter_context(KINDS[kind](fleet)) for _ in self.SENT_S]
            calls = [callers.submit(ready[0])]
            time.sleep(-self.SENT_S[0])
            with stopping(fleet) as sent_s:
                for place in range(1, count):
                    sleep_until(sent_s + self.SENT_S[place])
                    calls.append(callers.submit(ready[place]))
                ends = [each.result() for each in calls]
                assert_ended(fleet)
        found = [(each.how, each.status) for each in ends]
        assert found == [("whole", 200)] * count, told(fleet, ends)


class TestFurtherSignals:
    """Signals and configurations that come during a stop."""

    @pytest.mark.parametrize("further", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
    def test_further_signal_neither_hastens_nor_delays_the_end(
        self, fleet: SiteFleet, further: signal.Signals
    ) -> None:
        with callers_of(2) as callers:
            held = hold_both(fleet, callers)
            with stopping(fleet) as sent_s:
                for at_s in (0.0, 1.0, 4.0, 7.7):
                    sleep_until(sent_s + at_s)
                    fleet.entries[0].process.send_signal(further)
                ends = {name: each.result() for name, each in held.items()}
                ended_s = time.monotonic() - sent_s
                assert_ended(fleet)
        expected = {"order": ("whole", 504), "draft": ("whole", 503)}
        found = {name: (each.how, each.status) for name, each in ends.items()}
        assert found == expected, told(fleet, ends)
        assert ended_s >= TIME_TO_STOP_S - 0.05, told(fleet, ends)

    def test_new_configurations_during_a_stop_cut_no_request(
        self, fleet: SiteFleet
    ) -> None:
        set_servers(fleet, "drafts", gap_ms=200)
        set_servers(fleet, "members", processing_ms=300)
        requests: list[Callable[[], bytes]] = [draft_bytes, request_bytes]
        with callers_of(40) as callers:
            calls = []
            with stopping(fleet) as sent_s:
                for number in range(20):
                    sleep_until(sent_s + number * 0.14)
                    if number % 4 == 0:
                        fleet.send_control("/configuration")
                    calls += [callers.submit(call, fleet, make()) for make in requests]
                ends = [each.result() for each in calls]
        counts = Counter((each.how, each.status) for each in ends)
        assert set(counts) == {("whole", 200)}, told(fleet, counts)
