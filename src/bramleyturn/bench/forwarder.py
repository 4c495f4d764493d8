"""Forward requests with klein and treq only.

This is the minimum that a proxy between callers and backend servers does, and the
baseline for measuring the overhead of an entry process.
"""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import treq
from klein import Klein
from twisted.internet import reactor

from bramleyturn.runtime.http_client import JSON_HEADERS, http_client
from bramleyturn.runtime.http_server import listen, print_ready
from bramleyturn.runtime.lifecycle import stop_on_signals

ANY_PORT = "127.0.0.1:0"


@dataclass
class Forwarder:
    """Forward every POST to one backend server, path and body unchanged."""

    target: Annotated[str, cappa.Arg(help="IP:PORT of the backend server.")]

    def __call__(self) -> None:
        """Serve until the process is asked to stop."""
        loop: Any = reactor
        address = listen(loop, forwarding_app(loop, self.target), ANY_PORT)
        stop_on_signals(loop, loop.stop)
        print_ready(address)
        loop.run(installSignalHandlers=False)


def forwarding_app(loop: Any, target: str) -> Klein:
    """Return a web application that forwards to ``target``."""
    client = http_client(loop)
    app = Klein()

    @app.route("/", branch=True, methods=["POST"])
    async def forward(request: Any) -> bytes:
        response = await client.post(
            f"http://{target}{request.uri.decode()}",
            data=request.content.read(),
            headers=JSON_HEADERS,
        )
        request.setResponseCode(response.code)
        content: bytes = await treq.content(response)
        return content

    return app


if __name__ == "__main__":
    cappa.invoke(Forwarder)
