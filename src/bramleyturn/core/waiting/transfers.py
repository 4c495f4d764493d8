"""Decide how long to read an answer whose size grows with the deployment.

Load pattern handled here: many instances that read a large document at the same time,
each over a small link that other traffic shares. A time limit for the whole answer
would break off every attempt at the same point, and none would ever get through. So an
answer that has begun is read for as long as it makes progress. One that only trickles
is given up, however regular its bytes are.
"""

from typing import Final

from bramleyturn.core.units import MS_PER_S

# About a hundredth of the smallest link. A page of the store of 1 MB may take a minute,
# a byte now and then buys no time.
MIN_BYTES_PER_S: Final = 16 * 1024


class Transfer:
    """Hold how far an answer has arrived.

    Its first byte must arrive within ``first_byte_ms``, and each further one within
    ``gap_ms`` of the one before. With a gap of None the whole answer must arrive within
    ``first_byte_ms``.
    """

    def __init__(self, now_ms: int, first_byte_ms: int, gap_ms: int | None) -> None:
        self.give_up_ms = now_ms + first_byte_ms
        self.gap_ms = gap_ms
        self.begun_ms: int | None = None
        self.received_bytes = 0


def note_received(transfer: Transfer, size_bytes: int, now_ms: int) -> None:
    """Record received bytes, and put off the time at which to give up."""
    if transfer.gap_ms is None:
        return
    if transfer.begun_ms is None:
        transfer.begun_ms = now_ms
    transfer.received_bytes += size_bytes
    earned_ms = transfer.received_bytes * MS_PER_S // MIN_BYTES_PER_S
    slowest_ms = transfer.begun_ms + transfer.gap_ms + earned_ms
    transfer.give_up_ms = min(now_ms + transfer.gap_ms, slowest_ms)
