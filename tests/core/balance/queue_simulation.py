"""Simulate servers that many instances choose by stale reports, in virtual time."""

import heapq
from collections.abc import Callable
from random import Random
from statistics import fmean
from typing import Final, NamedTuple

from bramleyturn.core.balance.choice import choose_evenly
from bramleyturn.core.balance.speeds import note_said
from bramleyturn.core.balance.state import (
    Balance,
    ServerReport,
    note_ended,
    note_report,
    note_sent,
    run_state,
)
from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.placement import choice

INSTANCES: Final = 119
SERVICE_MS: Final = 100.0
LATE_MS: Final = 300
SPEEDS: Final = (0.6, 1.0, 1.6)
TICK_MS: Final = 20
# Reports are renewed at intervals, and are 100 ms old when they arrive.
RENEWED_MS: Final = 900
LEAST_AGE_MS: Final = 100


class Result(NamedTuple):
    """Hold the spread of the servers' queues, late requests, and all requests."""

    spread: float
    late: int
    requests: int


class Site:
    """Hold servers with queues, and the past numbers of requests at each."""

    def __init__(self, slots: tuple[int, ...]) -> None:
        self.servers = [
            BackendServer(f"s{n}", "p", "10.0.0.1", n, "z", "v", each, False, 0, 0)
            for n, each in enumerate(slots)
        ]
        self.speeds = [SPEEDS[place % len(SPEEDS)] for place in range(len(slots))]
        self.free_ms = [[0.0] * each for each in slots]
        self.requests = [0] * len(slots)
        self.past: list[list[int]] = []

    def serve(self, place: int, work_ms: float, now_ms: int) -> float:
        """Queue a request; return when it ends."""
        self.requests[place] += 1
        begin_ms = max(now_ms, heapq.heappop(self.free_ms[place]))
        end_ms = begin_ms + work_ms / self.speeds[place]
        heapq.heappush(self.free_ms[place], end_ms)
        return end_ms


Choice = Callable[[Site, int, Random, int], int]


def simulate(site: Site, choose: Choice, load: float, seed: int, run_s: int) -> Result:
    """Let instances choose servers at a part of the capacity of all."""
    random, choices = Random(seed), Random(seed)
    capacity = sum(
        server.slots * speed
        for server, speed in zip(site.servers, site.speeds, strict=True)
    )
    rate_per_ms = load * capacity / SERVICE_MS
    ends: list[tuple[float, int, int, int]] = []
    at_ms, late, sent = 0.0, 0, 0
    while at_ms < run_s * 1_000:
        at_ms += random.expovariate(rate_per_ms)
        now_ms = int(at_ms)
        while len(site.past) * TICK_MS <= now_ms:
            tick_ms = len(site.past) * TICK_MS
            while ends and ends[0][0] <= tick_ms:
                end_request(site, choose, heapq.heappop(ends))
            site.past.append(list(site.requests))
        while ends and ends[0][0] <= now_ms:
            end_request(site, choose, heapq.heappop(ends))
        instance = random.randrange(INSTANCES)
        place = choose(site, instance, choices, now_ms)
        work_ms = random.expovariate(1 / SERVICE_MS)
        end_ms = site.serve(place, work_ms, now_ms)
        late += end_ms - at_ms > LATE_MS
        sent += 1
        heapq.heappush(ends, (end_ms, instance, place, now_ms))
    settled = site.past[len(site.past) // 4 :]
    queues = sorted(
        count / speed
        for tick in settled
        for count, speed in zip(tick, site.speeds, strict=True)
    )
    return Result(queues[int(0.99 * len(queues))] / fmean(queues), late, sent)


def end_request(site: Site, choose: Choice, ended: tuple[float, int, int, int]) -> None:
    """End a request at its server and for its instance."""
    _, instance, place, sent_ms = ended
    site.requests[place] -= 1
    if isinstance(choose, StaleChoice):
        choose.end(site, instance, place, sent_ms)


class StaleChoice:
    """Choose as instances do, by reports of 0.1 to 1 s and their own requests."""

    def __init__(self, is_even: bool, seed: int) -> None:
        self.is_even = is_even
        self.random = Random(seed)
        self.balances = [Balance() for _ in range(INSTANCES)]
        self.trackers = [choice.LoadTracker() for _ in range(INSTANCES)]

    def __call__(self, site: Site, instance: int, random: Random, now_ms: int) -> int:
        """Return the place of the server that an instance chooses."""
        for place, server in enumerate(site.servers):
            self._report(site, instance, place, server, now_ms)
        if self.is_even:
            balance = self.balances[instance]
            chosen = choose_evenly(balance, site.servers, random, now_ms)
            assert chosen is not None
            note_sent(balance, run_name(chosen), now_ms)
        else:
            tracker = self.trackers[instance]
            chosen = choice.choose_by_load(site.servers, tracker, random, now_ms)
            assert chosen is not None
            choice.note_sent(tracker, chosen.id)
        return site.servers.index(chosen)

    def _report(
        self, site: Site, instance: int, place: int, server: BackendServer, now_ms: int
    ) -> None:
        phase_ms = (instance * 37 + place * 211) % RENEWED_MS
        heard_ms = now_ms - (now_ms - phase_ms) % RENEWED_MS
        at_ms = heard_ms - LEAST_AGE_MS
        if at_ms < 0:
            return
        requests = site.past[at_ms // TICK_MS][place]
        balance, tracker = self.balances[instance], self.trackers[instance]
        report = ServerReport(requests, 0, server.slots, at_ms)
        if note_report(balance, run_name(server), report):
            # A figure that varies as much as the machine's pace does.
            percent = 100 / site.speeds[place] * self.random.lognormvariate(0, 0.5)
            note_said(run_state(balance, run_name(server)).pace, int(percent))
        known = tracker.reported.get(server.id)
        if known is None or known.at_ms < at_ms:
            choice.note_report(tracker, server.id, requests, at_ms)

    def end(self, site: Site, instance: int, place: int, sent_ms: int) -> None:
        """End a request of an instance."""
        server = site.servers[place]
        if self.is_even:
            note_ended(self.balances[instance], run_name(server), sent_ms)
        else:
            choice.note_ended(self.trackers[instance], server.id)


def with_perfect_knowledge(
    site: Site, _instance: int, _random: Random, _now_ms: int
) -> int:
    """Choose the server that ends a request first, as if all was known."""
    return min(
        range(len(site.servers)),
        key=lambda place: (
            (
                max(0, site.requests[place] + 1 - site.servers[place].slots)
                / site.servers[place].slots
                + 1
            )
            / site.speeds[place]
        ),
    )
