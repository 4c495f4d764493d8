"""Hold a caller's request on its way, and word how it ends."""

import logging
from typing import Any, Final, NamedTuple

from bramleyturn.core.catalog.model import Route, Workspace
from bramleyturn.gateway.attempts import (
    Answered,
    AttemptEnd,
    NotRun,
    Streamed,
)
from bramleyturn.gateway.http1_server import Exchange
from bramleyturn.gateway.stage_work import StageResults, StageWork
from bramleyturn.platform.requests import CallerHead

# What a refused caller is told to wait where no better estimate is known.
USUAL_WAIT_MS: Final = 300
LEAST_URGENT: Final = 9
# A step of a workspace's rank weighs as much as this many steps of a route's.
URGENCY_STEP: Final = 5

logger = logging.getLogger(__name__)


class Refusal(NamedTuple):
    """Hold an answer of this system's own, and its reason.

    ``wait_ms`` is after which time the caller may come back, None for not at all.
    """

    status: int
    reason: str
    wait_ms: int | None


class Call:
    """Hold a request on its way."""

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
        self.arrived_ms = exchange.arrived_ms
        self.first_sent_ms = exchange.arrived_ms
        self.deadline_ms = exchange.arrived_ms + wait_ms
        self.may_have_run = False
        self.is_at_server = False
        self.tried: list[str] = []
        self.last_event_id = head.last_event_id
        self.first_event_ms: int | None = None
        self.is_timed_out = False
        self.stages: StageWork | None = None
        self.inputs: tuple[str, ...] = ()


def urgency_of(call: Call) -> int:
    """Return the rank of a request: by its workspace, then by its route."""
    workspace = call.workspace
    own = workspace.priority if workspace is not None else None
    return min(LEAST_URGENT, own or 0) * URGENCY_STEP + engine_urgency(call)


def engine_urgency(call: Call) -> int:
    """Return the rank of a request among those at one engine, from 0 to 9."""
    return min(LEAST_URGENT, call.route.priority)


def stage_wait_ms(results: StageResults) -> int:
    """Return after which time a stage that could not be done may be asked again."""
    return max(USUAL_WAIT_MS, results.wait_ms)


def describe_end(ended: AttemptEnd) -> tuple[str, str]:
    """Return the kind of an attempt's end and its detail, for logs and counters."""
    if isinstance(ended, Answered):
        return "answered", str(ended.head.status)
    if isinstance(ended, Streamed):
        return "streamed", str(ended.head.status)
    if isinstance(ended, NotRun):
        return "not_run", str(ended.status or "not connected")
    return "broken", str(ended.reason)


def log_call(call: Call, event: str, fields: dict[str, Any]) -> None:
    """Log what became of a request, with its id."""
    logger.info(event, extra={"request_id": call.head.attempt_id, **fields})
