"""Plan the work of the stage pools that this instance owns, and call their servers."""

import logging
from collections.abc import Iterable
from typing import Any, Final

from bramleyturn.core.catalog.model import server_address
from bramleyturn.core.fleet.owners import STAGES, owner_of
from bramleyturn.core.pieces.call_results import (
    call_ended,
    call_failed,
    fail_asks,
    forward_moved,
    isolate_asks,
    take_moved,
)
from bramleyturn.core.pieces.handover import (
    Handover,
    hand_over,
    take_back,
    take_over,
)
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
    release,
    release_foreign,
    withdraw,
)
from bramleyturn.core.pieces.short_space import drop_freed, release_fetched
from bramleyturn.core.pieces.stage_server import (
    StageServer,
    note_report,
    note_report_asked,
    note_report_failed,
)
from bramleyturn.core.placement.engine_queues import assign_engine, note_late_engine
from bramleyturn.core.request_names import RequestNames
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.calls import (
    STATUS_OK,
    CallFailed,
    WholeAnswer,
    call,
    peer_of,
)
from bramleyturn.gateway.crash_watch import BROKEN_CONNECTION, CrashWatch
from bramleyturn.gateway.metrics import count, observe
from bramleyturn.gateway.peer_links import PeerLinks
from bramleyturn.gateway.server_limits import begin_call, wait_for
from bramleyturn.gateway.server_notices import (
    note_call_answer,
    note_request_accepted,
)
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.stage_answers import report_origin, run_origin
from bramleyturn.gateway.stage_messages import (
    EngineAsk,
    EngineChosen,
    LateEngine,
    encode_done,
    encode_engine_chosen,
    encode_handover,
    encode_moved,
    encode_withdrawal,
)
from bramleyturn.gateway.stage_releases import (
    CONTROL_CALL_TIMEOUT_MS,
    StageReleases,
    describe_answer,
)
from bramleyturn.platform.answers import read_answer_head
from bramleyturn.platform.stage_calls import (
    REPORT_TARGET,
    RUN_TARGET,
    call_headers,
    decode_free_bytes,
    decode_run,
    encode_run,
    handle_address,
)
from bramleyturn.runtime.timers import stop_timer

# Interval between plans of waiting work when no event triggers one.
TICK_INTERVAL_MS: Final = 60
# Planning time grows with the number of open asks. The interval between two plans grows
# by 1 ms for this many asks, which leaves most of a core for the calls.
ASKS_PLANNED_PER_MS: Final = 16
# A new owner does not hand the stages over again for this long, because instances learn
# of a change of owner at different times.
MIN_OWNERSHIP_MS: Final = 1_000
# Asks come here though another instance owns the stages if it did not acknowledge them
# in time. It is left if it does not acknowledge them from here either within this time.
OWNER_TIMEOUT_MS: Final = 150

logger = logging.getLogger(__name__)


