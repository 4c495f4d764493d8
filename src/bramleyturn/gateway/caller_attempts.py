"""Choose servers for a caller's request and send it to one after another."""

from collections.abc import Callable
from functools import partial
from typing import Any, TypeGuard

from twisted.internet.task import deferLater

from bramleyturn.core.answer_end import EndVerdict
from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.catalog.prompt import logged_parts, own_tokens
from bramleyturn.core.catalog.server_registry import is_ready
from bramleyturn.core.event_splitter import StreamEvent
from bramleyturn.core.fleet.reachability import note_server_tried
from bramleyturn.core.pieces.short_space import FETCH_MS
from bramleyturn.core.placement.choice import (
    choose_by_load,
    choose_by_prefix,
    engine_need,
    note_ended,
    note_report,
    note_sent,
    usable_servers,
)
from bramleyturn.core.placement.engine_queues import EngineNeed, report_after_ms
from bramleyturn.core.placement.health import note_answered, note_failed
from bramleyturn.core.placement.server_pauses import has_paused_since
from bramleyturn.core.placement.verdicts import (
    FIRST_REDIRECT,
    FIRST_SERVER_ERROR,
    is_safe_to_retry,
)
from bramleyturn.core.stream_position import accept_event
from bramleyturn.core.units import MS_PER_S
from bramleyturn.core.waiting.first_events import first_event_ms, note_first_event
from bramleyturn.core.zones.regions import allowed_regions, servers_in_regions
from bramleyturn.gateway.attempts import (
    Answered,
    AttemptEnd,
    AttemptFailed,
    AttemptRequest,
    NotRun,
    Streamed,
    run_attempt,
)
from bramleyturn.gateway.balance import (
    choose_in_uneven,
    is_uneven,
    note_answer_load,
    note_attempt_end,
    note_request_ended,
    note_request_sent,
)
from bramleyturn.gateway.caller_request import (
    CallerRequest,
    describe_end,
    engine_urgency,
    log_request,
)
from bramleyturn.gateway.cold_choice import take_cold_turn
from bramleyturn.gateway.cold_servers import is_cold
from bramleyturn.gateway.cold_turns import ColdTurns
from bramleyturn.gateway.crash_watch import BROKEN_CONNECTION, CrashWatch
from bramleyturn.gateway.http1_client import FailureReason, Headers
from bramleyturn.gateway.metrics import count, observe
from bramleyturn.gateway.server_limits import (
    LimitReached,
    Turn,
    count_request,
    note_answer,
    open_servers,
    take_turn,
)
from bramleyturn.gateway.server_notices import note_head, note_request_accepted
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.zone_reach import avoided_zones, note_attempt
from bramleyturn.platform.answers import AnswerHead, caller_headers
from bramleyturn.platform.requests import ServerHead, server_headers
from bramleyturn.runtime.timers import stop_timer


