"""Tests of how fast a revision spreads, and how often the platform is read for it.

The platform and the watches are simulated by their schedule: when each reads, from
whom, and which revision it then has. The entry states and their gossip are real.
"""

from collections import Counter

import pytest

from bramleyturn.core.entry_state import EntryState
from bramleyturn.watch.watch_loop import (
    JITTER_PERCENT,
    LIST_INTERVAL_MS,
    NEWER_REVISION_POLL_MS,
    PEER_INTERVAL_MS,
    PERCENT,
    SAME_ZONE_SHARE,
    WATCH_WAIT_MS,
    list_interval_ms,
)
from tests.core.gossip_simulation import Simulation

SEED = 23
GOAL_MS = 18_000
READ_LIMIT_PER_S = 2_000
LINES_PER_INSTANCE = 6


class Watches:
    """Hold the revision of each instance's watch and count the platform's reads."""

    def __init__(self, simulation: Simulation, stale_addresses: set[str]) -> None:
        self.simulation = simulation
        self.stale_addresses = stale_addresses
        self.published_revision = 1
        self.published_ms = 0
        self.revisions = dict.fromkeys(simulation.states, 0)
        self.poll_numbers = Counter[str]()
        self.reads: Counter[int] = Counter()
        self.list_ms = LIST_INTERVAL_MS
        for address in simulation.states:
            self.start(address)

    def start(self, address: str) -> None:
        now_ms = self.simulation.now_ms
        self.simulation.at(now_ms, lambda: self.read(address))
        self.simulation.at(now_ms, lambda: self.read_list(address))
        self.simulation.at(now_ms, lambda: self.ask_peer(address, 0))

    def jittered(self, wait_ms: int) -> int:
        spread_ms = wait_ms * JITTER_PERCENT // PERCENT
        return wait_ms + self.simulation.random.randint(-spread_ms, spread_ms)

    def offered_revision(self, address: str) -> int:
        return (
            self.published_revision - 1
            if address in self.stale_addresses
            else self.published_revision
        )

    def read(self, address: str) -> None:
        """Long-poll the configuration, answered when it is newer or after the wait."""
        self.reads[self.simulation.now_ms // 1000] += 1
        end_ms = self.simulation.now_ms + self.jittered(WATCH_WAIT_MS)
        self.wait_for_newer(address, end_ms)

    def wait_for_newer(self, address: str, end_ms: int) -> None:
        now_ms = self.simulation.now_ms
        if self.offered_revision(address) > self.revisions[address]:
            self.apply_revision(address, self.offered_revision(address))
            self.simulation.at(now_ms + 20, lambda: self.read(address))
        elif now_ms >= end_ms:
            self.simulation.at(now_ms + 20, lambda: self.read(address))
        else:
            self.simulation.at(
                now_ms + 50, lambda: self.wait_for_newer(address, end_ms)
            )

    def read_list(self, address: str) -> None:
        self.reads[self.simulation.now_ms // 1000] += 1
        lines = LINES_PER_INSTANCE * len(self.revisions)
        next_ms = self.simulation.now_ms + self.jittered(list_interval_ms(lines))
        self.simulation.at(next_ms, lambda: self.read_list(address))

    def ask_peer(self, address: str, number: int) -> None:
        """Ask another watch, sooner if the own entry has seen a newer revision."""
        if number != self.poll_numbers[address]:
            return
        other = self.simulation.random.choice(self.candidates(address))
        self.apply_revision(address, self.revisions[other])
        hurried = self.state(address).gossip.seen_revision > self.revisions[address]
        wait_ms = self.jittered(NEWER_REVISION_POLL_MS if hurried else PEER_INTERVAL_MS)
        self.simulation.at(
            self.simulation.now_ms + wait_ms, lambda: self.ask_peer(address, number)
        )

    def poll_if_behind(self, address: str) -> None:
        if self.state(address).gossip.seen_revision > self.revisions[address]:
            self.poll_numbers[address] += 1
            self.ask_peer(address, self.poll_numbers[address])

    def candidates(self, address: str) -> list[str]:
        others = [each for each in self.revisions if each != address]
        zone = self.state(address).zone
        near = [each for each in others if self.state(each).zone == zone]
        return (
            near
            if near and self.simulation.random.random() < SAME_ZONE_SHARE
            else others
        )

    def state(self, address: str) -> EntryState:
        return self.simulation.states[address]

    def apply_revision(self, address: str, revision: int) -> None:
        if revision <= self.revisions[address]:
            return
        self.revisions[address] = revision
        configuration = self.simulation.configuration._replace(revision=revision)
        self.simulation.configure(self.state(address), configuration)

    def publish(self) -> None:
        self.published_revision += 1

    def is_in_force_everywhere(self) -> bool:
        return all(
            state.configuration.revision == self.published_revision
            for state in self.simulation.states.values()
        )


def new_watches(
    count: int, zones: int, stale_share: float
) -> tuple[Simulation, Watches]:
    simulation = Simulation(count, zones, SEED)
    simulation.connect_all()
    addresses = sorted(simulation.states)
    simulation.random.shuffle(addresses)
    watches = Watches(simulation, set(addresses[: int(count * stale_share)]))
    simulation.on_turn = watches.poll_if_behind
    return simulation, watches


class TestSpread:
    @pytest.mark.parametrize(("count", "zones"), [(20, 4), (100, 10), (390, 20)])
    @pytest.mark.parametrize("stale_share", [0.0, 0.5, 0.9])
    def test_in_force_everywhere_within_the_goal(
        self, count: int, zones: int, stale_share: float
    ) -> None:
        simulation, watches = new_watches(count, zones, stale_share)
        simulation.run(3_000)
        watches.publish()
        took_ms = simulation.run_until(watches.is_in_force_everywhere, GOAL_MS)
        most_reads = max(watches.reads.values()) + count
        print(f"{count=} {stale_share=} {took_ms=} {most_reads=}")
        assert took_ms < GOAL_MS
        assert most_reads < READ_LIMIT_PER_S

    @pytest.mark.parametrize(("count", "zones"), [(20, 4), (100, 10), (390, 20)])
    @pytest.mark.parametrize("stale_share", [0.0, 0.5])
    def test_all_instances_restarted_at_once(
        self, count: int, zones: int, stale_share: float
    ) -> None:
        simulation, watches = new_watches(count, zones, stale_share)
        watches.publish()
        for state in simulation.states.values():
            state.peers.by_address.clear()
            state.peers.listed = ()
        simulation.list_everyone()
        took_ms = simulation.run_until(watches.is_in_force_everywhere, GOAL_MS)
        most_reads = max(watches.reads.values()) + len(simulation.states)
        print(f"{count=} {stale_share=} {took_ms=} {most_reads=}")
        assert took_ms < GOAL_MS
        assert most_reads < READ_LIMIT_PER_S

    def test_zone_with_one_working_reader_moves_within_seconds(self) -> None:
        simulation, watches = new_watches(20, 4, 0.0)
        zone_addresses = [
            a for a, state in simulation.states.items() if state.zone == "zone-0"
        ]
        watches.stale_addresses = set(simulation.states) - {zone_addresses[0]}
        simulation.is_cut = lambda a, b: (a in zone_addresses) != (b in zone_addresses)
        simulation.run(3_000)
        watches.publish()

        def zone_moved() -> bool:
            return all(
                simulation.states[a].configuration.revision == 2 for a in zone_addresses
            )

        took_ms = simulation.run_until(zone_moved, GOAL_MS)
        print(f"{took_ms=}")
        assert took_ms < 8_000
