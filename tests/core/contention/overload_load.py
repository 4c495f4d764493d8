"""Generate the overloads of docs/design/0001-hard-load.md for three stage pools.

Rates are half of those of the first deployment, and requests have twice the pieces, so
that a replay has fewer events at the same load of the pools.
"""

from collections.abc import Mapping
from random import Random
from typing import Final

from bramleyturn.core.catalog.model import BatchLimits
from bramleyturn.core.pieces.model import AskDone
from bramleyturn.core.pieces.pipeline import plan
from bramleyturn.core.pieces.planner import update_servers
from bramleyturn.core.waiting.retry_after import retry_after_ms
from tests.core.pieces.stage_simulation import (
    Arrival,
    Job,
    Policy,
    RequestKind,
    StageNeed,
    StageSimulation,
    poisson,
    pool_server,
)

LIMITS: Final = {
    "draw": BatchLimits(1, 2, 7, 150.0, 18.3, 38_500_000, 4_000),
    "bind": BatchLimits(1, 2, 26, 150.0, 4.95, 4_460_000, 4_000),
    "print": BatchLimits(1, 2, 46, 150.0, 2.8, 810_000, 4_000),
}
SERVERS: Final = {"draw": 7, "bind": 8, "print": 9}
CHAIN: Final = (
    StageNeed("draw", 2, 4_000),
    StageNeed("bind", 20, 30_000),
    StageNeed("print", 46, 3_000),
)
LONG: Final = RequestKind("long", CHAIN, 1_563, 12_507, 0, 4.4, 400, 6_252)
MIDDLE: Final = RequestKind("middle", CHAIN, 4_045, 10_112, 1, 0.9, 300, 16_180)
SHORT: Final = RequestKind(
    "short", (StageNeed("draw", 4, 1_500_000),), 2_026, 15_196, 2, 0.32, 200, 8_104
)
RATES_PER_S: Final = {LONG: 12.5, MIDDLE: 10.1, SHORT: 13.55}
BURST_FROM_MS: Final = 10_000
TROUGH_MS: Final = 5_000
TROUGH_TIMES: Final = 0.6
LAST_MS: Final = 24_000
END_MS: Final = 38_000
# One way between a caller and its instance.
CALLER_LATENCY_MS: Final = 3


def overload(
    seed: int, times: Mapping[RequestKind, float], burst_ms: int
) -> list[Arrival]:
    """Return arrivals with a burst of some kinds, and a trough of all after it."""
    random = Random(seed)
    trough_ms = BURST_FROM_MS + burst_ms
    usual_ms = trough_ms + TROUGH_MS
    arrivals = []
    for kind, per_s in RATES_PER_S.items():
        high_per_s = per_s * times.get(kind, 1.0)
        arrivals += poisson(kind, per_s, 0, BURST_FROM_MS, random)
        arrivals += poisson(kind, high_per_s, BURST_FROM_MS, trough_ms, random)
        arrivals += poisson(kind, per_s * TROUGH_TIMES, trough_ms, usual_ms, random)
        arrivals += poisson(kind, per_s, usual_ms, LAST_MS, random)
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def one_kind(seed: int) -> list[Arrival]:
    """Return arrivals with one kind at three times its rate for 5 s."""
    return overload(seed, {LONG: 3.0}, 5_000)


def all_kinds(seed: int) -> list[Arrival]:
    """Return arrivals with all kinds at 1.7 times their rates for 4 s."""
    return overload(seed, dict.fromkeys(RATES_PER_S, 1.7), 4_000)


class Callers(StageSimulation):
    """Hold callers that come back once after a refusal, if ``may_return``.

    ``returned`` has the requests that came back, with the time of their return.
    """

    def __init__(
        self, seed: int, policy: Policy = plan, may_return: bool = True
    ) -> None:
        super().__init__(LIMITS, 0, policy)
        for pool, count in SERVERS.items():
            servers = [pool_server(pool, place) for place in range(count)]
            update_servers(self.pipeline.planners[pool], servers)
        self.random = Random(seed)
        self.may_return = may_return
        self.returned: dict[str, int] = {}

    def lose(self, pool: str, count: int, from_ms: int, until_ms: int) -> None:
        """Let some servers of a pool be gone for a time."""
        planner = self.pipeline.planners[pool]
        servers = [pool_server(pool, place) for place in range(SERVERS[pool])]
        left = servers[count:]
        self.at(from_ms, lambda: update_servers(planner, left))
        self.at(until_ms, lambda: update_servers(planner, servers))

    def done(self, done: AskDone) -> None:
        """Let the caller of a refused request come back."""
        super().done(done)
        job = self.jobs[done.ask_id.partition(".")[0]]
        if done.failure is None or job.attempt or not self.may_return:
            return
        left_ms = job.deadline_ms - self.now_ms
        told_ms = retry_after_ms(done.wait_ms, left_ms, self.random)
        back_ms = self.now_ms + told_ms + 2 * CALLER_LATENCY_MS
        if back_ms < job.deadline_ms:
            self.at(back_ms, lambda: self.come_back(job))

    def come_back(self, job: Job) -> None:
        """Send a request once more, as a new attempt."""
        job.attempt += 1
        job.sent_ms = self.now_ms
        job.refused_after_ms = None
        job.stage = 0
        job.handles = ()
        self.returned[job.name] = self.now_ms
        self.ask(job)

    def in_time(self, kind: str = "") -> int:
        """Return how many requests were served within their targets."""
        return sum(
            job.ended_ms is not None and job.ended_ms - job.at_ms <= job.kind.aim_ms
            for job in self.jobs.values()
            if kind in ("", job.kind.name)
        )

    def unserved(self, kind: str = "") -> int:
        """Return how many requests were not served at all."""
        return sum(
            job.ended_ms is None
            for job in self.jobs.values()
            if kind in ("", job.kind.name)
        )

    def returned_served(self) -> tuple[int, int]:
        """Return how many requests came back, and how many of them were served."""
        back = [self.jobs[name] for name in self.returned]
        return len(back), sum(job.ended_ms is not None for job in back)
