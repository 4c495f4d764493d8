"""Test that requests with stages are answered while entries stop.

One entry plans the stages of all of them. It hands this work over when it stops.
"""

import socket
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from functools import partial
from pathlib import Path
from typing import Any, Final, NamedTuple

import pytest

from bramleyturn.core.fleet.members import MemberRef
from bramleyturn.core.fleet.owners import STAGES, owner_order
from bramleyturn.standin.site.site import configuration
from tests.processes import freeze, kill, thaw
from tests.site.site_fleet import Answer, SiteFleet, running_fleet, wait_until

ENTRIES: Final = 3
# The entries in the order in which they own the stages.
OWNER, SUCCESSOR, LAST = (
    int(member.name.rpartition("-")[2])
    for member in owner_order(
        STAGES,
        [MemberRef(f"front-{place}", "", "", "") for place in range(ENTRIES)],
    )
)
BOOKS: Final = ("i-books-0", "i-books-1")
DRAFTS: Final = ("i-drafts-0", "i-drafts-1")
EVENTS: Final = 8
PIECES: Final = 2
# Longest that a change of owner may add to the wait for a stage: the interval at which
# asks are repeated, a beat of the owner's plan, and a busy machine.
HANDOVER_S: Final = 0.8
# From SIGTERM to SIGKILL, and how much earlier all requests are ended.
GRACE_S: Final = 8.0
STOP_MARGIN_S: Final = 0.25
# Time for an entry to act on its timers and for a caller to see it.
SLACK_S: Final = 0.2
LONG_MS: Final = 25_000
# The backlog of a stand-in's port, and some more.
FULL_BACKLOG: Final = 70


class Timed(NamedTuple):
    """Hold an answer, when it had arrived and how long it took."""

    answer: Answer
    ended_s: float
    took_s: float


Record = Callable[[str, object], None]


def timed(call: Callable[[], Answer]) -> Timed:
    """Make a call and measure it."""
    began_s = time.monotonic()
    answer = call()
    ended_s = time.monotonic()
    return Timed(answer, ended_s, ended_s - began_s)


