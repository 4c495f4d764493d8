"""Test the choice of engines for the requests of all instances."""

from random import Random

from bramleyturn.core.catalog.prompt import PromptPart
from bramleyturn.core.placement.choice import engine_need
from bramleyturn.core.placement.engine_queues import (
    MAX_ENGINES,
    MAX_LATE_MS,
    MAX_READ_MS,
    PART_KEPT_MS,
    REQUEST_MS,
    EngineNeed,
    EngineOption,
    EngineQueues,
    assign_engine,
    note_late_engine,
    take_back_engine,
)
from tests.core.pieces.stage_simulation import pool_server

FIRST = EngineOption("e0", "north")
SECOND = EngineOption("e1", "south")
NEED = EngineNeed("part", 220, 60, (FIRST, SECOND))


class TestAssignment:
    """Requests with a shared part, of two engines that may read it."""

    def test_idle_engines_keep_to_their_part(self) -> None:
        queues = EngineQueues()
        chosen = {
            assign_engine(queues, f"r{number}", NEED, number * 1_000)
            for number in range(20)
        }
        assert chosen == {FIRST}

    def test_requests_at_once_go_to_another_engine_when_it_is_done_sooner(self) -> None:
        queues = EngineQueues()
        chosen = [assign_engine(queues, f"r{number}", NEED, 0) for number in range(12)]
        assert chosen[:3] == [FIRST, SECOND, FIRST]
        assert 5 <= chosen.count(FIRST) <= 7

    def test_part_is_expected_to_be_gone_after_a_while(self) -> None:
        queues = EngineQueues()
        assign_engine(queues, "r0", NEED, 0)
        kept_from_ms = queues.busy_until_ms["e0"]
        assign_engine(queues, "r1", NEED, PART_KEPT_MS)
        assert queues.busy_until_ms["e0"] - PART_KEPT_MS < kept_from_ms
        later_ms = 2 * PART_KEPT_MS + 1
        assign_engine(queues, "r2", NEED, later_ms)
        assert queues.busy_until_ms["e0"] - later_ms == kept_from_ms

    def test_all_stages_of_a_request_get_one_engine(self) -> None:
        queues = EngineQueues()
        assert assign_engine(queues, "r0", NEED, 0) == FIRST
        assert assign_engine(queues, "r0", NEED, 0) == FIRST
        assert assign_engine(queues, "r1", NEED, 0) == SECOND

    def test_refused_request_takes_no_time(self) -> None:
        queues = EngineQueues()
        assign_engine(queues, "r0", NEED, 0)
        take_back_engine(queues, "r0")
        take_back_engine(queues, "r0")
        assert queues.busy_until_ms == {"e0": 0}

    def test_engines_that_are_gone_are_forgotten(self) -> None:
        queues = EngineQueues()
        for number in range(MAX_ENGINES + 1):
            need = NEED._replace(options=(EngineOption(f"e{number}", "north"),))
            assign_engine(queues, f"r{number}", need, number * 1_000)
        assert len(queues.busy_until_ms) == 1
        take_back_engine(queues, "r0")

    def test_prompt_takes_a_bounded_time_whatever_its_caller_names(self) -> None:
        prompt = (PromptPart("part", 10**12), PromptPart("own", 10**12))
        need = engine_need([pool_server("drafts", 0)], prompt, Random(1))
        assert (need.shared_ms, need.own_ms) == (MAX_READ_MS, MAX_READ_MS)

    def test_request_without_engines_gets_none(self) -> None:
        need = NEED._replace(options=())
        assert assign_engine(EngineQueues(), "r0", need, 0) is None


class TestPaces:
    """Engines whose machines differ in speed."""

    def test_faster_engine_gets_more_of_the_requests(self) -> None:
        """All engines counted as equally fast, so that slow ones had long queues."""
        queues = EngineQueues()
        queues.paces = {"e0": 2.0, "e1": 0.5}
        chosen = [assign_engine(queues, f"r{number}", NEED, 0) for number in range(20)]
        assert chosen.count(SECOND) >= 3 * chosen.count(FIRST)

    def test_engine_of_which_nothing_was_learned_takes_the_usual_time(self) -> None:
        queues = EngineQueues()
        queues.paces = {"e1": 0.5}
        assert assign_engine(queues, "r0", NEED._replace(options=(FIRST,)), 0) == FIRST
        assert queues.busy_until_ms == {"e0": REQUEST_MS + 280}


class TestLateEngines:
    """Reports that first events of an engine were late."""

    def test_late_engine_gets_nothing_until_it_should_have_caught_up(self) -> None:
        queues = EngineQueues()
        note_late_engine(queues, "e0", 700, 0)
        assert assign_engine(queues, "r0", NEED, 0) == SECOND
        assert assign_engine(queues, "r1", NEED, 2_000) == SECOND
        later_ms = 2_000 + PART_KEPT_MS + 1
        assert assign_engine(queues, "r2", NEED, later_ms) == FIRST

    def test_reports_of_many_requests_do_not_add_up(self) -> None:
        queues = EngineQueues()
        for late_ms in (700, 900, 800):
            note_late_engine(queues, "e0", late_ms, 100)
        assert queues.busy_until_ms == {"e0": 1_000}

    def test_report_counts_up_to_a_bound(self) -> None:
        queues = EngineQueues()
        note_late_engine(queues, "e0", 10**9, 0)
        assert queues.busy_until_ms == {"e0": MAX_LATE_MS}
