"""Choose servers for a caller's request and send it to them, one after the other."""

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.catalog.prompt import own_tokens
from bramleyturn.core.catalog.server_registry import is_ready
from bramleyturn.core.placement.choice import (
    choose_by_load,
    choose_by_prefix,
    note_ended,
    note_report,
    note_sent,
    usable_servers,
)
from bramleyturn.core.placement.health import note_answered, note_failed
from bramleyturn.core.placement.verdicts import is_safe_to_retry
from bramleyturn.core.waiting.first_events import note_first_event
from bramleyturn.gateway.attempts import (
    AttemptCall,
    AttemptEnd,
    Broken,
    NotRun,
    run_attempt,
)
from bramleyturn.gateway.caller_request import (
    Call,
    describe_end,
    engine_urgency,
    log_call,
)
from bramleyturn.gateway.http1_client import Headers
from bramleyturn.gateway.metrics import count, observe
from bramleyturn.gateway.serving import Serving
from bramleyturn.platform.answers import AnswerHead, caller_headers
from bramleyturn.platform.requests import ServerHead, server_headers


class CallerAttempts:
    """Hold what is needed to send requests of callers to servers."""

    def __init__(self, serving: Serving) -> None:
        self.serving = serving

    def choose(self, call: Call, tried: frozenset[str]) -> BackendServer | None:
        """Return the server to try next, None if there is no other one."""
        serving = self.serving
        now_ms = serving.now_ms()
        servers = usable_servers(
            serving.ready(call.pool),
            tried,
            serving.health,
            now_ms,
            serving.silent_zones,
        )
        if call.route.uses_prefix_affinity:
            return choose_by_prefix(
                servers, call.head.prompt, serving.loads, serving.random, now_ms
            )
        return choose_by_load(servers, serving.loads, serving.random, now_ms)

    async def send(self, call: Call, server: BackendServer) -> AttemptEnd:
        """Send the request to a server and return how that ended."""
        serving = self.serving
        sent_ms = serving.now_ms()
        wait_ms = max(1, call.deadline_ms - sent_ms)
        resume_after = call.last_event_id if call.exchange.is_started else None
        server_head = ServerHead(
            server_id=server.id,
            wait_ms=wait_ms,
            workspace=call.workspace.name if call.workspace is not None else "",
            inputs=call.inputs,
            urgency=engine_urgency(call) if call.route.uses_prefix_affinity else None,
            resume_after=resume_after,
        )
        exchange = call.exchange

        def take_event(headers: Headers, event_id: int | None, data: bytes) -> None:
            self._take_event(call, sent_ms, headers, event_id, data)

        attempt = AttemptCall(
            server=server,
            method=exchange.method,
            target=exchange.target,
            headers=server_headers(exchange.headers, server_head, len(exchange.body)),
            body=exchange.body,
            attempt_id=call.head.attempt_id,
            take_event=take_event,
            take_head=lambda answer: self._take_head(server, answer),
        )
        may_reuse = is_safe_to_retry(call.route)

        def may_send() -> bool:
            call.is_at_server = is_ready(serving.book, server.id, serving.now_ms())
            return call.is_at_server

        note_sent(serving.loads, server.id)
        try:
            ended = await run_attempt(
                serving.servers_pool,
                attempt,
                may_reuse,
                may_send,
            )
        finally:
            note_ended(serving.loads, server.id)
        call.is_at_server = False
        self._note_attempt(call, server, ended, sent_ms)
        return ended

    def _take_head(self, server: BackendServer, answer: AnswerHead) -> None:
        load = answer.load
        if load is not None:
            now_ms = self.serving.now_ms()
            requests = load.running + load.waiting
            note_report(self.serving.loads, server.id, requests, now_ms)

    def _take_event(
        self,
        call: Call,
        sent_ms: int,
        headers: Headers,
        event_id: int | None,
        data: bytes,
    ) -> None:
        """Pass on an event, unless the caller has it already."""
        if event_id is not None:
            if call.last_event_id is not None and event_id <= call.last_event_id:
                return
            call.last_event_id = event_id
        if not call.exchange.is_started:
            now_ms = self.serving.now_ms()
            call.first_event_ms = now_ms
            note_first_event(
                self.serving.first_events,
                call.pool,
                own_tokens(call.head.prompt),
                now_ms - sent_ms,
            )
            observe(
                self.serving.metrics,
                "first_event",
                now_ms - call.arrived_ms,
                call.route.name,
            )
            if call.stages is not None:
                call.stages.release_all()
            call.exchange.start(200, caller_headers(headers))
        call.exchange.send(data)

    def _note_attempt(
        self, call: Call, server: BackendServer, ended: AttemptEnd, sent_ms: int
    ) -> None:
        serving = self.serving
        now_ms = serving.now_ms()
        is_avoided = False
        if isinstance(ended, Broken) or (
            isinstance(ended, NotRun) and not ended.status
        ):
            is_certain = isinstance(ended, NotRun)
            is_avoided = note_failed(serving.health, server.id, now_ms, is_certain)
        elif isinstance(ended, NotRun):
            is_avoided = note_failed(serving.health, server.id, now_ms)
        else:
            note_answered(serving.health, server.id)
        kind, detail = describe_end(ended)
        count(serving.metrics, "attempts", f"{call.pool} {kind}")
        log_call(
            call,
            "attempt ended",
            {
                "server": server.id,
                "attempt": len(call.tried),
                "outcome": kind,
                "detail": detail,
                "took_ms": now_ms - sent_ms,
                "server_avoided": is_avoided,
            },
        )
