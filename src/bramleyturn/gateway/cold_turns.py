"""Ask the owner of the stages for turns at cold servers, and grant them as the owner.

Messages: `cold_ask` with `attempt_id`, `servers` (the runs that a request would use)
and `wait_ms` (how long it may wait); `cold_turn` with `attempt_id`, `server` (a run,
empty if there is no turn in time) and `wait_ms` (until the turn, or until the next
one). The instance adds a number to the attempt, so that a late answer is not taken for
one to a later ask.
"""

import itertools
import logging
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

from twisted.internet.defer import Deferred

from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.coldstart.asking import (
    AskTimes,
    note_no_turn,
    note_silent_owner,
    runs_to_ask,
)
from bramleyturn.core.coldstart.cold_runs import ColdRule
from bramleyturn.core.coldstart.turns import (
    ASK_TIMEOUT_MS,
    MAX_AHEAD_MS,
    RETRY_MS,
    Grant,
    Turn,
    grant_turn,
    granted_turn,
    is_valid,
)
from bramleyturn.core.fleet.owners import STAGES, owner_of
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.cold_servers import (
    cold_rule,
    is_cold,
    may_grant_now,
    note_owner,
)
from bramleyturn.gateway.metrics import count
from bramleyturn.gateway.peer_links import Message, PeerLinks
from bramleyturn.gateway.serving import Serving
from bramleyturn.runtime.timers import stop_timer

# Whether this instance is the owner is checked at this interval.
CHECK_INTERVAL_MS: Final = 200
MAX_ASKED: Final = 8
MAX_WAIT_MS: Final = 3_600_000

logger = logging.getLogger(__name__)


class ColdAsk(NamedTuple):
    """Ask for a turn at one of several runs, within ``wait_ms``."""

    attempt_id: str
    servers: tuple[str, ...]
    wait_ms: int


class ColdTurn(NamedTuple):
    """Grant a turn, or tell how long it is until the next one."""

    attempt_id: str
    server: str
    wait_ms: int


