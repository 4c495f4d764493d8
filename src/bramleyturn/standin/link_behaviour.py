"""Describe the faults that can be injected into a link of the fault proxy."""

from enum import StrEnum
from typing import Any, NamedTuple


class Mode(StrEnum):
    """Name what a link does to its connections."""

    PASS = "pass"
    CUT = "cut"
    REFUSE = "refuse"
    BLACKHOLE = "blackhole"
    HALF_OPEN = "half_open"


class LinkBehaviour(NamedTuple):
    """Hold the injected faults of a link; the default has none.

    The ``cut_after`` limits count the bytes of each connection since the last change;
    below 0 there is no limit. After ``cuts_left`` such cuts the limits are removed;
    below 0 they stay.
    """

    mode: Mode = Mode.PASS
    delay_ms: int = 0
    cut_after_bytes_to_client: int = -1
    cut_after_bytes_to_server: int = -1
    cuts_left: int = -1
    drop_answers: bool = False


class BadLink(NamedTuple):
    """Hold why a link or a change to it was rejected."""

    reason: str


def apply_link_changes(
    behaviour: LinkBehaviour, changes: dict[str, Any]
) -> LinkBehaviour | BadLink:
    """Return ``behaviour`` with ``changes``; ``{"reset": true}`` first clears all."""
    changes = dict(changes)
    if changes.pop("reset", False):
        behaviour = LinkBehaviour()
    for name, value in changes.items():
        fault = _fault_of(name, value)
        if fault:
            return BadLink(f"{name}: {fault}")
    if "mode" in changes:
        changes["mode"] = Mode(changes["mode"])
    return behaviour._replace(**changes)


def _fault_of(name: str, value: Any) -> str | None:
    """Return the fault in a field of a change, None if it is valid."""
    if name == "mode":
        return None if value in set(Mode) else f"expected one of {', '.join(Mode)}"
    if name == "drop_answers":
        return None if isinstance(value, bool) else "expected true or false"
    if name not in LinkBehaviour._fields:
        return "is not a known field"
    whole = isinstance(value, int) and not isinstance(value, bool)
    if not whole or (name == "delay_ms" and value < 0):
        return "expected a whole number"
    return None
