"""Run the watch of an instance."""

from dataclasses import dataclass
from random import Random
from typing import Annotated

import cappa
from twisted.internet import reactor

from bramleyturn.programs.start import read_settings
from bramleyturn.runtime.event_loop import run_loop
from bramleyturn.runtime.http_client import http_client
from bramleyturn.runtime.http_server import OpenServer, open_server, print_ready
from bramleyturn.runtime.lifecycle import stop_on_signals
from bramleyturn.runtime.shutdown import end_when_answered
from bramleyturn.runtime.system_clock import system_clock
from bramleyturn.watch.initial_sync import run_initial_sync
from bramleyturn.watch.watch_api import watch_api
from bramleyturn.watch.watch_loop import WatchLoop, start_watching, wake_all


@dataclass
class Watch:
    """Read the platform's configuration and instance list for one instance.

    Exit codes: 0 after SIGTERM, 2 for a bad settings file.
    """

    settings: Annotated[str, cappa.Arg(help="The INI settings file of this process.")]

    def __call__(self) -> None:
        """Serve until the process is asked to stop."""
        settings = read_settings(self.settings, required=("platform",))
        loop = WatchLoop(
            reactor,
            system_clock(),
            http_client(reactor),
            settings.name,
            settings.platform,
            Random(),
        )
        loop.seed_watches = settings.peers
        loop.seed_key = settings.peers_key
        server = open_server(reactor, watch_api(loop), settings.listen)
        start_watching(loop, run_initial_sync)
        stop_on_signals(reactor, lambda: stop(loop, server))
        print_ready(server.address, advertise=settings.advertise or server.address)
        run_loop(reactor)


def stop(loop: WatchLoop, server: OpenServer) -> None:
    """Answer the waiting requests and end."""
    if loop.is_stopped:
        return
    loop.is_stopped = True
    wake_all(loop.waiting)
    wake_all(loop.waiting_for_list)
    end_when_answered(loop.reactor, server)


def main() -> None:
    """Run the program."""
    cappa.invoke(Watch)


if __name__ == "__main__":
    main()
