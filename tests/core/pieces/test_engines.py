"""Test that stages are planned together with the engines of their requests."""

from bramleyturn.core.catalog.model import BatchLimits
from bramleyturn.core.pieces.call_results import call_ended
from bramleyturn.core.pieces.model import MadePiece, PieceFailure, StageAsk
from bramleyturn.core.pieces.pipeline import plan, take_ask
from bramleyturn.core.pieces.planner import Pipeline, Planner, update_servers
from bramleyturn.core.placement.engine_queues import EngineNeed, EngineOption
from tests.core.pieces.stage_simulation import pool_server

LIMITS = BatchLimits(1, 2, 4, 150.0, 18.0, 10_000, 4_000)
OPTIONS = (EngineOption("e0", "zone-0"), EngineOption("e1", "zone-1"))


def pipeline() -> Pipeline:
    """Return a pipeline of one pool, with a server in each zone."""
    made = Pipeline()
    planner = made.planners["books"] = Planner("books", LIMITS)
    update_servers(planner, [pool_server("books", place) for place in range(2)])
    for server in planner.servers.values():
        server.is_suspected = False
    return made


def ask(name: str, due_ms: int = 5_000, deadline_ms: int = 9_000) -> StageAsk:
    """Return an ask of a request with a prompt."""
    return StageAsk(
        ask_id=f"{name}.0.1",
        pool="books",
        attempt_id=name,
        stage=0,
        piece_count=1,
        key="",
        inputs=(),
        result_bytes=3_000,
        due_ms=due_ms,
        deadline_ms=deadline_ms,
        urgency=0,
        near_zone="zone-0",
        has_started=False,
        later=(),
        engine_need=EngineNeed("part", 200, 50, OPTIONS),
    )


class TestEngines:
    """Requests of two instances whose prompts share a part."""

    def test_engine_is_told_with_the_results(self) -> None:
        stages = pipeline()
        for name in ("r0", "r1"):
            take_ask(stages, ask(name), 0)
        engines = {}
        planner = stages.planners["books"]
        for call in plan(stages, 0)["books"].calls:
            made = [MadePiece(piece.attempt_id, None) for piece in call.pieces]
            for done in call_ended(planner, call.call_id, made, 200).done:
                engines[done.ask_id] = done.engine
        assert engines == {"r0.0.1": "e0", "r1.0.1": "e1"}

    def test_results_are_made_in_the_zone_of_the_engine(self) -> None:
        stages = pipeline()
        for name in ("r0", "r1"):
            take_ask(stages, ask(name), 0)
        calls = plan(stages, 0)["books"].calls
        places = {call.pieces[0].attempt_id: call.server_id for call in calls}
        assert places == {"r0": "books-0", "r1": "books-1"}

    def test_engine_that_was_chosen_with_an_earlier_stage_is_kept(self) -> None:
        stages = pipeline()
        take_ask(stages, ask("r0")._replace(engine="e7"), 0)
        (state,) = stages.planners["books"].asks.values()
        assert state.ask.engine == "e7"

    def test_refused_request_takes_no_time_of_an_engine(self) -> None:
        stages = pipeline()
        take_ask(stages, ask("r0", due_ms=10, deadline_ms=10), 0)
        (done,) = plan(stages, 0)["books"].done
        assert done.failure is PieceFailure.LATE
        assert stages.engines.busy_until_ms == {"e0": 0}
