"""Check that requests with a crashing prompt part do not reach servers for ever."""

from random import Random
from typing import Any, Final, NamedTuple

CONTACT_MS: Final = 3_000
CRASHES_FIRST: Final = 5
MAX_LATE_REQUESTS: Final = 3
CRASHING_PART: Final = "c4a5"
# The part stands between one that all drafts share and the request's own.
PROMPT: Final = f"aa:80,{CRASHING_PART}:40,bb:20"
CRASH_POINTS: Final = ("nothing", "head", "event")


class Disturbance(NamedTuple):
    """Hold when an entry was paused, or gone until it was started again."""

    entry: int
    from_ms: int
    to_ms: int
    is_restart: bool


class Arrival(NamedTuple):
    """Hold a request with the part that a server ran, and the entry that sent it."""

    attempt_id: str
    entry: int
    at_ms: int


def draw_crash(seed: int) -> dict[str, Any]:
    """Return when engines crash on the part, of a seed."""
    random = Random(seed)
    return {
        "ids": [CRASHING_PART],
        "point": random.choice(CRASH_POINTS),
        "after_ms": random.choice((0, 30, 120)),
    }


def find_late_arrivals(
    arrivals: list[Arrival], disturbances: list[Disturbance], known_since_ms: int
) -> list[str]:
    """Return the requests that entries in touch sent after the fifth crash, if many.

    Each of the requests crashed its server as it arrived, or shortly after. Those up to
    ``known_since_ms`` don't count, since no entry was left then to know of crashes.
    """
    counted = [each for each in arrivals if each.at_ms > known_since_ms]
    if len(counted) < CRASHES_FIRST:
        return []
    crashed_ms = sorted(each.at_ms for each in counted)[CRASHES_FIRST - 1]
    late = [
        each
        for each in counted
        if each.at_ms > crashed_ms + CONTACT_MS
        and not _is_disturbed(each, disturbances)
    ]
    if len(late) <= MAX_LATE_REQUESTS:
        return []
    return [f"sent to a server, which crashed: {each.attempt_id}" for each in late]


def last_loss_ms(disturbances: list[Disturbance]) -> int:
    """Return when one of two entries last started before the other could tell it."""
    restarts = [each for each in disturbances if each.is_restart]
    return max(
        (
            max(one.to_ms, other.to_ms)
            for one in restarts
            for other in restarts
            if one.entry != other.entry
            and one.from_ms <= other.to_ms + CONTACT_MS
            and other.from_ms <= one.to_ms + CONTACT_MS
        ),
        default=0,
    )


def _is_disturbed(arrival: Arrival, disturbances: list[Disturbance]) -> bool:
    return any(
        each.entry == arrival.entry
        and each.from_ms < arrival.at_ms < each.to_ms + CONTACT_MS
        for each in disturbances
    )
