"""Define the requests, answers and results of the choice of a backend server."""

from enum import StrEnum
from typing import NamedTuple

from bramleyturn.core.model import Server


class AttemptVerdict(StrEnum):
    """Name how an attempt ended, as far as its server is concerned."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    LOST = "lost"


class AttemptEnd(NamedTuple):
    """State how an attempt ended and how long it took.

    ``forecast_ms`` is how long it was expected to take, 0 if nothing was expected.
    """

    verdict: AttemptVerdict
    elapsed_ms: int
    size_tokens: int
    forecast_ms: float = 0.0


class ChoiceRequest(NamedTuple):
    """Ask for a server of a pool.

    ``prefix`` identifies the start of the prompt and may be empty. ``alone`` asks
    for a server on which this process has nothing in flight. Attempts that must not
    share a server get disjoint slices: every ``places``-th server from ``place`` on.
    """

    pool: str
    size_tokens: int
    prefix: str
    excluded: frozenset[str]
    alone: bool
    place: int = 0
    places: int = 1


class Choice(NamedTuple):
    """Name the server and why it was chosen."""

    server: Server
    reasons: tuple[str, ...]


class NoServerReason(StrEnum):
    """Name why no server can be chosen."""

    UNKNOWN_POOL = "unknown_pool"
    NONE_LIVE = "none_live"
    ALL_EXCLUDED = "all_excluded"
    ALL_BUSY = "all_busy"
    NONE_IDLE = "none_idle"
    UNCONFIRMED = "unconfirmed"


class NoServer(NamedTuple):
    """State why no server can be chosen and when to retry."""

    reason: NoServerReason
    retry_after_ms: int
