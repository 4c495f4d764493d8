"""List the running and kept requests of a process, without inputs and outputs."""

from itertools import islice
from typing import NamedTuple

from bramleyturn.core.entry_state import EntryState


class RequestRow(NamedTuple):
    """Describe one request to an operator.

    ``state`` is ``running`` or ``kept``. ``outcome`` is empty for a running request,
    ``pipeline`` for a kept one, whose pipeline is no longer known. ``age_ms`` counts
    from the arrival of a running request and from the end of a kept one.
    """

    request_id: str
    workspace: str
    pipeline: str
    state: str
    outcome: str
    reason: str
    age_ms: int


def running_rows(state: EntryState, now_ms: int) -> list[RequestRow]:
    """Return the running requests, the oldest first."""
    running = sorted(
        state.requests.values(), key=lambda request: (request.arrived_ms, request.key)
    )
    return [
        RequestRow(
            request_id=request.request_id,
            workspace=request.workspace.name,
            pipeline=request.pipeline.name,
            state="running",
            outcome="",
            reason="",
            age_ms=now_ms - request.arrived_ms,
        )
        for request in running
    ]


def kept_rows(state: EntryState, now_ms: int, max_rows: int) -> list[RequestRow]:
    """Return at most ``max_rows`` kept requests, the newest first."""
    lifetime_ms = state.configuration.limits.kept_outcome_ms
    newest = islice(reversed(state.kept.by_key.items()), max_rows)
    return [
        RequestRow(
            request_id=key.request_id,
            workspace=key.workspace,
            pipeline="",
            state="kept",
            outcome=str(kept.kind),
            reason=kept.reason,
            age_ms=max(0, now_ms - (kept.forget_at_ms - lifetime_ms)),
        )
        for key, kept in newest
    ]
