"""Keep a bounded record of what a process decided and why."""

from collections import deque
from enum import StrEnum
from typing import Final, NamedTuple

DEFAULT_CAPACITY: Final = 4096


class EventKind(StrEnum):
    """Name the kinds of events on the timeline."""

    REQUEST_ARRIVED = "request_arrived"
    REQUEST_QUEUED = "request_queued"
    REQUEST_ENDED = "request_ended"
    ATTEMPT_STARTED = "attempt_started"
    ATTEMPT_ENDED = "attempt_ended"
    ANSWER_DROPPED = "answer_dropped"
    STAGE_ENDED = "stage_ended"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    CONFIGURATION_REFUSED = "configuration_refused"
    SERVER_LEAVING = "server_leaving"
    PEER_SEEN = "peer_seen"
    PEER_SILENT = "peer_silent"
    INTENT_ASKED = "intent_asked"
    INTENT_RECORDED = "intent_recorded"
    OUTCOME_RECORDED = "outcome_recorded"
    INTENT_ANSWERED = "intent_answered"
    TICKET_FORWARDED = "ticket_forwarded"
    TICKET_REVOKED = "ticket_revoked"
    MESSAGE_SENT = "message_sent"
    MESSAGE_RECEIVED = "message_received"
    DRAINING = "draining"


class TimelineEvent(NamedTuple):
    """Record one event.

    ``cause`` is an identifier that two processes share, such as an attempt or
    message id. It lets a reader order an event after the one that caused it.
    """

    sequence: int
    at_ms: int
    kind: EventKind
    request_id: str
    stage: str
    attempt_id: str
    detail: str
    cause: str


class Timeline:
    """Hold the newest events of one process."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.events: deque[TimelineEvent] = deque(maxlen=capacity)
        self.next_sequence = 0


def record(
    timeline: Timeline,
    kind: EventKind,
    now_ms: int,
    *,
    request_id: str = "",
    stage: str = "",
    attempt_id: str = "",
    detail: str = "",
    cause: str = "",
) -> None:
    """Append an event; the oldest one is dropped when the timeline is full."""
    event = TimelineEvent(
        sequence=timeline.next_sequence,
        at_ms=now_ms,
        kind=kind,
        request_id=request_id,
        stage=stage,
        attempt_id=attempt_id,
        detail=detail,
        cause=cause,
    )
    timeline.next_sequence += 1
    timeline.events.append(event)


def events_after(timeline: Timeline, sequence: int) -> tuple[TimelineEvent, ...]:
    """Return the kept events whose sequence number is above ``sequence``."""
    return tuple(event for event in timeline.events if event.sequence > sequence)
