"""Test what counts as unreachable from here, for how long, and who passes messages on.

It guards against instances that send to unreachable ones again and again, against
zones that are avoided for one slow server, and against zones that stay avoided.
"""

from random import Random

import pytest

from bramleyturn.core.fleet.members import (
    HEARTBEAT_TIMEOUT_MS,
    Heartbeat,
    MemberRef,
    Members,
    merge_heartbeats,
)
from bramleyturn.core.fleet.reachability import (
    FIRST_AVOIDED_MS,
    MAX_AVOIDED_MS,
    TRY_MS,
    Reachability,
    is_unreached,
    note_reached,
    note_server_answered,
    note_server_hung,
    note_server_tried,
    note_unreached,
    relay_to,
    unreached_zones,
)
from bramleyturn.core.fleet.store_revision import FIRST_REVISION

RANDOM = Random(1)


def ref(place: int, zone: str) -> MemberRef:
    """Return an instance of a zone, named after it."""
    name = f"{zone}{place}"
    return MemberRef(name, zone, f"{name}:1", "1")


@pytest.fixture
def members() -> Members:
    """Return the view of an instance of zone a, with three of a, b and c each."""
    known = Members(ref(0, "a"), (), 0)
    refs = [ref(place, zone) for place in range(1, 4) for zone in "abc"]
    beats = [Heartbeat(each, 1, FIRST_REVISION, False) for each in refs]
    merge_heartbeats(known, beats, 0)
    return known


class TestInstances:
    """Instances that don't acknowledge messages."""

    def test_one_is_reached_by_a_third_zone(self, members: Members) -> None:
        reach = Reachability()
        assert relay_to(reach, members, "b1", RANDOM, 0) == ""
        note_unreached(reach, members, "b1", 0)
        relay = relay_to(reach, members, "b1", RANDOM, 0)
        assert relay.startswith("c")
        # Messages keep their order.
        assert {relay_to(reach, members, "b1", RANDOM, 0) for _ in range(9)} == {relay}
        note_unreached(reach, members, relay, 0)
        assert relay_to(reach, members, "b1", RANDOM, 0) not in ("", relay)
        assert relay_to(reach, members, "b2", RANDOM, 0) == ""

    def test_one_that_is_gone_has_no_relay(self, members: Members) -> None:
        reach = Reachability()
        note_unreached(reach, members, "b1", 0)
        late_ms = HEARTBEAT_TIMEOUT_MS + 1
        assert is_unreached(reach, members, "b1", late_ms)
        assert relay_to(reach, members, "b1", RANDOM, late_ms) == ""

    def test_own_zone_is_always_tried(self, members: Members) -> None:
        reach = Reachability()
        note_unreached(reach, members, "a1", 0)
        assert not is_unreached(reach, members, "a1", 0)

    def test_several_stand_for_their_zone_until_one_is_reached(
        self, members: Members
    ) -> None:
        reach = Reachability()
        note_unreached(reach, members, "b1", 0)
        assert not is_unreached(reach, members, "b3", 0)
        note_unreached(reach, members, "b2", 5)
        assert is_unreached(reach, members, "b3", 5)
        assert note_reached(reach, members, "b2", 10)
        assert not is_unreached(reach, members, "b3", 10)
        assert is_unreached(reach, members, "b1", 10)

    def test_each_failure_counts_longer(self, members: Members) -> None:
        reach = Reachability()
        now_ms = 0
        waits = []
        for _ in range(4):
            note_unreached(reach, members, "b1", now_ms)
            # Of the same try.
            note_unreached(reach, members, "b1", now_ms + 5)
            waits.append(reach.instances["b1"].until_ms - now_ms)
            now_ms = reach.instances["b1"].until_ms
            assert not is_unreached(reach, members, "b1", now_ms)
        assert waits == [FIRST_AVOIDED_MS, 4_000, MAX_AVOIDED_MS, MAX_AVOIDED_MS]

    def test_those_that_are_forgotten_take_no_memory(self, members: Members) -> None:
        reach = Reachability()
        note_unreached(reach, members, "b1", 0)
        del members.others["b1"]
        note_unreached(reach, members, "b2", 0)
        assert set(reach.instances) == {"b2"}


class TestServers:
    """Servers of other zones to which connections hang."""

    def test_one_server_does_not_stand_for_its_zone(self) -> None:
        reach = Reachability()
        assert not note_server_hung(reach, "b", "a", "s1", 0)
        assert not note_server_hung(reach, "b", "a", "s1", 100)
        assert note_server_hung(reach, "b", "a", "s2", 200)
        assert unreached_zones(reach, 200) == {"b"}
        assert not note_server_hung(reach, "a", "a", "s1", 0)
        assert not note_server_hung(reach, "a", "a", "s2", 0)

    def test_zone_is_back_with_the_first_answer(self) -> None:
        reach = Reachability()
        note_server_hung(reach, "b", "a", "s1", 0)
        note_server_answered(reach, "b")
        assert not note_server_hung(reach, "b", "a", "s2", 100)
        assert note_server_hung(reach, "b", "a", "s1", 200)
        assert note_server_answered(reach, "b")
        assert not unreached_zones(reach, 200)

    def test_one_request_tries_the_zone_again(self) -> None:
        reach = Reachability()
        note_server_hung(reach, "b", "a", "s1", 0)
        note_server_hung(reach, "b", "a", "s2", 0)
        note_server_hung(reach, "b", "a", "s3", 300)
        assert not unreached_zones(reach, FIRST_AVOIDED_MS)
        note_server_tried(reach, "b", FIRST_AVOIDED_MS)
        assert unreached_zones(reach, FIRST_AVOIDED_MS) == {"b"}
        hung_ms = FIRST_AVOIDED_MS + TRY_MS - 100
        note_server_hung(reach, "b", "a", "s1", hung_ms)
        assert unreached_zones(reach, hung_ms + 2 * FIRST_AVOIDED_MS - 1) == {"b"}
        assert not unreached_zones(reach, hung_ms + 2 * FIRST_AVOIDED_MS)
