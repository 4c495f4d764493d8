"""Replay the start of many instances at once, while servers register."""

import contextlib

from bramleyturn.core.fleet.freshness import WATCHERS_PER_ZONE
from bramleyturn.gateway.store_reader import WATCH_WAIT_MS
from tests.gateway.store_fleet import StoreFleet, register

INSTANCES = 40
ZONES = 2
START_S = 2.0
SETTLED_S = 3.0
CHANGE_INTERVAL_S = 0.05
CONTACT_S = 3.0


def started(fleet: StoreFleet) -> None:
    """Start all instances, while a server registers every now and then."""
    fleet.configure()
    for each in fleet.instances:
        each.start()
    for step, _ in enumerate(fleet.advance(START_S)):
        if step % int(CHANGE_INTERVAL_S * 100) == 0:
            register(fleet, f"s{step}", 1_000 + step, "ready")


class TestStart:
    """Instances that start together."""

    def test_few_watch_while_servers_register(self) -> None:
        fleet = StoreFleet(3, INSTANCES)
        with contextlib.ExitStack() as stack:
            for patched in fleet.running():
                stack.enter_context(patched)
            started(fleet)
        # Each reads everything once, a few again, and the watchers see each change.
        changes = START_S / CHANGE_INTERVAL_S
        watched = WATCHERS_PER_ZONE * ZONES * changes
        assert fleet.store.calls <= 2 * INSTANCES + watched

    def test_all_know_all_servers_soon(self) -> None:
        fleet = StoreFleet(3, INSTANCES)
        with contextlib.ExitStack() as stack:
            for patched in fleet.running():
                stack.enter_context(patched)
            started(fleet)
            for _ in fleet.advance(SETTLED_S):
                pass
            before = fleet.store.calls
            for _ in fleet.advance(CONTACT_S):
                pass
        expected = fleet.stored_servers()
        assert all(each.ready() == expected for each in fleet.instances)
        idle = WATCHERS_PER_ZONE * ZONES * (CONTACT_S * 1_000 / WATCH_WAIT_MS + 1)
        assert fleet.store.calls - before <= 2 * idle
