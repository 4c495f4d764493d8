"""Close a server without cutting off callers that still wait for an answer."""

from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from bramleyturn.runtime.http_server import OpenServer

CLOSE_TIMEOUT_S: Final = 10.0
CLOSE_CHECK_S: Final = 0.02
MAX_ACCEPTED_AT_CLOSE: Final = 64


async def close_server(reactor: Any, server: OpenServer) -> None:
    """Stop accepting connections and return once the open ones are done.

    A caller that does not read its answer delays the end only for a limited time.
    """
    server.site.close_idle()
    # Connections in the listen backlog are still served.
    await deferLater(reactor, CLOSE_CHECK_S)
    close_port(server)
    checks = int(CLOSE_TIMEOUT_S / CLOSE_CHECK_S)
    while server.site.channels and checks:
        server.site.close_idle()
        checks -= 1
        await deferLater(reactor, CLOSE_CHECK_S)


def close_port(server: OpenServer) -> None:
    """Accept pending connections and close the port in the same reactor turn.

    Twisted's ``stopListening`` closes a port one turn later, and would reset the
    connections that are set up in between.
    """
    accept_waiting(server)
    server.port.stopReading()
    server.port.connectionLost(Failure(ConnectionDone()))


def accept_waiting(server: OpenServer) -> None:
    """Accept every connection in the listen backlog.

    Closing the port would reset them, whatever they have sent.
    """
    for _ in range(MAX_ACCEPTED_AT_CLOSE):
        before = server.site.connections
        server.port.doRead()
        if server.site.connections == before:
            return


def end_when_answered(reactor: Any, server: OpenServer) -> None:
    """Close the server of a process that only answers reads, then stop the reactor."""

    def stop(_result: Any) -> None:
        reactor.stop()

    Deferred.fromCoroutine(close_server(reactor, server)).addBoth(stop)
