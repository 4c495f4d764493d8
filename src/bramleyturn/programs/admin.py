"""Run the administration process of an availability zone."""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from bramleyturn.core.clock import Clock
from bramleyturn.core.model import Configuration
from bramleyturn.core.process_settings import ProcessSettings
from bramleyturn.programs.entry import empty_configuration, log_loop_failure
from bramleyturn.programs.start import read_settings
from bramleyturn.runtime.admin_api import admin_api
from bramleyturn.runtime.admin_gather import AdminLoop
from bramleyturn.runtime.event_loop import run_loop
from bramleyturn.runtime.http_server import OpenServer, open_server, print_ready
from bramleyturn.runtime.lifecycle import stop_on_signals
from bramleyturn.runtime.logs import note_revision
from bramleyturn.runtime.shutdown import end_when_answered
from bramleyturn.runtime.system_clock import system_clock
from bramleyturn.runtime.watch_client import (
    InstanceList,
    follow_configuration,
    follow_instances,
)


@dataclass
class Admin:
    """Serve the operators of one availability zone.

    It follows the configuration and the instance list of the watch in its settings
    and asks the entries and watches of its zone whenever it is asked itself. It
    stores nothing and may be restarted at any time. Every route but /healthz,
    /readyz and /v1/openapi.json wants the operators' key.

    Exit codes: 0 after SIGTERM, 2 for a bad settings file.
    """

    settings: Annotated[str, cappa.Arg(help="The INI settings file of this process.")]

    def __call__(self) -> None:
        """Serve until the process is asked to stop."""
        settings = read_settings(self.settings, required=("watch",))
        serve(reactor, settings, system_clock())
        run_loop(reactor)


def serve(reactor: Any, settings: ProcessSettings, clock: Clock) -> AdminLoop:
    """Start an administration process that waits for its first configuration."""
    loop = AdminLoop(
        reactor, clock, settings.zone, settings.watch, empty_configuration()
    )
    server = open_server(reactor, admin_api(loop), settings.listen)
    follow(loop)
    stop_on_signals(reactor, lambda: stop(loop, server))
    print_ready(server.address, advertise=settings.advertise or server.address)
    return loop


def stop(loop: AdminLoop, server: OpenServer) -> None:
    """Answer the open requests and end."""
    if loop.is_stopped:
        return
    loop.is_stopped = True
    end_when_answered(loop.reactor, server)


def follow(loop: AdminLoop) -> None:
    """Start following the configuration and instance list of the watch."""

    def accept(configuration: Configuration) -> None:
        note_revision(configuration.revision)
        loop.configuration = configuration

    def apply_list(found: InstanceList) -> None:
        loop.instances = found.instances
        loop.instances_at_ms = loop.clock.monotonic_ms() - found.age_ms

    for work in (
        follow_configuration(loop.client, loop.reactor, loop.watch, accept),
        follow_instances(loop.client, loop.reactor, loop.watch, apply_list),
    ):
        Deferred.fromCoroutine(work).addErrback(log_loop_failure)


def main() -> None:
    """Run the program."""
    cappa.invoke(Admin)


if __name__ == "__main__":
    main()
