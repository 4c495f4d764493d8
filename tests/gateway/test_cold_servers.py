"""Test what instances send to servers that are cold."""

from typing import Any, Final

import pytest

from bramleyturn.core.catalog.model import RouteKind
from bramleyturn.core.catalog.server_registry import register
from bramleyturn.core.coldstart.cold_runs import note_remaining
from bramleyturn.core.coldstart.turns import ALONE_MS, RETRY_MS
from bramleyturn.core.fleet.members import Heartbeat, MemberRef, merge_heartbeats
from bramleyturn.core.fleet.store_revision import FIRST_REVISION, StoreRevision
from bramleyturn.gateway.cold_servers import is_cold, note_cold_entry
from bramleyturn.gateway.cold_turns import (
    ColdAsk,
    ColdTurn,
    decode_cold_ask,
    decode_cold_turn,
    encode_cold_ask,
    encode_cold_turn,
)
from bramleyturn.gateway.peer_links import Message
from bramleyturn.gateway.server_limits import begin_call, wait_for
from bramleyturn.gateway.server_notices import note_head
from bramleyturn.platform.answers import ATTEMPT_ID, read_answer_head
from tests.gateway.one_entry import (
    BORN_MS,
    POOL,
    SIGNATURE,
    CalledServer,
    Caller,
    OneEntry,
    plain_route,
    server,
)

MOST: Final = 13.85
COLD_MS: Final = 3_000
RUN: Final = f"i-1@{BORN_MS}"
ANSWER: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%b%b\r\n\r\nok"
ANSWER_TO_CLOSE: Final = b"HTTP/1.1 200 OK\r\n%b\r\npart"


def entry_of(*names: str, has_bounds: bool = True, **changes: Any) -> OneEntry:
    """Return an instance that may grant turns, with plain servers."""
    routes = [plain_route(RouteKind.IDEMPOTENT, **changes)]
    entry = OneEntry(routes, [server(name) for name in names])
    serving = entry.serving
    if has_bounds:
        bounds = serving.settings.bounds._replace(cold_overage=1.5, cold_slack=5.0)
        serving.settings = serving.settings._replace(bounds=bounds)
    assert serving.published is not None
    pool = serving.published.pools[POOL]
    cold = pool._replace(cold_start_ms=COLD_MS, cold_per_s=5.9)
    serving.published = serving.published._replace(pools={POOL: cold})
    entry.flow.asks.cold_turns.check_owner()
    entry.run(ALONE_MS + 500)
    return entry


def chill(entry: OneEntry, *names: str, left_ms: int = 60_000) -> None:
    """Let servers become cold."""
    for name in names:
        run = f"{name}@{BORN_MS}"
        note_remaining(entry.serving.cold_runs, run, left_ms, entry.now_ms())


def send_many(entry: OneEntry, number: int, wait_ms: int = 1_000) -> list[Caller]:
    """Send requests at once."""
    callers = []
    for each in range(number):
        caller = Caller(entry)
        caller.send(attempt_id=f"a{each}", wait_ms=wait_ms, method="GET")
        callers.append(caller)
    return callers


def answer(called: CalledServer) -> bool:
    """Answer the request on a connection; return whether there was one."""
    lines = called.received().split(b"\r\n")
    named = [each for each in lines if each.lower().startswith(ATTEMPT_ID)]
    if not named:
        return False
    called.transport.clear()
    called.answer(ANSWER % (SIGNATURE, named[0]))
    return True


def serve(entry: OneEntry, ms: int) -> list[int]:
    """Let servers answer for some time; return when each request reached one."""
    arrivals_ms = []
    open_to: list[CalledServer] = []
    end_ms = entry.now_ms() + ms
    while entry.now_ms() < end_ms:
        open_to += entry.accept_all()
        for called in open_to:
            if answer(called):
                arrivals_ms.append(entry.now_ms())
        entry.run(5)
    return arrivals_ms


def most_in_a_second(times_ms: list[int]) -> int:
    """Return the most requests in any second."""
    return max(
        (sum(0 <= at - first <= 1_000 for at in times_ms) for first in times_ms),
        default=0,
    )


