"""Start, run and stop an entry process on the users' platform."""

import logging
import os
import secrets
import signal
import sys
from collections import Counter
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, Final

from twisted.internet import reactor

from bramleyturn.core.clock import Clock
from bramleyturn.core.fault import describe_fault
from bramleyturn.core.fleet.members import MemberRef
from bramleyturn.core.units import MS_PER_S
from bramleyturn.core.waiting.loop_delays import (
    CHECK_INTERVAL_MS,
    LoopDelays,
    longest_delay_ms,
    note_check,
)
from bramleyturn.core.waiting.shutdown import Shutdown, plan_shutdown
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.connection_pool import drop_expired
from bramleyturn.gateway.control_api import control_api
from bramleyturn.gateway.crash_watch import CrashWatch
from bramleyturn.gateway.event_log import EventLog, start_event_log
from bramleyturn.gateway.exchange import Exchange
from bramleyturn.gateway.heartbeats import Heartbeats
from bramleyturn.gateway.http1_server import (
    CallerConnection,
    ConnectionState,
    HttpServer,
)
from bramleyturn.gateway.metrics import count, gauge, metrics_page, observe
from bramleyturn.gateway.peer_links import PeerLinks
from bramleyturn.gateway.request_flow import RequestFlow
from bramleyturn.gateway.serving import Serving, seed_addresses
from bramleyturn.gateway.stage_asks import StageAsks
from bramleyturn.gateway.stage_owner import StageOwner
from bramleyturn.gateway.store_copy import StoreCopy
from bramleyturn.gateway.store_reader import StoreReader, follow_store
from bramleyturn.gateway.store_relay import copy_from_peers
from bramleyturn.platform.requests import READINESS_PATH
from bramleyturn.platform.settings import (
    SETTINGS_VARIABLE,
    RefusedServingSettings,
    ServingSettings,
    parse_serving_settings,
)
from bramleyturn.runtime.event_loop import run_loop
from bramleyturn.runtime.listening_port import close_port, open_port
from bramleyturn.runtime.memory import (
    collected_objects,
    freeze_start_up_objects,
    observe_collections,
)
from bramleyturn.runtime.system_clock import system_clock

EXIT_BAD_SETTINGS: Final = 2
METRICS_PATH: Final = b"/metrics"
METRICS_PORT: Final = 9464
HOUSEKEEPING_INTERVAL_S: Final = 1.0
# Time for the first request on a new connection to arrive, with a packet sent again.
FIRST_REQUEST_MS: Final = 500
STOP_CHECK_INTERVAL_S: Final = 0.05
# From the end of the time on, everything that arrives is answered at once.
END_CHECK_INTERVAL_S: Final = 0.01
# Read in one turn of the event loop; Twisted alone reads 256 KiB, in any number.
DATAGRAM_BYTES_PER_TURN: Final = 16 * 1024
# What these answers cost, in units of core/contention/loop_turns.py.
READINESS_UNITS: Final = 40
METRICS_UNITS: Final = 2_000
STATUS_UNAVAILABLE: Final = 503
# Longer delays of the event loop are logged: events of a stream have to be passed on
# within about this time.
LOGGED_DELAY_MS: Final = 100

logger = logging.getLogger(__name__)


