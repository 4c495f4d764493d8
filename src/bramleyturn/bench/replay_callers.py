"""Simulate the callers of a replay."""

from functools import partial
from typing import Final

from bramleyturn.bench.replay_servers import time_to_finish_ms
from bramleyturn.bench.replay_simulation import (
    ReplayEntry,
    Simulation,
    can_reach,
    deliver_later,
    record_outcome,
)
from bramleyturn.bench.service_times import pool_slots, stage_work_ms
from bramleyturn.bench.trace import TraceRequest
from bramleyturn.bench.virtual_time import call_after
from bramleyturn.core.events import RequestArrived
from bramleyturn.core.model import Stage
from bramleyturn.core.outcomes import Outcome, not_run

CALLER_LATENCY_MS: Final = 2.0
PREFIX_CHARACTERS: Final = 256
BYTES_PER_TOKEN: Final = 4


def send_to_entry(simulation: Simulation, index: int) -> None:
    """Send a request to an entry as a load balancer does."""
    entry = simulation.entries[index % len(simulation.entries)]
    if simulation.policy.uses_true_state and not can_finish_in_time(
        simulation, entry, index
    ):
        record_outcome(simulation, index, not_run("cannot_finish"))
        return
    event = request_event(simulation, index, ticket="")
    deliver_later(simulation, entry, CALLER_LATENCY_MS, event)


def request_event(simulation: Simulation, index: int, ticket: str) -> RequestArrived:
    """Return a request of the trace as it arrives at an entry."""
    request = simulation.trace.requests[index]
    waited_ms = simulation.time.now_ms - request.arrival_ms
    text = request_text(index, request)
    return RequestArrived(
        waiter=f"w{index}",
        workspace=request.workspace,
        pipeline=request.pipeline,
        request_id=f"r{index}",
        input=text,
        input_bytes=len(text),
        left_ms=max(1, int(request.deadline_ms - waited_ms - 2 * CALLER_LATENCY_MS)),
        ticket=ticket,
    )


def request_text(index: int, request: TraceRequest) -> str:
    """Return an input of the request's size with the prefix that its group shares."""
    start = request.prefix_group.ljust(PREFIX_CHARACTERS)
    if not request.prefix_group:
        start = ""
    return f"{start}{index} ".ljust(len(start) + request.input_tokens * BYTES_PER_TOKEN)


def return_outcome(simulation: Simulation, request_id: str, outcome: Outcome) -> None:
    """Deliver an outcome to its caller after the network latency."""
    index = int(request_id[1:])
    call_after(
        simulation.time,
        CALLER_LATENCY_MS,
        partial(record_outcome, simulation, index, outcome),
    )


def can_finish_in_time(simulation: Simulation, entry: ReplayEntry, index: int) -> bool:
    """Return whether a request can meet its deadline given the servers' true state.

    Work that was admitted and has not reached a pool yet counts towards its load. A
    request that can meet its deadline is added to that work.
    """
    request = simulation.trace.requests[index]
    pipeline = simulation.configuration.pipelines[request.pipeline]
    needed_ms = 2 * CALLER_LATENCY_MS
    for stage in pipeline.stages:
        finish_ms = earliest_finish_ms(simulation, entry, request, stage)
        if finish_ms is None:
            return False
        admitted_ms = sum(simulation.admitted_work_ms.get(stage.pool, {}).values())
        slots = pool_slots(simulation.configuration, stage.pool)
        needed_ms += finish_ms + admitted_ms / slots
    if needed_ms > request.deadline_ms:
        return False
    for stage in pipeline.stages:
        pool = simulation.configuration.pools[stage.pool]
        simulation.admitted_work_ms.setdefault(pool.name, {})[f"r{index}"] = (
            stage_work_ms(
                pool.kind,
                stage,
                pool.concurrency_per_server,
                request.input_tokens,
                request.output_tokens,
            )
        )
    return True


def earliest_finish_ms(
    simulation: Simulation, entry: ReplayEntry, request: TraceRequest, stage: Stage
) -> float | None:
    """Return the time of a stage on its fastest server, ``None`` without any server."""
    tokens = min(request.output_tokens, stage.max_output_tokens)
    return min(
        (
            time_to_finish_ms(model, request.input_tokens, tokens)
            for model in simulation.models.values()
            if model.server.pool == stage.pool
            and model.is_up
            and not model.is_leaving
            and can_reach(simulation, entry.state.zone, model.server.zone)
        ),
        default=None,
    )
