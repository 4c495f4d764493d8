"""Test how an instance chooses the servers of a pool with the fourth figure."""

from collections import Counter

import pytest

from bramleyturn.core.catalog.model import RouteKind, run_name
from tests.gateway.one_entry import POOL, Caller, OneEntry, plain_route, server

SERVERS = [server(f"s{place}", port=80 + place) for place in range(4)]
ANSWER = (
    "HTTP/1.1 {status} Answer\r\nBramleyturn-Attempt-Id: {attempt}\r\n"
    "Bramleyturn-Response-Signature: s\r\nBramleyturn-Instance-Load: {load}\r\n"
    "Content-Length: 2\r\n\r\nok"
)


class LoadedEntry(OneEntry):
    """Hold an instance whose servers name their load."""

    def __init__(self, load: str, failing: str = "") -> None:
        super().__init__([plain_route(RouteKind.NON_IDEMPOTENT)], SERVERS)
        self.load = load
        self.failing = failing
        self.count = 0

    def serve(self, times: int) -> Counter[str]:
        """Send requests one after another; return how many each server got."""
        got: Counter[str] = Counter()
        for _ in range(times):
            self.count += 1
            caller = Caller(self)
            caller.send(attempt := f"a{self.count}")
            place = self.reactor.tcpClients[0][1] - 80
            got[SERVERS[place].id] += 1
            called = self.accept()
            self.run(5)
            status = 500 if SERVERS[place].id == self.failing else 200
            text = ANSWER.format(status=status, attempt=attempt, load=self.load)
            called.answer(text.encode())
            called.close()
            caller.lose()
            self.run(5)
        return got


class TestUnevenPool:
    """The pool of an order that may run only once."""

    @pytest.mark.parametrize(
        ("load", "is_uneven"), [("1,0,6,140", True), ("1,0,6", False), ("", False)]
    )
    def test_pool_is_uneven_once_a_server_sent_the_figure(
        self, load: str, is_uneven: bool
    ) -> None:
        """Deployments without the figure are served as before."""
        entry = LoadedEntry(load)
        entry.serve(12)
        balance = entry.serving.balance
        assert (POOL in balance.uneven) == is_uneven
        assert bool(balance.runs) == is_uneven
        assert bool(entry.serving.metrics.counters["even_choices", POOL]) == is_uneven

    def test_requests_sent_are_counted_until_they_end(self) -> None:
        entry = LoadedEntry("1,0,6,100")
        entry.serve(2)
        Caller(entry).send("late")
        run = run_name(SERVERS[entry.reactor.tcpClients[0][1] - 80])
        balance = entry.serving.balance
        assert len(balance.runs[run].sent_ms) == 1
        assert sum(len(each.sent_ms) for each in balance.runs.values()) == 1

    def test_server_that_answers_with_errors_gets_little(self) -> None:
        """55 orders failed in 7 s at one of four servers whose status was good."""
        entry = LoadedEntry("0,0,6,100", failing="s0")
        entry.serve(12)
        assert entry.serve(60)["s0"] <= 5
