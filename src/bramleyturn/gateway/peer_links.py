"""Send messages to other instances, over one persistent connection to each.

Messages to an instance that are queued while a call is in progress are sent together
in the next call. A call that is not acknowledged soon is repeated on another
connection, as packets may be lost on one, and the receiver drops the repetition. If
neither is acknowledged in time, the messages fail and the instance is suspected; the
sender's ``on_failed`` decides what to do next.

An instance of another zone that did not acknowledge, and whose heartbeats still come by
way of others, gets its messages by way of a third zone (core/fleet/reachability.py).
"""

import logging
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import orjson
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bramleyturn.core.fleet.members import is_live, suspect
from bramleyturn.core.fleet.reachability import (
    is_unreached,
    note_heard_by_relay,
    note_reached,
    note_relay_refused,
    note_unreached,
    relay_to,
    was_unreached,
)
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.calls import CallFailed, Peer, WholeAnswer, call
from bramleyturn.gateway.http1_client import FailureReason
from bramleyturn.gateway.metrics import count, gauge, observe
from bramleyturn.gateway.serving import Serving
from bramleyturn.runtime.timers import stop_timer

MESSAGES_TARGET: Final = "/v1/messages"
JSON_HEADERS: Final = [(b"Content-Type", b"application/json")]
# An instance that takes longer to acknowledge is stopped, unreachable or overloaded.
ACK_TIMEOUT_MS: Final = 350
REPEAT_AFTER_MS: Final = 150
# A larger message takes long on a small link, which a repetition would fill.
MAX_REPEATED_BYTES: Final = 16_384
# An idle connection may be closed by the receiver while a call is sent on it.
LOST_CONNECTION: Final = frozenset({FailureReason.CLOSED, FailureReason.RESET})
# Repetitions that may be saved, and the part of the calls that may be repeated: if all
# calls are slow, the links are full.
MAX_SAVED_REPEATS: Final = 8.0
REPEATED_PART: Final = 0.1
STATUS_NO_CONTENT: Final = 204
MAX_QUEUED_MESSAGES: Final = 256
# The type of a message that is passed on to another instance.
RELAY: Final = "relay"
# The type of one that is given back, as it can't be passed on.
RELAY_REFUSED: Final = "relay_refused"

Message = dict[str, Any]

logger = logging.getLogger(__name__)


class Delivery(NamedTuple):
    """Number a call of one incarnation of its sender, to recognize a repetition."""

    incarnation: str
    number: int


class PeerMessages(NamedTuple):
    """Hold the contents of a call; earlier builds send no ``delivery``."""

    sender: str
    messages: list[Message]
    delivery: Delivery | None = None


class RepeatedCall:
    """Make a call, and once more if its first connection is slow or lost."""

    def __init__(
        self,
        serving: Serving,
        start: Callable[[int], "Deferred[WholeAnswer | CallFailed]"],
        may_repeat: Callable[[], bool],
    ) -> None:
        self.start = start
        self.may_repeat = may_repeat
        self.is_repeated = False
        self.in_progress = 0
        self.ended: Deferred[WholeAnswer | CallFailed] = Deferred()
        delay_s = REPEAT_AFTER_MS / MS_PER_S
        self.timer = serving.reactor.callLater(delay_s, self._repeat)
        self._start(ACK_TIMEOUT_MS)

    def _start(self, timeout_ms: int) -> None:
        self.in_progress += 1
        self.start(timeout_ms).addCallbacks(self._answered, self._broke)

    def _repeat(self) -> None:
        if not self.is_repeated and self.may_repeat():
            self.is_repeated = True
            self._start(ACK_TIMEOUT_MS - REPEAT_AFTER_MS)

    def _answered(self, answer: WholeAnswer | CallFailed) -> None:
        self.in_progress -= 1
        if self.ended.called:
            return
        if isinstance(answer, CallFailed):
            if answer.reason in LOST_CONNECTION:
                self._repeat()
            if self.in_progress:
                return
        stop_timer(self.timer)
        self.ended.callback(answer)

    def _broke(self, failure: Failure) -> None:
        stop_timer(self.timer)
        if not self.ended.called:
            self.ended.errback(failure)


