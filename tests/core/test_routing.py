"""Tests of the choice of a backend server."""

from collections import Counter
from random import Random
from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.model import Configuration
from bramleyturn.core.outliers import max_ejected
from bramleyturn.core.prefix_cache import MAX_PREFIXES
from bramleyturn.core.routing import (
    AttemptEnd,
    AttemptVerdict,
    Choice,
    ChoiceRequest,
    LoadReport,
    NoServer,
    NoServerReason,
    RoutingTable,
    apply_servers,
    attempt_ended,
    attempt_started,
    choose_server,
    load_reported,
    routing_table,
    server_back,
    server_leaving,
)
from bramleyturn.core.server_load import estimate_ms
from tests.core.policy_data import LIMITS, configuration, server

REQUEST: Final = ChoiceRequest("drafting", 100, "", frozenset(), False)
SIZE_TOKENS: Final = 100


def zone_servers(count: int, zone: str = "duluth") -> Configuration:
    """Return a configuration of ``count`` servers in one zone."""
    return configuration(*(server(f"{zone}-{number}", zone) for number in range(count)))


def table_with(config: Configuration) -> RoutingTable:
    """Return a table in the zone duluth with the configuration applied."""
    table = routing_table("duluth")
    apply_servers(table, config, 0)
    return table


def choices(
    table: RoutingTable,
    request: ChoiceRequest = REQUEST,
    now_ms: int = 0,
    count: int = 200,
) -> Counter[str]:
    """Return how often each server is chosen, without changing the table."""
    random = Random(7)
    found = [choose_server(table, request, now_ms, random) for _ in range(count)]
    return Counter(item.server.name for item in found if isinstance(item, Choice))


def run(
    table: RoutingTable, name: str, verdict: AttemptVerdict, now_ms: int, took_ms: int
) -> None:
    """Run one attempt that ends at ``now_ms``."""
    attempt_started(table, name, SIZE_TOKENS, "", now_ms - took_ms)
    attempt_ended(table, name, AttemptEnd(verdict, took_ms, SIZE_TOKENS), now_ms)


class TestNoServer:
    def reason(self, table: RoutingTable, request: ChoiceRequest) -> NoServerReason:
        found = choose_server(table, request, 0, Random(1))
        assert isinstance(found, NoServer)
        assert found.retry_after_ms > 0
        return found.reason

    def test_unknown_pool(self) -> None:
        table = routing_table("duluth")
        assert self.reason(table, REQUEST) is NoServerReason.UNKNOWN_POOL

    def test_none_live(self) -> None:
        table = table_with(zone_servers(1))
        server_leaving(table, "duluth-0", 0)
        assert self.reason(table, REQUEST) is NoServerReason.NONE_LIVE

    def test_all_excluded(self) -> None:
        request = REQUEST._replace(excluded=frozenset({"duluth-0"}))
        table = table_with(zone_servers(1))
        assert self.reason(table, request) is NoServerReason.ALL_EXCLUDED

    def test_all_busy(self) -> None:
        table = table_with(zone_servers(1))
        run(table, "duluth-0", AttemptVerdict.REFUSED, 0, 1)
        assert self.reason(table, REQUEST) is NoServerReason.ALL_BUSY


class TestZones:
    def test_own_zone_first(self) -> None:
        table = table_with(configuration(server("a"), server("b", "toledo")))
        assert set(choices(table)) == {"a"}

    def test_other_zone_when_own_is_gone(self) -> None:
        table = table_with(configuration(server("a"), server("b", "toledo")))
        server_leaving(table, "a", 0)
        assert set(choices(table)) == {"b"}

    def test_other_zone_when_own_is_full(self) -> None:
        table = table_with(configuration(server("a"), server("b", "toledo")))
        load_reported(table, LoadReport("a", 8, 4, 8, 0, False), 0)
        load_reported(table, LoadReport("b", 0, 0, 8, 0, False), 0)
        assert set(choices(table)) == {"b"}


