"""Tell the answer to a call of a stage server from those to earlier calls.

A server may write an answer a second time, late, on a connection that is in use again.
Answers to calls of stages name no call, but each result has a name of its own, which no
other answer has. An answer without one that was not the first on its connection may be
an earlier one, and the call's own may still follow: then the connection is not used
again, so that it reaches no other call.
"""

from collections.abc import Callable
from typing import Final

from bramleyturn.gateway.calls import STATUS_OK, AnswerOrigin, WholeAnswer
from bramleyturn.gateway.http1_client import ServerConnection
from bramleyturn.platform.stage_calls import (
    decode_free_bytes,
    decode_run,
    is_release_answer,
)

# Names of results that are remembered for one connection; then it is closed.
MAX_SEEN_RESULTS: Final = 2_000


def run_origin(count: int) -> Callable[[ServerConnection, WholeAnswer], AnswerOrigin]:
    """Return how to judge the answer to a call that runs ``count`` pieces."""

    def judge(connection: ServerConnection, answer: WholeAnswer) -> AnswerOrigin:
        if answer.status != STATUS_OK:
            return _origin_without_name(connection)
        made = decode_run(answer.body, count)
        if made is None:
            return AnswerOrigin.OTHER_CALL
        handles = [piece.handle for piece in made if piece.handle]
        if not handles:
            return _origin_without_name(connection)
        names = set(handles)
        if len(names) < len(handles) or names & connection.seen_results:
            return AnswerOrigin.OTHER_CALL
        connection.seen_results |= names
        is_full = len(connection.seen_results) > MAX_SEEN_RESULTS
        return AnswerOrigin.UNCERTAIN if is_full else AnswerOrigin.OWN

    return judge


def release_origin(connection: ServerConnection, answer: WholeAnswer) -> AnswerOrigin:
    """Judge the answer to a call that releases results, all of which are alike."""
    if answer.status != STATUS_OK:
        return _origin_without_name(connection)
    is_alike = is_release_answer(answer.body)
    return AnswerOrigin.OWN if is_alike else AnswerOrigin.OTHER_CALL


def report_origin(connection: ServerConnection, answer: WholeAnswer) -> AnswerOrigin:
    """Judge the answer to a call for a report, which may be an earlier report."""
    if answer.status != STATUS_OK:
        return _origin_without_name(connection)
    is_report = decode_free_bytes(answer.body) is not None
    return AnswerOrigin.OWN if is_report else AnswerOrigin.OTHER_CALL


def _origin_without_name(connection: ServerConnection) -> AnswerOrigin:
    is_first = connection.requests == 1
    return AnswerOrigin.OWN if is_first else AnswerOrigin.UNCERTAIN