def record_messages(entry: OneEntry) -> list[tuple[str, Message]]:
    """Record the messages to other instances, and send none of them."""
    sent: list[tuple[str, Message]] = []

    def send(name: str, message: Message) -> str:
        sent.append((name, message))
        return name

    entry.flow.asks.cold_turns.links.send = send  # type: ignore[method-assign]
    return sent


class TestCallersRequests:
    """Requests of callers to pools with cold servers."""

    def test_cold_pool_gets_its_rate_and_refuses_the_rest_at_once(self) -> None:
        """A pool that starts in a burst crashed again under all of the requests."""
        entry = entry_of("i-1")
        chill(entry, "i-1")
        callers = send_many(entry, 40)
        entry.run(10)
        refused = [each for each in callers if each.status() == 503]
        assert len(refused) >= 30
        assert all(b"Retry-After: " in each.received() for each in refused)
        arrivals_ms = serve(entry, 2_000)
        assert len(arrivals_ms) == 40 - len(refused) >= 3
        assert most_in_a_second(arrivals_ms) <= MOST
        assert {each.status() for each in callers} == {200, 503}

    def test_requests_wait_for_a_pool_that_is_warm_soon(self) -> None:
        """Requests with much time left were refused though servers were warm soon."""
        entry = entry_of("i-1")
        chill(entry, "i-1", left_ms=1_500)
        end_ms = entry.now_ms() + 1_500
        callers = send_many(entry, 40, wait_ms=4_000)
        arrivals_ms = serve(entry, 2_000)
        cold_ms = [each for each in arrivals_ms if each < end_ms]
        assert len(cold_ms) >= 6
        assert most_in_a_second(cold_ms) <= MOST
        assert {each.status() for each in callers} == {200}

    def test_requests_go_to_warm_servers_without_a_turn(self) -> None:
        """Requests in excess of the cold rate must not wait or be refused."""
        entry = entry_of("i-1", "i-2", "i-3")
        chill(entry, "i-1")
        callers = send_many(entry, 30)
        entry.run(5)
        called = entry.accept_all()
        for each in called:
            answer(each)
        serve(entry, 1_000)
        assert {each.status() for each in callers} == {200}
        turns = entry.serving.metrics.counters
        assert turns["cold_turns", "used"] <= MOST

    def test_cold_server_among_warm_ones_is_used(self) -> None:
        """Its part of the pool's capacity must not be lost."""
        entry = entry_of("i-1", "i-2")
        chill(entry, "i-1")
        for _ in range(20):
            send_many(entry, 1)
            serve(entry, 250)
        used = entry.serving.metrics.counters["cold_turns", "used"]
        assert 5 <= used <= 5 * 5.9 + 1

    def test_server_that_turns_cold_meanwhile_gets_nothing(self) -> None:
        """The connection was being opened when the server became cold."""
        entry = entry_of("i-1", "i-2")
        (caller,) = send_many(entry, 1)
        host = entry.reactor.tcpClients
        assert len(host) == 1
        chill(entry, "i-1", "i-2")
        first = entry.accept()
        entry.run(5)
        assert first.received() == b""
        assert entry.serving.metrics.counters["cold_turns", "withheld"] == 1
        assert serve(entry, 900)
        assert caller.status() == 200

    def test_repetition_needs_a_turn_of_its_own(self) -> None:
        """Retries after a broken connection came on top of the bound."""
        entry = entry_of("i-1", "i-2")
        chill(entry, "i-1", "i-2")
        send_many(entry, 1)
        entry.run(5)
        first = entry.accept()
        assert first.received()
        first.reset()
        entry.run(5)
        # The check of the server, which opens a connection only.
        check = entry.accept()
        serve(entry, 250)
        assert check.received() == b""
        granted = entry.serving.metrics.counters["cold_grants", "granted"]
        used = entry.serving.metrics.counters["cold_turns", "used"]
        assert granted == used == 2

    def test_next_run_does_not_vouch_for_an_answer_of_the_one_before(self) -> None:
        """A cold server is not asked for its run, and part of an answer was taken."""
        entry = entry_of("i-1", max_attempts=1)
        (found,) = entry.serving.ready(POOL)
        (caller,) = send_many(entry, 1)
        called = entry.accept()
        called.answer(ANSWER_TO_CLOSE % SIGNATURE)
        following = found._replace(started_ms=BORN_MS + 1)
        register(entry.serving.registry, following, StoreRevision(0, 9))
        chill(entry, "i-1")
        called.close()
        entry.run(5)
        check = entry.accept()
        entry.run(400)
        assert check.received() == b""
        assert caller.status() in (502, 504)

    def test_nothing_is_granted_by_an_instance_that_hears_too_few(self) -> None:
        """It may be cut off from the owner of the others."""
        entry = entry_of("i-1")
        for place in range(2, 5):
            me = MemberRef(f"front-{place}", "south", f"10.0.0.{place}:1", "1", 10)
            beat = Heartbeat(me, 1, FIRST_REVISION, False)
            merge_heartbeats(entry.serving.members, [beat], entry.now_ms())
        entry.run(2_000)
        chill(entry, "i-1")
        (caller,) = send_many(entry, 1, wait_ms=2_000)
        assert serve(entry, 1_500) == []
        assert caller.status() == 503

    @pytest.mark.parametrize("is_off", ["settings", "pool"])
    def test_pools_without_a_bound_are_served_as_before(self, is_off: str) -> None:
        """Deployments without the rule would lose their servers' capacity."""
        entry = entry_of("i-1", has_bounds=is_off != "settings")
        if is_off == "pool":
            assert entry.serving.published is not None
            pool = entry.serving.published.pools[POOL]._replace(cold_per_s=0.0)
            entry.serving.published = entry.serving.published._replace(
                pools={POOL: pool}
            )
        chill(entry, "i-1")
        callers = send_many(entry, 40)
        assert len(serve(entry, 100)) == 40
        assert {each.status() for each in callers} == {200}


