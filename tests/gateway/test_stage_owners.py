"""Test that one instance plans the stages, though messages to it are late or lost."""

from collections import Counter
from collections.abc import Iterator
from functools import partial
from typing import Final

import pytest

from bramleyturn.core.fleet.members import HEARTBEAT_INTERVAL_MS
from bramleyturn.core.placement.engine_queues import EngineNeed, EngineOption
from bramleyturn.gateway.peer_links import (
    ACK_TIMEOUT_MS,
    Delivery,
    PeerMessages,
    decode_messages,
    is_repetition,
)
from bramleyturn.gateway.stage_asks import ENGINE_WAIT_MS, RESEND_INTERVAL_MS
from bramleyturn.gateway.stage_messages import EngineAsk
from bramleyturn.gateway.stage_owner import OWNER_TIMEOUT_MS, TICK_INTERVAL_MS
from tests.gateway.stage_fleet import (
    CALL_S,
    LATE_S,
    STEP_S,
    StageFleet,
    running_stages,
)

MEASURED_S: Final = 3.0
# An ask is sent to the owner within this time, at the rate of the tests.
FIRST_ASK_S: Final = 0.05
STALL_S: Final = 0.4
# A heartbeat is heard within its interval, and acted on with the next plan.
HEARD_S: Final = (HEARTBEAT_INTERVAL_MS + TICK_INTERVAL_MS) / 1_000
# Asks come to the next owner when the dead one did not acknowledge them; it does not
# acknowledge them to the next owner either, which plans at intervals.
DEATH_NOTICED_S: Final = (ACK_TIMEOUT_MS + OWNER_TIMEOUT_MS + TICK_INTERVAL_MS) / 1_000


@pytest.fixture(params=[14, 135], ids=["14-instances", "135-instances"])
def fleet(request: pytest.FixtureRequest) -> Iterator[StageFleet]:
    """Return instances that ask for stages all the time."""
    with running_stages(request.param, 64) as running:
        yield running


def run_on(fleet: StageFleet) -> None:
    """Let some time pass, and then the asks end."""
    fleet.run(MEASURED_S)
    fleet.is_asking = False
    fleet.run(1.5)


def assert_all_made_once(fleet: StageFleet) -> None:
    """Check that all asks were served, and nothing was made or called in vain."""
    served = {name for name, (_, done) in fleet.ended.items() if done.failure is None}
    assert served == fleet.asked.keys()
    assert (fleet.made_again(), fleet.refused_calls) == (0, 0)


class TestLateAcknowledgements:
    """Acknowledgements that are late, of instances that all run."""

    def test_late_ones_of_a_hundred_leave_one_planner(self, fleet: StageFleet) -> None:
        fleet.late_share = 0.01
        run_on(fleet)
        assert fleet.planners(0, 1e9) == {fleet.owner().name}
        assert_all_made_once(fleet)

    def test_instance_behind_a_slow_link_moves_no_work(self, fleet: StageFleet) -> None:
        owner, successor = fleet.owner_order()[:2]
        others = {each.name for each in fleet.instances} - {owner, successor}
        fleet.slow = {min(others)}
        run_on(fleet)
        assert fleet.planners(0, 1e9) == {owner}
        assert_all_made_once(fleet)


class TestStalledOwner:
    """The owner's loop stalls for a little longer than it has to acknowledge."""

    def test_owner_plans_alone_once_it_is_heard_again(self, fleet: StageFleet) -> None:
        owner, successor = fleet.owner_order()[:2]
        stalled_until_s = fleet.reactor.seconds() + STALL_S
        fleet.owner().stalled_until_s = stalled_until_s
        run_on(fleet)
        assert fleet.planners(0, 1e9) <= {owner, successor}
        heard_s = stalled_until_s + HEARD_S
        assert fleet.planners(heard_s, 1e9) == {owner}

    def test_owner_is_not_left_for_messages_of_others(self, fleet: StageFleet) -> None:
        owner, successor = fleet.owner_order()[:2]
        fleet.quiet = {successor}
        fleet.run(0.5)
        fleet.owner().stalled_until_s = fleet.reactor.seconds() + STALL_S
        run_on(fleet)
        assert fleet.planners(0, 1e9) == {owner}
        assert_all_made_once(fleet)


