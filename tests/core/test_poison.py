"""Tests of finding poison requests, which crash servers."""

import json
from pathlib import Path
from random import Random
from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.crashes import (
    CRASH_RETENTION_MS,
    MAX_CRASHES,
    CrashHint,
    Suspects,
    connection_lost,
    import_hints,
    request_finished,
    server_answered,
)
from bramleyturn.core.poison import (
    Clear,
    Quarantined,
    Suspect,
    classify_request,
    export_hints,
)
from bramleyturn.core.request_names import request_fingerprint

CASES: Final[list[dict[str, Any]]] = json.loads(
    (Path(__file__).parent / "data" / "verdicts.json").read_text()
)


def apply_events(suspects: Suspects, events: list[list[Any]]) -> int:
    """Apply the events and return the time of the last one."""
    now_ms = 0
    for kind, *values in events:
        if kind == "expire":
            now_ms += CRASH_RETENTION_MS
            continue
        now_ms = values[-1]
        if kind == "lost":
            connection_lost(suspects, *values)
        elif kind == "finished":
            request_finished(suspects, *values)
        else:
            hint = CrashHint(values[0], tuple(values[1]), values[2])
            import_hints(suspects, [hint], now_ms)
    return now_ms


class TestClassification:
    @pytest.mark.parametrize("case", CASES, ids=lambda case: str(case["case"]))
    def test_listed_case(self, case: dict[str, Any]) -> None:
        suspects = Suspects()
        now_ms = apply_events(suspects, case["events"])
        found = classify_request(suspects, case["fingerprint"], now_ms)
        assert type(found).__name__ == case["verdict"]

    def test_quarantine_ends(self) -> None:
        suspects = Suspects()
        connection_lost(suspects, "s1", ["p"], 0)
        connection_lost(suspects, "s2", ["p"], 1_000)
        found = classify_request(suspects, "p", 1_000)
        assert isinstance(found, Quarantined)
        assert found.servers == ("s1", "s2")
        assert not isinstance(
            classify_request(suspects, "p", found.until_ms), Quarantined
        )


class TestFingerprint:
    def test_parts_are_delimited(self) -> None:
        assert request_fingerprint("ab", "c", b"d") != request_fingerprint(
            "a", "bc", b"d"
        )


class TestHints:
    @settings(derandomize=True, max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["s1", "s2", "s3"]),
                st.frozensets(st.sampled_from("abcd"), min_size=1),
            ),
            max_size=6,
        ),
        st.integers(0, 2**32),
    )
    def test_order_of_hints_does_not_matter(
        self, crashes: list[tuple[str, frozenset[str]]], seed: int
    ) -> None:
        hints = [
            CrashHint(server, tuple(sorted(names)), 10_000 * index)
            for index, (server, names) in enumerate(crashes)
        ]
        in_order, shuffled = Suspects(), Suspects()
        import_hints(in_order, hints, 100_000)
        Random(seed).shuffle(hints)
        import_hints(shuffled, hints + hints, 100_000)
        for name in "abcd":
            assert classify_request(in_order, name, 100_000) == classify_request(
                shuffled, name, 100_000
            )

    def test_state_is_bounded(self) -> None:
        suspects = Suspects()
        for number in range(2 * MAX_CRASHES):
            connection_lost(suspects, f"s{number}", [f"p{number}"], number * 10)
        assert len(suspects.crashes) <= MAX_CRASHES
        assert len(export_hints(suspects, 10_000)) <= MAX_CRASHES
        last = 2 * MAX_CRASHES - 1
        assert not isinstance(classify_request(suspects, f"p{last}", 10_000), Clear)


class TestCostOfOnePoisonRequest:
    @pytest.mark.parametrize("seed", range(20))
    def test_two_crashes_at_most_and_no_neighbour_quarantined(self, seed: int) -> None:
        """Send one poison request repeatedly to random entries."""
        random = Random(seed)
        entries = [Suspects() for _ in range(20)]
        crashed = 0
        now_ms = 0
        sent_neighbours: list[tuple[int, str]] = []
        for number in range(30):
            now_ms += 2_000
            entry = random.randrange(len(entries))
            found = classify_request(entries[entry], "poison", now_ms)
            if isinstance(found, Quarantined):
                continue
            neighbours = [f"neighbour-{number}-{index}" for index in range(5)]
            if not isinstance(found, Clear):
                neighbours = []
            crashed += 1
            connection_lost(
                entries[entry], f"s{number}", ["poison", *neighbours], now_ms
            )
            sent_neighbours += [(entry, name) for name in neighbours]
            hints = export_hints(entries[entry], now_ms)
            for other in entries:
                import_hints(other, hints, now_ms + 5)
        assert crashed <= 2, f"seed {seed}"
        assert sent_neighbours
        for entry, name in sent_neighbours:
            assert not isinstance(
                classify_request(entries[entry], name, now_ms), Quarantined
            )


class TestServerThatAnswers:
    def test_lost_connection_to_a_server_that_answers_is_no_crash(self) -> None:
        suspects = Suspects()
        for number, server in enumerate(("s1", "s2")):
            connection_lost(suspects, server, ["p"], 1_000 + number)
        server_answered(suspects, "s2", 1_010)
        assert classify_request(suspects, "p", 1_010) == Suspect("p", ("s1",), 0, 1)

    def test_server_that_answers_later_may_have_restarted(self) -> None:
        suspects = Suspects()
        connection_lost(suspects, "s1", ["p"], 1_000)
        server_answered(suspects, "s1", 3_000)
        assert isinstance(classify_request(suspects, "p", 3_000), Suspect)

    def test_peers_do_not_bring_the_crash_back(self) -> None:
        suspects = Suspects()
        connection_lost(suspects, "s1", ["p"], 1_000)
        hints = export_hints(suspects, 1_001)
        server_answered(suspects, "s1", 1_010)
        import_hints(suspects, hints, 1_011)
        assert classify_request(suspects, "p", 1_011) == Clear("p")


class TestFinishedRequests:
    """Two crashes have a harmless request in common, which finishes afterwards."""

    def test_peers_learn_that_it_is_not_to_blame(self) -> None:
        detecting, told = Suspects(), Suspects()
        for number, server in enumerate(("s1", "s2")):
            connection_lost(detecting, server, ["p", "n"], 1_000 + number)
        import_hints(told, export_hints(detecting, 1_010), 1_020)
        assert isinstance(classify_request(told, "p", 1_020), Suspect)
        request_finished(detecting, "n", 1_100)
        import_hints(told, export_hints(detecting, 1_110), 1_120)
        for suspects in (detecting, told):
            assert isinstance(classify_request(suspects, "p", 1_120), Quarantined)
            assert classify_request(suspects, "n", 1_120) == Clear("n")

    def test_later_crash_counts_against_it(self) -> None:
        suspects = Suspects()
        connection_lost(suspects, "s1", ["n"], 1_000)
        request_finished(suspects, "n", 1_100)
        connection_lost(suspects, "s2", ["n"], 2_000)
        assert classify_request(suspects, "n", 2_000) == Suspect("n", ("s2",), 0, 1)
