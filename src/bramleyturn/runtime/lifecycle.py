"""Model the lifecycle of a process, from its start to its graceful shutdown."""

import logging
import signal
from collections.abc import Callable
from typing import Any, Protocol

from automat import TypeMachineBuilder

logger = logging.getLogger(__name__)


class Lifecycle(Protocol):
    """Define the inputs of the lifecycle state machine."""

    def configured(self) -> None:
        """Record that the process knows enough to take requests."""

    def asked_to_stop(self) -> None:
        """Record that the process shall end once its work is done."""

    def finished(self) -> None:
        """Record that no work is left."""

    def is_ready(self) -> bool:
        """Tell whether the process takes new requests."""


class ShutdownHooks:
    """Hold the callbacks for the start of draining and for the end."""

    def __init__(self, drain: Callable[[], None], end: Callable[[], None]) -> None:
        self.drain = drain
        self.end = end


def _lifecycle_factory() -> Callable[[ShutdownHooks], Lifecycle]:
    """Build the state machine and return its factory."""
    builder = TypeMachineBuilder(Lifecycle, ShutdownHooks)
    starting = builder.state("starting")
    serving = builder.state("serving")
    draining = builder.state("draining")
    ended = builder.state("ended")

    @starting.upon(Lifecycle.asked_to_stop).to(draining)
    @serving.upon(Lifecycle.asked_to_stop).to(draining)
    def drain(_lifecycle: Lifecycle, ending: ShutdownHooks) -> None:
        logger.info("draining")
        ending.drain()

    @draining.upon(Lifecycle.finished).to(ended)
    def end(_lifecycle: Lifecycle, ending: ShutdownHooks) -> None:
        logger.info("ending")
        ending.end()

    starting.upon(Lifecycle.configured).to(serving).returns(None)
    for state in (serving, draining, ended):
        state.upon(Lifecycle.configured).loop().returns(None)
    for state in (draining, ended):
        state.upon(Lifecycle.asked_to_stop).loop().returns(None)
    for state in (starting, serving, ended):
        state.upon(Lifecycle.finished).loop().returns(None)
    for state in (starting, serving, draining, ended):
        state.upon(Lifecycle.is_ready).loop().returns(state is serving)
    return builder.build()


new_lifecycle = _lifecycle_factory()


def stop_on_signals(reactor: Any, stop: Callable[[], None]) -> None:
    """Call ``stop`` on SIGTERM and SIGINT, in the reactor turn after the signal."""

    def handle(_number: int, _frame: Any) -> None:
        reactor.callFromThread(stop)

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)
