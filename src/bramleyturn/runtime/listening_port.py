"""Close a listening port without losing the connections that wait at it."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

MAX_ACCEPTED_AT_CLOSE: Final = 64


def close_port(port: Any, accepted: Callable[[], int]) -> None:
    """Accept pending connections and close the port in the same reactor turn.

    ``accepted`` returns the number of connections accepted so far. Twisted's
    ``stopListening`` closes a port one turn later, and would reset the connections that
    are set up in between.
    """
    accept_waiting(port, accepted)
    port.stopReading()
    port.connectionLost(Failure(ConnectionDone()))


def accept_waiting(port: Any, accepted: Callable[[], int]) -> None:
    """Accept every connection in the listen backlog.

    Closing the port would reset them, whatever they have sent.
    """
    for _ in range(MAX_ACCEPTED_AT_CLOSE):
        before = accepted()
        port.doRead()
        if accepted() == before:
            return
