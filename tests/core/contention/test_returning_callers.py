"""Test that callers that come back are preferred over new late ones."""

from bramleyturn.core.pieces.pipeline import plan, take_ask
from bramleyturn.core.pieces.refused_asks import note_refusal
from tests.core.pieces.test_handover import POOL, ask, pipeline


class TestReturn:
    """A refused caller comes back beside new requests that can only be late."""

    def test_goes_before_new_late_requests_that_were_due_earlier(self) -> None:
        whole, _ = pipeline()
        back = ask("back")._replace(due_ms=900, deadline_ms=20_000, fingerprint="f")
        note_refusal(whole.refused, back._replace(attempt_id="first"), 100)
        for place in range(3):
            new = ask(f"new{place}")._replace(due_ms=500, deadline_ms=20_000)
            take_ask(whole, new, 3_000)
        take_ask(whole, back, 3_000)
        calls = plan(whole, 3_000)[POOL].calls
        assert "back" in {piece.attempt_id for call in calls for piece in call.pieces}
