"""Hold the parts of an entry process on the users' platform, from start to stop."""

import logging
import os
import secrets
import signal
import sys
from pathlib import Path
from random import Random
from typing import Any, Final

from twisted.internet import reactor

from bramleyturn.core.clock import Clock
from bramleyturn.core.fault import describe_fault
from bramleyturn.core.fleet.members import MemberRef
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.connection_pool import drop_old
from bramleyturn.gateway.control_api import control_api
from bramleyturn.gateway.event_log import EventLog, start_event_log
from bramleyturn.gateway.heartbeats import Heartbeats
from bramleyturn.gateway.http1_server import Exchange, HttpServer
from bramleyturn.gateway.metrics import gauge, metrics_page
from bramleyturn.gateway.peer_links import PeerLinks
from bramleyturn.gateway.request_flow import RequestFlow
from bramleyturn.gateway.serving import Serving, seed_addresses
from bramleyturn.gateway.stage_asks import StageAsks
from bramleyturn.gateway.stage_owner import StageOwner
from bramleyturn.gateway.store_reader import (
    StoreReader,
    follow_store,
    relay_store,
)
from bramleyturn.platform.requests import READINESS_PATH
from bramleyturn.platform.settings import (
    SETTINGS_VARIABLE,
    RefusedServingSettings,
    ServingSettings,
    parse_serving_settings,
)
from bramleyturn.runtime.memory import freeze_start_up_objects
from bramleyturn.runtime.system_clock import system_clock

EXIT_BAD_SETTINGS: Final = 2
METRICS_PATH: Final = b"/metrics"
METRICS_PORT: Final = 9464
HOUSEKEEPING_S: Final = 1.0
# How long a stopping process takes new connections: until it is out of rotation.
ROTATION_MS: Final = 3_000
# What remains of the time to stop when the last answers are cut.
LAST_MS: Final = 250
STOP_CHECK_S: Final = 0.1
LISTEN_BACKLOG: Final = 512

logger = logging.getLogger(__name__)


