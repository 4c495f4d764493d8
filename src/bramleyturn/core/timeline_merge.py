"""Merge the timelines of several processes in causal order."""

import heapq
from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

from bramleyturn.core.timeline import EventKind, TimelineEvent

WATCH: Final = "watch"

# Among events of several processes with the same cause, a lower rank happened before
# a higher one.
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
    """Hold the events of one process and the offset of its clock.

    ``watch`` is the address of the watch that an entry follows, empty for others.
    """

    process: str
    role: str
    address: str
    watch: str
    wall_minus_monotonic_ms: int
    events: tuple[TimelineEvent, ...]


class MergedEvent(NamedTuple):
    """Hold one event of one process within the merged order.

    ``wall_ms`` is the time by the clock of its process, ``shown_ms`` the time
    corrected so that no event comes before one that caused it.
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
    """Identify an event by the index of its process and its position there."""

    process: int
    position: int


class _Order(NamedTuple):
    """Hold the direct successors of each event and its number of predecessors."""

    after: dict[_Node, list[_Node]]
    before: dict[_Node, int]


def merge_timelines(timelines: Iterable[ProcessTimeline]) -> tuple[MergedEvent, ...]:
    """Return all events in one causal order.

    Each process keeps the order of its own sequence numbers, and an event that caused
    others on further processes comes before them. Beyond that the clocks decide, each
    shifted by the least amount that the causes require. The result does not depend on
    the order of ``timelines``.
    """
    ordered = [
        timeline._replace(
            events=tuple(sorted(timeline.events, key=lambda e: e.sequence))
        )
        for timeline in sorted(
            timelines, key=lambda timeline: (timeline.process, timeline.role)
        )
    ]
    cause_pairs = _cause_pairs(ordered)
    shifts_ms = _clock_shifts_ms(ordered, cause_pairs)
    return tuple(_in_order(ordered, cause_pairs, shifts_ms))


def _cause_pairs(timelines: Sequence[ProcessTimeline]) -> list[tuple[_Node, _Node]]:
    """Return the pairs of events on two processes where the first caused the second.

    Only the first event of a rank counts as a cause: a repeated message may come
    after the answer to the first one.
    """
    by_cause: dict[str, list[tuple[int, _Node]]] = {}
    for index, timeline in enumerate(timelines):
        for position, event in enumerate(timeline.events):
            if event.cause:
                rank = _rank(timeline, event)
                by_cause.setdefault(event.cause, []).append(
                    (rank, _Node(index, position))
                )
    pairs = []
    for cause in sorted(by_cause):
        members = sorted(by_cause[cause])
        sources: dict[tuple[int, int], tuple[int, _Node]] = {}
        for rank, node in members:
            sources.setdefault((rank, node.process), (rank, node))
        pairs += [
            (source, node)
            for source_rank, source in sources.values()
            for rank, node in members
            if source_rank < rank
            and source.process != node.process
            and _can_cause(timelines[source.process], timelines[node.process])
        ]
    return pairs


def _can_cause(first: ProcessTimeline, second: ProcessTimeline) -> bool:
    """Return whether an event on one process can directly cause one on the other.

    An entry gets revisions only from its own watch; other watches may get them later.
    """
    return first.role != WATCH or second.watch == first.address


def _rank(timeline: ProcessTimeline, event: TimelineEvent) -> int:
    """Return how early an event comes among those that share its cause."""
    if timeline.role == WATCH:
        return _WATCH_RANK
    return _RANK.get(event.kind, _OTHER_RANK)


def _clock_shifts_ms(
    timelines: Sequence[ProcessTimeline], cause_pairs: Sequence[tuple[_Node, _Node]]
) -> list[int]:
    """Return by how many milliseconds to move each process's clock forward.

    The shifts are longest paths over the processes. Clocks that contradict each other
    (one was set while it ran) end the search without shifts; ``_in_order`` then moves
    single events instead.
    """
    shifts_ms = [0] * len(timelines)
    for _ in range(len(timelines) + 1):
        changed = False
        for source, node in cause_pairs:
            behind_ms = (
                _wall_ms(timelines, source)
                + shifts_ms[source.process]
                - _wall_ms(timelines, node)
                - shifts_ms[node.process]
            )
            if behind_ms > 0:
                shifts_ms[node.process] += behind_ms
                changed = True
        if not changed:
            return shifts_ms
    return [0] * len(timelines)


def _wall_ms(timelines: Sequence[ProcessTimeline], node: _Node) -> int:
    """Return the time of an event by the clock of its process."""
    timeline = timelines[node.process]
    return timeline.events[node.position].at_ms + timeline.wall_minus_monotonic_ms


def _order(
    timelines: Sequence[ProcessTimeline], cause_pairs: Sequence[tuple[_Node, _Node]]
) -> _Order:
    """Return the constraints on the order of the events."""
    nodes = [
        _Node(index, position)
        for index, timeline in enumerate(timelines)
        for position in range(len(timeline.events))
    ]
    order = _Order({node: [] for node in nodes}, dict.fromkeys(nodes, 0))
    own = [
        (_Node(node.process, node.position - 1), node)
        for node in nodes
        if node.position > 0
    ]
    for first, second in [*own, *cause_pairs]:
        order.after[first].append(second)
        order.before[second] += 1
    return order


def _in_order(
    timelines: Sequence[ProcessTimeline],
    cause_pairs: Sequence[tuple[_Node, _Node]],
    shifts_ms: Sequence[int],
) -> Iterable[MergedEvent]:
    """Yield the events, each after all that must come before it."""
    order = _order(timelines, cause_pairs)
    earliest = {
        node: _wall_ms(timelines, node) + shifts_ms[node.process]
        for node in order.after
    }
    ready = [
        (earliest[node], node) for node, before in order.before.items() if not before
    ]
    heapq.heapify(ready)
    next_position = [0] * len(timelines)
    last_shown_ms = min(earliest.values(), default=0)
    while True:
        if not ready:
            # A cycle of causes: a shared id was used twice, or a circular buffer has
            # dropped its first use. The events of each process still stay in order.
            heads = [
                (earliest[node], node)
                for index, position in enumerate(next_position)
                if (node := _Node(index, position)) in earliest
            ]
            if not heads:
                return
            ready = [min(heads)]
        at_ms, node = heapq.heappop(ready)
        if node.position != next_position[node.process]:
            continue
        next_position[node.process] += 1
        last_shown_ms = max(last_shown_ms, at_ms)
        yield _merged(timelines, node, last_shown_ms)
        for follower in order.after[node]:
            earliest[follower] = max(earliest[follower], last_shown_ms)
            order.before[follower] -= 1
            if order.before[follower] == 0:
                heapq.heappush(ready, (earliest[follower], follower))


def _merged(
    timelines: Sequence[ProcessTimeline], node: _Node, shown_ms: int
) -> MergedEvent:
    """Return an event with its time in the merged order."""
    timeline = timelines[node.process]
    event = timeline.events[node.position]
    return MergedEvent(
        process=timeline.process,
        role=timeline.role,
        sequence=event.sequence,
        wall_ms=_wall_ms(timelines, node),
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

    ``request_id`` also selects the events of its attempts on other processes.
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
    """Parse the timeline in the document of a process, None if malformed."""
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
    """Parse an event, or raise KeyError, TypeError or ValueError."""
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
    """Split a merged answer into the timelines it was made of, None if malformed.

    This way the answers of several availability zones can be merged into one.
    """
    events: dict[str, list[TimelineEvent]] = {}
    try:
        for item in document["events"]:
            event = _parse_event({**item, "at_ms": item["wall_ms"]})
            events.setdefault(str(item["process"]), []).append(event)
        return tuple(
            ProcessTimeline(
                process=str(timeline["process"]),
                role=str(timeline["role"]),
                address=str(timeline["address"]),
                watch=str(timeline["watch"]),
                wall_minus_monotonic_ms=0,
                events=tuple(events.get(str(timeline["process"]), ())),
            )
            for timeline in document["processes"]
        )
    except (KeyError, TypeError, ValueError):
        return None
