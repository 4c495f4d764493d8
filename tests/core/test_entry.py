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
from tests.core.entry_world import World, answer, answers, started


def failed(
    attempt: StartAttempt, reason: FailureReason = FailureReason.LOST
) -> AttemptFailed:
    return AttemptFailed(attempt.attempt_id, reason, "", None, False)


def ticket_of(world: World, pipeline: str = "signup") -> str:
    issued = issue_ticket(world.state, "lessons", pipeline, world.now_ms)
    assert isinstance(issued, IssuedTicket)
    return issued.text


def intent_of(actions: list[Any]) -> tuple[SendToBackup, Intent]:
    sent = [action for action in actions if isinstance(action, SendToBackup)]
    assert len(sent) == 1
    message = sent[0].message
    assert isinstance(message, Intent)
    return sent[0], message


def acknowledge(world: World, actions: list[Any]) -> list[Any]:
    sent, intent = intent_of(actions)
    acknowledged = IntentAcknowledged(
        intent.ticket, intent.backup_incarnation, intent.intended.stage
    )
    return world.feed(BackupAnswered(sent.correlation_id, intent, acknowledged))


class TestRepeatableRequest:
    def test_runs_its_stages_in_order_and_answers_completely(self) -> None:
        world = World()
        encode = started(world.send("draft"))
        generate = started(world.output(encode, "vector"))
        assert generate.input == "vector"
        world.tokens(generate, 0, "a", "b")
        world.tokens(generate, 2, "c")
        result = answer(world.end(generate, 3)).outcome
        assert (result.kind, result.output) == (OutcomeKind.ANSWERED, "abc")
        assert [stage.name for stage in result.stages] == ["encode", "generate"]

    def test_retries_only_a_failed_stage_on_another_server(self) -> None:
        world = World()
        encode = started(world.send("draft"))
        generate = started(world.output(encode))
        world.feed(failed(generate))
        again = started(world.advance(500))
        assert again.stage == "generate"
        assert again.server != generate.server

    def test_resumes_a_cut_stream_at_the_received_offset(self) -> None:
        world = World()
        generate = started(world.output(started(world.send("draft"))))
        world.tokens(generate, 0, "a", "b")
        world.feed(failed(generate, FailureReason.CUT))
        again = started(world.advance(500))
        assert again.resume_offset == 2
        world.tokens(again, 2, "c")
        assert answer(world.end(again, 3)).outcome.output == "abc"

    def test_accepts_an_overlapping_part_that_agrees(self) -> None:
        world = World()
        generate = started(world.output(started(world.send("draft"))))
        world.tokens(generate, 0, "a", "b")
        world.tokens(generate, 1, "b", "c")
        assert answer(world.end(generate, 3)).outcome.output == "abc"

    @pytest.mark.parametrize("offset", [1, 5])
    def test_cancels_a_stream_that_contradicts_or_leaves_a_gap(
        self, offset: int
    ) -> None:
        world = World()
        generate = started(world.output(started(world.send("draft"))))
        world.tokens(generate, 0, "a", "b")
        actions = world.tokens(generate, offset, "x", "y")
        assert CancelAttempt(generate.attempt_id, generate.server) in actions
        assert world.state.counters.wrong_answers_dropped == 1

    def test_starts_again_after_more_tokens_than_announced(self) -> None:
        world = World()
        generate = started(world.output(started(world.send("draft"))))
        world.tokens(generate, 0, "a", "b", "c")
        assert not [a for a in world.end(generate, 2) if isinstance(a, StartAttempt)]
        assert started(world.advance(500)).resume_offset == 0

    def test_drops_an_answer_with_another_id(self) -> None:
        world = World()
        encode = started(world.send("draft"))
        world.feed(OutputArrived(encode.attempt_id, "other", "stolen", 0))
        assert world.state.counters.wrong_answers_dropped == 1
        assert started(world.advance(500)).stage == "encode"

    def test_drops_an_answer_after_the_outcome(self) -> None:
        world = World()
        encode = started(world.send("draft", left_ms=900))
        result = answer(world.advance(900)).outcome
        assert result.kind is OutcomeKind.FAILED
        assert world.output(encode) == []
        assert world.state.counters.late_answers_dropped == 1

    def test_separates_equal_request_ids_of_two_workspaces(self) -> None:
        world = World()
        first = started(world.send("draft", waiter="w1"))
        second = started(world.send("draft", workspace="rosters", waiter="w2"))
        assert first.attempt_id != second.attempt_id
        generate = started(world.output(second, "second"))
        world.tokens(generate, 0, "s")
        ended = answer(world.end(generate, 1))
        assert ended.waiter == "w2"
        assert kept_outcome(world.state, "lessons", "r1", world.now_ms) is not None
        assert not isinstance(
            kept_outcome(world.state, "lessons", "r1", world.now_ms), Outcome
        )

    def test_joins_a_repeated_request_to_the_running_one(self) -> None:
        world = World()
        encode = started(world.send("draft", waiter="w1"))
        assert world.send("draft", waiter="w2") == []
        generate = started(world.output(encode))
        world.tokens(generate, 0, "a")
        ended = answers(world.end(generate, 1))
        assert [found.waiter for found in ended] == ["w1", "w2"]

    def test_refuses_a_used_id_with_another_input(self) -> None:
        world = World()
        world.send("draft", waiter="w1")
        refused = answer(world.send("draft", input_="other", waiter="w2"))
        assert refused.outcome.reason == "request_id_reused"

    def test_keeps_the_outcome_of_a_caller_that_went_away(self) -> None:
        world = World()
        encode = started(world.send("draft"))
        world.feed(WaiterGone("w1"))
        generate = started(world.output(encode))
        world.tokens(generate, 0, "a")
        world.end(generate, 1)
        kept = kept_outcome(world.state, "lessons", "r1", world.now_ms)
        assert isinstance(kept, Outcome)
        assert kept.output == "a"

    def test_says_not_run_when_no_server_was_reached(self) -> None:
        world = World()
        attempt = started(world.send("draft", left_ms=400))
        while not answers(world.actions):
            world.feed(failed(attempt, FailureReason.NOT_CONNECTED))
            # Leaves no attempt in flight, since that one might still run.
            while not answers(world.actions):
                starts = [a for a in world.advance(1) if isinstance(a, StartAttempt)]
                if starts:
                    attempt = starts[0]
                    break
        ended = answers(world.actions)[0].outcome
        assert ended.kind is OutcomeKind.NOT_RUN
        assert ended.retry_after_ms is not None

    def test_refuses_at_once_while_draining(self) -> None:
        world = World()
        world.feed(DrainOrdered())
        refused = answer(world.send("draft")).outcome
        assert (refused.kind, refused.reason) == (OutcomeKind.NOT_RUN, "shutting_down")
        assert refused.retry_after_ms is not None


