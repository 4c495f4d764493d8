"""Play asks for turns at one cold server, with messages that are late or lost.

Heartbeats go to the instances that may become the owner, and theirs to all.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, Final

from bramleyturn.core.coldstart.asking import (
    AskTimes,
    note_no_turn,
    note_silent_owner,
    runs_to_ask,
)
from bramleyturn.core.coldstart.cold_runs import ColdRule
from bramleyturn.core.coldstart.turns import (
    ASK_TIMEOUT_MS,
    RETRY_MS,
    Grant,
    Hearing,
    TurnGrants,
    grant_turn,
    granted_turn,
    is_valid,
    may_grant,
    note_ownership,
)
from bramleyturn.core.fleet.members import (
    Heartbeat,
    MemberRef,
    Members,
    live_members,
    merge_heartbeats,
    recent_members,
)
from bramleyturn.core.fleet.owners import STAGES, owner_of
from bramleyturn.core.fleet.store_revision import FIRST_REVISION

RULE: Final = ColdRule(3_000, 5.9, 13.85)
RUN: Final = "s1@1"
BEAT_MS: Final = 400
CHECK_MS: Final = 200
# Instances with the most capacity, one of which is the owner.
ABLE: Final = 6


class SimulatedInstance:
    """Hold one instance; ``side`` is where it is in a partition."""

    def __init__(self, place: int, now_ms: int, starts: int = 0) -> None:
        capacity = 100 if place < ABLE else 50
        self.place = place
        self.starts = starts
        me = MemberRef(f"front-{place}", "z", f"{place}", f"{starts:04d}", capacity)
        self.members = Members(me, ("0", "1", "2"), now_ms)
        self.grants = TurnGrants(now_ms)
        self.times = AskTimes()
        self.beats = 0
        self.side = 0
        self.is_up = True


class TurnSimulation:
    """Hold the instances, the events to come and the requests that the server got.

    ``waits_ms`` is how long a request may wait for its turn, and ``connecting_ms`` has
    the times that connections take, each as likely. ``unused`` counts turns that were
    not used in time.
    """

    def __init__(
        self, seed: int, size: int, asks_per_s: float, loss: float, waits_ms: int
    ) -> None:
        self.random = Random(seed)
        self.size = size
        self.loss = loss
        self.waits_ms = waits_ms
        self.connecting_ms: tuple[int, ...] = (0, 0, 2, 20, 90, 120)
        self.asks_per_s = asks_per_s
        self.now_ms = 0
        self.number = count()
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.instances = [SimulatedInstance(place, 0) for place in range(size)]
        self.arrivals_ms: list[int] = []
        self.granting: set[int] = set()
        self.unused = 0
        for place in range(size):
            self.after(self.random.randrange(BEAT_MS), self.beat, place)
            self.after(self.random.randrange(CHECK_MS), self.check, place)
        self.after(0, self.arrive)

    def after(self, delay_ms: int, run: Callable[..., None], *args: Any) -> None:
        """Run a function after a delay."""
        at_ms = self.now_ms + delay_ms
        heappush(self.events, (at_ms, next(self.number), run, args))

    def play(self, until_ms: int) -> None:
        """Let the time pass."""
        while self.events and self.events[0][0] < until_ms:
            self.now_ms, _, run, args = heappop(self.events)
            run(*args)
        self.now_ms = until_ms

    def send(
        self, source: int, target: int, run: Callable[..., None], *args: Any
    ) -> None:
        """Deliver a message, late or not at all now and then."""
        if self.instances[source].side != self.instances[target].side:
            return
        drawn = self.random.random()
        if source != target and drawn < self.loss:
            return
        is_late = source != target and drawn < 2 * self.loss
        delay_ms = self.random.randrange(20, 900) if is_late else 1
        self.after(delay_ms + self.random.randrange(4), run, *args)

    def crash(self, place: int, down_ms: int) -> None:
        """End an instance, which starts again later and has forgotten everything."""
        old = self.instances[place]
        old.is_up = False

        def start() -> None:
            new = SimulatedInstance(place, self.now_ms, old.starts + 1)
            new.side = old.side
            self.instances[place] = new

        self.after(down_ms, start)

    def part(self, sides: Callable[[int], int]) -> None:
        """Put each instance on a side that the others do not reach."""
        for each in self.instances:
            each.side = sides(each.place)

    def owner(self) -> int:
        """Return the instance that owns the task while all are live."""
        able = [each.members.me for each in self.instances[:ABLE]]
        owner = owner_of(STAGES, able)
        assert owner is not None
        return int(owner.address)

    def beat(self, place: int) -> None:
        """Send a heartbeat."""
        self.after(BEAT_MS, self.beat, place)
        each = self.instances[place]
        if not each.is_up:
            return
        each.beats += 1
        heartbeat = Heartbeat(each.members.me, each.beats, FIRST_REVISION, False)
        for target in range(self.size if place < ABLE else min(ABLE, self.size)):
            if target != place:
                self.send(place, target, self.hear, target, heartbeat)

    def hear(self, place: int, heartbeat: Heartbeat) -> None:
        """Receive a heartbeat."""
        merge_heartbeats(self.instances[place].members, [heartbeat], self.now_ms)

    def owner_seen_by(self, place: int) -> int:
        """Return the instance that another one takes for the owner."""
        live = live_members(self.instances[place].members, self.now_ms)
        owner = owner_of(STAGES, live)
        assert owner is not None
        return int(owner.address)

    def check(self, place: int) -> None:
        """Let an instance check whether it is the owner."""
        self.after(CHECK_MS, self.check, place)
        each = self.instances[place]
        if each.is_up and place < ABLE:
            is_owner = self.owner_seen_by(place) == place
            note_ownership(each.grants, is_owner, self.now_ms)

    def arrive(self) -> None:
        """Let a request arrive at some instance."""
        self.after(1 + int(self.random.expovariate(self.asks_per_s / 1e3)), self.arrive)
        place = self.random.randrange(self.size)
        each = self.instances[place]
        asked = runs_to_ask(each.times, [RUN], self.waits_ms, self.now_ms)
        if not each.is_up or not asked:
            return
        owner = self.owner_seen_by(place)
        state = {"is_open": True}
        self.send(place, owner, self.ask, owner, place, self.now_ms, state)
        self.after(ASK_TIMEOUT_MS, self.give_up, each, state)

    def give_up(self, each: SimulatedInstance, state: dict[str, bool]) -> None:
        """End the wait for an answer."""
        if state["is_open"]:
            state["is_open"] = False
            note_silent_owner(each.times, self.now_ms)

    def ask(self, place: int, origin: int, asked_ms: int, state: Any) -> None:
        """Handle an ask."""
        each = self.instances[place]
        if not each.is_up:
            return
        note_ownership(each.grants, self.owner_seen_by(place) == place, self.now_ms)
        hearing = Hearing(
            len(live_members(each.members, self.now_ms)),
            len(recent_members(each.members, self.now_ms)),
            self.size > 1,
        )
        grant = Grant("", RETRY_MS)
        if may_grant(each.grants, hearing, self.now_ms):
            options = [(RUN, RULE)]
            grant = grant_turn(each.grants, options, self.waits_ms, self.now_ms)
            self.granting.add(place)
        self.send(place, origin, self.answer, origin, grant, asked_ms, state)

    def answer(
        self, place: int, grant: Grant, asked_ms: int, state: dict[str, bool]
    ) -> None:
        """Handle an answer, and use the turn."""
        each = self.instances[place]
        if not state["is_open"] or not each.is_up:
            self.unused += bool(grant.run)
            return
        state["is_open"] = False
        if not grant.run:
            note_no_turn(each.times, [RUN], grant.wait_ms, self.now_ms)
            return
        turn = granted_turn(grant, asked_ms, self.now_ms)
        connecting_ms = self.random.choice(self.connecting_ms)
        self.after(grant.wait_ms + connecting_ms, self.use, each, turn)

    def use(self, each: SimulatedInstance, turn: Any) -> None:
        """Send the request once the connection is open."""
        if each.is_up and is_valid(turn, RUN, self.now_ms):
            self.after(self.random.randrange(1, 4), self.reach_server)
        else:
            self.unused += 1

    def reach_server(self) -> None:
        """Let a request reach the server."""
        self.arrivals_ms.append(self.now_ms)

    def most_in_a_second(self) -> int:
        """Return the most requests in any second."""
        times_ms = sorted(self.arrivals_ms)
        most = first = 0
        for place, at_ms in enumerate(times_ms):
            while at_ms - times_ms[first] > 1_000:
                first += 1
            most = max(most, place - first + 1)
        return most
