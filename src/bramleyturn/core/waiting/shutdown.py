"""Plan the shutdown of an instance from when it may have been asked to stop.

The platform kills a process when its grace period after SIGTERM is over. A process
whose event loop is late learns of SIGTERM late, and does late what it planned.
"""

from typing import Final, NamedTuple

# An instance accepts connections until the platform has taken it out of rotation.
LEAVE_ROTATION_MS: Final = 3_000
# Requests still in progress are answered this long before the process is killed, and
# the process ends later, when the answers have been sent.
END_MARGIN_MS: Final = 250
EXIT_MARGIN_MS: Final = 80
# A process whose loop is late answers until this long before it is killed.
LATEST_EXIT_MARGIN_MS: Final = 20
# Upper bound of the margin for delays of the event loop.
MAX_DELAY_MARGIN_MS: Final = 1_000
# Requests are never ended before the last sixth of the grace period.
LAST_PART: Final = 6


class Shutdown(NamedTuple):
    """Hold when an instance leaves the rotation, ends all requests and exits.

    Requests count as late from ``out_of_rotation_ms`` on. Idle connections are closed
    from ``closes_idle_ms`` on, when the platform has noticed for certain. From
    ``exits_ms`` on the process exits once everything that arrived is answered, and at
    ``exits_at_latest_ms`` in any case.
    """

    out_of_rotation_ms: int
    closes_idle_ms: int
    ends_ms: int
    exits_ms: int
    exits_at_latest_ms: int


def plan_shutdown(
    asked_ms: int, now_ms: int, grace_ms: int, loop_delay_ms: int
) -> Shutdown:
    """Return the times of a shutdown that begins now, in milliseconds.

    ``asked_ms`` is the earliest time at which SIGTERM may have been sent, and
    ``loop_delay_ms`` how late the event loop was at most before that.
    """
    killed_ms = asked_ms + grace_ms
    margin_ms = END_MARGIN_MS + min(loop_delay_ms, MAX_DELAY_MARGIN_MS)
    return Shutdown(
        out_of_rotation_ms=asked_ms + LEAVE_ROTATION_MS,
        closes_idle_ms=now_ms + LEAVE_ROTATION_MS,
        ends_ms=killed_ms - min(margin_ms, grace_ms // LAST_PART),
        exits_ms=killed_ms - EXIT_MARGIN_MS,
        exits_at_latest_ms=killed_ms - LATEST_EXIT_MARGIN_MS,
    )
