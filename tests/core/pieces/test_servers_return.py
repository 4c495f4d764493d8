"""Test that a stage server that leaves and returns in the same run keeps its state.

Its zone may be evacuated and returned to service within seconds. A planner that took it
for a new server would call it while a call is in progress there, and would not count
the results that it holds.
"""

import pytest

from bramleyturn.core.pieces.call_results import call_ended
from bramleyturn.core.pieces.model import MadePiece
from bramleyturn.core.pieces.pipeline import plan, take_ask
from bramleyturn.core.pieces.planner import Pipeline, Planner, update_servers
from bramleyturn.core.pieces.stage_server import note_report
from tests.core.pieces.burst_load import LIMITS
from tests.core.pieces.stage_simulation import pool_server
from tests.core.pieces.test_handover import POOL, ask

SERVER = pool_server(POOL, 0)


@pytest.fixture
def whole() -> Pipeline:
    """Return a pipeline whose only server has a call in progress and is gone then."""
    made = Pipeline()
    planner = made.planners[POOL] = Planner(POOL, LIMITS[POOL])
    update_servers(planner, [SERVER])
    report(planner, 0)
    take_ask(made, ask("a"), 0)
    assert len(plan(made, 0)[POOL].calls) == 1
    update_servers(planner, [])
    return made


def report(planner: Planner, now_ms: int) -> None:
    """Let the server report that it has all of its space."""
    (state,) = planner.servers.values()
    note_report(state, planner.limits, planner.limits.result_capacity_bytes, now_ms)


def end_call(planner: Planner, now_ms: int) -> None:
    """Let the call in progress end with its results."""
    ((call_id, running),) = planner.calls.items()
    made = [MadePiece(f"h{piece.number}", None) for piece in running.call.pieces]
    call_ended(planner, call_id, made, now_ms)


class TestServersReturn:
    """A server leaves with a call in progress, and is back in the same run."""

    def test_it_gets_no_call_before_the_one_in_progress_ends(
        self, whole: Pipeline
    ) -> None:
        planner = whole.planners[POOL]
        update_servers(planner, [SERVER])
        report(planner, 50)
        take_ask(whole, ask("b"), 50)
        assert plan(whole, 50)[POOL].calls == []
        end_call(planner, 100)
        assert len(plan(whole, 100)[POOL].calls) == 1

    def test_results_of_a_call_that_ended_meanwhile_are_counted(
        self, whole: Pipeline
    ) -> None:
        planner = whole.planners[POOL]
        end_call(planner, 100)
        zones = {zone for _, zone in planner.asks["a.0"].made.values()}
        assert zones <= {SERVER.zone}
        update_servers(planner, [SERVER])
        (state,) = planner.servers.values()
        assert state.results.total_bytes > 0
        assert state.needs_report

    def test_another_run_starts_with_nothing(self, whole: Pipeline) -> None:
        planner = whole.planners[POOL]
        update_servers(planner, [SERVER._replace(started_ms=SERVER.started_ms + 1)])
        (state,) = planner.servers.values()
        assert state.call_id is None
        end_call(planner, 100)
        assert state.results.total_bytes == 0
        assert not planner.left