class PeerLinks:
    """Queue and send the messages for each instance."""

    def __init__(
        self, serving: Serving, receive: Callable[[str, Message], None]
    ) -> None:
        self.serving = serving
        self.receive = receive
        self.waiting: dict[str, list[Message]] = {}
        self.calling: set[str] = set()
        self.on_failed: list[Callable[[str], None]] = []
        self.on_taken: list[Callable[[str], None]] = []
        self.delivery_number = 0
        self.saved_repeats = MAX_SAVED_REPEATS

    def send(self, name: str, message: Message) -> str:
        """Send a message; return the instance that it goes to first.

        One to this instance itself is received asynchronously.
        """
        serving = self.serving
        if name == serving.me.name:
            serving.reactor.callLater(0, self.receive, name, message)
            return name
        relay = self._relay_to(name)
        if not relay:
            self._queue(name, message)
            return name
        count(serving.metrics, "peer_messages_relayed", "sent")
        wrapped = {
            "type": RELAY,
            "to": name,
            "from": serving.me.name,
            "message": message,
        }
        self._queue(relay, wrapped)
        return relay

    def pass_on(self, name: str, wrapped: Message) -> bool:
        """Pass a message of another instance on; return False if its receiver is gone.

        A receiver that is live and can't be reached from here either is slow, so that
        its sender gets the message back.
        """
        serving = self.serving
        now_ms = serving.now_ms()
        if not is_live(serving.members, name, now_ms):
            return False
        if is_unreached(serving.reachability, serving.members, name, now_ms):
            self._refuse(wrapped)
            return True
        count(serving.metrics, "peer_messages_relayed", "passed on")
        self._queue(name, wrapped)
        return True

    def _refuse(self, wrapped: Message) -> None:
        """Give a message back to its sender, unless that is this instance."""
        origin = str(wrapped["from"])
        if origin != self.serving.me.name:
            count(self.serving.metrics, "peer_messages_relayed", "refused")
            self._queue(origin, wrapped | {"type": RELAY_REFUSED})

    def refused(self, wrapped: Message) -> None:
        """Send a message directly that a relay gave back."""
        serving = self.serving
        name = str(wrapped["to"])
        is_known = name in serving.reachability.instances
        note_relay_refused(serving.reachability, name, serving.now_ms())
        if is_known:
            self._log_reach(name, "")
        if name in serving.members.others:
            self._queue(name, wrapped["message"])

    def heard(self, name: str) -> None:
        """Note that an instance sent messages directly."""
        serving = self.serving
        now_ms = serving.now_ms()
        if note_reached(serving.reachability, serving.members, name, now_ms):
            self._log_reach(name, "")

    def heard_by_relay(self, name: str) -> None:
        """Note that an instance could not send its messages directly."""
        serving = self.serving
        is_new = name not in serving.reachability.instances
        note_heard_by_relay(
            serving.reachability, serving.members, name, serving.now_ms()
        )
        relay = self._relay_to(name)
        if is_new and relay:
            self._log_reach(name, relay)

    def _relay_to(self, name: str) -> str:
        """Return the instance that passes messages on to another one, if one does."""
        serving = self.serving
        if not serving.reachability.instances:
            return ""
        return relay_to(
            serving.reachability,
            serving.members,
            name,
            serving.random,
            serving.now_ms(),
        )

    def _log_reach(self, name: str, relay: str) -> None:
        unreached = len(self.serving.reachability.instances)
        gauge(self.serving.metrics, "unreached_instances", unreached)
        logger.info(
            "way to an instance changed", extra={"peer": name, "by_way_of": relay}
        )

    def _queue(self, name: str, message: Message) -> None:
        serving = self.serving
        waiting = self.waiting.setdefault(name, [])
        if len(waiting) < MAX_QUEUED_MESSAGES:
            waiting.append(message)
        else:
            count(serving.metrics, "peer_messages_dropped")
        if name not in self.calling:
            self.calling.add(name)
            serving.reactor.callLater(0, self._start, name)

    def _start(self, name: str) -> None:
        run_in_background(self._deliver(name), "messages to an instance")

    async def _deliver(self, name: str) -> None:
        try:
            while self.waiting.get(name):
                messages = self.waiting.pop(name)
                if await self._call(name, messages):
                    self.heard(name)
                    self._notify_taken(name, messages)
                    continue
                messages += self.waiting.pop(name, [])
                for each in messages:
                    if each["type"] == RELAY and each["to"] == name:
                        self._refuse(each)
                if not self._relay_failed(name, messages):
                    self.give_up(name)
        finally:
            self.calling.discard(name)

    def _notify_taken(self, name: str, messages: list[Message]) -> None:
        """Tell who has taken messages; a relay answers for those it passes on."""
        relayed = {str(each["to"]) for each in messages if each["type"] == RELAY}
        for taken in (name, *sorted(relayed - {name})):
            for notify in self.on_taken:
                notify(taken)

    def _relay_failed(self, name: str, messages: list[Message]) -> bool:
        """Send messages on by a relay if a direct try has failed once more.

        The instance is live by its heartbeats and stays the receiver, so that no other
        instance takes its place.
        """
        serving = self.serving
        now_ms = serving.now_ms()
        is_known = was_unreached(serving.reachability, name, now_ms)
        if not is_known or not is_live(serving.members, name, now_ms):
            return False
        note_unreached(serving.reachability, serving.members, name, now_ms)
        if not self._relay_to(name):
            return False
        for message in messages:
            if message["type"] != RELAY:
                self.send(name, message)
        return True

    def give_up(self, name: str) -> None:
        """Suspect an instance until its next heartbeat."""
        serving = self.serving
        is_new = name not in serving.reachability.instances
        note_unreached(serving.reachability, serving.members, name, serving.now_ms())
        if is_new and name in serving.reachability.instances:
            self._log_reach(name, "")
        suspect(serving.members, name)
        for notify in self.on_failed:
            notify(name)

    def _take_repeat(self, size_bytes: int) -> bool:
        """Return whether a call may be repeated; count it if so."""
        if size_bytes > MAX_REPEATED_BYTES or self.saved_repeats < 1.0:
            return False
        self.saved_repeats -= 1.0
        count(self.serving.metrics, "peer_calls_repeated")
        return True

    async def _call(self, name: str, messages: list[Message]) -> bool:
        serving = self.serving
        state = serving.members.others.get(name)
        if state is None:
            return False
        host = state.member.address.partition(":")[0]
        peer = Peer(name, host, serving.settings.control.port)
        self.delivery_number += 1
        body = orjson.dumps(
            {
                "from": serving.me.name,
                "delivery": [serving.me.incarnation, self.delivery_number],
                "messages": messages,
            }
        )
        sent_ms = serving.now_ms()

        def start(timeout_ms: int) -> "Deferred[WholeAnswer | CallFailed]":
            return Deferred.fromCoroutine(
                call(
                    serving.peers_pool,
                    peer,
                    b"POST",
                    MESSAGES_TARGET,
                    JSON_HEADERS,
                    body,
                    timeout_ms,
                )
            )

        self.saved_repeats = min(MAX_SAVED_REPEATS, self.saved_repeats + REPEATED_PART)
        # A call that tries whether an instance can be reached again is not repeated.
        is_try = was_unreached(serving.reachability, name, sent_ms)
        answer = await RepeatedCall(
            serving, start, lambda: not is_try and self._take_repeat(len(body))
        ).ended
        is_taken = not isinstance(answer, CallFailed) and (
            answer.status == STATUS_NO_CONTENT
        )
        took_ms = serving.now_ms() - sent_ms
        count(serving.metrics, "peer_calls", "taken" if is_taken else "failed")
        count(serving.metrics, "peer_call_bytes", by=len(body))
        observe(serving.metrics, "peer_call", took_ms)
        if not is_taken:
            logger.info(
                "messages to an instance failed",
                extra={
                    "peer": name,
                    "messages": len(messages),
                    "bytes": len(body),
                    "took_ms": took_ms,
                    "reason": answer.reason
                    if isinstance(answer, CallFailed)
                    else answer.status,
                },
            )
        return is_taken


