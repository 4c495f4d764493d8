"""Hold the state of a caller's request, and describe its outcome."""

import logging
from typing import Any, Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer, Route, Workspace
from bramleyturn.core.catalog.prompt import shared_prefix
from bramleyturn.core.coldstart.turns import Turn
from bramleyturn.core.crashes import PartMark
from bramleyturn.core.request_names import (
    RequestNames,
    caller_fingerprint,
    part_name,
    workspace_name,
)
from bramleyturn.core.stream_position import StreamPosition
from bramleyturn.gateway.attempts import (
    Answered,
    AttemptEnd,
    NotRun,
    Streamed,
)
from bramleyturn.gateway.exchange import Exchange
from bramleyturn.gateway.stage_work import StageResults, StageWork
from bramleyturn.platform.requests import CallerHead

# Sent to refused callers if no better estimate is known.
DEFAULT_RETRY_AFTER_MS: Final = 300
LEAST_URGENT: Final = 9
# One priority step of a workspace counts as this many steps of a route.
WORKSPACE_URGENCY_WEIGHT: Final = 5

logger = logging.getLogger(__name__)


class Refusal(NamedTuple):
    """Hold an error answer that the gateway itself gives, and its reason.

    ``wait_ms`` is the time after which the caller may retry, None if it should not.
    """

    status: int
    reason: str
    wait_ms: int | None


class Quarantine(NamedTuple):
    """Hold why a request must not be sent, and how much longer."""

    reason: str
    left_ms: int


class CallerRequest:
    """Hold the state of a request until it is answered.

    ``holder`` is what it counts for, see core/contention/in_progress.py.
    ``server`` is the server that it was sent to last, and ``heard_ms`` when that server
    was last heard of. ``marks`` are those that it left there. ``engine`` was chosen
    with the stages, empty if none was. ``is_at_server`` is set while a server may run
    it, and ``may_have_run`` once an attempt has ended that may have run it.
    ``cold_turn`` allows the next attempt at a cold server, and ``is_withheld`` is set
    if the last one was not sent because its server had turned cold.
    """

    def __init__(
        self,
        exchange: Exchange,
        head: CallerHead,
        route: Route,
        workspace: Workspace | None,
        pool: str,
        wait_ms: int,
    ) -> None:
        self.exchange = exchange
        self.head = head
        self.route = route
        self.workspace = workspace
        self.pool = pool
        owner = workspace.name if workspace is not None else ""
        self.holder = owner or f"route {route.name}"
        self.names = RequestNames(
            caller_fingerprint(owner, exchange.target, exchange.body),
            tuple(part_name(part.id) for part in shared_prefix(head.prompt)),
            workspace_name(owner),
        )
        self.arrived_ms = exchange.arrived_ms
        self.deadline_ms = exchange.arrived_ms + wait_ms
        self.may_have_run = False
        self.is_at_server = False
        self.server: BackendServer | None = None
        self.marks: tuple[PartMark, ...] = ()
        self.heard_ms = exchange.arrived_ms
        self.named_limit_per_s: float | None = None
        self.tried: list[str] = []
        self.position = StreamPosition(head.last_event_id)
        self.first_event_ms: int | None = None
        self.is_timed_out = False
        self.is_stopped = False
        self.quarantine: Quarantine | None = None
        self.stages: StageWork | None = None
        self.inputs: tuple[str, ...] = ()
        self.engine = ""
        self.cold_turn: Turn | None = None
        self.is_withheld = False


def urgency_of(request: CallerRequest) -> int:
    """Return the urgency of a request, from its workspace and its route."""
    workspace = request.workspace
    own = workspace.priority if workspace is not None else None
    return min(LEAST_URGENT, own or 0) * WORKSPACE_URGENCY_WEIGHT + engine_urgency(
        request
    )


def engine_urgency(request: CallerRequest) -> int:
    """Return the urgency of a request at its backend server, from 0 to 9."""
    return min(LEAST_URGENT, request.route.priority)


def stage_retry_after_ms(results: StageResults) -> int:
    """Return the time after which a failed stage may be retried."""
    return max(DEFAULT_RETRY_AFTER_MS, results.wait_ms)


def describe_end(ended: AttemptEnd) -> tuple[str, str]:
    """Return the outcome of an attempt and its detail, for logs and counters."""
    if isinstance(ended, Answered):
        return "answered", str(ended.head.status)
    if isinstance(ended, Streamed):
        return "streamed", str(ended.head.status)
    if isinstance(ended, NotRun):
        return "not_run", str(ended.status or "not connected")
    return "broken", str(ended.reason)


def log_request(request: CallerRequest, event: str, fields: dict[str, Any]) -> None:
    """Log an event of a request, with its id."""
    logger.info(event, extra={"request_id": request.head.attempt_id, **fields})
