"""Tests of what entry processes tell each other."""

from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.actions import GossipNow
from bramleyturn.core.configuration import RefusedConfiguration, load_configuration
from bramleyturn.core.entry import step
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import (
    DrainOrdered,
    ListedEntry,
    PeerSeen,
    PeersListed,
    TimePassed,
)
from bramleyturn.core.gossip import (
    BURST_BYTES,
    RATE_BYTES_PER_S,
    Allowance,
    LeavingHint,
    Log,
    News,
    bytes_allowed,
    changes_after,
    log_change,
    pack_news,
    parse_news,
    spend_bytes,
)
from bramleyturn.core.greetings import write_greeting
from bramleyturn.core.membership import Life, Rumour
from bramleyturn.core.peers import choose_backup
from bramleyturn.core.poison import CrashHint, connection_lost
from bramleyturn.core.routing import LoadReport
from bramleyturn.core.spend import SpendCounter, record_spend, spent
from tests.core.greeting_world import World

SEED = 3
RUMOUR = Rumour("b", "zone-1", "10.0.0.1:2", "bb", 0, Life.SUSPECT, 40)
FULL = News(
    rumours=(RUMOUR,) * 3,
    crashes=(CrashHint("gpu-1", ("aa" * 16,), 10),) * 3,
    leaving=(LeavingHint("gpu-2", 10),) * 3,
    spend=(SpendCounter("e", "aa", "lessons", 4, 100, 10),) * 3,
    loads=(LoadReport("gpu-3", 1, 2, 8, 10, False),) * 3,
    spend_whole=True,
)
SERVERS = """
[pool p]
kind = plain

[server gpu-2]
pool = p
zone = zone-0
address = 10.0.0.9:1
"""


def pack(news: News, most_bytes: int) -> dict[str, Any]:
    numbers = range(1, 1 + len(news.crashes))
    return pack_news(news, numbers, numbers, 0, most_bytes)


def two_states() -> tuple[World, EntryState, EntryState]:
    world = World(2, 2, SEED)
    world.acquaint()
    first, second = world.states.values()
    return world, first, second


def tell(world: World, sender: EntryState, receiver: EntryState) -> list[Any]:
    """Carry one greeting over and return the actions of the receiver."""
    body = write_greeting(sender, receiver.me, receiver.zone, world.now_ms)
    event = PeerSeen(
        sender.name,
        sender.zone,
        *sender.me,
        sender.configuration.revision,
        orjson.loads(orjson.dumps(body)),
    )
    return step(receiver, event, world.now_ms)


class TestMessage:
    def test_whole_message_comes_back(self) -> None:
        packed = orjson.loads(orjson.dumps(pack(FULL, 4_096)))
        parsed = parse_news(packed)
        assert parsed == FULL._replace(crashes_upto=3, spend_upto=3)

    @pytest.mark.parametrize("most_bytes", range(128, 1_400, 64))
    def test_cap_holds_and_the_least_important_goes_first(
        self, most_bytes: int
    ) -> None:
        document = pack(FULL, most_bytes)
        assert len(orjson.dumps(document)) <= most_bytes
        order = ["crashes", "leaving", "rumours", "spend", "loads"]
        counts = [len(document.get(member, [])) for member in order]
        # Every member before one that got anything is whole, but for small items.
        assert counts[0] >= counts[2] >= counts[3], counts
        assert document["spend_whole"] == (counts[3] == 3)

    def test_log_is_acknowledged_only_as_far_as_it_was_told(self) -> None:
        document = pack(FULL, 240)
        assert document["crashes_upto"] == len(document["crashes"]) < 3

    def test_newer_version_with_unknown_members_is_understood(self) -> None:
        newer = pack(FULL, 4_096) | {"version": 9, "cards": [[1]], "spend": "other"}
        newer["rumours"] = [[*RUMOUR, "later"], ["short"], [1] * 7, "x", None]
        parsed = parse_news(newer)
        assert parsed.version == 9
        assert parsed.rumours == (RUMOUR,)
        assert parsed.spend == ()
        assert parsed.crashes == FULL.crashes

    def test_older_version_without_members_is_understood(self) -> None:
        assert parse_news({}) == News(version=0)

    @settings(derandomize=True)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(
                    st.sampled_from(
                        ["rumours", "crashes", "leaving", "spend", "loads", "acks"]
                    ),
                    inner,
                    max_size=6,
                )
            ),
            max_leaves=20,
        )
    )
    def test_no_content_does_harm(self, document: Any) -> None:
        assert isinstance(parse_news(document), News)


