"""Decide which cold servers an instance asks a turn for, and how long it waits.

Load pattern handled here: a burst at a pool some of whose servers are cold. Most
requests get no turn, and each that asks in vain waits for the answer and costs the
owner a message. So an instance that was told when the next turn is does not ask for
that run before, and does not ask at all for a while after an ask that had no answer.
"""

from collections.abc import Iterable
from typing import Final

from bramleyturn.core.coldstart.cold_runs import MAX_RUNS

# An owner that did not answer has crashed, is cut off or busy. This is shorter than the
# time after which a request asks again (``RETRY_MS``).
SILENCE_MS: Final = 200
# While warm servers are left, a request waits for a turn for this part of the time to
# its latency target, and for a short time only.
WAITED_PART: Final = 10
MAX_WAIT_MS: Final = 150


class AskTimes:
    """Hold when runs have their next turn, and until when the owner is not asked."""

    def __init__(self) -> None:
        self.next_ms: dict[str, int] = {}
        self.silent_until_ms = 0


def runs_to_ask(
    times: AskTimes, runs: Iterable[str], most_ms: int, now_ms: int
) -> list[str]:
    """Return the runs that may have a turn within ``most_ms``."""
    if now_ms < times.silent_until_ms:
        return []
    latest_ms = now_ms + most_ms
    return [run for run in runs if times.next_ms.get(run, 0) <= latest_ms]


def note_no_turn(
    times: AskTimes, runs: Iterable[str], wait_ms: int, now_ms: int
) -> None:
    """Record that none of the runs has a turn within ``wait_ms``."""
    if len(times.next_ms) > MAX_RUNS:
        times.next_ms = {
            run: next_ms for run, next_ms in times.next_ms.items() if next_ms > now_ms
        }
    for run in runs:
        times.next_ms[run] = now_ms + wait_ms


def note_silent_owner(times: AskTimes, now_ms: int) -> None:
    """Record that an ask had no answer in time."""
    times.silent_until_ms = now_ms + SILENCE_MS


def most_wait_ms(aim_left_ms: int, deadline_left_ms: int, has_warm: bool) -> int:
    """Return how long a request may wait for a turn."""
    if has_warm:
        return max(0, min(MAX_WAIT_MS, aim_left_ms // WAITED_PART))
    return max(0, deadline_left_ms // 2)