def decode_messages(body: bytes) -> PeerMessages | None:
    """Decode the contents of a call; return None if malformed."""
    try:
        document = orjson.loads(body)
        sender = document["from"]
        messages = document["messages"]
        delivery = _decode_delivery(document.get("delivery"))
    except (AttributeError, ValueError, TypeError, KeyError):
        return None
    if not isinstance(sender, str) or not isinstance(messages, list):
        return None
    if not all(isinstance(message, dict) for message in messages):
        return None
    return PeerMessages(sender, messages, delivery)


def _decode_delivery(row: Any) -> Delivery | None:
    if row is None:
        return None
    incarnation, number = row
    if not isinstance(incarnation, str) or type(number) is not int:
        raise TypeError("the number of a call is malformed")
    return Delivery(incarnation, number)


def is_repetition(known: dict[str, Delivery], call: PeerMessages) -> bool:
    """Return whether a call was received before; note it in ``known`` if not.

    A call is only sent after the one before it has ended, so that one with a lower
    number is a repetition, or has failed for its sender.
    """
    if call.delivery is None:
        return False
    incarnation, number = call.delivery
    last = known.get(call.sender, Delivery(incarnation, number - 1))
    if last.incarnation == incarnation and number <= last.number:
        return True
    known[call.sender] = call.delivery
    return False
