"""Tests of how the primary of a ticket issues, dispatches, finishes and forgets."""

import pytest

from bramleyturn.core.outcomes import (
    SEND_AGAIN_MS,
    Outcome,
    OutcomeKind,
    StageOutcome,
    not_run,
)
from bramleyturn.core.ticket_messages import (
    InputDiffers,
    IntendedStage,
    PrimaryFinished,
    PrimaryGone,
    PrimaryRunning,
)
from bramleyturn.core.ticket_primary import (
    AlreadyFinished,
    Joined,
    NotIssued,
    NotStarted,
    Started,
    TicketPrimary,
    TicketRecord,
    TicketRefusal,
    acknowledge_stage,
    answer_entry,
    ask_stage,
    copy_message,
    end_stage,
    finish,
    forget_records,
    intent_message,
    issue_ticket,
    may_dispatch,
    receive_ticket,
    record_dispatch,
    refuse_stage,
    store_record,
    withdraw_dispatch,
)
from bramleyturn.core.tickets import ProcessRef, Ticket

ME = ProcessRef("127.0.0.1:7010", "aa01")
BACKUP = ProcessRef("127.0.0.1:7020", "bb01")
TICKET = Ticket(1, "lessons", "packet-order", ME, BACKUP, 1000, 1000)
RECORD = TicketRecord(TICKET, "digest")
ANSWERED = Outcome(OutcomeKind.ANSWERED, "")


def allowed(stage: str = "order") -> TicketRecord:
    return acknowledge_stage(ask_stage(RECORD, stage, 0), stage, "bb01")


def may(record: TicketRecord, now_ms: int = 0, incarnation: str = "aa01") -> bool:
    return may_dispatch(record, "order", incarnation, now_ms)


class TestMayDispatch:
    def test_only_after_the_acknowledgement(self) -> None:
        waiting = ask_stage(RECORD, "order", 0)
        assert not may(RECORD)
        assert not may(waiting)
        assert may(acknowledge_stage(waiting, "order", "bb01"))

    def test_at_once_without_a_backup(self) -> None:
        alone = TicketRecord(TICKET._replace(backup=None), "digest")
        assert may(ask_stage(alone, "order", 0))

    def test_not_from_the_instant_of_expiry(self) -> None:
        assert may(allowed(), now_ms=999)
        assert not may(allowed(), now_ms=1000)

    def test_not_in_another_incarnation(self) -> None:
        assert not may(allowed(), incarnation="aa02")

    def test_not_twice(self) -> None:
        assert not may(record_dispatch(allowed(), "order"))

    def test_again_when_no_byte_was_written(self) -> None:
        dispatched = record_dispatch(allowed(), "order")
        assert may(withdraw_dispatch(dispatched, "order"))

    def test_not_withdrawn_after_the_end(self) -> None:
        ended = end_stage(
            record_dispatch(allowed(), "order"),
            StageOutcome("order", OutcomeKind.FAILED, 1, 5, 0),
        )
        assert not may(withdraw_dispatch(ended, "order"))

    def test_not_for_another_stage(self) -> None:
        assert not may(allowed("charge"))

    def test_not_after_the_request_is_over(self) -> None:
        assert not may(finish(allowed(), not_run("deadline")))


class TestAcknowledgement:
    def test_after_a_refusal_is_ignored(self) -> None:
        refused = refuse_stage(ask_stage(RECORD, "order", 0), "order", "backup_timeout")
        assert acknowledge_stage(refused, "order", "bb01") == refused

    def test_from_another_incarnation_is_ignored(self) -> None:
        waiting = ask_stage(RECORD, "order", 0)
        assert acknowledge_stage(waiting, "order", "bb02") == waiting

    def test_a_refusal_does_not_undo_a_dispatch(self) -> None:
        dispatched = record_dispatch(allowed(), "order")
        assert refuse_stage(dispatched, "order", "revoked") == dispatched

    def test_a_stage_reached_after_expiry_is_refused(self) -> None:
        late = ask_stage(RECORD, "order", 1000)
        assert acknowledge_stage(late, "order", "bb01") == late


class TestFinish:
    def test_not_run_stands_when_nothing_was_dispatched(self) -> None:
        refused = refuse_stage(ask_stage(RECORD, "order", 0), "order", "revoked")
        outcome = finish(refused, not_run("revoked")).outcome
        assert outcome is not None
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert outcome.stages == (StageOutcome("order", OutcomeKind.NOT_RUN, 0, 0, 0),)

    @pytest.mark.parametrize("claimed", [OutcomeKind.NOT_RUN, OutcomeKind.FAILED])
    def test_a_stage_without_an_end_makes_it_unknown(
        self, claimed: OutcomeKind
    ) -> None:
        dispatched = record_dispatch(allowed(), "order")
        outcome = finish(dispatched, Outcome(claimed, "deadline")).outcome
        assert outcome is not None
        assert outcome.kind is OutcomeKind.UNKNOWN

    def test_refused_after_an_earlier_stage_ran_is_failed(self) -> None:
        order = StageOutcome("order", OutcomeKind.ANSWERED, 1, 5, 7)
        record = end_stage(record_dispatch(allowed(), "order"), order)
        record = refuse_stage(ask_stage(record, "charge", 0), "charge", "revoked")
        outcome = finish(record, not_run("revoked")).outcome
        assert outcome is not None
        assert outcome.kind is OutcomeKind.FAILED
        assert [stage.kind for stage in outcome.stages] == ["answered", "not_run"]

    def test_a_stage_that_the_server_declined_leaves_it_not_run(self) -> None:
        declined = StageOutcome("order", OutcomeKind.NOT_RUN, 1, 5, 0)
        record = end_stage(record_dispatch(allowed(), "order"), declined)
        outcome = finish(record, not_run("busy")).outcome
        assert outcome is not None
        assert outcome.kind is OutcomeKind.NOT_RUN

    def test_the_first_outcome_stands(self) -> None:
        finished = finish(RECORD, not_run("limit"))
        assert finish(finished, ANSWERED) == finished


