"""Plan and call the servers of the pools whose work this instance is asked for."""

import logging
from typing import Any, Final

from bramleyturn.core.catalog.model import server_address
from bramleyturn.core.fleet.owners import STAGES, owner_of
from bramleyturn.core.pieces.call_results import call_ended, call_failed, take_moved
from bramleyturn.core.pieces.handover import Handover, hand_over, take_over
from bramleyturn.core.pieces.model import AskDone, Release, StageAsk, StageCall
from bramleyturn.core.pieces.pipeline import (
    plan,
    reports_wanted,
    take_ask,
)
from bramleyturn.core.pieces.planner import (
    MovedPiece,
    Outcome,
    Pipeline,
    Planner,
    update_servers,
)
from bramleyturn.core.pieces.releases import (
    confirm_release,
    release,
    release_foreign,
    withdraw,
)
from bramleyturn.core.pieces.stage_server import StageServer, note_report
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.calls import CallBroken, WholeAnswer, call, peer_of
from bramleyturn.gateway.metrics import count, observe
from bramleyturn.gateway.peer_links import PeerLinks
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.stage_messages import (
    encode_done,
    encode_handover,
    encode_moved,
)
from bramleyturn.platform.answers import read_answer_head
from bramleyturn.platform.stage_calls import (
    RELEASE_TARGET,
    REPORT_TARGET,
    RUN_TARGET,
    call_headers,
    decode_free_bytes,
    decode_run,
    encode_release,
    encode_run,
    handle_address,
)

STATUS_OK: Final = 200
# How often waiting work is looked at when nothing else happens.
TICK_MS: Final = 60
RELEASE_TIMEOUT_MS: Final = 1_000
# Planning takes time in proportion to the asks that wait. So many of them are counted
# for each millisecond between two plans, which leaves most of a core for the calls.
ASKS_PLANNED_PER_MS: Final = 16
# Whoever was just handed the stages keeps them for this long: instances learn of a
# change of owner one after the other.
KEEP_MS: Final = 1_000

logger = logging.getLogger(__name__)


