"""Bring the time lines of several processes into one order."""

import heapq
from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

from bramleyturn.core.timeline import EventKind, TimelineEvent

WATCH: Final = "watch"

# Where events of several processes share a cause, a lower rank led to a higher one.
_RANK: Final = {
    EventKind.TICKET_FORWARDED: 1,
    EventKind.INTENT_ASKED: 1,
    EventKind.MESSAGE_SENT: 1,
    EventKind.MESSAGE_RECEIVED: 2,
    EventKind.INTENT_ANSWERED: 3,
    EventKind.TICKET_REVOKED: 3,
    EventKind.ATTEMPT_STARTED: 4,
    EventKind.ATTEMPT_ENDED: 5,
    EventKind.STAGE_ENDED: 5,
    EventKind.ANSWER_DROPPED: 5,
    EventKind.REQUEST_ENDED: 6,
}
_OTHER_RANK: Final = 2
_WATCH_RANK: Final = 0


class ProcessTimeline(NamedTuple):
    """Hold the events of one process and how to read its clock.

    ``watch`` is the address of the watch that an entry follows, else empty.
    """

    process: str
    role: str
    address: str
    watch: str
    wall_minus_monotonic_ms: int
    events: tuple[TimelineEvent, ...]


class MergedEvent(NamedTuple):
    """Place one event of one process in the order of all.

    ``wall_ms`` is the time by the clock of its process, ``shown_ms`` the time
    corrected so that no event comes before one that led to it.
    """

    process: str
    role: str
    sequence: int
    wall_ms: int
    shown_ms: int
    kind: str
    request_id: str
    stage: str
    attempt_id: str
    detail: str
    cause: str


class _Node(NamedTuple):
    """Name an event by the index of its process and its place in it."""

    process: int
    place: int


class _Order(NamedTuple):
    """Hold what comes directly after each event, and how many come before it."""

    after: dict[_Node, list[_Node]]
    before: dict[_Node, int]


def merge_timelines(timelines: Iterable[ProcessTimeline]) -> tuple[MergedEvent, ...]:
    """Return all events in one order.

    Each process keeps the order of its own sequence numbers, and an event that led
    to others on further processes comes before them. Beyond that the clocks decide,
    shifted for each process by the least that the causes ask for. The result does
    not depend on the order of ``timelines``.
    """
    lanes = [
        lane._replace(events=tuple(sorted(lane.events, key=lambda e: e.sequence)))
        for lane in sorted(timelines, key=lambda lane: (lane.process, lane.role))
    ]
    causes = _causes(lanes)
    shifts = _shifts(lanes, causes)
    return tuple(_in_order(lanes, causes, shifts))


def _causes(lanes: Sequence[ProcessTimeline]) -> list[tuple[_Node, _Node]]:
    """Return the pairs of events on two processes of which one led to the other.

    Only the first event of a rank leads: a repeated message may come after the
    answer to the first one.
    """
    by_cause: dict[str, list[tuple[int, _Node]]] = {}
    for index, lane in enumerate(lanes):
        for place, event in enumerate(lane.events):
            if event.cause:
                rank = _rank(lane, event)
                by_cause.setdefault(event.cause, []).append((rank, _Node(index, place)))
    pairs = []
    for cause in sorted(by_cause):
        members = sorted(by_cause[cause])
        leaders: dict[tuple[int, int], tuple[int, _Node]] = {}
        for rank, node in members:
            leaders.setdefault((rank, node.process), (rank, node))
        pairs += [
            (leader, node)
            for leader_rank, leader in leaders.values()
            for rank, node in members
            if leader_rank < rank
            and leader.process != node.process
            and _may_lead(lanes[leader.process], lanes[node.process])
        ]
    return pairs


def _may_lead(first: ProcessTimeline, second: ProcessTimeline) -> bool:
    """Tell whether news can have gone straight from one process to the other.

    An entry has a revision from its own watch only; other watches may be later.
    """
    return first.role != WATCH or second.watch == first.address


def _rank(lane: ProcessTimeline, event: TimelineEvent) -> int:
    """Return how early an event stands among those that share its cause."""
    if lane.role == WATCH:
        return _WATCH_RANK
    return _RANK.get(event.kind, _OTHER_RANK)


def _shifts(
    lanes: Sequence[ProcessTimeline], causes: Sequence[tuple[_Node, _Node]]
) -> list[int]:
    """Return for each process by how many milliseconds its clock is put forward.

    The longest path over the processes; clocks that contradict each other (one was
    set while it ran) end the search, and single events are moved instead.
    """
    shifts = [0] * len(lanes)
    for _ in range(len(lanes) + 1):
        changed = False
        for leader, node in causes:
            behind_ms = (
                _wall_ms(lanes, leader)
                + shifts[leader.process]
                - _wall_ms(lanes, node)
                - shifts[node.process]
            )
            if behind_ms > 0:
                shifts[node.process] += behind_ms
                changed = True
        if not changed:
            return shifts
    return [0] * len(lanes)


def _wall_ms(lanes: Sequence[ProcessTimeline], node: _Node) -> int:
    """Return the time of an event by the clock of its process."""
    lane = lanes[node.process]
    return lane.events[node.place].at_ms + lane.wall_minus_monotonic_ms


