"""Send messages to other instances, over one kept connection to each.

Messages to one instance that come up while a call is in progress go together in the
next one. A call that is not answered soon makes its receiver doubted and its messages
fail; whoever sent them decides what to do about that.
"""

import logging
from collections.abc import Callable
from typing import Any, Final

import orjson

from bramleyturn.core.fleet.members import suspect
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.calls import CallBroken, Peer, call
from bramleyturn.gateway.metrics import count
from bramleyturn.gateway.serving import Serving

MESSAGES_TARGET: Final = "/v1/messages"
JSON_HEADERS: Final = [(b"Content-Type", b"application/json")]
# An instance that takes longer to acknowledge is stopped, cut off or overloaded.
ACK_TIMEOUT_MS: Final = 350
STATUS_NO_CONTENT: Final = 204
MAX_MESSAGES: Final = 256

Message = dict[str, Any]

logger = logging.getLogger(__name__)


class PeerLinks:
    """Hold the messages that wait for each instance."""

    def __init__(
        self, serving: Serving, receive: Callable[[str, Message], None]
    ) -> None:
        self.serving = serving
        self.receive = receive
        self.waiting: dict[str, list[Message]] = {}
        self.calling: set[str] = set()
        self.on_failed: Callable[[str], None] = lambda _name: None

    def send(self, name: str, message: Message) -> None:
        """Send a message to an instance; one to this instance is taken in later."""
        serving = self.serving
        if name == serving.me.name:
            serving.reactor.callLater(0, self.receive, name, message)
            return
        waiting = self.waiting.setdefault(name, [])
        if len(waiting) < MAX_MESSAGES:
            waiting.append(message)
        else:
            count(serving.metrics, "peer_messages_dropped")
        if name not in self.calling:
            self.calling.add(name)
            serving.reactor.callLater(0, self._start, name)

    def _start(self, name: str) -> None:
        run_in_background(self._deliver(name), "a link to an instance")

    async def _deliver(self, name: str) -> None:
        try:
            while self.waiting.get(name):
                messages = self.waiting.pop(name)
                if not await self._call(name, messages):
                    self.waiting.pop(name, None)
                    suspect(self.serving.members, name)
                    self.on_failed(name)
        finally:
            self.calling.discard(name)

    async def _call(self, name: str, messages: list[Message]) -> bool:
        serving = self.serving
        state = serving.members.others.get(name)
        if state is None:
            return False
        host = state.heartbeat.member.address.partition(":")[0]
        peer = Peer(name, host, serving.settings.control.port)
        body = orjson.dumps({"from": serving.me.name, "messages": messages})
        answer = await call(
            serving.peers_pool,
            peer,
            b"POST",
            MESSAGES_TARGET,
            JSON_HEADERS,
            body,
            ACK_TIMEOUT_MS,
        )
        is_taken = not isinstance(answer, CallBroken) and (
            answer.status == STATUS_NO_CONTENT
        )
        count(serving.metrics, "peer_calls", "taken" if is_taken else "failed")
        if not is_taken:
            logger.info(
                "messages to an instance failed",
                extra={"peer": name, "messages": len(messages)},
            )
        return is_taken


def decode_messages(body: bytes) -> tuple[str, list[Message]] | None:
    """Return the sender and its messages, None if the body is malformed."""
    try:
        document = orjson.loads(body)
        sender = document["from"]
        messages = document["messages"]
    except (ValueError, TypeError, KeyError):
        return None
    if not isinstance(sender, str) or not isinstance(messages, list):
        return None
    if not all(isinstance(message, dict) for message in messages):
        return None
    return sender, messages
