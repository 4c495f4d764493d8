"""Answer messages from other entry processes."""

from typing import Any, Final

from klein import Klein
from twisted.internet.defer import Deferred, succeed

from bramleyturn.core.actions import Answer, ForwardAnswer
from bramleyturn.core.arrivals import StillRunning, kept_outcome
from bramleyturn.core.events import (
    BackupAsked,
    BackupMessage,
    PeerIntroduced,
    PeerSeen,
    RequestArrived,
    WaiterGone,
)
from bramleyturn.core.gossip_exchange import build_gossip, count_sent_bytes
from bramleyturn.core.handover import import_batch
from bramleyturn.core.intake import BadRequest
from bramleyturn.core.outcome_json import outcome_document
from bramleyturn.core.peer_message import (
    MessageFault,
    MessageKind,
    MessageRefused,
    PeerMessage,
    check_fresh,
    decode_message,
    encode_message,
    message_macs,
)
from bramleyturn.core.ticket_json import (
    answer_document,
    parse_intent,
    parse_outcome_copy,
    parse_revoke,
)
from bramleyturn.core.ticket_messages import (
    InputDiffers,
    Intent,
    PrimaryAnswer,
    PrimaryFinished,
    PrimaryRunning,
)
from bramleyturn.core.timeline import EventKind, record
from bramleyturn.runtime.entry_loop import (
    EntryLoop,
    WaiterAction,
    feed,
    new_backup_reply,
    new_waiter,
)
from bramleyturn.runtime.http_server import header, problem
from bramleyturn.runtime.peer_client import (
    MAC_HEADER,
    MESSAGE_PATH,
    count_traffic,
    message_keys,
    new_message,
)
from bramleyturn.runtime.timers import stop_timer
from bramleyturn.runtime.twisted_types import HttpRequest

PRIMARY_WAIT_S: Final = 1.0
ASK_AGAIN_MS: Final = 10
MAX_MESSAGE_BYTES: Final = 16 * 1024 * 1024

_BACKUP_PARSERS: Final = {
    MessageKind.INTENT: parse_intent,
    MessageKind.REVOKE: parse_revoke,
    MessageKind.OUTCOME: parse_outcome_copy,
}


def peers_api(loop: EntryLoop, app: Klein) -> None:
    """Add the route of peers' messages to ``app``."""

    @app.route(MESSAGE_PATH, methods=["POST"])
    async def message(request: HttpRequest) -> bytes:
        packed = request.content.read()
        macs = header(request, MAC_HEADER)
        received = verify_message(loop, packed, macs)
        if isinstance(received, MessageFault):
            loop.state.counters.messages_refused += 1
            loop.peers.traffic.refused[str(received)] += 1
            bad = BadRequest(403, "Message refused", received, MAC_HEADER)
            return problem(request, bad)
        count_traffic(loop.peers, f"received_{received.kind}", packed, macs)
        note_sender(loop, received)
        body = await answer_message(loop, received)
        if body is None:
            bad = BadRequest(400, "Bad message", "its body is malformed", "body")
            return problem(request, bad)
        answer = new_message(
            loop.peers,
            received.kind,
            body,
            received.sender.incarnation,
            received.sequence,
        )
        packed = encode_message(answer)
        macs = message_macs(packed, message_keys(loop.state.configuration.peers))
        count_traffic(loop.peers, f"returned_{received.kind}", packed, macs)
        request.setHeader(MAC_HEADER, macs)
        return packed


def verify_message(
    loop: EntryLoop, packed: bytes, macs: str
) -> PeerMessage | MessageFault:
    """Return a message if it is signed, fresh and addressed to this process."""
    keys = message_keys(loop.state.configuration.peers)
    received = decode_message(packed, macs, keys)
    if isinstance(received, MessageRefused):
        return received.reason
    fault = check_fresh(loop.peers.senders, received, loop.peers.identity.me)
    return received if fault is None else fault


def note_sender(loop: EntryLoop, message: PeerMessage) -> None:
    """Tell the core that a peer is alive.

    A message that names no incarnation of this process may be a replay that it no
    longer recognises after a restart, and does not prove that the peer is alive.
    """
    sender = message.sender
    if not message.to:
        feed(
            loop,
            PeerIntroduced(message.sender_name, message.sender_zone, sender.address),
        )
        return
    body = message.body if message.kind is MessageKind.HELLO else None
    feed(
        loop,
        PeerSeen(
            message.sender_name,
            message.sender_zone,
            sender.address,
            sender.incarnation,
            message.revision,
            body,
        ),
    )


