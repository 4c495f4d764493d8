"""Carry a caller's request from its arrival to its answer."""

import logging
from typing import Any, Final

import orjson
from twisted.internet.defer import CancelledError, Deferred

from bramleyturn.core.catalog.prompt import own_tokens
from bramleyturn.core.catalog.routes import choose_pool, find_route
from bramleyturn.core.placement.verdicts import FIRST_SERVER_ERROR, is_safe_to_retry
from bramleyturn.core.retry.shared_budget import note_request, take_retry
from bramleyturn.core.units import MS_PER_S
from bramleyturn.core.waiting.first_events import first_event_ms
from bramleyturn.core.waiting.retry_after import retry_after_ms
from bramleyturn.core.waiting.time_spent import time_spent_ms
from bramleyturn.gateway.attempts import (
    Answered,
    NotRun,
    Streamed,
)
from bramleyturn.gateway.caller_attempts import CallerAttempts
from bramleyturn.gateway.caller_request import (
    USUAL_WAIT_MS,
    Call,
    Refusal,
    log_call,
    stage_wait_ms,
    urgency_of,
)
from bramleyturn.gateway.http1_client import Headers
from bramleyturn.gateway.http1_server import Exchange
from bramleyturn.gateway.metrics import count, observe
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.stage_asks import StageAsks
from bramleyturn.gateway.stage_work import StageOrder, StageResults, StageWork
from bramleyturn.platform.answers import caller_headers
from bramleyturn.platform.requests import (
    ATTEMPT_ID,
    PIECES,
    BadHead,
    read_caller_head,
)
from bramleyturn.runtime.timers import stop_timer

# An answer given this long before the caller leaves still reaches it.
ANSWER_MARGIN_MS: Final = 15
NO_CONFIGURATION_WAIT_MS: Final = 500
STATUS_CONFLICT: Final = 409
# Servers that refuse are tried up to this many for one request.
MAX_REFUSALS: Final = 3

logger = logging.getLogger(__name__)


