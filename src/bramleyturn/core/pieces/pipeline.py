"""Order the requests that wait for stages, and refuse those that cannot be served.

Load patterns that it answers: a jump in traffic beyond what the slowest stage of a
pipeline can do. Without it, the first stages would go on for requests that are stuck
before a later one, whose results fill the servers' room and expire. Whether a request
can be in time is forecast over all of its stages before its first one begins; what
has begun goes before what has not; what can only be late gets what is left over, and
what cannot be done at all is refused at once with the time to come back. While more
arrives than can be in time, the requests that are worth most go first.
"""

import math
from typing import Final

from bramleyturn.core.pieces.call_results import fail_ask, wait_no_more
from bramleyturn.core.pieces.dispatch import is_begun, serve_in_order
from bramleyturn.core.pieces.model import AskDone, LaterStage, PieceFailure, StageAsk
from bramleyturn.core.pieces.planner import AskState, Outcome, Planner, Refused, submit
from bramleyturn.core.pieces.releases import withdraw
from bramleyturn.core.pieces.stage_server import StageServer, wants_report
from bramleyturn.core.pieces.timing import busy_ms, piece_ms, stage_ms
from bramleyturn.core.waiting.request_worth import (
    UsualSizes,
    least_worth,
    note_size,
    note_worth,
    worth_of,
)

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
# Time over which the work that arrives is averaged.
ARRIVALS_MS: Final = 3_000.0
# Late requests are expected to get this part of the servers' time at least.
LEAST_SPARE: Final = 0.1
# Work arrives as if all calls were full; as many are on average while there is a queue.
FULL_CALLS_PART: Final = 0.77
# A queue this long does not clear with the next calls, which last less each.
SELECTIVE_MS: Final = 300
# At most half of the requests are passed over for being worth little.
MOST_LOAD: Final = 2.0


class Pipeline:
    """Hold the planners of all stage pools by name.

    ``arriving`` has, by pool, the work that arrived of late in milliseconds of the
    whole pool, which fades, and when it was last added to. ``sizes`` has how large the
    requests of each route usually are.
    """

    def __init__(self) -> None:
        self.planners: dict[str, Planner] = {}
        self.arriving: dict[str, tuple[float, int]] = {}
        self.sizes = UsualSizes()


class Forecast:
    """Collect the work that goes before a request, by pool, in milliseconds."""

    def __init__(self, pipeline: Pipeline, now_ms: int) -> None:
        self.now_ms = now_ms
        self.ahead_ms = {
            name: busy_ms(planner, now_ms)
            for name, planner in pipeline.planners.items()
        }
        self.spare = {
            name: max(LEAST_SPARE, 1 - _load(pipeline, name, now_ms))
            for name in pipeline.planners
        }


def take_ask(pipeline: Pipeline, ask: StageAsk, now_ms: int) -> AskDone | None:
    """Take in an ask, or a repetition of one; return its end if it has ended.

    The pool of the ask must have a planner.
    """
    planner = pipeline.planners[ask.pool]
    is_new = ask.ask_id not in planner.asks and ask.ask_id not in planner.done
    done = submit(planner, ask, now_ms)
    if is_new and not ask.has_started:
        state = planner.asks[ask.ask_id]
        note_size(pipeline.sizes, ask.route, ask.size)
        state.worth = worth_of(pipeline.sizes, ask.route, ask.size)
        note_worth(pipeline.sizes, state.worth)
        _note_arriving(pipeline, planner.asks[ask.ask_id], now_ms)
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
        _add_work(pipeline, forecast, state)
    for state in asks:
        if is_begun(state):
            continue
        is_chosen = ask_has_begun(state) or _is_chosen(pipeline, forecast, state)
        if is_chosen and _is_in_time(pipeline, forecast, state):
            _add_work(pipeline, forecast, state)
            in_time.append(state)
        else:
            late.append(state)
    return begun + in_time + _order_late(pipeline, outcomes, forecast, late)


def ask_has_begun(state: AskState) -> bool:
    """Return whether results of the request would be lost if it were late."""
    return state.ask.has_started or is_begun(state)


def _is_chosen(pipeline: Pipeline, forecast: Forecast, state: AskState) -> bool:
    """Return whether a request is worth enough to be in time as long as more arrive.

    While more work arrives than a pool can do and its queue has built up, only as many
    of the requests that use it are to be in time as it can do: those worth most. The
    others get the time that is left over, as if they were late.
    """
    load = 1.0
    queue_ms = 0.0
    for stage in _remaining(state):
        load = max(load, _load(pipeline, stage.pool, forecast.now_ms))
        queue_ms = max(queue_ms, forecast.ahead_ms.get(stage.pool, 0.0))
    if queue_ms < SELECTIVE_MS:
        return True
    return state.worth >= least_worth(pipeline.sizes, min(load, MOST_LOAD))


def _is_in_time(pipeline: Pipeline, forecast: Forecast, state: AskState) -> bool:
    margin_ms = MARGIN_PART * _work_ms(pipeline, state)
    return _finish_ms(pipeline, forecast, state) + margin_ms <= state.ask.due_ms