def answer_message(loop: EntryLoop, message: PeerMessage) -> Deferred[Any]:
    """Return the body of the answer, None for a malformed message."""
    match message.kind:
        case MessageKind.HELLO:
            return succeed(answer_gossip(loop, message))
        case MessageKind.RUN:
            return run_forwarded(loop, message.body)
        case MessageKind.LOOKUP:
            return succeed(look_up_here(loop, message.body))
        case MessageKind.KEEP:
            return succeed(store_outcomes(loop, message.body))
    asked = _BACKUP_PARSERS[message.kind](message.body)
    if asked is None:
        return succeed(None)
    return succeed(answer_as_backup(loop, asked))


def answer_gossip(loop: EntryLoop, message: PeerMessage) -> dict[str, Any]:
    """Return the answer to a gossip message: the gossip of this process."""
    now_ms = loop.clock.monotonic_ms()
    body = build_gossip(loop.state, message.sender, message.sender_zone, now_ms)
    count_sent_bytes(loop.state, body)
    return body


def answer_as_backup(loop: EntryLoop, message: BackupMessage) -> dict[str, Any]:
    """Let the core answer as the backup of a ticket."""
    record_intent(loop, message)
    answers: list[dict[str, Any]] = []
    reply_to = new_backup_reply(
        loop, lambda answer: answers.append(answer_document(answer))
    )
    feed(loop, BackupAsked(reply_to, message))
    return answers[0]


def record_intent(loop: EntryLoop, message: BackupMessage) -> None:
    """Record a primary's intent in the timeline, under the attempt it is for."""
    if not isinstance(message, Intent):
        return
    record(
        loop.state.timeline,
        EventKind.MESSAGE_RECEIVED,
        loop.clock.monotonic_ms(),
        stage=message.intended.stage,
        attempt_id=message.intended.attempt_id,
        detail="intent",
        cause=message.intended.attempt_id,
    )


def record_forwarded(loop: EntryLoop, request_id: str, forward_id: str) -> None:
    """Record a forwarded request in the timeline, under its forward id."""
    record(
        loop.state.timeline,
        EventKind.MESSAGE_RECEIVED,
        loop.clock.monotonic_ms(),
        request_id=request_id,
        detail="forwarded request",
        cause=forward_id,
    )


def run_forwarded(loop: EntryLoop, body: Any) -> Deferred[Any]:
    """Run a forwarded request, or join a running one; wait a limited time for it."""
    answered: Deferred[Any] = Deferred()

    def reply(action: WaiterAction) -> None:
        stop_timer(timer)
        answered.callback(answer_document(primary_answer(action)))

    def still_running() -> None:
        loop.waiters.pop(waiter, None)
        feed(loop, WaiterGone(waiter))
        answered.callback(answer_document(PrimaryRunning(ASK_AGAIN_MS)))

    waiter = new_waiter(loop, reply)
    event = parse_forwarded(waiter, body)
    if event is None:
        loop.waiters.pop(waiter)
        return succeed(None)
    record_forwarded(loop, event.request_id, str(body.get("forward_id", "")))
    timer = loop.reactor.callLater(PRIMARY_WAIT_S, still_running)
    feed(loop, event)
    return answered


def primary_answer(action: WaiterAction) -> PrimaryAnswer:
    """Return the answer to the sender of a forwarded request."""
    if isinstance(action, ForwardAnswer):
        return action.answer
    if isinstance(action, Answer):
        return PrimaryFinished(action.outcome)
    return InputDiffers()


def parse_forwarded(waiter: str, body: Any) -> RequestArrived | None:
    """Return the forwarded request in a message, None if it is malformed."""
    try:
        return RequestArrived(
            waiter=waiter,
            workspace=str(body["workspace"]),
            pipeline=str(body["pipeline"]),
            request_id=str(body["request_id"]),
            input=body["input"],
            input_bytes=int(body["input_bytes"]),
            left_ms=int(body["left_ms"]),
            ticket=str(body["ticket"]),
            is_forwarded=True,
        )
    except (KeyError, TypeError, ValueError):
        return None


def look_up_here(loop: EntryLoop, body: Any) -> dict[str, Any] | None:
    """Return the state of a workspace's request at this process."""
    try:
        workspace, request_id = str(body["workspace"]), str(body["request_id"])
    except (KeyError, TypeError):
        return None
    now_ms = loop.clock.monotonic_ms()
    found = kept_outcome(loop.state, workspace, request_id, now_ms)
    if found is None:
        return {"state": "unknown"}
    if isinstance(found, StillRunning):
        return {"state": "running"}
    return {"state": "ended", "outcome": outcome_document(request_id, found)}


def store_outcomes(loop: EntryLoop, body: Any) -> dict[str, Any] | None:
    """Store the outcomes of an ending process, unless this one is draining too."""
    if loop.state.is_draining:
        return {"taken": 0}
    batch = body.get("outcomes") if isinstance(body, dict) else None
    most_ms = loop.state.configuration.limits.kept_outcome_ms
    taken = import_batch(loop.state.kept, batch, most_ms, loop.clock.monotonic_ms())
    return None if taken is None else {"taken": taken}
