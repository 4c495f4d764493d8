"""Test that an answer that was broken off reaches no caller as complete."""

import itertools
from collections.abc import Iterator, Mapping
from functools import partial

import pytest

from tests.site.site_fleet import Answer, SiteFleet, running_fleet, wait_until

SERVERS = tuple(
    f"i-{pool}-{place}" for pool in ("members", "drafts", "books") for place in (0, 1)
)
EVENTS = 8
# Every way in which an answer that is broken off can end without a whole frame.
FRAMINGS = ("length", "chunked", "close")
ENDINGS = ("closed", "reset", "crashed")
# Enough streams for one to begin at the engine that breaks it off.
STARTS = 12
RESTARTS: Mapping[str, object] = {"restart_ms": 300, "keeps_ids": True}
# Time for which a server that ends may still accept connections.
LINGER_MS = 150
# Time within which a crash has to be known.
CONTACT_S = 3.0
CRASHES = "server_crashes_total"
JSON = {"content_type": "application/json"}

Shape = Mapping[str, object]
_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SiteFleet]:
    """Run one site for the module."""
    with running_fleet(tmp_path_factory.mktemp("site"), entries=1) as running:
        running.send_control("/restarts", **RESTARTS)
        yield running


@pytest.fixture
def site(fleet: SiteFleet) -> Iterator[SiteFleet]:
    """Return the site for a test, with sound servers before and after it."""
    yield fleet
    for server in SERVERS:
        fleet.send_control("/fault", server=server, fault="")
    wait_until(partial(all_run, fleet), "servers that crashed are back")
    wait_until(lambda: order(fleet).status == 200, "orders are served")
    wait_until(lambda: draft(fleet).status == 200, "drafts are served")


def all_run(fleet: SiteFleet) -> bool:
    """Return whether every server that crashed has started again."""
    servers = fleet.send_control("/ledger")["servers"]
    return all(servers[server]["state"] == "ready" for server in SERVERS)


def set_shape(
    site: SiteFleet, pool: str, shape: Shape, places: tuple[int, ...] = (0, 1)
) -> None:
    """Let servers of a pool frame, break off and end their answers as asked."""
    for place in places:
        name = f"i-{pool}-{place}"
        site.send_control("/fault", server=name, fault="", shape=shape)


def unlike_others() -> bytes:
    """Return a body of its own, since a request that crashes servers is quarantined."""
    return b"%d" % next(_numbers)


def note(site: SiteFleet) -> Answer:
    """Request a stream that must not be resumed."""
    return site.call("/note/1", method="POST", body=unlike_others(), wait_ms=4_000)


def draft(site: SiteFleet) -> Answer:
    """Request a stream that may be resumed, and that follows a stage."""
    return site.draft(unlike_others(), wait_ms=4_000)


def order(site: SiteFleet) -> Answer:
    """Request an answer that is no stream, which must not be repeated."""
    return site.call("/order/1", method="POST", body=unlike_others())


def crashes(site: SiteFleet) -> int:
    """Return how many crashes the entry knows of."""
    page = site.get(0, "metrics", "/metrics")[1].decode()
    lines = [each for each in page.splitlines() if CRASHES in each]
    return int(sum(float(each.split()[-1]) for each in lines))


def assert_whole_events(answer: Answer) -> None:
    """Check that a stream has whole events only, and none twice."""
    *events, rest = answer.body.split(b"\n\n")
    assert rest == b""
    assert len(events) == len(set(events))


def assert_whole_stream(answer: Answer) -> None:
    """Check that a stream reached its caller whole."""
    assert (answer.status, answer.is_whole) == (200, True)
    assert_whole_events(answer)
    assert answer.body.count(b"data: token-") == EVENTS


def assert_not_complete(answer: Answer) -> None:
    """Check that a stream reached its caller as a failure or as cut."""
    assert answer.status == 502 or not answer.is_whole
    if answer.status == 200:
        assert_whole_events(answer)


def assert_crash_of_stage_server_is_known(site: SiteFleet) -> None:
    """Check that a crash within an unframed answer is known, and its piece made again.

    The entry chooses the server, so that each in turn is the one that would crash.
    """
    before = crashes(site)
    shape = {"framing": "close", "break_point": "inside", "ending": "crashed"}
    for number in range(STARTS):
        name = f"i-books-{number % 2}"
        crashed = len(site.send_control("/ledger")["servers"][name]["crashed_by"])
        set_shape(site, "books", shape, (number % 2,))
        assert_whole_stream(draft(site))
        site.send_control("/fault", server=name, fault="")
        servers = site.send_control("/ledger")["servers"]
        if len(servers[name]["crashed_by"]) > crashed:
            break
    else:
        raise AssertionError("no server was chosen that crashes")
    wait_until(lambda: crashes(site) > before, "the crash is known", CONTACT_S)


