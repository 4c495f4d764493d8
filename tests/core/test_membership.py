"""Tests of the failure detector of entry processes, in virtual time."""

import pytest

from bramleyturn.core.membership import (
    MAX_OTHER_ZONE_MEMBERS,
    MAX_OWN_ZONE_MEMBERS,
    Liveness,
    Membership,
    Rumour,
    expire_suspicions,
    is_settled,
    merge_rumours,
    next_probe,
    record_heard,
    record_miss,
)
from bramleyturn.core.peers import choose_backup
from bramleyturn.core.tickets import ProcessRef
from tests.core.gossip_simulation import SUSPECT_MS, Simulation

SEED = 11
ME = ProcessRef("10.0.0.1:0", "aa")
OTHER = ProcessRef("10.0.0.1:1", "bb")
THIRD = ProcessRef("10.0.0.1:2", "cc")


def membership() -> Membership:
    return Membership("me", "zone-0", ME)


def all_settled(simulation: Simulation) -> bool:
    return all(
        member.life is Liveness.ALIVE
        for state in simulation.states.values()
        for member in state.peers.by_address.values()
    )


class TestCost:
    @pytest.mark.parametrize(("count", "zones"), [(20, 4), (100, 10), (390, 20)])
    def test_traffic_of_a_process_does_not_grow_with_their_number(
        self, count: int, zones: int
    ) -> None:
        simulation = Simulation(count, zones, SEED)
        simulation.connect_all()
        simulation.run(5_000)
        simulation.bytes.clear()
        simulation.messages.clear()
        seconds = 20
        simulation.run(seconds * 1000)
        mean_bytes = sum(simulation.bytes.values()) / count / seconds
        mean_messages = sum(simulation.messages.values()) / count / seconds
        largest = max(simulation.bytes.values()) / seconds
        print(f"{count=} {mean_bytes=:.0f} {largest=:.0f} {mean_messages=:.1f}")
        assert mean_messages < 4.5
        assert mean_bytes < 3_200
        most = max(len(state.peers.by_address) for state in simulation.states.values())
        assert most <= MAX_OWN_ZONE_MEMBERS + MAX_OTHER_ZONE_MEMBERS

    @pytest.mark.parametrize(("count", "zones"), [(20, 4), (100, 10), (390, 20)])
    def test_failure_is_detected_within_seconds(self, count: int, zones: int) -> None:
        simulation = Simulation(count, zones, SEED)
        simulation.connect_all()
        simulation.run(5_000)
        dead = "10.0.0.1:7"
        knowing = [a for a in simulation.believers(dead, Liveness.ALIVE) if a != dead]
        simulation.stop([dead])
        took_ms = simulation.run_until(
            lambda: (
                len(simulation.believers(dead, Liveness.ALIVE)) * 10 <= len(knowing)
            ),
            30_000,
        )
        gone_ms = took_ms + simulation.run_until(
            lambda: (
                len(simulation.believers(dead, Liveness.GONE)) * 10 >= len(knowing) * 9
            ),
            60_000,
        )
        print(f"{count=} suspected {took_ms=} {gone_ms=} known by {len(knowing)}")
        assert took_ms < 18_000
        assert gone_ms < 30_000
        assert not simulation.falsely_gone()


class TestFailures:
    def test_partition_is_detected_and_heals(self) -> None:
        simulation = Simulation(40, 4, SEED)
        simulation.run(15_000)
        side = {
            a for a, s in simulation.states.items() if s.zone in {"zone-0", "zone-1"}
        }
        simulation.is_cut = lambda a, b: (a in side) != (b in side)
        simulation.run(60_000)
        cut_off = [pair for pair in simulation.falsely_gone() if pair[0] in side]
        assert cut_off, "the other side of the partition should be gone"
        assert all((a in side) != (b in side) for a, b in simulation.falsely_gone())
        simulation.is_cut = lambda _a, _b: False
        healed_ms = simulation.run_until(
            lambda: not simulation.falsely_gone() and all_settled(simulation), 240_000
        )
        print(f"{healed_ms=}")
        assert healed_ms < 240_000

    def test_isolated_process_declares_nobody_gone(self) -> None:
        simulation = Simulation(20, 4, SEED)
        simulation.run(15_000)
        alone = "10.0.0.1:3"
        simulation.is_cut = lambda a, b: alone in {a, b}
        simulation.run(60_000)
        assert not [pair for pair in simulation.falsely_gone() if pair[0] == alone]
        state = simulation.states[alone]
        assert choose_backup(
            state.peers, state.zone, simulation.now_ms, simulation.random
        ) is (None)

    def test_mass_restart_is_known_within_a_minute(self) -> None:
        simulation = Simulation(20, 4, SEED)
        simulation.run(15_000)
        restarted = [f"10.0.0.1:{index}" for index in range(14)]
        old = {address: simulation.states[address] for address in restarted}
        simulation.stop(restarted)
        for address, state in old.items():
            simulation.start(state.name, state.zone, address)
        simulation.list_everyone()

        def new_incarnations_known() -> bool:
            return all(
                (member := state.peers.by_address.get(address)) is not None
                and member.incarnation == simulation.states[address].me.incarnation
                and member.life is Liveness.ALIVE
                for state in simulation.states.values()
                for address in restarted
                if address != state.me.address
            )

        took_ms = simulation.run_until(new_incarnations_known, 120_000)
        print(f"{took_ms=}")
        assert took_ms < 60_000

    def test_rack_loss_is_detected_within_a_minute(self) -> None:
        simulation = Simulation(100, 5, SEED)
        simulation.connect_all()
        simulation.run(5_000)
        rack = [f"10.0.0.1:{index}" for index in range(0, 50, 5)]
        simulation.stop(rack)

        def nobody_believes_them_alive() -> bool:
            return not any(
                simulation.believers(address, Liveness.ALIVE) for address in rack
            )

        took_ms = simulation.run_until(nobody_believes_them_alive, 120_000)
        print(f"{took_ms=}")
        assert took_ms < 60_000
        assert not simulation.falsely_gone()

    def test_resumed_process_declares_nobody_gone_at_once(self) -> None:
        simulation = Simulation(20, 4, SEED)
        simulation.run(15_000)
        resumed = "10.0.0.1:5"
        simulation.frozen.add(resumed)
        simulation.run(40_000)
        assert simulation.believers(resumed, Liveness.GONE)
        simulation.frozen.clear()
        simulation.run(SUSPECT_MS + 10_000)
        assert not [pair for pair in simulation.falsely_gone() if pair[0] == resumed]
        simulation.run_until(lambda: not simulation.falsely_gone(), 120_000)
        assert not simulation.falsely_gone()

    def test_addresses_of_restarted_processes_are_forgotten(self) -> None:
        simulation = Simulation(20, 4, SEED)
        for round_number in range(12):
            simulation.run(8_000)
            address = f"10.0.0.1:{round_number}"
            state = simulation.states[address]
            simulation.stop([address])
            simulation.start(state.name, state.zone, f"10.0.0.1:{100 + round_number}")
            simulation.list_everyone()
        simulation.run(90_000)
        sizes = {len(state.peers.by_address) for state in simulation.states.values()}
        assert sizes == {19}


