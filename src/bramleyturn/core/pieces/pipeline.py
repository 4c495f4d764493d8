"""Order the requests that wait for stages, and refuse those that cannot be served.

Load pattern handled here: a sudden rise of traffic above the capacity of the slowest
stage of a pipeline. Without this, the first stages would keep working for requests
that are stuck before a later stage, and their results would fill the servers' space
and expire. Therefore, the finish of a request is forecast over all of its stages
before the first one starts. Started requests go before others. Requests that can only
be late get the remaining time of the servers. Requests that cannot meet their deadline
are refused at once and told when to retry.
"""

from typing import Final

from bramleyturn.core.pieces.call_results import fail_ask, requeue_overdue_pieces
from bramleyturn.core.pieces.dispatch import is_started, serve_in_order
from bramleyturn.core.pieces.forecast import (
    Forecast,
    add_to_backlog,
    expected_finish_ms,
    longest_late_queue_ms,
    record_arrival,
    remaining_stages,
    remaining_work_ms,
)
from bramleyturn.core.pieces.model import (
    AskDone,
    PieceFailure,
    StageAsk,
    useful_until_ms,
)
from bramleyturn.core.pieces.planner import (
    AskState,
    Outcome,
    Pipeline,
    Planner,
    Refused,
    submit,
)
from bramleyturn.core.pieces.refused_asks import (
    due_as_at_first,
    has_returned,
    note_refusal,
)
from bramleyturn.core.pieces.releases import withdraw
from bramleyturn.core.pieces.stage_server import (
    StageServer,
    try_slow_server,
    wants_report,
)
from bramleyturn.core.pieces.timing import stage_ms
from bramleyturn.core.placement.engine_queues import assign_engine, take_back_engine

# Asks fail after waiting for this long in a pool without servers.
NO_SERVER_TIMEOUT_MS: Final = 1_500
# Asks that their instance has not repeated for this long are dropped.
ASK_TIMEOUT_MS: Final = 2_000
# Asks that were handed over are remembered until the next owner has acknowledged them,
# or has not.
MOVED_TTL_MS: Final = 800
# Finished asks are remembered so that a repeated ask gets the same answer.
DONE_TTL_MS: Final = 3_000
# A late request only starts if its longest wait is no longer than this fraction of the
# time for which results are kept: they could expire while it waits for a later stage.
HELD_FRACTION: Final = 0.4
# Safety margin of the forecast as a fraction of the remaining work: pieces of other
# requests make calls longer, and each stage waits for calls that are in progress.
MARGIN_FRACTION: Final = 0.35
# How much later a request is ordered for each step of its urgency. The largest
# difference within one workspace stays below the usual latency target of a pipeline.
URGENCY_STEP_MS: Final = 100


def take_ask(pipeline: Pipeline, ask: StageAsk, now_ms: int) -> AskDone | None:
    """Add an ask, or record its repetition; return its result if it has ended.

    The pool of the ask must have a planner.
    """
    planner = pipeline.planners[ask.pool]
    is_new = ask.ask_id not in planner.asks and ask.ask_id not in planner.done
    if is_new:
        ask = _with_engine(pipeline, ask, now_ms)
    done = submit(planner, due_as_at_first(pipeline.refused, ask), now_ms)
    if is_new and not ask.has_started:
        state = planner.asks[ask.ask_id]
        state.has_returned = has_returned(pipeline.refused, ask)
        record_arrival(pipeline, state, now_ms)
    return done


def _with_engine(pipeline: Pipeline, ask: StageAsk, now_ms: int) -> StageAsk:
    """Return an ask with the engine of its request, near which it is made."""
    if ask.engine or ask.engine_need is None:
        return ask
    option = assign_engine(pipeline.engines, ask.attempt_id, ask.engine_need, now_ms)
    if option is None:
        return ask
    return ask._replace(engine=option.server_id, near_zone=option.zone)