class TestLoad:
    def test_own_attempts_count(self) -> None:
        table = table_with(zone_servers(2))
        attempt_started(table, "duluth-0", SIZE_TOKENS, "", 0)
        assert set(choices(table)) == {"duluth-1"}

    def test_large_attempts_weigh_more(self) -> None:
        table = table_with(zone_servers(2))
        attempt_started(table, "duluth-0", 5_000, "", 0)
        attempt_started(table, "duluth-1", 50, "", 0)
        assert set(choices(table)) == {"duluth-1"}

    def test_a_report_counts_the_others(self) -> None:
        table = table_with(zone_servers(2))
        load_reported(table, LoadReport("duluth-0", 6, 0, 8, 0, False), 0)
        assert set(choices(table)) == {"duluth-1"}

    def test_own_attempts_in_a_report_count_once(self) -> None:
        table = table_with(zone_servers(2))
        for _ in range(4):
            attempt_started(table, "duluth-0", SIZE_TOKENS, "", 0)
        load_reported(table, LoadReport("duluth-0", 4, 0, 8, 0, False), 100)
        load_reported(table, LoadReport("duluth-1", 6, 0, 8, 0, False), 100)
        assert set(choices(table, now_ms=100)) == {"duluth-0"}

    def test_attempts_after_a_lagging_report_count_as_well(self) -> None:
        table = table_with(zone_servers(2))
        for now_ms in (500, 600, 700):
            attempt_started(table, "duluth-0", SIZE_TOKENS, "", now_ms)
        load_reported(table, LoadReport("duluth-0", 2, 0, 8, 600, False), 1_000)
        load_reported(table, LoadReport("duluth-1", 4, 0, 8, 600, False), 1_000)
        assert set(choices(table, now_ms=1_000)) == {"duluth-1"}

    def test_a_first_large_attempt_counts_as_one(self) -> None:
        table = table_with(zone_servers(2))
        attempt_started(table, "duluth-0", 5_000, "", 0)
        load_reported(table, LoadReport("duluth-1", 3, 0, 8, 0, False), 0)
        assert set(choices(table)) == {"duluth-0"}

    def test_an_old_report_loses_weight(self) -> None:
        table = table_with(zone_servers(2))
        load_reported(table, LoadReport("duluth-0", 8, 8, 8, 0, False), 0)
        attempt_started(table, "duluth-1", SIZE_TOKENS, "", 0)
        assert set(choices(table)) == {"duluth-1"}
        assert set(choices(table, now_ms=60_000)) == {"duluth-0"}

    def test_a_report_older_than_an_attempt_overloads_no_server(self) -> None:
        table = table_with(zone_servers(4))
        for number in range(4):
            run(table, f"duluth-{number}", AttemptVerdict.OK, 100, 100)
            running = 4 if number else 0
            report = LoadReport(f"duluth-{number}", running, 0, 8, 1_000, False)
            load_reported(table, report, 1_500)
        assert choices(table, now_ms=1_500)["duluth-0"] < 100

    def test_a_report_from_before_another_changes_nothing(self) -> None:
        table = table_with(zone_servers(2))
        load_reported(table, LoadReport("duluth-0", 6, 0, 8, 100, False), 1_000)
        load_reported(table, LoadReport("duluth-0", 0, 0, 8, 500, False), 1_000)
        assert set(choices(table, now_ms=1_000)) == {"duluth-1"}

    def test_a_slow_server_gets_less_work(self) -> None:
        table = table_with(zone_servers(3))
        for now_ms in range(0, 2_000, 100):
            run(table, "duluth-0", AttemptVerdict.OK, now_ms, 1_000)
            run(table, "duluth-1", AttemptVerdict.OK, now_ms, 100)
            run(table, "duluth-2", AttemptVerdict.OK, now_ms, 100)
        assert "duluth-0" not in choices(table, now_ms=2_000)

    @settings(derandomize=True, max_examples=30)
    @given(seed=st.integers(0, 2**32), count=st.integers(4, 40))
    def test_spreads_equal_work(self, seed: int, count: int) -> None:
        table = table_with(zone_servers(count))
        random = Random(seed)
        for _ in range(4 * count):
            found = choose_server(table, REQUEST, 0, random)
            assert isinstance(found, Choice)
            attempt_started(table, found.server.name, SIZE_TOKENS, "", 0)
        in_flight = [state.load.in_flight for state in table.servers.values()]
        assert sum(in_flight) == 4 * count
        assert max(in_flight) <= 8


