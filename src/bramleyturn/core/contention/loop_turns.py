"""Divide the turns of the event loop among connections that have bytes to parse.

Load pattern handled here: peers that send much that takes long to parse, such as chunks
of one byte, header lines, or many requests ahead. A connection is parsed until it has
used its share, and then waits for a later turn. Those that used little lately, and
those that used much, are served alternately: ordinary ones do not wait for a crowd.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

from bramleyturn.core.units import MS_PER_S

# One unit is the cost of parsing one line: some 5 microseconds.
UNITS_PER_TURN: Final = 2_000
UNITS_PER_VISIT: Final = 200
# A connection that used more within a second counts as a heavy one.
LIGHT_UNITS_PER_S: Final = 2_000


class Usage:
    """Hold what one connection uses.

    ``left`` is what remains of its share. ``work`` is called when its turn has come.
    """

    def __init__(self, work: Callable[[], None]) -> None:
        self.work = work
        self.left = UNITS_PER_VISIT
        self.second = 0
        self.units_this_second = 0
        self.is_waiting = False


class LoopTurns:
    """Hold what is left of the current turn, and which connections wait for one.

    ``schedule`` is called with a function to run at the start of the next turn.
    """

    def __init__(
        self, now_ms: Callable[[], int], schedule: Callable[[Callable[[], None]], None]
    ) -> None:
        self.now_ms = now_ms
        self.schedule = schedule
        self.left = UNITS_PER_TURN
        self.is_scheduled = False
        self.light: deque[Usage] = deque()
        self.heavy: deque[Usage] = deque()
        self.is_light_next = True


def begin_visit(usage: Usage) -> None:
    """Give a connection its share anew, as it has received bytes or may go on."""
    usage.left = UNITS_PER_VISIT


def use_units(turns: LoopTurns, usage: Usage, units: int) -> None:
    """Record what parsing has cost."""
    second = turns.now_ms() // MS_PER_S
    if usage.second != second:
        usage.second = second
        usage.units_this_second = 0
    usage.units_this_second += units
    usage.left -= units
    turns.left -= units
    if turns.left <= UNITS_PER_TURN // 2:
        _schedule_turn(turns)


def has_units(turns: LoopTurns, usage: Usage) -> bool:
    """Return whether a connection may parse on in this turn."""
    return usage.left > 0 and turns.left > 0


def wait_for_turn(turns: LoopTurns, usage: Usage) -> None:
    """Call ``work`` of a connection once its turn has come."""
    if usage.is_waiting:
        return
    usage.is_waiting = True
    is_light = usage.units_this_second <= LIGHT_UNITS_PER_S
    (turns.light if is_light else turns.heavy).append(usage)
    _schedule_turn(turns)


def leave(usage: Usage) -> None:
    """Forget a connection that has ended, and what refers to it."""
    usage.is_waiting = False
    usage.work = _do_nothing


def begin_turn(turns: LoopTurns) -> None:
    """Serve the connections that wait, for as long as the turn lasts."""
    turns.is_scheduled = False
    turns.left = UNITS_PER_TURN
    while turns.left > 0 and (turns.light or turns.heavy):
        usage = _next_waiting(turns)
        if usage.is_waiting:
            usage.is_waiting = False
            begin_visit(usage)
            usage.work()
    if turns.light or turns.heavy:
        _schedule_turn(turns)


def _next_waiting(turns: LoopTurns) -> Usage:
    first, other = turns.light, turns.heavy
    if not turns.is_light_next:
        first, other = other, first
    turns.is_light_next = not turns.is_light_next
    return (first or other).popleft()


def _schedule_turn(turns: LoopTurns) -> None:
    if not turns.is_scheduled:
        turns.is_scheduled = True
        turns.schedule(lambda: begin_turn(turns))


def _do_nothing() -> None:
    """Stand in for the work of a connection that has ended."""
