"""Test how long an answer is read that is large, slow, stalled or trickling."""

from bramleyturn.core.waiting.transfers import (
    MIN_BYTES_PER_S,
    Transfer,
    note_received,
)

FIRST_BYTE_MS = 600
GAP_MS = 500


def end_of(sizes: list[tuple[int, int]], gap_ms: int | None = GAP_MS) -> int | None:
    """Return when a transfer is given up, None if all of it arrives.

    ``sizes`` has the pause before each part, and its bytes.
    """
    transfer = Transfer(0, FIRST_BYTE_MS, gap_ms)
    now_ms = 0
    for pause_ms, size_bytes in sizes:
        now_ms += pause_ms
        if now_ms >= transfer.give_up_ms:
            return transfer.give_up_ms
        note_received(transfer, size_bytes, now_ms)
    return None


class TestTransfer:
    """Answers whose bytes arrive at different speeds."""

    def test_large_page_on_a_small_link_is_read_to_its_end(self) -> None:
        assert end_of([(10, 12_500)] * 400) is None

    def test_large_page_on_a_link_that_others_fill_is_read_to_its_end(self) -> None:
        assert end_of([(400, 14_000)] * 70) is None

    def test_silent_call_ends_after_the_time_of_the_first_byte(self) -> None:
        assert end_of([(10_000, 1)]) == FIRST_BYTE_MS

    def test_stalled_answer_ends_after_a_gap_however_much_arrived(self) -> None:
        assert end_of([(10, 1_000_000), (10_000, 1)]) == 10 + GAP_MS

    def test_trickling_answer_ends(self) -> None:
        ended_ms = end_of([(GAP_MS - 1, 1)] * 100)
        assert ended_ms is not None
        assert ended_ms < 2 * GAP_MS + FIRST_BYTE_MS

    def test_answer_just_below_the_slowest_speed_ends(self) -> None:
        assert end_of([(100, MIN_BYTES_PER_S // 20)] * 100) is not None

    def test_without_a_gap_the_whole_answer_has_a_fixed_time(self) -> None:
        assert end_of([(10, 12_500)] * 400, gap_ms=None) == FIRST_BYTE_MS
