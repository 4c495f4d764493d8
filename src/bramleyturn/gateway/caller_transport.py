"""Pause, time and close the transport of a caller's connection."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol

from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.timers import stop_timer
from bramleyturn.runtime.twisted_types import DelayedCall


class CallerTransport(Protocol):
    """Hold the one timer of a connection, and whether it is read."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.is_closed = False
        self.is_paused = False
        self.timer: DelayedCall | None = None

    def _set_paused(self, is_paused: bool) -> None:
        """Stop to read the connection, or read it on."""
        if is_paused == self.is_paused:
            return
        self.is_paused = is_paused
        transport: Any = self.transport
        if is_paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def caller_address(self) -> str:
        """Return the address and port of the caller."""
        transport: Any = self.transport
        peer = transport.getPeer()
        return f"{peer.host}:{peer.port}"

    def _close_now(self) -> None:
        self._stop_timer()
        transport: Any = self.transport
        transport.loseConnection()

    def abort(self) -> None:
        """Close the connection at once, without sending what is buffered."""
        transport: Any = self.transport
        if transport is not None and not self.is_closed:
            transport.abortConnection()

    def _start_timer(self, wait_ms: int, callback: Callable[[], None]) -> None:
        self._stop_timer()
        self.timer = self.reactor.callLater(wait_ms / MS_PER_S, callback)

    def _stop_timer(self) -> None:
        stop_timer(self.timer)
        self.timer = None
