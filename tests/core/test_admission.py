"""Tests of admission control."""

from collections import Counter
from random import Random
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.adaptive_limit import current_limit
from bramleyturn.core.admission import (
    IDLE_WORKSPACE_MS,
    Admission,
    AdmissionRequest,
    Admitted,
    Queued,
    RefusalReason,
    Refused,
    admission,
    expire_queued,
    leave,
    next_expiry_ms,
    release,
    request_admission,
    update_limits,
)
from bramleyturn.core.model import Workspace
from tests.core.policy_data import LIMITS, configuration, workspace

LESSONS: Final = workspace("lessons")
PRINTING: Final = workspace("printing")


def ask(
    state: Admission,
    key: str,
    owner: Workspace = LESSONS,
    now_ms: int = 0,
    deadline_at_ms: int = 60_000,
    expected_ms: int = 100,
) -> Admitted | Queued | Refused:
    """Ask for admission of one request."""
    request = AdmissionRequest(key, owner, deadline_at_ms, expected_ms)
    return request_admission(state, request, now_ms)


def full_admission(max_running: int = 1, **limits: int) -> Admission:
    """Return an admission whose slots are all taken by the workspace lessons."""
    changed = LIMITS._replace(max_running=max_running, **limits)
    state = admission(changed)
    for number in range(max_running):
        assert isinstance(ask(state, f"running-{number}"), Admitted)
    return state


def refusal(found: Admitted | Queued | Refused) -> RefusalReason | None:
    """Return the reason of a refusal."""
    return found.reason if isinstance(found, Refused) else None


class TestRequestAdmission:
    def test_admits_up_to_the_limit(self) -> None:
        state = full_admission(max_running=4)
        assert isinstance(ask(state, "next"), Queued)

    def test_refuses_a_known_key(self) -> None:
        state = full_admission()
        ask(state, "waiting")
        for key in ("running-0", "waiting"):
            assert refusal(ask(state, key)) is RefusalReason.DUPLICATE_KEY

    def test_refuses_a_request_that_cannot_finish(self) -> None:
        found = ask(admission(LIMITS), "a", deadline_at_ms=99, expected_ms=100)
        assert refusal(found) is RefusalReason.DEADLINE_TOO_SHORT

    def test_refuses_above_the_rate_and_says_when_to_retry(self) -> None:
        owner = workspace("slow", rate_per_s=2, burst=1)
        state = admission(LIMITS)
        assert isinstance(ask(state, "a", owner), Admitted)
        found = ask(state, "b", owner)
        assert isinstance(found, Refused)
        assert found.reason is RefusalReason.RATE_LIMITED
        assert refusal(ask(state, "b", owner, found.retry_after_ms - 2)) is not None
        assert isinstance(ask(state, "b", owner, found.retry_after_ms), Admitted)

    def test_a_rate_of_zero_admits_nothing_after_the_burst(self) -> None:
        owner = workspace("closed", rate_per_s=0, burst=0)
        found = ask(admission(LIMITS), "a", owner)
        assert refusal(found) is RefusalReason.RATE_LIMITED

    def test_queues_above_the_workspace_concurrency(self) -> None:
        owner = workspace("narrow", concurrency=1)
        state = admission(LIMITS)
        assert isinstance(ask(state, "a", owner), Admitted)
        assert isinstance(ask(state, "b", owner), Queued)
        assert isinstance(ask(state, "c"), Admitted)
        assert release(state, "a", 10) == ("b",)

    def test_one_workspace_cannot_fill_the_queue(self) -> None:
        state = full_admission(max_queued=8)
        found = [ask(state, f"a{number}") for number in range(10)]
        assert sum(isinstance(item, Queued) for item in found) == 4
        assert refusal(found[-1]) is RefusalReason.QUEUE_FULL
        assert isinstance(ask(state, "b", PRINTING), Queued)

    def test_refuses_at_once_when_the_wait_is_too_long(self) -> None:
        state = full_admission()
        release(state, "running-0", 1_000)
        ask(state, "running", now_ms=1_000)
        for number in range(5):
            ask(state, f"a{number}", now_ms=1_000)
        found = ask(state, "late", now_ms=1_000, deadline_at_ms=3_000)
        assert isinstance(found, Refused)
        assert found.reason is RefusalReason.OVERLOADED
        assert found.retry_after_ms >= 5_000


class TestOrder:
    def test_earliest_deadline_first_within_a_workspace(self) -> None:
        state = full_admission()
        ask(state, "late", deadline_at_ms=9_000)
        ask(state, "early", deadline_at_ms=5_000)
        assert release(state, "running-0", 10) == ("early",)
        assert release(state, "early", 20) == ("late",)

    def test_skips_a_request_that_can_no_longer_finish(self) -> None:
        state = full_admission()
        ask(state, "infeasible", deadline_at_ms=1_000)
        ask(state, "feasible", deadline_at_ms=5_000)
        assert release(state, "running-0", 950) == ("feasible",)
        assert expire_queued(state, 950) == ("infeasible",)

    @pytest.mark.parametrize("weight", [1, 3])
    def test_shares_follow_the_weights(self, weight: int) -> None:
        state = full_admission(max_queued=1_000)
        heavy = workspace("heavy", weight=weight)
        for number in range(80):
            ask(state, f"lessons-{number}")
            ask(state, f"heavy-{number}", heavy)
        admitted = list(release(state, "running-0", 1))
        while len(admitted) < 80:
            admitted += release(state, admitted[-1], len(admitted))
        counts = Counter(key.split("-")[0] for key in admitted)
        assert counts["heavy"] / counts["lessons"] == pytest.approx(weight, rel=0.1)

    def test_a_burst_does_not_starve_another_workspace(self) -> None:
        state = full_admission(max_queued=1_000)
        for number in range(400):
            ask(state, f"burst-{number}")
        ask(state, "other", PRINTING)
        first = release(state, "running-0", 1)
        second = release(state, first[0], 2)
        assert "other" in (*first, *second)

    def test_an_idle_workspace_accumulates_no_share(self) -> None:
        state = full_admission(max_queued=1_000)
        for number in range(50):
            ask(state, f"lessons-{number}")
        key = "running-0"
        for now_ms in range(20):
            (key,) = release(state, key, now_ms)
        for number in range(20):
            ask(state, f"printing-{number}", PRINTING)
        owners = []
        for now_ms in range(20, 30):
            (key,) = release(state, key, now_ms)
            owners.append(key.split("-")[0])
        assert Counter(owners) == {"lessons": 5, "printing": 5}


