"""Test that instances that count by themselves keep a server's limit together."""

from random import Random
from typing import Final

import pytest

from bramleyturn.core.placement.server_limits import (
    LEAST_NAMED_MS,
    SETTLE_MS,
    LimitHint,
    ServerLimits,
    choose_limit_hints,
    forget_runs,
    import_limits,
    is_limited,
    limit_wait_ms,
    note_limit,
    take_request,
    update_instances,
)
from tests.site.server_limit_checks import allowed_requests, most_in_window

RUN: Final = "i-1@5"
STEP_MS: Final = 50
START_MS: Final = 10_000


def instances(count: int) -> list[ServerLimits]:
    """Return the state of instances that know each other."""
    names = [f"front-{number}" for number in range(count)]
    made = [ServerLimits(name, 0) for name in names]
    for each in made:
        update_instances(each, names, SETTLE_MS)
    return made


def send_all(fleet: list[ServerLimits], now_ms: int, sent_ms: list[int]) -> None:
    """Let each instance send what it may send now."""
    for each in fleet:
        while limit_wait_ms(each, RUN, now_ms) == 0:
            take_request(each, RUN)
            sent_ms.append(now_ms)


class TestAllInstancesTogether:
    """Many requests wait at all instances, which only agree on who is there."""

    @pytest.mark.parametrize("count", [1, 2, 14, 20, 100])
    @pytest.mark.parametrize("rate_per_s", [0.0, 0.2, 1.0, 2.5, 10.0, 60.0])
    def test_server_gets_no_more_than_its_limit_allows(
        self, count: int, rate_per_s: float
    ) -> None:
        """Even if all of them have saved requests and send them at the same moment."""
        fleet = instances(count)
        for each in fleet:
            note_limit(each, RUN, rate_per_s, START_MS)
        sent_ms: list[int] = []
        for now_ms in range(START_MS + 5_000, START_MS + 40_000, STEP_MS):
            send_all(fleet, now_ms, sent_ms)
        most = most_in_window(sent_ms, 0, START_MS + 40_000)
        assert most <= allowed_requests(rate_per_s)
        assert len(sent_ms) >= 0.7 * rate_per_s * 35

    @pytest.mark.parametrize("rate_per_s", [0.5, 1.0, 4.0])
    @pytest.mark.parametrize("count", [4, 14, 20])
    def test_instances_that_join_add_nothing(
        self, count: int, rate_per_s: float
    ) -> None:
        """Half of the instances are new; the others learn of them within a second."""
        fleet = instances(count)
        names = [each.me for each in fleet]
        old, new = fleet[: count // 2], fleet[count // 2 :]
        for each in old:
            update_instances(each, names[: count // 2], START_MS)
            note_limit(each, RUN, rate_per_s, START_MS)
        sent_ms: list[int] = []
        joined_ms = START_MS + 10_000
        for now_ms in range(START_MS + 5_000, START_MS + 30_000, STEP_MS):
            if now_ms == joined_ms:
                for each in new:
                    each.settled_ms = now_ms + SETTLE_MS
                    import_limits(each, [LimitHint(RUN, rate_per_s, 0)], now_ms)
            for place, each in enumerate(old):
                if now_ms == joined_ms + STEP_MS * (place % 20):
                    update_instances(each, names, now_ms)
            send_all(fleet if now_ms >= joined_ms else old, now_ms, sent_ms)
        most = most_in_window(sent_ms, 0, START_MS + 30_000)
        assert most <= allowed_requests(rate_per_s)

    def test_only_owner_of_stages_uses_the_whole_limit(self) -> None:
        """No other instance calls the servers of stages."""
        (owner, *_) = instances(20)
        note_limit(owner, RUN, 2.0, START_MS)
        sent_ms = []
        for now_ms in range(START_MS + 5_000, START_MS + 25_000, STEP_MS):
            while limit_wait_ms(owner, RUN, now_ms, is_sole=True) == 0:
                take_request(owner, RUN)
                sent_ms.append(now_ms)
        assert most_in_window(sent_ms, 0, START_MS + 25_000) <= allowed_requests(2.0)
        assert len(sent_ms) >= 28


class TestNewsOfLimits:
    """Limits are told from one instance to another, and end."""

    def test_what_was_told_in_circles_does_not_outlive_the_end(self) -> None:
        """Old news becomes no newer by being passed on."""
        one, other = instances(2)
        note_limit(one, RUN, 1.0, START_MS)
        import_limits(other, [LimitHint(RUN, 1.0, 0)], START_MS)
        ended_ms = START_MS + 2 * LEAST_NAMED_MS
        assert note_limit(one, RUN, None, ended_ms)
        for now_ms in range(ended_ms, ended_ms + 5_000, 400):
            for source, target in ((other, one), (one, other)):
                hints = choose_limit_hints(source, Random(1), 16, now_ms)
                import_limits(target, hints, now_ms + 5)
        assert not is_limited(one, RUN)
        assert not is_limited(other, RUN)

    def test_answer_that_was_written_before_does_not_end_it(self) -> None:
        """Answers may overtake each other."""
        (one,) = instances(1)
        note_limit(one, RUN, 1.0, START_MS)
        assert not note_limit(one, RUN, None, START_MS + LEAST_NAMED_MS - 1)
        assert is_limited(one, RUN)

    def test_it_ends_with_the_run_of_its_server(self) -> None:
        """The next run has named nothing."""
        (one,) = instances(1)
        note_limit(one, RUN, 1.0, START_MS)
        forget_runs(one, frozenset({"i-1@6"}), START_MS + 1)
        assert limit_wait_ms(one, RUN, START_MS + 1) == 0

    def test_number_of_limits_that_are_told_is_bounded(self) -> None:
        """Heartbeats are datagrams."""
        (one,) = instances(1)
        for number in range(50):
            note_limit(one, f"i-{number}@1", 1.0, START_MS)
        assert len(choose_limit_hints(one, Random(1), 16, START_MS)) == 16