class TestCalls:
    """Calls of the owner of the stages to their servers."""

    def test_calls_to_a_cold_server_take_turns(self) -> None:
        """Stage calls, reports and releases came on top of callers' requests."""
        entry = entry_of("i-1")
        (found,) = entry.serving.ready(POOL)
        chill(entry, "i-1")
        assert wait_for(entry.serving, found, is_sole=True) == 0
        assert begin_call(entry.serving, found)()
        assert wait_for(entry.serving, found, is_sole=True) == 187
        assert not begin_call(entry.serving, found)()
        entry.run(200)
        may_send = begin_call(entry.serving, found)
        entry.run(110)
        assert not may_send()

    def test_instance_that_grants_no_turns_calls_no_cold_server(self) -> None:
        """An owner of the stages before or after its time would add its calls."""
        entry = entry_of("i-1")
        (found,) = entry.serving.ready(POOL)
        chill(entry, "i-1")
        entry.serving.is_ending = entry.serving.members.is_ending = True
        entry.run(200)
        assert wait_for(entry.serving, found, is_sole=True) == RETRY_MS
        assert not begin_call(entry.serving, found)()

    def test_call_to_a_server_that_turned_cold_is_not_sent(self) -> None:
        """The connection was being opened when the server became cold."""
        entry = entry_of("i-1")
        (found,) = entry.serving.ready(POOL)
        may_send = begin_call(entry.serving, found)
        assert may_send()
        chill(entry, "i-1")
        assert not may_send()


