"""Tests of backend servers that leave, come back, or left during a pause."""

from bramleyturn.core.actions import StartAttempt
from bramleyturn.core.events import (
    ListedServer,
    LoadReportArrived,
    LoadReportMissing,
    ProcessPaused,
    ServersListed,
)
from bramleyturn.core.platform_updates import LIST_LAG_MS
from bramleyturn.core.routing import LoadReport
from tests.core.entry_simulation import EntrySimulation, answers

SLOW_START_MS = 60_000
NAMES = ("encoder-1", "encoder-2")


def report(server: str, *, leaving: bool, age_ms: int = 0) -> LoadReportArrived:
    return LoadReportArrived(LoadReport(server, 0, 0, 8, age_ms, leaving))


def listed(*leaving: str, age_ms: int = 0) -> ServersListed:
    return ServersListed(
        tuple(ListedServer(name, name in leaving) for name in NAMES), age_ms
    )


def servers_used(simulation: EntrySimulation, requests: int = 20) -> set[str]:
    """Return the names of the encoders that ``requests`` requests are sent to."""
    used: set[str] = set()
    first = len(simulation.state.requests)
    for number in range(first, first + requests):
        actions = simulation.send("draft", request_id=f"r{number}", waiter=f"w{number}")
        used |= {
            action.server.name for action in actions if isinstance(action, StartAttempt)
        }
    return used


class TestLeaving:
    def test_a_lagging_list_does_not_bring_back_a_server_that_reported_leaving(
        self,
    ) -> None:
        simulation = EntrySimulation()
        simulation.feed(report("encoder-1", leaving=True))
        for _ in range(30):
            simulation.advance(1_000)
            simulation.feed(listed())
        assert servers_used(simulation) == {"encoder-2"}

    def test_a_list_that_shows_it_live_beyond_the_lag_brings_it_back(self) -> None:
        simulation = EntrySimulation()
        simulation.feed(report("encoder-1", leaving=True))
        simulation.advance(LIST_LAG_MS + 1)
        simulation.feed(listed())
        simulation.advance(SLOW_START_MS)
        assert servers_used(simulation) == {"encoder-1", "encoder-2"}

    def test_its_own_newer_report_brings_it_back_at_once(self) -> None:
        simulation = EntrySimulation()
        simulation.feed(report("encoder-1", leaving=True))
        simulation.advance(1_000)
        simulation.feed(report("encoder-1", leaving=False, age_ms=100))
        simulation.advance(SLOW_START_MS)
        assert servers_used(simulation) == {"encoder-1", "encoder-2"}

    def test_its_own_older_report_does_not_bring_it_back(self) -> None:
        simulation = EntrySimulation()
        simulation.feed(report("encoder-1", leaving=True))
        simulation.advance(1_000)
        simulation.feed(report("encoder-1", leaving=False, age_ms=1_001))
        assert servers_used(simulation) == {"encoder-2"}

    def test_its_own_report_does_not_override_the_list(self) -> None:
        simulation = EntrySimulation()
        simulation.feed(listed("encoder-1"))
        simulation.advance(1_000)
        simulation.feed(report("encoder-1", leaving=False))
        assert servers_used(simulation) == {"encoder-2"}

    def test_servers_that_left_are_confirmed_when_no_other_is_live(self) -> None:
        simulation = EntrySimulation()
        for name in NAMES:
            simulation.feed(report(name, leaving=True))
        simulation.advance(1_000)
        assert servers_used(simulation, 1) == set()
        assert simulation.state.routing.to_confirm.keys() == set(NAMES)
        simulation.feed(report("encoder-1", leaving=False))
        assert any(isinstance(a, StartAttempt) for a in simulation.advance(100))


class TestPause:
    def test_nothing_is_sent_to_servers_known_only_from_before_the_pause(self) -> None:
        simulation = EntrySimulation()
        simulation.feed(listed())
        simulation.freeze(10_000)
        simulation.feed(ProcessPaused())
        assert servers_used(simulation) == set()
        assert simulation.state.routing.to_confirm.keys() & set(NAMES)
        simulation.feed(report("encoder-1", leaving=True))
        simulation.feed(report("encoder-2", leaving=False))
        assert servers_used(simulation) == {"encoder-2"}
        assert not answers(simulation.actions)

    def test_waiting_work_starts_once_a_server_reports(self) -> None:
        simulation = EntrySimulation()
        simulation.freeze(10_000)
        simulation.feed(ProcessPaused())
        assert not any(isinstance(a, StartAttempt) for a in simulation.send("draft"))
        for name in NAMES:
            simulation.feed(report(name, leaving=False))
        assert any(isinstance(a, StartAttempt) for a in simulation.advance(100))

    def test_a_server_without_load_reports_is_used_at_once(self) -> None:
        simulation = EntrySimulation()
        simulation.feed(ProcessPaused())
        for name in NAMES:
            simulation.feed(LoadReportMissing(name))
        assert servers_used(simulation) == set(NAMES)
