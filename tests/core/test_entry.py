"""Tests of an entry process's actions, event by event in virtual time."""

from typing import Any

import pytest

from bramleyturn.core.actions import (
    CancelAttempt,
    ForwardAnswer,
    ForwardToPrimary,
    PermitWrite,
    SendToBackup,
    StartAttempt,
    TicketNeeded,
    TicketRefused,
)
from bramleyturn.core.arrivals import IssuedTicket, issue_ticket, kept_outcome
from bramleyturn.core.events import (
    AttemptFailed,
    BackupAnswered,
    BackupSilent,
    ConfigurationAccepted,
    DrainOrdered,
    FailureReason,
    OutputArrived,
    PrimarySilent,
    WaiterGone,
)
from bramleyturn.core.outcomes import Outcome, OutcomeKind
from bramleyturn.core.ticket_messages import (
    Intent,
    IntentAcknowledged,
    IntentRefused,
    PrimaryGone,
    RefusalReason,
    Revoke,
    Revoked,
)
from tests.core.entry_simulation import EntrySimulation, answer, answers, started


def failed(
    attempt: StartAttempt, reason: FailureReason = FailureReason.LOST
) -> AttemptFailed:
    return AttemptFailed(attempt.attempt_id, reason, "", None, False)


def ticket_of(simulation: EntrySimulation, pipeline: str = "signup") -> str:
    issued = issue_ticket(simulation.state, "lessons", pipeline, simulation.now_ms)
    assert isinstance(issued, IssuedTicket)
    return issued.text


def intent_of(actions: list[Any]) -> tuple[SendToBackup, Intent]:
    sent = [action for action in actions if isinstance(action, SendToBackup)]
    assert len(sent) == 1
    message = sent[0].message
    assert isinstance(message, Intent)
    return sent[0], message


def acknowledge(simulation: EntrySimulation, actions: list[Any]) -> list[Any]:
    sent, intent = intent_of(actions)
    acknowledged = IntentAcknowledged(
        intent.ticket, intent.backup_incarnation, intent.intended.stage
    )
    return simulation.feed(BackupAnswered(sent.correlation_id, intent, acknowledged))


