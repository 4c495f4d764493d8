"""Decide whether a request may start beside those that are in progress.

Load pattern handled here: the callers of one workspace have so many requests in
progress, or with such large bodies, that the process has no connections to servers, or
no memory, left for those of others.
"""

from collections import Counter
from typing import Final

# The part of all requests in progress that one holder may have.
HOLDER_SHARE: Final = 0.75


class InProgress:
    """Hold how many requests are in progress, and the bytes of their bodies.

    All together have ``most`` and ``most_bytes``. A holder is a workspace, or a route
    whose callers have none.
    """

    def __init__(self, most: int, most_bytes: int) -> None:
        self.most = most
        self.most_bytes = most_bytes
        self.total = 0
        self.total_bytes = 0
        self.by_holder: Counter[str] = Counter()
        self.bytes_by_holder: Counter[str] = Counter()


def may_start(in_progress: InProgress, holder: str, body_bytes: int) -> bool:
    """Return whether a request of a holder may start.

    A body of any size may if no other one is in progress.
    """
    requests = in_progress.by_holder[holder]
    held_bytes = in_progress.bytes_by_holder[holder]
    has_room = in_progress.total < in_progress.most and (
        requests < max(1, int(in_progress.most * HOLDER_SHARE))
    )
    if not body_bytes:
        return has_room
    total_bytes = in_progress.total_bytes + body_bytes
    has_bytes = not in_progress.total_bytes or total_bytes <= in_progress.most_bytes
    most_held_bytes = in_progress.most_bytes * HOLDER_SHARE
    is_within = not held_bytes or held_bytes + body_bytes <= most_held_bytes
    return has_room and has_bytes and is_within


def note_started(in_progress: InProgress, holder: str, body_bytes: int) -> None:
    """Record a request that starts."""
    in_progress.total += 1
    in_progress.total_bytes += body_bytes
    in_progress.by_holder[holder] += 1
    in_progress.bytes_by_holder[holder] += body_bytes


def note_ended(in_progress: InProgress, holder: str, body_bytes: int) -> None:
    """Record a request that has ended."""
    in_progress.total -= 1
    in_progress.total_bytes -= body_bytes
    in_progress.by_holder[holder] -= 1
    in_progress.bytes_by_holder[holder] -= body_bytes
    if not in_progress.by_holder[holder]:
        del in_progress.by_holder[holder]
        del in_progress.bytes_by_holder[holder]
