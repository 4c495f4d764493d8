"""Replay bursts whose results fill the servers, while these have time left.

Load pattern: results of some megabytes, of which a server holds about a dozen. The
engines that read them work for half a second, and hold them only until they have
fetched them.
"""

from typing import Final

import pytest

from bramleyturn.core.catalog.model import BatchLimits
from bramleyturn.core.pieces.call_results import call_ended, call_failed, take_moved
from bramleyturn.core.pieces.handover import hand_over, take_over
from bramleyturn.core.pieces.held_results import add_result
from bramleyturn.core.pieces.model import MadePiece, PieceFailure, StageAsk
from bramleyturn.core.pieces.pipeline import plan, take_ask
from bramleyturn.core.pieces.planner import (
    MovedPiece,
    Outcome,
    Pipeline,
    Planner,
    update_servers,
)
from bramleyturn.core.pieces.short_space import (
    FETCH_MS,
    drop_freed,
    is_short,
    release_fetched,
)
from bramleyturn.gateway.stage_messages import decode_handover, encode_handover
from tests.core.pieces.stage_simulation import (
    Arrival,
    RequestKind,
    StageNeed,
    StageSimulation,
    pool_server,
)

SERVERS: Final = 7
LIBRARY: Final = BatchLimits(1, 2, 7, 150.0, 18.0, 37_600_000, 4_000)
UNIT: Final = RequestKind(
    "unit", (StageNeed("library", 2, 3_000_000),), 1_330, 12_000, 1, 3.1, 600
)
LAST_MS: Final = 12_000
END_MS: Final = 26_000
# The servers have time for 160 results a second in full calls. They have space for 84,
# each for the 276 ms of its call and until it is fetched or its engine is done.
RESULTS_PER_S: Final = 120


class TestBurst:
    """More results than there is space for while engines work with them."""

    def test_requests_are_in_time(self) -> None:
        interval_ms = 1_000 * 2 / RESULTS_PER_S
        count = int(LAST_MS / interval_ms)
        arrivals = [Arrival(int(n * interval_ms), UNIT) for n in range(count)]
        simulation = StageSimulation({"library": LIBRARY}, SERVERS, plan)
        simulation.simulate(arrivals, END_MS)
        assert simulation.worth_in_time() > 0.95


def ask(name: str, is_only_reader: bool = True) -> StageAsk:
    """Return an ask for one piece, which reads the result ``first/NAME``."""
    return StageAsk(
        ask_id=name,
        pool="second",
        attempt_id=name,
        stage=1,
        piece_count=1,
        key="",
        inputs=(f"first/{name}",),
        result_bytes=1_000,
        due_ms=5_000,
        deadline_ms=9_000,
        urgency=0,
        near_zone="",
        has_started=True,
        later=(),
        is_only_reader=is_only_reader,
    )


class TestInputs:
    """Results that another stage reads."""

    @pytest.fixture
    def pipeline(self) -> Pipeline:
        """Return two pools, of which the first has space for two more results."""
        pipeline = Pipeline()
        for pool in ("first", "second"):
            planner = Planner(pool, BatchLimits(1, 2, 4, 150.0, 18.0, 10_000, 4_000))
            update_servers(planner, [pool_server(pool, 0)])
            (server,) = planner.servers.values()
            server.is_suspected = False
            pipeline.planners[pool] = planner
        (server,) = pipeline.planners["first"].servers.values()
        for place in range(8):
            add_result(server.results, f"first/a{place}", 1_000, 4_000)
        return pipeline

    def start(self, pipeline: Pipeline, asked: StageAsk) -> int:
        """Start the call of an ask; return its id."""
        take_ask(pipeline, asked, 0)
        (call,) = plan(pipeline, 0)["second"].calls
        return call.call_id

    def released(self, pipeline: Pipeline, now_ms: int) -> list[str]:
        """Return the results of the first pool that are released."""
        releases = release_fetched(pipeline, now_ms).get("first", [])
        return [handle for each in releases for handle in each.handles]

    def test_are_released_once_fetched(self, pipeline: Pipeline) -> None:
        self.start(pipeline, ask("a0"))
        assert self.released(pipeline, FETCH_MS - 1) == []
        assert self.released(pipeline, FETCH_MS) == ["first/a0"]
        assert self.released(pipeline, FETCH_MS) == []

    def test_are_kept_while_there_is_space(self, pipeline: Pipeline) -> None:
        self.start(pipeline, ask("a0"))
        first = pipeline.planners["first"]
        first.limits = first.limits._replace(result_capacity_bytes=100_000)
        assert not is_short(first, FETCH_MS)
        assert self.released(pipeline, FETCH_MS) == []

    def test_are_kept_for_other_readers(self, pipeline: Pipeline) -> None:
        self.start(pipeline, ask("a0", is_only_reader=False))
        assert self.released(pipeline, FETCH_MS) == []

    def test_are_not_released_twice(self, pipeline: Pipeline) -> None:
        self.start(pipeline, ask("a0"))
        self.released(pipeline, FETCH_MS)
        first = pipeline.planners["first"]
        assert drop_freed(first, ["first/a0", "first/a1"], FETCH_MS) == ["first/a1"]
        assert first.freed == {}

    def test_piece_whose_inputs_are_gone_is_not_sent_again(
        self, pipeline: Pipeline
    ) -> None:
        call_id = self.start(pipeline, ask("a0"))
        self.released(pipeline, FETCH_MS)
        call_failed(pipeline.planners["second"], call_id, False, FETCH_MS)
        assert_ended_without_inputs(plan(pipeline, FETCH_MS))

    @pytest.mark.parametrize("failure", [PieceFailure.NO_ROOM, PieceFailure.FAILED])
    def test_piece_that_failed_without_its_inputs_is_not_sent_again(
        self, pipeline: Pipeline, failure: PieceFailure
    ) -> None:
        call_id = self.start(pipeline, ask("a0"))
        self.released(pipeline, FETCH_MS)
        made = [MadePiece("", failure)]
        call_ended(pipeline.planners["second"], call_id, made, FETCH_MS)
        assert_ended_without_inputs(plan(pipeline, FETCH_MS))

    def test_next_planner_does_not_send_it_again(self, pipeline: Pipeline) -> None:
        self.start(pipeline, ask("a0"))
        self.released(pipeline, FETCH_MS)
        _, handover = hand_over(pipeline, {"a0": "origin"}, FETCH_MS)
        decoded = decode_handover(encode_handover(handover, FETCH_MS), FETCH_MS)
        assert decoded is not None
        following = Pipeline()
        planner = following.planners["second"] = Planner(
            "second", pipeline.planners["second"].limits
        )
        update_servers(planner, [pool_server("second", 0)])
        take_over(planner, decoded, FETCH_MS)
        take_moved(planner, MovedPiece("second", "a0", 0, "", "", ""), FETCH_MS)
        assert_ended_without_inputs(plan(following, FETCH_MS))


def assert_ended_without_inputs(outcomes: dict[str, Outcome]) -> None:
    """Assert that the only ask of the second pool ended because its inputs are gone."""
    assert outcomes["second"].calls == []
    (done,) = outcomes["second"].done
    assert done.failure is PieceFailure.INPUT_GONE