class TestMessages:
    def test_an_intent_carries_the_ended_stages(self) -> None:
        order = StageOutcome("order", OutcomeKind.ANSWERED, 1, 5, 7)
        record = end_stage(record_dispatch(allowed(), "order"), order)
        message = intent_message(record, IntendedStage("charge", "server", "id"))
        assert message is not None
        assert message.backup_incarnation == "bb01"
        assert message.ended == (order,)

    def test_only_a_final_outcome_is_copied(self) -> None:
        assert copy_message(RECORD) is None
        copied = copy_message(finish(RECORD, ANSWERED))
        assert copied is not None
        assert copied.outcome == ANSWERED

    def test_without_a_backup_there_are_none(self) -> None:
        alone = TicketRecord(TICKET._replace(backup=None), "digest")
        assert intent_message(alone, IntendedStage("order", "server", "id")) is None
        assert copy_message(finish(alone, ANSWERED)) is None


class TestReceive:
    def test_copies_start_join_and_get_the_outcome(self) -> None:
        primary = TicketPrimary(ME, max_issued=4)
        first = receive_ticket(primary, TICKET, "digest", 0)
        second = receive_ticket(primary, TICKET, "digest", 0)
        assert isinstance(first, Started)
        assert isinstance(second, Joined)
        store_record(primary, finish(first.record, ANSWERED))
        third = receive_ticket(primary, TICKET, "digest", 5000)
        assert third == AlreadyFinished(ANSWERED)
        answers = [answer_entry(received, 50) for received in (first, second, third)]
        running = PrimaryRunning(50)
        assert answers == [running, running, PrimaryFinished(ANSWERED)]

    def test_another_input_is_refused(self) -> None:
        primary = TicketPrimary(ME, max_issued=4)
        receive_ticket(primary, TICKET, "digest", 0)
        received = receive_ticket(primary, TICKET, "other", 0)
        assert received == NotStarted(TicketRefusal.INPUT_DIFFERS, None)
        assert answer_entry(received, 50) == InputDiffers()

    def test_another_incarnation_or_process_starts_nothing(self) -> None:
        restarted = TicketPrimary(ME._replace(incarnation="aa02"), max_issued=4)
        received = receive_ticket(restarted, TICKET, "digest", 0)
        assert received == NotStarted(TicketRefusal.OTHER_INCARNATION, None)
        assert answer_entry(received, 50) == PrimaryGone()
        other = TicketPrimary(BACKUP, max_issued=4)
        received = receive_ticket(other, TICKET, "digest", 0)
        assert received == NotStarted(TicketRefusal.NOT_PRIMARY, None)
        assert not restarted.records
        assert not other.records

    def test_an_expired_ticket_without_a_record_did_not_run(self) -> None:
        primary = TicketPrimary(ME, max_issued=4)
        received = receive_ticket(primary, TICKET, "digest", 1000)
        assert isinstance(received, NotStarted)
        assert received.outcome == not_run("ticket_expired", SEND_AGAIN_MS)


class TestForget:
    def test_a_forgotten_ticket_is_unknown(self) -> None:
        primary = TicketPrimary(ME, max_issued=4)
        store_record(primary, finish(RECORD, ANSWERED))
        assert forget_records(primary, 1499, margin_ms=500) == 0
        assert forget_records(primary, 1500, margin_ms=500) == 1
        received = receive_ticket(primary, TICKET, "digest", 1500)
        assert isinstance(received, NotStarted)
        assert received.outcome is not None
        assert received.outcome.kind is OutcomeKind.UNKNOWN

    def test_a_ticket_forgotten_after_a_short_margin_is_not_declared_not_run(
        self,
    ) -> None:
        primary = TicketPrimary(ME, max_issued=4)
        store_record(primary, finish(RECORD, ANSWERED))
        forget_records(primary, 1001, margin_ms=1)
        received = receive_ticket(primary, TICKET, "digest", 1002)
        assert isinstance(received, NotStarted)
        assert received.reason is TicketRefusal.FORGOTTEN

    def test_a_running_request_is_not_forgotten(self) -> None:
        primary = TicketPrimary(ME, max_issued=4)
        store_record(primary, RECORD)
        store_record(
            primary, finish(RECORD._replace(ticket=TICKET._replace(number=2)), ANSWERED)
        )
        assert forget_records(primary, 9000, margin_ms=500) == 1
        assert list(primary.records) == [1]


class TestIssue:
    def test_numbers_count_up(self) -> None:
        primary = TicketPrimary(ME, max_issued=4)
        issued = [issue_ticket(primary, "w", "p", None, 0, 100, 10) for _ in range(3)]
        assert [t.number for t in issued if isinstance(t, Ticket)] == [1, 2, 3]

    def test_the_number_of_tickets_in_use_is_limited(self) -> None:
        primary = TicketPrimary(ME, max_issued=1)
        assert isinstance(issue_ticket(primary, "w", "p", None, 0, 100, 10), Ticket)
        assert issue_ticket(primary, "w", "p", None, 50, 100, 10) == NotIssued(60)
        assert isinstance(issue_ticket(primary, "w", "p", None, 110, 100, 10), Ticket)
