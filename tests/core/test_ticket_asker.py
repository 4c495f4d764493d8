"""Tests of how an entry asks the primary and the backup about a ticket."""

from bramleyturn.core.outcomes import Outcome, OutcomeKind, StageOutcome
from bramleyturn.core.ticket_asker import (
    AskBackup,
    Asking,
    AskLater,
    AskPrimary,
    Verdict,
    WrongInput,
    give_up,
    on_backup_answer,
    on_backup_unreachable,
    on_primary_answer,
    on_primary_unreachable,
    resume_asking,
    start_asking,
)
from bramleyturn.core.ticket_messages import (
    BackupGone,
    BackupUnsure,
    InputDiffers,
    IntendedStage,
    IntentsRecorded,
    OutcomeCopied,
    PrimaryFinished,
    PrimaryGone,
    PrimaryRunning,
    Revoked,
    UnsureReason,
)
from bramleyturn.core.tickets import ProcessRef, Ticket

PRIMARY = ProcessRef("127.0.0.1:7010", "aa01")
BACKUP = ProcessRef("127.0.0.1:7020", "bb01")
ENTRY = ProcessRef("127.0.0.1:7030", "cc01")
TICKET = Ticket(1, "lessons", "packet-order", PRIMARY, BACKUP, 1000, 1000)
ANSWERED = Outcome(OutcomeKind.ANSWERED, "")
WHERE = IntendedStage("charge", "server-1", "attempt-1")
ORDER = StageOutcome("order", OutcomeKind.ANSWERED, 1, 5, 7)


def asking(ticket: Ticket = TICKET) -> Asking:
    return start_asking(ticket, "digest", ("order", "charge", "print"), ENTRY)


def asking_gone() -> Asking:
    return on_primary_answer(asking(), PrimaryGone())[0]


def kind(step: object) -> OutcomeKind:
    assert isinstance(step, Verdict)
    return step.outcome.kind


class TestPrimary:
    def test_is_asked_first(self) -> None:
        assert resume_asking(asking()) == AskPrimary(PRIMARY)

    def test_answer_decides_the_next_step(self) -> None:
        _, finished = on_primary_answer(asking(), PrimaryFinished(ANSWERED))
        assert finished == Verdict(ANSWERED)
        _, running = on_primary_answer(asking(), PrimaryRunning(50))
        assert running == AskLater(50)
        _, differs = on_primary_answer(asking(), InputDiffers())
        assert differs == WrongInput()

    def test_unreachable_the_backup_is_asked_to_revoke(self) -> None:
        _, step = on_primary_unreachable(asking())
        assert isinstance(step, AskBackup)
        assert step.backup == BACKUP
        assert not step.message.primary_gone

    def test_restarted_it_asks_the_backup_itself(self) -> None:
        me = PRIMARY._replace(incarnation="aa02")
        step = resume_asking(start_asking(TICKET, "digest", (), me))
        assert isinstance(step, AskBackup)
        assert step.message.primary_gone

    def test_unreachable_without_a_backup_is_unknown(self) -> None:
        alone = asking(TICKET._replace(backup=None))
        assert kind(on_primary_unreachable(alone)[1]) is OutcomeKind.UNKNOWN


class TestBackup:
    def test_not_run_tells_when_to_send_again(self) -> None:
        _, verdict = on_backup_answer(asking(), Revoked(TICKET.ref))
        assert isinstance(verdict, Verdict)
        assert verdict.outcome.retry_after_ms is not None

    def test_revoked_is_not_run(self) -> None:
        _, step = on_backup_answer(asking(), Revoked(TICKET.ref))
        assert kind(step) is OutcomeKind.NOT_RUN

    def test_copied_outcome_is_returned_only_for_the_same_input(self) -> None:
        copied = OutcomeCopied(TICKET.ref, "digest", ANSWERED)
        assert on_backup_answer(asking(), copied)[1] == Verdict(ANSWERED)
        other = copied._replace(input_digest="other")
        assert on_backup_answer(asking(), other)[1] == WrongInput()

    def test_both_gone_is_unknown(self) -> None:
        _, step = on_backup_answer(asking_gone(), BackupGone("bb01"))
        assert kind(step) is OutcomeKind.UNKNOWN
        _, step = on_backup_unreachable(asking())
        assert kind(step) is OutcomeKind.UNKNOWN

    def test_a_backup_that_forgot_is_unknown(self) -> None:
        unsure = BackupUnsure(TICKET.ref, UnsureReason.FORGOTTEN)
        assert kind(on_backup_answer(asking(), unsure)[1]) is OutcomeKind.UNKNOWN

    def test_a_recorded_intent_is_pending_while_the_primary_may_live(self) -> None:
        answer = IntentsRecorded(TICKET.ref, "digest", (WHERE,), (), False)
        _, step = on_backup_answer(asking(), answer)
        assert isinstance(step, AskLater)
        assert kind(give_up(asking())) is OutcomeKind.UNKNOWN

    def test_a_gone_primary_gives_an_outcome_per_stage_and_cancels_orphans(
        self,
    ) -> None:
        intended = (WHERE._replace(stage="order"), WHERE)
        answer = IntentsRecorded(TICKET.ref, "digest", intended, (ORDER,), True)
        _, step = on_backup_answer(asking_gone(), answer)
        assert isinstance(step, Verdict)
        assert step.outcome.kind is OutcomeKind.UNKNOWN
        assert step.cancel == (WHERE,)
        kinds = {stage.name: stage.kind for stage in step.outcome.stages}
        assert kinds == {"order": "answered", "charge": "unknown", "print": "not_run"}

    def test_stages_that_may_still_start_are_unknown(self) -> None:
        answer = IntentsRecorded(TICKET.ref, "digest", (WHERE,), (ORDER,), False)
        _, step = on_backup_answer(asking_gone(), answer)
        assert isinstance(step, Verdict)
        kinds = {stage.name: stage.kind for stage in step.outcome.stages}
        assert kinds["print"] is OutcomeKind.UNKNOWN
