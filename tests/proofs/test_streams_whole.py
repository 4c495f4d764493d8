"""Proof: a streamed answer is whole, wherever it was cut and however it came."""

from collections.abc import Iterator
from itertools import product
from typing import Any

import pytest

from bramleyturn.core.actions import Action, StartAttempt
from bramleyturn.core.events import AttemptFailed, FailureReason
from bramleyturn.core.outcomes import OutcomeKind
from scripts.fleet import Fleet, FleetPlan
from tests.core.entry_simulation import EntrySimulation, answer, started
from tests.http_calls import receive
from tests.proofs.fleet_calls import (
    expected,
    heal,
    ledger,
    send_request,
    servers_of,
    set_behaviour,
    set_link,
    start_request,
)

TOKENS = tuple("abcdefgh")
WHOLE = "".join(TOKENS)
CUTS = range(len(TOKENS) + 1)
# Two lost connections would convict the input of crashing servers.
BREAKS = (
    (FailureReason.CUT, FailureReason.CUT),
    (FailureReason.CUT, FailureReason.LOST),
    (FailureReason.LOST, FailureReason.CUT),
)
LEFT_MS = 5_000
RETRY_MS = 200


class Stream:
    """Hold the attempt that streams one draft through an entry's core."""

    def __init__(self) -> None:
        self.simulation = EntrySimulation()
        encode = started(self.simulation.send("draft", left_ms=LEFT_MS))
        self.attempt = started(self.simulation.output(encode))

    def say(self, first: int, last: int, chunk: int) -> None:
        """Send tokens in parts of ``chunk`` tokens, under their true offsets."""
        for offset in range(first, last, chunk):
            part = TOKENS[offset : min(offset + chunk, last)]
            self.simulation.tokens(self.attempt, offset, *part)

    def stop(self, reason: FailureReason) -> int:
        """Break the attempt off; return the offset from which the next one goes on."""
        event = AttemptFailed(self.attempt.attempt_id, reason, "", None, False)
        return self.go_on(self.simulation.feed(event))

    def go_on(self, actions: list[Action]) -> int:
        """Wait for the next attempt and return its offset."""
        more = [*actions, *self.simulation.advance(RETRY_MS)]
        (self.attempt,) = [each for each in more if isinstance(each, StartAttempt)]
        return self.attempt.resume_offset

    def finish(self, first: int) -> None:
        """Send the rest and check that the caller got the whole answer."""
        self.say(first, len(TOKENS), 1)
        outcome = answer(self.simulation.end(self.attempt, len(TOKENS))).outcome
        assert (outcome.kind, outcome.output) == (OutcomeKind.ANSWERED, WHOLE)


class TestInVirtualTime:
    @pytest.mark.parametrize("chunk", [1, 3, 8])
    def test_whole_after_two_cuts_anywhere(self, chunk: int) -> None:
        for first, second, reasons in product(CUTS, CUTS, BREAKS):
            if second < first:
                continue
            stream = Stream()
            stream.say(0, first, chunk)
            assert stream.stop(reasons[0]) == first
            stream.say(first, second, chunk)
            assert stream.stop(reasons[1]) == second
            stream.finish(second)

    def test_starts_again_where_a_resume_is_refused(self) -> None:
        for cut in CUTS:
            stream = Stream()
            stream.say(0, cut, 1)
            stream.stop(FailureReason.CUT)
            assert stream.stop(FailureReason.RESUME_REFUSED) == 0
            stream.finish(0)

    def test_whole_after_a_resume_from_the_wrong_offset(self) -> None:
        for cut, wrong in product(CUTS, CUTS):
            stream = Stream()
            stream.say(0, cut, 1)
            stream.stop(FailureReason.CUT)
            actions = stream.simulation.tokens(stream.attempt, wrong, *TOKENS[wrong:])
            if wrong <= cut:
                # It overlaps what is held and agrees with it.
                stream.finish(len(TOKENS))
                continue
            assert stream.go_on(actions) == cut
            stream.finish(cut)

    def test_whole_where_parts_come_twice_or_out_of_order(self) -> None:
        for order in product(range(0, len(TOKENS), 2), repeat=3):
            stream = Stream()
            held = 0
            for offset in order:
                actions = stream.simulation.tokens(
                    stream.attempt, offset, *TOKENS[offset : offset + 2]
                )
                if offset > held:
                    assert stream.go_on(actions) == held
                    break
                held = max(held, offset + 2)
            stream.finish(held)

    def test_starts_again_after_more_than_announced(self) -> None:
        for announced in range(len(TOKENS)):
            stream = Stream()
            stream.say(0, len(TOKENS), 3)
            actions = stream.simulation.end(stream.attempt, announced)
            assert stream.go_on(actions) == 0
            stream.finish(0)

    def test_goes_on_after_fewer_than_announced(self) -> None:
        for cut in range(len(TOKENS)):
            stream = Stream()
            stream.say(0, cut, 3)
            actions = stream.simulation.end(stream.attempt, len(TOKENS))
            assert stream.go_on(actions) == cut
            stream.finish(cut)


