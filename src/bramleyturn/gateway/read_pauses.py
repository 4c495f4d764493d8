"""Pause the reading of a connection for as long as there is any reason for it."""

from enum import StrEnum
from typing import Any


class PauseReason(StrEnum):
    """Name why a server's answer is not read on for now."""

    BODIES_TOGETHER = "bodies_together"
    CALLER_IS_SLOW = "caller_is_slow"
    WAITS_FOR_TURN = "waits_for_turn"


class ReadPauses:
    """Hold the reasons for which a connection is not read."""

    def __init__(self) -> None:
        self.reasons: set[PauseReason] = set()


def pause_reading(pauses: ReadPauses, transport: Any, reason: PauseReason) -> None:
    """Stop to read a connection, unless it is not read already."""
    is_first = not pauses.reasons
    pauses.reasons.add(reason)
    if is_first:
        transport.pauseProducing()


def resume_reading(pauses: ReadPauses, transport: Any, reason: PauseReason) -> None:
    """Read a connection on, unless there is another reason not to."""
    if reason not in pauses.reasons:
        return
    pauses.reasons.discard(reason)
    if not pauses.reasons:
        transport.resumeProducing()


def end_pauses(pauses: ReadPauses, transport: Any) -> None:
    """Read a connection on, as no answer is due on it any more."""
    if pauses.reasons:
        pauses.reasons.clear()
        transport.resumeProducing()
