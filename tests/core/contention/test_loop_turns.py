"""Test that connections share the turns of the event loop."""

from collections.abc import Callable
from typing import Final

from bramleyturn.core.contention.loop_turns import (
    LIGHT_UNITS_PER_S,
    UNITS_PER_TURN,
    UNITS_PER_VISIT,
    LoopTurns,
    Usage,
    has_units,
    leave,
    use_units,
    wait_for_turn,
)

STEP_UNITS: Final = 10
CROWD: Final = 200


class Loop:
    """Run turns that connections with much to parse share."""

    def __init__(self) -> None:
        self.scheduled: list[Callable[[], None]] = []
        self.turns = LoopTurns(lambda: 0, self.scheduled.append)
        self.used_units = 0

    def connect(
        self, units: int, used_before: int = 0, step_units: int = STEP_UNITS
    ) -> Usage:
        """Return a connection that waits to parse so many units."""
        left = units

        def work() -> None:
            nonlocal left
            while left > 0 and has_units(self.turns, usage):
                left -= step_units
                self.used_units += step_units
                use_units(self.turns, usage, step_units)
            if left > 0:
                wait_for_turn(self.turns, usage)

        usage = Usage(work)
        usage.units_this_second = used_before
        wait_for_turn(self.turns, usage)
        return usage

    def turn(self) -> int:
        """Run one turn; return the units that were used in it."""
        before = self.used_units
        due, self.scheduled[:] = list(self.scheduled), []
        for begin in due:
            begin()
        return self.used_units - before


class TestCrowd:
    """Many connections have much to parse.

    Guards against turns that grow with what callers send, and against ordinary callers
    that wait until all of it is parsed.
    """

    def test_turn_is_bounded_and_all_is_parsed(self) -> None:
        loop = Loop()
        for _ in range(CROWD):
            loop.connect(10 * UNITS_PER_VISIT)
        used = []
        while loop.scheduled:
            used.append(loop.turn())
        assert max(used) <= UNITS_PER_TURN + STEP_UNITS
        assert sum(used) == CROWD * 10 * UNITS_PER_VISIT

    def test_caller_that_used_little_does_not_wait_for_the_crowd(self) -> None:
        loop = Loop()
        for _ in range(CROWD):
            loop.connect(10 * UNITS_PER_VISIT, used_before=LIGHT_UNITS_PER_S + 1)
        loop.turn()
        ordinary = loop.connect(UNITS_PER_VISIT)
        loop.turn()
        assert not ordinary.is_waiting

    def test_costly_requests_of_a_crowd_do_not_use_up_every_turn(self) -> None:
        loop = Loop()
        for _ in range(CROWD):
            loop.connect(
                UNITS_PER_TURN, LIGHT_UNITS_PER_S + 1, step_units=UNITS_PER_TURN
            )
        ordinary = loop.connect(UNITS_PER_VISIT)
        loop.turn()
        loop.turn()
        assert not ordinary.is_waiting

    def test_crowd_is_served_beside_many_that_use_little(self) -> None:
        loop = Loop()
        heavy = loop.connect(STEP_UNITS, used_before=LIGHT_UNITS_PER_S + 1)
        for _ in range(CROWD):
            loop.connect(UNITS_PER_VISIT)
        loop.turn()
        assert not heavy.is_waiting

    def test_connection_that_has_ended_is_not_served(self) -> None:
        loop = Loop()
        ended = loop.connect(UNITS_PER_VISIT)
        leave(ended)
        assert loop.turn() == 0
