"""Bound what the bodies of answers in progress hold together.

Over the bound, only the largest one and the small ones are read on: the largest ends or
reaches the bound of one body, and then the next one is read on. Small ones have a bound
of their own over all: they may be many, and end late or never.
"""

from typing import Any, Final, Protocol

from bramleyturn.gateway.answer_bounds import MAX_BODY_BYTES, Bound
from bramleyturn.gateway.read_pauses import (
    PauseReason,
    ReadPauses,
    pause_reading,
    resume_reading,
)

# The body that is read on is not among them.
MAX_HELD_BYTES: Final = 2 * MAX_BODY_BYTES
# A body up to this size, the bound of an event, is always read on.
SMALL_BODY_BYTES: Final = 1024 * 1024
# Of all bodies with the one that is read on and the small ones.
MAX_ALL_BYTES: Final = MAX_HELD_BYTES + MAX_BODY_BYTES + 4 * SMALL_BODY_BYTES


class Holder(Protocol):
    """Hold the connection of an answer in progress."""

    transport: Any
    pauses: ReadPauses

    def end_at_bound(self, bound: Bound, size_bytes: int) -> None:
        """End the answer, because it exceeds a bound."""


class HeldBodies:
    """Hold the size of the body read so far of each connection with an answer."""

    def __init__(self) -> None:
        self.sizes: dict[Holder, int] = {}
        self.paused: set[Holder] = set()
        self.total = 0


def hold_body(held: HeldBodies, holder: Holder, size: int) -> None:
    """Add bytes of a body, and pause it and others if all hold too much.

    ``size`` is below 0 for bytes that are no longer held.
    """
    held.sizes[holder] = held.sizes.get(holder, 0) + size
    held.total += size
    if held.total > MAX_ALL_BYTES:
        largest = max(held.sizes, key=lambda each: held.sizes[each])
        largest.end_at_bound(Bound.BODIES_TOGETHER, held.sizes[largest])
    elif held.total > MAX_HELD_BYTES:
        _pause_all_but_largest(held)
    elif held.paused:
        _resume_all(held)


def release_body(held: HeldBodies, holder: Holder) -> None:
    """Forget a body whose answer has ended, and read on what waited for it."""
    size = held.sizes.pop(holder, 0)
    held.total -= size
    if not size:
        return
    held.paused.discard(holder)
    if held.total > MAX_HELD_BYTES:
        _pause_all_but_largest(held)
        return
    _resume_all(held)


def _resume_all(held: HeldBodies) -> None:
    for each in held.paused:
        resume_reading(each.pauses, each.transport, PauseReason.BODIES_TOGETHER)
    held.paused.clear()


def _pause_all_but_largest(held: HeldBodies) -> None:
    largest = max(held.sizes, key=lambda each: held.sizes[each])
    for each, size in held.sizes.items():
        is_paused = each is not largest and size > SMALL_BODY_BYTES
        if is_paused and each not in held.paused:
            held.paused.add(each)
            pause_reading(each.pauses, each.transport, PauseReason.BODIES_TOGETHER)
        elif not is_paused and each in held.paused:
            held.paused.discard(each)
            resume_reading(each.pauses, each.transport, PauseReason.BODIES_TOGETHER)