class TestIdentity:
    def test_address_taken_over_belongs_to_the_new_process(self) -> None:
        known = membership()
        record_heard(known, "old", "zone-1", OTHER, 1_000)
        record_heard(known, "new", "zone-2", ProcessRef(OTHER.address, "dd"), 2_000)
        member = known.by_address[OTHER.address]
        assert (member.name, member.zone, member.incarnation) == ("new", "zone-2", "dd")

    def test_rumour_of_the_former_process_is_ignored(self) -> None:
        known = membership()
        record_heard(known, "new", "zone-1", ProcessRef(OTHER.address, "dd"), 2_000)
        gone = Rumour("old", "zone-1", *OTHER, 9, Liveness.GONE, 0)
        merge_rumours(known, [gone], 3_000)
        assert known.by_address[OTHER.address].life is Liveness.ALIVE

    def test_own_suspicion_is_refuted(self) -> None:
        known = membership()
        merge_rumours(
            known, [Rumour("me", "zone-0", *ME, 3, Liveness.SUSPECT, 0)], 1_000
        )
        assert known.refutation == 4

    def test_suspicion_of_a_former_incarnation_is_not_refuted(self) -> None:
        known = membership()
        former = ProcessRef(ME.address, "old")
        merge_rumours(
            known, [Rumour("me", "zone-0", *former, 3, Liveness.GONE, 0)], 1_000
        )
        assert known.refutation == 0

    def test_refutation_overrides_the_suspicion(self) -> None:
        known = membership()
        record_heard(known, "b", "zone-1", OTHER, 0)
        suspected = Rumour("b", "zone-1", *OTHER, 0, Liveness.SUSPECT, 0)
        merge_rumours(known, [suspected], 1_000)
        assert known.by_address[OTHER.address].life is Liveness.SUSPECT
        refuted = suspected._replace(refutation=1, life=Liveness.ALIVE)
        merge_rumours(known, [refuted], 1_500)
        merge_rumours(known, [suspected], 1_600)
        assert known.by_address[OTHER.address].life is Liveness.ALIVE

    def test_suspicion_older_than_the_last_message_is_ignored(self) -> None:
        known = membership()
        record_heard(known, "b", "zone-1", OTHER, 5_000)
        old = Rumour("b", "zone-1", *OTHER, 0, Liveness.GONE, 3_000)
        merge_rumours(known, [old], 6_000)
        assert known.by_address[OTHER.address].life is Liveness.ALIVE


class TestSuspicion:
    def test_one_missed_probe_is_no_suspicion(self) -> None:
        known = membership()
        record_heard(known, "b", "zone-1", OTHER, 0)
        record_miss(known, OTHER.address, 1_000)
        assert known.by_address[OTHER.address].life is Liveness.ALIVE
        record_miss(known, OTHER.address, 2_000)
        assert known.by_address[OTHER.address].life is Liveness.SUSPECT

    def test_gone_only_after_another_process_was_heard(self) -> None:
        known = membership()
        record_heard(known, "b", "zone-1", OTHER, 0)
        for now_ms in (1_000, 2_000):
            record_miss(known, OTHER.address, now_ms)
        for now_ms in range(3_000, 20_000, 1_000):
            expire_suspicions(known, 1_000, SUSPECT_MS, now_ms)
        assert known.by_address[OTHER.address].life is Liveness.SUSPECT
        record_heard(known, "c", "zone-1", THIRD, 20_500)
        expire_suspicions(known, 1_000, SUSPECT_MS, 21_000)
        assert known.by_address[OTHER.address].life is Liveness.GONE

    def test_is_not_settled_before_anyone_was_heard(self) -> None:
        known = membership()
        assert not is_settled(known)
        record_heard(known, "b", "zone-1", OTHER, 0)
        assert is_settled(known)

    def test_no_probe_without_known_processes(self) -> None:
        assert next_probe(membership(), Simulation(0, 1, SEED).random) is None
