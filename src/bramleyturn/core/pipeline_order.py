"""Sort the stages of a pipeline topologically."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Cycle(NamedTuple):
    """Name the stages of a dependency cycle, the first one again at the end."""

    stages: tuple[str, ...]


def order_stages(
    stages: Sequence[str], after: Mapping[str, Sequence[str]]
) -> tuple[str, ...] | Cycle:
    """Return ``stages`` in an order that respects ``after``.

    Stages that do not depend on each other keep the order of ``stages``. Every name
    in ``after`` has to be one of ``stages``.
    """
    waiting = {stage: set(after[stage]) for stage in stages}
    followers: dict[str, list[str]] = {stage: [] for stage in stages}
    for stage in stages:
        for earlier in waiting[stage]:
            followers[earlier].append(stage)
    position = {stage: index for index, stage in enumerate(stages)}
    ready = [stage for stage in stages if not waiting[stage]]
    ordered: list[str] = []
    while ready:
        stage = min(ready, key=position.__getitem__)
        ready.remove(stage)
        ordered.append(stage)
        for follower in followers[stage]:
            waiting[follower].discard(stage)
            if not waiting[follower]:
                ready.append(follower)
    if len(ordered) < len(stages):
        return _find_cycle(stages, waiting)
    return tuple(ordered)


def last_stages(
    stages: Sequence[str], after: Mapping[str, Sequence[str]]
) -> tuple[str, ...]:
    """Return the stages that no other stage depends on."""
    followed = {earlier for stage in stages for earlier in after[stage]}
    return tuple(stage for stage in stages if stage not in followed)


def _find_cycle(stages: Sequence[str], waiting: Mapping[str, set[str]]) -> Cycle:
    """Return one cycle among the stages that still wait for others.

    Each stage left waits for another one left, so walking back must meet a cycle.
    """
    stage = next(stage for stage in stages if waiting[stage])
    path: list[str] = []
    while stage not in path:
        path.append(stage)
        stage = min(waiting[stage])
    return Cycle((*path[path.index(stage) :], stage))
