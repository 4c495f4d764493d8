"""Search every interleaving of the ticket protocol for a violated invariant.

Run ``python -m bramleyturn.bench.ticket_check --ticks 4``.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Final, NamedTuple

import cappa

from bramleyturn.bench.ticket_model import transitions
from bramleyturn.bench.ticket_model_state import (
    Bounds,
    ModelState,
    Protocol,
    initial_state,
    violation,
)
from bramleyturn.core.outcomes import OutcomeKind

DEFAULT_STAGES: Final = "order"
DEFAULT_MAX_STATES: Final = 5_000_000

Parents = dict[ModelState, tuple[ModelState, str] | None]


class SearchResult(NamedTuple):
    """Hold the result of a search. ``trace`` leads to the first violation."""

    states: int
    steps: int
    outcomes: frozenset[OutcomeKind]
    most_runs: int
    violation: str
    trace: tuple[str, ...]


class SearchTooLargeError(Exception):
    """Raised when a search exceeds its limit of states."""


def search(
    bounds: Bounds,
    protocol: Protocol | None = None,
    max_states: int = DEFAULT_MAX_STATES,
    find_violation: Callable[[ModelState, Bounds], str] = violation,
) -> SearchResult:
    """Search breadth first, stop at the first violation and return the result.

    Raise ``SearchTooLargeError`` rather than report a search that is not exhaustive.
    """
    functions = protocol or Protocol()
    first = initial_state(bounds)
    parents: Parents = {first: None}
    queue = deque([first])
    outcomes: set[OutcomeKind] = set()
    steps = 0
    while queue:
        state = queue.popleft()
        for step in transitions(state, bounds, functions):
            steps += 1
            outcomes |= step.outcomes
            if step.state in parents:
                continue
            parents[step.state] = (state, step.name)
            violated = find_violation(step.state, bounds)
            if violated:
                return _search_result(parents, steps, outcomes, violated, step.state)
            queue.append(step.state)
        if len(parents) > max_states:
            raise SearchTooLargeError(f"more than {max_states} states")
    return _search_result(parents, steps, outcomes, "", first)


def _search_result(
    parents: Parents,
    steps: int,
    outcomes: set[OutcomeKind],
    violated: str,
    last: ModelState,
) -> SearchResult:
    most_runs = max(sum(state.runs) for state in parents)
    trace = _trace(parents, last)
    return SearchResult(
        len(parents), steps, frozenset(outcomes), most_runs, violated, trace
    )


def _trace(parents: Parents, last: ModelState) -> tuple[str, ...]:
    names: list[str] = []
    found = parents[last]
    while found is not None:
        state, name = found
        names.append(name)
        found = parents[state]
    return tuple(reversed(names))


def describe(found: SearchResult) -> str:
    """Format a search result as text."""
    kinds = ", ".join(sorted(found.outcomes)) or "none"
    summary = f"{found.states} states, {found.steps} steps, outcomes seen: {kinds}"
    if not found.violation:
        return f"{summary}\nno invariant violated"
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
        """Print the result; exit with code 1 when an invariant is violated."""
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
