"""Describe what can go wrong between this process and another one."""

from enum import StrEnum
from typing import NamedTuple


class CallFailure(StrEnum):
    """Tell how far an HTTP call came before it failed."""

    NOT_CONNECTED = "not_connected"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    BAD_ANSWER = "bad_answer"


class CallFailed(NamedTuple):
    """Explain why a call to another process brought no usable answer."""

    failure: CallFailure
    detail: str
