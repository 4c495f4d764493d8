"""Test the checks with planted violations, and run some seeds of the soak."""

import os
from pathlib import Path

import pytest

from tests.processes import SOURCE
from tests.site.rolling_checks import CROSSING_MS
from tests.site.soak import run_seed
from tests.site.soak_checks import (
    DRAFT,
    LOOKUP,
    ORDER,
    SentAttempt,
    find_violations,
    served_share,
    whole_stream,
)
from tests.site.soak_parts import (
    Arrival,
    Disturbance,
    find_late_arrivals,
    last_loss_ms,
)
from tests.site.soak_plans import PLANS

# A seed whose plan has faults of processes and of the store.
SEED = 2
# A seed whose entries are not restarted together in the second half.
SEED_OF_PARTS = 3
# Seeds that once found a fault, with its cause.
REGRESSIONS = (
    # SIGHUP ended an entry that was still importing.
    1,
    # A clean close was taken for the end of an answer without a length.
    3,
)


# Ends a stopping entry with whatever it has in progress.
EARLY_EXIT = """
import os, signal, threading

set_handler = signal.signal


def plant(number, handler):
    def stop(*arguments):
        threading.Timer(0.5, os._exit, (0,)).start()
        handler(*arguments)

    planted = number == signal.SIGTERM and callable(handler)
    return set_handler(number, stop if planted else handler)


signal.signal = plant
"""


def answered(kind: str, body: bytes = b"answer to a") -> SentAttempt:
    """Return an attempt with a complete, signed answer of status 200."""
    return SentAttempt("a", kind, 200, body, True, True)


def closed_after(took_ms: int) -> SentAttempt:
    """Return an attempt on a kept connection that was closed without an answer."""
    return SentAttempt(
        "a", ORDER, 0, b"", False, False, True, "entry-0", took_ms=took_ms
    )


# Lets an entry find no part on which servers crash.
NO_PARTS = """
from bramleyturn.core import poison_parts

poison_parts._find_poison_parts = lambda crashes: {}
"""


class TestChecks:
    """Each check finds its kind of violation."""

    def test_accepts_correct_answers(self, tmp_path: Path) -> None:
        assert find_violations([answered(LOOKUP)], {"a": 2}, tmp_path) == []
        assert find_violations([answered(ORDER)], {"a": 1}, tmp_path) == []
        stream = answered(DRAFT, whole_stream())
        assert find_violations([stream], {"a": 1}, tmp_path) == []
        assert find_violations([closed_after(0)], {}, tmp_path) == []
        cut = SentAttempt("a", ORDER, 200, b"answ", False, True)
        assert find_violations([cut], {"a": 1}, tmp_path) == []
        failed = SentAttempt("a", ORDER, 502, b"", True, False)
        assert find_violations([failed], {"a": 1}, tmp_path) == []

    @pytest.mark.parametrize(
        ("attempt", "runs", "expected"),
        [
            (answered(ORDER), {"a": 2}, "doubled"),
            (
                SentAttempt("a", ORDER, 503, b"", True, False),
                {"a": 1},
                "called not run",
            ),
            (
                SentAttempt("a", DRAFT, 429, b"", True, False),
                {"a": 1},
                "called not run",
            ),
            (closed_after(0), {"a": 1}, "closed without an answer"),
            (answered(LOOKUP, b"answer to b"), {"a": 1}, "crossed or cut"),
            (answered(DRAFT, whole_stream()[:-9]), {"a": 1}, "crossed or cut"),
            (answered(DRAFT, whole_stream() * 2), {"a": 1}, "crossed or cut"),
            (answered(LOOKUP), {}, "without a run"),
            (answered(LOOKUP)._replace(is_signed=False), {"a": 1}, "signature"),
            (answered(LOOKUP), {"a": 1, "b": 1}, "unasked"),
        ],
    )
    def test_finds_planted_violation(
        self,
        attempt: SentAttempt,
        runs: dict[str, int],
        expected: str,
        tmp_path: Path,
    ) -> None:
        violations = find_violations([attempt], runs, tmp_path)
        assert any(expected in each for each in violations)

    @pytest.mark.parametrize(
        ("log", "took_ms", "is_read"),
        [
            ('{"request_id":"a"}\n{"event":"stopped","in_progress":0}\n', 500, True),
            ('{"event":"stopped","in_progress":1}\n', 500, True),
            ("", 500, True),
            ('{"event":"stopped","in_progress":0}\n', 500, False),
            ("", CROSSING_MS, False),
        ],
        ids=["named", "left in progress", "ended early", "never read", "crosses"],
    )
    def test_finds_requests_that_were_read_and_never_run(
        self, log: str, took_ms: int, is_read: bool, tmp_path: Path
    ) -> None:
        (tmp_path / "entry-0.out").write_text(log)
        violations = find_violations([closed_after(took_ms)], {}, tmp_path)
        assert violations == ["read and closed without an answer: a"] * is_read

    def test_request_that_was_never_sent_is_judged_by_its_runs(
        self, tmp_path: Path
    ) -> None:
        (tmp_path / "entry-0.out").write_text("")
        unsent = closed_after(500)._replace(is_sent=False)
        assert find_violations([unsent], {}, tmp_path) == []
        violations = find_violations([unsent], {"a": 1}, tmp_path)
        assert violations == ["read and closed without an answer: a"]

    def test_share_that_is_served(self) -> None:
        refused = SentAttempt("b", LOOKUP, 503, b"", True, False)
        assert served_share([answered(LOOKUP), refused], LOOKUP) == 0.5
        assert served_share([refused], ORDER) == 1.0


