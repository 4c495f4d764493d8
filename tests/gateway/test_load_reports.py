"""Test what instances tell each other of the loads of servers."""

from statistics import fmean
from typing import Any, Final

import orjson
import pytest

from bramleyturn.core.balance.outcomes import Outcome, is_avoided
from bramleyturn.core.balance.state import REPORT_TTL_MS, run_state
from bramleyturn.core.catalog.model import run_name
from bramleyturn.core.catalog.server_registry import register
from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.gateway.balance import note_answer_load, note_outcomes
from bramleyturn.gateway.load_reports import MAX_ROWS, decode_row, merge_loads
from bramleyturn.platform.answers import ServerLoad, read_answer_head
from tests.gateway.test_report_traffic import (
    CONTROL_BYTES_PER_S,
    STEP_S,
    Instance,
    LinkedFleet,
    server_named,
)

SERVERS: Final = [server_named(f"i-{place:010x}") for place in range(34)]
RUN: Final = run_name(SERVERS[0])
SETTLE_S: Final = 2
MEASURED_S: Final = 4
# About the time within which all instances avoid a server that fails.
KNOWN_S: Final = 1.0


def fleet_of(size: int) -> LinkedFleet:
    """Return instances that know the servers."""
    fleet = LinkedFleet(size)
    for each in fleet.instances:
        for server in SERVERS:
            register(each.serving.registry, server, StoreRevision(0, 1))
    return fleet


def answer(instance: Instance, place: int, load: ServerLoad) -> None:
    """Let an instance get an answer of a server."""
    head = read_answer_head(200, [])._replace(load=load)
    note_answer_load(instance.serving, SERVERS[place], head)


class TestLoads:
    """119 instances and 34 servers, which answer three times a second each."""

    def test_reports_reach_all_within_the_bytes_for_control(self) -> None:
        """Each instance sends a server less than a request in a minute."""
        fleet = fleet_of(119)
        fresh = []
        for step in range(int((SETTLE_S + MEASURED_S) / STEP_S)):
            if step == int(SETTLE_S / STEP_S):
                for each in fleet.instances:
                    each.datagrams.clear()
            place = step % len(SERVERS)
            answer(fleet.random.choice(fleet.instances), place, LOAD)
            fleet.run(STEP_S)
            if step * STEP_S > SETTLE_S and step % 20 == 0:
                fresh += [len(fresh_runs(each)) for each in fleet.instances]
        sent, total = (
            [sum(map(size, each.datagrams)) / MEASURED_S for each in fleet.instances]
            for size in (load_bytes, len)
        )
        print(
            f"\nloads {fmean(sent):.0f} (at most {max(sent):.0f}) of "
            f"{fmean(total):.0f} B/s, fresh {fmean(fresh):.1f} of 34"
        )
        assert max(sent) <= CONTROL_BYTES_PER_S
        assert fmean(fresh) >= len(SERVERS) / 2

    def test_nothing_is_told_without_uneven_pools(self) -> None:
        """Deployments without the figure send what they sent before."""
        fleet = fleet_of(14)
        answer(fleet.instances[0], 0, LOAD._replace(slowness_percent=None))
        fleet.run(1)
        assert not any(
            load_bytes(data) for each in fleet.instances for data in each.datagrams
        )

    def test_server_with_errors_is_avoided_by_all_within_a_second(self) -> None:
        """55 orders failed in 7 s, as each instance learned of it alone."""
        fleet = fleet_of(82)
        for each in fleet.instances:
            answer(each, 0, LOAD)
        fleet.run(1)
        for number in range(8):
            serving = fleet.random.choice(fleet.instances).serving
            note_outcomes(serving, SERVERS[0], [Outcome(number, True, fleet.now_ms())])
            fleet.run(KNOWN_S / 8)
        avoiding = [
            is_avoided(
                run_state(each.serving.balance, RUN).outcomes, each.serving.now_ms()
            )
            for each in fleet.instances
        ]
        print(f"\navoided by {sum(avoiding)} of 82")
        assert sum(avoiding) >= 0.9 * len(avoiding)


LOAD: Final = ServerLoad(3, 1, 6, 140)


def fresh_runs(instance: Instance) -> list[str]:
    """Return the runs of which an instance has a report that counts."""
    now_ms = instance.serving.now_ms()
    return [
        run
        for run, each in instance.serving.balance.runs.items()
        if each.report is not None and now_ms - each.report.at_ms <= REPORT_TTL_MS
    ]


def load_bytes(data: bytes) -> int:
    """Return the bytes that the rows of loads take of a datagram."""
    rows = orjson.loads(data).get("server_loads")
    assert rows is None or len(rows) <= MAX_ROWS
    return len(orjson.dumps({"server_loads": rows})) - 1 if rows else 0


class TestInput:
    """Rows of other instances."""

    @pytest.mark.parametrize(
        "row",
        [
            7,
            [],
            [RUN, 1, 0, 6, 100],
            [7, 1, 0, 6, 100, 40],
            [RUN, -1, 0, 6, 100, 40],
            [RUN, 1.5, 0, 6, 100, 40],
            [RUN, True, 0, 6, 100, 40],
            [RUN, 1, 0, 6, 10**5, 40],
            [RUN, 1, 0, 6, 100, 10**9],
            [RUN, 1, 0, 6, 100, 40, 7],
            [RUN, 1, 0, 6, 100, 40, [1, 1]],
            [RUN, 1, 0, 6, 100, 40, ["1", 1, 9]],
        ],
    )
    def test_malformed_row_is_dropped_alone_and_counted(self, row: Any) -> None:
        instance = fleet_of(1).instances[0]
        merge_loads(instance.serving, "front-9", [row, [RUN, 1, 0, 6, 100, 40]])
        assert instance.serving.metrics.counters["load_rows_malformed", ""] == 1
        assert fresh_runs(instance) == [RUN]

    def test_rows_of_unknown_servers_and_other_runs_are_not_kept(self) -> None:
        """Memory must not grow with what others send."""
        instance = fleet_of(1).instances[0]
        for run in ("i-x@1", f"{SERVERS[0].id}@1", "x"):
            merge_loads(instance.serving, "front-9", [[run, 1, 0, 6, 100, 40]])
        merge_loads(instance.serving, "front-9", 7)
        assert not instance.serving.balance.runs

    def test_stale_report_does_not_count(self) -> None:
        instance = fleet_of(1).instances[0]
        merge_loads(instance.serving, "front-9", [[RUN, 1, 0, 6, 100, REPORT_TTL_MS]])
        assert not fresh_runs(instance)

    def test_row_of_a_later_build_is_read(self) -> None:
        assert decode_row([RUN, 1, 0, 6, 100, 40, [], "more"]) is not None