class TestWhatMakesCold:
    """What an instance takes from entries, answers and crashes."""

    def test_next_run_and_answers_and_crashes(self) -> None:
        """An instance that misses one of these sends without a bound."""
        entry = entry_of("i-1", "i-2", "i-3")
        serving = entry.serving
        servers = {each.id: each for each in serving.ready(POOL)}
        assert not any(is_cold(serving, each) for each in servers.values())
        note_cold_entry(serving, servers["i-1"], True)
        serving.cold_runs.has_traffic = True
        following = servers["i-1"]._replace(started_ms=BORN_MS + 1)
        register(serving.registry, following, StoreRevision(0, 9))
        note_cold_entry(serving, following, False)
        assert is_cold(serving, following)
        header = [(b"bramleyturn-cold-remaining-ms", b"1500")]
        note_head(serving, servers["i-2"], read_answer_head(200, header))
        assert is_cold(serving, servers["i-2"])
        serving.registry.evacuations.ended_ms["north"] = entry.now_ms()
        assert is_cold(serving, servers["i-3"])
        entry.run(COLD_MS)
        assert not any(is_cold(serving, each) for each in servers.values())

    def test_other_server_at_the_address_says_nothing_of_this_one(self) -> None:
        """An answer 421 is that of the server which has the address now."""
        entry = entry_of("i-1")
        (found,) = entry.serving.ready(POOL)
        header = [(b"bramleyturn-cold-remaining-ms", b"1500")]
        note_head(entry.serving, found, read_answer_head(421, header))
        assert not is_cold(entry.serving, found)


class TestMessages:
    """Asks and turns between instances."""

    def test_messages_keep_their_fields(self) -> None:
        """The names are those that other builds send."""
        ask = ColdAsk("a1#0", (RUN, "i-2@5"), 150)
        assert encode_cold_ask(ask) == {
            "type": "cold_ask",
            "attempt_id": "a1#0",
            "servers": [RUN, "i-2@5"],
            "wait_ms": 150,
        }
        assert decode_cold_ask(encode_cold_ask(ask)) == ask
        turn = ColdTurn("a1#0", RUN, 20)
        assert decode_cold_turn(encode_cold_turn(turn)) == turn

    @pytest.mark.parametrize(
        "changes",
        [
            {"attempt_id": 1},
            {"wait_ms": -1},
            {"wait_ms": 1.5},
            {"wait_ms": True},
            {"servers": "i-1"},
            {"servers": [1]},
            {"servers": [RUN] * 9},
        ],
    )
    def test_malformed_messages_are_rejected(self, changes: dict[str, Any]) -> None:
        """They would raise errors in the handler of all messages of a call."""
        ask = encode_cold_ask(ColdAsk("a1", (RUN,), 0))
        turn = encode_cold_turn(ColdTurn("a1", RUN, 0))
        assert decode_cold_ask(ask | changes) is None
        if "servers" not in changes:
            assert decode_cold_turn(turn | changes) is None

    def test_unknown_runs_get_no_turn(self) -> None:
        """An owner knows the rate of registered servers only."""
        entry = entry_of("i-1")
        sent = record_messages(entry)
        turns = entry.flow.asks.cold_turns
        turns.handle_ask("front-2", ColdAsk("a1", ("i-9@1", f"i-1@{BORN_MS - 1}"), 0))
        turns.handle_ask("front-2", ColdAsk("a2", (RUN,), 0))
        assert [each["server"] for _, each in sent] == ["", RUN]

    def test_request_does_not_wait_for_an_owner_that_is_silent(self) -> None:
        """A request that a warm server can serve must not wait for long."""
        entry = entry_of("i-1", "i-2", timeout_ms=8_000)
        other = MemberRef("front-9", "south", "10.0.0.8:1", "1", 1_000)
        beat = Heartbeat(other, 1, FIRST_REVISION, False)
        merge_heartbeats(entry.serving.members, [beat], entry.now_ms())
        chill(entry, "i-1")
        sent = record_messages(entry)
        turns = entry.flow.asks.cold_turns
        send_many(entry, 1)
        entry.run(50)
        assert [(name, each["servers"]) for name, each in sent] == [("front-9", [RUN])]
        assert not entry.is_connecting()
        entry.run(15)
        assert entry.is_connecting()
        # An answer that comes later is not used.
        turns.handle_turn(ColdTurn(sent[0][1]["attempt_id"], RUN, 0))
        assert entry.serving.metrics.counters["cold_turns", "late"] == 1