class TestNonRepeatableRequest:
    def test_is_offered_a_ticket_and_starts_nothing(self) -> None:
        world = World()
        (offered,) = world.send("signup")
        assert isinstance(offered, TicketNeeded)
        assert not world.state.requests

    def test_writes_only_after_the_backup_recorded_the_intent(self) -> None:
        world = World(with_backup=True)
        actions = world.send("signup", ticket=ticket_of(world))
        assert not [a for a in actions if isinstance(a, StartAttempt)]
        enrol = started(acknowledge(world, actions))
        assert enrol.needs_permission
        assert world.connect(enrol) == [PermitWrite(enrol.attempt_id)]
        assert answer(world.output(enrol)).outcome.kind is OutcomeKind.ANSWERED

    def test_names_the_server_on_which_it_runs_in_the_intent(self) -> None:
        world = World(with_backup=True)
        actions = world.send("signup", ticket=ticket_of(world))
        _, intent = intent_of(actions)
        enrol = started(acknowledge(world, actions))
        assert intent.intended.server == enrol.server.name
        assert intent.intended.attempt_id == enrol.attempt_id

    def test_is_never_retried_once_written(self) -> None:
        world = World()
        enrol = started(world.send("signup", ticket=ticket_of(world)))
        world.connect(enrol)
        result = answer(world.feed(failed(enrol))).outcome
        assert result.kind is OutcomeKind.UNKNOWN
        assert not world.advance(5_000)

    def test_connects_elsewhere_when_nothing_was_written(self) -> None:
        world = World()
        enrol = started(world.send("signup", ticket=ticket_of(world)))
        world.feed(failed(enrol, FailureReason.NOT_CONNECTED))
        again = started(world.advance(500))
        assert again.server != enrol.server
        assert world.connect(again) == [PermitWrite(again.attempt_id)]

    def test_does_not_write_after_the_deadline_passed_in_a_pause(self) -> None:
        world = World()
        enrol = started(world.send("signup", ticket=ticket_of(world)))
        world.freeze(10_000)
        actions = world.connect(enrol)
        assert not [a for a in actions if isinstance(a, PermitWrite)]
        assert answer(actions).outcome.kind is OutcomeKind.NOT_RUN

    def test_does_not_write_after_the_ticket_expired_in_a_pause(self) -> None:
        world = World()
        ticket = ticket_of(world)
        enrol = started(world.send("signup", ticket=ticket, left_ms=90_000))
        world.freeze(61_000)
        actions = world.connect(enrol)
        assert not [a for a in actions if isinstance(a, PermitWrite)]

    def test_answers_duplicates_with_the_outcome_of_the_first(self) -> None:
        world = World()
        ticket = ticket_of(world)
        enrol = started(world.send("signup", ticket=ticket, waiter="w1"))
        assert world.send("signup", ticket=ticket, waiter="w2") == []
        world.connect(enrol)
        world.output(enrol, "enrolled")
        third = answer(world.send("signup", ticket=ticket, waiter="w3"))
        assert third.outcome.output == "enrolled"

    def test_refuses_a_ticket_of_another_workspace(self) -> None:
        world = World()
        ticket = ticket_of(world)
        (refused,) = world.send("signup", ticket=ticket, workspace="rosters")
        assert isinstance(refused, TicketRefused)

    def test_reports_not_run_when_the_backup_refuses(self) -> None:
        world = World(with_backup=True)
        sent, intent = intent_of(world.send("signup", ticket=ticket_of(world)))
        refusal = IntentRefused(
            intent.ticket, intent.backup_incarnation, "enrol", RefusalReason.REVOKED
        )
        result = answer(
            world.feed(BackupAnswered(sent.correlation_id, intent, refusal))
        )
        assert result.outcome.kind is OutcomeKind.NOT_RUN

    def test_ignores_an_acknowledgement_after_it_gave_up(self) -> None:
        world = World(with_backup=True)
        actions = world.send("signup", ticket=ticket_of(world))
        sent, intent = intent_of(actions)
        result = answer(world.feed(BackupSilent(sent.correlation_id, intent)))
        assert result.outcome.kind is OutcomeKind.NOT_RUN
        assert acknowledge(world, actions) == []

    def test_reports_each_stage_when_the_second_is_refused(self) -> None:
        world = World(with_backup=True)
        actions = world.send("order", ticket=ticket_of(world, "order"))
        charge = started(acknowledge(world, actions))
        world.connect(charge)
        sent, intent = intent_of(world.output(charge))
        assert [stage.name for stage in intent.ended] == ["charge"]
        result = answer(world.feed(BackupSilent(sent.correlation_id, intent))).outcome
        assert result.kind is OutcomeKind.FAILED
        kinds = {stage.name: stage.kind for stage in result.stages}
        assert kinds == {
            "charge": OutcomeKind.ANSWERED,
            "print": OutcomeKind.NOT_RUN,
        }


