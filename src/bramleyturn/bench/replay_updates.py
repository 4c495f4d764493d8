"""Send load reports, heartbeats and server lists to the entries of a replay."""

from collections.abc import Callable
from functools import partial
from typing import Final

from bramleyturn.bench.replay_servers import load_report
from bramleyturn.bench.replay_simulation import (
    CROSS_ZONE_LATENCY_MS,
    Simulation,
    can_reach,
    deliver_later,
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


def schedule_updates(simulation: Simulation) -> None:
    """Schedule load reports, heartbeats and server lists for the trace's duration."""
    end_ms = simulation.trace.header.duration_ms
    for name in simulation.models:
        schedule_periodic(
            simulation,
            REPORT_INTERVAL_MS,
            end_ms,
            partial(send_reports, simulation, name),
        )
    schedule_periodic(
        simulation, PEER_INTERVAL_MS, end_ms, partial(send_heartbeats, simulation)
    )
    schedule_periodic(
        simulation, LIST_INTERVAL_MS, end_ms, partial(send_list, simulation)
    )


def schedule_periodic(
    simulation: Simulation, interval_ms: float, end_ms: float, call: Callable[[], None]
) -> None:
    """Run ``call`` at intervals, starting at a random offset within the first."""

    def run() -> None:
        call()
        if simulation.time.now_ms + interval_ms <= end_ms:
            call_after(simulation.time, interval_ms, run)

    call_after(simulation.time, simulation.random.random() * interval_ms, run)


def send_reports(simulation: Simulation, name: str) -> None:
    """Send a server's load report to every entry, delayed and sometimes lost."""
    model = simulation.models[name]
    if not model.is_up:
        return
    report = load_report(model, int(REPORT_LAG_MS))
    for entry in simulation.entries:
        if simulation.random.random() < REPORT_LOST_SHARE:
            continue
        if can_reach(simulation, entry.state.zone, model.server.zone):
            deliver_later(simulation, entry, REPORT_LAG_MS, LoadReportArrived(report))


def send_heartbeats(simulation: Simulation) -> None:
    """Report every entry's reachable peers as seen and the others as silent."""
    for entry in simulation.entries:
        for other in simulation.entries:
            if other is entry:
                continue
            state = other.state
            if can_reach(simulation, entry.state.zone, state.zone):
                seen = PeerSeen(
                    state.name, state.zone, state.me.address, state.me.incarnation
                )
                deliver_later(simulation, entry, CROSS_ZONE_LATENCY_MS, seen)
            else:
                silent = PeerSilent(state.me.address)
                deliver_later(simulation, entry, PEER_TIMEOUT_MS, silent)


def send_list(simulation: Simulation) -> None:
    """Send the platform's list of backend servers, unless the platform is down."""
    if not simulation.platform_is_up:
        return
    listed = tuple(
        ListedServer(name, model.is_leaving)
        for name, model in simulation.models.items()
    )
    for entry in simulation.entries:
        deliver_later(
            simulation, entry, LIST_AGE_MS, ServersListed(listed, LIST_AGE_MS)
        )