class TestRepeatableRequest:
    def test_runs_its_stages_in_order_and_answers_completely(self) -> None:
        simulation = EntrySimulation()
        encode = started(simulation.send("draft"))
        generate = started(simulation.output(encode, "vector"))
        assert generate.input == "vector"
        simulation.tokens(generate, 0, "a", "b")
        simulation.tokens(generate, 2, "c")
        result = answer(simulation.end(generate, 3)).outcome
        assert (result.kind, result.output) == (OutcomeKind.ANSWERED, "abc")
        assert [stage.name for stage in result.stages] == ["encode", "generate"]

    def test_retries_only_a_failed_stage_on_another_server(self) -> None:
        simulation = EntrySimulation()
        encode = started(simulation.send("draft"))
        generate = started(simulation.output(encode))
        simulation.feed(failed(generate))
        again = started(simulation.advance(500))
        assert again.stage == "generate"
        assert again.server != generate.server

    def test_resumes_a_cut_stream_at_the_received_offset(self) -> None:
        simulation = EntrySimulation()
        generate = started(simulation.output(started(simulation.send("draft"))))
        simulation.tokens(generate, 0, "a", "b")
        simulation.feed(failed(generate, FailureReason.CUT))
        again = started(simulation.advance(500))
        assert again.resume_offset == 2
        simulation.tokens(again, 2, "c")
        assert answer(simulation.end(again, 3)).outcome.output == "abc"

    def test_accepts_an_overlapping_part_that_agrees(self) -> None:
        simulation = EntrySimulation()
        generate = started(simulation.output(started(simulation.send("draft"))))
        simulation.tokens(generate, 0, "a", "b")
        simulation.tokens(generate, 1, "b", "c")
        assert answer(simulation.end(generate, 3)).outcome.output == "abc"

    @pytest.mark.parametrize("offset", [1, 5])
    def test_cancels_a_stream_that_contradicts_or_leaves_a_gap(
        self, offset: int
    ) -> None:
        simulation = EntrySimulation()
        generate = started(simulation.output(started(simulation.send("draft"))))
        simulation.tokens(generate, 0, "a", "b")
        actions = simulation.tokens(generate, offset, "x", "y")
        assert CancelAttempt(generate.attempt_id, generate.server) in actions
        assert simulation.state.counters.wrong_answers_dropped == 1

    def test_starts_again_after_more_tokens_than_announced(self) -> None:
        simulation = EntrySimulation()
        generate = started(simulation.output(started(simulation.send("draft"))))
        simulation.tokens(generate, 0, "a", "b", "c")
        assert not [
            a for a in simulation.end(generate, 2) if isinstance(a, StartAttempt)
        ]
        assert started(simulation.advance(500)).resume_offset == 0

    def test_drops_an_answer_with_another_id(self) -> None:
        simulation = EntrySimulation()
        encode = started(simulation.send("draft"))
        simulation.feed(OutputArrived(encode.attempt_id, "other", "stolen", 0))
        assert simulation.state.counters.wrong_answers_dropped == 1
        assert started(simulation.advance(500)).stage == "encode"

    def test_drops_an_answer_after_the_outcome(self) -> None:
        simulation = EntrySimulation()
        encode = started(simulation.send("draft", left_ms=900))
        result = answer(simulation.advance(900)).outcome
        assert result.kind is OutcomeKind.FAILED
        assert simulation.output(encode) == []
        assert simulation.state.counters.late_answers_dropped == 1

    def test_separates_equal_request_ids_of_two_workspaces(self) -> None:
        simulation = EntrySimulation()
        first = started(simulation.send("draft", waiter="w1"))
        second = started(simulation.send("draft", workspace="rosters", waiter="w2"))
        assert first.attempt_id != second.attempt_id
        generate = started(simulation.output(second, "second"))
        simulation.tokens(generate, 0, "s")
        ended = answer(simulation.end(generate, 1))
        assert ended.waiter == "w2"
        assert (
            kept_outcome(simulation.state, "lessons", "r1", simulation.now_ms)
            is not None
        )
        assert not isinstance(
            kept_outcome(simulation.state, "lessons", "r1", simulation.now_ms), Outcome
        )

    def test_joins_a_repeated_request_to_the_running_one(self) -> None:
        simulation = EntrySimulation()
        encode = started(simulation.send("draft", waiter="w1"))
        assert simulation.send("draft", waiter="w2") == []
        generate = started(simulation.output(encode))
        simulation.tokens(generate, 0, "a")
        ended = answers(simulation.end(generate, 1))
        assert [found.waiter for found in ended] == ["w1", "w2"]

    def test_refuses_a_used_id_with_another_input(self) -> None:
        simulation = EntrySimulation()
        simulation.send("draft", waiter="w1")
        refused = answer(simulation.send("draft", input_="other", waiter="w2"))
        assert refused.outcome.reason == "request_id_reused"

    def test_keeps_the_outcome_of_a_caller_that_went_away(self) -> None:
        simulation = EntrySimulation()
        encode = started(simulation.send("draft"))
        simulation.feed(WaiterGone("w1"))
        generate = started(simulation.output(encode))
        simulation.tokens(generate, 0, "a")
        simulation.end(generate, 1)
        kept = kept_outcome(simulation.state, "lessons", "r1", simulation.now_ms)
        assert isinstance(kept, Outcome)
        assert kept.output == "a"

    def test_says_not_run_when_no_server_was_reached(self) -> None:
        simulation = EntrySimulation()
        attempt = started(simulation.send("draft", left_ms=400))
        while not answers(simulation.actions):
            simulation.feed(failed(attempt, FailureReason.NOT_CONNECTED))
            # Leaves no attempt in flight, since that one might still run.
            while not answers(simulation.actions):
                starts = [
                    a for a in simulation.advance(1) if isinstance(a, StartAttempt)
                ]
                if starts:
                    attempt = starts[0]
                    break
        ended = answers(simulation.actions)[0].outcome
        assert ended.kind is OutcomeKind.NOT_RUN
        assert ended.retry_after_ms is not None

    def test_refuses_at_once_while_draining(self) -> None:
        simulation = EntrySimulation()
        simulation.feed(DrainOrdered())
        refused = answer(simulation.send("draft")).outcome
        assert (refused.kind, refused.reason) == (OutcomeKind.NOT_RUN, "shutting_down")
        assert refused.retry_after_ms is not None


