"""End a process without cutting off anyone who is being answered."""

from typing import Any, Final

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import deferLater

from bramleyturn.runtime.http_server import OpenServer

CLOSE_LIMIT_S: Final = 10.0
CLOSE_CHECK_S: Final = 0.02
MAX_WAITING: Final = 64


async def close_server(reactor: Any, server: OpenServer) -> None:
    """Accept no connection any more and return once those who wait are answered.

    A caller that does not read its answer holds up the end only for a limited time.
    """
    server.site.close_idle()
    # Connections that are waiting to be accepted are still served.
    await deferLater(reactor, CLOSE_CHECK_S)
    accept_waiting(server)
    await maybeDeferred(server.port.stopListening)
    checks = int(CLOSE_LIMIT_S / CLOSE_CHECK_S)
    while server.site.channels and checks:
        server.site.close_idle()
        checks -= 1
        await deferLater(reactor, CLOSE_CHECK_S)


def accept_waiting(server: OpenServer) -> None:
    """Accept every connection that the system has set up already.

    Closing the port would reset them, whatever they have sent.
    """
    for _ in range(MAX_WAITING):
        before = server.site.connections
        server.port.doRead()
        if server.site.connections == before:
            return


def end_when_answered(reactor: Any, server: OpenServer) -> None:
    """End a process that only answers questions."""

    def stop(_result: Any) -> None:
        reactor.stop()

    Deferred.fromCoroutine(close_server(reactor, server)).addBoth(stop)
