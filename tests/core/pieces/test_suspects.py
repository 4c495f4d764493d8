"""Keep asks that were on a server when it crashed away from the others."""

from bramleyturn.core.pieces.call_results import call_failed, fail_asks, isolate_asks
from bramleyturn.core.pieces.model import PieceFailure
from bramleyturn.core.pieces.pipeline import plan, take_ask
from tests.core.pieces.test_handover import POOL, ask, pipeline

REQUESTS = ("r", "s", "t", "u", "v", "w")


class TestSuspect:
    """An ask on a server that crashed, while more asks wait than servers are idle."""

    def test_waiting_asks_share_a_call(self) -> None:
        whole, _ = pipeline()
        for name in REQUESTS:
            take_ask(whole, ask(name, pieces=1), 0)
        calls = plan(whole, 0)[POOL].calls
        assert max(len(call.pieces) for call in calls) > 1

    def test_suspect_shares_no_call(self) -> None:
        whole, planner = pipeline()
        for name in REQUESTS:
            take_ask(whole, ask(name, pieces=1), 0)
        isolate_asks(planner, ["r.0", "unknown"])
        calls = plan(whole, 0)[POOL].calls
        shared = [call for call in calls if len(call.pieces) > 1]
        assert shared
        assert all(piece.attempt_id != "r" for call in shared for piece in call.pieces)

    def test_quarantined_ask_ends_at_once(self) -> None:
        whole, planner = pipeline()
        take_ask(whole, ask("r", pieces=1), 0)
        (call,) = plan(whole, 0)[POOL].calls
        call_failed(planner, call.call_id, False, 100)
        (done,) = fail_asks(planner, ["r.0", "unknown"], 100).done
        assert done.failure is PieceFailure.FAILED
        assert plan(whole, 200)[POOL].calls == []
