"""Believe what servers say of themselves in their answers.

A server that says that it leaves is bound to end, whatever the store has about it. One
that refuses a request may name a time for which it wants nothing from this instance.
"""

import logging

from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.catalog.server_registry import note_announced
from bramleyturn.core.placement.server_pauses import note_accepted, note_pause
from bramleyturn.gateway.calls import STATUS_OK, CallFailed, WholeAnswer
from bramleyturn.gateway.cold_servers import note_cold_answer
from bramleyturn.gateway.metrics import count, gauge
from bramleyturn.gateway.server_limits import longest_wait_ms, note_answer
from bramleyturn.gateway.serving import Serving, notify_servers_changed
from bramleyturn.platform.answers import (
    STATUS_MISDIRECTED,
    AnswerHead,
    read_answer_head,
)

logger = logging.getLogger(__name__)


def note_head(serving: Serving, server: BackendServer, answer: AnswerHead) -> None:
    """Record whether a server leaves, and the time that its refusal names."""
    if answer.status == STATUS_MISDIRECTED:
        # Of another server, which has the address now.
        return
    note_cold_answer(serving, server, answer.cold_ms)
    if answer.is_leaving:
        _note_leaving(serving, server, answer.status)
    if answer.pause_ms:
        _note_pause(serving, server, answer.pause_ms)
    elif answer.is_pause_malformed:
        count(serving.metrics, "server_pauses_malformed", server.pool)
        logger.info("time to return malformed", extra={"server": server.id})


def note_call_answer(
    serving: Serving, server: BackendServer, answer: WholeAnswer | CallFailed
) -> None:
    """Record what the answer to a call says of its server."""
    if isinstance(answer, CallFailed):
        return
    head = read_answer_head(answer.status, answer.headers)
    note_head(serving, server, head)
    if head.limit_per_s is not None or answer.status == STATUS_OK:
        note_answer(serving, server, head.limit_per_s)


def note_request_accepted(
    serving: Serving, server: BackendServer, sent_ms: int
) -> None:
    """End the pause of a server that accepted a request sent at ``sent_ms``."""
    pauses = serving.server_pauses
    if note_accepted(pauses, run_name(server), sent_ms):
        gauge(serving.metrics, "server_pauses", len(pauses.by_run))
        logger.info("server accepts requests again", extra={"server": run_name(server)})


def _note_leaving(serving: Serving, server: BackendServer, status: int) -> None:
    if not note_announced(serving.registry, server):
        return
    count(serving.metrics, "servers_leaving_announced", server.pool)
    logger.info(
        "server said that it leaves",
        extra={"server": run_name(server), "status": status},
    )
    notify_servers_changed(serving)


def _note_pause(serving: Serving, server: BackendServer, pause_ms: int) -> None:
    pauses = serving.server_pauses
    is_new = note_pause(
        pauses,
        run_name(server),
        pause_ms,
        longest_wait_ms(serving),
        serving.random,
        serving.now_ms(),
    )
    count(serving.metrics, "server_pauses_named", server.pool)
    gauge(serving.metrics, "server_pauses", len(pauses.by_run))
    if is_new:
        logger.info(
            "server wants no requests",
            extra={"server": run_name(server), "pause_ms": pause_ms},
        )
