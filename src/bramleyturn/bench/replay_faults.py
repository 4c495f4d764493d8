"""Let things go wrong in a replay, from three to seven tenths of its time."""

from collections.abc import Callable
from functools import partial
from typing import Final

from bramleyturn.bench.replay_servers import ServerModel, crash, restart
from bramleyturn.bench.replay_simulation import World
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
BACK_SHARE: Final = 0.6
PRICE_FACTOR: Final = 2
BURST: Final = "burst"
CALM: Final = "calm"


def arrange_fault(world: World, name: str) -> None:
    """Arrange a fault, or several joined by ``+``, in a world.

    ``calm`` and ``burst`` change nothing here: a burst is part of the trace.
    """
    for part in name.split("+"):
        if part not in (CALM, BURST):
            FAULTS[part](world)


def is_fault(name: str) -> bool:
    """Tell whether ``arrange_fault`` knows a name."""
    return all(part in (CALM, BURST) or part in FAULTS for part in name.split("+"))


def straggler(world: World) -> None:
    """Slow one engine down."""
    model = engines(world)[0]
    at_share(world, START_SHARE, partial(set_slow_factor, model, SLOW_FACTOR))
    at_share(world, END_SHARE, partial(set_slow_factor, model, 1.0))


def slow_encoder(world: World) -> None:
    """Slow one encoder down."""
    model = of_kind(world, PoolKind.ENCODER)[0]
    at_share(world, START_SHARE, partial(set_slow_factor, model, ENCODER_SLOW_FACTOR))
    at_share(world, END_SHARE, partial(set_slow_factor, model, 1.0))


def crashes(world: World) -> None:
    """Crash two engines, one after the other, and restart them."""
    for share, model in zip(
        (START_SHARE, SECOND_CRASH_SHARE), engines(world)[:2], strict=True
    ):
        at_share(world, share, partial(crash, model))
        at_share(world, share + DOWN_SHARE, partial(restart, model))


def zone_cut(world: World) -> None:
    """Cut one availability zone off from the others."""
    zone = engines(world)[0].server.zone
    at_share(world, START_SHARE, partial(world.cut_zones.add, zone))
    at_share(world, END_SHARE, partial(world.cut_zones.discard, zone))


def platform_down(world: World) -> None:
    """Take the platform away, while an engine leaves and comes back."""
    model = engines(world)[0]
    at_share(world, START_SHARE, partial(set_platform, world, False))
    at_share(world, LEAVE_SHARE, partial(set_leaving, model, True))
    at_share(world, BACK_SHARE, partial(set_leaving, model, False))
    at_share(world, END_SHARE, partial(set_platform, world, True))


def price_change(world: World) -> None:
    """Let the supplier of the engines raise its price."""

    def change() -> None:
        old = world.configuration
        pools = {
            name: pool._replace(
                price_micros_per_1k_tokens=pool.price_micros_per_1k_tokens
                * PRICE_FACTOR
            )
            for name, pool in old.pools.items()
        }
        new = old._replace(revision=old.revision + 1, pools=pools)
        for entry in world.entries:
            world.deliver(world, entry, ConfigurationAccepted(new))

    at_share(world, START_SHARE, change)


def engines(world: World) -> list[ServerModel]:
    """Return the model engines in the order of their names."""
    return of_kind(world, PoolKind.ENGINE)


def of_kind(world: World, kind: PoolKind) -> list[ServerModel]:
    """Return the servers of a kind in the order of their names."""
    return [model for _, model in sorted(world.models.items()) if model.kind is kind]


def at_share(world: World, share: float, call: Callable[[], None]) -> None:
    """Run ``call`` when a share of the trace has passed."""
    call_after(world.time, share * world.trace.header.duration_ms, call)


def set_slow_factor(model: ServerModel, factor: float) -> None:
    """Change how slow a server is."""
    model.slow_factor = factor


def set_leaving(model: ServerModel, is_leaving: bool) -> None:
    """Let a server leave or come back."""
    model.is_leaving = is_leaving


def set_platform(world: World, is_up: bool) -> None:
    """Take the platform away or bring it back."""
    world.platform_is_up = is_up


FAULTS: Final[dict[str, Callable[[World], None]]] = {
    "straggler": straggler,
    "slow-encoder": slow_encoder,
    "crash": crashes,
    "zone-cut": zone_cut,
    "platform-down": platform_down,
    "price-change": price_change,
}
