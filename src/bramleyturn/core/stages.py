"""Start the stages of a request as their predecessors answer."""

from typing import Final

import orjson

from bramleyturn.core.actions import Action
from bramleyturn.core.attempts import size_of_stage, start_attempt, wait_for_server
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.permission import ask_permission, is_allowed, ticket_record
from bramleyturn.core.progress import (
    RunningRequest,
    StageProgress,
    StageState,
    ready_stages,
    stage_input,
)
from bramleyturn.core.routing import ChoiceRequest, NoServer
from bramleyturn.core.ticket_primary import StageState as PermissionState
from bramleyturn.core.ticket_primary import find_stage

NO_PERMISSION: Final = "ticket_refused"


def start_ready_stages(
    state: EntryState, request: RunningRequest, now_ms: int
) -> list[Action]:
    """Start every stage that waits for no other one."""
    actions: list[Action] = []
    for progress in ready_stages(request):
        actions += start_stage(state, request, progress, now_ms)
    return actions


def start_stage(
    state: EntryState, request: RunningRequest, progress: StageProgress, now_ms: int
) -> list[Action]:
    """Start a stage, or first ask for permission to run it.

    A stage that may not be repeated and has no permission is not started: the caller
    of this function ends the request when ``refused_reason`` returns a reason.
    """
    if progress.stage.repeatable:
        return start_attempt(state, request, progress, now_ms)
    permission = permission_state(state, request, progress.stage.name)
    if permission is PermissionState.ALLOWED:
        return start_attempt(state, request, progress, now_ms)
    if permission is not None:
        return []
    return ask_for_stage(state, request, progress, now_ms)


def ask_for_stage(
    state: EntryState, request: RunningRequest, progress: StageProgress, now_ms: int
) -> list[Action]:
    """Choose the backend server for a stage and ask for permission to run it."""
    encoded = orjson.dumps(stage_input(request, progress.stage))
    chosen = state.choose(
        state.routing,
        ChoiceRequest(
            pool=progress.stage.pool,
            size_tokens=size_of_stage(progress.stage, encoded),
            prefix="",
            excluded=frozenset(),
            alone=False,
        ),
        now_ms,
        state.random,
    )
    if isinstance(chosen, NoServer):
        return wait_for_server(state, request, progress, chosen.retry_after_ms, now_ms)
    progress.state = StageState.AWAITING_INTENT
    progress.intended_server = chosen.server.name
    actions = ask_permission(state, request, progress, chosen.server.name, now_ms)
    if is_allowed(state, request, progress.stage.name, now_ms):
        return start_attempt(state, request, progress, now_ms)
    return actions


def permission_state(
    state: EntryState, request: RunningRequest, stage_name: str
) -> PermissionState | None:
    """Return the state of a stage's permission, None if it was not asked for."""
    found = ticket_record(state, request)
    if found is None:
        return None
    stage = find_stage(found, stage_name)
    return stage.state if stage is not None else None


def refused_reason(
    state: EntryState, request: RunningRequest, stage_name: str
) -> str | None:
    """Return why a stage may not run, None if it may or that is undecided."""
    found = ticket_record(state, request)
    if found is None:
        return NO_PERMISSION
    stage = find_stage(found, stage_name)
    if stage is None or stage.state is not PermissionState.REFUSED:
        return None
    return stage.reason


def retry_waiting(state: EntryState, pool: str, now_ms: int) -> list[Action]:
    """Offer a freed backend server to the stage with the nearest deadline."""
    waiting = state.waiting_for_server.get(pool)
    while waiting:
        key, stage_name = min(waiting, key=waiting.__getitem__)
        del waiting[key, stage_name]
        request = state.requests.get(key)
        if request is None:
            continue
        progress = request.stages[stage_name]
        if progress.state is StageState.AWAITING_SERVER:
            return start_stage(state, request, progress, now_ms)
    return []
