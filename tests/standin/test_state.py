"""Test the state of the stand-ins: faults, ledger, lag, cache, platform."""

from pathlib import Path

import pytest

from bramleyturn.core.clock import ManualTime, manual_clock
from bramleyturn.standin.behaviour import (
    BadBehaviour,
    Behaviour,
    apply_changes,
    take_answer_faults,
)
from bramleyturn.standin.lag import LaggedValue, lagged_value, set_value
from bramleyturn.standin.ledger import (
    LedgerEntry,
    open_ledger,
    record_end,
    record_start,
)
from bramleyturn.standin.platform import (
    BadChange,
    Platform,
    PlatformBehaviour,
    count_read,
    publish,
    served_revision,
)
from bramleyturn.standin.prefix_cache import (
    PrefixCache,
    blocks_of,
    cached_blocks,
    events_after,
    store_blocks,
)
from bramleyturn.standin.settings import Listen, PlatformSettings


def entry(attempt_id: str) -> LedgerEntry:
    return LedgerEntry(
        number=0,
        server="s",
        attempt_id=attempt_id,
        idempotency_key="",
        input_digest="",
        resume_offset=0,
        started_ms=1,
        ended_ms=None,
        state="running",
    )


class TestBehaviour:
    @pytest.mark.parametrize(
        "changes",
        [[], {"hue": 1}, {"refuse": 1}, {"fail_percent": 101}, {"slow_factor": -1}],
    )
    def test_rejects_unknown_or_invalid_changes(self, changes: object) -> None:
        assert isinstance(apply_changes(Behaviour(), changes), BadBehaviour)

    def test_reset_clears_earlier_faults(self) -> None:
        behaviour = Behaviour(refuse=True)
        assert apply_changes(behaviour, {"reset": True, "hang": True}) == Behaviour(
            hang=True
        )

    def test_answer_faults_end_after_their_attempts(self) -> None:
        behaviour = Behaviour(drop_answer=True, answer_faults_left=2, refuse=True)
        shown = []
        for _ in range(3):
            faults, behaviour = take_answer_faults(behaviour)
            shown.append(faults.drop_answer)
        assert shown == [True, True, False]
        assert behaviour == Behaviour(refuse=True)


class TestLedger:
    def test_survives_its_process_even_with_a_truncated_line(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "ledger"
        ledger = open_ledger(str(path))
        record_end(ledger, record_start(ledger, entry("a")), "finished", 5)
        record_start(ledger, entry("b"))
        with path.open("ab") as file:
            file.write(b'{"number": 2, "att')
        again = open_ledger(str(path))
        record_start(again, entry("c"))
        final = open_ledger(str(path)).entries
        assert [(item["attempt_id"], item["state"]) for item in final] == [
            ("a", "finished"),
            ("b", "running"),
            ("c", "running"),
        ]


class TestLaggedValue:
    def test_reports_the_value_of_lag_ms_before(self) -> None:
        lagged = LaggedValue(100, "a")
        set_value(lagged, "b", 1000)
        set_value(lagged, "c", 1050)
        seen = [lagged_value(lagged, now_ms) for now_ms in (1099, 1100, 1149, 1150)]
        assert seen == ["a", "b", "b", "c"]


class TestPrefixCache:
    def test_shares_the_blocks_of_a_common_prefix(self) -> None:
        cache = PrefixCache(100, 0)
        first, second = (blocks_of("m", "x" * 640 + end) for end in ("a", "b"))
        store_blocks(cache, first, 0)
        assert cached_blocks(cache, second) == 10
        assert cached_blocks(cache, blocks_of("n", "x" * 640)) == 0

    def test_evicts_the_least_recently_used(self) -> None:
        cache = PrefixCache(3, 0)
        store_blocks(cache, ["a", "b", "c"], 0)
        store_blocks(cache, ["a", "d"], 0)
        assert list(cache.blocks) == ["c", "a", "d"]

    def test_reports_events_late_and_with_gaps(self) -> None:
        cache = PrefixCache(10, 3)
        store_blocks(cache, ["a", "b", "c", "d"], 50)
        assert events_after(cache, 0, 49) == []
        reported = [event["sequence"] for event in events_after(cache, 1, 50)]
        assert reported == [2, 4]


class TestPlatform:
    def platform(self, time: ManualTime) -> Platform:
        settings = PlatformSettings(Listen("127.0.0.1", 0), reads_per_s=2)
        return Platform(settings, manual_clock(time))

    def test_revisions_only_go_up(self) -> None:
        platform = self.platform(ManualTime())
        assert publish(platform, {}) == 1
        assert publish(platform, {}, 7) == 7
        assert isinstance(publish(platform, {}, 7), BadChange)
        assert publish(platform, {}) == 8

    def test_serves_an_older_revision_when_stale(self) -> None:
        platform = self.platform(ManualTime())
        publish(platform, {})
        publish(platform, {})
        platform.behaviour = PlatformBehaviour(stale_revision=1)
        assert served_revision(platform) == 1

    def test_limits_reads_by_the_second(self) -> None:
        time = ManualTime(1000)
        platform = self.platform(time)
        assert [count_read(platform, "/config") for _ in range(3)] == [1, 1, 0]
        time.advance(1000)
        assert count_read(platform, "/config")
        assert list(platform.reads_by_second) == [(1, 3), (2, 1)]
        assert platform.refused_reads == 1
