"""Describe the faults that can be injected into a backend server stand-in."""

from enum import StrEnum
from typing import Any, Final, NamedTuple, get_type_hints


class StreamError(StrEnum):
    """Name what an engine sends in place of a stream, or after the first chunk of it.

    ``JSON`` and ``TEXT`` are error answers. All others follow the first chunk: a line
    with an error, one that has tokens too, an end line with one, and an answer's head
    with its body.
    """

    NONE = ""
    JSON = "json"
    TEXT = "text"
    LINE = "line"
    TOKENS_LINE = "tokens_line"
    END_LINE = "end_line"
    HEAD = "head"


class Behaviour(NamedTuple):
    """Hold the injected faults of one backend server stand-in; the default has none.

    ``answer_faults_left`` limits the answer faults (the fields from ``unframed``
    on) to that many attempts; below 0 there is no limit.
    """

    slow_factor: float = 1.0
    fail_percent: int = 0
    fail_next: int = 0
    refuse: bool = False
    leaving: bool = False
    hang: bool = False
    crash_marker: str = ""
    crash_server_only: bool = False
    crash_down_ms: int = 0
    resume_refused: bool = False
    unframed: bool = False
    truncate_answer: bool = False
    truncate_after_tokens: int = -1
    drop_answer: bool = False
    wrong_attempt_id: bool = False
    duplicate_chunk: bool = False
    wrong_resume_offset: int = 0
    longer_than_announced: bool = False
    stream_error: str = StreamError.NONE
    answer_faults_left: int = -1


class BadBehaviour(NamedTuple):
    """Hold why a change of behaviour was rejected."""

    reason: str


HINTS: Final = get_type_hints(Behaviour)
NO_ANSWER_FAULTS: Final[dict[str, Any]] = {
    "unframed": False,
    "truncate_answer": False,
    "truncate_after_tokens": -1,
    "drop_answer": False,
    "wrong_attempt_id": False,
    "duplicate_chunk": False,
    "wrong_resume_offset": 0,
    "longer_than_announced": False,
    "stream_error": StreamError.NONE,
    "answer_faults_left": -1,
}


def apply_changes(behaviour: Behaviour, changes: Any) -> Behaviour | BadBehaviour:
    """Return ``behaviour`` with ``changes``; ``{"reset": true}`` first clears all."""
    if not isinstance(changes, dict):
        return BadBehaviour("expected an object")
    changes = dict(changes)
    if changes.pop("reset", False):
        behaviour = Behaviour()
    for name, value in changes.items():
        if name not in HINTS:
            return BadBehaviour(f"{name} is not a known fault")
        if not _has_type(value, HINTS[name]):
            return BadBehaviour(f"{name}: expected {HINTS[name].__name__}")
    if not 0 <= changes.get("fail_percent", 0) <= 100:
        return BadBehaviour("fail_percent: expected 0 to 100")
    if changes.get("slow_factor", 1) < 0:
        return BadBehaviour("slow_factor: expected 0 or more")
    if changes.get("stream_error", "") not in list(StreamError):
        return BadBehaviour(f"stream_error: expected one of {list(StreamError)}")
    return behaviour._replace(**changes)


def take_answer_faults(behaviour: Behaviour) -> tuple[Behaviour, Behaviour]:
    """Return the behaviour for the next attempt, and the one that remains after it."""
    if behaviour.answer_faults_left < 0 or not _has_answer_faults(behaviour):
        return behaviour, behaviour
    cleared = behaviour._replace(**NO_ANSWER_FAULTS)
    if behaviour.answer_faults_left == 0:
        return cleared, cleared
    left = behaviour.answer_faults_left - 1
    after = behaviour._replace(answer_faults_left=left) if left else cleared
    return behaviour, after


def _has_answer_faults(behaviour: Behaviour) -> bool:
    return any(
        getattr(behaviour, name) != value
        for name, value in NO_ANSWER_FAULTS.items()
        if name != "answer_faults_left"
    )


def _has_type(value: Any, wanted: type) -> bool:
    if wanted is float:
        return isinstance(value, int | float) and not isinstance(value, bool)
    if wanted is int:
        return isinstance(value, int) and not isinstance(value, bool)
    return isinstance(value, wanted)
