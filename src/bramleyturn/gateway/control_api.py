"""Serve other instances: messages about stages, and copies of store items."""

import logging
from typing import Any, Final
from urllib.parse import parse_qs

from bramleyturn.gateway.cold_turns import decode_cold_ask, decode_cold_turn
from bramleyturn.gateway.exchange import Exchange
from bramleyturn.gateway.peer_links import (
    MESSAGES_TARGET,
    RELAY,
    RELAY_REFUSED,
    Delivery,
    Message,
    decode_messages,
    is_repetition,
)
from bramleyturn.gateway.stage_asks import StageAsks
from bramleyturn.gateway.stage_messages import (
    decode_ask,
    decode_done,
    decode_engine_ask,
    decode_engine_chosen,
    decode_handover,
    decode_late_engine,
    decode_moved,
)
from bramleyturn.gateway.stage_owner import StageOwner
from bramleyturn.gateway.store_copy import StoreCopy
from bramleyturn.gateway.store_relay import RELAY_TARGET, relay_document

STATUS_NO_CONTENT: Final = 204
STATUS_BAD_REQUEST: Final = 400
STATUS_NOT_FOUND: Final = 404
# Messages that any owner of the stages can handle.
FOR_OWNER: Final = frozenset({"ask", "withdraw", "release", "engine_ask"})

logger = logging.getLogger(__name__)


class ControlApi:
    """Dispatch the calls and messages of other instances."""

    def __init__(self, owner: StageOwner, asks: StageAsks, copy: StoreCopy) -> None:
        self.owner = owner
        self.asks = asks
        self.copy = copy
        self.deliveries: dict[str, Delivery] = {}

    def handle(self, exchange: Exchange) -> None:
        """Answer one call of another instance."""
        target, _, query = exchange.target.decode("latin-1").partition("?")
        if target == MESSAGES_TARGET:
            self._handle_messages(exchange)
        elif target == RELAY_TARGET:
            self._relay(exchange, query)
        else:
            exchange.answer(STATUS_NOT_FOUND, [], b"")

    def receive(self, sender: str, message: Message) -> None:
        """Dispatch one message by its type."""
        now_ms = self.owner.serving.now_ms()
        kind = message.get("type")
        if kind in (RELAY, RELAY_REFUSED) and self._relay_message(message):
            return
        if kind == "ask":
            ask = decode_ask(message, now_ms)
            if ask is not None:
                self.owner.handle_ask(sender, ask)
                return
        elif kind == "done":
            done = decode_done(message)
            if done is not None:
                self.asks.handle_done(sender, done)
                return
        elif kind == "engine_ask":
            engine_ask = decode_engine_ask(message)
            if engine_ask is not None:
                self.owner.handle_engine_ask(sender, engine_ask)
                return
        elif kind == "engine_chosen":
            chosen = decode_engine_chosen(message)
            if chosen is not None:
                self.asks.handle_engine(chosen)
                return
        elif kind == "engine_late":
            late = decode_late_engine(message)
            if late is not None:
                self.owner.handle_late_engine(late)
                return
        elif kind == "cold_ask":
            cold_ask = decode_cold_ask(message)
            if cold_ask is not None:
                self.asks.cold_turns.handle_ask(sender, cold_ask)
                return
        elif kind == "cold_turn":
            cold_turn = decode_cold_turn(message)
            if cold_turn is not None:
                self.asks.cold_turns.handle_turn(cold_turn)
                return
        elif kind == "withdraw":
            self.owner.handle_withdrawal(
                str(message.get("pool")), str(message.get("ask_id"))
            )
            return
        elif kind == "release" and isinstance(message.get("handles"), list):
            handles: list[Any] = message["handles"]
            size = message.get("size")
            self.owner.handle_release(
                str(message.get("pool")),
                [str(handle) for handle in handles],
                size if isinstance(size, int) else 0,
            )
            return
        elif kind == "moved":
            moved = decode_moved(message)
            if moved is not None:
                self.owner.handle_moved(moved)
                return
        elif kind == "handover":
            handover = decode_handover(message, now_ms)
            if handover is not None:
                self.owner.handle_handover(sender, handover)
                return
        logger.warning("message rejected", extra={"peer": sender, "kind": str(kind)})

    def _relay_message(self, message: Message) -> bool:
        """Take or pass on a message of an instance that can't reach its receiver.

        One for an owner that is gone counts as sent to this instance, which hands it
        over to the next owner. Return whether it is sound.
        """
        receiver, origin = message.get("to"), message.get("from")
        inner = message.get("message")
        if not isinstance(receiver, str) or not isinstance(origin, str):
            return False
        if not isinstance(inner, dict) or not isinstance(inner.get("type"), str):
            return False
        if inner["type"] in (RELAY, RELAY_REFUSED):
            return False
        links = self.asks.links
        if message["type"] == RELAY_REFUSED:
            if origin == self.owner.serving.me.name:
                links.refused(message)
        elif receiver == self.owner.serving.me.name:
            links.heard_by_relay(origin)
            self.receive(origin, inner)
        elif not links.pass_on(receiver, message) and inner["type"] in FOR_OWNER:
            self.receive(origin, inner)
        return True

    def _handle_messages(self, exchange: Exchange) -> None:
        decoded = decode_messages(exchange.body)
        if decoded is None:
            exchange.answer(STATUS_BAD_REQUEST, [], b"")
            return
        exchange.answer(STATUS_NO_CONTENT, [], b"")
        if is_repetition(self.deliveries, decoded):
            return
        self.asks.links.heard(decoded.sender)
        for message in decoded.messages:
            self.receive(decoded.sender, message)

    def _relay(self, exchange: Exchange, query: str) -> None:
        parsed = parse_qs(query, keep_blank_values=True)
        fields = {name: values[0] for name, values in parsed.items()}
        after, era = fields.get("after", "0"), fields.get("era")
        if not after.isdigit() or not (era is None or era.isdigit()):
            exchange.answer(STATUS_BAD_REQUEST, [], b"")
            return
        document = relay_document(
            self.copy,
            int(after),
            None if era is None else int(era),
            fields.get("held"),
        )
        exchange.answer(200, [(b"Content-Type", b"application/json")], document)


def control_api(owner: StageOwner, asks: StageAsks, copy: StoreCopy) -> ControlApi:
    """Return the handler of calls by other instances."""
    return ControlApi(owner, asks, copy)