class TestStreams:
    """A stream ends before its last event."""

    @pytest.mark.parametrize("ending", ["closed", "crashed"])
    def test_close_inside_an_event_is_no_end_of_a_stream(
        self, site: SiteFleet, ending: str
    ) -> None:
        shape = {"framing": "close", "break_point": "inside", "ending": ending}
        set_shape(site, "drafts", shape)
        assert_not_complete(note(site))

    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_frame_that_ends_inside_an_event_is_no_end_of_a_stream(
        self, site: SiteFleet, framing: str
    ) -> None:
        shape = {"framing": framing, "break_point": "inside", "ending": "framed"}
        set_shape(site, "drafts", shape)
        assert_not_complete(note(site))

    def test_close_before_the_first_event_is_no_end_of_a_stream(
        self, site: SiteFleet
    ) -> None:
        shape = {"framing": "close", "break_point": "start", "ending": "closed"}
        set_shape(site, "drafts", shape)
        assert note(site).status == 502

    def test_close_between_events_by_a_crash_is_no_end_of_a_stream(
        self, site: SiteFleet
    ) -> None:
        shape = {"framing": "close", "break_point": "between", "ending": "crashed"}
        set_shape(site, "drafts", shape)
        assert_not_complete(note(site))

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("break_point", ["head", "start", "inside", "between"])
    def test_reset_is_no_end_of_a_stream(
        self, site: SiteFleet, framing: str, break_point: str
    ) -> None:
        shape = {"framing": framing, "break_point": break_point, "ending": "reset"}
        set_shape(site, "drafts", shape)
        assert_not_complete(note(site))

    @pytest.mark.parametrize("framing", ["length", "chunked"])
    @pytest.mark.parametrize("break_point", ["head", "start", "inside", "between"])
    def test_close_within_a_frame_is_no_end_of_a_stream(
        self, site: SiteFleet, framing: str, break_point: str
    ) -> None:
        shape = {"framing": framing, "break_point": break_point, "ending": "closed"}
        set_shape(site, "drafts", shape)
        assert_not_complete(note(site))


class TestResumedStreams:
    """A stream that was broken off goes on at another engine."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("break_point", ["start", "inside"])
    @pytest.mark.parametrize("ending", ["closed", "reset"])
    def test_stream_goes_on_after_its_last_whole_event(
        self, site: SiteFleet, framing: str, break_point: str, ending: str
    ) -> None:
        for place in (0, 1):
            shape = {"framing": framing, "break_point": break_point, "ending": ending}
            set_shape(site, "drafts", shape, (place,))
            set_shape(site, "drafts", {"framing": "close"}, (1 - place,))
            assert_whole_stream(draft(site))

    @pytest.mark.parametrize("place", [0, 1])
    def test_stream_goes_on_after_a_crash_between_events(
        self, site: SiteFleet, place: int
    ) -> None:
        shape = {"framing": "close", "break_point": "between", "ending": "crashed"}
        set_shape(site, "drafts", shape, (place,))
        set_shape(site, "drafts", {"framing": "chunked"}, (1 - place,))
        assert_whole_stream(draft(site))

    @pytest.mark.parametrize("place", [0, 1])
    def test_stream_without_ids_is_not_joined_to_another_run(
        self, site: SiteFleet, place: int
    ) -> None:
        shape = {"framing": "chunked", "break_point": "inside", "ending": "reset"}
        set_shape(site, "drafts", shape | {"has_ids": False}, (place,))
        set_shape(site, "drafts", {"framing": "chunked"}, (1 - place,))
        for _ in range(STARTS):
            answer = draft(site)
            assert len(answer.body.split(b"data: token-")) <= EVENTS + 1
            assert_whole_events(answer)
            assert answer.is_whole == (answer.body.count(b"\nid: ") > 0)

    def test_resumption_that_is_answered_without_events_is_cut(
        self, site: SiteFleet
    ) -> None:
        for place in (0, 1):
            shape = {"framing": "close", "break_point": "inside", "ending": "reset"}
            set_shape(site, "drafts", shape, (place,))
            name = f"i-drafts-{1 - place}"
            site.send_control("/fault", server=name, fault="fail")
            # The engine that fails may be asked first.
            answers = [draft(site) for _ in range(STARTS)]
            begun = [answer for answer in answers if answer.status == 200]
            assert begun
            for answer in begun:
                assert_not_complete(answer)


class TestOtherAnswers:
    """An answer that is no stream ends before its last byte."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("break_point", ["head", "start", "inside"])
    def test_crash_is_no_end_of_an_answer(
        self, site: SiteFleet, framing: str, break_point: str
    ) -> None:
        shape = {"framing": framing, "break_point": break_point, "ending": "crashed"}
        set_shape(site, "members", shape)
        assert order(site).status == 502

    @pytest.mark.parametrize("break_point", ["start", "inside"])
    def test_close_within_a_json_document_is_no_end_of_an_answer(
        self, site: SiteFleet, break_point: str
    ) -> None:
        shape = {"framing": "close", "break_point": break_point, "ending": "closed"}
        set_shape(site, "members", shape | JSON)
        assert order(site).status == 502

    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_reset_is_no_end_of_an_answer(self, site: SiteFleet, framing: str) -> None:
        shape = {"framing": framing, "break_point": "inside", "ending": "reset"}
        set_shape(site, "members", shape)
        assert order(site).status == 502

    @pytest.mark.parametrize("place", [0, 1])
    def test_lookup_is_answered_by_another_server(
        self, site: SiteFleet, place: int
    ) -> None:
        shape = {"framing": "close", "break_point": "inside", "ending": "crashed"}
        set_shape(site, "members", shape, (place,))
        set_shape(site, "members", {"framing": "close"}, (1 - place,))
        answer = site.call(f"/lookup/{place}", attempt_id=f"l{place}")
        assert answer.body == b"answer to l%d" % place