class Stopping:
    """Hold a fleet, its callers, and when each entry was told to stop."""

    def __init__(
        self, fleet: SiteFleet, callers: ThreadPoolExecutor, record: Record
    ) -> None:
        self.fleet = fleet
        self.callers = callers
        self.record = record
        self.stopped_s: dict[int, float] = {}

    def draft(self, entry: int, name: str = "d", **options: Any) -> "Future[Timed]":
        """Send a stream with stages, and wait until its entry has read it."""
        before = self.fleet.in_progress(entry)
        options.setdefault("wait_ms", LONG_MS)
        options.setdefault("body", name.encode())
        sent = self.callers.submit(
            timed, lambda: self.fleet.draft(entry=entry, attempt_id=name, **options)
        )
        wait_until(
            lambda: sent.done() or self.fleet.in_progress(entry) > before, "is read"
        )
        return sent

    def stop(self, *entries: int) -> None:
        """Send SIGTERM to entries."""
        for entry in entries:
            self.stopped_s[entry] = time.monotonic()
            self.fleet.stop_entry(entry)

    def after_stop_s(self, ended: Timed, entry: int) -> float:
        """Return how long after the SIGTERM to an entry an answer had arrived."""
        return ended.ended_s - self.stopped_s[entry]

    def ends_s(self, entry: int) -> float:
        """Return when a stopped entry has to end all requests, after the SIGTERM.

        Delays of its loop before that make the time shorter.
        """
        (line,) = self.fleet.events(entry, "stopping")
        return GRACE_S - STOP_MARGIN_S - float(line["loop_delay_ms"]) / 1_000

    def sleep_until(self, entry: int, after_s: float) -> None:
        """Sleep until ``after_s`` after the SIGTERM to an entry."""
        time.sleep(max(0.0, self.stopped_s[entry] + after_s - time.monotonic()))

    def publish(self, **changes: Any) -> None:
        """Publish a configuration, and wait until every entry has it in force."""
        version = self.fleet.send_control("/configuration", **changes)["version"]
        for entry in range(len(self.fleet.entries)):
            wait_until(partial(self.has_in_force, entry, version), "in force")

    def has_in_force(self, entry: int, version: int) -> bool:
        """Return whether an entry has a version of the configuration in force."""
        return self.fleet.in_force(entry) >= version

    def set_stages(self, call_ms: float, took_ms: float, **changes: Any) -> None:
        """Let stage calls take ``took_ms``, published as ``call_ms``."""
        self.publish(**documents(call_ms), **changes)
        self.set_fault(BOOKS, "", processing_ms=took_ms)

    def set_fault(self, servers: tuple[str, ...], fault: str, **how: Any) -> None:
        """Inject a fault into servers."""
        for server in servers:
            self.fleet.send_control("/fault", server=server, fault=fault, **how)

    def made(self) -> int:
        """Return how many pieces the stage servers have made."""
        servers = self.fleet.send_control("/ledger")["servers"]
        return sum(int(servers[name]["made"]) for name in BOOKS)

    def stage_calls(self) -> list[dict[str, Any]]:
        """Return the calls that the stage servers have had."""
        servers = self.fleet.send_control("/ledger")["servers"]
        return [call for name in BOOKS for call in servers[name]["calls"]]

    def busy_stage_server(self) -> str:
        """Return the stage server that has a call in progress."""
        servers = self.fleet.send_control("/ledger")["servers"]
        (busy,) = (name for name in BOOKS if servers[name]["running"])
        return busy

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of all entries with an event."""
        places = range(len(self.fleet.entries))
        return [line for place in places for line in self.fleet.events(place, event)]

    def assert_served(self, sent: "Future[Timed]", what: str = "took_s") -> Timed:
        """Check that a stream reached its caller whole."""
        ended = sent.result()
        self.record(what, round(ended.took_s, 3))
        answer = ended.answer
        assert (answer.status, answer.is_whole) == (200, True), answer
        assert answer.body.count(b"data: token-") == EVENTS
        return ended

    def assert_refused(self, sent: "Future[Timed]", entry: int, status: int) -> Timed:
        """Check that a stream was refused at the end of the time to stop."""
        ended = sent.result()
        after_s = self.after_stop_s(ended, entry)
        self.record("after_stop_s", round(after_s, 3))
        answer = ended.answer
        assert (answer.status, answer.is_whole) == (status, True), answer
        assert ("retry-after" in answer.headers) == (status == 503)
        assert abs(after_s - self.ends_s(entry)) < SLACK_S, after_s
        return ended

    def assert_ended(self, entry: int) -> None:
        """Check that a process ends by itself, in its time and without errors.

        How long the interpreter takes to end afterwards is not its own doing.
        """
        assert self.fleet.entries[entry].process.wait() == 0
        (began,) = self.fleet.events(entry, "stopping")
        (ended,) = self.fleet.events(entry, "stopped")
        assert ended["at_ms"] - began["at_ms"] < GRACE_S * 1_000
        bad = [
            line
            for event in (
                "background work failed",
                "request failed with an internal error",
                "answer could not be sent",
            )
            for line in self.lines(event)
        ]
        assert bad == []


PATIENT_PAUSE_MS: Final = 2_500


def documents(call_ms: float = 10.0) -> dict[str, Any]:
    """Return the routes and services with long timeouts and ``call_ms``."""
    timeouts_ms = dict.fromkeys(("draft", "note"), LONG_MS)
    document = configuration(0, timeouts_ms)
    # Callers wait until the end of the time to stop, whatever the aim of their route.
    draft_route(document)["gapAimMs"] = PATIENT_PAUSE_MS
    for service in document["services"]:
        if "pieces" in service:
            service["pieces"]["callMs"] = call_ms
    return {name: document[name] for name in ("routes", "services")}


def draft_route(document: dict[str, Any]) -> dict[str, Any]:
    """Return the route of the streams with stages."""
    (route,) = (each for each in document["routes"] if each["name"] == "draft")
    found: dict[str, Any] = route
    return found


def hears_all(fleet: SiteFleet, entry: int) -> bool:
    """Return whether an entry believes that all entries are live."""
    page = fleet.get(entry, "metrics", "/metrics")[1].decode()
    values = [line.split()[-1] for line in page.splitlines() if "live_inst" in line]
    return bool(values) and int(float(values[-1])) == len(fleet.entries)


@contextmanager
def running_site(
    folder: Path, record: Record, entries: int = ENTRIES
) -> Iterator[Stopping]:
    """Run a fleet whose entries all know each other."""
    with running_fleet(folder, entries) as fleet, ThreadPoolExecutor(8) as callers:
        for entry in range(entries):
            wait_until(partial(hears_all, fleet, entry), "all are heard")
        yield Stopping(fleet, callers, record)


@pytest.fixture
def site(
    tmp_path: Path, record_property: Callable[[str, object], None]
) -> Iterator[Stopping]:
    """Run three entries, and end callers' waits when the test fails."""
    with running_site(tmp_path, record_property) as stopping:
        try:
            yield stopping
        finally:
            for entry in stopping.fleet.entries:
                kill(entry)


