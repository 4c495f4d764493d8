"""Describe the pieces of a stage and those who ask for them."""

from enum import StrEnum
from typing import NamedTuple


class Piece(NamedTuple):
    """Hold one piece of a stage of a request.

    A stage that follows others takes ``inputs``, the handles of their results; the
    first ones take the request's ``key``.
    """

    attempt_id: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]
    deadline_ms: int


class PieceFailure(StrEnum):
    """Name why a piece was not made."""

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
    """Hold a stage that follows: its pool, its pieces and the size of a result."""

    pool: str
    piece_count: int
    result_bytes: int


class StageAsk(NamedTuple):
    """Ask for all pieces of one stage of a request.

    ``due_ms`` is when all stages must be done for the request to be in time, and
    ``deadline_ms`` when their results are of no more use. A lower ``urgency`` goes
    first. ``near_zone`` is where the results are used, empty if that does not matter.
    ``input_bytes`` has how much of the inputs lies in each availability zone; every
    piece reads all of it.
    ``has_started`` tells that another stage of the request was done already, and
    ``later`` names the stages that follow this one.
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


class AskDone(NamedTuple):
    """Hold the results of an ask in the order of its pieces, or why it failed.

    ``wait_ms`` is when a request that could not be in time may come back.
    """

    ask_id: str
    handles: tuple[str, ...]
    zones: tuple[str, ...]
    failure: PieceFailure | None
    wait_ms: int = 0


class StageCall(NamedTuple):
    """Order one call to a server of a stage.

    The call is to be given up after ``timeout_ms``.
    """

    call_id: int
    server_id: str
    pieces: tuple[Piece, ...]
    timeout_ms: int


class Release(NamedTuple):
    """Order that a server gives up results that nobody needs any more."""

    server_id: str
    handles: tuple[str, ...]
