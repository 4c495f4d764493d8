"""Reject answers that have no valid status, or end before their request is written."""

from typing import Any, Final

from twisted.python.failure import Failure
from twisted.web import http

from bramleyturn.core.answer_end import is_valid_status
from bramleyturn.runtime.unread_bytes import has_unsent_bytes

STATUS_OK: Final = 200

# Twisted's exception for a body that is not whole has no public name.
_data_loss: Any = vars(http)["_DataLoss"]


class InvalidStatusError(Exception):
    """Raised for a status that no answer may have; the request may have run."""


def checked_status(status: int) -> int:
    """Return the status of a last answer, or raise ``InvalidStatusError``."""
    if not is_valid_status(status):
        raise InvalidStatusError(f"status {status}")
    return status


def judge_answers(connection: Any) -> Any:
    """Let an HTTP connection tell whether it may be kept after its last answer.

    Twisted drops bytes that it reads together with the end of an answer. An answer
    without a length is not whole if its connection ends before its request is written.
    """
    finish = connection._finishResponse
    lose = connection.connectionLost
    connection.may_be_kept = True

    def finish_judged(rest: bytes) -> None:
        parser = connection._parser
        if parser is not None:
            is_success = parser.response.code == STATUS_OK
            connection.may_be_kept = is_success and not rest
        finish(rest)

    def lose_judged(reason: Failure) -> None:
        parser = connection._parser
        decoder = getattr(parser, "bodyDecoder", None)
        if decoder is not None and has_unsent_bytes(connection.transport):
            parser.bodyDecoder = CutBody()
        lose(reason)

    connection._finishResponse = finish_judged
    connection.connectionLost = lose_judged
    return connection


class CutBody:
    """Stand in for the decoder of a body whose connection ended too early."""

    def noMoreData(self) -> None:  # noqa: N802
        """Report that the end of the answer is missing."""
        raise _data_loss("the connection ended while the request was being written")