@contextmanager
def full_backlog(address: str) -> Iterator[None]:
    """Fill the backlog of a port that accepts no connections."""
    host, _, port = address.partition(":")
    with ExitStack() as opened:
        for _ in range(FULL_BACKLOG):
            probe = opened.enter_context(socket.socket())
            probe.setblocking(False)
            probe.connect_ex((host, int(port)))
        yield


class TestOwnerStops:
    """The owner of the stages stops while streams of other entries wait for them."""

    CALL_MS = 700

    def begin(self, site: Stopping, call_ms: float = CALL_MS) -> "Future[Timed]":
        """Let the last entry have a stream in the middle of a stage call."""
        site.set_stages(call_ms, call_ms)
        sent = site.draft(LAST)
        time.sleep(0.3)
        return sent

    def assert_in_time(self, site: Stopping, sent: "Future[Timed]", s: float) -> None:
        """Check that a stream took at most a handover longer than ``s``."""
        ended = site.assert_served(sent)
        site.record("extra_s", round(ended.took_s - s, 3))
        site.record("made", site.made())
        assert ended.took_s < s + HANDOVER_S

    def test_stage_call_in_progress_is_neither_lost_nor_repeated(
        self, site: Stopping
    ) -> None:
        sent = self.begin(site)
        site.stop(OWNER)
        self.assert_in_time(site, sent, self.CALL_MS / 1_000)
        assert site.made() == PIECES
        wait_until(lambda: len(site.lines("stage ended")) == 1, "a line")
        (ended,) = site.lines("stage ended")
        assert ended["owner"] == f"front-{SUCCESSOR}"
        # The ask, and the result that was made afterwards.
        assert [line["asks"] for line in site.lines("stages handed over")] == [1, 0]
        site.assert_ended(OWNER)

    def test_stage_that_waits_for_a_server_is_made_by_the_next_owner(
        self, site: Stopping
    ) -> None:
        site.set_fault(BOOKS, "shed")
        sent = site.draft(LAST)
        time.sleep(0.2)
        site.stop(OWNER)
        time.sleep(0.2)
        site.set_fault(BOOKS, "")
        # A server that refused is tried again after 0.4 s, and after another 0.8 s.
        self.assert_in_time(site, sent, 1.2)
        assert site.made() == PIECES
        site.assert_ended(OWNER)

    def test_both_stages_of_a_request_are_run(self, site: Stopping) -> None:
        documents_of_two = two_stages(300)
        site.publish(**documents_of_two)
        site.set_fault(BOOKS, "", processing_ms=300)
        sent = site.draft(LAST, pieces="2,1")
        time.sleep(0.2)
        site.stop(OWNER)
        self.assert_in_time(site, sent, 0.6)
        assert site.made() == PIECES + 1
        site.assert_ended(OWNER)

    def test_streams_that_queue_for_stages_are_all_served(self, site: Stopping) -> None:
        site.set_stages(300, 300)
        sent = [site.draft(entry % 2, f"q{entry}") for entry in range(6)]
        site.stop(OWNER)
        for place, each in enumerate(sent):
            site.assert_served(each, f"took_s_{place}")
        site.record("made", site.made())
        assert site.made() == PIECES * len(sent)
        site.assert_ended(OWNER)

    def test_owner_that_ends_first_does_not_keep_the_result(
        self, site: Stopping
    ) -> None:
        call_s = 4.0
        sent = self.begin(site, call_s * 1_000)
        site.stop(OWNER)
        ended = site.assert_served(sent)
        calls = site.stage_calls()
        assert [call["pieces"] for call in calls] == [PIECES]
        # On a busy machine the stand-in works longer than it was told to.
        worked_s = (calls[0]["ended_ms"] - calls[0]["began_ms"]) / 1_000
        extra_s = ended.took_s - worked_s
        site.record("worked_s", worked_s)
        site.record("extra_s", round(extra_s, 3))
        assert extra_s < HANDOVER_S
        assert site.made() == PIECES
        site.assert_ended(OWNER)

    def test_owner_whose_time_is_over_gives_its_calls_up(self, site: Stopping) -> None:
        # The pieces are made again, by the other server.
        call_s = 8.4
        sent = self.begin(site, call_s * 1_000)
        site.stop(OWNER)
        self.assert_in_time(site, sent, 0.3 + GRACE_S - STOP_MARGIN_S + call_s)
        site.assert_ended(OWNER)