class RequestFlow:
    """Hold what is needed to serve requests."""

    def __init__(self, serving: Serving, asks: StageAsks) -> None:
        self.serving = serving
        self.asks = asks
        self.attempts = CallerAttempts(serving)

    def handle(self, exchange: Exchange) -> None:
        """Serve a request until it is answered or its caller is gone."""
        admitted = self._admit(exchange)
        if isinstance(admitted, Refusal):
            self._refuse(exchange, admitted)
            return
        self.serving.in_progress += 1
        work = Deferred.fromCoroutine(self._serve(admitted))
        left_ms = max(
            1, admitted.deadline_ms - self.serving.now_ms() - ANSWER_MARGIN_MS
        )
        timer = self.serving.reactor.callLater(
            left_ms / MS_PER_S, self._time_out, admitted, work
        )
        exchange.on_gone = lambda: self._caller_gone(admitted, work)
        work.addBoth(self._end, admitted, timer)

    def _admit(self, exchange: Exchange) -> Call | Refusal:
        """Return the request with its route and workspace, or why it is refused."""
        serving = self.serving
        if serving.published is None:
            return Refusal(503, "no_configuration", NO_CONFIGURATION_WAIT_MS)
        path = exchange.target.decode("latin-1").partition("?")[0]
        route = find_route(serving.index, exchange.header(b"host"), path)
        if route is None:
            return Refusal(404, "no_route", None)
        head = read_caller_head(exchange.headers)
        if isinstance(head, BadHead):
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
        call = Call(exchange, head, route, workspace, pool, wait_ms)
        if head.wait_ms is not None:
            spent_ms = time_spent_ms(serving.longest_waits, route.name, head.wait_ms)
            call.first_sent_ms -= spent_ms
        return call

    async def _serve(self, call: Call) -> None:
        refusal = await self._make_inputs(call)
        if refusal is None:
            refusal = await self._forward(call)
        if refusal is not None:
            self._refuse(call.exchange, refusal, call)

    async def _make_inputs(self, call: Call) -> Refusal | None:
        """Have the stages of a request done."""
        counts = call.head.piece_counts
        if not call.route.stages or not any(counts):
            return None
        serving = self.serving
        engine = self.attempts.choose(call, frozenset())
        tokens = own_tokens(call.head.prompt)
        run_ms = first_event_ms(serving.first_events, call.pool, tokens)
        order = StageOrder(
            route=call.route,
            attempt_id=call.head.attempt_id,
            counts=counts,
            key=call.head.piece_key,
            due_ms=call.first_sent_ms + call.route.aim_ms - run_ms,
            deadline_ms=call.deadline_ms,
            urgency=urgency_of(call),
            near_zone=engine.zone if engine is not None else "",
        )
        call.stages = StageWork(serving, self.asks, order)
        return await self._run_stages(call, call.stages)

    async def _run_stages(self, call: Call, stages: StageWork) -> Refusal | None:
        """Run the stages, from their start, and keep what they hand to the request."""
        results: StageResults = await stages.start()
        if results.failure is not None:
            return Refusal(503, f"stage_{results.failure}", stage_wait_ms(results))
        call.inputs = results.inputs
        return None

    async def _forward(self, call: Call) -> Refusal | None:
        """Send a request to servers until one has answered it."""
        serving = self.serving
        refused = 0
        runs = 0
        failed_answer: Answered | None = None
        while True:
            server = self.attempts.choose(call, frozenset(call.tried))
            if server is None:
                break
            is_repeat = bool(call.tried)
            if is_repeat and not take_retry(
                serving.budget, call.pool, serving.now_ms()
            ):
                log_call(call, "no retry left", {"pool": call.pool})
                break
            call.tried.append(server.id)
            ended = await self.attempts.send(call, server)
            if isinstance(ended, Streamed):
                call.exchange.finish()
                return None
            if isinstance(ended, Answered):
                is_error = ended.head.status >= FIRST_SERVER_ERROR
                runs += 1
                call.may_have_run = True
                if is_error and self._may_run_again(call, runs):
                    failed_answer = ended
                    continue
                self._pass_on(call, ended)
                return None
            if isinstance(ended, NotRun):
                refused += 1
                if ended.status == STATUS_CONFLICT and call.stages is not None:
                    call.stages.stop()
                    refusal = await self._run_stages(call, call.stages)
                    if refusal is not None:
                        return refusal
                    call.tried.pop()
                if refused >= MAX_REFUSALS:
                    break
                continue
            runs += 1
            call.may_have_run = True
            if call.exchange.is_started and not call.route.is_resumable:
                break
            if not self._may_run_again(call, runs):
                break
        if failed_answer is not None and not call.exchange.is_started:
            self._pass_on(call, failed_answer)
            return None
        if call.exchange.is_started or call.may_have_run:
            return Refusal(502, "server_failed", None)
        return Refusal(503, "servers_full", USUAL_WAIT_MS)

    def _may_run_again(self, call: Call, runs: int) -> bool:
        return is_safe_to_retry(call.route) and runs < call.route.max_attempts

    def _pass_on(self, call: Call, ended: Answered) -> None:
        call.exchange.answer(
            ended.head.status, caller_headers(ended.headers), ended.body
        )

    def _refuse(
        self, exchange: Exchange, refusal: Refusal, call: Call | None = None
    ) -> None:
        """Give an answer of this system's own, or cut one that has begun."""
        serving = self.serving
        count(serving.metrics, "refusals", f"{refusal.status} {refusal.reason}")
        left_ms = call.deadline_ms - serving.now_ms() if call is not None else 0
        headers: Headers = [(b"Content-Type", b"application/problem+json")]
        wait_ms = refusal.wait_ms
        if wait_ms is not None and call is not None:
            wait_ms = retry_after_ms(wait_ms, left_ms, serving.random)
        if wait_ms is not None:
            headers.append((b"Retry-After", f"{wait_ms / MS_PER_S:.3f}".encode()))
        logger.info(
            "request refused",
            extra={
                "request_id": exchange.header(ATTEMPT_ID),
                "status": refusal.status,
                "reason": refusal.reason,
                "retry_after_ms": wait_ms,
                "left_ms": left_ms,
                "version": serving.published.version if serving.published else None,
                "answer_begun": exchange.is_started,
            },
        )
        if exchange.is_started:
            exchange.cut()
            return
        body = orjson.dumps({"status": refusal.status, "detail": refusal.reason})
        exchange.answer(refusal.status, headers, body)

    def _time_out(self, call: Call, work: "Deferred[None]") -> None:
        call.is_timed_out = True
        work.cancel()

    def _caller_gone(self, call: Call, work: "Deferred[None]") -> None:
        log_call(call, "caller gone", {"after_ms": self._elapsed_ms(call)})
        count(self.serving.metrics, "callers_gone", call.route.name)
        work.cancel()

    def _end(self, result: Any, call: Call, timer: Any) -> None:
        stop_timer(timer)
        self.serving.in_progress -= 1
        if call.stages is not None:
            call.stages.stop()
        failure = getattr(result, "value", None)
        if failure is not None and not isinstance(failure, CancelledError):
            logger.error(
                "a request failed in this process",
                extra={
                    "request_id": call.head.attempt_id,
                    "error": type(failure).__name__,
                    "trace": result.getTraceback(),
                },
            )
            self._refuse(call.exchange, self._given_up(call), call)
        elif call.is_timed_out:
            self._refuse(call.exchange, self._given_up(call), call)
        took_ms = self._elapsed_ms(call)
        observe(self.serving.metrics, "request", took_ms, call.route.name)
        log_call(
            call,
            "request ended",
            {
                "route": call.route.name,
                "prompt_tokens": call.head.prompt_tokens,
                "output_tokens": call.head.output_tokens,
                "own_tokens": own_tokens(call.head.prompt),
                "took_ms": took_ms,
                "aim_ms": call.route.aim_ms,
                "spent_before_ms": call.arrived_ms - call.first_sent_ms,
                "first_event_ms": (
                    call.first_event_ms - call.arrived_ms
                    if call.first_event_ms is not None
                    else None
                ),
                "servers": call.tried,
                "started": call.exchange.is_started,
                "gone": call.exchange.is_gone,
            },
        )

    def _given_up(self, call: Call) -> Refusal:
        """Return the answer to a request whose time is over.

        Only what no server can have begun may be sent again by its caller.
        """
        if not call.may_have_run and not call.is_at_server:
            return Refusal(503, "no_time_left", 0)
        return Refusal(504, "no_time_left", None)

    def _elapsed_ms(self, call: Call) -> int:
        return self.serving.now_ms() - call.arrived_ms