class TestAllowance:
    def test_mean_rate_is_bounded(self) -> None:
        allowance = Allowance()
        sent = 0
        for now_ms in range(0, 60_000, 100):
            size = min(bytes_allowed(allowance, now_ms), 400)
            spend_bytes(allowance, size)
            sent += size
        # The least that is always allowed comes to 1,600 bytes a second at this pace.
        assert sent <= BURST_BYTES + 60 * max(RATE_BYTES_PER_S, 1_600)


class TestLog:
    def test_changed_key_is_told_again(self) -> None:
        log = Log()
        for key in ("a", "b", "a"):
            log_change(log, key)
        assert changes_after(log, 0) == [("b", 2), ("a", 3)]
        assert changes_after(log, 2) == [("a", 3)]
        assert changes_after(log, 3) == []


class TestGreeting:
    def test_crash_reaches_the_peer_which_tells_others_at_once(self) -> None:
        world, first, second = two_states()
        connection_lost(first.suspects, "gpu-1", ["aa" * 16], world.now_ms)
        actions = tell(world, first, second)
        assert second.suspects.crashes == first.suspects.crashes
        assert actions == [GossipNow()]
        assert tell(world, first, second) == []

    def test_crash_is_not_told_again_once_acknowledged(self) -> None:
        world, first, second = two_states()
        connection_lost(first.suspects, "gpu-1", ["aa" * 16], world.now_ms)
        tell(world, first, second)
        tell(world, second, first)
        body = write_greeting(first, second.me, second.zone, world.now_ms)
        assert "crashes" not in body

    def test_lost_message_loses_nothing(self) -> None:
        world, first, second = two_states()
        connection_lost(first.suspects, "gpu-1", ["aa" * 16], world.now_ms)
        write_greeting(first, second.me, second.zone, world.now_ms)
        tell(world, second, first)
        tell(world, first, second)
        assert second.suspects.crashes

    def test_leaving_server_gets_no_new_work_at_the_peer(self) -> None:
        world, first, second = two_states()
        configuration = load_configuration(1, {"a.ini": SERVERS})
        assert not isinstance(configuration, RefusedConfiguration)
        for state in (first, second):
            world.configure(state, configuration)
        first.routing.servers["gpu-2"].left_ms = world.now_ms
        tell(world, first, second)
        assert second.routing.servers["gpu-2"].left_ms == world.now_ms

    def test_spend_is_merged_and_only_a_whole_report_counts_as_heard(self) -> None:
        world, first, second = two_states()
        entries = tuple(
            ListedEntry(state.name, state.zone, state.me.address, False)
            for state in (first, second)
        )
        for state in (first, second):
            step(state, PeersListed(entries), world.now_ms)
        for number in range(200):
            workspace = f"workspace-{number}"
            record_spend(first.spend, workspace, 10, world.now_ms)
            log_change(first.gossip.spend, (workspace, 0))
        tell(world, first, second)
        assert first.name not in second.spend.heard_ms
        for _ in range(60):
            world.now_ms += 1_000
            tell(world, second, first)
            tell(world, first, second)
        assert first.name in second.spend.heard_ms
        assert spent(second.spend, "workspace-199", world.now_ms) == 10

    def test_draining_process_is_no_backup(self) -> None:
        world, first, second = two_states()
        assert choose_backup(second.peers, second.zone, world.now_ms, world.random)
        assert step(first, DrainOrdered(), world.now_ms) == [GossipNow()]
        tell(world, first, second)
        assert not choose_backup(second.peers, second.zone, world.now_ms, world.random)

    def test_newer_revision_is_noticed(self) -> None:
        world, first, second = two_states()
        world.configure(first, world.configuration._replace(revision=8))
        tell(world, first, second)
        assert second.gossip.seen_revision == 8

    def test_nothing_is_urgent_without_news(self) -> None:
        world, first, _ = two_states()
        assert step(first, TimePassed(), world.now_ms) == []
