"""Test the choice among the servers of an uneven pool."""

from collections import Counter
from random import Random

from bramleyturn.core.balance import state
from bramleyturn.core.balance.choice import (
    choose_evenly,
    expected_loads,
    note_paces,
)
from bramleyturn.core.balance.outcomes import (
    MAX_OUTCOMES,
    OUTCOME_TTL_MS,
    Outcome,
    add_outcomes,
)
from bramleyturn.core.balance.speeds import MOST_PACE, note_said, note_timed
from bramleyturn.core.balance.state import (
    MAX_RUNS,
    REPORT_TTL_MS,
    Balance,
    ServerReport,
    forget_runs,
    note_report,
    run_state,
)
from bramleyturn.core.catalog.model import BackendServer, run_name

SERVERS = [
    BackendServer(f"s{n}", "orders", "10.0.0.1", n, "z", "v", 6, False, 0, 1)
    for n in range(4)
]
RUNS = [run_name(server) for server in SERVERS]


def balance_of(*requests: int, at_ms: int = 0) -> Balance:
    """Return what is known after a report of each server."""
    balance = Balance()
    for run, running in zip(RUNS, requests, strict=False):
        note_report(balance, run, ServerReport(running, 0, 6, at_ms))
    return balance


def chosen(balance: Balance, now_ms: int = 0, times: int = 2_000) -> Counter[str]:
    """Return how often each server is chosen."""
    random = Random(1)
    made = (choose_evenly(balance, SERVERS, random, now_ms) for _ in range(times))
    return Counter(server.id for server in made if server is not None)


def requests_expected(balance: Balance, now_ms: int) -> list[float]:
    """Return the requests expected at each server."""
    return [each.requests for each in expected_loads(balance, SERVERS, now_ms)]


class TestExpectedLoad:
    """Reports are stale, and others act on them meanwhile."""

    def test_report_fades_to_the_mean_of_the_pool(self) -> None:
        """A server that looked idle to all gets the requests of all."""
        balance = balance_of(0, 4, 4, 4)
        fresh, older = (requests_expected(balance, at_ms)[0] for at_ms in (0, 500))
        assert fresh == 0
        assert 2 < older < 3
        assert requests_expected(balance, REPORT_TTL_MS + 1) == [0.0] * 4

    def test_server_without_a_fresh_report_counts_as_the_mean(self) -> None:
        """A server that is not heard of must neither be shunned nor flooded."""
        balance = balance_of(2, 4, 6)
        assert requests_expected(balance, 0) == [2, 4, 6, 4]

    def test_own_requests_since_the_report_count(self) -> None:
        """Requests sent before the report are in it already."""
        balance = balance_of(1, 1, 1, 1, at_ms=100)
        for sent_ms in (50, 100, 120):
            state.note_sent(balance, RUNS[0], sent_ms)
        assert requests_expected(balance, 120)[0] == 3
        state.note_ended(balance, RUNS[0], 120)
        assert requests_expected(balance, 120)[0] == 2

    def test_report_of_too_many_slots_does_not_draw_all_requests(self) -> None:
        balance = balance_of(2, 2, 2, 2)
        note_report(balance, RUNS[0], ServerReport(2, 0, 999_999, 1))
        assert expected_loads(balance, SERVERS, 1)[0].capacity == 6

    def test_older_report_does_not_replace_a_newer_one(self) -> None:
        balance = balance_of(1, at_ms=100)
        assert not note_report(balance, RUNS[0], ServerReport(6, 9, 6, 100))
        assert requests_expected(balance, 100)[0] == 1


