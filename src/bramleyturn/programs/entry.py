"""Run an entry process."""

import logging
import secrets
from dataclasses import dataclass
from random import Random
from typing import Annotated, Any, Final

import cappa
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bramleyturn.core.clock import Clock
from bramleyturn.core.configuration import RefusedConfiguration, load_configuration
from bramleyturn.core.entry import start
from bramleyturn.core.entry_state import EntryState, entry_state
from bramleyturn.core.events import (
    ConfigurationAccepted,
    DrainOrdered,
    ListedEntry,
    ListedServer,
    PeersListed,
    ServersListed,
)
from bramleyturn.core.intake import access_table
from bramleyturn.core.model import Configuration
from bramleyturn.core.process_settings import ProcessSettings
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.programs.start import read_settings
from bramleyturn.runtime.callers_api import callers_api
from bramleyturn.runtime.entry_loop import EntryLoop, feed
from bramleyturn.runtime.entry_status import status_api
from bramleyturn.runtime.event_loop import run_loop
from bramleyturn.runtime.gossip_loop import gossip_to_several, run_gossip
from bramleyturn.runtime.http_client import http_client
from bramleyturn.runtime.http_server import (
    OpenServer,
    json_answer,
    open_server,
    print_ready,
)
from bramleyturn.runtime.lifecycle import (
    Lifecycle,
    ShutdownHooks,
    new_lifecycle,
    stop_on_signals,
)
from bramleyturn.runtime.load_reports import poll_servers
from bramleyturn.runtime.logs import error_fields, note_revision
from bramleyturn.runtime.memory import freeze_start_up_objects
from bramleyturn.runtime.openapi import openapi_api
from bramleyturn.runtime.outcome_handover import end_entry
from bramleyturn.runtime.peer_client import MESSAGE_PATH, Identity, PeerClient
from bramleyturn.runtime.peers_api import MAX_MESSAGE_BYTES, peers_api
from bramleyturn.runtime.start_up import StartUp, note_configuration, note_list
from bramleyturn.runtime.system_clock import system_clock
from bramleyturn.runtime.twisted_types import HttpRequest
from bramleyturn.runtime.watch_client import (
    InstanceList,
    follow_configuration,
    follow_instances,
    report_newer_revision,
)

INCARNATION_BYTES: Final = 8
DRAIN_CHECK_S: Final = 0.05

logger = logging.getLogger(__name__)


@dataclass
class Entry:
    """Serve callers: admit, route and answer the requests of one entry process.

    Exit codes: 0 after SIGTERM, once nothing is in flight; 2 for a bad settings file.
    """

    settings: Annotated[str, cappa.Arg(help="The INI settings file of this process.")]

    def __call__(self) -> None:
        """Serve until the process is asked to stop."""
        settings = read_settings(self.settings, required=("watch",))
        serve(reactor, settings, system_clock())
        run_loop(reactor)


def serve(reactor: Any, settings: ProcessSettings, clock: Clock) -> EntryLoop:
    """Start an entry process that waits for its first configuration."""
    app = Klein()
    configuration = empty_configuration()
    server = open_server(
        reactor, app, settings.listen, lambda path: body_limit(state, path)
    )
    me = ProcessRef(
        settings.advertise or server.address, secrets.token_hex(INCARNATION_BYTES)
    )
    state = entry_state(
        settings.name,
        settings.zone,
        me,
        configuration,
        Random(),
        clock.monotonic_ms(),
    )
    start(state, clock.monotonic_ms())
    peers = PeerClient(
        reactor,
        Identity(me, settings.name, settings.zone),
        lambda: state.configuration.peers,
        lambda: state.configuration.revision,
    )
    loop = EntryLoop(reactor, clock, state, peers)
    lifecycle = new_lifecycle(
        ShutdownHooks(
            drain=lambda: drain(loop, lifecycle, server),
            end=lambda: shut_down(loop, server),
        )
    )
    add_routes(loop, app, lifecycle, settings.watch)
    follow(loop, settings, lifecycle)
    stop_on_signals(reactor, lifecycle.asked_to_stop)
    print_ready(server.address, advertise=me.address)
    return loop


def body_limit(state: EntryState, path: bytes) -> int:
    """Return the maximum body size in bytes for a path.

    A message between entry processes may carry a whole outcome.
    """
    if path.startswith(MESSAGE_PATH.encode()):
        return MAX_MESSAGE_BYTES
    return state.configuration.limits.max_body_bytes


