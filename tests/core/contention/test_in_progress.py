"""Test which requests may start beside those in progress."""

from typing import Final

from bramleyturn.core.contention.in_progress import (
    InProgress,
    may_start,
    note_ended,
    note_started,
)

MOST: Final = 100
MOST_BYTES: Final = 1_000


def start_all(in_progress: InProgress, holder: str, body_bytes: int = 0) -> int:
    """Start as many requests of a holder as may start; return their number."""
    started = 0
    while may_start(in_progress, holder, body_bytes):
        note_started(in_progress, holder, body_bytes)
        started += 1
    return started


class TestHolders:
    """The callers of one workspace have many requests in progress.

    Guards against a bound of all that one of them uses up.
    """

    def test_one_holder_leaves_a_part_to_others(self) -> None:
        in_progress = InProgress(MOST, MOST_BYTES)
        start_all(in_progress, "lessons")
        assert start_all(in_progress, "rosters") >= MOST // 5

    def test_all_together_are_bounded(self) -> None:
        in_progress = InProgress(MOST, MOST_BYTES)
        started = [start_all(in_progress, str(number)) for number in range(10)]
        assert sum(started) == MOST

    def test_bodies_of_one_holder_leave_a_part_to_others(self) -> None:
        in_progress = InProgress(MOST, MOST_BYTES)
        start_all(in_progress, "lessons", body_bytes=100)
        assert start_all(in_progress, "rosters", body_bytes=100) >= 2
        assert in_progress.total_bytes <= MOST_BYTES

    def test_body_larger_than_all_may_be_is_served_alone(self) -> None:
        in_progress = InProgress(MOST, MOST_BYTES)
        assert start_all(in_progress, "lessons", body_bytes=2 * MOST_BYTES) == 1

    def test_request_that_has_ended_makes_room(self) -> None:
        in_progress = InProgress(1, MOST_BYTES)
        note_started(in_progress, "lessons", 9)
        assert not may_start(in_progress, "lessons", 9)
        note_ended(in_progress, "lessons", 9)
        assert may_start(in_progress, "lessons", 9)
        assert (in_progress.total_bytes, in_progress.by_holder) == (0, {})
