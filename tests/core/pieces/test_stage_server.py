"""Test the use of reports of free space, and servers that do not answer."""

from bramleyturn.core.catalog.model import BackendServer, BatchLimits
from bramleyturn.core.pieces.held_results import add_result, remove_result
from bramleyturn.core.pieces.stage_server import (
    SLOW_MS,
    StageServer,
    free_bytes,
    is_idle,
    note_pace,
    note_report,
    note_unanswered,
    try_slow_server,
    wants_report,
)

LIMITS = BatchLimits(1, 2, 4, 150.0, 32.0, 1_000, 4_000)


def server() -> StageServer:
    """Return the state of a new server."""
    backend = BackendServer("s", "p", "10.0.0.1", 80, "z", "v", 1, False, 0, 0)
    return StageServer(backend)


class TestReports:
    """Space that results of another planner take."""

    def test_first_report_counts_results_of_another_planner(self) -> None:
        state = server()
        note_report(state, LIMITS, 400, 100)
        assert free_bytes(state, LIMITS, 100) == 400
        assert free_bytes(state, LIMITS, 100 + LIMITS.result_ttl_ms) == 1_000

    def test_own_results_are_not_foreign(self) -> None:
        state = server()
        add_result(state.results, "h", 600, 4_000)
        note_report(state, LIMITS, 400, 100)
        assert free_bytes(state, LIMITS, 100) == 400
        remove_result(state.results, "h")
        assert free_bytes(state, LIMITS, 200) == 1_000

    def test_outdated_report_of_own_results_takes_no_space(self) -> None:
        state = server()
        note_report(state, LIMITS, 1_000, 100)
        add_result(state.results, "h", 600, 4_000)
        remove_result(state.results, "h")
        note_report(state, LIMITS, 400, 300)
        assert free_bytes(state, LIMITS, 300) == 1_000


class TestSuspicion:
    """Servers whose calls got no answer."""

    def test_no_call_is_sent_before_a_report(self) -> None:
        state = server()
        note_unanswered(state, 200.0, 700)
        assert not is_idle(state, 10_000)
        assert wants_report(state, 10_000)
        note_report(state, LIMITS, 1_000, 10_000)
        assert is_idle(state, 10_000)

    def test_pace_grows_with_each_unanswered_call(self) -> None:
        state = server()
        note_unanswered(state, 200.0, 700)
        assert state.pace > 3.5

    def test_one_lost_answer_does_not_make_a_server_slow(self) -> None:
        state = server()
        note_unanswered(state, 200.0, 700)
        note_report(state, LIMITS, 1_000, 720)
        assert state.pace == 1.0

    def test_server_that_answers_no_call_is_slow_for_a_while(self) -> None:
        state = server()
        for at_ms in (720, 1_500):
            note_unanswered(state, 200.0, 700)
            note_report(state, LIMITS, 1_000, at_ms)
        try_slow_server(state, 1_500 + SLOW_MS - 1)
        assert state.pace > 3.5
        try_slow_server(state, 1_500 + SLOW_MS)
        assert state.pace == 1.0
        note_unanswered(state, 200.0, 700)
        note_report(state, LIMITS, 1_000, 7_000)
        assert state.pace > 3.5

    def test_answered_call_shows_how_slow_a_server_is(self) -> None:
        state = server()
        for at_ms in (720, 1_500):
            note_unanswered(state, 200.0, 700)
            note_report(state, LIMITS, 1_000, at_ms)
        note_pace(state, 200.0, 800)
        assert state.pace == 4.0
        note_pace(state, 200.0, 200)
        assert 3.0 < state.pace < 3.5
