"""Encode a request for the status of a backend server and read its answer."""

import re
from collections.abc import Iterable
from typing import Any, Final

from bramleyturn.platform.answers import STATUS_MISDIRECTED, Headers
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.fields import read_object, text_field
from bramleyturn.platform.stage_calls import REPORT_TARGET

TARGET_PATTERN: Final = re.compile(r"/[!-~]*")
INSTANCE_ID: Final = b"bramleyturn-instance-id"


def status_target(service: dict[str, Any]) -> str | None:
    """Return the target at which the servers of a service tell their status, if any.

    Only engines and stage servers have a report, which does not wait for a slot.
    """
    if "engine" in service or "pieces" in service:
        return REPORT_TARGET
    path = text_field(service, "healthPath") or ""
    return path if TARGET_PATTERN.fullmatch(path) else None


def may_wait_for_slot(target: str) -> bool:
    """Return whether a busy server may leave a request for its status unanswered."""
    return target != REPORT_TARGET


def reported_start_ms(body: bytes) -> int | None:
    """Return the Unix time of the server's start that its status names, if any."""
    document = read_object("status", body)
    if isinstance(document, Malformed):
        return None
    started_ms = document.get("born")
    return started_ms if type(started_ms) is int and started_ms > 0 else None


def status_headers(server_id: str) -> Headers:
    """Return the headers of a request for the status of one server only."""
    return [(b"Bramleyturn-Expected-Instance", server_id.encode())]


def is_answer_of_other_server(
    status: int, headers: Iterable[tuple[bytes, bytes]], server_id: str
) -> bool:
    """Return whether another server has taken the address, whatever its status."""
    answered_id = dict(headers).get(INSTANCE_ID, server_id.encode())
    return status == STATUS_MISDIRECTED or answered_id != server_id.encode()