class Process:
    """Hold the components of a running entry process."""

    def __init__(self, serving: Serving, log: EventLog) -> None:
        self.serving = serving
        self.log = log
        self.links = PeerLinks(serving, self.receive)
        self.crashes = CrashWatch(serving)
        self.owner = StageOwner(serving, self.links, self.crashes)
        self.owner.pipeline.engines.paces = serving.balance.paces
        self.asks = StageAsks(serving, self.links)
        self.copy = StoreCopy(serving)
        self.reader = StoreReader(self.copy)
        self.flow = RequestFlow(serving, self.asks, self.crashes)
        self.heartbeats = Heartbeats(serving, self.crashes)
        self.crashes.on_news = self.heartbeats.send_soon
        serving.on_limits_changed.append(self.heartbeats.send_limits_soon)
        self.copy.on_new_revision = self.heartbeats.announce_soon
        self.api = control_api(self.owner, self.asks, self.copy)
        self.delays = LoopDelays(serving.now_ms())
        self.front = self._server(self.flow.handle)
        self.front.on_connection_ended = self.connection_ended
        self.ready = self._server(self.answer_readiness)
        self.control = self._server(self.api.handle)
        self.ready.request_units = READINESS_UNITS
        self.metrics = self._server(self.answer_metrics)
        self.metrics.request_units = METRICS_UNITS
        self.front_port: Any = None
        self.stopping_ms: int | None = None
        self.settings_mtime_ns = 0

    def _server(self, handle: Any) -> HttpServer:
        serving = self.serving
        server = HttpServer(serving.reactor, serving.now_ms, serving.limits, handle)
        server.turns = serving.caller_turns
        server.unread = serving.unread
        server.bounds = serving.caller_bounds
        return server

    def connection_ended(self, connection: CallerConnection) -> None:
        """Count a caller's connection by its state, and log it during a shutdown."""
        state = connection.state()
        count(self.serving.metrics, "connections_ended", state)
        if self.stopping_ms is None:
            return
        logger.info(
            "caller connection ended",
            extra={
                "caller": connection.caller_address(),
                "state": state,
                "requests": connection.requests,
                "stopping_for_ms": self.serving.now_ms() - self.stopping_ms,
            },
        )

    def check_loop(self) -> None:
        """Measure how late the event loop is, at intervals."""
        serving = self.serving
        serving.reactor.callLater(CHECK_INTERVAL_MS / MS_PER_S, self.check_loop)
        delay_ms = note_check(self.delays, serving.now_ms())
        observe(serving.metrics, "loop_delay", delay_ms)
        if delay_ms >= LOGGED_DELAY_MS:
            logger.warning("event loop was late", extra={"delay_ms": delay_ms})

    def receive(self, sender: str, message: dict[str, Any]) -> None:
        """Handle a message of this process to itself."""
        self.api.receive(sender, message)

    def is_ready(self) -> bool:
        """Return whether this process should receive callers."""
        return self.serving.published is not None and self.stopping_ms is None

    def answer_readiness(self, exchange: Exchange) -> None:
        """Answer the platform's readiness check."""
        is_known = exchange.target.partition(b"?")[0] == READINESS_PATH
        status = (200 if self.is_ready() else 503) if is_known else 404
        exchange.answer(status, [], b"")

    def answer_metrics(self, exchange: Exchange) -> None:
        """Answer with all metrics."""
        serving = self.serving
        gauge(serving.metrics, "requests_in_progress", serving.in_progress.total)
        gauge(serving.metrics, "connections_opened", serving.servers_pool.opened)
        gauge(serving.metrics, "caller_connections", len(self.front.connections))
        gauge(serving.metrics, "garbage_objects", collected_objects())
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.answer(200, headers, metrics_page(serving.metrics))

    def start(self) -> None:
        """Open the ports, and start to read the store and exchange heartbeats."""
        settings = self.serving.settings
        loop = self.serving.reactor
        front = settings.front
        self.front_port = open_port(loop, front.port, self.front.factory(), front.host)
        for server, address, port in (
            (self.ready, settings.ready.host, settings.ready.port),
            (self.control, settings.control.host, settings.control.port),
            (self.metrics, settings.ready.host, metrics_port()),
        ):
            open_port(loop, port, server.factory(), address)
        heartbeats_port = loop.listenUDP(
            settings.internal_port, self.heartbeats, interface=settings.control.host
        )
        heartbeats_port.maxThroughput = DATAGRAM_BYTES_PER_TURN
        run_in_background(follow_store(self.reader), "store watch")
        run_in_background(copy_from_peers(self.copy), "store copy from instances")
        self.heartbeats.send_periodically()
        self.heartbeats.log_traffic()
        self.asks.cold_turns.check_owner()
        self.settings_mtime_ns = read_settings_mtime_ns()
        loop.callLater(HOUSEKEEPING_INTERVAL_S, self.run_housekeeping)
        self.check_loop()
        observe_collections(
            partial(observe, self.serving.metrics, "garbage_collection")
        )
        logger.info(
            "started", extra={"front": f"{settings.front.host}:{settings.front.port}"}
        )

    def run_housekeeping(self) -> None:
        """Close expired connections and reload changed settings, at intervals."""
        serving = self.serving
        serving.reactor.callLater(HOUSEKEEPING_INTERVAL_S, self.run_housekeeping)
        drop_expired(serving.servers_pool)
        drop_expired(serving.peers_pool)
        mtime_ns = read_settings_mtime_ns()
        if mtime_ns != self.settings_mtime_ns:
            self.settings_mtime_ns = mtime_ns
            self.reload()

    def reload(self) -> None:
        """Apply the settings that may change while the process runs."""
        serving = self.serving
        settings = read_settings()
        if isinstance(settings, RefusedServingSettings):
            for fault in settings.faults:
                logger.error(
                    "settings rejected", extra={"fault": describe_fault(fault)}
                )
            return
        needs_restart = (settings.front, settings.ready, settings.control) != (
            serving.settings.front,
            serving.settings.ready,
            serving.settings.control,
        )
        serving.settings = settings
        serving.members.seeds = seed_addresses(settings)
        logger.info("settings read again", extra={"needs_restart": needs_restart})

    def handle_signal(self) -> None:
        """Start a shutdown, in the event loop, when a signal asks for it.

        The signal may have come at any time since the event loop was last seen to run.
        It is handled before a check that was late is recorded.
        """
        asked_ms, delay_ms = self.delays.checked_ms, longest_delay_ms(self.delays)
        self.serving.reactor.callFromThread(self.stop, asked_ms, delay_ms)

    def stop(self, asked_ms: int, delay_ms: int) -> None:
        """Start a graceful shutdown: leave the rotation and finish open requests."""
        if self.stopping_ms is not None:
            return
        serving = self.serving
        now_ms = serving.now_ms()
        self.stopping_ms = asked_ms
        serving.is_ending = True
        serving.shutdown = plan_shutdown(
            asked_ms, now_ms, serving.settings.bounds.grace_ms, delay_ms
        )
        self.front.is_closing = True
        self.heartbeats.announce()
        logger.info(
            "stopping",
            extra={
                "in_progress": serving.in_progress.total,
                "connections": self.connections_by_state(),
                "asked_ms_ago": now_ms - self.stopping_ms,
                "loop_delay_ms": delay_ms,
                "ends_in_ms": serving.shutdown.ends_ms - now_ms,
            },
        )
        self.check_stopped(serving.shutdown)

    def connections_by_state(self) -> dict[str, int]:
        """Return the number of callers' connections in each state."""
        return dict(Counter(str(each.state()) for each in self.front.connections))

    def is_idle(self) -> bool:
        """Return whether no caller's request is being read, served or answered."""
        return not self.serving.in_progress.total and all(
            connection.state() is ConnectionState.LINGERING
            for connection in self.front.connections
        )

    def is_done(self) -> bool:
        """Return whether no caller and no other instance waits for this process."""
        return not (
            self.front.connections or self.owner.is_calling() or self.links.calling
        )

    def end_requests(self) -> None:
        """Answer what is in progress or being read, because the time is over."""
        in_progress = self.serving.in_progress.total
        if in_progress:
            logger.info("requests ended", extra={"in_progress": in_progress})
            self.flow.end_all()
        self.owner.end_calls()
        self.front.refuse_unread(STATUS_UNAVAILABLE)

    def close_front(self) -> None:
        """Accept the callers' connections that are waiting, and no more after them."""
        if self.front_port is not None:
            close_port(self.front_port, lambda: self.front.accepted)
            self.front_port = None

    def check_stopped(self, shutdown: Shutdown) -> None:
        """Exit once out of rotation and idle, or when the grace period is over."""
        serving = self.serving
        now_ms = serving.now_ms()
        is_over = now_ms >= shutdown.ends_ms
        if is_over:
            self.end_requests()
        is_out_of_rotation = now_ms >= shutdown.closes_idle_ms
        if is_out_of_rotation:
            self.front.close_idle(FIRST_REQUEST_MS)
        if is_over or (is_out_of_rotation and self.is_idle()):
            self.close_front()
        is_done = self.front_port is None and self.is_done()
        if is_done or now_ms >= shutdown.exits_ms:
            # A late loop has not read yet what arrived meanwhile.
            serving.reactor.callLater(0, self.exit, shutdown)
            return
        interval_s = END_CHECK_INTERVAL_S if is_over else STOP_CHECK_INTERVAL_S
        serving.reactor.callLater(interval_s, self.check_stopped, shutdown)

    def exit(self, shutdown: Shutdown) -> None:
        """End the process once all that arrived is answered, or at the latest time."""
        self.end_requests()
        is_latest = self.serving.now_ms() >= shutdown.exits_at_latest_ms
        if not is_latest and not (self.is_idle() and self.front.has_read_all()):
            self.serving.reactor.callLater(END_CHECK_INTERVAL_S, self.exit, shutdown)
            return
        logger.info(
            "stopped",
            extra={
                "in_progress": self.serving.in_progress.total,
                "connections": self.connections_by_state(),
                "left_ms": shutdown.exits_at_latest_ms - self.serving.now_ms(),
            },
        )
        self.log.flush_lines()
        self.serving.reactor.stop()


