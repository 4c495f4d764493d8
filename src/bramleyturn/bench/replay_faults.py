"""Inject faults into a replay, from 30 % to 70 % of its duration."""

from collections.abc import Callable
from functools import partial
from typing import Final

from bramleyturn.bench.replay_servers import ServerModel, crash, restart
from bramleyturn.bench.replay_simulation import Simulation
from bramleyturn.bench.virtual_time import call_after
from bramleyturn.core.events import ConfigurationAccepted
from bramleyturn.core.model import PoolKind

START_SHARE: Final = 0.3
END_SHARE: Final = 0.7
SLOW_FACTOR: Final = 4.0
ENCODER_SLOW_FACTOR: Final = 20.0
DOWN_SHARE: Final = 0.15
SECOND_CRASH_SHARE: Final = 0.5
LEAVE_SHARE: Final = 0.4
RETURN_SHARE: Final = 0.6
PRICE_FACTOR: Final = 2
BURST: Final = "burst"
CALM: Final = "calm"


def schedule_fault(simulation: Simulation, name: str) -> None:
    """Schedule a fault, or several joined by ``+``, in a simulation.

    ``calm`` and ``burst`` change nothing here: a burst is part of the trace.
    """
    for part in name.split("+"):
        if part not in (CALM, BURST):
            FAULTS[part](simulation)


def is_fault(name: str) -> bool:
    """Return whether ``schedule_fault`` knows a name."""
    return all(part in (CALM, BURST) or part in FAULTS for part in name.split("+"))


def straggler(simulation: Simulation) -> None:
    """Slow one engine down."""
    model = engines(simulation)[0]
    schedule_at_share(
        simulation, START_SHARE, partial(set_slow_factor, model, SLOW_FACTOR)
    )
    schedule_at_share(simulation, END_SHARE, partial(set_slow_factor, model, 1.0))


def slow_encoder(simulation: Simulation) -> None:
    """Slow one encoder down."""
    model = servers_of_kind(simulation, PoolKind.ENCODER)[0]
    schedule_at_share(
        simulation, START_SHARE, partial(set_slow_factor, model, ENCODER_SLOW_FACTOR)
    )
    schedule_at_share(simulation, END_SHARE, partial(set_slow_factor, model, 1.0))


def crashes(simulation: Simulation) -> None:
    """Crash two engines, one after the other, and restart them."""
    for share, model in zip(
        (START_SHARE, SECOND_CRASH_SHARE), engines(simulation)[:2], strict=True
    ):
        schedule_at_share(simulation, share, partial(crash, model))
        schedule_at_share(simulation, share + DOWN_SHARE, partial(restart, model))


def zone_cut(simulation: Simulation) -> None:
    """Partition one availability zone from the others."""
    zone = engines(simulation)[0].server.zone
    schedule_at_share(simulation, START_SHARE, partial(simulation.cut_zones.add, zone))
    schedule_at_share(
        simulation, END_SHARE, partial(simulation.cut_zones.discard, zone)
    )


def platform_down(simulation: Simulation) -> None:
    """Take the platform down while an engine drains and returns."""
    model = engines(simulation)[0]
    schedule_at_share(
        simulation, START_SHARE, partial(set_platform_state, simulation, False)
    )
    schedule_at_share(simulation, LEAVE_SHARE, partial(set_leaving, model, True))
    schedule_at_share(simulation, RETURN_SHARE, partial(set_leaving, model, False))
    schedule_at_share(
        simulation, END_SHARE, partial(set_platform_state, simulation, True)
    )


def price_change(simulation: Simulation) -> None:
    """Raise the price of the engines' supplier."""

    def change() -> None:
        old = simulation.configuration
        pools = {
            name: pool._replace(
                price_micros_per_1k_tokens=pool.price_micros_per_1k_tokens
                * PRICE_FACTOR
            )
            for name, pool in old.pools.items()
        }
        new = old._replace(revision=old.revision + 1, pools=pools)
        for entry in simulation.entries:
            simulation.deliver(simulation, entry, ConfigurationAccepted(new))

    schedule_at_share(simulation, START_SHARE, change)


def engines(simulation: Simulation) -> list[ServerModel]:
    """Return the engine models in order of name."""
    return servers_of_kind(simulation, PoolKind.ENGINE)


def servers_of_kind(simulation: Simulation, kind: PoolKind) -> list[ServerModel]:
    """Return the server models of a kind in order of name."""
    return [
        model for _, model in sorted(simulation.models.items()) if model.kind is kind
    ]


def schedule_at_share(
    simulation: Simulation, share: float, call: Callable[[], None]
) -> None:
    """Schedule ``call`` at a share of the trace's duration."""
    call_after(simulation.time, share * simulation.trace.header.duration_ms, call)


def set_slow_factor(model: ServerModel, factor: float) -> None:
    """Set the slowdown factor of a server."""
    model.slow_factor = factor


def set_leaving(model: ServerModel, is_leaving: bool) -> None:
    """Start or end the draining of a server."""
    model.is_leaving = is_leaving


def set_platform_state(simulation: Simulation, is_up: bool) -> None:
    """Take the platform down or bring it back up."""
    simulation.platform_is_up = is_up


FAULTS: Final[dict[str, Callable[[Simulation], None]]] = {
    "straggler": straggler,
    "slow-encoder": slow_encoder,
    "crash": crashes,
    "zone-cut": zone_cut,
    "platform-down": platform_down,
    "price-change": price_change,
}
