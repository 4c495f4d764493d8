"""Tests of what the backup of a ticket records, revokes and forgets."""

from bramleyturn.core.outcomes import Outcome, OutcomeKind, StageOutcome
from bramleyturn.core.ticket_backup import (
    TicketBackup,
    forget_backup_records,
    record_intent,
    record_outcome,
    revoke,
)
from bramleyturn.core.ticket_messages import (
    BackupGone,
    BackupUnsure,
    CopyKept,
    IntendedStage,
    Intent,
    IntentAcknowledged,
    IntentRefused,
    IntentsRecorded,
    OutcomeCopied,
    OutcomeCopy,
    RefusalReason,
    Revoke,
    Revoked,
    UnsureReason,
)
from bramleyturn.core.tickets import ProcessRef, TicketRef

PRIMARY = ProcessRef("127.0.0.1:7010", "aa01")
ME = ProcessRef("127.0.0.1:7020", "bb01")
ANSWERED = Outcome(OutcomeKind.ANSWERED, "")


def new_backup(max_records: int = 8, max_primaries: int = 100) -> TicketBackup:
    return TicketBackup(ME, max_records, max_primaries, margin_ms=500)


def ticket(number: int = 1) -> TicketRef:
    return TicketRef(PRIMARY, number)


def intent(number: int = 1, stage: str = "order", incarnation: str = "bb01") -> Intent:
    where = IntendedStage(stage, "server-1", f"attempt-{stage}")
    return Intent(ticket(number), incarnation, 1000, "digest", where)


def revocation(number: int = 1, gone: bool = False) -> Revoke:
    return Revoke(ticket(number), "bb01", 1000, gone)


def copy(number: int = 1) -> OutcomeCopy:
    return OutcomeCopy(ticket(number), "bb01", 1000, "digest", ANSWERED)


def refused(number: int, reason: RefusalReason) -> IntentRefused:
    return IntentRefused(ticket(number), "bb01", "order", reason)


class TestIntent:
    def test_is_acknowledged_again_and_recorded_once(self) -> None:
        backup = new_backup()
        acknowledged = IntentAcknowledged(ticket(), "bb01", "order")
        assert record_intent(backup, intent(), 0) == acknowledged
        assert record_intent(backup, intent(), 0) == acknowledged
        assert len(backup.records[ticket()].intended) == 1

    def test_is_refused_after_a_revocation(self) -> None:
        backup = new_backup()
        assert revoke(backup, revocation(), 0) == Revoked(ticket())
        answer = record_intent(backup, intent(), 0)
        assert answer == refused(1, RefusalReason.REVOKED)

    def test_for_another_incarnation_is_answered_as_gone(self) -> None:
        backup = new_backup()
        message = intent(incarnation="bb00")
        assert record_intent(backup, message, 0) == BackupGone("bb00")
        assert not backup.records


class TestRevocation:
    def test_comes_too_late_after_an_intent(self) -> None:
        backup = new_backup()
        record_intent(backup, intent(), 0)
        answer = revoke(backup, revocation(), 0)
        assert isinstance(answer, IntentsRecorded)
        assert answer.intended[0].server == "server-1"
        assert not answer.closed

    def test_does_not_stop_a_running_request_of_a_cut_off_primary(self) -> None:
        backup = new_backup()
        record_intent(backup, intent(), 0)
        revoke(backup, revocation(), 0)
        answer = record_intent(backup, intent(stage="charge"), 0)
        assert isinstance(answer, IntentAcknowledged)

    def test_refuses_the_later_stages_of_a_gone_primary(self) -> None:
        backup = new_backup()
        record_intent(backup, intent(), 0)
        answer = revoke(backup, revocation(gone=True), 0)
        assert isinstance(answer, IntentsRecorded)
        assert answer.closed
        later = record_intent(backup, intent(stage="charge"), 0)
        assert isinstance(later, IntentRefused)
        again = record_intent(backup, intent(), 0)
        assert isinstance(again, IntentAcknowledged)

    def test_returns_the_copied_outcome(self) -> None:
        backup = new_backup()
        record_intent(backup, intent(), 0)
        assert record_outcome(backup, copy(), 0) == CopyKept(ticket(), kept=True)
        answer = revoke(backup, revocation(), 0)
        assert answer == OutcomeCopied(ticket(), "digest", ANSWERED)

    def test_returns_the_stages_that_ended(self) -> None:
        backup = new_backup()
        ended = (StageOutcome("order", OutcomeKind.ANSWERED, 1, 5, 7),)
        record_intent(backup, intent(), 0)
        record_intent(backup, intent(stage="charge")._replace(ended=ended), 0)
        answer = revoke(backup, revocation(), 0)
        assert isinstance(answer, IntentsRecorded)
        assert answer.ended == ended


class TestMemory:
    def test_a_revocation_is_kept_for_lifetime_and_margin(self) -> None:
        backup = new_backup()
        revoke(backup, revocation(), 100)
        assert forget_backup_records(backup, 1599) == 0
        assert forget_backup_records(backup, 1600) == 1

    def test_a_forgotten_ticket_is_neither_run_nor_declared_not_run(self) -> None:
        backup = new_backup()
        record_intent(backup, intent(number=2), 0)
        forget_backup_records(backup, 1500)
        unsure = BackupUnsure(ticket(2), UnsureReason.FORGOTTEN)
        assert revoke(backup, revocation(number=2), 1500) == unsure
        for number in (1, 2):
            answer = record_intent(backup, intent(number), 1500)
            assert answer == refused(number, RefusalReason.FORGOTTEN)
        assert record_outcome(backup, copy(2), 1500) == CopyKept(ticket(2), kept=False)
        newer = record_intent(backup, intent(number=3), 1500)
        assert isinstance(newer, IntentAcknowledged)

    def test_a_full_backup_refuses_and_forgets_nothing(self) -> None:
        backup = new_backup(max_records=4)
        for number in (1, 2, 3):
            record_intent(backup, intent(number), 0)
        assert record_intent(backup, intent(4), 0) == refused(4, RefusalReason.FULL)
        assert revoke(backup, revocation(4), 0) == Revoked(ticket(4))
        full = BackupUnsure(ticket(5), UnsureReason.FULL)
        assert revoke(backup, revocation(5), 0) == full
        assert record_outcome(backup, copy(5), 0) == CopyKept(ticket(5), kept=False)
        assert len(backup.records) == 4

    def test_the_number_of_remembered_primaries_is_limited(self) -> None:
        backup = new_backup(max_primaries=2)
        for incarnation in ("aa01", "aa02", "aa03"):
            primary = PRIMARY._replace(incarnation=incarnation)
            message = intent()._replace(ticket=TicketRef(primary, 1))
            record_intent(backup, message, 0)
        assert len(backup.records) == 2
        forget_backup_records(backup, 1500)
        assert len(backup.forgotten) == 2