def _order_late(
    pipeline: Pipeline,
    outcomes: dict[str, Outcome],
    forecast: Forecast,
    late: list[AskState],
) -> list[AskState]:
    served = []
    for state in late:
        ask = state.ask
        planner = pipeline.planners[ask.pool]
        waits_ms = _queue_ms(forecast, state)
        finish_ms = _finish_ms(pipeline, forecast, state, is_late=True)
        has_begun = ask_has_begun(state)
        if finish_ms > ask.deadline_ms and not has_begun:
            over_ms = int(finish_ms - ask.deadline_ms)
            queue_ms = {
                stage.pool: int(forecast.ahead_ms.get(stage.pool, 0.0))
                for stage in _remaining(state)
            }
            refused = Refused(
                ask.attempt_id,
                queue_ms,
                int(finish_ms) - forecast.now_ms,
                ask.deadline_ms - forecast.now_ms,
                round(state.worth, 2),
            )
            outcomes[ask.pool].refused.append(refused)
            fail_ask(
                planner,
                state,
                PieceFailure.LATE,
                outcomes[ask.pool],
                forecast.now_ms,
                over_ms,
            )
            continue
        if state.waiting and _is_hopeless(planner, state, forecast.now_ms):
            outcome = outcomes[ask.pool]
            fail_ask(planner, state, PieceFailure.LATE, outcome, forecast.now_ms)
            continue
        _add_work(pipeline, forecast, state)
        if has_begun or waits_ms <= planner.limits.keep_ms * HELD_PART:
            served.append(state)
    return served


def _rank(state: AskState) -> tuple[bool, int]:
    # Urgency moves a request forward by a bounded time, so that the less urgent kinds
    # are served less at worst load but not starved.
    ask = state.ask
    return not ask.has_started, ask.due_ms + ask.urgency * URGENCY_MS


def _remaining(state: AskState) -> tuple[LaterStage, ...]:
    ask = state.ask
    own = LaterStage(ask.pool, len(state.waiting), ask.result_bytes)
    return (own, *ask.later)


def _finish_ms(
    pipeline: Pipeline, forecast: Forecast, state: AskState, is_late: bool = False
) -> float:
    """Return when the last stage of a request is expected to be done.

    A stage begins when the one before it is done and the pool has done what goes
    before. A late request only gets the time that new requests leave over.
    """
    elapsed_ms = 0.0
    for stage in _remaining(state):
        planner = pipeline.planners.get(stage.pool)
        if planner is None or not stage.piece_count:
            continue
        queue_ms = forecast.ahead_ms.get(stage.pool, 0.0)
        if is_late:
            queue_ms /= FULL_CALLS_PART * forecast.spare.get(stage.pool, 1.0)
        own_ms = stage_ms(planner, stage.piece_count, stage.result_bytes)
        elapsed_ms = max(elapsed_ms, queue_ms) + own_ms
    return forecast.now_ms + elapsed_ms


def _queue_ms(forecast: Forecast, state: AskState) -> float:
    """Return how long the request waits for the stage that is the most behind."""
    return max(
        (forecast.ahead_ms.get(stage.pool, 0.0) for stage in _remaining(state)),
        default=0.0,
    )


def _note_arriving(pipeline: Pipeline, state: AskState, now_ms: int) -> None:
    for stage in _remaining(state):
        planner = pipeline.planners.get(stage.pool)
        if planner is not None:
            added_ms = piece_ms(planner, stage.result_bytes) * stage.piece_count
            before_ms = _arriving_ms(pipeline, stage.pool, now_ms)
            pipeline.arriving[stage.pool] = (before_ms + added_ms, now_ms)


def _arriving_ms(pipeline: Pipeline, pool: str, now_ms: int) -> float:
    work_ms, at_ms = pipeline.arriving.get(pool, (0.0, now_ms))
    return work_ms * math.exp((at_ms - now_ms) / ARRIVALS_MS)


def _load(pipeline: Pipeline, pool: str, now_ms: int) -> float:
    """Return the work that arrives for a pool as a part of what it can do."""
    return _arriving_ms(pipeline, pool, now_ms) / ARRIVALS_MS / FULL_CALLS_PART


def _work_ms(pipeline: Pipeline, state: AskState) -> float:
    """Return the nominal time of what is left of a request."""
    return sum(
        stage_ms(pipeline.planners[stage.pool], stage.piece_count, stage.result_bytes)
        for stage in _remaining(state)
        if stage.pool in pipeline.planners and stage.piece_count
    )


def _add_work(pipeline: Pipeline, forecast: Forecast, state: AskState) -> None:
    for stage in _remaining(state):
        planner = pipeline.planners.get(stage.pool)
        if planner is not None:
            added_ms = piece_ms(planner, stage.result_bytes) * stage.piece_count
            forecast.ahead_ms[stage.pool] += added_ms


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