def metrics_port() -> int:
    """Return the port of the metrics endpoint."""
    return int(sys.argv[1]) if len(sys.argv) > 1 else METRICS_PORT


def settings_path() -> Path:
    """Return the path of the settings file that the platform writes."""
    return Path(os.environ.get(SETTINGS_VARIABLE, ""))


def read_settings_mtime_ns() -> int:
    """Return the modification time of the settings file, 0 if unreadable."""
    try:
        return settings_path().stat().st_mtime_ns
    except OSError:
        return 0


def read_settings() -> ServingSettings | RefusedServingSettings:
    """Parse the settings file; return the settings or all faults."""
    path = settings_path()
    return parse_serving_settings(path.read_text(), str(path))


def new_process(loop: Any, clock: Clock, settings: ServingSettings) -> Process:
    """Create a process that is ready to start."""
    incarnation = f"{clock.wall_ms():013d}-{secrets.token_hex(4)}"
    address = f"{settings.control.host}:{settings.internal_port}"
    me = MemberRef(
        settings.name, settings.zone, address, incarnation, settings.capacity
    )
    log = start_event_log(loop, clock, settings.name, settings.zone)
    return Process(Serving(loop, clock, Random(), settings, me), log)


def run_process() -> None:
    """Run until asked to stop; exit with code 2 if the settings are invalid."""
    loop: Any = reactor
    clock = system_clock()
    loop.seconds = lambda: clock.monotonic_ms() / MS_PER_S
    settings = read_settings()
    if isinstance(settings, RefusedServingSettings):
        for fault in settings.faults:
            print(describe_fault(fault), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    process = new_process(loop, clock, settings)
    signal.signal(signal.SIGTERM, lambda *_: process.handle_signal())
    signal.signal(signal.SIGINT, lambda *_: process.handle_signal())
    signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(process.reload))
    process.start()
    freeze_start_up_objects()
    run_loop(loop)