class Process:
    """Hold the parts of a running entry process."""

    def __init__(self, serving: Serving, log: EventLog) -> None:
        self.serving = serving
        self.log = log
        self.links = PeerLinks(serving, self.receive)
        self.owner = StageOwner(serving, self.links)
        self.asks = StageAsks(serving, self.links)
        self.reader = StoreReader(serving)
        self.flow = RequestFlow(serving, self.asks)
        self.heartbeats = Heartbeats(serving)
        self.reader.on_news = self.heartbeats.tell
        self.api = control_api(self.owner, self.asks, self.reader)
        self.front = self._server(self.flow.handle)
        self.ready = self._server(self.answer_readiness)
        self.control = self._server(self.api.handle)
        self.metrics = self._server(self.answer_metrics)
        self.stopping_ms: int | None = None
        self.file_stamp = 0

    def _server(self, handle: Any) -> HttpServer:
        serving = self.serving
        return HttpServer(serving.reactor, serving.now_ms, serving.limits, handle)

    def receive(self, sender: str, message: dict[str, Any]) -> None:
        """Take in a message of this process to itself."""
        self.api.receive(sender, message)

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self.serving.published is not None and self.stopping_ms is None

    def answer_readiness(self, exchange: Exchange) -> None:
        """Tell the platform whether callers may be sent here."""
        is_known = exchange.target.partition(b"?")[0] == READINESS_PATH
        status = (200 if self.is_ready() else 503) if is_known else 404
        exchange.answer(status, [], b"")

    def answer_metrics(self, exchange: Exchange) -> None:
        """Answer with every counter and histogram."""
        serving = self.serving
        gauge(serving.metrics, "requests_in_progress", serving.in_progress)
        gauge(serving.metrics, "connections_opened", serving.servers_pool.opened)
        gauge(serving.metrics, "caller_connections", len(self.front.connections))
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.answer(200, headers, metrics_page(serving.metrics))

    def start(self) -> None:
        """Listen and begin to read the store and to meet the other instances."""
        settings = self.serving.settings
        loop = self.serving.reactor
        for server, address, port in (
            (self.front, settings.front.host, settings.front.port),
            (self.ready, settings.ready.host, settings.ready.port),
            (self.control, settings.control.host, settings.control.port),
            (self.metrics, settings.ready.host, metrics_port()),
        ):
            factory = server.factory()
            loop.listenTCP(port, factory, backlog=LISTEN_BACKLOG, interface=address)
        loop.listenUDP(
            settings.internal_port, self.heartbeats, interface=settings.control.host
        )
        run_in_background(follow_store(self.reader), "the reader of the store")
        run_in_background(relay_store(self.reader), "the relay of the store")
        self.heartbeats.beat()
        self.file_stamp = settings_stamp()
        loop.callLater(HOUSEKEEPING_S, self.keep_house)
        logger.info(
            "started", extra={"front": f"{settings.front.host}:{settings.front.port}"}
        )

    def keep_house(self) -> None:
        """Do what has to be done now and then."""
        serving = self.serving
        serving.reactor.callLater(HOUSEKEEPING_S, self.keep_house)
        drop_old(serving.servers_pool)
        drop_old(serving.peers_pool)
        stamp = settings_stamp()
        if stamp != self.file_stamp:
            self.file_stamp = stamp
            self.reload()

    def reload(self) -> None:
        """Take over what may change in the settings while the process runs."""
        serving = self.serving
        settings = read_settings()
        if isinstance(settings, RefusedServingSettings):
            for fault in settings.faults:
                logger.error(
                    "settings not used", extra={"fault": describe_fault(fault)}
                )
            return
        is_moved = (settings.front, settings.ready, settings.control) != (
            serving.settings.front,
            serving.settings.ready,
            serving.settings.control,
        )
        serving.settings = settings
        serving.members.seeds = seed_addresses(settings)
        logger.info("settings read again", extra={"needs_restart": is_moved})

    def stop(self) -> None:
        """Begin to stop: leave the rotation, finish what is in progress."""
        if self.stopping_ms is not None:
            return
        serving = self.serving
        self.stopping_ms = serving.now_ms()
        serving.is_ending = True
        self.front.is_closing = True
        self.heartbeats.tell()
        logger.info("stopping", extra={"in_progress": serving.in_progress})
        self.check_stopped()

    def check_stopped(self) -> None:
        """End once nothing is in progress and no caller is sent here any more."""
        serving = self.serving
        began_ms = self.stopping_ms or serving.now_ms()
        elapsed_ms = serving.now_ms() - began_ms
        is_over = elapsed_ms >= serving.settings.bounds.grace_ms - LAST_MS
        if elapsed_ms >= ROTATION_MS:
            self.front.close_idle()
        is_idle = not serving.in_progress and not self.front.connections
        if is_over or (elapsed_ms >= ROTATION_MS and is_idle):
            logger.info("stopped", extra={"in_progress": serving.in_progress})
            self.log.flush_lines()
            serving.reactor.stop()
            return
        serving.reactor.callLater(STOP_CHECK_S, self.check_stopped)


def metrics_port() -> int:
    """Return the port of the metrics address."""
    return int(sys.argv[1]) if len(sys.argv) > 1 else METRICS_PORT


def settings_path() -> Path:
    """Return where the platform lays the settings."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ""))


def settings_stamp() -> int:
    """Return what changes when the settings file does; 0 while it can't be read."""
    try:
        return settings_path().stat().st_mtime_ns
    except OSError:
        return 0


def read_settings() -> ServingSettings | RefusedServingSettings:
    """Return the settings, or all of their faults."""
    path = settings_path()
    return parse_serving_settings(path.read_text(), str(path))


def new_process(loop: Any, clock: Clock, settings: ServingSettings) -> Process:
    """Return a process that is ready to start."""
    incarnation = f"{clock.wall_ms():013d}-{secrets.token_hex(4)}"
    address = f"{settings.control.host}:{settings.internal_port}"
    me = MemberRef(
        settings.name, settings.zone, address, incarnation, settings.capacity
    )
    log = start_event_log(loop, clock, settings.name, settings.zone)
    return Process(Serving(loop, clock, Random(), settings, me), log)


def run_process() -> None:
    """Run until asked to stop. Exit code 2 stands for settings that can't be used."""
    loop: Any = reactor
    clock = system_clock()
    loop.seconds = lambda: clock.monotonic_ms() / MS_PER_S
    settings = read_settings()
    if isinstance(settings, RefusedServingSettings):
        for fault in settings.faults:
            print(describe_fault(fault), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    process = new_process(loop, clock, settings)
    signal.signal(signal.SIGTERM, lambda *_: loop.callFromThread(process.stop))
    signal.signal(signal.SIGINT, lambda *_: loop.callFromThread(process.stop))
    signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(process.reload))
    process.start()
    freeze_start_up_objects()
    loop.run(installSignalHandlers=False)
