"""Let engines crash when they begin to write an answer on certain prompt parts."""

from enum import StrEnum
from typing import Any, NamedTuple

from bramleyturn.gateway.exchange import Exchange
from bramleyturn.platform.requests import PROMPT_PREFIX


class CrashPoint(StrEnum):
    """Name how much of its answer an engine has written when it crashes."""

    NOTHING = "nothing"
    HEAD = "head"
    EVENT = "event"


class CrashingParts(NamedTuple):
    """Hold the ids of the parts, and ``after_ms``, from the arrival to the crash."""

    ids: frozenset[str] = frozenset()
    point: CrashPoint = CrashPoint.HEAD
    after_ms: int = 0


def read_crashing_parts(document: dict[str, Any]) -> CrashingParts:
    """Return what a test asks for; raise ValueError if it is malformed."""
    return CrashingParts(
        frozenset(document.get("ids", ())),
        CrashPoint(document.get("point", CrashPoint.HEAD)),
        document.get("after_ms", 0),
    )


def shared_part_ids(exchange: Exchange) -> list[str]:
    """Return the ids of a request's prompt parts, without its own, the last one."""
    parts = exchange.header(PROMPT_PREFIX).split(",")
    return [part.partition(":")[0].strip() for part in parts[:-1]]


def has_crashing_part(crashing: CrashingParts, exchange: Exchange) -> bool:
    """Return whether a request has a part on which engines crash."""
    return not crashing.ids.isdisjoint(shared_part_ids(exchange))
