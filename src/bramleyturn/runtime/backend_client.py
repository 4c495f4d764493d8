"""Run attempts on backend servers and feed their progress to the core as events."""

from collections.abc import Callable
from typing import Any, Final, TypeGuard

import orjson
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectingCancelledError, ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

from bramleyturn.core.actions import CancelAttempt, StartAttempt
from bramleyturn.core.answer_end import (
    EndVerdict,
    is_valid_status,
    judge_json_end,
)
from bramleyturn.core.events import (
    AttemptFailed,
    ConnectionReady,
    Event,
    FailureReason,
    OutputArrived,
    ServerAlive,
    StreamEnded,
    TokensArrived,
)
from bramleyturn.core.model import PoolKind, Server
from bramleyturn.runtime.errors import CallFailed, CallFailure
from bramleyturn.runtime.http_client import (
    JsonAnswer,
    WholeBody,
    call_json,
    failure_of,
    guarded_agent,
    header_text,
    http_agent,
    http_client,
    log_over_bound,
    retry_after_ms,
)

# The bound of one message by default in NATS (max_payload).
MAX_LINE_BYTES: Final = 1024 * 1024
MAX_OUTPUT_BYTES: Final = 8 * MAX_LINE_BYTES
# The bound in Go's net/http on a body that is read to keep its connection.
MAX_REFUSAL_BYTES: Final = 256 * 1024
CANCEL_TIMEOUT_MS: Final = 1_000
PROBE_TIMEOUT_MS: Final = 500
STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
STATUS_UNAVAILABLE: Final = 503

Feed = Callable[[Event], None]

_PATHS: Final = {PoolKind.ENGINE: "/v1/generate", PoolKind.PLAIN: "/v1/call"}
_REASONS: Final = {
    CallFailure.NOT_CONNECTED: FailureReason.NOT_CONNECTED,
    CallFailure.LOST: FailureReason.LOST,
    CallFailure.TIMED_OUT: FailureReason.TIMED_OUT,
    CallFailure.BAD_ANSWER: FailureReason.WRONG_ANSWER,
}


class BackendClient:
    """Hold the connections to backend servers and the attempts in flight."""

    def __init__(self, reactor: Any, feed: Feed) -> None:
        self.reactor = reactor
        self.feed = feed
        self.client = http_client(reactor)
        self.agent = http_agent(reactor)
        self.permitted: set[str] = set()
        self.calls: dict[str, Deferred[None]] = {}
        self.readers: dict[str, LineReader] = {}


def start_attempt(client: BackendClient, action: StartAttempt) -> None:
    """Start an attempt; its end is reported as an event."""
    call = Deferred.fromCoroutine(run_attempt(client, action))
    client.calls[action.attempt_id] = call
    call.addBoth(lambda _result: client.calls.pop(action.attempt_id, None))


def cancel_attempt(client: BackendClient, action: CancelAttempt) -> None:
    """Close an attempt's connection and tell its backend server to stop."""
    reader = client.readers.pop(action.attempt_id, None)
    if reader is not None:
        reader.stop()
    call = client.calls.pop(action.attempt_id, None)
    if call is not None:
        call.cancel()
    cancel_at_server(client, action.attempt_id, action.server.address)


def cancel_at_server(client: BackendClient, attempt_id: str, address: str) -> None:
    """Tell a backend server to stop an attempt, without waiting for its answer."""
    Deferred.fromCoroutine(
        call_json(
            client.client,
            client.reactor,
            "DELETE",
            f"http://{address}/v1/attempts/{attempt_id}",
            timeout_ms=CANCEL_TIMEOUT_MS,
        )
    )


def probe_server(client: BackendClient, server: Server) -> None:
    """Report a backend server as alive if it answers at all, with any status."""

    def handle(answer: JsonAnswer | CallFailed) -> None:
        if isinstance(answer, JsonAnswer):
            client.feed(ServerAlive(server.name))

    url = f"http://{server.address}/v1/load"
    probe = call_json(
        client.client, client.reactor, "GET", url, timeout_ms=PROBE_TIMEOUT_MS
    )
    Deferred.fromCoroutine(probe).addCallback(handle)


