"""Handle a caller's request from its arrival to its answer."""

import logging
from typing import Any, Final

import orjson
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from bramleyturn.core.catalog.prompt import logged_parts, own_tokens
from bramleyturn.core.catalog.routes import choose_pool, find_route
from bramleyturn.core.contention.in_progress import (
    may_start,
    note_ended,
    note_started,
)
from bramleyturn.core.placement.verdicts import FIRST_SERVER_ERROR, is_safe_to_retry
from bramleyturn.core.retry.shared_budget import note_request, take_retry
from bramleyturn.core.stream_position import can_resume
from bramleyturn.core.units import MS_PER_S
from bramleyturn.core.waiting.first_events import first_event_ms
from bramleyturn.core.waiting.patience import patience_ms
from bramleyturn.core.waiting.retry_after import retry_after_ms
from bramleyturn.core.waiting.run_times import note_run, note_stream
from bramleyturn.gateway.attempts import (
    Answered,
    NotRun,
    Streamed,
)
from bramleyturn.gateway.caller_attempts import CallerAttempts, is_success
from bramleyturn.gateway.caller_request import (
    DEFAULT_RETRY_AFTER_MS,
    CallerRequest,
    Refusal,
    log_request,
    stage_retry_after_ms,
    urgency_of,
)
from bramleyturn.gateway.crash_watch import CrashWatch
from bramleyturn.gateway.exchange import Exchange
from bramleyturn.gateway.http1_client import Headers
from bramleyturn.gateway.metrics import count, observe
from bramleyturn.gateway.server_limits import LimitReached
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.stage_asks import StageAsks
from bramleyturn.gateway.stage_messages import EngineAsk
from bramleyturn.gateway.stage_work import StageResults, StageSpec, StageWork
from bramleyturn.gateway.stopping_requests import (
    ends_too_late,
    should_be_elsewhere,
    typical_stages_ms,
)
from bramleyturn.platform.answers import caller_headers
from bramleyturn.platform.requests import (
    ATTEMPT_ID,
    MAX_NAME_BYTES,
    PIECES,
    BadHeader,
    read_caller_head,
)
from bramleyturn.runtime.timers import stop_timer

# Time for an answer to reach the caller before its deadline.
DEADLINE_MARGIN_MS: Final = 15
NO_CONFIGURATION_RETRY_AFTER_MS: Final = 500
# Other instances can serve the request at once.
STOPPING_RETRY_AFTER_MS: Final = 100
STATUS_CONFLICT: Final = 409
# A server that was silent for longer when its request was given up may have crashed.
SILENCE_MS: Final = 500
# Attempts that servers may refuse before the request itself is refused.
MAX_REFUSALS: Final = 3

logger = logging.getLogger(__name__)


