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
from tests.core.entry_world import World, answers

SLOW_START_MS = 60_000
NAMES = ("encoder-1", "encoder-2")


def report(server: str, *, leaving: bool, age_ms: int = 0) -> LoadReportArrived:
    return LoadReportArrived(LoadReport(server, 0, 0, 8, age_ms, leaving))


def listed(*leaving: str, age_ms: int = 0) -> ServersListed:
    return ServersListed(
        tuple(ListedServer(name, name in leaving) for name in NAMES), age_ms
    )


def servers_used(world: World, requests: int = 20) -> set[str]:
    """Return the names of the encoders that ``requests`` requests are sent to."""
    used: set[str] = set()
    first = len(world.state.requests)
    for number in range(first, first + requests):
        actions = world.send("draft", request_id=f"r{number}", waiter=f"w{number}")
        used |= {
            action.server.name for action in actions if isinstance(action, StartAttempt)
        }
    return used


class TestLeaving:
    def test_a_lagging_list_does_not_bring_back_a_server_that_reported_leaving(
        self,
    ) -> None:
        world = World()
        world.feed(report("encoder-1", leaving=True))
        for _ in range(30):
            world.advance(1_000)
            world.feed(listed())
        assert servers_used(world) == {"encoder-2"}

    def test_a_list_that_shows_it_live_beyond_the_lag_brings_it_back(self) -> None:
        world = World()
        world.feed(report("encoder-1", leaving=True))
        world.advance(LIST_LAG_MS + 1)
        world.feed(listed())
        world.advance(SLOW_START_MS)
        assert servers_used(world) == {"encoder-1", "encoder-2"}

    def test_its_own_newer_report_brings_it_back_at_once(self) -> None:
        world = World()
        world.feed(report("encoder-1", leaving=True))
        world.advance(1_000)
        world.feed(report("encoder-1", leaving=False, age_ms=100))
        world.advance(SLOW_START_MS)
        assert servers_used(world) == {"encoder-1", "encoder-2"}

    def test_its_own_older_report_does_not_bring_it_back(self) -> None:
        world = World()
        world.feed(report("encoder-1", leaving=True))
        world.advance(1_000)
        world.feed(report("encoder-1", leaving=False, age_ms=1_001))
        assert servers_used(world) == {"encoder-2"}

    def test_its_own_report_does_not_override_the_list(self) -> None:
        world = World()
        world.feed(listed("encoder-1"))
        world.advance(1_000)
        world.feed(report("encoder-1", leaving=False))
        assert servers_used(world) == {"encoder-2"}

    def test_servers_that_left_are_confirmed_when_no_other_is_live(self) -> None:
        world = World()
        for name in NAMES:
            world.feed(report(name, leaving=True))
        world.advance(1_000)
        assert servers_used(world, 1) == set()
        assert world.state.routing.to_confirm.keys() == set(NAMES)
        world.feed(report("encoder-1", leaving=False))
        assert any(isinstance(a, StartAttempt) for a in world.advance(100))


class TestPause:
    def test_nothing_is_sent_to_servers_known_only_from_before_the_pause(self) -> None:
        world = World()
        world.feed(listed())
        world.freeze(10_000)
        world.feed(ProcessPaused())
        assert servers_used(world) == set()
        assert world.state.routing.to_confirm.keys() & set(NAMES)
        world.feed(report("encoder-1", leaving=True))
        world.feed(report("encoder-2", leaving=False))
        assert servers_used(world) == {"encoder-2"}
        assert not answers(world.actions)

    def test_waiting_work_starts_once_a_server_reports(self) -> None:
        world = World()
        world.freeze(10_000)
        world.feed(ProcessPaused())
        assert not any(isinstance(a, StartAttempt) for a in world.send("draft"))
        for name in NAMES:
            world.feed(report(name, leaving=False))
        assert any(isinstance(a, StartAttempt) for a in world.advance(100))

    def test_a_server_without_load_reports_is_used_at_once(self) -> None:
        world = World()
        world.feed(ProcessPaused())
        for name in NAMES:
            world.feed(LoadReportMissing(name))
        assert servers_used(world) == set(NAMES)
