"""Test the checks of planned stops with planted ends."""

from pathlib import Path

import pytest

from tests.site.rolling_callers import Attempt
from tests.site.rolling_checks import (
    Records,
    Run,
    Stop,
    find_broken_promises,
    find_lost,
    read_ledger,
)
from tests.site.rolling_deployment import DEPLOYMENT

GRACE_MS = 8_000
# When SIGTERM came; the process ended at the end of its grace.
ZERO_MS = 1_000_000
STOP = Stop("entry-0", "some", ZERO_MS, ZERO_MS + 7_900, 0)
ENGINE = "i-writers-0"


def attempt_at(
    sent_ms: int, ended_ms: int, end: str = "closed", route: str = "digest"
) -> Attempt:
    """Return an attempt with times relative to SIGTERM."""
    (plan,) = (each for each in DEPLOYMENT["routes"] if each["name"] == route)
    attempt = Attempt("r0000001", plan, 0, "entry-0")
    attempt.sent_ms = attempt.last_sent_ms = ZERO_MS + sent_ms
    attempt.ended_ms = ZERO_MS + ended_ms
    attempt.first_read_ms = attempt.ended_ms if end == "cut" else 0
    attempt.end = end
    return attempt


def run_at(began_ms: int, ended_ms: int | None, crashed_ms: int | None = None) -> Run:
    """Return a run with times relative to SIGTERM."""
    ended = None if ended_ms is None else ZERO_MS + ended_ms
    return Run(ENGINE, ZERO_MS + began_ms, ended, False, crashed_ms)


def kinds(folder: Path, attempt: Attempt, *runs: Run, calls: int = 0) -> list[str]:
    """Return the kinds of the losses found."""
    (folder / "entry-0.out").touch()
    call = {
        "stage": 0,
        "pieces": 1,
        "arrived_ms": ZERO_MS,
        "began_ms": ZERO_MS,
        "ended_ms": ZERO_MS + 200,
    }
    records = Records(
        {attempt.id: list(runs)}, {attempt.id: [("i-rows-0", call)] * calls}
    )
    lost = find_lost([attempt], [STOP], records, folder, GRACE_MS)
    return [each.kind for each in lost]


