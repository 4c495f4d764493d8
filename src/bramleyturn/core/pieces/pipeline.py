"""Order the requests that wait for stages, and refuse those that cannot be served.

Load patterns that it answers: a jump in traffic beyond what the slowest stage of a
pipeline can do. Without it, the first stages would go on for requests that are stuck
before a later one, whose results fill the servers' room and expire. Whether a request
can be in time is forecast over all of its stages before its first one begins; what
has begun goes before what has not; what can only be late gets what is left over, and
what cannot be done at all is refused at once with the time to come back.
"""

from typing import Final

from bramleyturn.core.pieces.call_results import fail_ask, wait_no_more
from bramleyturn.core.pieces.dispatch import is_begun, serve_in_order
from bramleyturn.core.pieces.forecast import (
    Forecast,
    add_work,
    expected_finish_ms,
    longest_queue_ms,
    note_arriving,
    stages_left,
    work_left_ms,
)
from bramleyturn.core.pieces.model import AskDone, PieceFailure, StageAsk
from bramleyturn.core.pieces.planner import (
    AskState,
    Outcome,
    Pipeline,
    Planner,
    Refused,
    submit,
)
from bramleyturn.core.pieces.releases import withdraw
from bramleyturn.core.pieces.stage_server import StageServer, wants_report
from bramleyturn.core.pieces.timing import stage_ms

# Without a server for this long, what waits is told so.
NO_SERVER_MS: Final = 1_500
# Asks that were not repeated by their instance for this long are dropped.
FORGET_ASK_MS: Final = 2_000
# Finished asks are remembered so that a repeated question gets the same answer.
KEEP_DONE_MS: Final = 3_000
# Part of the time for which results are kept that a late request may wait for a later
# stage once it has begun.
HELD_PART: Final = 0.4
# What is forecast to end this short before its time counts as late: calls last longer
# than their nominal time by the way to the server and by the pieces that join them.
MARGIN_PART: Final = 0.15
# How much earlier a request is due for each step of its urgency. The longest bias
# between the kinds of one workspace stays below the usual aim of a pipeline.
URGENCY_MS: Final = 100


def take_ask(pipeline: Pipeline, ask: StageAsk, now_ms: int) -> AskDone | None:
    """Take in an ask, or a repetition of one; return its end if it has ended.

    The pool of the ask must have a planner.
    """
    planner = pipeline.planners[ask.pool]
    is_new = ask.ask_id not in planner.asks and ask.ask_id not in planner.done
    done = submit(planner, ask, now_ms)
    if is_new and not ask.has_started:
        note_arriving(pipeline, planner.asks[ask.ask_id], now_ms)
    return done


def plan(pipeline: Pipeline, now_ms: int) -> dict[str, Outcome]:
    """Return the calls to make now and the asks that end without them, by pool."""
    outcomes = {name: Outcome() for name in pipeline.planners}
    for name, planner in pipeline.planners.items():
        wait_no_more(planner, now_ms)
        _forget(planner, outcomes[name], now_ms)
    order = _order(pipeline, outcomes, now_ms)
    for name, planner in pipeline.planners.items():
        own = [state for state in order if state.ask.pool == name]
        serve_in_order(planner, own, outcomes[name], now_ms)
    return outcomes


def reports_wanted(
    pipeline: Pipeline, now_ms: int
) -> list[tuple[Planner, StageServer]]:
    """Return the servers to ask for their room while any stage has work.

    Pools that nothing waits for are among them: a request is only begun if its later
    stages are expected to serve it.
    """
    planners = pipeline.planners.values()
    if not any(planner.asks for planner in planners):
        return []
    return [
        (planner, state)
        for planner in planners
        for state in planner.servers.values()
        if wants_report(state, now_ms)
    ]