class TestCost:
    @pytest.mark.parametrize("prefix", ["", "unit-3"])
    @pytest.mark.parametrize("count", [8, 26, 1_300])
    def test_rates_as_few_servers_of_many(
        self, count: int, prefix: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rated = 0

        def counted(*arguments: Any) -> tuple[float, float]:
            nonlocal rated
            rated += 1
            return estimate_ms(*arguments)

        monkeypatch.setattr("bramleyturn.core.routing.estimate_ms", counted)
        request = REQUEST._replace(prefix=prefix)
        choices(table_with(zone_servers(count)), request, count=100)
        assert 200 <= rated <= 400


class TestPrefixes:
    WARM: Final = REQUEST._replace(prefix="unit-3")

    def test_prefers_the_warm_server(self) -> None:
        table = table_with(zone_servers(26))
        attempt_started(table, "duluth-9", SIZE_TOKENS, "unit-3", 0)
        found = choose_server(table, self.WARM, 0, Random(1))
        end = AttemptEnd(AttemptVerdict.OK, 100, SIZE_TOKENS)
        attempt_ended(table, "duluth-9", end, 100)
        assert set(choices(table, self.WARM, now_ms=100)) == {"duluth-9"}
        assert isinstance(found, Choice)

    def test_avoids_a_loaded_warm_server(self) -> None:
        table = table_with(zone_servers(26))
        for _ in range(8):
            attempt_started(table, "duluth-9", SIZE_TOKENS, "unit-3", 0)
        assert "duluth-9" not in choices(table, self.WARM)

    def test_processes_agree_on_a_first_server(self) -> None:
        homes = {
            max(
                choices(table_with(zone_servers(26)), self.WARM).items(),
                key=lambda n: n[1],
            )[0]
            for _ in range(3)
        }
        assert len(homes) == 1

    def test_memory_is_bounded(self) -> None:
        table = table_with(zone_servers(4))
        for number in range(MAX_PREFIXES + 50):
            attempt_started(table, "duluth-0", SIZE_TOKENS, f"prefix-{number}", 0)
        assert len(table.prefixes.servers) == MAX_PREFIXES


class TestLeaving:
    def test_gets_no_new_work(self) -> None:
        table = table_with(zone_servers(4))
        server_leaving(table, "duluth-2", 100)
        assert "duluth-2" not in choices(table, now_ms=100)

    def test_own_report_of_leaving(self) -> None:
        table = table_with(zone_servers(4))
        load_reported(table, LoadReport("duluth-2", 0, 0, 8, 0, True), 100)
        assert "duluth-2" not in choices(table, now_ms=100)

    def test_a_warm_prefix_does_not_bring_it_back(self) -> None:
        table = table_with(zone_servers(8))
        attempt_started(table, "duluth-2", SIZE_TOKENS, "unit-3", 0)
        server_leaving(table, "duluth-2", 100)
        request = REQUEST._replace(prefix="unit-3")
        assert "duluth-2" not in choices(table, request, now_ms=100)

    @pytest.mark.parametrize(("shown_ms", "back"), [(100, False), (101, True)])
    def test_back_only_by_a_later_list(self, shown_ms: int, back: bool) -> None:
        table = table_with(zone_servers(1))
        server_leaving(table, "duluth-0", 100)
        server_back(table, "duluth-0", shown_ms, 500)
        assert bool(choices(table, now_ms=500)) is back

    def test_the_same_configuration_does_not_bring_it_back(self) -> None:
        table = table_with(zone_servers(1))
        server_leaving(table, "duluth-0", 100)
        apply_servers(table, zone_servers(1), 200)
        assert not choices(table, now_ms=200)

    def test_a_changed_server_is_back(self) -> None:
        table = table_with(zone_servers(1))
        server_leaving(table, "duluth-0", 100)
        changed = configuration(server("duluth-0", address="10.0.0.2:1"))
        apply_servers(table, changed, 200)
        assert set(choices(table, now_ms=200)) == {"duluth-0"}

    def test_a_removed_server_is_gone(self) -> None:
        table = table_with(zone_servers(2))
        attempt_started(table, "duluth-1", SIZE_TOKENS, "", 0)
        apply_servers(table, zone_servers(1), 100)
        end = AttemptEnd(AttemptVerdict.OK, 100, SIZE_TOKENS)
        attempt_ended(table, "duluth-1", end, 200)
        assert set(choices(table, now_ms=200)) == {"duluth-0"}


class TestEjection:
    def fail(self, table: RoutingTable, name: str, now_ms: int = 0) -> None:
        for _ in range(LIMITS.ejection_failures):
            run(table, name, AttemptVerdict.FAILED, now_ms, 1)

    def test_failing_server_is_ejected_for_a_time(self) -> None:
        table = table_with(zone_servers(4))
        self.fail(table, "duluth-0")
        assert "duluth-0" not in choices(table, now_ms=LIMITS.ejection_ms - 1)
        choices(table, now_ms=LIMITS.ejection_ms)
        later_ms = LIMITS.ejection_ms + LIMITS.slow_start_ms
        assert "duluth-0" in choices(table, now_ms=later_ms)

    @pytest.mark.parametrize(
        "verdict", [AttemptVerdict.REFUSED, AttemptVerdict.CANCELLED]
    )
    def test_refusals_and_cancellations_eject_nothing(
        self, verdict: AttemptVerdict
    ) -> None:
        table = table_with(zone_servers(4))
        for _ in range(10):
            run(table, "duluth-0", verdict, 0, 1)
        assert table.pools["drafting"].ejected == 0

    def test_a_success_resets_the_count(self) -> None:
        table = table_with(zone_servers(4))
        for _ in range(10):
            run(table, "duluth-0", AttemptVerdict.FAILED, 0, 1)
            run(table, "duluth-0", AttemptVerdict.OK, 0, 1)
        assert table.pools["drafting"].ejected == 0

    @settings(derandomize=True, max_examples=30)
    @given(count=st.integers(1, 30), percent=st.integers(0, 100))
    def test_the_share_is_capped(self, count: int, percent: int) -> None:
        limits = LIMITS._replace(ejection_max_percent=percent)
        names = [f"s{number}" for number in range(count)]
        table = table_with(configuration(*map(server, names), limits=limits))
        for name in names:
            self.fail(table, name)
        assert table.pools["drafting"].ejected == max_ejected(limits, count)
        assert choices(table)

    def test_a_repeated_ejection_lasts_longer(self) -> None:
        table = table_with(zone_servers(4))
        self.fail(table, "duluth-0")
        back_ms = LIMITS.ejection_ms
        choices(table, now_ms=back_ms)
        run(table, "duluth-0", AttemptVerdict.LOST, back_ms, 1)
        later_ms = 2 * LIMITS.ejection_ms + LIMITS.slow_start_ms // 2
        assert table.servers["duluth-0"].outlier.ejected_until_ms == 3 * back_ms
        assert "duluth-0" not in choices(table, now_ms=min(later_ms, 3 * back_ms - 1))


class TestSlowStart:
    def test_a_fresh_server_ramps_up(self) -> None:
        table = table_with(zone_servers(2))
        apply_servers(table, zone_servers(3), 1_000)
        for name in ("duluth-0", "duluth-1"):
            attempt_started(table, name, SIZE_TOKENS, "", 1_000)
        assert "duluth-2" not in choices(table, now_ms=1_000)
        later_ms = 1_000 + LIMITS.slow_start_ms
        assert set(choices(table, now_ms=later_ms)) == {"duluth-2"}

    def test_a_first_configuration_does_not(self) -> None:
        table = table_with(zone_servers(2))
        assert len(choices(table)) >= 1
        assert table.servers["duluth-0"].outlier.fresh_since_ms is None


class TestAlone:
    ALONE: Final = REQUEST._replace(alone=True)

    def test_chooses_a_server_with_nothing_in_flight(self) -> None:
        table = table_with(zone_servers(5))
        for number in range(4):
            attempt_started(table, f"duluth-{number}", SIZE_TOKENS, "", 0)
        assert set(choices(table, self.ALONE)) == {"duluth-4"}

    def test_none_idle(self) -> None:
        table = table_with(zone_servers(1))
        attempt_started(table, "duluth-0", SIZE_TOKENS, "", 0)
        found = choose_server(table, self.ALONE, 0, Random(1))
        assert isinstance(found, NoServer)
        assert found.reason is NoServerReason.NONE_IDLE

    def test_reserves_the_server(self) -> None:
        table = table_with(zone_servers(2))
        attempt_started(table, "duluth-0", SIZE_TOKENS, "", 0, alone=True)
        attempt_started(table, "duluth-1", SIZE_TOKENS, "", 0)
        assert set(choices(table)) == {"duluth-1"}
        end = AttemptEnd(AttemptVerdict.LOST, 10, SIZE_TOKENS)
        attempt_ended(table, "duluth-0", end, 10)
        assert set(choices(table, now_ms=10)) == {"duluth-0"}


class TestExclusion:
    @settings(derandomize=True, max_examples=40)
    @given(data=st.data(), count=st.integers(2, 30))
    def test_finds_any_server_that_is_not_excluded(
        self, data: st.DataObject, count: int
    ) -> None:
        left = data.draw(st.integers(0, count - 1))
        names = {f"duluth-{number}" for number in range(count)}
        excluded = frozenset(names - {f"duluth-{left}"})
        table = table_with(zone_servers(count))
        request = REQUEST._replace(excluded=excluded, prefix="unit-3")
        assert set(choices(table, request, count=5)) == {f"duluth-{left}"}