class TestNonRepeatableRequest:
    def test_is_offered_a_ticket_and_starts_nothing(self) -> None:
        simulation = EntrySimulation()
        (offered,) = simulation.send("signup")
        assert isinstance(offered, TicketNeeded)
        assert not simulation.state.requests

    def test_writes_only_after_the_backup_recorded_the_intent(self) -> None:
        simulation = EntrySimulation(with_backup=True)
        actions = simulation.send("signup", ticket=ticket_of(simulation))
        assert not [a for a in actions if isinstance(a, StartAttempt)]
        enrol = started(acknowledge(simulation, actions))
        assert enrol.needs_permission
        assert simulation.connect(enrol) == [PermitWrite(enrol.attempt_id)]
        assert answer(simulation.output(enrol)).outcome.kind is OutcomeKind.ANSWERED

    def test_names_the_server_on_which_it_runs_in_the_intent(self) -> None:
        simulation = EntrySimulation(with_backup=True)
        actions = simulation.send("signup", ticket=ticket_of(simulation))
        _, intent = intent_of(actions)
        enrol = started(acknowledge(simulation, actions))
        assert intent.intended.server == enrol.server.name
        assert intent.intended.attempt_id == enrol.attempt_id

    def test_is_never_retried_once_written(self) -> None:
        simulation = EntrySimulation()
        enrol = started(simulation.send("signup", ticket=ticket_of(simulation)))
        simulation.connect(enrol)
        result = answer(simulation.feed(failed(enrol))).outcome
        assert result.kind is OutcomeKind.UNKNOWN
        assert not simulation.advance(5_000)

    def test_connects_elsewhere_when_nothing_was_written(self) -> None:
        simulation = EntrySimulation()
        enrol = started(simulation.send("signup", ticket=ticket_of(simulation)))
        simulation.feed(failed(enrol, FailureReason.NOT_CONNECTED))
        again = started(simulation.advance(500))
        assert again.server != enrol.server
        assert simulation.connect(again) == [PermitWrite(again.attempt_id)]

    def test_does_not_write_after_the_deadline_passed_in_a_pause(self) -> None:
        simulation = EntrySimulation()
        enrol = started(simulation.send("signup", ticket=ticket_of(simulation)))
        simulation.freeze(10_000)
        actions = simulation.connect(enrol)
        assert not [a for a in actions if isinstance(a, PermitWrite)]
        assert answer(actions).outcome.kind is OutcomeKind.NOT_RUN

    def test_does_not_write_after_the_ticket_expired_in_a_pause(self) -> None:
        simulation = EntrySimulation()
        ticket = ticket_of(simulation)
        enrol = started(simulation.send("signup", ticket=ticket, left_ms=90_000))
        simulation.freeze(61_000)
        actions = simulation.connect(enrol)
        assert not [a for a in actions if isinstance(a, PermitWrite)]

    def test_answers_duplicates_with_the_outcome_of_the_first(self) -> None:
        simulation = EntrySimulation()
        ticket = ticket_of(simulation)
        enrol = started(simulation.send("signup", ticket=ticket, waiter="w1"))
        assert simulation.send("signup", ticket=ticket, waiter="w2") == []
        simulation.connect(enrol)
        simulation.output(enrol, "enrolled")
        third = answer(simulation.send("signup", ticket=ticket, waiter="w3"))
        assert third.outcome.output == "enrolled"

    def test_refuses_a_ticket_of_another_workspace(self) -> None:
        simulation = EntrySimulation()
        ticket = ticket_of(simulation)
        (refused,) = simulation.send("signup", ticket=ticket, workspace="rosters")
        assert isinstance(refused, TicketRefused)

    def test_reports_not_run_when_the_backup_refuses(self) -> None:
        simulation = EntrySimulation(with_backup=True)
        sent, intent = intent_of(
            simulation.send("signup", ticket=ticket_of(simulation))
        )
        refusal = IntentRefused(
            intent.ticket, intent.backup_incarnation, "enrol", RefusalReason.REVOKED
        )
        result = answer(
            simulation.feed(BackupAnswered(sent.correlation_id, intent, refusal))
        )
        assert result.outcome.kind is OutcomeKind.NOT_RUN

    def test_ignores_an_acknowledgement_after_it_gave_up(self) -> None:
        simulation = EntrySimulation(with_backup=True)
        actions = simulation.send("signup", ticket=ticket_of(simulation))
        sent, intent = intent_of(actions)
        result = answer(simulation.feed(BackupSilent(sent.correlation_id, intent)))
        assert result.outcome.kind is OutcomeKind.NOT_RUN
        assert acknowledge(simulation, actions) == []

    def test_reports_each_stage_when_the_second_is_refused(self) -> None:
        simulation = EntrySimulation(with_backup=True)
        actions = simulation.send("order", ticket=ticket_of(simulation, "order"))
        charge = started(acknowledge(simulation, actions))
        simulation.connect(charge)
        sent, intent = intent_of(simulation.output(charge))
        assert [stage.name for stage in intent.ended] == ["charge"]
        result = answer(
            simulation.feed(BackupSilent(sent.correlation_id, intent))
        ).outcome
        assert result.kind is OutcomeKind.FAILED
        kinds = {stage.name: stage.kind for stage in result.stages}
        assert kinds == {
            "charge": OutcomeKind.ANSWERED,
            "print": OutcomeKind.NOT_RUN,
        }