class ColdTurns:
    """Hold the asks of this instance that have no answer yet."""

    def __init__(self, serving: Serving, links: PeerLinks) -> None:
        self.serving = serving
        self.links = links
        self.times = AskTimes()
        self.asking: dict[str, Deferred[Grant | None]] = {}
        self.numbers = itertools.count()

    def check_owner(self) -> None:
        """Check at intervals whether this instance is the owner."""
        serving = self.serving
        serving.reactor.callLater(CHECK_INTERVAL_MS / MS_PER_S, self.check_owner)
        if serving.settings.bounds.cold_slack is not None:
            note_owner(serving)

    async def take(
        self, attempt_id: str, servers: Sequence[BackendServer], most_ms: int
    ) -> Turn | int:
        """Return a turn at one of several cold servers, which starts in ``most_ms``.

        Return how many milliseconds it is until the next turn if there is none.
        """
        serving = self.serving
        asked_ms = serving.now_ms()
        known = [run_name(server) for server in servers]
        reach_ms = min(most_ms, MAX_AHEAD_MS)
        runs = runs_to_ask(self.times, known, reach_ms, asked_ms)[:MAX_ASKED]
        if not runs:
            count(serving.metrics, "cold_asks", "not_asked")
            next_ms = min(self.times.next_ms.get(run, 0) for run in known)
            return max(RETRY_MS, next_ms - asked_ms)
        grant = await self._ask(attempt_id, runs, most_ms)
        received_ms = serving.now_ms()
        if grant is None:
            count(serving.metrics, "cold_asks", "unanswered")
            note_silent_owner(self.times, received_ms)
            return RETRY_MS
        if grant.run not in runs:
            count(serving.metrics, "cold_asks", "none")
            note_no_turn(self.times, runs, grant.wait_ms, received_ms)
            return grant.wait_ms
        count(serving.metrics, "cold_asks", "granted")
        return granted_turn(grant, asked_ms, received_ms)

    async def _ask(
        self, attempt_id: str, runs: Sequence[str], most_ms: int
    ) -> Grant | None:
        """Return the answer of the owner, None if there is none in time."""
        serving = self.serving
        owner = owner_of(STAGES, serving.live())
        if owner is None or owner.name == serving.me.name:
            return self._grant(runs, most_ms)
        ask_id = f"{attempt_id}#{next(self.numbers)}"
        answered: Deferred[Grant | None] = Deferred()
        self.asking[ask_id] = answered
        ask = ColdAsk(ask_id, tuple(runs), most_ms)
        self.links.send(owner.name, encode_cold_ask(ask))
        timer = serving.reactor.callLater(
            ASK_TIMEOUT_MS / MS_PER_S, self._answer, ask_id, None
        )
        try:
            return await answered
        finally:
            stop_timer(timer)
            self.asking.pop(ask_id, None)

    def _answer(self, ask_id: str, grant: Grant | None) -> None:
        answered = self.asking.pop(ask_id, None)
        if answered is None:
            if grant is not None and grant.run:
                count(self.serving.metrics, "cold_turns", "late")
            return
        answered.callback(grant)

    def handle_turn(self, turn: ColdTurn) -> None:
        """Handle the answer of the owner."""
        self._answer(turn.attempt_id, Grant(turn.server, turn.wait_ms))

    def handle_ask(self, origin: str, ask: ColdAsk) -> None:
        """Answer the ask of an instance."""
        grant = self._grant(ask.servers, ask.wait_ms)
        turn = ColdTurn(ask.attempt_id, grant.run, grant.wait_ms)
        self.links.send(origin, encode_cold_turn(turn))

    def _grant(self, runs: Sequence[str], most_ms: int) -> Grant:
        serving = self.serving
        if not may_grant_now(serving):
            return Grant("", RETRY_MS)
        options = [(run, rule) for run in runs if (rule := self._rule(run)) is not None]
        grant = grant_turn(serving.turn_grants, options, most_ms, serving.now_ms())
        count(serving.metrics, "cold_grants", "granted" if grant.run else "none")
        return grant

    def _rule(self, run: str) -> ColdRule | None:
        """Return the bound of a registered run, None for others."""
        entry = self.serving.registry.entries.get(run.rpartition("@")[0])
        if entry is None or run_name(entry.server) != run:
            return None
        return cold_rule(self.serving, entry.server.pool)

    def may_send(self, server: BackendServer, turn: Turn | None) -> bool:
        """Return whether a request may be sent now, on a connection that is open.

        The entry of its server may have changed since the server was chosen.
        """
        serving = self.serving
        entry = serving.registry.entries.get(server.id)
        present = entry.server if entry is not None else server
        if not is_cold(serving, present) and not is_cold(serving, server):
            return True
        is_used = turn is not None and is_valid(
            turn, run_name(present), serving.now_ms()
        )
        count(serving.metrics, "cold_turns", "used" if is_used else "withheld")
        return is_used


def encode_cold_ask(ask: ColdAsk) -> Message:
    """Encode an ask for a turn."""
    return {"type": "cold_ask", **ask._asdict(), "servers": list(ask.servers)}


def decode_cold_ask(message: Message) -> ColdAsk | None:
    """Decode an ask for a turn; return None if malformed."""
    attempt_id, servers = message.get("attempt_id"), message.get("servers")
    wait_ms = _wait_ms(message)
    if not isinstance(attempt_id, str) or wait_ms is None:
        return None
    if not isinstance(servers, list) or len(servers) > MAX_ASKED:
        return None
    if not all(isinstance(run, str) for run in servers):
        return None
    return ColdAsk(attempt_id, tuple(servers), wait_ms)


def encode_cold_turn(turn: ColdTurn) -> Message:
    """Encode a turn."""
    return {"type": "cold_turn", **turn._asdict()}


def decode_cold_turn(message: Message) -> ColdTurn | None:
    """Decode a turn; return None if malformed."""
    attempt_id, server = message.get("attempt_id"), message.get("server")
    wait_ms = _wait_ms(message)
    if not isinstance(attempt_id, str) or not isinstance(server, str):
        return None
    return None if wait_ms is None else ColdTurn(attempt_id, server, wait_ms)


def _wait_ms(message: Message) -> int | None:
    wait_ms: Any = message.get("wait_ms")
    if type(wait_ms) is not int or not 0 <= wait_ms <= MAX_WAIT_MS:
        return None
    return wait_ms
