"""Admit requests within their workspace's spending budget and charge them."""

from typing import Final

from bramleyturn.core.cost import attempt_cost_micros
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.gossip import log_change
from bramleyturn.core.model import PoolKind
from bramleyturn.core.outcomes import Outcome, not_run
from bramleyturn.core.progress import RunningRequest
from bramleyturn.core.spend import (
    HORIZON_MS,
    PERIOD_MS,
    SLOT_MS,
    may_spend,
    record_spend,
    reserve_spend,
    settle_spend,
    spent,
)

BUDGET_SPENT: Final = "budget_spent"


def reserve_budget(
    state: EntryState, request: RunningRequest, now_ms: int
) -> Outcome | None:
    """Reserve the price of a request, or return why the budget does not allow it."""
    workspace = request.workspace
    budget_micros = workspace.budget_micros_per_hour
    if not budget_micros:
        return None
    micros = expected_micros(state, request)
    if not may_spend(state.spend, workspace.name, budget_micros, micros, now_ms):
        return not_run(BUDGET_SPENT, _retry_after_ms(state, request, micros, now_ms))
    reserve_spend(state.spend, workspace.name, micros)
    request.reserved_micros = micros
    return None


def charge_budget(
    state: EntryState, request: RunningRequest, micros: int, now_ms: int
) -> None:
    """Charge what an attempt cost, first against its request's reservation."""
    workspace = request.workspace
    if not workspace.budget_micros_per_hour or micros <= 0:
        return
    reserved_micros = min(request.reserved_micros, micros)
    request.reserved_micros -= reserved_micros
    settle_spend(state.spend, workspace.name, reserved_micros, 0, now_ms)
    record_spend(state.spend, workspace.name, micros, now_ms)
    log_change(state.gossip.spend, (workspace.name, now_ms // SLOT_MS))


def release_budget(state: EntryState, request: RunningRequest, now_ms: int) -> None:
    """Release the unspent part of a request's reservation."""
    if request.reserved_micros:
        name = request.workspace.name
        settle_spend(state.spend, name, request.reserved_micros, 0, now_ms)
        request.reserved_micros = 0


def expected_micros(state: EntryState, request: RunningRequest) -> int:
    """Return the price of a request whose stages each take one attempt."""
    total = 0
    for stage in request.pipeline.stages:
        pool = state.configuration.pools.get(stage.pool)
        if pool is None:
            continue
        tokens = stage.max_output_tokens if pool.kind is PoolKind.ENGINE else 0
        total += attempt_cost_micros(pool, tokens)
    return total


def _retry_after_ms(
    state: EntryState, request: RunningRequest, micros: int, now_ms: int
) -> int:
    # The local share grows when peers report; the budget only frees up when old
    # slots expire.
    name = request.workspace.name
    budget_micros = request.workspace.budget_micros_per_hour
    if spent(state.spend, name, now_ms) + micros <= budget_micros:
        return HORIZON_MS
    began = [
        slot.began_ms
        for key, slot in state.spend.counters.items()
        if key.workspace == name
    ]
    oldest_ms = min(began, default=now_ms)
    return max(HORIZON_MS, oldest_ms + SLOT_MS + PERIOD_MS - now_ms)