class TestStageCalls:
    """The answer to a call of a stage ends before its last byte."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("ending", ENDINGS)
    def test_pieces_are_made_by_another_server(
        self, site: SiteFleet, framing: str, ending: str
    ) -> None:
        shape = {"framing": framing, "break_point": "inside", "ending": ending}
        set_shape(site, "books", shape, (0,))
        set_shape(site, "books", {"framing": "close"}, (1,))
        assert_whole_stream(draft(site))

    def test_crash_within_an_unframed_answer_is_known_as_a_crash(
        self, site: SiteFleet
    ) -> None:
        assert_crash_of_stage_server_is_known(site)


class TestLingeringPort:
    """A server crashes whose port still accepts connections for some time."""

    @pytest.fixture(autouse=True)
    def _linger(self, site: SiteFleet) -> Iterator[None]:
        site.send_control("/restarts", linger_ms=LINGER_MS, **RESTARTS)
        yield
        site.send_control("/restarts", **RESTARTS)

    def test_close_between_events_is_no_end_of_a_stream(self, site: SiteFleet) -> None:
        shape = {"framing": "close", "break_point": "between", "ending": "crashed"}
        set_shape(site, "drafts", shape)
        assert_not_complete(note(site))

    @pytest.mark.parametrize("place", [0, 1])
    def test_stream_goes_on_at_another_engine(
        self, site: SiteFleet, place: int
    ) -> None:
        shape = {"framing": "close", "break_point": "between", "ending": "crashed"}
        set_shape(site, "drafts", shape, (place,))
        set_shape(site, "drafts", {"framing": "chunked"}, (1 - place,))
        assert_whole_stream(draft(site))

    def test_close_is_no_end_of_an_answer(self, site: SiteFleet) -> None:
        shape = {"framing": "close", "break_point": "inside", "ending": "crashed"}
        set_shape(site, "members", shape)
        assert order(site).status == 502

    def test_crash_within_an_answer_is_known_as_a_crash(self, site: SiteFleet) -> None:
        assert_crash_of_stage_server_is_known(site)


class TestSoundAnswers:
    """Whole answers without a length arrive whole."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_stream(self, site: SiteFleet, framing: str) -> None:
        set_shape(site, "drafts", {"framing": framing})
        assert_whole_stream(note(site))
        assert_whole_stream(draft(site))

    @pytest.mark.parametrize("content_type", ["", "application/json"])
    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_other_answer(
        self, site: SiteFleet, framing: str, content_type: str
    ) -> None:
        set_shape(site, "members", {"framing": framing, "content_type": content_type})
        answer = order(site)
        assert (answer.status, answer.is_whole) == (200, True)
        assert b"answer to " in answer.body

    def test_stream_without_events(self, site: SiteFleet) -> None:
        shape = {"framing": "chunked", "break_point": "start", "ending": "framed"}
        set_shape(site, "drafts", shape)
        answer = note(site)
        assert (answer.status, answer.body, answer.is_whole) == (200, b"", True)
