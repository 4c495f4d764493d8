"""Encode a request for the status of a backend server and read its answer."""

import re
from collections.abc import Iterable
from typing import Any, Final

from bramleyturn.platform.answers import STATUS_MISDIRECTED, Headers
from bramleyturn.platform.fields import text_field
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


def status_headers(server_id: str) -> Headers:
    """Return the headers of a request for the status of one server only."""
    return [(b"Bramleyturn-Expected-Instance", server_id.encode())]


def is_answer_of_other_server(
    status: int, headers: Iterable[tuple[bytes, bytes]], server_id: str
) -> bool:
    """Return whether another server has taken the address, whatever its status."""
    answered_id = dict(headers).get(INSTANCE_ID, server_id.encode())
    return status == STATUS_MISDIRECTED or answered_id != server_id.encode()
