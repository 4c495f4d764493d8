"""Run the turns of core/contention/loop_turns.py in the event loop."""

from collections.abc import Callable
from typing import Any

from bramleyturn.core.contention.loop_turns import LoopTurns


def loop_turns(reactor: Any, now_ms: Callable[[], int]) -> LoopTurns:
    """Return turns of the event loop that connections may share."""

    def schedule(begin: Callable[[], None]) -> None:
        reactor.callLater(0, begin)

    return LoopTurns(now_ms, schedule)