STREAM_POOL = "drafting"
PIPELINE = "craft-idea"
CUT_TOKENS = (0, 1, 2, 3, 4, 5, 8, 11, 12, 47)
TRIALS = 8
CUT_BYTES = (1, 120, 180, 190, 200, 260, 300, 333, 400, 512, 700, 900)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    limits = "[limits]\nejection_failures = 1000\nretry_ratio_percent = 100\n"
    plan = FleetPlan(
        tmp_path_factory.mktemp("streams"),
        entries_per_zone=1,
        fault_links=True,
        extra_files={"60-limits.ini": limits},
    )
    with Fleet(plan) as running:
        yield running


def assert_whole(fleet: Fleet, value: dict[str, Any]) -> None:
    """Send an idea and check that its answer is whole."""
    reply = send_request(fleet, fleet.entry_names()[0], PIPELINE, value)
    document = reply.document
    found = (value, document["reason"], document["stages"])
    assert document["outcome"] == "answered", found
    assert reply.document["output"] == expected(fleet, PIPELINE, value).output, value


def resumed_runs(fleet: Fleet) -> int:
    """Count the streams that began beyond their first token."""
    return sum(
        entry["resume_offset"] > 0
        for server in servers_of(fleet, STREAM_POOL)
        for entry in ledger(fleet, server)
    )


@pytest.mark.usefixtures("healed")
class TestThroughProcesses:
    def test_cut_by_the_engine_at_a_token(self, fleet: Fleet) -> None:
        """Two engines cut the stream in turn; the third one finishes it."""
        before = resumed_runs(fleet)
        for tokens in CUT_TOKENS:
            for server in servers_of(fleet, STREAM_POOL)[:2]:
                set_behaviour(
                    fleet, server, truncate_after_tokens=tokens, answer_faults_left=1
                )
            assert_whole(fleet, {"ask": f"cut after {tokens} tokens"})
            heal(fleet)
        assert resumed_runs(fleet) > before

    def test_connection_cut_at_a_byte(self, fleet: Fleet) -> None:
        for cut in CUT_BYTES:
            for server in servers_of(fleet, STREAM_POOL)[:2]:
                set_link(fleet, server, cut_after_bytes_to_client=cut, cuts_left=1)
            for place in range(3):
                assert_whole(fleet, {"ask": f"cut after {cut} bytes, {place}"})
            heal(fleet)

    @pytest.mark.parametrize(
        "fault",
        [
            {"resume_refused": True},
            {"wrong_resume_offset": 3},
            {"wrong_resume_offset": -3},
            {"longer_than_announced": True},
            {"duplicate_chunk": True},
        ],
        ids=str,
    )
    def test_engine_that_resumes_badly(
        self, fleet: Fleet, fault: dict[str, Any]
    ) -> None:
        """One engine is cut; the other one of its zone resumes, badly."""
        pair = servers_of(fleet, STREAM_POOL)[:2]
        before = resumed_runs(fleet)
        for place in range(TRIALS):
            cut, resuming = pair if place % 2 else pair[::-1]
            # Each whole answer earns one retry; the faulty one needs two.
            for earned in range(2):
                assert_whole(fleet, {"ask": f"{fault} {place} earns {earned}"})
            set_behaviour(
                fleet, cut, truncate_after_tokens=4 + place, answer_faults_left=1
            )
            set_behaviour(fleet, resuming, **fault, answer_faults_left=1)
            assert_whole(fleet, {"ask": f"{fault} {place}"})
            heal(fleet)
        assert fault == {"resume_refused": True} or resumed_runs(fleet) > before

    def test_engine_that_falls_silent(self, fleet: Fleet) -> None:
        """Every server but one hangs; each draft is answered in its time."""
        for place in range(12):
            assert_whole(fleet, {"ask": f"usual {place}"})
        hung = servers_of(fleet, STREAM_POOL)[0]
        set_behaviour(fleet, hung, hang=True)
        values = [{"ask": f"beside a hung engine {place}"} for place in range(4)]
        entry = fleet.entry_names()[0]
        sent = [start_request(fleet, entry, PIPELINE, value) for value in values]
        for value, connection in zip(values, sent, strict=True):
            document = receive(connection).document
            connection.close()
            assert document["outcome"] == "answered", document
            assert document["output"] == expected(fleet, PIPELINE, value).output
            assert document["stages"]["generate"]["elapsed_ms"] < 2_000, document
        assert [e for e in ledger(fleet, hung) if e["state"] == "cancelled"]
