"""Play the callers of a replay."""

from functools import partial
from typing import Final

from bramleyturn.bench.replay_servers import finish_in_ms
from bramleyturn.bench.replay_simulation import (
    ReplayEntry,
    World,
    can_reach,
    finish,
    later,
)
from bramleyturn.bench.service_times import pool_slots, stage_work_ms
from bramleyturn.bench.trace import TraceRequest
from bramleyturn.bench.virtual_time import call_after
from bramleyturn.core.events import RequestArrived
from bramleyturn.core.model import Stage
from bramleyturn.core.outcomes import Outcome, not_run

CALLER_HOP_MS: Final = 2.0
PREFIX_CHARACTERS: Final = 256
BYTES_PER_TOKEN: Final = 4


def arrive(world: World, index: int) -> None:
    """Let a balancer hand a request to an entry."""
    entry = world.entries[index % len(world.entries)]
    if world.policy.knows_all and not can_finish_in_time(world, entry, index):
        finish(world, index, not_run("cannot_finish"))
        return
    event = request_event(world, index, ticket="")
    later(world, entry, CALLER_HOP_MS, event)


def request_event(world: World, index: int, ticket: str) -> RequestArrived:
    """Return a request of the trace as it arrives at an entry."""
    request = world.trace.requests[index]
    waited_ms = world.time.now_ms - request.arrival_ms
    text = request_text(index, request)
    return RequestArrived(
        waiter=f"w{index}",
        workspace=request.workspace,
        pipeline=request.pipeline,
        request_id=f"r{index}",
        input=text,
        input_bytes=len(text),
        left_ms=max(1, int(request.deadline_ms - waited_ms - 2 * CALLER_HOP_MS)),
        ticket=ticket,
    )


def request_text(index: int, request: TraceRequest) -> str:
    """Return an input of the request's size that starts as its group's inputs do."""
    start = request.prefix_group.ljust(PREFIX_CHARACTERS)
    if not request.prefix_group:
        start = ""
    return f"{start}{index} ".ljust(len(start) + request.input_tokens * BYTES_PER_TOKEN)


def answer(world: World, request_id: str, outcome: Outcome) -> None:
    """Let an outcome travel to its caller."""
    index = int(request_id[1:])
    call_after(world.time, CALLER_HOP_MS, partial(finish, world, index, outcome))


def can_finish_in_time(world: World, entry: ReplayEntry, index: int) -> bool:
    """Tell from the true state of the servers whether a request can be answered.

    What was let in and has not reached a pool yet counts as its work. A request that
    can be answered counts from now on.
    """
    request = world.trace.requests[index]
    pipeline = world.configuration.pipelines[request.pipeline]
    needed_ms = 2 * CALLER_HOP_MS
    for stage in pipeline.stages:
        finish_ms = least_finish_ms(world, entry, request, stage)
        if finish_ms is None:
            return False
        promised_ms = sum(world.promised.get(stage.pool, {}).values())
        slots = pool_slots(world.configuration, stage.pool)
        needed_ms += finish_ms + promised_ms / slots
    if needed_ms > request.deadline_ms:
        return False
    for stage in pipeline.stages:
        pool = world.configuration.pools[stage.pool]
        world.promised.setdefault(pool.name, {})[f"r{index}"] = stage_work_ms(
            pool.kind,
            stage,
            pool.concurrency_per_server,
            request.input_tokens,
            request.output_tokens,
        )
    return True


def least_finish_ms(
    world: World, entry: ReplayEntry, request: TraceRequest, stage: Stage
) -> float | None:
    """Return how long a stage takes on its best server, None if none takes it."""
    tokens = min(request.output_tokens, stage.max_output_tokens)
    return min(
        (
            finish_in_ms(model, request.input_tokens, tokens)
            for model in world.models.values()
            if model.server.pool == stage.pool
            and model.is_up
            and not model.is_leaving
            and can_reach(world, entry.state.zone, model.server.zone)
        ),
        default=None,
    )
