"""End the reading of an answer that no longer makes progress."""

from collections.abc import Callable
from typing import Any

from bramleyturn.core.units import MS_PER_S
from bramleyturn.core.waiting.transfers import Transfer, note_received
from bramleyturn.runtime.timers import stop_timer


def _do_nothing() -> None:
    """Do nothing."""


class TransferTimer:
    """Call ``give_up`` once the transfer of an answer is to be given up.

    Times are those of ``now_ms``; see core/waiting/transfers.py for the limits.
    """

    def __init__(
        self,
        reactor: Any,
        now_ms: Callable[[], int],
        first_byte_ms: int,
        gap_ms: int | None,
        give_up: Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.transfer = Transfer(now_ms(), first_byte_ms, gap_ms)
        self.give_up = give_up
        self.timer: Any = None
        self._wait(first_byte_ms)

    def received(self, size_bytes: int) -> None:
        """Note bytes of the answer."""
        note_received(self.transfer, size_bytes, self.now_ms())

    def stop(self) -> None:
        """Give up no more, as the answer has ended.

        What ``give_up`` refers to may refer to this: without this they form a cycle.
        """
        stop_timer(self.timer)
        self.timer = None
        self.give_up = _do_nothing

    def _wait(self, wait_ms: int) -> None:
        self.timer = self.reactor.callLater(wait_ms / MS_PER_S, self._check)

    def _check(self) -> None:
        left_ms = self.transfer.give_up_ms - self.now_ms()
        if self.transfer.begun_ms is not None and left_ms > 0:
            self._wait(left_ms)
        else:
            self.give_up()