class StageOwner:
    """Hold the planners of this instance, and who asked for what."""

    def __init__(self, serving: Serving, links: PeerLinks) -> None:
        self.serving = serving
        self.links = links
        self.pipeline = Pipeline()
        self.origins: dict[str, str] = {}
        self.is_ticking = False
        self.planned_ms = serving.now_ms()
        self.plan_timer: Any = None
        self.successor = ""
        self.keep_until_ms = 0
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

    def take_release(self, pool: str, handles: list[str], size: int) -> None:
        """Give up results of ``size`` bytes each that were used."""
        planner = self._planner(pool)
        if planner is None:
            return
        self._release(planner, release(planner, handles))
        self._release(planner, self._foreign(planner, handles, size))

    def take_moved(self, moved: MovedPiece) -> None:
        """Take in a piece that the owner before this one had made."""
        planner = self._planner(moved.pool)
        if planner is not None:
            now_ms = self.serving.now_ms()
            self._carry_out(planner, take_moved(planner, moved, now_ms))
            self._run()

    def take_handover(self, sender: str, handover: Handover) -> None:
        """Go on from where the owner before this one was."""
        planner = self._planner(handover.pool)
        if planner is None:
            return
        for given in handover.asks:
            self.origins.setdefault(given.ask.ask_id, given.origin)
        if not self.serving.is_ending:
            self.keep_until_ms = self.serving.now_ms() + KEEP_MS
        take_over(planner, handover, self.serving.now_ms())
        logger.info(
            "stages taken over",
            extra={
                "pool": handover.pool,
                "owner_before": sender,
                "asks": len(handover.asks),
            },
        )
        self._run()

    def _hand_over(self) -> None:
        """Hand everything over if another instance owns the stages now."""
        serving = self.serving
        owner = owner_of(STAGES, serving.live())
        now_ms = serving.now_ms()
        if owner is None or owner.name == serving.me.name:
            self.successor = ""
            return
        if now_ms < self.keep_until_ms:
            return
        handovers = hand_over(self.pipeline, self.origins, now_ms)
        if not handovers:
            return
        self.successor = owner.name
        for handover in handovers:
            self.links.send(owner.name, encode_handover(handover, now_ms))
        logger.info(
            "stages handed over",
            extra={
                "owner": owner.name,
                "asks": sum(len(handover.asks) for handover in handovers),
            },
        )

    def _foreign(
        self, planner: Planner, handles: list[str], size: int
    ) -> list[Release]:
        """Return the releases of results that another owner had made."""
        by_address: dict[str, list[str]] = {}
        for handle in handles:
            by_address.setdefault(handle_address(handle), []).append(handle)
        releases = [
            release_foreign(planner, server_id, by_address[address], size)
            for server_id, state in planner.servers.items()
            if (address := server_address(state.server)) in by_address
        ]
        return [each for each in releases if each is not None]

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
        """Plan soon. What comes up until then is planned together."""
        if self.plan_timer is not None:
            return
        open_asks = sum(len(each.asks) for each in self.pipeline.planners.values())
        next_ms = self.planned_ms + open_asks // ASKS_PLANNED_PER_MS
        wait_ms = max(0, next_ms - self.serving.now_ms())
        reactor = self.serving.reactor
        self.plan_timer = reactor.callLater(wait_ms / MS_PER_S, self._plan)

    def _plan(self) -> None:
        self.plan_timer = None
        now_ms = self.planned_ms = self.serving.now_ms()
        outcomes = plan(self.pipeline, now_ms)
        for pool, outcome in outcomes.items():
            self._carry_out(self.pipeline.planners[pool], outcome)
        self._ask_reports(now_ms)
        if not self.is_ticking:
            self.is_ticking = True
            self.serving.reactor.callLater(TICK_MS / MS_PER_S, self._tick)

    def _tick(self) -> None:
        self.is_ticking = False
        self._hand_over()
        planners = self.pipeline.planners.values()
        open_asks = {ask_id for planner in planners for ask_id in planner.asks}
        for ask_id in self.origins.keys() - open_asks:
            del self.origins[ask_id]
        if any(planner.asks or planner.done for planner in planners):
            self._run()

    def _carry_out(self, planner: Planner, outcome: Outcome) -> None:
        self._release(planner, outcome.releases)
        for refused in outcome.refused:
            fields = refused._asdict()
            fields["request_id"] = fields.pop("attempt_id")
            logger.info("stage refused", extra=fields)
        for done in outcome.done:
            self._tell(done)
        for moved in outcome.moved:
            if self.successor:
                self.links.send(self.successor, encode_moved(moved))
        for ordered in outcome.calls:
            made = self._call(planner, ordered)
            run_in_background(made, "a call to a stage")

    def _tell(self, done: AskDone) -> None:
        # A repeated ask names its origin again.
        origin = self.origins.pop(done.ask_id, None)
        if origin is not None:
            self.links.send(origin, encode_done(done))

    async def _call(self, planner: Planner, ordered: StageCall) -> None:
        """Make one call to a server of a stage and plan on from what it brought."""
        serving = self.serving
        state = planner.servers[ordered.server_id]
        sent_ms = serving.now_ms()
        answer = await call(
            serving.servers_pool,
            peer_of(state.server),
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

    def _ask_reports(self, now_ms: int) -> None:
        for planner, state in reports_wanted(self.pipeline, now_ms):
            state.report_asked_ms = now_ms
            asked = self._read_report(planner, state)
            run_in_background(asked, "a report of a stage server")

    async def _read_report(self, planner: Planner, state: StageServer) -> None:
        """Ask a server for its room, which results of another owner may take."""
        count(self.serving.metrics, "stage_reports", planner.pool)
        answer = await call(
            self.serving.servers_pool,
            peer_of(state.server),
            b"GET",
            REPORT_TARGET,
            call_headers(state.server.id),
            b"",
            RELEASE_TIMEOUT_MS,
        )
        free = None
        if isinstance(answer, WholeAnswer) and answer.status == STATUS_OK:
            free = decode_free_bytes(answer.body)
        if free is not None:
            now_ms = self.serving.now_ms()
            note_report(state, planner.limits, free, now_ms)
            logger.info(
                "stage server report",
                extra={
                    "server": state.server.id,
                    "free_bytes": free,
                    "foreign_bytes": state.foreign_bytes,
                },
            )
            self._run()

    def _release(self, planner: Planner, releases: list[Release]) -> None:
        for ordered in releases:
            sent = self._call_release(planner, ordered)
            run_in_background(sent, "a release of results")

    async def _call_release(self, planner: Planner, ordered: Release) -> None:
        """Tell a server to give up results, and plan on with the room."""
        state = planner.servers.get(ordered.server_id)
        if state is None:
            return
        answer = await call(
            self.serving.servers_pool,
            peer_of(state.server),
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
        confirm_release(planner, ordered)
        self._run()


def _describe(answer: WholeAnswer | CallBroken) -> str:
    if isinstance(answer, CallBroken):
        return str(answer.reason)
    return f"status {answer.status}"


def _failures(made: Any) -> list[str]:
    if made is None:
        return []
    return [str(piece.failure) for piece in made if piece.failure is not None]