async def run_attempt(client: BackendClient, action: StartAttempt) -> None:
    """Send one attempt and feed every part of its answer to the core."""
    try:
        response = await agent_for(client, action).request(
            b"POST",
            attempt_url(action),
            attempt_headers(action),
            WholeBody(orjson.dumps(request_document(action))),
        )
        reader = LineReader(client, action, response.code == STATUS_OK)
        client.readers[action.attempt_id] = reader
        response.deliverBody(reader)
        body = await reader.whole_body
    except (CancelledError, ConnectingCancelledError):
        return
    except Exception as error:
        report_failure(client, action, failure_of(error))
        return
    if not is_valid_status(response.code):
        failed = CallFailed(CallFailure.LOST, f"status {response.code}")
        report_failure(client, action, failed)
    elif response.code != STATUS_OK:
        report_refusal(client, action, response, body)
    elif action.kind is not PoolKind.ENGINE:
        report_output(client, action, body)


def attempt_url(action: StartAttempt) -> bytes:
    """Return the URL to send an attempt to."""
    path = _PATHS.get(action.kind, "/v1/run")
    return f"http://{action.server.address}{path}".encode()


def attempt_headers(action: StartAttempt) -> Headers:
    """Return the headers of an attempt."""
    return Headers(
        {
            "Content-Type": ["application/json"],
            "Bramleyturn-Attempt-Id": [action.attempt_id],
        }
    )


def agent_for(client: BackendClient, action: StartAttempt) -> Any:
    """Return the HTTP agent to use for an attempt.

    An attempt that may not be repeated gets a connection of its own, which asks the
    core for permission once it is open. A server may close a keep-alive connection
    just as a request is written, and then it is unknown whether the request ran.
    """
    if not action.needs_permission:
        return client.agent
    return guarded_agent(
        client.reactor, lambda: ask_permission(client, action.attempt_id)
    )


def ask_permission(client: BackendClient, attempt_id: str) -> bool:
    """Ask the core whether an attempt may still write to its open connection."""
    client.feed(ConnectionReady(attempt_id))
    is_permitted = attempt_id in client.permitted
    client.permitted.discard(attempt_id)
    return is_permitted


def request_document(action: StartAttempt) -> dict[str, Any]:
    """Return the body of an attempt, in the format of its pool's kind."""
    document: dict[str, Any] = {
        "attempt_id": action.attempt_id,
        "input": action.input,
    }
    if action.kind is PoolKind.PLAIN:
        return document | {"idempotency_key": action.idempotency_key}
    document["model"] = action.model
    if action.kind is PoolKind.ENGINE:
        document["max_output_tokens"] = action.max_output_tokens
        document["resume_offset"] = action.resume_offset
        document["priority"] = 0
    return document


def report_failure(
    client: BackendClient, action: StartAttempt, failed: CallFailed
) -> None:
    """Report that an attempt ended without an answer."""
    client.readers.pop(action.attempt_id, None)
    client.feed(
        AttemptFailed(
            action.attempt_id, _REASONS[failed.failure], failed.detail, None, False
        )
    )


def report_refusal(
    client: BackendClient, action: StartAttempt, response: Any, body: bytes
) -> None:
    """Report an error answer, and whether the server states that nothing started."""
    client.readers.pop(action.attempt_id, None)
    document = parse_object(body)
    client.feed(
        AttemptFailed(
            attempt_id=action.attempt_id,
            reason=refusal_reason(action, response.code, document),
            detail=f"status {response.code}",
            retry_after_ms=retry_after_ms(header_text(response, "Retry-After")),
            leaving=document.get("state") == "leaving",
        )
    )


def refusal_reason(
    action: StartAttempt, status: int, document: dict[str, Any]
) -> FailureReason:
    """Classify an answer with a status other than 200."""
    if document.get("attempt_id", action.attempt_id) != action.attempt_id:
        return FailureReason.WRONG_ANSWER
    if document.get("not_started") is not True:
        return FailureReason.ERROR_ANSWER
    if status == STATUS_UNAVAILABLE:
        return FailureReason.NOT_STARTED
    if status == STATUS_CONFLICT and action.resume_offset:
        return FailureReason.RESUME_REFUSED
    return FailureReason.ERROR_ANSWER


def report_output(client: BackendClient, action: StartAttempt, body: bytes) -> None:
    """Report the complete answer of a backend server other than an engine."""
    client.readers.pop(action.attempt_id, None)
    document = parse_object(body)
    if "output" not in document or document.get("error"):
        failed = CallFailed(CallFailure.BAD_ANSWER, "the answer has no output")
        report_failure(client, action, failed)
        return
    tokens = document.get("tokens", 0)
    client.feed(
        OutputArrived(
            attempt_id=action.attempt_id,
            echoed_id=str(document.get("attempt_id", "")),
            output=document["output"],
            tokens=tokens if isinstance(tokens, int) else 0,
        )
    )


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the body as a JSON object, empty if it is not one."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return document if isinstance(document, dict) else {}