class TestLost:
    """A request that is read and not answered around SIGTERM."""

    def test_finds_what_was_passed_on(self, tmp_path: Path) -> None:
        closed = attempt_at(1_000, 5_000)
        assert kinds(tmp_path, closed, run_at(4_000, 5_000)) == [
            "no answer, at a server"
        ]
        assert kinds(tmp_path, closed, calls=1) == ["no answer, at stages"]
        at_once = attempt_at(1_000, 1_050)
        assert kinds(tmp_path, at_once, run_at(1_010, 1_050))

    def test_finds_a_stream_that_is_cut(self, tmp_path: Path) -> None:
        late = attempt_at(3_100, 7_800, "cut")
        assert kinds(tmp_path, late, run_at(6_000, 7_800)) == ["stream, at a server"]

    def test_finds_a_late_close_of_what_was_read(self, tmp_path: Path) -> None:
        closed = attempt_at(1_000, 1_300, "reset")
        assert kinds(tmp_path, closed) == ["no answer, not known to be read"]
        (tmp_path / "entry-0.out").write_text('{"time_ms":1,"request_id":"r0000001"}\n')
        assert kinds(tmp_path, closed) == ["no answer, read by the entry"]

    @pytest.mark.parametrize(("left", "is_lost"), [(0, False), (1, True)])
    def test_finds_what_may_have_been_read_when_the_process_ended(
        self, tmp_path: Path, left: int, is_lost: bool
    ) -> None:
        (tmp_path / "entry-0.out").write_text(
            f'{{"time_ms":1,"event":"stopped","in_progress":{left}}}\n'
        )
        assert bool(kinds(tmp_path, attempt_at(1_000, 1_300, "reset"))) == is_lost

    def test_accepts_what_was_sent_after_sigkill(self, tmp_path: Path) -> None:
        (tmp_path / "entry-0.out").touch()
        killed = STOP._replace(killed_ms=ZERO_MS + 8_000, exit_code=-9)
        for sent_ms, count in ((7_950, 1), (8_000, 0)):
            attempt = attempt_at(sent_ms, 8_400, "reset")
            records = Records({}, {})
            lost = find_lost([attempt], [killed], records, tmp_path, GRACE_MS)
            assert len(lost) == count

    @pytest.mark.parametrize(
        ("attempt", "runs"),
        [
            (attempt_at(1_000, 1_150), []),
            (attempt_at(1_000, 9_000), [run_at(2_000, 9_000)]),
            (attempt_at(-3_100, 1_000), [run_at(0, 1_000)]),
            (attempt_at(9_100, 9_900), [run_at(9_200, 9_900)]),
            (attempt_at(2_900, 7_800, "cut"), [run_at(6_000, 7_800)]),
            (attempt_at(2_900, 7_800, "cut"), [run_at(6_000, None)]),
            (attempt_at(1_000, 5_000), [run_at(4_000, 5_000, ZERO_MS + 4_900)]),
            (attempt_at(1_000, 5_000, "left"), [run_at(4_000, 5_000)]),
            (attempt_at(1_000, 5_000, "whole"), [run_at(4_000, 5_000)]),
        ],
        ids=[
            "crosses the close",
            "reached its deadline",
            "sent long before",
            "sent long after",
            "still streaming in the last sixth",
            "still running in the last sixth",
            "the server crashed",
            "the caller left",
            "answered",
        ],
    )
    def test_accepts_what_is_not_promised(
        self, tmp_path: Path, attempt: Attempt, runs: list[Run]
    ) -> None:
        assert kinds(tmp_path, attempt, *runs) == []

    def test_shows_what_happened_in_its_order(self, tmp_path: Path) -> None:
        attempt = attempt_at(1_000, 5_000)
        (tmp_path / "entry-0.out").write_text(
            f'{{"time_ms":{ZERO_MS + 2},"event":"stopping"}}\n{{"time_ms":1'
        )
        records = Records({attempt.id: [run_at(4_000, 5_000)]}, {})
        (lost,) = find_lost([attempt], [STOP], records, tmp_path, GRACE_MS)
        times_ms = [int(line.split()[0]) for line in lost.timeline]
        assert times_ms == [0, 2, 1_000, 1_000, 4_000, 5_000, 5_000, 7_900]


class TestPromises:
    """Answers that say something else than the servers' ledgers."""

    def test_finds_doubled_orders_and_false_refusals(self) -> None:
        order = attempt_at(0, 100, "whole", route="order")
        order.status = 200
        ran = run_at(0, 100)
        assert find_broken_promises([order], Records({order.id: [ran]}, {})) == []
        assert find_broken_promises([order], Records({order.id: [ran, ran]}, {}))
        order.status = 503
        assert find_broken_promises([order], Records({order.id: [ran]}, {}))
        assert find_broken_promises([order], Records({}, {})) == []

    def test_finds_a_short_stream_that_is_called_whole(self) -> None:
        stream = attempt_at(0, 100, "whole")
        stream.status = 200
        stream.expected_events = 2
        stream.body = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
        assert find_broken_promises([stream], Records({}, {})) == []
        stream.body = b"id: 0\ndata: a\n\n"
        assert find_broken_promises([stream], Records({}, {}))


class TestLedger:
    """Runs and crashes of servers as the stand-ins tell them."""

    def test_only_runs_whose_answer_a_crash_may_break_off_are_crashed(self) -> None:
        ran = [
            {"attempt_id": "a", "began_ms": 1, "ended_ms": 5, "is_whole": True},
            {"attempt_id": "b", "began_ms": 600, "ended_ms": 900, "is_whole": False},
            {"attempt_id": "c", "began_ms": 700, "ended_ms": None, "is_whole": False},
            {"attempt_id": "d", "began_ms": 1, "ended_ms": 700, "is_whole": True},
        ]
        call = {"attempt_ids": ["a", "b"], "stage": 1}
        server = {"ran": ran, "crashes_ms": [800], "calls": [call]}
        records = read_ledger({ENGINE: server})
        crashes = {key: runs[0].crashed_ms for key, runs in records.runs.items()}
        assert crashes == {"a": None, "b": 800, "c": 800, "d": 800}
        assert records.calls == {"a": [(ENGINE, call)], "b": [(ENGINE, call)]}
