"""Send load reports, heartbeats and lists to the entries of a replay."""

from collections.abc import Callable
from functools import partial
from typing import Final

from bramleyturn.bench.replay_servers import load_report
from bramleyturn.bench.replay_simulation import (
    OTHER_ZONE_HOP_MS,
    World,
    can_reach,
    later,
)
from bramleyturn.bench.virtual_time import call_after
from bramleyturn.core.events import (
    ListedServer,
    LoadReportArrived,
    PeerSeen,
    PeerSilent,
    ServersListed,
)

REPORT_INTERVAL_MS: Final = 200.0
REPORT_LAG_MS: Final = 300.0
REPORT_LOST_SHARE: Final = 0.1
PEER_INTERVAL_MS: Final = 1_000.0
PEER_TIMEOUT_MS: Final = 500.0
LIST_INTERVAL_MS: Final = 2_000.0
LIST_AGE_MS: Final = 1_000


def arrange_news(world: World) -> None:
    """Arrange load reports, heartbeats and lists for as long as the trace lasts."""
    end_ms = world.trace.header.duration_ms
    for name in world.models:
        repeat(world, REPORT_INTERVAL_MS, end_ms, partial(send_reports, world, name))
    repeat(world, PEER_INTERVAL_MS, end_ms, partial(send_heartbeats, world))
    repeat(world, LIST_INTERVAL_MS, end_ms, partial(send_list, world))


def repeat(
    world: World, interval_ms: float, end_ms: float, call: Callable[[], None]
) -> None:
    """Run ``call`` at intervals, the first time at a random part of one."""

    def run() -> None:
        call()
        if world.time.now_ms + interval_ms <= end_ms:
            call_after(world.time, interval_ms, run)

    call_after(world.time, world.random.random() * interval_ms, run)


def send_reports(world: World, name: str) -> None:
    """Send a server's load to every entry, late and now and then not at all."""
    model = world.models[name]
    if not model.is_up:
        return
    report = load_report(model, int(REPORT_LAG_MS))
    for entry in world.entries:
        if world.random.random() < REPORT_LOST_SHARE:
            continue
        if can_reach(world, entry.state.zone, model.server.zone):
            later(world, entry, REPORT_LAG_MS, LoadReportArrived(report))


def send_heartbeats(world: World) -> None:
    """Let every entry see those that it can reach, and miss the others."""
    for entry in world.entries:
        for other in world.entries:
            if other is entry:
                continue
            state = other.state
            if can_reach(world, entry.state.zone, state.zone):
                seen = PeerSeen(
                    state.name, state.zone, state.me.address, state.me.incarnation
                )
                later(world, entry, OTHER_ZONE_HOP_MS, seen)
            else:
                silent = PeerSilent(state.me.address)
                later(world, entry, PEER_TIMEOUT_MS, silent)


def send_list(world: World) -> None:
    """Send the platform's list of backend servers, unless the platform is away."""
    if not world.platform_is_up:
        return
    listed = tuple(
        ListedServer(name, model.is_leaving) for name, model in world.models.items()
    )
    for entry in world.entries:
        later(world, entry, LIST_AGE_MS, ServersListed(listed, LIST_AGE_MS))
