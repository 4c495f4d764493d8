"""Call the operators' and callers' routes of a fleet from tests."""

import json
from typing import Any

from scripts.fleet import OPERATORS, workspace_key
from tests.http_calls import Reply, connect, receive

OPERATORS_KEY = workspace_key(OPERATORS)


def operate(
    address: str,
    path: str,
    key: str = OPERATORS_KEY,
    document: Any = None,
    method: str = "",
) -> Reply:
    """Call a route with the operators' key; with ``document`` as a POST."""
    body = None if document is None else json.dumps(document).encode()
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    return send_raw(
        address, method or ("POST" if body is not None else "GET"), path, body, headers
    )


def send_raw(
    address: str, method: str, path: str, body: bytes | None, headers: dict[str, str]
) -> Reply:
    """Make one call with a raw body, which need not be JSON."""
    connection = connect(address)
    try:
        connection.request(method, path, body, headers)
        return receive(connection)
    finally:
        connection.close()


def send_request(
    address: str, workspace: str, pipeline: str, given: Any, **headers: str
) -> Reply:
    """Send a caller's request; underscores in ``headers`` stand for hyphens."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return send_raw(
        address,
        "POST",
        f"/v1/pipelines/{pipeline}/requests",
        json.dumps({"input": given}).encode(),
        {"Authorization": f"Bearer {workspace_key(workspace)}", **named},
    )
