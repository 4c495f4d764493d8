"""Define the pieces of a stage, and the asks, calls and results about them.

An ask is the request of an instance to the planner for all pieces of one stage.
"""

from enum import StrEnum
from typing import NamedTuple

from bramleyturn.core.placement.engine_queues import EngineNeed


class Piece(NamedTuple):
    """Hold one piece of a stage of a request.

    ``inputs`` are the handles of the results of earlier stages. A first stage takes
    the request's ``key`` instead.
    """

    attempt_id: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]
    deadline_ms: int


class PieceFailure(StrEnum):
    """List the reasons why a piece was not made."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"
    NO_SERVER = "no_server"


class MadePiece(NamedTuple):
    """Hold the handle of a result, or why there is none."""

    handle: str
    failure: PieceFailure | None


class LaterStage(NamedTuple):
    """Hold a later stage: its pool, number of pieces and bytes of one result."""

    pool: str
    piece_count: int
    result_bytes: int


class StageAsk(NamedTuple):
    """Ask for all pieces of one stage of a request.

    ``due_ms`` is when all stages must be done for the request to meet its latency
    target, and ``deadline_ms`` when their results become useless. A lower ``urgency``
    goes first. ``near_zone`` is the availability zone that uses the results, empty if
    any will do. ``input_bytes`` is the size of the inputs stored in each zone; every
    piece reads all of them. ``has_started`` is whether another stage of the request
    is already done, and ``later`` has the stages that depend on this one.
    ``fingerprint`` is the same for all repeats of the request, empty if unknown.
    ``is_only_reader`` is whether nothing else needs the inputs. ``given_up_ms`` is when
    all stages must be done for the caller still to wait, None if it waits until the
    deadline. ``engine_need`` is what the request needs of an engine, None if it names
    no prompt, and ``engine`` the one chosen for it, empty before.
    """

    ask_id: str
    pool: str
    attempt_id: str
    stage: int
    piece_count: int
    key: str
    inputs: tuple[str, ...]
    result_bytes: int
    due_ms: int
    deadline_ms: int
    urgency: int
    near_zone: str
    has_started: bool
    later: tuple[LaterStage, ...]
    input_bytes: tuple[tuple[str, int], ...] = ()
    fingerprint: str = ""
    is_only_reader: bool = False
    given_up_ms: int | None = None
    engine_need: EngineNeed | None = None
    engine: str = ""


def useful_until_ms(ask: StageAsk) -> int:
    """Return when the stages of a request must be done to be of any use."""
    if ask.given_up_ms is None:
        return ask.deadline_ms
    return min(ask.deadline_ms, ask.given_up_ms)


class AskDone(NamedTuple):
    """Hold the results of an ask in the order of its pieces, or why it failed.

    ``wait_ms`` is after how long a refused request may be retried. ``is_space_short``
    is whether the results should be released as soon as they are fetched. ``engine`` is
    the one chosen for the request, empty if none was.
    """

    ask_id: str
    handles: tuple[str, ...]
    zones: tuple[str, ...]
    failure: PieceFailure | None
    wait_ms: int = 0
    is_space_short: bool = False
    engine: str = ""


class StageCall(NamedTuple):
    """Hold a call to be made to a server of a stage."""

    call_id: int
    server_id: str
    pieces: tuple[Piece, ...]
    timeout_ms: int


class Release(NamedTuple):
    """Hold results that a server should release because nobody needs them."""

    server_id: str
    handles: tuple[str, ...]
