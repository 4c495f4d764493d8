"""Replay a trace in virtual time and sum up what came of it."""

from typing import Final, NamedTuple

from bramleyturn.bench.replay_entries import new_world
from bramleyturn.bench.replay_faults import arrange_fault
from bramleyturn.bench.replay_policies import POLICIES
from bramleyturn.bench.replay_simulation import Ending, World
from bramleyturn.bench.trace import Trace, TraceRequest
from bramleyturn.bench.virtual_time import run_until
from bramleyturn.core.cost import cost_rows
from bramleyturn.core.model import Configuration
from bramleyturn.core.outcomes import OutcomeKind

DRAIN_MS: Final = 15_000


class ReplayResult(NamedTuple):
    """Sum up one replay.

    ``attainment`` is the share of requests wholly answered within their deadline.
    ``wasted`` is the share of the servers' busy time that went to attempts which
    were cancelled or lost, ``wasted_cost`` the share of the money. ``offered`` is
    the number of attempts for each first attempt.
    """

    requests: int
    attainment: float
    refused: float
    failed: float
    unknown: float
    late: float
    cost_micros_per_answer: float
    wasted: float
    wasted_cost: float
    offered: float
    hedges: int
    retries: int
    attainment_by_pipeline: dict[str, float]
    attainment_by_workspace: dict[str, float]
    cost_micros_by_stage: dict[str, int]


def replay(
    trace: Trace,
    configuration: Configuration,
    *,
    policy: str = "own",
    fault: str = "calm",
    seed: int = 1,
) -> ReplayResult:
    """Return what came of a trace under a policy and a fault."""
    world = new_world(trace, configuration, POLICIES[policy], seed)
    arrange_fault(world, fault)
    run_until(world.time, trace.header.duration_ms + DRAIN_MS)
    return sum_up(world)


def missed_outcomes(result: ReplayResult, stated: dict[str, float]) -> list[str]:
    """Return which of the outcomes that a trace states were missed."""
    missed = []
    for name, limit in stated.items():
        found = getattr(result, name)
        is_met = found >= limit if name == "attainment" else found <= limit
        if not is_met:
            missed.append(f"{name} is {found:.4f}, stated {limit:.4f}")
    return missed


def sum_up(world: World) -> ReplayResult:
    """Return the result of a world that has run."""
    requests = world.trace.requests
    count = max(1, len(requests))
    in_time = [is_in_time(world, index) for index in range(len(requests))]
    rows = [row for entry in world.entries for row in cost_rows(entry.state.costs)]
    micros = sum(row.micros for row in rows)
    by_stage: dict[str, int] = {}
    for row in rows:
        name = f"{row.pipeline}.{row.stage}"
        by_stage[name] = by_stage.get(name, 0) + row.micros
    wasted_ms = sum(model.wasted_ms for model in world.models.values())
    busy_ms = wasted_ms + sum(model.useful_ms for model in world.models.values())
    counters = [entry.state.counters for entry in world.entries]
    return ReplayResult(
        requests=len(requests),
        attainment=sum(in_time) / count,
        refused=count_kind(world, OutcomeKind.NOT_RUN) / count,
        failed=count_kind(world, OutcomeKind.FAILED) / count,
        unknown=count_kind(world, OutcomeKind.UNKNOWN) / count,
        late=(count_kind(world, OutcomeKind.ANSWERED) - sum(in_time)) / count,
        cost_micros_per_answer=micros / max(1, sum(in_time)),
        wasted=wasted_ms / max(1.0, busy_ms),
        wasted_cost=sum(row.wasted_micros for row in rows) / max(1, micros),
        offered=sum(world.sent.values()) / max(1, len(world.sent)),
        hedges=sum(counter.hedges for counter in counters),
        retries=sum(counter.retries for counter in counters),
        attainment_by_pipeline=shares(in_time, [item.pipeline for item in requests]),
        attainment_by_workspace=shares(in_time, [item.workspace for item in requests]),
        cost_micros_by_stage=dict(sorted(by_stage.items())),
    )


def is_in_time(world: World, index: int) -> bool:
    """Tell whether a request was wholly answered within its deadline."""
    ending: Ending | None = world.endings.get(index)
    request: TraceRequest = world.trace.requests[index]
    if ending is None or ending.outcome.kind is not OutcomeKind.ANSWERED:
        return False
    return ending.elapsed_ms <= request.deadline_ms


def count_kind(world: World, kind: OutcomeKind) -> int:
    """Return how many requests ended with an outcome."""
    return sum(ending.outcome.kind is kind for ending in world.endings.values())


def shares(in_time: list[bool], names: list[str]) -> dict[str, float]:
    """Return the share in time by name."""
    totals: dict[str, int] = {}
    hits: dict[str, int] = {}
    for hit, name in zip(in_time, names, strict=True):
        totals[name] = totals.get(name, 0) + 1
        hits[name] = hits.get(name, 0) + hit
    return {name: hits[name] / totals[name] for name in sorted(totals)}
