"""Search every interleaving of the ticket protocol for a broken promise.

Run ``python -m bramleyturn.bench.ticket_check --ticks 4``.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Final, NamedTuple

import cappa

from bramleyturn.bench.ticket_model import transitions
from bramleyturn.bench.ticket_world import (
    Bounds,
    Protocol,
    World,
    first_world,
    violation,
)
from bramleyturn.core.outcomes import OutcomeKind

DEFAULT_STAGES: Final = "order"
DEFAULT_MAX_STATES: Final = 5_000_000

Parents = dict[World, tuple[World, str] | None]


class Search(NamedTuple):
    """Hold what a search found. ``trace`` leads to the first broken promise."""

    states: int
    steps: int
    told: frozenset[OutcomeKind]
    most_runs: int
    violation: str
    trace: tuple[str, ...]


class SearchTooLargeError(Exception):
    """Raised when a search meets more states than it may hold."""


def search(
    bounds: Bounds,
    protocol: Protocol | None = None,
    max_states: int = DEFAULT_MAX_STATES,
    broken_promise: Callable[[World, Bounds], str] = violation,
) -> Search:
    """Return the result of a breadth-first search that ends at a broken promise.

    Raise ``SearchTooLargeError`` rather than report a search that is not exhaustive.
    """
    functions = protocol or Protocol()
    first = first_world(bounds)
    parents: Parents = {first: None}
    queue = deque([first])
    told: set[OutcomeKind] = set()
    steps = 0
    while queue:
        world = queue.popleft()
        for step in transitions(world, bounds, functions):
            steps += 1
            told |= step.told
            if step.world in parents:
                continue
            parents[step.world] = (world, step.name)
            broken = broken_promise(step.world, bounds)
            if broken:
                return _found(parents, steps, told, broken, step.world)
            queue.append(step.world)
        if len(parents) > max_states:
            raise SearchTooLargeError(f"more than {max_states} states")
    return _found(parents, steps, told, "", first)


def _found(
    parents: Parents, steps: int, told: set[OutcomeKind], broken: str, last: World
) -> Search:
    most_runs = max(sum(world.runs) for world in parents)
    trace = _trace(parents, last)
    return Search(len(parents), steps, frozenset(told), most_runs, broken, trace)


def _trace(parents: Parents, last: World) -> tuple[str, ...]:
    names: list[str] = []
    found = parents[last]
    while found is not None:
        world, name = found
        names.append(name)
        found = parents[world]
    return tuple(reversed(names))


def describe(found: Search) -> str:
    """Return a search's result as lines of text."""
    kinds = ", ".join(sorted(found.told)) or "none"
    summary = f"{found.states} states, {found.steps} steps, outcomes told: {kinds}"
    if not found.violation:
        return f"{summary}\nno promise broken"
    return "\n".join([summary, found.violation, *found.trace])


@dataclass
class CheckCommand:
    """Search the ticket protocol within the given bounds."""

    primary_restarts: Annotated[int, cappa.Arg(long=True)] = 1
    backup_restarts: Annotated[int, cappa.Arg(long=True)] = 1
    ticks: Annotated[int, cappa.Arg(long=True)] = 3
    stages: Annotated[str, cappa.Arg(long=True)] = DEFAULT_STAGES
    no_backup: Annotated[bool, cappa.Arg(long=True)] = False
    parallel: Annotated[bool, cappa.Arg(long=True)] = False
    max_states: Annotated[int, cappa.Arg(long=True)] = DEFAULT_MAX_STATES

    def __call__(self) -> None:
        """Print the result; exit with code 1 when a promise is broken."""
        bounds = Bounds(
            primary_restarts=self.primary_restarts,
            backup_restarts=self.backup_restarts,
            ticks=self.ticks,
            stages=tuple(self.stages.split(",")),
            with_backup=not self.no_backup,
            parallel=self.parallel,
        )
        found = search(bounds, max_states=self.max_states)
        print(describe(found))
        if found.violation:
            raise cappa.Exit(code=1)


if __name__ == "__main__":
    cappa.invoke(CheckCommand)
