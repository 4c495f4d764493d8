"""Send asks for stages to the owner of the stage pools, until they are done.

An ask is sent again at intervals, to the owner at that time. The owner answers a
duplicate like the first one, so an ask survives lost messages and changes of owner.
"""

import logging
from typing import Any, Final

from twisted.internet.defer import Deferred

from bramleyturn.core.fleet.owners import STAGES, owner_of
from bramleyturn.core.pieces.model import AskDone, PieceFailure, StageAsk
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.cold_turns import ColdTurns
from bramleyturn.gateway.metrics import count, observe
from bramleyturn.gateway.peer_links import PeerLinks
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.stage_messages import (
    EngineAsk,
    EngineChosen,
    LateEngine,
    encode_ask,
    encode_engine_ask,
    encode_late_engine,
    encode_withdrawal,
)
from bramleyturn.runtime.timers import stop_timer

RESEND_INTERVAL_MS: Final = 450
# After this time without an answer, a request goes to the engine that its instance
# would choose alone.
ENGINE_WAIT_MS: Final = 60

logger = logging.getLogger(__name__)


class OpenAsk:
    """Hold an ask that has not ended, and the owner it was last sent to.

    ``first`` is the instance that it went to first, another one if that passes it on.
    """

    def __init__(self, ask: StageAsk, ended: "Deferred[AskDone]", now_ms: int) -> None:
        self.ask = ask
        self.ended = ended
        self.asked_ms = now_ms
        self.owner = ""
        self.first = ""
        self.timer: Any = None


class StageAsks:
    """Send and track the open asks of this instance."""

    def __init__(self, serving: Serving, links: PeerLinks) -> None:
        self.serving = serving
        self.links = links
        self.open: dict[str, OpenAsk] = {}
        self.choosing: dict[str, Deferred[str]] = {}
        self.cold_turns = ColdTurns(serving, links)
        links.on_failed.append(self.owner_failed)

    def ask(self, ask: StageAsk) -> "Deferred[AskDone]":
        """Send an ask for a stage. Cancelling the result withdraws the ask."""
        ended: Deferred[AskDone] = Deferred(lambda _: self._withdraw(ask.ask_id))
        state = OpenAsk(ask, ended, self.serving.now_ms())
        self.open[ask.ask_id] = state
        self._send(state)
        return ended

    def choose_engine(self, ask: EngineAsk) -> "Deferred[str]":
        """Return the engine that the owner chooses, empty if it does not in time."""
        attempt_id = ask.attempt_id
        chosen: Deferred[str] = Deferred(lambda _: self._forget_choice(attempt_id))
        self.choosing[attempt_id] = chosen
        owner = owner_of(STAGES, self.serving.live())
        name = owner.name if owner is not None else self.serving.me.name
        self.links.send(name, encode_engine_ask(ask))
        timer = self.serving.reactor.callLater(
            ENGINE_WAIT_MS / MS_PER_S, self.handle_engine, EngineChosen(attempt_id, "")
        )

        def end(result: str) -> str:
            stop_timer(timer)
            return result

        return chosen.addBoth(end)

    def _forget_choice(self, attempt_id: str) -> None:
        self.choosing.pop(attempt_id, None)

    def handle_engine(self, chosen: EngineChosen) -> None:
        """Handle the choice of an engine."""
        waiting = self.choosing.pop(chosen.attempt_id, None)
        if waiting is None:
            return
        how = "owner" if chosen.engine else "alone"
        count(self.serving.metrics, "engines_chosen", how)
        waiting.callback(chosen.engine)

    def report_late_engine(self, server_id: str, late_ms: int) -> None:
        """Tell the owner that an engine was late with a request."""
        owner = owner_of(STAGES, self.serving.live())
        if owner is None:
            return
        count(self.serving.metrics, "engines_late")
        late = encode_late_engine(LateEngine(server_id, late_ms))
        self.links.send(owner.name, late)

    def release(self, pool: str, handles: tuple[str, ...], size: int) -> None:
        """Tell the owner of a pool that results are no longer needed."""
        owner = owner_of(STAGES, self.serving.live())
        if owner is not None and handles:
            message = {
                "type": "release",
                "pool": pool,
                "handles": list(handles),
                "size": size,
            }
            self.links.send(owner.name, message)

    def handle_done(self, sender: str, done: AskDone) -> None:
        """Handle the outcome of an ask."""
        state = self.open.pop(done.ask_id, None)
        if state is None:
            return
        stop_timer(state.timer)
        took_ms = self.serving.now_ms() - state.asked_ms
        observe(self.serving.metrics, "stage", took_ms, state.ask.pool)
        count(self.serving.metrics, "stage_asks", str(done.failure or "made"))
        logger.info(
            "stage ended",
            extra={
                "request_id": state.ask.attempt_id,
                "stage": state.ask.stage,
                "pool": state.ask.pool,
                "pieces": state.ask.piece_count,
                "owner": sender,
                "near_zone": state.ask.near_zone,
                "zones": sorted(set(done.zones)),
                "took_ms": took_ms,
                "due_in_ms": state.ask.due_ms - self.serving.now_ms(),
                "outcome": str(done.failure or "made"),
            },
        )
        state.ended.callback(done)

    def owner_failed(self, name: str) -> None:
        """Send the asks that an instance did not acknowledge to the next owner."""
        for state in list(self.open.values()):
            if name in (state.owner, state.first):
                self._send(state)

    def _send(self, state: OpenAsk) -> None:
        now_ms = self.serving.now_ms()
        ask = state.ask
        if now_ms >= ask.deadline_ms:
            done = AskDone(ask.ask_id, (), (), PieceFailure.LATE)
            self.handle_done(self.serving.me.name, done)
            return
        owner = owner_of(STAGES, self.serving.live())
        name = owner.name if owner is not None else self.serving.me.name
        if state.owner and name != state.owner:
            logger.info(
                "stage asked of another owner",
                extra={
                    "request_id": ask.attempt_id,
                    "pool": ask.pool,
                    "owner_before": state.owner,
                    "owner": name,
                },
            )
        state.owner = name
        stop_timer(state.timer)
        state.timer = self.serving.reactor.callLater(
            RESEND_INTERVAL_MS / MS_PER_S, self._send, state
        )
        state.first = self.links.send(name, encode_ask(ask, now_ms))

    def _withdraw(self, ask_id: str) -> None:
        state = self.open.pop(ask_id, None)
        if state is None:
            return
        stop_timer(state.timer)
        self.links.send(state.owner, encode_withdrawal(state.ask.pool, ask_id))