class TestForwardedRequest:
    def ticket_of_another(self, world: World) -> str:
        other = World(with_backup=True)
        other.state.me = other.state.me._replace(address="127.0.0.1:7009")
        other.state.primary_tickets.me = other.state.me
        return ticket_of(other)

    def test_goes_to_the_primary_and_then_to_the_backup(self) -> None:
        world = World()
        (sent,) = world.send("signup", ticket=self.ticket_of_another(world))
        assert isinstance(sent, ForwardToPrimary)
        (revoking,) = world.feed(PrimarySilent(sent.forward_id))
        assert isinstance(revoking, SendToBackup)
        assert isinstance(revoking.message, Revoke)
        revoked = Revoked(revoking.message.ticket)
        result = answer(
            world.feed(
                BackupAnswered(revoking.correlation_id, revoking.message, revoked)
            )
        )
        assert result.outcome.kind is OutcomeKind.NOT_RUN

    def test_is_unknown_when_nobody_answers(self) -> None:
        world = World()
        (sent,) = world.send("signup", ticket=self.ticket_of_another(world))
        assert isinstance(sent, ForwardToPrimary)
        (revoking,) = world.feed(PrimarySilent(sent.forward_id))
        assert isinstance(revoking, SendToBackup)
        result = answer(
            world.feed(BackupSilent(revoking.correlation_id, revoking.message))
        )
        assert result.outcome.kind is OutcomeKind.UNKNOWN

    def test_is_told_that_the_primary_is_gone_by_its_successor(self) -> None:
        world = World()
        ticket = ticket_of(world)
        world.state.me = world.state.me._replace(incarnation="incarnation-2")
        world.state.primary_tickets.me = world.state.me
        (sent,) = world.send("signup", ticket=ticket, is_forwarded=True)
        assert sent == ForwardAnswer("w1", "r1", PrimaryGone())


