"""Test that all instances learn of an evacuated zone in time, and keep to it."""

from contextlib import ExitStack

import pytest

from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.core.zones.evacuations import is_evacuated
from bramleyturn.gateway.store_copy import take_changes, take_whole
from bramleyturn.gateway.store_relay import (
    decode_relayed,
    relay_document,
    take_relayed,
)
from bramleyturn.platform.store import StoreItem
from bramleyturn.standin.site.store import delete, put, take_copy
from tests.gateway.store_fleet import Instance, StoreFleet, register

KEY = "op/evacuate/north"
SERVERS = {("s1", 1), ("s2", 2)}
# What an operator allows from the acknowledgement on.
BOUND_S = 5.0
SETTLE_S = 3.0
OLD = StoreRevision(1, 5)


@pytest.fixture
def fleet() -> StoreFleet:
    """Return instances that have read the store, which has servers in one zone."""
    fleet = StoreFleet(seed=7, size=12)
    fleet.configure()
    for server_id, born_ms in SERVERS:
        register(fleet, server_id, born_ms, "ready")
    return fleet


def run(fleet: StoreFleet, seconds: float) -> None:
    """Let the time pass."""
    with ExitStack() as stack:
        for context in fleet.running():
            stack.enter_context(context)
        for _ in fleet.advance(seconds):
            pass


def start(fleet: StoreFleet, *left_out: int) -> None:
    """Start all instances but ``left_out``, and let them learn of each other."""
    with ExitStack() as stack:
        for context in fleet.running():
            stack.enter_context(context)
        for place, instance in enumerate(fleet.instances):
            if place not in left_out:
                instance.start()
    run(fleet, SETTLE_S)


def knows(instance: Instance) -> bool:
    """Return whether an instance believes that the zone is evacuated."""
    return is_evacuated(instance.serving.registry.evacuations, "north")


class TestEvacuatedZone:
    """An operator evacuates a zone."""

    def test_all_instances_keep_to_it_within_the_bound(self, fleet: StoreFleet) -> None:
        start(fleet)
        assert all(each.ready() == SERVERS for each in fleet.instances)
        put(fleet.store, KEY, b"{}")
        run(fleet, BOUND_S)
        assert [each.ready() for each in fleet.instances] == [set()] * 12
        delete(fleet.store, KEY)
        run(fleet, BOUND_S)
        assert all(each.ready() == SERVERS for each in fleet.instances)

    def test_instance_without_the_store_is_told_by_others(
        self, fleet: StoreFleet
    ) -> None:
        start(fleet)
        fleet.instances[3].reaches_store = False
        put(fleet.store, KEY, b"{}")
        run(fleet, BOUND_S)
        assert knows(fleet.instances[3])

    def test_it_stays_while_the_store_is_away(self, fleet: StoreFleet) -> None:
        start(fleet)
        put(fleet.store, KEY, b"{}")
        run(fleet, BOUND_S)
        fleet.store.is_silent = True
        run(fleet, 2 * BOUND_S)
        assert all(knows(each) for each in fleet.instances)

    def test_it_stays_when_the_store_comes_back_from_an_older_copy(
        self, fleet: StoreFleet
    ) -> None:
        start(fleet)
        take_copy(fleet.store)
        put(fleet.store, KEY, b"{}")
        run(fleet, BOUND_S)
        fleet.come_back()
        run(fleet, BOUND_S)
        assert all(knows(each) for each in fleet.instances)

    def test_instance_that_starts_meanwhile_never_uses_the_zone(
        self, fleet: StoreFleet
    ) -> None:
        start(fleet, 5)
        put(fleet.store, KEY, b"not json")
        run(fleet, BOUND_S)
        late = fleet.instances[5]
        with ExitStack() as stack:
            for context in fleet.running():
                stack.enter_context(context)
            late.start()
            for _ in fleet.advance(SETTLE_S):
                assert not late.ready()
        assert late.version()

    def test_copy_of_another_instance_does_not_end_it(self) -> None:
        # Both have read the older copy, one of them at a later revision. What the store
        # lacks there is no removal by the operator, whoever tells it.
        first, second = StoreFleet(1, 2).instances
        for each in (first, second):
            each.copy.on_new_revision = lambda: None
            take_whole(each.copy, [StoreItem(KEY, b"", StoreRevision(1, 5))], OLD)
        take_whole(first.copy, [], StoreRevision(2, 7))
        take_whole(second.copy, [], StoreRevision(2, 9))
        relayed = decode_relayed(relay_document(second.copy, 7, 2, ""), {})
        assert relayed is not None
        take_relayed(first.copy, relayed, relayed.revision)
        assert knows(first)
        assert knows(second)
        # The operator's own removal ends it.
        removed = StoreItem(KEY, None, StoreRevision(2, 10))
        take_changes(first.copy, [removed], removed.revision)
        assert not knows(first)