def _order(
    pipeline: Pipeline, outcomes: dict[str, Outcome], now_ms: int
) -> list[AskState]:
    """Return the asks that may be served now in their order; refuse the hopeless."""
    asks = [
        state
        for planner in pipeline.planners.values()
        for state in planner.asks.values()
        if not state.is_moved
    ]
    asks.sort(key=_rank)
    forecast = Forecast(pipeline, now_ms)
    in_time: list[AskState] = []
    late: list[AskState] = []
    begun = [state for state in asks if is_begun(state)]
    for state in begun:
        add_work(pipeline, forecast, state)
    for state in asks:
        if is_begun(state):
            continue
        if _is_in_time(pipeline, forecast, state):
            add_work(pipeline, forecast, state)
            in_time.append(state)
        else:
            late.append(state)
    return begun + in_time + _order_late(pipeline, outcomes, forecast, late)


def ask_has_begun(state: AskState) -> bool:
    """Return whether results of the request would be lost if it were late."""
    return state.ask.has_started or is_begun(state)


def _is_in_time(pipeline: Pipeline, forecast: Forecast, state: AskState) -> bool:
    margin_ms = MARGIN_PART * work_left_ms(pipeline, state)
    return expected_finish_ms(pipeline, forecast, state) + margin_ms <= state.ask.due_ms


def _order_late(
    pipeline: Pipeline,
    outcomes: dict[str, Outcome],
    forecast: Forecast,
    late: list[AskState],
) -> list[AskState]:
    served = []
    now_ms = forecast.now_ms
    for state in late:
        ask = state.ask
        planner = pipeline.planners[ask.pool]
        outcome = outcomes[ask.pool]
        waits_ms = longest_queue_ms(forecast, state)
        end_ms = expected_finish_ms(pipeline, forecast, state, is_late=True)
        if end_ms > ask.deadline_ms and not ask_has_begun(state):
            _refuse(planner, forecast, state, int(end_ms), outcome)
            continue
        if state.waiting and _is_hopeless(planner, state, now_ms):
            fail_ask(planner, state, PieceFailure.LATE, outcome, now_ms)
            continue
        add_work(pipeline, forecast, state)
        if ask_has_begun(state) or waits_ms <= planner.limits.result_ttl_ms * HELD_PART:
            served.append(state)
    return served


def _refuse(
    planner: Planner,
    forecast: Forecast,
    state: AskState,
    end_ms: int,
    outcome: Outcome,
) -> None:
    """Refuse a request that would end too late; it may come back by then."""
    ask = state.ask
    refused = Refused(
        ask.attempt_id,
        {
            stage.pool: int(forecast.ahead_ms.get(stage.pool, 0.0))
            for stage in stages_left(state)
        },
        end_ms - forecast.now_ms,
        ask.deadline_ms - forecast.now_ms,
    )
    outcome.refused.append(refused)
    over_ms = end_ms - ask.deadline_ms
    fail_ask(planner, state, PieceFailure.LATE, outcome, forecast.now_ms, over_ms)


def _rank(state: AskState) -> tuple[bool, int]:
    # Urgency moves a request forward by a bounded time, so that the less urgent kinds
    # are served less at worst load but not starved.
    ask = state.ask
    return not ask.has_started, ask.due_ms + ask.urgency * URGENCY_MS


def _is_hopeless(planner: Planner, state: AskState, now_ms: int) -> bool:
    needed_ms = stage_ms(planner, 1, state.ask.result_bytes)
    return now_ms + needed_ms > state.ask.deadline_ms


def _forget(planner: Planner, outcome: Outcome, now_ms: int) -> None:
    """Drop what nobody asks for any more, and fail what has no server."""
    for ask_id, (_, ended_ms) in list(planner.done.items()):
        if now_ms - ended_ms > KEEP_DONE_MS:
            del planner.done[ask_id]
    for ask_id, state in list(planner.asks.items()):
        if now_ms - state.heard_ms > FORGET_ASK_MS and not state.is_moved:
            outcome.releases += withdraw(planner, ask_id)
        elif state.is_moved and not state.running:
            del planner.asks[ask_id]
        elif state.is_moved:
            continue
        elif not planner.servers and now_ms - state.served_since_ms > NO_SERVER_MS:
            fail_ask(planner, state, PieceFailure.NO_SERVER, outcome, now_ms)