class TestNewConfiguration:
    def test_changes_the_retry_ratio(self) -> None:
        world = World()
        old = world.state.configuration
        limits = old.limits._replace(retry_ratio_percent=77)
        newer = old._replace(revision=old.revision + 1, limits=limits)
        world.feed(ConfigurationAccepted(newer))
        assert world.state.retry_budget.ratio_percent == 77


class TestSlowPipeline:
    """Requests whose deadline is shorter than a pipeline's past latency."""

    def slow_pipeline_world(self) -> World:
        world = World()
        for number in range(20):
            encode = started(world.send("draft", request_id=f"slow-{number}"))
            world.advance(900)
            generate = started(world.output(encode))
            world.tokens(generate, 0, "a")
            world.end(generate, 1)
        return world

    def test_admits_a_probe_despite_a_short_deadline(self) -> None:
        world = self.slow_pipeline_world()
        encode = started(world.send("draft", request_id="short", left_ms=300))
        generate = started(world.output(encode))
        world.tokens(generate, 0, "a")
        assert answer(world.end(generate, 1)).outcome.kind is OutcomeKind.ANSWERED

    def test_refuses_while_another_request_runs(self) -> None:
        world = self.slow_pipeline_world()
        started(world.send("draft", request_id="first", left_ms=300))
        refused = answer(world.send("draft", request_id="second", left_ms=300))
        assert refused.outcome.kind is OutcomeKind.NOT_RUN

    def test_probes_at_most_once_a_second(self) -> None:
        world = self.slow_pipeline_world()
        encode = started(world.send("draft", request_id="first", left_ms=300))
        generate = started(world.output(encode))
        world.tokens(generate, 0, "a")
        world.end(generate, 1)
        refused = answer(world.send("draft", request_id="second", left_ms=300))
        assert refused.outcome.kind is OutcomeKind.NOT_RUN
        world.advance(1_000)
        started(world.send("draft", request_id="third", left_ms=300))
