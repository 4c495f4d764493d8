"""Serve HTTP/1.1 connections, one request at a time.

The h11 library does the framing. This module adds limits on what a caller may send,
and closes the connection in the middle of an answer that can't be completed. Twisted's
own web server would end such an answer as if it were complete.
"""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.protocol import Factory

from bramleyturn.core.catalog.model import CallerLimits
from bramleyturn.core.contention.loop_turns import LoopTurns
from bramleyturn.gateway.caller_bounds import CallerBounds, unbounded
from bramleyturn.gateway.caller_connection import CallerConnection
from bramleyturn.gateway.caller_heads import ConnectionState
from bramleyturn.gateway.exchange import Exchange
from bramleyturn.gateway.unread_answers import UnreadAnswers
from bramleyturn.runtime.loop_turns import loop_turns
from bramleyturn.runtime.unread_bytes import has_unread_bytes

__all__ = ["CallerConnection", "ConnectionState", "HttpServer"]


# What a request costs besides its parsing, in units of core/contention/loop_turns.py.
REQUEST_UNITS: Final = 200


class HttpServer:
    """Hold the state shared by the connections of one listening address."""

    def __init__(
        self,
        reactor: Any,
        now_ms: Callable[[], int],
        limits: Callable[[], CallerLimits],
        handle: Callable[[Exchange], None],
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.limits = limits
        self.handle = handle
        self.connections: set[CallerConnection] = set()
        self.accepted = 0
        self.is_closing = False
        self.unread = UnreadAnswers()
        self.bounds: CallerBounds = unbounded()
        self.turns: LoopTurns = loop_turns(reactor, now_ms)
        self.request_units = REQUEST_UNITS
        self.on_connection_ended: Callable[[CallerConnection], None] = lambda _: None

    def factory(self) -> Factory:
        """Return the twisted factory of the connections."""
        return Factory.forProtocol(lambda: CallerConnection(self))

    def close_idle(self, idle_ms: int) -> None:
        """Close the connections that have had no request in progress for ``idle_ms``.

        The first request on a new connection may be on its way.
        """
        until_ms = self.now_ms() - idle_ms
        for connection in list(self.connections):
            if connection.idle_since_ms <= until_ms:
                connection.close_if_idle()

    def has_read_all(self) -> bool:
        """Return whether no connection holds bytes that have not been read."""
        return not any(has_unread_bytes(each.transport) for each in self.connections)

    def refuse_unread(self, status: int) -> None:
        """Refuse the requests that have not been read to their end."""
        for connection in list(self.connections):
            if connection.state() is ConnectionState.READING:
                connection.refuse(status)
