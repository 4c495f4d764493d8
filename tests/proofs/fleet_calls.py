"""Send requests to a running fleet and inject faults into its servers and links."""

import http.client
import json
from collections import Counter
from typing import Any, Final

from bramleyturn.bench.expected import Expected, expect
from bramleyturn.bench.targets import Targets, read_targets
from bramleyturn.standin.answers import input_digest
from scripts.fleet import FAULT_PROXY, Fleet, description_path, put_json, workspace_key
from tests.http_calls import CALL_LIMIT_S, Reply, call, receive

DEADLINE_MS: Final = 8_000


def start_request(
    fleet: Fleet,
    entry: str,
    pipeline: str,
    value: Any,
    *,
    workspace: str = "lessons",
    request_id: str = "",
    ticket: str = "",
    deadline_ms: int = DEADLINE_MS,
) -> http.client.HTTPConnection:
    """Send a request to an entry; ``receive`` reads its answer."""
    headers = {
        "Authorization": f"Bearer {workspace_key(workspace)}",
        "Content-Type": "application/json",
        "Bramleyturn-Deadline-Ms": str(deadline_ms),
        **({"Bramleyturn-Request-Id": request_id} if request_id else {}),
        **({"Bramleyturn-Ticket": ticket} if ticket else {}),
    }
    connection = http.client.HTTPConnection(
        fleet.addresses[entry], timeout=CALL_LIMIT_S
    )
    path = f"/v1/pipelines/{pipeline}/requests"
    connection.request("POST", path, json.dumps({"input": value}), headers)
    return connection


def send_request(
    fleet: Fleet, entry: str, pipeline: str, value: Any, **options: Any
) -> Reply:
    """Send a request to an entry and return the answer."""
    connection = start_request(fleet, entry, pipeline, value, **options)
    try:
        return receive(connection)
    finally:
        connection.close()


def new_ticket(fleet: Fleet, entry: str, pipeline: str, workspace: str) -> str:
    """Return a fresh ticket."""
    connection = http.client.HTTPConnection(
        fleet.addresses[entry], timeout=CALL_LIMIT_S
    )
    headers = {"Authorization": f"Bearer {workspace_key(workspace)}"}
    document = json.dumps({"pipeline": pipeline})
    connection.request("POST", "/v1/tickets", document, headers)
    try:
        return str(receive(connection).document["ticket"])
    finally:
        connection.close()


def fetch_outcome(fleet: Fleet, entry: str, request_id: str, workspace: str) -> Reply:
    """Fetch the outcome of a request from an entry."""
    connection = http.client.HTTPConnection(
        fleet.addresses[entry], timeout=CALL_LIMIT_S
    )
    headers = {"Authorization": f"Bearer {workspace_key(workspace)}"}
    connection.request("GET", f"/v1/requests/{request_id}", headers=headers)
    try:
        return receive(connection)
    finally:
        connection.close()


def load_targets(fleet: Fleet) -> Targets:
    """Return the targets that the load tool reads of the fleet."""
    found = read_targets(description_path(fleet))
    assert isinstance(found, Targets), found
    return found


def expected(fleet: Fleet, pipeline: str, value: Any) -> Expected:
    """Return the correct answer to a request and the calls that it must cause."""
    return expect(load_targets(fleet).configuration, pipeline, value)


def servers_of(fleet: Fleet, pool: str) -> list[str]:
    """Return the names of the servers of a pool."""
    return [server.name for server in fleet.servers if server.pool == pool]


def set_behaviour(fleet: Fleet, server: str, **fields: Any) -> None:
    """Change how a backend server behaves."""
    reply = call(fleet.addresses[server], "POST", "/standin/behaviour", fields)
    assert reply.status == 200, reply


def set_link(fleet: Fleet, server: str, **fields: Any) -> None:
    """Change the link over which the entries reach a backend server."""
    put_json(f"http://{fleet.addresses[FAULT_PROXY]}/links/{server}", fields)


def heal(fleet: Fleet) -> None:
    """Remove the faults of all links and servers."""
    for server in fleet.servers:
        if fleet.server_links:
            set_link(fleet, server.name, reset=True)
        set_behaviour(fleet, server.name, reset=True)


def ledger(fleet: Fleet, server: str) -> list[dict[str, Any]]:
    """Return the ledger entries of a backend server, one for each call it ran."""
    reply = call(fleet.addresses[server], "GET", "/standin/ledger")
    entries: list[dict[str, Any]] = reply.document["entries"]
    return entries


def runs_of(fleet: Fleet, value: Any) -> Counter[str]:
    """Count the runs whose own input was ``value``, by server."""
    digest = input_digest(value)
    return Counter(
        server.name
        for server in fleet.servers
        for entry in ledger(fleet, server.name)
        if entry["input_digest"] == digest
    )
