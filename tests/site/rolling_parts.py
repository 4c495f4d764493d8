"""Count how many requests with a crashing part reached servers, and what others got."""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from tests.site.rolling_callers import Attempt
from tests.site.rolling_checks import Stop
from tests.site.soak_parts import (
    CONTACT_MS,
    CRASHES_FIRST,
    Arrival,
    Disturbance,
    find_late_arrivals,
)

# An entry that has exited is back within this time.
RESTART_MS: Final = 3_000


class PartOutcome(NamedTuple):
    """Hold when the part crashed servers, and what became of requests.

    The shares are of sound streams of the same first part that a server ran at the
    caller's first attempt, before the first crash and from twice ``CONTACT_MS`` after
    the fifth one, or the last. ``late`` are arrivals that break the promise.
    """

    sent: int
    arrivals_ms: list[int]
    late: list[str]
    share_before: float
    share_after: float


def find_part_outcome(
    attempts: list[Attempt], stops: Iterable[Stop], ledger: dict[str, Any]
) -> PartOutcome:
    """Compare the attempts with what reached servers."""
    by_id = {attempt.id: attempt for attempt in attempts}
    ran = {
        (each["attempt_id"], each["began_ms"])
        for server in ledger.values()
        for each in server["ran"]
        if each["attempt_id"] in by_id
    }
    arrivals = sorted(
        (
            Arrival(attempt_id, by_id[attempt_id].place, began_ms)
            for attempt_id, began_ms in ran
            if by_id[attempt_id].has_crashing_part
        ),
        key=lambda each: each.at_ms,
    )
    times_ms = [each.at_ms for each in arrivals]
    first_ms = times_ms[0] if times_ms else 0
    fifth_ms = times_ms[:CRASHES_FIRST][-1] if times_ms else 0
    begun = {attempt_id for attempt_id, _ in ran}
    disturbances = [
        Disturbance(
            int(stop.entry.split("-")[1]),
            stop.sigterm_ms,
            stop.exited_ms + RESTART_MS,
            True,
        )
        for stop in stops
    ]
    sound = [
        each
        for each in attempts
        if each.kind == "streaming" and not each.has_crashing_part and each.is_first
    ]
    before = [each for each in sound if each.sent_ms < first_ms]
    after_ms = fifth_ms + 2 * CONTACT_MS
    after = [each for each in sound if each.sent_ms > after_ms]
    return PartOutcome(
        sum(each.has_crashing_part for each in attempts),
        [at_ms - first_ms for at_ms in times_ms],
        find_late_arrivals(arrivals, disturbances, known_since_ms=0),
        _share(before, begun),
        _share(after, begun),
    )


def _share(attempts: list[Attempt], begun: set[str]) -> float:
    return sum(each.id in begun for each in attempts) / max(1, len(attempts))
