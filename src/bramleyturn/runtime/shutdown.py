"""Close a server without cutting off callers that still wait for an answer."""

from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bramleyturn.runtime.http_server import OpenServer
from bramleyturn.runtime.listening_port import close_port

CLOSE_TIMEOUT_S: Final = 10.0
CLOSE_CHECK_S: Final = 0.02


async def close_server(reactor: Any, server: OpenServer) -> None:
    """Stop accepting connections and return once the open ones are done.

    A caller that does not read its answer delays the end only for a limited time.
    """
    server.site.close_idle()
    # Connections in the listen backlog are still served.
    await deferLater(reactor, CLOSE_CHECK_S)
    close_port(server.port, lambda: server.site.connections)
    checks = int(CLOSE_TIMEOUT_S / CLOSE_CHECK_S)
    while server.site.channels and checks:
        server.site.close_idle()
        checks -= 1
        await deferLater(reactor, CLOSE_CHECK_S)


def end_when_answered(reactor: Any, server: OpenServer) -> None:
    """Close the server of a process that only answers reads, then stop the reactor."""

    def stop(_result: Any) -> None:
        reactor.stop()

    Deferred.fromCoroutine(close_server(reactor, server)).addBoth(stop)