def empty_configuration() -> Configuration:
    """Return the configuration of a process that has read none yet."""
    loaded = load_configuration(0, {})
    if isinstance(loaded, RefusedConfiguration):
        raise AssertionError("the empty configuration must be valid")
    return loaded


def add_routes(loop: EntryLoop, app: Klein, lifecycle: Lifecycle, watch: str) -> None:
    """Add every route of an entry process to ``app``."""
    callers_api(loop, app)
    peers_api(loop, app)
    status_api(loop, app, watch, lifecycle.asked_to_stop)
    openapi_api(app, "callers")

    @app.route("/healthz", methods=["GET"])
    def healthz(request: HttpRequest) -> bytes:
        return json_answer(request, {"healthy": True})

    @app.route("/readyz", methods=["GET"])
    def readyz(request: HttpRequest) -> bytes:
        ready = lifecycle.is_ready()
        return json_answer(request, {"ready": ready}, 200 if ready else 503)


def follow(loop: EntryLoop, settings: ProcessSettings, lifecycle: Lifecycle) -> None:
    """Start the background loops: watch, gossip and load polling."""
    client = http_client(loop.reactor)
    start_up = StartUp(loop.reactor, lambda: accept_callers(lifecycle))

    def accept(configuration: Configuration) -> None:
        note_revision(configuration.revision)
        loop.access = access_table(configuration)
        feed(loop, ConfigurationAccepted(configuration))
        note_configuration(start_up)

    def accept_list(found: InstanceList) -> None:
        apply_list(loop, found)
        if any(each.address == loop.state.me.address for each in found.instances):
            note_list(start_up)

    def report_newer(seen_revision: int) -> None:
        revision = loop.state.configuration.revision
        report = report_newer_revision(
            client, loop.reactor, settings.watch, revision, seen_revision
        )
        Deferred.fromCoroutine(report).addErrback(log_loop_failure)

    for work in (
        follow_configuration(client, loop.reactor, settings.watch, accept),
        follow_instances(client, loop.reactor, settings.watch, accept_list),
        poll_servers(loop),
        run_gossip(loop, report_newer),
    ):
        Deferred.fromCoroutine(work).addErrback(log_loop_failure)
    loop.gossip_now = lambda: gossip_to_several(loop)


def accept_callers(lifecycle: Lifecycle) -> None:
    """Mark the process as ready for callers."""
    freeze_start_up_objects()
    lifecycle.configured()


def log_loop_failure(failure: Any) -> None:
    """Log the exception that ended a background task."""
    logger.error("background task failed", extra=error_fields(failure.value))


def apply_list(loop: EntryLoop, found: InstanceList) -> None:
    """Feed the platform's instance list to the core."""
    servers = tuple(
        ListedServer(instance.name, instance.state == "leaving")
        for instance in found.instances
        if instance.role == "server"
    )
    entries = tuple(
        ListedEntry(
            instance.name, instance.zone, instance.address, instance.state == "leaving"
        )
        for instance in found.instances
        if instance.role == "entry"
    )
    feed(loop, ServersListed(servers, found.age_ms))
    feed(loop, PeersListed(entries))


def drain(loop: EntryLoop, lifecycle: Lifecycle, server: OpenServer) -> None:
    """Refuse new requests and end once nothing is in flight."""
    server.site.is_closing = True
    feed(loop, DrainOrdered())
    checking = LoopingCall(lambda: end_when_idle(loop, lifecycle, checking))
    checking.start(DRAIN_CHECK_S)


def end_when_idle(loop: EntryLoop, lifecycle: Lifecycle, checking: LoopingCall) -> None:
    """End the process if no request, forward or waiting caller is left."""
    if loop.state.requests or loop.state.forwards or loop.waiters:
        return
    checking.stop()
    lifecycle.finished()


def shut_down(loop: EntryLoop, server: OpenServer) -> None:
    """Hand over kept outcomes and stop the reactor once every answer is written."""
    Deferred.fromCoroutine(end_entry(loop, server)).addErrback(stop_after_failure, loop)


def stop_after_failure(failure: Any, loop: EntryLoop) -> None:
    """Stop the reactor after a graceful shutdown failed."""
    log_loop_failure(failure)
    loop.reactor.stop()


def main() -> None:
    """Run the program."""
    cappa.invoke(Entry)


if __name__ == "__main__":
    main()