class RequestFlow:
    """Serve callers' requests."""

    def __init__(self, serving: Serving, asks: StageAsks, crashes: CrashWatch) -> None:
        self.serving = serving
        self.asks = asks
        self.crashes = crashes
        self.attempts = CallerAttempts(
            serving, crashes, asks.report_late_engine, asks.cold_turns
        )
        self.running: dict[CallerRequest, Deferred[None]] = {}
        crashes.on_quarantine = self.refuse_quarantined

    def handle(self, exchange: Exchange) -> None:
        """Serve a request until it is answered or its caller is gone."""
        admitted = self._admit(exchange)
        if isinstance(admitted, Refusal):
            self._refuse(exchange, admitted)
            return
        note_started(self.serving.in_progress, admitted.holder, len(exchange.body))
        work = Deferred.fromCoroutine(self._serve(admitted))
        left_ms = max(
            1, admitted.deadline_ms - self.serving.now_ms() - DEADLINE_MARGIN_MS
        )
        timer = self.serving.reactor.callLater(
            left_ms / MS_PER_S, self._time_out, admitted, work
        )
        self.running[admitted] = work
        exchange.on_gone = lambda: self._caller_gone(admitted, work)
        work.addBoth(self._end, admitted, timer)

    def end_all(self) -> None:
        """Answer every request in progress now, because the process is about to end."""
        for request, work in list(self.running.items()):
            request.is_stopped = True
            self._time_out(request, work)

    def refuse_quarantined(self) -> None:
        """Refuse the requests that wait for their stages and must not be sent now."""
        for request, work in list(self.running.items()):
            if request.server is not None:
                continue
            request.quarantine = self.crashes.quarantine_of(request.names)
            if request.quarantine is not None:
                work.cancel()

    def _admit(self, exchange: Exchange) -> CallerRequest | Refusal:
        """Find the route and workspace of a request, or refuse it."""
        serving = self.serving
        if serving.published is None:
            return Refusal(503, "no_configuration", NO_CONFIGURATION_RETRY_AFTER_MS)
        path = exchange.target.decode("latin-1").partition("?")[0]
        route = find_route(serving.index, exchange.header(b"host"), path)
        if route is None:
            return Refusal(404, "no_route", None)
        head = read_caller_head(exchange.headers)
        if isinstance(head, BadHeader):
            return Refusal(400, f"bad_header {head.header}", None)
        workspace = serving.workspaces.get(head.key)
        needs_key = bool(serving.published.workspaces) and not route.is_public
        if workspace is None and needs_key:
            return Refusal(401, "unknown_key", None)
        wait_ms = route.timeout_ms if head.wait_ms is None else head.wait_ms
        wait_ms = min(wait_ms, route.timeout_ms)
        pool = choose_pool(route, head.attempt_id)
        note_request(serving.budget, pool, serving.now_ms())
        count(serving.metrics, "requests", route.name)
        if len(head.piece_counts) != len(route.stages) and any(head.piece_counts):
            return Refusal(400, f"bad_header {PIECES.decode()}", None)
        request = CallerRequest(exchange, head, route, workspace, pool, wait_ms)
        if not may_start(serving.in_progress, request.holder, len(exchange.body)):
            return Refusal(503, "too_many_in_progress", DEFAULT_RETRY_AFTER_MS)
        quarantine = self.crashes.quarantine_of(request.names)
        if quarantine is not None:
            return Refusal(503, quarantine.reason, quarantine.left_ms)
        if should_be_elsewhere(serving, request) or ends_too_late(
            serving, request, typical_stages_ms(serving, request)
        ):
            return Refusal(503, "stopping", STOPPING_RETRY_AFTER_MS)
        return request

    async def _serve(self, request: CallerRequest) -> None:
        refusal = await self._run_input_stages(request)
        if refusal is None:
            refusal = await self._forward(request)
        if refusal is not None:
            self._refuse(request.exchange, refusal, request)

    async def _run_input_stages(self, request: CallerRequest) -> Refusal | None:
        """Run the stages whose results the request needs as inputs."""
        counts = request.head.piece_counts
        need = self.attempts.engine_need(request)
        if not request.route.stages or not any(counts):
            if need is not None:
                ask = EngineAsk(request.head.attempt_id, need)
                request.engine = await self.asks.choose_engine(ask)
            return None
        serving = self.serving
        engine = self.attempts.choose(request, frozenset())
        tokens = own_tokens(request.head.prompt)
        run_ms = first_event_ms(serving.first_events, request.pool, tokens)
        patience = patience_ms(request.route)
        spec = StageSpec(
            route=request.route,
            attempt_id=request.head.attempt_id,
            counts=counts,
            key=request.head.piece_key,
            due_ms=request.arrived_ms + request.route.aim_ms - run_ms,
            deadline_ms=request.deadline_ms,
            urgency=urgency_of(request),
            near_zone=engine.zone if engine is not None else "",
            fingerprint=request.names.fingerprint,
            given_up_ms=(
                request.arrived_ms + patience - run_ms if patience is not None else None
            ),
            engine_need=need,
        )
        request.stages = StageWork(serving, self.asks, spec)
        return await self._run_stages(request, request.stages)

    async def _run_stages(
        self, request: CallerRequest, stages: StageWork
    ) -> Refusal | None:
        """Run all stages from the first one, and store the inputs they produce."""
        results: StageResults = await stages.start()
        if results.failure is not None:
            return Refusal(
                503, f"stage_{results.failure}", stage_retry_after_ms(results)
            )
        request.inputs = results.inputs
        request.engine = results.engine
        return None

    async def _forward(self, request: CallerRequest) -> Refusal | None:
        """Send a request to one server after another until one has answered it."""
        serving = self.serving
        refused = 0
        runs = 0
        limited_ms: int | None = None
        failed_answer: Answered | None = None
        while True:
            refusal = self._quarantine_refusal(request)
            if refusal is not None:
                return refusal
            tried = frozenset(request.tried)
            server = await self.attempts.choose_or_wait(request, tried)
            if isinstance(server, LimitReached):
                limited_ms = server.wait_ms
                break
            if server is None:
                break
            # Servers may have crashed while the request waited for its turn.
            refusal = self._quarantine_refusal(request)
            if refusal is not None:
                return refusal
            is_repeat = bool(request.tried)
            if is_repeat and not take_retry(
                serving.budget, request.pool, serving.now_ms()
            ):
                log_request(request, "no retry left", {"pool": request.pool})
                break
            is_first = not request.may_have_run and not request.exchange.is_started
            if is_first and ends_too_late(serving, request, 0):
                return Refusal(503, "stopping", STOPPING_RETRY_AFTER_MS)
            request.tried.append(server.id)
            sent_ms = serving.now_ms()
            ended = await self.attempts.send(request, server)
            if isinstance(ended, Streamed):
                self._note_times(request, sent_ms)
                self._finish_stream(request, ended)
                return None
            if isinstance(ended, Answered):
                runs += 1
                # A stream can't go on with an answer that is not a stream.
                is_started = request.exchange.is_started
                is_error = ended.head.status >= FIRST_SERVER_ERROR or is_started
                if is_error and self._may_run_again(request, runs):
                    failed_answer = ended
                    continue
                if is_started:
                    break
                if is_success(ended):
                    self._note_times(request, sent_ms)
                self._pass_on(request, ended)
                return None
            if isinstance(ended, NotRun):
                refused += 1
                if ended.status == STATUS_CONFLICT and request.stages is not None:
                    request.stages.stop()
                    refusal = await self._run_stages(request, request.stages)
                    if refusal is not None:
                        return refusal
                    request.tried.pop()
                if refused >= MAX_REFUSALS:
                    break
                continue
            runs += 1
            if not self._may_run_again(request, runs):
                break
        if failed_answer is not None and not request.exchange.is_started:
            self._pass_on(request, failed_answer)
            return None
        if request.exchange.is_started or request.may_have_run:
            return Refusal(502, "server_failed", None)
        if limited_ms is not None:
            return Refusal(503, "server_limits", limited_ms)
        return Refusal(503, "servers_full", DEFAULT_RETRY_AFTER_MS)

    def _quarantine_refusal(self, request: CallerRequest) -> Refusal | None:
        """Return the refusal of a quarantined request, None if it may be sent."""
        quarantine = self.crashes.quarantine_of(request.names)
        if quarantine is None:
            return None
        if request.exchange.is_started or request.may_have_run:
            return Refusal(502, quarantine.reason, None)
        return Refusal(503, quarantine.reason, quarantine.left_ms)

    def _may_run_again(self, request: CallerRequest, runs: int) -> bool:
        is_resumable = request.route.is_resumable and can_resume(request.position)
        if request.exchange.is_started and not is_resumable:
            return False
        return is_safe_to_retry(request.route) and runs < request.route.max_attempts

    def _note_times(self, request: CallerRequest, sent_ms: int) -> None:
        """Record how long a request took, unless that was up to its caller."""
        if request.exchange.was_held_back:
            return
        serving = self.serving
        took_ms = self._elapsed_ms(request)
        note_run(serving.request_times, request.route.name, took_ms)
        run_ms = serving.now_ms() - sent_ms
        note_run(serving.run_times, request.pool, run_ms)
        first_event_ms = request.first_event_ms
        is_part = request.head.last_event_id is not None
        if first_event_ms is None or first_event_ms < sent_ms or is_part:
            # It has no events, or this server did not make all of them.
            return
        until_first_ms = first_event_ms - sent_ms
        note_stream(
            serving.run_times,
            request.pool,
            until_first_ms,
            run_ms - until_first_ms,
            request.head.output_tokens,
        )

    def _finish_stream(self, request: CallerRequest, ended: Streamed) -> None:
        if request.exchange.is_started:
            request.exchange.finish()
            return
        request.exchange.answer(ended.head.status, caller_headers(ended.headers), b"")

    def _pass_on(self, request: CallerRequest, ended: Answered) -> None:
        request.exchange.answer(
            ended.head.status, caller_headers(ended.headers), ended.body
        )

    def _refuse(
        self, exchange: Exchange, refusal: Refusal, request: CallerRequest | None = None
    ) -> None:
        """Send an error answer, or cut off an answer that has started."""
        serving = self.serving
        count(serving.metrics, "refusals", f"{refusal.status} {refusal.reason}")
        left_ms = request.deadline_ms - serving.now_ms() if request is not None else 0
        headers: Headers = [(b"Content-Type", b"application/problem+json")]
        wait_ms = refusal.wait_ms
        if wait_ms is not None and request is not None:
            wait_ms = retry_after_ms(wait_ms, left_ms, serving.random)
        if wait_ms is not None:
            headers.append((b"Retry-After", f"{wait_ms / MS_PER_S:.3f}".encode()))
        logger.info(
            "request refused",
            extra={
                "request_id": exchange.header(ATTEMPT_ID)[:MAX_NAME_BYTES],
                "status": refusal.status,
                "reason": refusal.reason,
                "retry_after_ms": wait_ms,
                "left_ms": left_ms,
                "version": serving.published.version if serving.published else None,
                "answer_begun": exchange.is_started,
                "may_have_run": request is not None and _may_have_run(request),
            },
        )
        if exchange.is_started:
            exchange.cut()
            return
        body = orjson.dumps({"status": refusal.status, "detail": refusal.reason})
        exchange.answer(refusal.status, headers, body)

    def _time_out(self, request: CallerRequest, work: "Deferred[None]") -> None:
        request.is_timed_out = True
        self._check_silent_server(request)
        work.cancel()

    def _caller_gone(self, request: CallerRequest, work: "Deferred[None]") -> None:
        log_request(request, "caller gone", {"after_ms": self._elapsed_ms(request)})
        count(self.serving.metrics, "callers_gone", request.route.name)
        self._check_silent_server(request)
        work.cancel()

    def _check_silent_server(self, request: CallerRequest) -> None:
        silent_ms = self.serving.now_ms() - request.heard_ms
        if not request.is_at_server or silent_ms < SILENCE_MS:
            return
        if request.exchange.connection.is_blocked:
            # The server is not read, which is no silence of its own.
            return
        if request.server is not None:
            self.crashes.request_abandoned(
                request.server, request.names.fingerprint, request.marks
            )

    def _end(self, result: Any, request: CallerRequest, timer: Any) -> None:
        stop_timer(timer)
        self.running.pop(request, None)
        # The callback refers to the exchange: without this they form a cycle.
        request.exchange.on_gone = None
        note_ended(self.serving.in_progress, request.holder, len(request.exchange.body))
        if request.stages is not None:
            request.stages.stop()
        failure = getattr(result, "value", None)
        if failure is not None and not isinstance(failure, CancelledError):
            logger.error(
                "request failed with an internal error",
                extra={
                    "request_id": request.head.attempt_id,
                    "error": type(failure).__name__,
                    "trace": result.getTraceback(),
                },
            )
            self._refuse(request.exchange, self._timeout_refusal(request), request)
        elif request.is_timed_out:
            self._refuse(request.exchange, self._timeout_refusal(request), request)
        elif request.quarantine is not None:
            refusal = Refusal(
                503, request.quarantine.reason, request.quarantine.left_ms
            )
            self._refuse(request.exchange, refusal, request)
        if isinstance(result, Failure):
            # Its traceback holds the request's body, in a cycle.
            result.cleanFailure()
        took_ms = self._elapsed_ms(request)
        observe(self.serving.metrics, "request", took_ms, request.route.name)
        log_request(
            request,
            "request ended",
            {
                "route": request.route.name,
                "caller": request.exchange.connection.caller_address(),
                "fingerprint": request.names.fingerprint,
                "prompt_parts": logged_parts(request.head.prompt),
                "prompt_tokens": request.head.prompt_tokens,
                "output_tokens": request.head.output_tokens,
                "own_tokens": own_tokens(request.head.prompt),
                "took_ms": took_ms,
                "aim_ms": request.route.aim_ms,
                "first_event_ms": (
                    request.first_event_ms - request.arrived_ms
                    if request.first_event_ms is not None
                    else None
                ),
                "servers": request.tried,
                "started": request.exchange.is_started,
                "cut": request.exchange.is_cut,
                "gone": request.exchange.is_gone,
            },
        )

    def _timeout_refusal(self, request: CallerRequest) -> Refusal:
        """Return the refusal of a request that was ended before its answer.

        The caller is told to retry only if no server can have started the request.
        """
        reason = "stopping" if request.is_stopped else "no_time_left"
        if _may_have_run(request):
            return Refusal(504, reason, None)
        return Refusal(503, reason, 0)

    def _elapsed_ms(self, request: CallerRequest) -> int:
        return self.serving.now_ms() - request.arrived_ms


def _may_have_run(request: CallerRequest) -> bool:
    """Return whether a server may have run the request, or may do so now."""
    return request.may_have_run or request.is_at_server