def plan(pipeline: Pipeline, now_ms: int) -> dict[str, Outcome]:
    """Return the calls to make now and the asks that have ended, by pool."""
    outcomes = {name: Outcome() for name in pipeline.planners}
    for name, planner in pipeline.planners.items():
        for server in planner.servers.values():
            try_slow_server(server, now_ms)
        requeue_overdue_pieces(planner, now_ms)
        _expire_asks(planner, outcomes[name], now_ms)
        _fail_asks_without_inputs(planner, outcomes[name], now_ms)
    order = _order(pipeline, outcomes, now_ms)
    for name, planner in pipeline.planners.items():
        own = [state for state in order if state.ask.pool == name]
        serve_in_order(planner, own, outcomes[name], now_ms)
    return outcomes


def reports_wanted(
    pipeline: Pipeline, now_ms: int
) -> list[tuple[Planner, StageServer]]:
    """Return the servers to ask for their free space while any stage has work.

    Pools without waiting asks are included: whether a request may start also depends
    on the servers of its later stages. So are pools whose asks have ended lately: a
    request that was refused because they were silent would leave them unasked.
    """
    planners = pipeline.planners.values()
    if not any(_has_own_work(planner) for planner in planners):
        return []
    return [
        (planner, state)
        for planner in planners
        for state in planner.servers.values()
        if wants_report(state, now_ms)
    ]


def _has_own_work(planner: Planner) -> bool:
    open_here = any(not state.is_moved for state in planner.asks.values())
    return open_here or bool(planner.done)


def _order(
    pipeline: Pipeline, outcomes: dict[str, Outcome], now_ms: int
) -> list[AskState]:
    """Return the asks to serve in order; refuse those that cannot meet a deadline."""
    asks = [
        state
        for planner in pipeline.planners.values()
        for state in planner.asks.values()
        if not state.is_moved
    ]
    asks.sort(key=_rank)
    forecast = Forecast(pipeline, now_ms)
    new = [state for state in asks if not request_has_started(state)]
    started = _order_started(pipeline, outcomes, forecast, asks)
    in_time: list[AskState] = []
    late: list[AskState] = []
    for state in new:
        if _is_in_time(pipeline, forecast, state):
            add_to_backlog(pipeline, forecast, state)
            in_time.append(state)
        else:
            late.append(state)
    return started + in_time + _order_late(pipeline, outcomes, forecast, late)


def request_has_started(state: AskState) -> bool:
    """Return whether work was done for the request, which a refusal would waste."""
    return state.ask.has_started or is_started(state)


def _is_in_time(pipeline: Pipeline, forecast: Forecast, state: AskState) -> bool:
    margin_ms = MARGIN_FRACTION * remaining_work_ms(pipeline, state)
    return expected_finish_ms(pipeline, forecast, state) + margin_ms <= state.ask.due_ms


def _order_started(
    pipeline: Pipeline,
    outcomes: dict[str, Outcome],
    forecast: Forecast,
    asks: list[AskState],
) -> list[AskState]:
    """Return the asks of started requests, in time or not; fail those past help.

    Behind new requests, one that is late by a little would wait until its results
    expire, and the work for it would be lost.
    """
    served = []
    now_ms = forecast.now_ms
    for state in asks:
        if not request_has_started(state):
            continue
        planner = pipeline.planners[state.ask.pool]
        if not is_started(state) and _cannot_meet_deadline(planner, state, now_ms):
            _fail_late(pipeline, state, outcomes, now_ms)
            continue
        add_to_backlog(pipeline, forecast, state)
        served.append(state)
    return served