class TestSpeeds:
    """Servers whose machines differ in speed."""

    def test_single_figure_decides_little(self) -> None:
        """The figure changes many times a second and is stale when it arrives."""
        balance = balance_of(0, 0, 0, 0)
        for run in RUNS:
            note_said(run_state(balance, run).pace, 1_600 if run == RUNS[0] else 100)
        assert expected_loads(balance, SERVERS, 0)[0].pace < 1.6

    def test_long_mean_of_the_figure_decides(self) -> None:
        balance = balance_of(0, 0, 0, 0)
        random = Random(1)
        for run, usual in zip(RUNS, (167, 100, 100, 60), strict=True):
            for _ in range(200):
                percent = int(usual * random.lognormvariate(0, 0.7))
                note_said(run_state(balance, run).pace, percent)
        loads = expected_loads(balance, SERVERS, 0)
        assert 1.9 < loads[0].pace / loads[3].pace < 3.6
        counts = chosen(balance)
        assert counts["s3"] > 1.5 * counts["s0"]

    def test_times_of_answers_show_a_slow_server(self) -> None:
        balance = balance_of(0, 0, 0, 0)
        for run in RUNS:
            for _ in range(50):
                took_ms = 500 if run == RUNS[0] else 100
                note_timed(run_state(balance, run).pace, took_ms, 100)
        assert expected_loads(balance, SERVERS, 0)[0].pace > 2

    def test_pace_has_a_floor_and_a_ceiling(self) -> None:
        """A faulty figure must not take a server out of use."""
        balance = balance_of(0, 0, 0, 0)
        for run in RUNS:
            for _ in range(500):
                percent = 10_000 if run == RUNS[0] else 1
                note_said(run_state(balance, run).pace, percent)
        assert expected_loads(balance, SERVERS, 0)[0].pace == MOST_PACE
        assert chosen(balance)["s0"] > 0

    def test_new_run_starts_at_the_mean(self) -> None:
        balance = balance_of(0, 0, 0, 0)
        for run in RUNS:
            note_said(run_state(balance, run).pace, 300)
        renewed = [SERVERS[0]._replace(started_ms=2), *SERVERS[1:]]
        assert expected_loads(balance, renewed, 0)[0].pace == 1

    def test_paces_are_told_to_planners_only_where_learned(self) -> None:
        balance = balance_of(0, 0, 0, 0)
        note_said(run_state(balance, RUNS[0]).pace, 300)
        note_paces(balance, SERVERS)
        assert list(balance.paces) == ["s0"]


class TestErrors:
    """Servers that answer with errors while their status is good."""

    def test_server_with_errors_gets_little(self) -> None:
        """It looks idle, as errors take no time, and draws all requests."""
        balance = balance_of(0, 4, 4, 4)
        fail(balance, RUNS[0], 2)
        assert chosen(balance)["s0"] < 20

    def test_whole_pool_is_never_avoided(self) -> None:
        balance = balance_of(2, 2, 2, 2)
        for run in RUNS:
            fail(balance, run, MAX_OUTCOMES)
        assert min(chosen(balance).values()) > 300

    def test_errors_count_for_a_while_only(self) -> None:
        balance = balance_of(2, 2, 2, 2)
        fail(balance, RUNS[0], MAX_OUTCOMES)
        assert chosen(balance, OUTCOME_TTL_MS + 1)["s0"] > 300

    def test_answer_that_is_told_again_counts_once(self) -> None:
        """Told in circles, one error would keep a server from all for ever."""
        known: dict[int, Outcome] = {}
        add_outcomes(known, [Outcome(7, True, 0)], 0)
        add_outcomes(known, [Outcome(7, True, 900)], 900)
        assert known == {7: Outcome(7, True, 0)}


class TestMemory:
    """Fleets whose servers come and go."""

    def test_known_runs_are_bounded_and_forgotten(self) -> None:
        balance = Balance()
        for number in range(MAX_RUNS + 10):
            run_state(balance, f"s{number}@1")
        assert len(balance.runs) == MAX_RUNS
        balance.uneven = {"orders", "gone"}
        balance.paces = {"s0": 2.0, "s1": 2.0}
        forget_runs(balance, frozenset({"s1@1"}), frozenset({"orders"}))
        assert (set(balance.runs), balance.uneven) == ({"s1@1"}, {"orders"})
        assert set(balance.paces) == {"s1"}

    def test_no_servers_yield_none(self) -> None:
        assert choose_evenly(Balance(), [], Random(1), 0) is None


def fail(balance: Balance, run: str, times: int) -> None:
    """Record errors of a run."""
    errors = [Outcome(number, True, 0) for number in range(times)]
    add_outcomes(run_state(balance, run).outcomes, errors, 0)