class TestDeadOwner:
    """The owner loses power."""

    def test_the_next_one_plans_soon_and_alone(self, fleet: StageFleet) -> None:
        died_s = fleet.reactor.seconds()
        dead = fleet.owner()
        dead.is_dead = True
        fleet.made.clear()
        run_on(fleet)
        successor = fleet.owner()
        called_s = [at_s for at_s, name in fleet.calls if name == successor.name]
        assert fleet.planners(died_s + STALL_S, 1e9) == {successor.name}
        assert called_s[0] - died_s <= DEATH_NOTICED_S + FIRST_ASK_S
        assert fleet.refused_calls == 0

    def test_asks_that_it_had_are_served_by_the_next_one(
        self, fleet: StageFleet
    ) -> None:
        dead = fleet.owner()
        dead.is_dead = True
        run_on(fleet)
        lost = {each for each in fleet.asked if each not in fleet.ended}
        assert lost <= dead_asks(fleet)
        longest_s = max(took_s for took_s, _ in fleet.ended.values())
        assert longest_s <= DEATH_NOTICED_S + RESEND_INTERVAL_MS / 1_000 + 2 * CALL_S


def dead_asks(fleet: StageFleet) -> set[str]:
    """Return the asks of instances that died."""
    return {
        ask_id.partition(".")[0]
        for each in fleet.instances
        if each.is_dead
        for ask_id in each.asks.open
    }


class TestRepetition:
    """A call that reaches its receiver over both connections."""

    def test_repetition_is_recognized(self) -> None:
        known: dict[str, Delivery] = {}
        first = PeerMessages("front-1", [], Delivery("1-1", 4))
        assert not is_repetition(known, first)
        assert is_repetition(known, first)

    def test_call_after_the_next_one_is_a_repetition(self) -> None:
        known: dict[str, Delivery] = {}
        first = PeerMessages("front-1", [], Delivery("1-1", 4))
        assert not is_repetition(known, first)
        assert not is_repetition(known, first._replace(delivery=Delivery("1-1", 6)))
        assert is_repetition(known, first)

    def test_restarted_sender_counts_anew(self) -> None:
        known: dict[str, Delivery] = {}
        first = PeerMessages("front-1", [], Delivery("1-1", 4))
        assert not is_repetition(known, first)
        assert not is_repetition(known, first._replace(delivery=Delivery("2-1", 1)))

    def test_calls_of_earlier_builds_are_no_repetitions(self) -> None:
        known: dict[str, Delivery] = {}
        decoded = decode_messages(b'{"from": "front-1", "messages": []}')
        assert decoded is not None
        assert not is_repetition(known, decoded)
        assert not is_repetition(known, decoded)

    @pytest.mark.parametrize("row", ["4", '"x"', "[1, 1]", '["1-1", true]', '["a"]'])
    def test_malformed_number_is_rejected(self, row: str) -> None:
        text = f'{{"from": "front-1", "messages": [], "delivery": {row}}}'
        assert decode_messages(text.encode()) is None
        assert LATE_S > ACK_TIMEOUT_MS / 1_000


class TestEngines:
    """Requests that need no results of stages, and name the same prompt part."""

    NEED: Final = EngineNeed(
        "part", 220, 60, tuple(EngineOption(f"e{place}", "z") for place in range(4))
    )
    REQUESTS: Final = 12

    def choose(self, fleet: StageFleet, seconds: float) -> dict[str, str]:
        """Ask for an engine at instances in turn; return what they get in time."""
        chosen: dict[str, str] = {}
        live = [each for each in fleet.instances if not each.is_dead]
        for number in range(self.REQUESTS):
            ask = EngineAsk(f"r{number}", self.NEED)
            asked = live[number % len(live)].asks.choose_engine(ask)
            asked.addCallback(partial(chosen.__setitem__, ask.attempt_id))
        fleet.run(seconds)
        return chosen

    def test_get_engines_that_are_done_at_about_the_same_time(
        self, fleet: StageFleet
    ) -> None:
        counts = Counter(self.choose(fleet, ENGINE_WAIT_MS / 1_000).values())
        assert set(counts) == {"e0", "e1", "e2", "e3"}
        assert max(counts.values()) <= self.REQUESTS // 3

    def test_are_not_held_when_the_owner_is_gone(self, fleet: StageFleet) -> None:
        fleet.owner().is_dead = True
        chosen = self.choose(fleet, ENGINE_WAIT_MS / 1_000 + STEP_S)
        assert chosen == {f"r{number}": "" for number in range(self.REQUESTS)}

    def test_one_whose_caller_is_gone_is_forgotten(self, fleet: StageFleet) -> None:
        asks = fleet.instances[0].asks
        asked = asks.choose_engine(EngineAsk("r", self.NEED))
        ended = asked.addErrback(lambda _: "")
        asked.cancel()
        fleet.run(ENGINE_WAIT_MS / 1_000)
        assert ended.called
        assert asks.choosing == {}
