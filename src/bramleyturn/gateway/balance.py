"""Choose servers of uneven pools, and learn from what their answers show."""

import logging
from collections.abc import Sequence

from bramleyturn.core.balance import state
from bramleyturn.core.balance.choice import choose_evenly, expected_loads, note_paces
from bramleyturn.core.balance.outcomes import (
    MAX_OUTCOME_ID,
    Outcome,
    add_outcomes,
    is_avoided,
)
from bramleyturn.core.balance.speeds import expected_ms, note_said, note_timed
from bramleyturn.core.balance.state import ServerReport, note_report, run_state
from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.catalog.prompt import PromptPart, own_tokens, shared_prefix
from bramleyturn.core.placement.choice import choose_by_prefix
from bramleyturn.core.placement.verdicts import FIRST_SERVER_ERROR
from bramleyturn.core.waiting.first_events import first_event_ms
from bramleyturn.gateway.attempts import Answered, AttemptEnd, Streamed
from bramleyturn.gateway.caller_request import CallerRequest
from bramleyturn.gateway.metrics import count, gauge
from bramleyturn.gateway.serving import Serving
from bramleyturn.platform.answers import STATUS_MISDIRECTED, AnswerHead

logger = logging.getLogger(__name__)


def is_uneven(serving: Serving, pool: str) -> bool:
    """Return whether servers of a pool are chosen by their expected load."""
    return pool in serving.balance.uneven


def choose_in_uneven(
    serving: Serving,
    pool: str,
    servers: Sequence[BackendServer],
    prompt: tuple[PromptPart, ...],
) -> BackendServer | None:
    """Return the server of an uneven pool to try next, None if there is none.

    ``prompt`` is empty for a route without prefix affinity.
    """
    now_ms, balance = serving.now_ms(), serving.balance
    count(serving.metrics, "even_choices", pool)
    if not servers or not shared_prefix(prompt):
        return choose_evenly(balance, servers, serving.random, now_ms)
    loads = expected_loads(balance, servers, now_ms)
    by_id = {server.id: load for server, load in zip(servers, loads, strict=True)}
    return choose_by_prefix(
        servers, prompt, serving.loads, serving.random, now_ms, by_id
    )


def note_request_sent(serving: Serving, server: BackendServer, now_ms: int) -> None:
    """Count a request to a server of an uneven pool."""
    if is_uneven(serving, server.pool):
        state.note_sent(serving.balance, run_name(server), now_ms)


def note_request_ended(serving: Serving, server: BackendServer, sent_ms: int) -> None:
    """Count the end of a request sent at ``sent_ms``."""
    state.note_ended(serving.balance, run_name(server), sent_ms)


def note_answer_load(
    serving: Serving, server: BackendServer, answer: AnswerHead
) -> None:
    """Record the load that an answer names, if its server's pool is uneven."""
    load = answer.load
    if load is None or answer.status == STATUS_MISDIRECTED:
        return
    if load.slowness_percent is not None:
        note_uneven_pool(serving, server.pool, server.id)
    if not is_uneven(serving, server.pool):
        return
    run, balance = run_name(server), serving.balance
    report = ServerReport(load.running, load.waiting, load.slots, serving.now_ms())
    note_report(balance, run, report)
    if load.slowness_percent is not None:
        note_said(run_state(balance, run).pace, load.slowness_percent)


def note_uneven_pool(serving: Serving, pool: str, reporter: str) -> None:
    """Count a pool as uneven from now on; ``reporter`` is who showed that it is."""
    if not state.note_uneven(serving.balance, pool):
        return
    gauge(serving.metrics, "uneven_pools", len(serving.balance.uneven))
    logger.info("pool counts as uneven", extra={"pool": pool, "reporter": reporter})


def note_attempt_end(
    serving: Serving,
    request: CallerRequest,
    server: BackendServer,
    ended: AttemptEnd,
    sent_ms: int,
) -> None:
    """Learn the speed and the errors of a server from the end of an attempt."""
    if not is_uneven(serving, server.pool) or not isinstance(
        ended, Answered | Streamed
    ):
        return
    now_ms = serving.now_ms()
    is_error = ended.head.status >= FIRST_SERVER_ERROR
    outcome_id = serving.random.randrange(MAX_OUTCOME_ID)
    note_outcomes(serving, server, [Outcome(outcome_id, is_error, now_ms)])
    if is_error:
        return
    pace = run_state(serving.balance, run_name(server)).pace
    if isinstance(ended, Answered):
        took_ms = now_ms - sent_ms
        usual_ms = expected_ms(serving.balance.times, server.pool, took_ms)
        note_timed(pace, took_ms, usual_ms)
    elif request.first_event_ms is not None and request.first_event_ms >= sent_ms:
        tokens = own_tokens(request.head.prompt)
        usual_ms = first_event_ms(serving.first_events, server.pool, tokens)
        note_timed(pace, request.first_event_ms - sent_ms, usual_ms)


def note_outcomes(
    serving: Serving, server: BackendServer, outcomes: Sequence[Outcome]
) -> None:
    """Record answers of a server, and log if it is avoided for its errors or not."""
    now_ms, run = serving.now_ms(), run_name(server)
    known = run_state(serving.balance, run).outcomes
    was_avoided = is_avoided(known, now_ms)
    add_outcomes(known, outcomes, now_ms)
    avoided = is_avoided(known, now_ms)
    if avoided == was_avoided:
        return
    if avoided:
        count(serving.metrics, "servers_with_errors", server.pool)
    logger.info(
        "server answers with errors" if avoided else "server answers without errors",
        extra={"server": run, "errors": sum(each.is_error for each in known.values())},
    )


def update_paces(serving: Serving) -> None:
    """Record the learned paces of the servers of uneven pools."""
    for pool in serving.balance.uneven:
        note_paces(serving.balance, serving.ready(pool))


def forget_balance(serving: Serving) -> None:
    """Drop what is known of runs and pools that are no longer registered."""
    balance = serving.balance
    if not balance.uneven and not balance.runs:
        return
    servers = [entry.server for entry in serving.registry.entries.values()]
    state.forget_runs(
        balance,
        frozenset(run_name(server) for server in servers),
        frozenset(server.pool for server in servers),
    )
    gauge(serving.metrics, "uneven_pools", len(balance.uneven))