def _order(
    lanes: Sequence[ProcessTimeline], causes: Sequence[tuple[_Node, _Node]]
) -> _Order:
    """Return what must come before what."""
    nodes = [
        _Node(index, place)
        for index, lane in enumerate(lanes)
        for place in range(len(lane.events))
    ]
    order = _Order({node: [] for node in nodes}, dict.fromkeys(nodes, 0))
    own = [
        (_Node(node.process, node.place - 1), node) for node in nodes if node.place > 0
    ]
    for first, second in [*own, *causes]:
        order.after[first].append(second)
        order.before[second] += 1
    return order


def _in_order(
    lanes: Sequence[ProcessTimeline],
    causes: Sequence[tuple[_Node, _Node]],
    shifts: Sequence[int],
) -> Iterable[MergedEvent]:
    """Yield the events, each once all that must come before it have been told."""
    order = _order(lanes, causes)
    earliest = {
        node: _wall_ms(lanes, node) + shifts[node.process] for node in order.after
    }
    ready = [
        (earliest[node], node) for node, before in order.before.items() if not before
    ]
    heapq.heapify(ready)
    next_place = [0] * len(lanes)
    told_ms = min(earliest.values(), default=0)
    while True:
        if not ready:
            # A circle of causes: a shared id was used twice, or a ring has dropped
            # the first use. Each process still tells its events in order.
            heads = [
                (earliest[node], node)
                for index, place in enumerate(next_place)
                if (node := _Node(index, place)) in earliest
            ]
            if not heads:
                return
            ready = [min(heads)]
        at_ms, node = heapq.heappop(ready)
        if node.place != next_place[node.process]:
            continue
        next_place[node.process] += 1
        told_ms = max(told_ms, at_ms)
        yield _merged(lanes, node, told_ms)
        for follower in order.after[node]:
            earliest[follower] = max(earliest[follower], told_ms)
            order.before[follower] -= 1
            if order.before[follower] == 0:
                heapq.heappush(ready, (earliest[follower], follower))


def _merged(
    lanes: Sequence[ProcessTimeline], node: _Node, shown_ms: int
) -> MergedEvent:
    """Return an event with its place in the order."""
    lane = lanes[node.process]
    event = lane.events[node.place]
    return MergedEvent(
        process=lane.process,
        role=lane.role,
        sequence=event.sequence,
        wall_ms=_wall_ms(lanes, node),
        shown_ms=shown_ms,
        kind=str(event.kind),
        request_id=event.request_id,
        stage=event.stage,
        attempt_id=event.attempt_id,
        detail=event.detail,
        cause=event.cause,
    )


def select_events(
    events: Iterable[MergedEvent],
    request_id: str = "",
    process: str = "",
    since_ms: int | None = None,
) -> tuple[MergedEvent, ...]:
    """Return the events that match; an empty value matches all.

    A request takes in the events of its attempts, on other processes too.
    """
    listed = tuple(events)
    attempts = {
        event.attempt_id
        for event in listed
        if event.attempt_id and event.request_id == request_id
    }
    return tuple(
        event
        for event in listed
        if (
            not request_id
            or event.request_id == request_id
            or (not event.request_id and event.attempt_id in attempts)
        )
        and (not process or event.process == process)
        and (since_ms is None or event.shown_ms >= since_ms)
    )


def parse_timeline(role: str, address: str, document: Any) -> ProcessTimeline | None:
    """Return the time line in the document of a process, None if malformed."""
    try:
        return ProcessTimeline(
            process=str(document["process"]),
            role=role,
            address=address,
            watch=str(document.get("watch", "")),
            wall_minus_monotonic_ms=int(document["wall_minus_monotonic_ms"]),
            events=tuple(_parse_event(event) for event in document["events"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _parse_event(document: Any) -> TimelineEvent:
    """Return an event, or raise KeyError, TypeError or ValueError."""
    return TimelineEvent(
        sequence=int(document["sequence"]),
        at_ms=int(document["at_ms"]),
        kind=EventKind(document["kind"]),
        request_id=str(document["request_id"]),
        stage=str(document["stage"]),
        attempt_id=str(document["attempt_id"]),
        detail=str(document["detail"]),
        cause=str(document["cause"]),
    )


def split_timelines(document: Any) -> tuple[ProcessTimeline, ...] | None:
    """Return the time lines that a merged answer was made of, None if malformed.

    So that the answers for several availability zones can be merged into one.
    """
    events: dict[str, list[TimelineEvent]] = {}
    try:
        for item in document["events"]:
            event = _parse_event({**item, "at_ms": item["wall_ms"]})
            events.setdefault(str(item["process"]), []).append(event)
        return tuple(
            ProcessTimeline(
                process=str(lane["process"]),
                role=str(lane["role"]),
                address=str(lane["address"]),
                watch=str(lane["watch"]),
                wall_minus_monotonic_ms=0,
                events=tuple(events.get(str(lane["process"]), ())),
            )
            for lane in document["processes"]
        )
    except (KeyError, TypeError, ValueError):
        return None