class CallerAttempts:
    """Send callers' requests to servers."""

    def __init__(
        self,
        serving: Serving,
        crashes: CrashWatch,
        report_late_engine: Callable[[str, int], None],
        cold_turns: ColdTurns,
    ) -> None:
        self.serving = serving
        self.crashes = crashes
        self.report_late_engine = report_late_engine
        self.cold_turns = cold_turns

    def choose(
        self, request: CallerRequest, tried: frozenset[str]
    ) -> BackendServer | None:
        """Return the server to try next, None if none is left."""
        serving = self.serving
        now_ms = serving.now_ms()
        servers = self._usable(request, tried)
        for server in servers:
            if server.id == request.engine:
                return server
        uses_prefix = request.route.uses_prefix_affinity
        if is_uneven(serving, request.pool):
            prompt = request.head.prompt if uses_prefix else ()
            return choose_in_uneven(serving, request.pool, servers, prompt)
        if uses_prefix:
            return choose_by_prefix(
                servers, request.head.prompt, serving.loads, serving.random, now_ms
            )
        return choose_by_load(servers, serving.loads, serving.random, now_ms)

    def engine_need(self, request: CallerRequest) -> EngineNeed | None:
        """Return what a request needs of an engine, None if it names no prompt."""
        if not request.route.uses_prefix_affinity or not request.head.prompt:
            return None
        servers = self._usable(request, frozenset())
        servers = servers or self._candidates(request, frozenset())
        return engine_need(servers, request.head.prompt, self.serving.random)

    def _usable(
        self, request: CallerRequest, tried: frozenset[str]
    ) -> list[BackendServer]:
        """Return the warm servers that a request may be sent to now."""
        return self._candidates(request, tried, has_cold=False)

    def _candidates(
        self, request: CallerRequest, tried: frozenset[str], has_cold: bool = True
    ) -> list[BackendServer]:
        """Return the servers that a request may be sent to now, or with a turn."""
        serving = self.serving
        servers = open_servers(serving, self._allowed(request))
        return usable_servers(
            [each for each in servers if has_cold or not is_cold(serving, each)],
            tried,
            serving.health,
            serving.now_ms(),
            avoided_zones(serving),
        )

    def _allowed(self, request: CallerRequest) -> list[BackendServer]:
        """Return the ready servers in the regions that a request may reach."""
        serving = self.serving
        workspace = request.workspace
        regions = allowed_regions(
            request.route.allowed_regions,
            workspace.allowed_regions if workspace is not None else None,
        )
        servers = serving.ready(request.pool)
        return servers_in_regions(servers, regions, serving.settings.region_by_zone)

    async def choose_or_wait(
        self, request: CallerRequest, tried: frozenset[str]
    ) -> BackendServer | LimitReached | None:
        """Return the server to try next, once its limit allows the request.

        Return None if none is left.
        """
        serving = self.serving
        cold = await take_cold_turn(
            self.cold_turns, request, partial(self._candidates, request, tried)
        )
        if isinstance(cold, BackendServer):
            count_request(serving, cold)
            return cold
        server = self.choose(request, tried)
        if server is not None:
            count_request(serving, server)
            return server
        untried = [
            each
            for each in self._allowed(request)
            if each.id not in tried and not is_cold(serving, each)
        ]
        if not untried and cold is not None:
            return cold
        most_ms = (request.deadline_ms - serving.now_ms()) // 2
        turn = take_turn(serving, untried, most_ms)
        if not isinstance(turn, Turn):
            return turn
        taken_ms = serving.now_ms()
        await deferLater(serving.reactor, turn.wait_ms / MS_PER_S)
        if has_paused_since(serving.server_pauses, run_name(turn.server), taken_ms):
            return await self.choose_or_wait(request, tried)
        return turn.server

    async def send(self, request: CallerRequest, server: BackendServer) -> AttemptEnd:
        """Send the request to a server and return the outcome.

        It is recorded as one that may have run before anything else is waited for.
        """
        serving = self.serving
        sent_ms = serving.now_ms()
        wait_ms = max(1, request.deadline_ms - sent_ms)
        is_resumed = request.exchange.is_started
        resume_after = request.position.last_id if is_resumed else None
        server_head = ServerHead(
            server_id=server.id,
            wait_ms=wait_ms,
            workspace=request.workspace.name if request.workspace is not None else "",
            inputs=request.inputs,
            urgency=engine_urgency(request)
            if request.route.uses_prefix_affinity
            else None,
            resume_after=resume_after,
        )
        exchange = request.exchange

        def on_events(headers: Headers, events: list[StreamEvent]) -> None:
            self._handle_events(request, sent_ms, headers, events)

        attempt = AttemptRequest(
            server=server,
            method=exchange.method,
            target=exchange.target,
            headers=server_headers(exchange.headers, server_head, len(exchange.body)),
            body=exchange.body,
            attempt_id=request.head.attempt_id,
            on_events=on_events,
            on_head=lambda answer: self._handle_head(request, server, sent_ms, answer),
            on_connected=exchange.read_from,
            is_resumed=is_resumed,
        )
        may_reuse = is_safe_to_retry(request.route)
        fetched: Any = None
        late = self._report_if_late(request, server)

        def may_send() -> bool:
            is_usable = is_ready(serving.registry, server.id, serving.now_ms())
            request.is_at_server = is_usable and not has_paused_since(
                serving.server_pauses, run_name(server), sent_ms
            )
            if request.is_at_server:
                request.is_at_server = self.cold_turns.may_send(
                    server, request.cold_turn
                )
                request.is_withheld = not request.is_at_server
            if request.is_at_server:
                nonlocal fetched
                fetched = self._release_when_fetched(request)
            return request.is_at_server

        request.server = server
        request.marks = self.crashes.marks(request.names)
        request.heard_ms = sent_ms
        request.named_limit_per_s = None
        request.is_withheld = False
        note_sent(serving.loads, server.id)
        note_server_tried(serving.reachability, server.zone, sent_ms)
        note_request_sent(serving, server, sent_ms)
        try:
            ended = await run_attempt(
                serving.servers_pool,
                attempt,
                may_reuse,
                may_send,
            )
        finally:
            exchange.read_from(None)
            stop_timer(fetched)
            stop_timer(late)
            note_ended(serving.loads, server.id)
            note_request_ended(serving, server, sent_ms)
        if is_unconfirmed(ended):
            ended = await self._confirm(request, server, ended, sent_ms)
        # The deadline may pass while the server is being checked below.
        request.may_have_run |= not isinstance(ended, NotRun)
        request.is_at_server = False
        self._note_attempt(request, server, ended, sent_ms)
        if isinstance(ended, AttemptFailed):
            if ended.reason in BROKEN_CONNECTION:
                fingerprints = [request.names.fingerprint]
                await self.crashes.connection_broke(server, fingerprints, request.marks)
        elif is_success(ended):
            self.crashes.request_finished(request.names)
        return ended

    def _report_if_late(self, request: CallerRequest, server: BackendServer) -> Any:
        """Report an engine if its first event does not come in the expected time."""
        if not request.route.uses_prefix_affinity or request.exchange.is_started:
            return None
        after_ms = report_after_ms(self._expected_ms(request))

        def report() -> None:
            if not request.exchange.is_started:
                self._report_engine(request, server.id, after_ms)

        return self.serving.reactor.callLater(after_ms / MS_PER_S, report)

    def _expected_ms(self, request: CallerRequest) -> int:
        """Return the expected time to the first event of a request."""
        tokens = own_tokens(request.head.prompt)
        return first_event_ms(self.serving.first_events, request.pool, tokens)

    def _report_engine(
        self, request: CallerRequest, server_id: str, took_ms: int
    ) -> None:
        """Report how late a first event is, if that is more than it may vary."""
        expected_ms = self._expected_ms(request)
        if took_ms >= report_after_ms(expected_ms):
            self.report_late_engine(server_id, took_ms - expected_ms)

    def _release_when_fetched(self, request: CallerRequest) -> Any:
        """Release the inputs once their server has fetched them, if space is short."""
        if request.stages is None or not request.stages.is_space_short():
            return None
        return self.serving.reactor.callLater(
            FETCH_MS / MS_PER_S, request.stages.release_all
        )

    async def _confirm(
        self,
        request: CallerRequest,
        server: BackendServer,
        ended: Answered | Streamed,
        sent_ms: int,
    ) -> AttemptEnd:
        """Take a close as the end of an answer only if its server's run goes on."""
        fingerprints = [request.names.fingerprint]
        if await self.crashes.is_running(server, fingerprints, request.marks, sent_ms):
            return ended
        return AttemptFailed(FailureReason.UNCONFIRMED, ended.body_end)

    def _handle_head(
        self,
        request: CallerRequest,
        server: BackendServer,
        sent_ms: int,
        answer: AnswerHead,
    ) -> None:
        request.heard_ms = self.serving.now_ms()
        request.named_limit_per_s = answer.limit_per_s
        note_head(self.serving, server, answer)
        if not answer.was_not_run and answer.status < FIRST_SERVER_ERROR:
            note_request_accepted(self.serving, server, sent_ms)
        if answer.is_signed or answer.limit_per_s is not None:
            note_answer(self.serving, server, answer.limit_per_s)
        if answer.limit_per_s is not None:
            count(self.serving.metrics, "server_limits_named", request.pool)
        note_answer_load(self.serving, server, answer)
        load = answer.load
        if load is not None:
            now_ms = self.serving.now_ms()
            requests = load.running + load.waiting
            note_report(self.serving.loads, server.id, requests, now_ms)

    def _handle_events(
        self,
        request: CallerRequest,
        sent_ms: int,
        headers: Headers,
        events: list[StreamEvent],
    ) -> None:
        """Forward events, unless the caller has received them already."""
        request.heard_ms = self.serving.now_ms()
        news = [event for event in events if accept_event(request.position, event)]
        if not news:
            return
        if not request.exchange.is_started:
            now_ms = self.serving.now_ms()
            request.first_event_ms = now_ms
            if request.route.uses_prefix_affinity and request.server is not None:
                self._report_engine(request, request.server.id, now_ms - sent_ms)
            note_first_event(
                self.serving.first_events,
                request.pool,
                own_tokens(request.head.prompt),
                now_ms - sent_ms,
            )
            observe(
                self.serving.metrics,
                "first_event",
                now_ms - request.arrived_ms,
                request.route.name,
            )
            if request.stages is not None:
                request.stages.release_all()
            request.exchange.start(200, caller_headers(headers))
        request.exchange.send(b"".join(event.data for event in news))

    def _note_attempt(
        self,
        request: CallerRequest,
        server: BackendServer,
        ended: AttemptEnd,
        sent_ms: int,
    ) -> None:
        serving = self.serving
        now_ms = serving.now_ms()
        is_avoided = False
        note_attempt(serving, server, ended, now_ms - sent_ms)
        if request.is_withheld or (isinstance(ended, NotRun) and not ended.is_blamed):
            # Nothing is known against a server that has only turned cold, or that
            # there was no connection left for.
            pass
        elif isinstance(ended, AttemptFailed) or (
            isinstance(ended, NotRun) and not ended.status
        ):
            is_certain = (
                isinstance(ended, NotRun) or ended.reason is FailureReason.OVER_BOUND
            )
            is_avoided = note_failed(serving.health, server.id, now_ms, is_certain)
        elif isinstance(ended, NotRun):
            is_avoided = note_failed(serving.health, server.id, now_ms)
        else:
            note_answered(serving.health, server.id)
        note_attempt_end(serving, request, server, ended, sent_ms)
        kind, detail = describe_end(ended)
        body_end = None if isinstance(ended, NotRun) else ended.body_end
        count(serving.metrics, "attempts", f"{request.pool} {kind}")
        if body_end is not None:
            how = f"{body_end.framing} {body_end.connection} {kind}"
            count(serving.metrics, "answer_ends", f"{request.pool} {how}")
        log_request(
            request,
            "attempt ended",
            {
                "server": server.id,
                "attempt": len(request.tried),
                "fingerprint": request.names.fingerprint,
                "prompt_parts": logged_parts(request.head.prompt),
                "outcome": kind,
                "detail": detail,
                "took_ms": now_ms - sent_ms,
                "server_avoided": is_avoided,
                "body_end": body_end._asdict() if body_end is not None else None,
                "server_limit_per_s": request.named_limit_per_s,
            },
        )


def is_unconfirmed(ended: AttemptEnd) -> TypeGuard[Answered | Streamed]:
    """Return whether nothing but a clean close marks the end of the answer."""
    if not isinstance(ended, Answered | Streamed):
        return False
    return ended.verdict is EndVerdict.UNCONFIRMED


def is_success(ended: AttemptEnd) -> bool:
    """Return whether a server ran the request to a good end.

    A failing server may answer with an error before it runs the request.
    """
    if isinstance(ended, Answered):
        return ended.head.status < FIRST_REDIRECT
    return isinstance(ended, Streamed)
