"""Tests of limiting requests to their workspace's budget."""

from random import Random

from bramleyturn.core.actions import Action, Answer, StartAttempt
from bramleyturn.core.configuration import RefusedConfiguration, load_configuration
from bramleyturn.core.entry import step
from bramleyturn.core.entry_state import EntryState, entry_state
from bramleyturn.core.events import (
    ListedEntry,
    OutputArrived,
    PeerSeen,
    PeersListed,
    RequestArrived,
)
from bramleyturn.core.outcomes import OutcomeKind
from bramleyturn.core.spend import HORIZON_MS, SpendCounter, spent
from bramleyturn.core.tickets import ProcessRef

OWN_REF = ProcessRef("10.0.0.1:1", "aa")
FILES = {
    "a.ini": """
[pool p]
kind = plain
price_micros_per_call = 100

[server s]
pool = p
zone = z
address = 10.0.0.9:1

[pipeline ask]
stages = one

[stage ask.one]
pool = p
repeatable = yes

[workspace w]
key_sha256 = 00f879543c4b26f4d1d97e087cdea60f14b77b610621768a19d5c323e3a5a4ac
weight = 1
rate_per_s = 200
burst = 400
concurrency = 128
budget_micros_per_hour = 250
pipelines = ask
"""
}


def new_state() -> EntryState:
    configuration = load_configuration(1, FILES)
    assert not isinstance(configuration, RefusedConfiguration), configuration
    return entry_state("me", "z", OWN_REF, configuration, Random(1), 0)


def send_request(state: EntryState, number: int, now_ms: int) -> list[Action]:
    arrived = RequestArrived(
        f"w{number}", "w", "ask", f"r{number}", {"n": number}, 10, 4_000, ""
    )
    return step(state, arrived, now_ms)


def answer_request(state: EntryState, actions: list[Action], now_ms: int) -> None:
    (started,) = [each for each in actions if isinstance(each, StartAttempt)]
    output = OutputArrived(started.attempt_id, started.attempt_id, {}, 0)
    step(state, output, now_ms)


class TestBudget:
    def test_running_requests_reserve_their_price(self) -> None:
        state = new_state()
        started = [send_request(state, number, 1_000) for number in range(3)]
        assert [isinstance(each[0], StartAttempt) for each in started] == [
            True,
            True,
            False,
        ]
        (refused,) = started[2]
        assert isinstance(refused, Answer)
        assert refused.outcome.kind is OutcomeKind.NOT_RUN
        assert refused.outcome.reason == "budget_spent"
        assert refused.outcome.retry_after_ms == HORIZON_MS

    def test_refusal_tells_when_the_budget_frees_up(self) -> None:
        state = new_state()
        for number in range(2):
            answer_request(state, send_request(state, number, 1_000), 1_100)
        assert spent(state.spend, "w", 1_200) == 200
        (refused,) = send_request(state, 9, 2_000)
        assert isinstance(refused, Answer)
        assert refused.outcome.retry_after_ms == 3_600_000 + 300_000 - 2_000
        assert isinstance(send_request(state, 10, 3_901_000)[0], StartAttempt)

    def test_spending_of_a_peer_counts(self) -> None:
        state = new_state()
        entries = (ListedEntry("peer", "z", "10.0.0.1:2", False),)
        step(state, PeersListed(entries), 0)
        counter = SpendCounter("peer", "bb", "w", 0, 200, 500)
        body = {"version": 1, "spend": [list(counter)], "spend_whole": True}
        step(state, PeerSeen("peer", "z", "10.0.0.1:2", "bb", 1, body), 1_000)
        (refused,) = send_request(state, 1, 1_100)
        assert isinstance(refused, Answer)
        assert refused.outcome.reason == "budget_spent"