class StageOwner:
    """Hold the planners of this instance, and the instance that sent each ask."""

    def __init__(self, serving: Serving, links: PeerLinks, crashes: CrashWatch) -> None:
        self.serving = serving
        self.links = links
        self.crashes = crashes
        self.pipeline = Pipeline()
        self.origins: dict[str, str] = {}
        self.is_ticking = False
        self.planned_ms = serving.now_ms()
        self.releases = StageReleases(serving, self._schedule_plan)
        self.plan_timer: Any = None
        self.successor = ""
        self.own_until_ms = 0
        self.unconfirmed = ""
        self.owner_timer: Any = None
        serving.on_servers_changed.append(self.servers_changed)
        links.on_failed.append(self.successor_failed)
        links.on_taken.append(self.instance_answered)

    def handle_ask(self, origin: str, ask: StageAsk) -> None:
        """Handle an ask, whether new or a duplicate."""
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
            self._send_done(done)
            return
        if self.crashes.is_suspect(ask.fingerprint):
            isolate_asks(planner, [ask.ask_id])
            self._apply(planner, self._fail_quarantined(planner, [ask.ask_id]))
        self._schedule_plan()

    def handle_engine_ask(self, origin: str, ask: EngineAsk) -> None:
        """Choose the engine of a request that needs no results of stages."""
        option = assign_engine(
            self.pipeline.engines, ask.attempt_id, ask.need, self.serving.now_ms()
        )
        engine = option.server_id if option is not None else ""
        chosen = EngineChosen(ask.attempt_id, engine)
        self.links.send(origin, encode_engine_chosen(chosen))

    def handle_late_engine(self, late: LateEngine) -> None:
        """Assign less to an engine that was late with a request of an instance."""
        now_ms = self.serving.now_ms()
        note_late_engine(self.pipeline.engines, late.engine, late.late_ms, now_ms)

    def handle_withdrawal(self, pool: str, ask_id: str) -> None:
        """Drop an ask that was withdrawn."""
        planner = self.pipeline.planners.get(pool)
        self.origins.pop(ask_id, None)
        if planner is None:
            return
        state = planner.asks.get(ask_id)
        if state is not None and state.is_moved and self.successor:
            self.links.send(self.successor, encode_withdrawal(pool, ask_id))
        self.releases.send(planner, withdraw(planner, ask_id))

    def handle_release(self, pool: str, handles: list[str], size: int) -> None:
        """Release used results of ``size`` bytes each."""
        planner = self._planner(pool)
        if planner is None:
            return
        left = drop_freed(planner, handles, self.serving.now_ms())
        self.releases.send(planner, release(planner, left))
        self.releases.send(planner, self._foreign_releases(planner, left, size))

    def handle_moved(self, moved: MovedPiece) -> None:
        """Handle the outcome of a piece that the previous owner had started."""
        planner = self._planner(moved.pool)
        if planner is None:
            return
        forwarded = forward_moved(planner, moved) if self.successor else None
        if forwarded is not None:
            self.links.send(self.successor, encode_moved(forwarded))
        else:
            now_ms = self.serving.now_ms()
            self._apply(planner, take_moved(planner, moved, now_ms))
            self._schedule_plan()

    def handle_handover(self, sender: str, handover: Handover) -> None:
        """Continue the work of the previous owner."""
        planner = self._planner(handover.pool)
        if planner is None:
            return
        for ask_handover in handover.asks:
            self.origins.setdefault(ask_handover.ask.ask_id, ask_handover.origin)
        if not self.serving.is_ending:
            self.own_until_ms = self.serving.now_ms() + MIN_OWNERSHIP_MS
        for done in take_over(planner, handover, self.serving.now_ms()):
            self._send_done(done)
        logger.info(
            "stages taken over",
            extra={
                "pool": handover.pool,
                "owner_before": sender,
                "asks": len(handover.asks),
            },
        )
        self._schedule_plan()

    def successor_failed(self, name: str) -> None:
        """Take the stages back from an instance that does not acknowledge messages."""
        if name != self.successor:
            return
        self.successor = ""
        taken = take_back(self.pipeline, self.serving.now_ms())
        if taken:
            logger.info("stages taken back", extra={"owner": name, "asks": taken})
            self._schedule_plan()

    def is_calling(self) -> bool:
        """Return whether a stage call is in progress, whose outcome others await."""
        return any(planner.calls for planner in self.pipeline.planners.values())

    def end_calls(self) -> None:
        """Give the calls in progress up, because the process is about to end."""
        now_ms = self.serving.now_ms()
        for planner in self.pipeline.planners.values():
            for call_id in list(planner.calls):
                self._apply(planner, call_failed(planner, call_id, False, now_ms))

    def _hand_over(self) -> None:
        """Hand over all pools if another instance owns the stages now.

        This comes before each plan: an instance that could not reach the owner sends
        its asks here, and two that plan at once call servers that are busy.
        """
        serving = self.serving
        owner = owner_of(STAGES, serving.live())
        now_ms = serving.now_ms()
        if owner is None:
            return
        if owner.name == serving.me.name:
            self.successor = ""
            return
        if now_ms < self.own_until_ms and not serving.is_ending:
            return
        # The outcome of calls that are still in progress goes there, too.
        self.successor = owner.name
        handovers = hand_over(self.pipeline, self.origins, now_ms)
        if not handovers:
            return
        for handover in handovers:
            self.links.send(owner.name, encode_handover(handover, now_ms))
        if not any(handover.servers for handover in handovers):
            self._await_owner(owner.name)
        logger.info(
            "stages handed over",
            extra={
                "owner": owner.name,
                "asks": sum(len(handover.asks) for handover in handovers),
            },
        )

    def _await_owner(self, name: str) -> None:
        """Expect an instance to take asks that came here though it is the owner.

        The instances that sent them here got no answer from it in time, so that it
        has less time for another one.
        """
        if self.unconfirmed == name:
            return
        self.unconfirmed = name
        delay_s = OWNER_TIMEOUT_MS / MS_PER_S
        stop_timer(self.owner_timer)
        reactor = self.serving.reactor
        self.owner_timer = reactor.callLater(delay_s, self._end_wait, name)

    def instance_answered(self, name: str) -> None:
        """Note that an instance acknowledged messages."""
        if self.unconfirmed == name:
            self.unconfirmed = ""
            stop_timer(self.owner_timer)

    def _end_wait(self, name: str) -> None:
        if self.unconfirmed == name:
            self.unconfirmed = ""
            self.links.give_up(name)

    def _foreign_releases(
        self, planner: Planner, handles: list[str], size: int
    ) -> list[Release]:
        """Return the releases of results that a previous owner had made."""
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
        """Update the servers that accept new work."""
        for pool, planner in self.pipeline.planners.items():
            update_servers(planner, self.serving.ready(pool))
        self._schedule_plan()

    def _planner(self, pool: str) -> Planner | None:
        known = self.pipeline.planners.get(pool)
        limits = self.serving.stage_limits.get(pool)
        if limits is None:
            return known
        if known is None:
            known = self.pipeline.planners[pool] = Planner(pool, limits)
            update_servers(known, self.serving.ready(pool))
        known.limits = limits
        return known

    def _schedule_plan(self) -> None:
        """Schedule the next plan, which covers all events until then."""
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
        self._hand_over()
        self._await_turns(now_ms)
        outcomes = plan(self.pipeline, now_ms)
        for pool, outcome in outcomes.items():
            self._apply(self.pipeline.planners[pool], outcome)
        for pool, releases in release_fetched(self.pipeline, now_ms).items():
            self.releases.send(self.pipeline.planners[pool], releases)
        self._request_reports(now_ms)
        self.releases.send_held(self.pipeline)
        if not self.is_ticking:
            self.is_ticking = True
            self.serving.reactor.callLater(TICK_INTERVAL_MS / MS_PER_S, self._tick)

    def _await_turns(self, now_ms: int) -> None:
        """Keep calls from the servers whose limits do not allow another one yet."""
        for planner in self.pipeline.planners.values():
            for state in planner.servers.values():
                turn_ms = wait_for(self.serving, state.server, is_sole=True)
                if turn_ms:
                    until_ms = now_ms + turn_ms
                    state.backoff_until_ms = max(state.backoff_until_ms, until_ms)

    def _tick(self) -> None:
        self.is_ticking = False
        self._hand_over()
        planners = self.pipeline.planners.values()
        open_asks = {ask_id for planner in planners for ask_id in planner.asks}
        for ask_id in self.origins.keys() - open_asks:
            del self.origins[ask_id]
        if any(planner.asks or planner.done for planner in planners):
            self._schedule_plan()

    def _apply(self, planner: Planner, outcome: Outcome) -> None:
        self.releases.send(planner, outcome.releases)
        for refused in outcome.refused:
            fields = refused._asdict()
            fields["request_id"] = fields.pop("attempt_id")
            logger.info("stage refused", extra=fields)
        for done in outcome.done:
            self._send_done(done)
        for moved in outcome.moved:
            if self.successor:
                self.links.send(self.successor, encode_moved(moved))
        for stage_call in outcome.calls:
            work = self._call(planner, stage_call)
            run_in_background(work, "stage call")

    def _send_done(self, done: AskDone) -> None:
        # A duplicate ask restores its origin.
        origin = self.origins.pop(done.ask_id, None)
        if origin is not None:
            self.links.send(origin, encode_done(done))

    async def _call(self, planner: Planner, stage_call: StageCall) -> None:
        """Call a server of a stage, and plan again with the outcome."""
        serving = self.serving
        state = planner.servers[stage_call.server_id]
        sent_ms = serving.now_ms()
        may_send = begin_call(serving, state.server)
        answer = await call(
            serving.servers_pool,
            peer_of(state.server),
            b"POST",
            RUN_TARGET,
            call_headers(stage_call.server_id),
            encode_run(stage_call.pieces, sent_ms),
            stage_call.timeout_ms,
            judge_origin=run_origin(len(stage_call.pieces)),
            may_send=may_send,
        )
        now_ms = serving.now_ms()
        note_call_answer(serving, state.server, answer)
        made = None
        if isinstance(answer, WholeAnswer) and answer.status == STATUS_OK:
            note_request_accepted(serving, state.server, sent_ms)
            made = decode_run(answer.body, len(stage_call.pieces))
        result = describe_answer(answer) if made is None else "made"
        count(serving.metrics, "stage_calls", f"{planner.pool} {result}")
        count(serving.metrics, "stage_pieces", planner.pool, len(stage_call.pieces))
        observe(serving.metrics, "stage_call", now_ms - sent_ms, planner.pool)
        logger.info(
            "stage call",
            extra={
                "pool": planner.pool,
                "server": stage_call.server_id,
                "requests": sorted({piece.attempt_id for piece in stage_call.pieces}),
                "pieces": len(stage_call.pieces),
                "took_ms": now_ms - sent_ms,
                "limit_ms": stage_call.timeout_ms,
                "pace": round(state.pace, 2),
                "outcome": result,
                "framing": answer.framing if isinstance(answer, WholeAnswer) else None,
                "failures": _failures(made),
            },
        )
        if made is None:
            if isinstance(answer, CallFailed) and answer.reason in BROKEN_CONNECTION:
                await self._connection_broke(planner, stage_call)
            was_refused = isinstance(answer, WholeAnswer) and (
                read_answer_head(answer.status, answer.headers).was_not_run
            )
            outcome = call_failed(planner, stage_call.call_id, was_refused, now_ms)
            self._apply(planner, self._fail_quarantined(planner, list(planner.asks)))
        else:
            outcome = call_ended(planner, stage_call.call_id, made, now_ms)
        self._apply(planner, outcome)
        self._schedule_plan()

    async def _connection_broke(self, planner: Planner, stage_call: StageCall) -> None:
        """Check a server whose connection broke, and isolate the asks on it."""
        running = planner.calls.get(stage_call.call_id)
        state = planner.servers.get(stage_call.server_id)
        if running is None or state is None:
            return
        asks = [planner.asks.get(ask_id) for ask_id, _ in running.parts]
        fingerprints = {each.ask.fingerprint for each in asks if each is not None}
        await self.crashes.connection_broke(state.server, fingerprints - {""})
        isolate_asks(
            planner,
            [
                each.ask.ask_id
                for each in asks
                if each is not None and self.crashes.is_suspect(each.ask.fingerprint)
            ],
        )

    def _fail_quarantined(self, planner: Planner, ask_ids: Iterable[str]) -> Outcome:
        """End the asks of quarantined requests."""
        quarantined = [
            ask_id
            for ask_id in ask_ids
            if (state := planner.asks.get(ask_id)) is not None
            and self.crashes.quarantine_of(RequestNames(state.ask.fingerprint))
            is not None
        ]
        for ask_id in quarantined:
            attempt_id = planner.asks[ask_id].ask.attempt_id
            logger.info("stage quarantined", extra={"request_id": attempt_id})
        return fail_asks(planner, quarantined, self.serving.now_ms())

    def _request_reports(self, now_ms: int) -> None:
        for planner, state in reports_wanted(self.pipeline, now_ms):
            if wait_for(self.serving, state.server, is_sole=True):
                continue
            note_report_asked(state, now_ms)
            work = self._read_report(planner, state)
            run_in_background(work, "stage server report")

    async def _read_report(self, planner: Planner, state: StageServer) -> None:
        """Request a server's free capacity; results of other owners may use it up."""
        count(self.serving.metrics, "stage_reports", planner.pool)
        may_send = begin_call(self.serving, state.server)
        answer = await call(
            self.serving.servers_pool,
            peer_of(state.server),
            b"GET",
            REPORT_TARGET,
            call_headers(state.server.id),
            b"",
            CONTROL_CALL_TIMEOUT_MS,
            judge_origin=report_origin,
            may_send=may_send,
        )
        note_call_answer(self.serving, state.server, answer)
        free = None
        if isinstance(answer, WholeAnswer) and answer.status == STATUS_OK:
            free = decode_free_bytes(answer.body)
        now_ms = self.serving.now_ms()
        if free is None:
            note_report_failed(state, now_ms)
            logger.info(
                "stage server gave no report",
                extra={"server": state.server.id, "reason": describe_answer(answer)},
            )
            return
        note_report(state, planner.limits, free, now_ms)
        logger.info(
            "stage server report",
            extra={
                "server": state.server.id,
                "free_bytes": free,
                "foreign_bytes": state.foreign_bytes,
            },
        )
        self._schedule_plan()


def _failures(made: Any) -> list[str]:
    return [str(piece.failure) for piece in made or () if piece.failure is not None]
