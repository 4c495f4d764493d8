"""Tests of the forecast whether a request can finish in time."""

from bramleyturn.core.forecast import TooBusy, forecast
from bramleyturn.core.routing import (
    AttemptEnd,
    AttemptVerdict,
    LoadReport,
    RoutingTable,
    apply_servers,
    attempt_ended,
    attempt_forecast_ms,
    attempt_started,
    load_reported,
    routing_table,
)
from bramleyturn.core.server_load import MAX_MARGIN
from tests.core.policy_data import configuration, server, stage

GENERATE = stage("generate", pool="drafting", max_output_tokens=100)
SIZE_TOKENS = 100
USUAL_MS = 500


def used_table(*names: str) -> RoutingTable:
    """Return a table in which an attempt usually takes ``USUAL_MS``."""
    table = routing_table("duluth")
    apply_servers(table, configuration(*(server(name) for name in names)), 0)
    for name in names:
        end(table, name, AttemptVerdict.OK, USUAL_MS)
        attempt_started(table, name, SIZE_TOKENS, "", 0)
        end(table, name, AttemptVerdict.CANCELLED, 0)
    return table


def end(
    table: RoutingTable,
    name: str,
    verdict: AttemptVerdict,
    took_ms: int,
    forecast_ms: float = 0.0,
) -> None:
    """Run one attempt that ends at 0."""
    attempt_started(table, name, SIZE_TOKENS, "", 0)
    attempt_ended(
        table, name, AttemptEnd(verdict, took_ms, SIZE_TOKENS, forecast_ms), 0
    )


def report_queue(table: RoutingTable, name: str, queued: int) -> None:
    """Report a full server with ``queued`` requests in its queue."""
    load_reported(table, LoadReport(name, 8, queued, 8, 0, False), 0)


class TestForecast:
    def test_an_idle_fleet_accepts_a_request(self) -> None:
        assert forecast(used_table("a"), [GENERATE], 0, 600, 0) is None

    def test_accepts_a_request_without_load_data(self) -> None:
        table = routing_table("duluth")
        assert forecast(table, [GENERATE], 0, 1, 0) is None

    def test_a_queue_that_outlasts_the_deadline_refuses(self) -> None:
        table = used_table("a")
        report_queue(table, "a", 80)
        found = forecast(table, [GENERATE], 0, 2_000, 0)
        assert isinstance(found, TooBusy)
        assert found.retry_after_ms >= 1_000

    def test_a_queue_that_outlasts_the_timeout_refuses(self) -> None:
        table = used_table("a")
        report_queue(table, "a", 80)
        with_short_timeout = GENERATE._replace(timeout_ms=2_000)
        assert isinstance(forecast(table, [with_short_timeout], 0, 60_000, 0), TooBusy)

    def test_the_least_busy_server_decides(self) -> None:
        table = used_table("a", "b")
        report_queue(table, "a", 80)
        assert forecast(table, [GENERATE], 0, 2_000, 0) is None

    def test_sequential_stages_add_up(self) -> None:
        table = used_table("a")
        again = GENERATE._replace(name="again", after=("generate",))
        assert forecast(table, [GENERATE], 0, 800, 0) is None
        assert isinstance(forecast(table, [GENERATE, again], 0, 800, 0), TooBusy)

    def test_parallel_stages_do_not_add_up(self) -> None:
        beside = GENERATE._replace(name="beside")
        assert forecast(used_table("a"), [GENERATE, beside], 0, 800, 0) is None


class TestMargin:
    def test_grows_with_attempts_that_outlast_their_forecast(self) -> None:
        table = used_table("a")
        for _ in range(5):
            end(table, "a", AttemptVerdict.FAILED, 1_000, 500.0)
        assert isinstance(forecast(table, [GENERATE], 0, 600, 0), TooBusy)

    def test_shrinks_when_forecasts_are_accurate(self) -> None:
        table = used_table("a")
        for _ in range(5):
            end(table, "a", AttemptVerdict.OK, 600, 500.0)
        for _ in range(200):
            end(table, "a", AttemptVerdict.OK, USUAL_MS, 500.0)
        assert forecast(table, [GENERATE], 0, 800, 0) is None

    def test_is_bounded(self) -> None:
        table = used_table("a")
        for _ in range(200):
            end(table, "a", AttemptVerdict.OK, USUAL_MS, 1.0)
        margin = table.pools["drafting"].load.margin
        assert margin <= MAX_MARGIN


class TestUnfinished:
    def test_an_attempt_that_lost_to_its_hedge_shows_a_slow_server(self) -> None:
        table = used_table("a", "b")
        before_ms = attempt_forecast_ms(table, "a", SIZE_TOKENS, 0)
        for _ in range(10):
            end(table, "a", AttemptVerdict.CANCELLED, 4 * USUAL_MS)
        slow_ms = attempt_forecast_ms(table, "a", SIZE_TOKENS, 0)
        usual_ms = attempt_forecast_ms(table, "b", SIZE_TOKENS, 0)
        assert slow_ms > 1.2 * usual_ms >= 1.2 * before_ms

    def test_an_attempt_cancelled_early_shows_nothing(self) -> None:
        table = used_table("a")
        before_ms = attempt_forecast_ms(table, "a", SIZE_TOKENS, 0)
        for _ in range(10):
            end(table, "a", AttemptVerdict.CANCELLED, 1)
        assert attempt_forecast_ms(table, "a", SIZE_TOKENS, 0) == before_ms
