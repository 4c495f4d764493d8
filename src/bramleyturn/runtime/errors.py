"""Define how HTTP calls between processes fail."""

from enum import StrEnum
from typing import NamedTuple


class CallFailure(StrEnum):
    """Tell how far an HTTP call came before it failed."""

    NOT_CONNECTED = "not_connected"
    LOST = "lost"
    TIMED_OUT = "timed_out"
    BAD_ANSWER = "bad_answer"


class CallFailed(NamedTuple):
    """Explain why an HTTP call produced no usable answer."""

    failure: CallFailure
    detail: str
