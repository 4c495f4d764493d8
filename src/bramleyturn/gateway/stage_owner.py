"""Plan and call the servers of the pools whose work this instance is asked for."""

import logging
from typing import Any, Final

from twisted.internet.defer import Deferred

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.pieces.model import AskDone, Release, StageAsk, StageCall
from bramleyturn.core.pieces.pipeline import Pipeline, plan, take_ask
from bramleyturn.core.pieces.planner import (
    Outcome,
    Planner,
    call_ended,
    call_failed,
    release,
    released,
    update_servers,
    withdraw,
)
from bramleyturn.gateway.calls import CallBroken, Peer, WholeAnswer, call
from bramleyturn.gateway.metrics import count, observe
from bramleyturn.gateway.peer_links import PeerLinks
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.stage_messages import encode_done
from bramleyturn.platform.answers import read_answer_head
from bramleyturn.platform.stage_calls import (
    RELEASE_TARGET,
    RUN_TARGET,
    call_headers,
    decode_run,
    encode_release,
    encode_run,
)

MS_PER_S: Final = 1_000
STATUS_OK: Final = 200
# How often waiting work is looked at when nothing else happens.
TICK_MS: Final = 60
RELEASE_TIMEOUT_MS: Final = 1_000

logger = logging.getLogger(__name__)


class StageOwner:
    """Hold the planners of this instance, and who asked for what."""

    def __init__(self, serving: Serving, links: PeerLinks) -> None:
        self.serving = serving
        self.links = links
        self.pipeline = Pipeline()
        self.origins: dict[str, str] = {}
        self.is_ticking = False
        serving.on_servers_changed.append(self.servers_changed)

    def take_ask(self, origin: str, ask: StageAsk) -> None:
        """Take in an ask, new or repeated."""
        planner = self._planner(ask.pool)
        for later in ask.later:
            self._planner(later.pool)
        if planner is None:
            logger.info("stage pool unknown", extra={"pool": ask.pool})
            return
        now_ms = self.serving.now_ms()
        self.origins[ask.ask_id] = origin
        done = take_ask(self.pipeline, ask, now_ms)
        if done is not None:
            self._tell(done)
            return
        self._run()

    def take_withdrawal(self, pool: str, ask_id: str) -> None:
        """Drop an ask that nobody waits for."""
        planner = self.pipeline.planners.get(pool)
        self.origins.pop(ask_id, None)
        if planner is not None:
            self._release(planner, withdraw(planner, ask_id))

    def take_release(self, pool: str, handles: list[str]) -> None:
        """Give up results that were used."""
        planner = self._planner(pool)
        if planner is None:
            return
        self._release(planner, release(planner, handles))

    def servers_changed(self) -> None:
        """Take over which servers take new work."""
        for pool, planner in self.pipeline.planners.items():
            update_servers(planner, self.serving.ready(pool))
        self._run()

    def _planner(self, pool: str) -> Planner | None:
        known = self.pipeline.planners.get(pool)
        published = self.serving.published
        described = published.pools.get(pool) if published is not None else None
        limits = described.batch if described is not None else None
        if limits is None:
            return known
        if known is None:
            known = self.pipeline.planners[pool] = Planner(pool, limits)
            update_servers(known, self.serving.ready(pool))
        known.limits = limits
        return known

    def _run(self) -> None:
        outcomes = plan(self.pipeline, self.serving.now_ms())
        for pool, outcome in outcomes.items():
            self._carry_out(self.pipeline.planners[pool], outcome)
        if not self.is_ticking:
            self.is_ticking = True
            self.serving.reactor.callLater(TICK_MS / MS_PER_S, self._tick)

    def _tick(self) -> None:
        self.is_ticking = False
        planners = self.pipeline.planners.values()
        if any(planner.asks or planner.done for planner in planners):
            self._run()

    def _carry_out(self, planner: Planner, outcome: Outcome) -> None:
        self._release(planner, outcome.releases)
        for done in outcome.done:
            self._tell(done)
        for ordered in outcome.calls:
            made = self._call(planner, ordered)
            Deferred.fromCoroutine(made).addErrback(_log_failure)

    def _tell(self, done: AskDone) -> None:
        origin = self.origins.get(done.ask_id)
        if origin is not None:
            self.links.send(origin, encode_done(done))

    async def _call(self, planner: Planner, ordered: StageCall) -> None:
        """Make one call to a server of a stage and plan on from what it brought."""
        serving = self.serving
        state = planner.servers[ordered.server_id]
        sent_ms = serving.now_ms()
        answer = await call(
            serving.servers_pool,
            _peer(state.server),
            b"POST",
            RUN_TARGET,
            call_headers(ordered.server_id),
            encode_run(ordered.pieces, sent_ms),
            ordered.timeout_ms,
        )
        now_ms = serving.now_ms()
        made = None
        if isinstance(answer, WholeAnswer) and answer.status == STATUS_OK:
            made = decode_run(answer.body, len(ordered.pieces))
        result = _describe(answer) if made is None else "made"
        count(serving.metrics, "stage_calls", f"{planner.pool} {result}")
        count(serving.metrics, "stage_pieces", planner.pool, len(ordered.pieces))
        observe(serving.metrics, "stage_call", now_ms - sent_ms, planner.pool)
        logger.info(
            "stage call",
            extra={
                "pool": planner.pool,
                "server": ordered.server_id,
                "requests": sorted({piece.attempt_id for piece in ordered.pieces}),
                "pieces": len(ordered.pieces),
                "took_ms": now_ms - sent_ms,
                "limit_ms": ordered.timeout_ms,
                "pace": round(state.pace, 2),
                "outcome": result,
                "failures": _failures(made),
            },
        )
        if made is None:
            was_refused = isinstance(answer, WholeAnswer) and (
                read_answer_head(answer.status, answer.headers).was_not_run
            )
            outcome = call_failed(planner, ordered.call_id, was_refused, now_ms)
        else:
            outcome = call_ended(planner, ordered.call_id, made, now_ms)
        self._carry_out(planner, outcome)
        self._run()

    def _release(self, planner: Planner, releases: list[Release]) -> None:
        for ordered in releases:
            sent = self._call_release(planner, ordered)
            Deferred.fromCoroutine(sent).addErrback(_log_failure)

    async def _call_release(self, planner: Planner, ordered: Release) -> None:
        """Tell a server to give up results, and plan on with the room."""
        state = planner.servers.get(ordered.server_id)
        if state is None:
            return
        answer = await call(
            self.serving.servers_pool,
            _peer(state.server),
            b"POST",
            RELEASE_TARGET,
            call_headers(ordered.server_id),
            encode_release(ordered.handles),
            RELEASE_TIMEOUT_MS,
        )
        if isinstance(answer, CallBroken) or answer.status != STATUS_OK:
            # The results stay counted until the server drops them by itself.
            logger.info(
                "results not released",
                extra={"server": ordered.server_id, "reason": _describe(answer)},
            )
            return
        released(planner, ordered)
        self._run()


def _peer(server: BackendServer) -> Peer:
    return Peer(server.id, server.host, server.port)


def _describe(answer: WholeAnswer | CallBroken) -> str:
    if isinstance(answer, CallBroken):
        return str(answer.reason)
    return f"status {answer.status}"


def _failures(made: Any) -> list[str]:
    if made is None:
        return []
    return [str(piece.failure) for piece in made if piece.failure is not None]


def _log_failure(failure: Any) -> None:
    logger.error(
        "a call to a stage failed",
        extra={"error": failure.type.__name__, "detail": failure.getErrorMessage()},
    )
