"""Run an entry process with another order of ticket dispatch and outcome copy.

Run as ``python -m scripts.ticket_variant VARIANT SETTINGS``. The variants replace
functions of the core in this process only, for comparison; none of them belongs to
the product.
"""

import sys
from collections.abc import Callable
from random import Random
from typing import Final

from bramleyturn.core import arrivals, forwarding, intents, permission
from bramleyturn.core.actions import Action, Answer, SendToBackup
from bramleyturn.core.entry import step
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import BackupAnswered, BackupSilent, Event
from bramleyturn.core.membership import Membership
from bramleyturn.core.ticket_backup import TicketBackup, revoke
from bramleyturn.core.ticket_messages import (
    BackupUnsure,
    OutcomeCopy,
    Revoke,
    RevokeAnswer,
    Revoked,
    UnsureReason,
)
from bramleyturn.core.ticket_primary import (
    TicketRecord,
    acknowledge_stage,
    ask_stage,
)
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.programs import entry
from bramleyturn.runtime import entry_loop

INTENT_BEFORE: Final = "intent-before"
COPY_LATE: Final = "copy-after-late"
COPY_EAGER: Final = "copy-after-eager"
NO_BACKUP: Final = "no-backup"
VARIANTS: Final = (INTENT_BEFORE, COPY_LATE, COPY_EAGER, NO_BACKUP)


def use_variant(name: str) -> None:
    """Replace functions of the core by those of a variant."""
    if name == NO_BACKUP:
        vars(arrivals)["choose_backup"] = no_backup
    if name in (COPY_LATE, COPY_EAGER):
        vars(permission)["ask_stage"] = ask_and_allow
        vars(intents)["revoke"] = revoke_unsure
        vars(forwarding)["revoke"] = revoke_unsure
    if name == COPY_EAGER:
        vars(entry_loop)["step"] = answer_after_copy()


def no_backup(
    _membership: Membership, _zone: str, _now_ms: int, _random: Random
) -> ProcessRef | None:
    """Choose no backup, whichever peers are alive."""
    return None


def ask_and_allow(record: TicketRecord, stage: str, now_ms: int) -> TicketRecord:
    """Allow a stage without waiting for the backup."""
    asked = ask_stage(record, stage, now_ms)
    backup = record.ticket.backup
    if backup is None:
        return asked
    return acknowledge_stage(asked, stage, backup.incarnation)


def revoke_unsure(backup: TicketBackup, message: Revoke, now_ms: int) -> RevokeAnswer:
    """Answer a revocation as a backup that learns of runs only after they ended."""
    answer = revoke(backup, message, now_ms)
    if isinstance(answer, Revoked):
        return BackupUnsure(message.ticket, UnsureReason.FORGOTTEN)
    return answer


def answer_after_copy() -> Callable[[EntryState, Event, int], list[Action]]:
    """Return a step that holds each answer back until its copy is acknowledged."""
    held_answers: dict[str, list[Action]] = {}

    def step_holding_answers(
        state: EntryState, event: Event, now_ms: int
    ) -> list[Action]:
        actions = step(state, event, now_ms)
        if isinstance(event, BackupAnswered | BackupSilent):
            actions += held_answers.pop(event.correlation_id, [])
        copies = [each for each in actions if is_copy(each)]
        if not copies:
            return actions
        correlation_id = next(
            each.correlation_id for each in copies if isinstance(each, SendToBackup)
        )
        held_answers[correlation_id] = [
            each for each in actions if isinstance(each, Answer)
        ]
        return [each for each in actions if not isinstance(each, Answer)]

    return step_holding_answers


def is_copy(action: Action) -> bool:
    """Tell whether an action copies an outcome to the backup."""
    return isinstance(action, SendToBackup) and isinstance(action.message, OutcomeCopy)


if __name__ == "__main__":
    use_variant(sys.argv.pop(1))
    entry.main()