class TestForwardedRequest:
    def ticket_of_another(self, simulation: EntrySimulation) -> str:
        other = EntrySimulation(with_backup=True)
        other.state.me = other.state.me._replace(address="127.0.0.1:7009")
        other.state.primary_tickets.me = other.state.me
        return ticket_of(other)

    def test_goes_to_the_primary_and_then_to_the_backup(self) -> None:
        simulation = EntrySimulation()
        (sent,) = simulation.send("signup", ticket=self.ticket_of_another(simulation))
        assert isinstance(sent, ForwardToPrimary)
        (revoking,) = simulation.feed(PrimarySilent(sent.forward_id))
        assert isinstance(revoking, SendToBackup)
        assert isinstance(revoking.message, Revoke)
        revoked = Revoked(revoking.message.ticket)
        result = answer(
            simulation.feed(
                BackupAnswered(revoking.correlation_id, revoking.message, revoked)
            )
        )
        assert result.outcome.kind is OutcomeKind.NOT_RUN

    def test_is_unknown_when_nobody_answers(self) -> None:
        simulation = EntrySimulation()
        (sent,) = simulation.send("signup", ticket=self.ticket_of_another(simulation))
        assert isinstance(sent, ForwardToPrimary)
        (revoking,) = simulation.feed(PrimarySilent(sent.forward_id))
        assert isinstance(revoking, SendToBackup)
        result = answer(
            simulation.feed(BackupSilent(revoking.correlation_id, revoking.message))
        )
        assert result.outcome.kind is OutcomeKind.UNKNOWN

    def test_is_told_that_the_primary_is_gone_by_its_successor(self) -> None:
        simulation = EntrySimulation()
        ticket = ticket_of(simulation)
        simulation.state.me = simulation.state.me._replace(incarnation="incarnation-2")
        simulation.state.primary_tickets.me = simulation.state.me
        (sent,) = simulation.send("signup", ticket=ticket, is_forwarded=True)
        assert sent == ForwardAnswer("w1", "r1", PrimaryGone())


class TestNewConfiguration:
    def test_changes_the_retry_ratio(self) -> None:
        simulation = EntrySimulation()
        old = simulation.state.configuration
        limits = old.limits._replace(retry_ratio_percent=77)
        newer = old._replace(revision=old.revision + 1, limits=limits)
        simulation.feed(ConfigurationAccepted(newer))
        assert simulation.state.retry_budget.ratio_percent == 77


class TestSlowPipeline:
    """Requests whose deadline is shorter than a pipeline's past latency."""

    def slow_pipeline_simulation(self) -> EntrySimulation:
        simulation = EntrySimulation()
        for number in range(20):
            encode = started(simulation.send("draft", request_id=f"slow-{number}"))
            simulation.advance(900)
            generate = started(simulation.output(encode))
            simulation.tokens(generate, 0, "a")
            simulation.end(generate, 1)
        return simulation

    def test_admits_a_probe_despite_a_short_deadline(self) -> None:
        simulation = self.slow_pipeline_simulation()
        encode = started(simulation.send("draft", request_id="short", left_ms=300))
        generate = started(simulation.output(encode))
        simulation.tokens(generate, 0, "a")
        assert answer(simulation.end(generate, 1)).outcome.kind is OutcomeKind.ANSWERED

    def test_refuses_while_another_request_runs(self) -> None:
        simulation = self.slow_pipeline_simulation()
        started(simulation.send("draft", request_id="first", left_ms=300))
        refused = answer(simulation.send("draft", request_id="second", left_ms=300))
        assert refused.outcome.kind is OutcomeKind.NOT_RUN

    def test_probes_at_most_once_a_second(self) -> None:
        simulation = self.slow_pipeline_simulation()
        encode = started(simulation.send("draft", request_id="first", left_ms=300))
        generate = started(simulation.output(encode))
        simulation.tokens(generate, 0, "a")
        simulation.end(generate, 1)
        refused = answer(simulation.send("draft", request_id="second", left_ms=300))
        assert refused.outcome.kind is OutcomeKind.NOT_RUN
        simulation.advance(1_000)
        started(simulation.send("draft", request_id="third", left_ms=300))