def _order_late(
    pipeline: Pipeline,
    outcomes: dict[str, Outcome],
    forecast: Forecast,
    late: list[AskState],
) -> list[AskState]:
    """Return the late requests to start now; refuse those that would end too late.

    Those that come back when they were told to go before new ones.
    """
    served = []
    now_ms = forecast.now_ms
    for state in sorted(late, key=lambda state: not state.has_returned):
        ask = state.ask
        planner = pipeline.planners[ask.pool]
        queue_ms = longest_late_queue_ms(forecast, state)
        end_ms = expected_finish_ms(pipeline, forecast, state, is_late=True)
        if end_ms > useful_until_ms(ask):
            note_refusal(pipeline.refused, ask, now_ms)
            take_back_engine(pipeline.engines, ask.attempt_id)
            _refuse(planner, forecast, state, int(end_ms), outcomes[ask.pool])
            continue
        if _cannot_meet_deadline(planner, state, now_ms):
            _fail_late(pipeline, state, outcomes, now_ms)
            continue
        state.is_kept = True
        add_to_backlog(pipeline, forecast, state)
        if queue_ms <= planner.limits.result_ttl_ms * HELD_FRACTION:
            served.append(state)
    return served


def _fail_late(
    pipeline: Pipeline, state: AskState, outcomes: dict[str, Outcome], now_ms: int
) -> None:
    """Fail a request that cannot meet its deadline."""
    ask = state.ask
    planner = pipeline.planners[ask.pool]
    note_refusal(pipeline.refused, ask, now_ms)
    take_back_engine(pipeline.engines, ask.attempt_id)
    fail_ask(planner, state, PieceFailure.LATE, outcomes[ask.pool], now_ms)


def _refuse(
    planner: Planner,
    forecast: Forecast,
    state: AskState,
    end_ms: int,
    outcome: Outcome,
) -> None:
    """Refuse a request that would miss its deadline, and say when to retry it."""
    ask = state.ask
    refused = Refused(
        ask.attempt_id,
        {
            stage.pool: int(forecast.backlog_ms.get(stage.pool, 0.0))
            for stage in remaining_stages(state)
        },
        end_ms - forecast.now_ms,
        useful_until_ms(ask) - forecast.now_ms,
    )
    outcome.refused.append(refused)
    excess_ms = end_ms - useful_until_ms(ask)
    fail_ask(planner, state, PieceFailure.LATE, outcome, forecast.now_ms, excess_ms)


def _rank(state: AskState) -> tuple[bool, int]:
    # Urgency shifts a request by a bounded time, so that under overload less urgent
    # requests are served less but not starved.
    ask = state.ask
    return not ask.has_started, ask.due_ms + ask.urgency * URGENCY_STEP_MS


def _cannot_meet_deadline(planner: Planner, state: AskState, now_ms: int) -> bool:
    needed_ms = stage_ms(planner, 1, state.ask.result_bytes)
    return now_ms + needed_ms > useful_until_ms(state.ask)


def _fail_asks_without_inputs(planner: Planner, outcome: Outcome, now_ms: int) -> None:
    """Fail the asks with pieces to be made again whose inputs were released."""
    for state in list(planner.asks.values()):
        if state.are_inputs_freed and state.waiting and not state.is_moved:
            fail_ask(planner, state, PieceFailure.INPUT_GONE, outcome, now_ms)


def _expire_asks(planner: Planner, outcome: Outcome, now_ms: int) -> None:
    """Drop asks that are no longer repeated, and fail those without a server."""
    for ask_id, (_, ended_ms) in list(planner.done.items()):
        if now_ms - ended_ms > DONE_TTL_MS:
            del planner.done[ask_id]
    for ask_id, state in list(planner.asks.items()):
        if now_ms - state.heard_ms > ASK_TIMEOUT_MS and not state.is_moved:
            outcome.releases += withdraw(planner, ask_id)
        elif state.is_moved:
            if not state.running and now_ms - state.moved_ms > MOVED_TTL_MS:
                del planner.asks[ask_id]
        elif (
            not planner.servers and now_ms - state.last_served_ms > NO_SERVER_TIMEOUT_MS
        ):
            fail_ask(planner, state, PieceFailure.NO_SERVER, outcome, now_ms)