class TestPartCheck:
    """Requests with a crashing part after the fifth crash, beside disturbances."""

    FIRST = tuple(Arrival(f"c{number}", 0, 1_000 + number) for number in range(5))

    def late(self, entry: int = 0, at_ms: int = 5_000) -> list[Arrival]:
        """Return the first crashes and as many requests as are too many after them."""
        late = (Arrival(f"l{number}", entry, at_ms + number) for number in range(4))
        return [*self.FIRST, *late]

    def find(self, arrivals: list[Arrival], *disturbances: Disturbance) -> list[str]:
        """Return what is found, if entries lost what they knew as they were stopped."""
        known_since_ms = last_loss_ms(list(disturbances))
        return find_late_arrivals(arrivals, list(disturbances), known_since_ms)

    def test_requests_of_an_entry_that_ran_all_the_while_are_found(self) -> None:
        assert len(self.find(self.late())) == 4
        assert self.find(self.late()[:-1]) == []
        assert self.find(self.late(at_ms=4_000)) == []

    def test_entry_that_another_one_could_tell_is_not_excused(self) -> None:
        restart = Disturbance(0, 2_000, 2_500, True)
        late = self.late(at_ms=12_000)
        assert self.find(late, restart)
        assert self.find(late, restart, Disturbance(1, 6_000, 6_500, True))
        assert self.find(late, restart, Disturbance(1, 2_400, 2_600, True)) == []

    def test_entry_that_was_disturbed_just_before_is_excused(self) -> None:
        pause = Disturbance(0, 2_000, 2_500, False)
        assert self.find(self.late(), pause) == []
        assert self.find(self.late(entry=1), pause)


class TestPlan:
    """Plans are deterministic."""

    def test_same_seed_gives_same_plan(self) -> None:
        for draw in PLANS:
            assert draw(7) == draw(7)
            assert draw(7) != draw(8)


class TestSeeds:
    """Real processes with the faults of a seed."""

    @pytest.mark.parametrize("seed", [SEED, *REGRESSIONS])
    def test_no_guarantee_is_violated(self, seed: int, tmp_path: Path) -> None:
        violations, ends = run_seed(seed, tmp_path)
        assert violations == [], (seed, ends)

    @pytest.mark.parametrize(
        ("planted", "seed", "expected"),
        [
            (EARLY_EXIT, SEED, "closed without an answer"),
            (NO_PARTS, SEED_OF_PARTS, "sent to a server"),
        ],
        ids=["early exit", "no parts"],
    )
    def test_finds_a_fault_that_is_planted_in_the_entries(
        self, planted: str, seed: int, expected: str, tmp_path: Path
    ) -> None:
        plant = tmp_path / "plant"
        plant.mkdir()
        (plant / "sitecustomize.py").write_text(planted)
        source = os.pathsep.join((str(plant), str(SOURCE)))
        violations, ends = run_seed(seed, tmp_path, entry_source=source)
        assert any(expected in each for each in violations), (violations, ends)