class TestSeveralStop:
    """Several entries stop, one of them the owner of the stages."""

    CALL_MS = 700

    def begin(
        self, site: Stopping, entry: int, call_ms: float = CALL_MS
    ) -> "Future[Timed]":
        """Let an entry have a stream in the middle of a stage call."""
        site.set_stages(call_ms, call_ms)
        sent = site.draft(entry)
        time.sleep(0.3)
        return sent

    def assert_in_time(self, site: Stopping, sent: "Future[Timed]", s: float) -> None:
        """Check that a stream took at most a handover longer than ``s``."""
        ended = site.assert_served(sent)
        site.record("extra_s", round(ended.took_s - s, 3))
        site.record("made", site.made())
        assert ended.took_s < s + HANDOVER_S

    def test_entry_that_owns_the_stages_itself(self, site: Stopping) -> None:
        sent = self.begin(site, OWNER)
        site.stop(OWNER)
        self.assert_in_time(site, sent, self.CALL_MS / 1_000)
        assert site.made() == PIECES
        site.assert_ended(OWNER)

    def test_entry_and_owner_at_the_same_moment(self, site: Stopping) -> None:
        sent = self.begin(site, LAST)
        site.stop(OWNER, LAST)
        self.assert_in_time(site, sent, self.CALL_MS / 1_000)
        assert site.made() == PIECES
        site.assert_ended(LAST)

    def test_owner_is_killed_while_the_entry_stops(self, site: Stopping) -> None:
        sent = self.begin(site, LAST)
        site.stop(LAST)
        time.sleep(0.1)
        kill(site.fleet.entries[OWNER])
        # The other server makes the pieces once more.
        self.assert_in_time(site, sent, 0.4 + self.CALL_MS / 1_000)
        site.assert_ended(LAST)

    @pytest.mark.parametrize("call_s", [0.7, 1.8])
    def test_successor_stops_half_a_second_later(
        self, site: Stopping, call_s: float
    ) -> None:
        sent = self.begin(site, LAST, call_s * 1_000)
        site.stop(OWNER)
        time.sleep(0.5)
        site.stop(SUCCESSOR)
        self.assert_in_time(site, sent, call_s)
        assert site.made() == PIECES
        site.assert_ended(OWNER)
        site.assert_ended(SUCCESSOR)

    def test_all_stop_while_a_stage_is_run(self, site: Stopping) -> None:
        sent = self.begin(site, LAST)
        for entry in (OWNER, SUCCESSOR, LAST):
            site.stop(entry)
            time.sleep(0.2)
        self.assert_in_time(site, sent, self.CALL_MS / 1_000)
        assert site.made() == PIECES
        for entry in range(ENTRIES):
            site.assert_ended(entry)

    def test_owner_has_a_call_when_the_others_stop_at_once(
        self, site: Stopping
    ) -> None:
        sent = self.begin(site, LAST, 1_500)
        site.stop(OWNER)
        time.sleep(0.3)
        site.stop(SUCCESSOR, LAST)
        # Nobody is left to own the stages: each entry plans for its own callers.
        self.assert_in_time(site, sent, 1.5)
        for entry in range(ENTRIES):
            site.assert_ended(entry)

    def test_all_have_stopped_before_streams_arrive(self, site: Stopping) -> None:
        site.publish(**documents())
        site.stop(OWNER, SUCCESSOR, LAST)
        time.sleep(1.0)
        sent = [site.draft(entry, f"late{entry}") for entry in range(ENTRIES)]
        for entry, each in enumerate(sent):
            ended = site.assert_served(each, f"took_s_{entry}")
            assert ended.took_s < HANDOVER_S
        for entry in range(ENTRIES):
            site.assert_ended(entry)

    def test_all_stop_while_no_stage_server_has_room(self, site: Stopping) -> None:
        site.publish(**documents())
        site.set_fault(BOOKS, "shed")
        sent = [site.draft(entry, f"full{entry}") for entry in range(ENTRIES)]
        for entry in range(ENTRIES):
            site.stop(entry)
            time.sleep(0.2)
        for entry, each in enumerate(sent):
            site.assert_refused(each, entry, 503)
            assert site.fleet.ran(f"full{entry}") == []
        for entry in range(ENTRIES):
            site.assert_ended(entry)