class LineReader(Protocol):
    """Read the body of an answer; an engine's is parsed line by line as it arrives."""

    def __init__(
        self, client: BackendClient, action: StartAttempt, is_answer: bool
    ) -> None:
        self.client = client
        self.action = action
        self.is_stream = is_answer and action.kind is PoolKind.ENGINE
        self.max_body_bytes = MAX_OUTPUT_BYTES if is_answer else MAX_REFUSAL_BYTES
        self.buffer = bytearray()
        self.has_ended = False
        self.is_stopped = False
        self.whole_body: Deferred[bytes] = Deferred()

    def stop(self) -> None:
        """Close the connection and report nothing more."""
        self.is_stopped = True
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle the next bytes of the body."""
        if self.is_stopped:
            return
        if self.has_ended:
            # Nothing may follow the end of a stream.
            self.stop()
            return
        self.buffer += data
        if not self.is_stream:
            self.check_size(self.max_body_bytes, "body")
            return
        if b"\n" not in data:
            self.check_size(MAX_LINE_BYTES, "line")
            return
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        self.check_size(MAX_LINE_BYTES, "line")
        for line in lines:
            self.handle_line(line)

    def check_size(self, limit_bytes: int, bound: str) -> None:
        """Abort an answer that exceeds its size limit."""
        if len(self.buffer) > limit_bytes:
            log_over_bound(self.action.server.name, bound, len(self.buffer))
            self.buffer.clear()
            self.report(FailureReason.WRONG_ANSWER, "the answer exceeds the size limit")
            self.stop()

    def handle_line(self, line: bytes) -> None:
        """Report one line of an engine's stream."""
        if self.is_stopped or self.has_ended or not line.strip():
            return
        event = stream_event(self.action.attempt_id, parse_object(line))
        if event is None:
            self.report(FailureReason.WRONG_ANSWER, "malformed line in the stream")
            self.stop()
            return
        self.has_ended = isinstance(event, StreamEnded)
        if self.has_ended:
            self.client.readers.pop(self.action.attempt_id, None)
        self.client.feed(event)

    def report(self, reason: FailureReason, detail: str) -> None:
        """Report that the attempt ended without a complete answer."""
        self.has_ended = True
        self.client.readers.pop(self.action.attempt_id, None)
        self.client.feed(
            AttemptFailed(self.action.attempt_id, reason, detail, None, False)
        )

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report a stream that lacks its end marker, or deliver the whole body."""
        if self.whole_body.called:
            return
        if self.is_stopped:
            self.whole_body.cancel()
            return
        complete = reason.check(ResponseDone) is not None
        if self.is_stream:
            if not self.has_ended:
                self.report_unfinished_stream(reason, complete)
            self.whole_body.callback(b"")
            return
        if complete or self.is_whole_document(reason):
            self.whole_body.callback(bytes(self.buffer))
        else:
            self.whole_body.errback(reason)

    def is_whole_document(self, reason: Failure) -> bool:
        """Return whether a body that ended with its connection is a whole document."""
        if reason.check(PotentialDataLoss) is None:
            return False
        return judge_json_end(bytes(self.buffer)) is EndVerdict.COMPLETE

    def report_unfinished_stream(self, reason: Failure, complete: bool) -> None:
        """Report an unfinished stream: closed cleanly, or its connection lost."""
        closed_cleanly = complete or reason.check(ConnectionDone, PotentialDataLoss)
        cut = FailureReason.CUT if closed_cleanly else FailureReason.LOST
        self.report(cut, "the stream has no end marker")


def stream_event(
    attempt_id: str, document: dict[str, Any]
) -> TokensArrived | StreamEnded | None:
    """Return the event for a line of a stream, None for a malformed line.

    A line that reports an error is malformed, whatever else it holds.
    """
    if document.get("error"):
        return None
    echoed_id = str(document.get("attempt_id", ""))
    if document.get("end") is True and is_count(document.get("total")):
        return StreamEnded(attempt_id, echoed_id, document["total"])
    offset = document.get("offset")
    tokens = document.get("tokens")
    if not is_count(offset) or not isinstance(tokens, list):
        return None
    if not all(isinstance(token, str) for token in tokens):
        return None
    return TokensArrived(attempt_id, echoed_id, offset, tuple(tokens))


def is_count(value: object) -> TypeGuard[int]:
    """Return whether a value is a whole number of tokens."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0
