"""Decide when a starting process knows enough to take callers."""

from collections.abc import Callable
from typing import Final

from bramleyturn.runtime.twisted_types import Reactor

LIST_WAIT_S: Final = 3.0


class StartUp:
    """Track what a starting process knows so far."""

    def __init__(self, reactor: Reactor, ready: Callable[[], None]) -> None:
        self.reactor = reactor
        self.ready = ready
        self.is_configured = False
        self.is_listed = False


def note_configuration(start_up: StartUp) -> None:
    """Record that a configuration is in force.

    The first one starts a timer, after which the process starts without the
    platform's list: the platform may be unavailable for long.
    """
    if start_up.is_configured:
        return
    start_up.is_configured = True
    start_up.reactor.callLater(LIST_WAIT_S, note_list, start_up)
    ready_if_known(start_up)


def note_list(start_up: StartUp) -> None:
    """Record that the platform lists this process, so its peers are known too."""
    if start_up.is_listed:
        return
    start_up.is_listed = True
    ready_if_known(start_up)


def ready_if_known(start_up: StartUp) -> None:
    """Call ``ready`` once both are known."""
    if start_up.is_configured and start_up.is_listed:
        start_up.ready()
