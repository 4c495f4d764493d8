"""Decide which runs of servers are cold."""

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.coldstart.cold_runs import (
    MAX_COLD_MS,
    MAX_RUNS,
    ColdRule,
    ColdRuns,
    cold_until_ms,
    forget_unnamed,
    note_ended,
    note_entry,
    note_remaining,
)

RULE = ColdRule(3_000, 5.9, 13.85)


def server(started_ms: int, left_ms: int = 0, name: str = "s1") -> BackendServer:
    """Return a registered server."""
    return BackendServer(
        name, "p", "10.0.0.1", 80, "north", "1", 6, False, left_ms, started_ms
    )


def busy_runs() -> ColdRuns:
    """Return the runs of an instance that has requests, and knows a warm server."""
    runs = ColdRuns()
    note_entry(runs, server(1), True, 0)
    runs.has_traffic = True
    return runs


def until(runs: ColdRuns, each: BackendServer, returned_ms: int | None = None) -> int:
    """Return until when a server is cold, 0 if it never was."""
    return max(0, cold_until_ms(runs, each, RULE, returned_ms))


class TestColdRuns:
    """When a run of a server counts as cold."""

    def test_new_run_or_new_server_is_cold_whatever_its_entry_says(self) -> None:
        """Entries of servers that start during traffic may say 0."""
        runs = busy_runs()
        for each in (server(2), server(1, name="s2")):
            assert note_entry(runs, each, False, 1_000)
            assert until(runs, each) == 4_000
        assert until(runs, server(1)) == 0

    def test_start_of_the_whole_system_has_no_cold_servers(self) -> None:
        """Pools would get a few requests a second just after they start."""
        runs = ColdRuns()
        note_entry(runs, server(1), True, 1_000)
        note_entry(runs, server(2, name="s2"), False, 1_000)
        assert until(runs, server(1)) == until(runs, server(2, name="s2")) == 0

    def test_known_run_that_registers_again_stays_warm(self) -> None:
        """All servers would be cold after an outage of the store."""
        runs = busy_runs()
        assert not note_entry(runs, server(1), False, 9_000)
        assert until(runs, server(1)) == 0

    def test_entry_says_how_long_at_the_start_too(self) -> None:
        """An instance that starts meanwhile would send to cold servers."""
        runs = ColdRuns()
        note_entry(runs, server(1, 2_500), True, 1_000)
        assert until(runs, server(1)) == 3_500

    def test_answer_makes_a_run_cold_and_never_ends_it_early(self) -> None:
        """Answers pass each other on the way."""
        runs = busy_runs()
        assert note_remaining(runs, "s1@1", 2_000, 1_000)
        assert not note_remaining(runs, "s1@1", 500, 1_100)
        assert not note_remaining(runs, "s1@1", 0, 1_200)
        assert until(runs, server(1)) == 3_000

    def test_absurd_times_are_bounded(self) -> None:
        """A wrong header must not keep a server from requests for days."""
        runs = busy_runs()
        note_remaining(runs, "s1@1", 10**9, 0)
        assert until(runs, server(1)) == MAX_COLD_MS

    def test_server_of_a_returned_zone_is_cold(self) -> None:
        """It had no requests for the whole evacuation."""
        assert until(busy_runs(), server(1), 5_000) == 8_000

    def test_address_of_a_crashed_run_is_cold(self) -> None:
        """The next run may listen there before its entry is known."""
        runs = busy_runs()
        note_ended(runs, "s1@1", 2_000)
        assert until(runs, server(1)) == 5_000

    def test_unnamed_run_that_is_registered_anew_is_cold(self) -> None:
        """Without a start time only the removal of the entry tells runs apart."""
        runs = busy_runs()
        note_entry(runs, server(0, name="s3"), True, 0)
        forget_unnamed(runs, "s3")
        assert note_entry(runs, server(0, name="s3"), False, 1_000)

    def test_memory_is_bounded(self) -> None:
        """A server that restarts for days must not fill the memory."""
        runs = busy_runs()
        for started_ms in range(2, 2 * MAX_RUNS):
            note_entry(runs, server(started_ms), False, 0)
            # One that is written again is kept: it would count as new, and cold.
            assert not note_entry(runs, server(1), False, 0)
        assert len(runs.by_run) == MAX_RUNS