class TestLeaving:
    def test_a_running_request_frees_its_slot(self) -> None:
        state = full_admission()
        ask(state, "next")
        assert leave(state, "running-0", 10) == ("next",)

    def test_a_queued_request_is_never_admitted(self) -> None:
        state = full_admission()
        ask(state, "gone")
        assert leave(state, "gone", 10) == ()
        assert release(state, "running-0", 20) == ()

    def test_unknown_keys_change_nothing(self) -> None:
        state = full_admission()
        assert leave(state, "unknown", 0) == release(state, "unknown", 0) == ()


class TestExpireQueued:
    def test_returns_when_to_call_next(self) -> None:
        state = full_admission()
        ask(state, "a", deadline_at_ms=1_000, expected_ms=100)
        assert next_expiry_ms(state) == 901
        assert expire_queued(state, 900) == ()
        assert expire_queued(state, 901) == ("a",)
        assert next_expiry_ms(state) is None


class TestUpdateLimits:
    def test_raises_the_limits(self) -> None:
        state = full_admission(max_running=1)
        for key in "abc":
            ask(state, key)
        update_limits(state, configuration(limits=LIMITS._replace(max_running=3)))
        assert release(state, "running-0", 10) == ("a", "b", "c")

    def test_changes_a_workspace(self) -> None:
        state = admission(LIMITS)
        for key in "abc":
            ask(state, key, workspace("narrow", concurrency=1))
        wide = workspace("narrow", concurrency=5)
        update_limits(state, configuration(limits=LIMITS, workspaces=(wide,)))
        assert release(state, "a", 10) == ("b", "c")


class TestAdaptiveLimit:
    def test_falls_as_latency_rises_and_recovers(self) -> None:
        state = admission(LIMITS._replace(max_running=64, max_queued=10_000))
        now_ms = 0
        seen = []
        for latency_ms in (100, 1_000, 100):
            for batch in range(40):
                keys = [f"{latency_ms}-{now_ms}-{batch}-{n}" for n in range(64)]
                found = [
                    ask(state, key, now_ms=now_ms, deadline_at_ms=10**9) for key in keys
                ]
                now_ms += latency_ms
                for key, item in zip(keys, found, strict=True):
                    if isinstance(item, Admitted):
                        release(state, key, now_ms)
                for key in keys:
                    leave(state, key, now_ms)
            seen.append(current_limit(state.limit))
        assert seen[0] == 64
        assert seen[1] < 32
        assert seen[2] > seen[1]


class TestState:
    def test_workspaces_not_seen_lately_are_forgotten(self) -> None:
        state = admission(LIMITS)
        for number in range(8_200):
            now_ms = number * 100
            owner = workspace(f"w{number}")
            ask(state, f"r{number}", owner, now_ms, deadline_at_ms=10**9)
            release(state, f"r{number}", now_ms)
        assert len(state.workspaces) <= IDLE_WORKSPACE_MS // 100 + 1

    @settings(derandomize=True, max_examples=40)
    @given(seed=st.integers(0, 2**32))
    def test_every_request_is_accounted_for(self, seed: int) -> None:
        """Run random events; each key is admitted, expired or removed exactly once."""
        random = Random(seed)
        state = admission(LIMITS._replace(max_running=3, max_queued=12))
        owners = [workspace(f"w{n}", concurrency=2, weight=n + 1) for n in range(3)]
        running: set[str] = set()
        waiting: set[str] = set()
        for now_ms in range(0, 6_000, 20):
            key = f"r{now_ms}"
            deadline_at_ms = now_ms + random.randint(50, 1_500)
            found = ask(state, key, random.choice(owners), now_ms, deadline_at_ms, 50)
            if isinstance(found, Admitted):
                running.add(key)
            elif isinstance(found, Queued):
                waiting.add(key)
            admitted: tuple[str, ...] = ()
            if running and random.random() < 0.5:
                ended = random.choice(sorted(running))
                running.remove(ended)
                end = random.choice([release, leave])
                admitted = end(state, ended, now_ms)
            elif waiting and random.random() < 0.2:
                gone = random.choice(sorted(waiting))
                waiting.remove(gone)
                assert leave(state, gone, now_ms) == ()
            assert waiting.issuperset(admitted)
            waiting.difference_update(admitted)
            running.update(admitted)
            late = expire_queued(state, now_ms)
            assert waiting.issuperset(late)
            waiting.difference_update(late)
            assert set(state.running) == running
            assert set(state.waiting) == waiting
            assert len(running) <= 3
        for key in sorted(waiting):
            leave(state, key, 6_000)
        while running:
            running.update(release(state, running.pop(), 6_000))
        assert not state.running
        assert not state.waiting
        assert state.ready_weight == 0