class TestStates:
    """A stream is anywhere on its way when SIGTERM comes, or when the time is over."""

    # For a stage that ends just before the time to stop does.
    SENT_S = 2.6

    def test_between_stages_when_the_time_is_over(self, site: Stopping) -> None:
        site.publish(**two_stages(300))
        site.set_fault(BOOKS, "", processing_ms=300)
        sent = site.draft(LAST, pieces="2,1")
        time.sleep(0.1)
        site.stop(LAST)
        site.set_fault(BOOKS, "shed", processing_ms=300)
        wait_until(lambda: len(site.lines("stage ended")) == 1, "between stages")
        site.assert_refused(sent, LAST, 503)
        assert site.fleet.ran("d") == []
        assert site.made() == PIECES
        site.assert_ended(LAST)

    def test_between_stages_when_sigterm_comes(self, site: Stopping) -> None:
        site.publish(**two_stages(300))
        site.set_fault(BOOKS, "", processing_ms=300)
        sent = site.draft(LAST, pieces="2,1")
        wait_until(lambda: len(site.lines("stage ended")) == 1, "between stages")
        site.stop(LAST)
        site.assert_served(sent)
        assert site.made() == PIECES + 1
        site.assert_ended(LAST)

    def test_engine_does_not_accept_when_sigterm_comes(self, site: Stopping) -> None:
        site.set_stages(700, 700)
        with deaf_engines(site):
            sent = site.draft(LAST)
            time.sleep(0.8)
            site.stop(LAST)
            ended = sent.result()
        site.record("took_s", round(ended.took_s, 3))
        assert (ended.answer.status, ended.answer.is_whole) == (503, True)
        assert "retry-after" in ended.answer.headers
        assert site.fleet.ran("d") == []
        site.assert_ended(LAST)

    def test_engine_does_not_accept_when_the_time_is_over(self, site: Stopping) -> None:
        site.publish(**documents())
        for number in range(4):
            site.assert_served(site.draft(LAST, f"quick{number}"))
        call_s = GRACE_S - STOP_MARGIN_S - 0.15 - self.SENT_S
        site.set_stages(call_s * 1_000, call_s * 1_000)
        with deaf_engines(site):
            site.stop(LAST)
            site.sleep_until(LAST, self.SENT_S)
            sent = site.draft(LAST)
            ended = sent.result()
        after_s = site.after_stop_s(ended, LAST)
        site.record("after_stop_s", round(after_s, 3))
        assert (ended.answer.status, ended.answer.is_whole) == (503, True)
        assert "retry-after" in ended.answer.headers
        assert after_s < site.ends_s(LAST) + SLACK_S
        site.assert_ended(LAST)

    def test_engine_is_mute_when_the_time_is_over(self, site: Stopping) -> None:
        site.publish(**documents())
        site.set_fault(DRAFTS, "mute")
        sent = site.draft(LAST)
        wait_until(lambda: len(site.fleet.ran("d")) == 1, "the engine has it")
        site.stop(LAST)
        site.assert_refused(sent, LAST, 504)
        assert len(site.fleet.ran("d")) == 1
        site.assert_ended(LAST)

    @pytest.mark.parametrize("events", [1, EVENTS - 1])
    def test_begun_when_sigterm_comes(self, site: Stopping, events: int) -> None:
        gap_ms = 300
        site.publish(**documents())
        site.set_fault(DRAFTS, "", gap_ms=gap_ms)
        sent = site.draft(LAST)
        wait_until(lambda: len(site.fleet.ran("d")) == 1, "the engine has it")
        time.sleep((events - 0.5) * gap_ms / 1_000)
        assert not sent.done()
        site.stop(LAST)
        site.assert_served(sent)
        site.assert_ended(LAST)

    def test_begun_and_slower_than_usual_when_the_time_is_over(
        self, site: Stopping
    ) -> None:
        site.publish(**documents())
        for number in range(4):
            site.assert_served(site.draft(LAST, f"quick{number}"), "quick_s")
        site.set_fault(DRAFTS, "", gap_ms=100)
        sent = site.draft(LAST)
        wait_until(lambda: len(site.fleet.ran("d")) == 1, "the engine has it")
        time.sleep(0.15)
        site.stop(LAST)
        site.set_fault(DRAFTS, "", gap_ms=3_000)
        ended = sent.result()
        after_s = site.after_stop_s(ended, LAST)
        site.record("after_stop_s", round(after_s, 3))
        site.record("events", ended.answer.body.count(b"data: token-"))
        # What the caller has is a part that it can't take for the whole.
        assert (ended.answer.status, ended.answer.is_whole) == (200, False)
        assert ended.answer.body.endswith(b"\n\n")
        assert abs(after_s - site.ends_s(LAST)) < SLACK_S
        site.assert_ended(LAST)


