"""Tests of merging the timelines of several processes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.timeline import EventKind, TimelineEvent
from bramleyturn.core.timeline_merge import (
    MergedEvent,
    ProcessTimeline,
    merge_timelines,
    parse_timeline,
    select_events,
    split_timelines,
)

ASKED, RECEIVED = EventKind.INTENT_ASKED, EventKind.MESSAGE_RECEIVED
STARTED, IN_FORCE = EventKind.ATTEMPT_STARTED, EventKind.CONFIGURATION_IN_FORCE


def event(
    sequence: int, at_ms: int, kind: EventKind, cause: str = "", request_id: str = ""
) -> TimelineEvent:
    attempt_id = cause if cause.startswith("a") else ""
    return TimelineEvent(sequence, at_ms, kind, request_id, "", attempt_id, "", cause)


def timeline(
    process: str,
    *events: TimelineEvent,
    offset_ms: int = 0,
    role: str = "entry",
    watch: str = "",
) -> ProcessTimeline:
    return ProcessTimeline(process, role, f"at-{process}", watch, offset_ms, events)


def event_ids(merged: tuple[MergedEvent, ...]) -> list[tuple[str, int]]:
    return [(each.process, each.sequence) for each in merged]


class TestClocks:
    def test_clocks_order_unrelated_events(self) -> None:
        one = timeline("one", event(0, 5, STARTED), event(1, 25, STARTED))
        two = timeline("two", event(0, 0, STARTED), offset_ms=15)
        merged = merge_timelines([two, one])
        assert event_ids(merged) == [("one", 0), ("two", 0), ("one", 1)]
        assert [each.shown_ms for each in merged] == [5, 15, 25]

    def test_wrong_clock_does_not_reverse_cause_and_effect(self) -> None:
        primary = timeline(
            "primary", event(0, 1_000, ASKED, "a1"), event(1, 1_010, STARTED, "a1")
        )
        backup = timeline(
            "backup",
            event(0, 900, STARTED),
            event(1, 1_005, RECEIVED, "a1"),
            offset_ms=-60_000,
        )
        merged = merge_timelines([primary, backup])
        assert event_ids(merged) == [
            ("backup", 0),
            ("primary", 0),
            ("backup", 1),
            ("primary", 1),
        ]
        assert merged[2].wall_ms == -58_995
        # The whole timeline is shifted forward, not only the event that shows the skew.
        assert merged[0].shown_ms == 895

    def test_contradicting_clocks_still_give_one_order(self) -> None:
        one = timeline("one", event(0, 100, ASKED, "a1"), event(1, 0, RECEIVED, "a2"))
        two = timeline("two", event(0, 0, RECEIVED, "a1"), event(1, 100, ASKED, "a2"))
        merged = merge_timelines([one, two])
        assert event_ids(merged) == [("one", 0), ("two", 0), ("two", 1), ("one", 1)]


class TestCauses:
    def test_revision_comes_from_the_own_watch(self) -> None:
        near = timeline("near", event(0, 50, IN_FORCE, "revision-2"), role="watch")
        far = timeline("far", event(0, 900, IN_FORCE, "revision-2"), role="watch")
        entry = timeline("entry", event(0, 40, IN_FORCE, "revision-2"), watch="at-near")
        merged = merge_timelines([entry, far, near])
        assert event_ids(merged) == [("near", 0), ("entry", 0), ("far", 0)]
        assert merged[1].shown_ms == 50

    def test_cycle_of_causes_loses_no_event(self) -> None:
        one = timeline("one", event(0, 0, STARTED, "a2"), event(1, 1, ASKED, "a1"))
        two = timeline("two", event(0, 0, STARTED, "a1"), event(1, 1, ASKED, "a2"))
        merged = merge_timelines([two, one])
        assert sorted(event_ids(merged)) == [
            ("one", 0),
            ("one", 1),
            ("two", 0),
            ("two", 1),
        ]
        assert merged == merge_timelines([one, two])


KINDS = st.sampled_from([ASKED, RECEIVED, STARTED, IN_FORCE, EventKind.DRAINING])
EVENTS = st.lists(
    st.tuples(st.integers(0, 50), KINDS, st.sampled_from(["", "a1", "a2", "a3"])),
    max_size=8,
)


class TestAnyTimelines:
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(st.tuples(EVENTS, st.integers(-100, 100)), min_size=1, max_size=4),
        st.randoms(use_true_random=False),
    )
    def test_keeps_order_and_loses_no_event(self, raw: list, random: object) -> None:  # type: ignore[type-arg]
        timelines = [
            timeline(
                f"p{index}",
                *(event(number, *values) for number, values in enumerate(events)),
                offset_ms=offset_ms,
            )
            for index, (events, offset_ms) in enumerate(raw)
        ]
        merged = merge_timelines(timelines)
        for each in timelines:
            own = [e.sequence for e in merged if e.process == each.process]
            assert own == list(range(len(each.events)))
        times = [each.shown_ms for each in merged]
        assert times == sorted(times)
        shuffled = list(timelines)
        random.shuffle(shuffled)  # type: ignore[attr-defined]
        assert merge_timelines(shuffled) == merged

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.integers(0, 2)), min_size=1, max_size=12
        ),
        st.lists(st.integers(-10_000, 10_000), min_size=3, max_size=3),
    )
    def test_events_of_a_real_run_come_after_their_causes(
        self, messages: list[tuple[int, int]], offsets_ms: list[int]
    ) -> None:
        events: list[list[TimelineEvent]] = [[], [], []]
        for now_ms, (sender, receiver) in enumerate(messages):
            for process, kind in ((sender, ASKED), (receiver, RECEIVED)):
                own = events[process]
                own.append(event(len(own), now_ms, kind, f"a{now_ms}"))
        merged = merge_timelines(
            timeline(f"p{index}", *own, offset_ms=offsets_ms[index])
            for index, own in enumerate(events)
        )
        places = {(each.cause, each.kind): i for i, each in enumerate(merged)}
        for number in range(len(messages)):
            asked = places[f"a{number}", ASKED]
            assert asked < places[f"a{number}", RECEIVED]


class TestSelection:
    def test_request_includes_its_attempts_on_other_processes(self) -> None:
        primary = timeline("primary", event(0, 1, ASKED, "a1", request_id="r"))
        backup = timeline("backup", event(0, 2, RECEIVED, "a1"), event(1, 3, STARTED))
        merged = merge_timelines([primary, backup])
        assert event_ids(select_events(merged, request_id="r")) == [
            ("primary", 0),
            ("backup", 0),
        ]
        assert event_ids(select_events(merged, process="backup", since_ms=3)) == [
            ("backup", 1)
        ]
        assert select_events(merged) == merged


class TestDocuments:
    def test_merged_answer_can_be_merged_again(self) -> None:
        timelines = [
            timeline("one", event(0, 5, ASKED, "a1"), watch="at-w"),
            timeline("two", event(0, 0, RECEIVED, "a1"), offset_ms=3),
        ]
        merged = merge_timelines(timelines)
        document = {
            "processes": [
                {"process": e.process, "role": e.role}
                | {"address": e.address, "watch": e.watch}
                for e in timelines
            ],
            "events": [each._asdict() for each in merged],
        }
        again = split_timelines(document)
        assert again is not None
        assert merge_timelines(again) == merged

    def test_malformed_documents_give_none(self) -> None:
        malformed: list[object] = [None, [], {}, {"process": "a", "events": 1}]
        for document in malformed:
            assert parse_timeline("entry", "", document) is None
            assert split_timelines(document) is None
