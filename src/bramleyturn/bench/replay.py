"""Replay a trace in virtual time and summarise the results."""

from typing import Final, NamedTuple

from bramleyturn.bench.replay_entries import new_simulation
from bramleyturn.bench.replay_faults import schedule_fault
from bramleyturn.bench.replay_policies import POLICIES
from bramleyturn.bench.replay_simulation import RequestResult, Simulation
from bramleyturn.bench.trace import Trace, TraceRequest
from bramleyturn.bench.virtual_time import run_until
from bramleyturn.core.cost import cost_rows
from bramleyturn.core.model import Configuration
from bramleyturn.core.outcomes import OutcomeKind

DRAIN_MS: Final = 15_000


class ReplayResult(NamedTuple):
    """Summarise one replay.

    ``attainment`` is the share of requests fully answered within their deadline.
    ``wasted`` is the share of the servers' busy time spent on attempts that were
    cancelled or lost, ``wasted_cost`` the corresponding share of the cost.
    ``offered`` is the number of attempts per first attempt.
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
    """Replay a trace under a policy and a fault and return the result."""
    simulation = new_simulation(trace, configuration, POLICIES[policy], seed)
    schedule_fault(simulation, fault)
    run_until(simulation.time, trace.header.duration_ms + DRAIN_MS)
    return summarise(simulation)


def missed_outcomes(result: ReplayResult, stated: dict[str, float]) -> list[str]:
    """Describe which stated outcomes of a trace were missed."""
    missed = []
    for name, limit in stated.items():
        found = getattr(result, name)
        is_met = found >= limit if name == "attainment" else found <= limit
        if not is_met:
            missed.append(f"{name} is {found:.4f}, stated {limit:.4f}")
    return missed


def summarise(simulation: Simulation) -> ReplayResult:
    """Summarise a simulation that has run."""
    requests = simulation.trace.requests
    count = max(1, len(requests))
    in_time = [is_in_time(simulation, index) for index in range(len(requests))]
    rows = [row for entry in simulation.entries for row in cost_rows(entry.state.costs)]
    micros = sum(row.micros for row in rows)
    by_stage: dict[str, int] = {}
    for row in rows:
        name = f"{row.pipeline}.{row.stage}"
        by_stage[name] = by_stage.get(name, 0) + row.micros
    wasted_ms = sum(model.wasted_ms for model in simulation.models.values())
    busy_ms = wasted_ms + sum(model.useful_ms for model in simulation.models.values())
    counters = [entry.state.counters for entry in simulation.entries]
    return ReplayResult(
        requests=len(requests),
        attainment=sum(in_time) / count,
        refused=count_kind(simulation, OutcomeKind.NOT_RUN) / count,
        failed=count_kind(simulation, OutcomeKind.FAILED) / count,
        unknown=count_kind(simulation, OutcomeKind.UNKNOWN) / count,
        late=(count_kind(simulation, OutcomeKind.ANSWERED) - sum(in_time)) / count,
        cost_micros_per_answer=micros / max(1, sum(in_time)),
        wasted=wasted_ms / max(1.0, busy_ms),
        wasted_cost=sum(row.wasted_micros for row in rows) / max(1, micros),
        offered=sum(simulation.attempts_sent.values())
        / max(1, len(simulation.attempts_sent)),
        hedges=sum(counter.hedges for counter in counters),
        retries=sum(counter.retries for counter in counters),
        attainment_by_pipeline=shares(in_time, [item.pipeline for item in requests]),
        attainment_by_workspace=shares(in_time, [item.workspace for item in requests]),
        cost_micros_by_stage=dict(sorted(by_stage.items())),
    )


def is_in_time(simulation: Simulation, index: int) -> bool:
    """Return whether a request was fully answered within its deadline."""
    result: RequestResult | None = simulation.request_results.get(index)
    request: TraceRequest = simulation.trace.requests[index]
    if result is None or result.outcome.kind is not OutcomeKind.ANSWERED:
        return False
    return result.elapsed_ms <= request.deadline_ms


def count_kind(simulation: Simulation, kind: OutcomeKind) -> int:
    """Return the number of requests with an outcome of a kind."""
    return sum(
        result.outcome.kind is kind for result in simulation.request_results.values()
    )


def shares(in_time: list[bool], names: list[str]) -> dict[str, float]:
    """Return the share of requests in time by name."""
    totals: dict[str, int] = {}
    hits: dict[str, int] = {}
    for hit, name in zip(in_time, names, strict=True):
        totals[name] = totals.get(name, 0) + 1
        hits[name] = hits.get(name, 0) + hit
    return {name: hits[name] / totals[name] for name in sorted(totals)}
