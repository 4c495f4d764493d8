"""Hold the shared state of a process that serves callers on the platform."""

import logging
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Final

from bramleyturn.core.balance.state import Balance
from bramleyturn.core.catalog.limits import DEFAULT_CALLER_LIMITS
from bramleyturn.core.catalog.model import (
    BackendServer,
    BatchLimits,
    CallerLimits,
    PublishedConfiguration,
    Workspace,
)
from bramleyturn.core.catalog.routes import RouteIndex, workspaces_by_key
from bramleyturn.core.catalog.server_registry import ServerRegistry, ready_servers
from bramleyturn.core.clock import Clock
from bramleyturn.core.coldstart.cold_runs import ColdRuns
from bramleyturn.core.coldstart.turns import TurnGrants
from bramleyturn.core.contention.in_progress import InProgress
from bramleyturn.core.crashes import CRASH_RETENTION_MS, Suspects
from bramleyturn.core.fleet.freshness import Freshness
from bramleyturn.core.fleet.members import MemberRef, Members, live_members
from bramleyturn.core.fleet.reachability import Reachability
from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.core.placement.choice import LoadTracker
from bramleyturn.core.placement.health import HealthTracker
from bramleyturn.core.placement.server_limits import ServerLimits
from bramleyturn.core.placement.server_pauses import ServerPauses
from bramleyturn.core.retry.shared_budget import (
    BudgetLimits,
    SharedBudget,
    note_instances,
)
from bramleyturn.core.waiting.first_events import FirstEventTimes
from bramleyturn.core.waiting.run_times import RunTimes
from bramleyturn.core.waiting.shutdown import Shutdown
from bramleyturn.gateway.answer_bounds import note_over_bound, note_unread
from bramleyturn.gateway.caller_bounds import caller_bounds, server_connections
from bramleyturn.gateway.connection_pool import ConnectionPool
from bramleyturn.gateway.metrics import Metrics, count
from bramleyturn.gateway.unread_answers import UnreadAnswers
from bramleyturn.platform.settings import ServingSettings
from bramleyturn.runtime.loop_turns import loop_turns

# The part of the connections to servers that callers' requests may use. The others are
# for calls of stages and checks of servers.
REQUESTS_SHARE: Final = 0.8

logger = logging.getLogger(__name__)


class Serving:
    """Hold the state that the components of one process share.

    ``shutdown`` is set once the process is stopping. ``request_times`` are from the
    arrival of a request to its end, by route; ``run_times`` from when it was sent to a
    server, by pool. ``stage_limits`` are by pool of a stage; requests that are still in
    progress may need a pool that is no longer published.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        random: Random,
        settings: ServingSettings,
        me: MemberRef,
    ) -> None:
        now_ms = clock.monotonic_ms()
        self.reactor = reactor
        self.clock = clock
        self.random = random
        self.settings = settings
        self.me = me
        self.published: PublishedConfiguration | None = None
        self.index = RouteIndex(())
        self.workspaces: dict[str, Workspace] = {}
        self.stage_limits: dict[str, BatchLimits] = {}
        self.registry = ServerRegistry()
        self.health = HealthTracker()
        self.loads = LoadTracker()
        self.balance = Balance()
        self.server_limits = ServerLimits(me.name, now_ms)
        self.server_pauses = ServerPauses()
        self.cold_runs = ColdRuns()
        self.turn_grants = TurnGrants(now_ms)
        # Crashes are recorded by run of a server, and a run crashes only once.
        self.suspects = Suspects(CRASH_RETENTION_MS)
        self.first_events = FirstEventTimes()
        self.budget = shared_budget(settings)
        self.metrics = Metrics()
        self.servers_pool = ConnectionPool(reactor, clock.monotonic_ms)
        self.peers_pool = ConnectionPool(reactor, clock.monotonic_ms)
        self.servers_pool.max_in_use = server_connections(settings.file_descriptors)
        for pool in (self.servers_pool, self.peers_pool):
            pool.on_over_bound = partial(note_over_bound, self.metrics)
        self.caller_turns = loop_turns(reactor, clock.monotonic_ms)
        self.unread = UnreadAnswers()
        self.unread.on_over_bound = partial(note_unread, self.metrics)
        self.caller_bounds = caller_bounds(
            settings.file_descriptors, settings.memory_mb
        )
        self.caller_bounds.on_bound = partial(count, self.metrics, "callers_over_bound")
        self.members = Members(me, seed_addresses(settings), now_ms)
        self.freshness = Freshness(now_ms)
        self.reachability = Reachability()
        self.silent_zones: frozenset[str] = frozenset()
        self.is_ending = False
        self.shutdown: Shutdown | None = None
        self.request_times = RunTimes()
        self.run_times = RunTimes()
        # A body in progress is held by its request and by the connection to its server.
        self.in_progress = InProgress(
            int(self.servers_pool.max_in_use * REQUESTS_SHARE),
            self.caller_bounds.max_read_bytes // 2,
        )
        self.on_servers_changed: list[Callable[[], None]] = []
        self.on_limits_changed: list[Callable[[], None]] = []

    def now_ms(self) -> int:
        """Return the monotonic time, which all deadlines refer to."""
        return self.clock.monotonic_ms()

    def limits(self) -> CallerLimits:
        """Return the limits on callers that are in force."""
        if self.published is None:
            return DEFAULT_CALLER_LIMITS
        return self.published.limits

    def ready(self, pool: str) -> list[BackendServer]:
        """Return the servers of a pool that accept new work."""
        return ready_servers(self.registry, pool, self.now_ms())

    def live(self) -> list[MemberRef]:
        """Return the live instances, and divide the retry budget among them."""
        live = live_members(self.members, self.now_ms())
        note_instances(self.budget, len(live))
        return live


def shared_budget(settings: ServingSettings) -> SharedBudget:
    """Create the retry budget that the settings allow."""
    bounds = settings.bounds
    return SharedBudget(
        BudgetLimits(bounds.retry_ratio, bounds.retry_slack, bounds.budget_window_ms)
    )


def seed_addresses(settings: ServingSettings) -> tuple[str, ...]:
    """Return the addresses at which to look for other instances."""
    return tuple(f"{seed.host}:{settings.internal_port}" for seed in settings.seeds)


def apply_configuration(
    serving: Serving, published: PublishedConfiguration, revision: StoreRevision
) -> bool:
    """Put a configuration in force if it is newer; return whether it was."""
    known = serving.published
    if known is not None and published.version <= known.version:
        if published.version < known.version:
            logger.warning(
                "older configuration ignored",
                extra={"version": published.version, "version_kept": known.version}
                | revision._asdict(),
            )
        return False
    serving.published = published
    serving.index = RouteIndex(published.routes)
    serving.workspaces = workspaces_by_key(published)
    for name, pool in published.pools.items():
        if pool.batch is not None:
            serving.stage_limits[name] = pool.batch
    logger.info(
        "configuration in force",
        extra={
            "version": published.version,
            "revision": revision.number,
            "era": revision.era,
            "version_before": known.version if known else None,
            "routes": len(published.routes),
            "workspaces": {each.name: each.priority for each in published.workspaces},
        },
    )
    return True


def notify_servers_changed(serving: Serving) -> None:
    """Notify the subscribers to the list of servers."""
    for notify in serving.on_servers_changed:
        notify()