class TestOtherEvents:
    """Something else happens in the second in which an entry or the owner stops."""

    CALL_MS = 700

    @pytest.fixture(params=["entry", "owner", "both"])
    def stopped(self, request: pytest.FixtureRequest) -> tuple[int, ...]:
        """Return the entries that stop."""
        places: dict[str, tuple[int, ...]] = {
            "entry": (LAST,),
            "owner": (OWNER,),
            "both": (LAST, OWNER),
        }
        return places[request.param]

    def begin(self, site: Stopping) -> "Future[Timed]":
        """Let the last entry have a stream in the middle of a stage call."""
        site.set_stages(self.CALL_MS, self.CALL_MS)
        sent = site.draft(LAST)
        time.sleep(0.3)
        return sent

    def assert_in_time(self, site: Stopping, sent: "Future[Timed]", s: float) -> None:
        """Check that a stream took at most a handover longer than ``s``."""
        ended = site.assert_served(sent)
        site.record("extra_s", round(ended.took_s - s, 3))
        site.record("made", site.made())
        assert ended.took_s < s + HANDOVER_S
        for entry in site.stopped_s:
            site.assert_ended(entry)

    @pytest.mark.parametrize(
        "change", ["removed", "moved", "timeout", "stages", "pool", "pool and service"]
    )
    def test_route_changes(
        self, site: Stopping, stopped: tuple[int, ...], change: str
    ) -> None:
        sent = self.begin(site)
        document = documents(self.CALL_MS)
        route = draft_route(document)
        pieces = document["services"][-1]["pieces"]
        if change == "removed":
            document["routes"].remove(route)
        elif change == "moved":
            route |= {"service": "members"}
        elif change == "timeout":
            route |= {"timeoutMs": 400}
        elif change == "stages":
            route |= {"stages": []}
        else:
            route["stages"][0]["service"] = "pages"
            document["services"].append({"name": "pages", "pieces": pieces})
        if change == "pool and service":
            document["services"] = [
                each for each in document["services"] if each["name"] != "books"
            ]
        site.fleet.send_control("/configuration", **document)
        site.stop(*stopped)
        self.assert_in_time(site, sent, self.CALL_MS / 1_000)

    @pytest.mark.parametrize("event", ["/leave", "/remove", "/crash"])
    def test_engine_is_gone_before_it_is_used(
        self, site: Stopping, stopped: tuple[int, ...], event: str
    ) -> None:
        sent = self.begin(site)
        site.stop(*stopped)
        site.fleet.send_control(event, server=DRAFTS[0])
        self.assert_in_time(site, sent, self.CALL_MS / 1_000)

    @pytest.mark.parametrize("event", ["/leave", "/remove", "/crash"])
    def test_engine_is_gone_while_it_streams(
        self, site: Stopping, stopped: tuple[int, ...], event: str
    ) -> None:
        gap_ms = 150
        site.publish(**documents())
        site.set_fault(DRAFTS, "", gap_ms=gap_ms)
        sent = site.draft(LAST)
        wait_until(lambda: len(site.fleet.ran("d")) == 1, "the engine has it")
        time.sleep(2.5 * gap_ms / 1_000)
        site.stop(*stopped)
        servers = site.fleet.send_control("/ledger")["servers"]
        (server,) = (name for name in DRAFTS if servers[name]["ran"])
        site.fleet.send_control(event, server=server)
        # Every event may be late, at two engines one after the other.
        self.assert_in_time(site, sent, 1.5 * EVENTS * gap_ms / 1_000)

    @pytest.mark.parametrize("event", ["/leave", "/remove", "/crash"])
    def test_stage_server_is_gone(
        self, site: Stopping, stopped: tuple[int, ...], event: str
    ) -> None:
        sent = self.begin(site)
        site.stop(*stopped)
        site.fleet.send_control(event, server=site.busy_stage_server())
        # Pieces that were lost are made again by the other server.
        call_s = self.CALL_MS / 1_000
        self.assert_in_time(site, sent, 0.3 + call_s if event == "/crash" else call_s)

    def test_store_is_silent(self, site: Stopping, stopped: tuple[int, ...]) -> None:
        sent = self.begin(site)
        site.fleet.send_control("/store", silent=True)
        site.stop(*stopped)
        self.assert_in_time(site, sent, self.CALL_MS / 1_000)

    @pytest.mark.parametrize("paused", ["owner", "successor"])
    def test_peer_is_late_by_a_second(
        self, site: Stopping, stopped: tuple[int, ...], paused: str
    ) -> None:
        sent = self.begin(site)
        late = site.fleet.entries[OWNER if paused == "owner" else SUCCESSOR]
        freeze(late)
        site.stop(*stopped)
        time.sleep(1.0)
        thaw(late)
        self.assert_in_time(site, sent, self.CALL_MS / 1_000 + 1.0)


def two_stages(call_ms: float) -> dict[str, Any]:
    """Return routes and services in which the streams have two stages."""
    document = documents(call_ms)
    draft_route(document)["stages"].append(
        {"service": "books", "after": [0], "bytes": 9_000}
    )
    return document


@contextmanager
def deaf_engines(site: Stopping) -> Iterator[None]:
    """Let connections to the engines neither open nor fail."""
    addresses = site.fleet.site.addresses
    with ExitStack() as full:
        for server in DRAFTS:
            site.fleet.send_control("/deafen", server=server)
            full.enter_context(full_backlog(addresses[server]))
        yield
