"""Run stand-ins for the tests that call them over HTTP."""

from collections.abc import Iterator
from itertools import count
from typing import Any

import pytest

from tests.http_calls import Reply, call
from tests.processes import RunningProcess, running

SETTINGS = """
[server engine]
kind = engine
model = draft
listen = 127.0.0.1:0
service_ms = 10
token_ms = 1
concurrency = 4
queue = 4
load_lag_ms = 0
events_lag_ms = 0
events_gap_every = 3
checks_fencing = yes

[server loose-engine]
kind = engine
model = draft
listen = 127.0.0.1:0
load_lag_ms = 50

[server encoder]
kind = encoder
model = embed
listen = 127.0.0.1:0
service_ms = 2
concurrency = 1
queue = 1

[server retriever]
kind = retriever
model = index
listen = 127.0.0.1:0

[server reranker]
kind = reranker
model = rank
listen = 127.0.0.1:0

[server plain]
kind = plain
model = roster
listen = 127.0.0.1:0
service_ms = 20

[server keyed-1]
kind = plain
model = orders
listen = 127.0.0.1:0
service_ms = 20
recognises_idempotency_key = yes

[server keyed-2]
kind = plain
model = orders
listen = 127.0.0.1:0
recognises_idempotency_key = yes
"""
NUMBERS = count()


class Servers:
    """Call the servers of one stand-in process by name."""

    def __init__(self, process: RunningProcess) -> None:
        self.process = process
        self.addresses = process.addresses

    def get(self, name: str, path: str) -> Any:
        return call(self.addresses[name], "GET", path).document

    def set(self, name: str, **faults: Any) -> None:
        reply = call(self.addresses[name], "POST", "/standin/behaviour", faults)
        assert reply.status == 200, reply.body

    def run(self, name: str, value: Any, **fields: Any) -> Reply:
        path = "/v1/call" if name in ("plain", "keyed-1", "keyed-2") else "/v1/run"
        body = {"attempt_id": new_id(), "input": value, **fields}
        return call(self.addresses[name], "POST", path, body)

    def generate(self, name: str = "engine", **fields: Any) -> Reply:
        path = "/v1/generate"
        return call(self.addresses[name], "POST", path, generate_body(**fields))

    def runs(self, name: str, attempt_id: str) -> list[str]:
        """Return the states of the runs of an attempt."""
        entries = self.get(name, "/standin/ledger")["entries"]
        return [
            entry["state"] for entry in entries if entry["attempt_id"] == attempt_id
        ]


def new_id() -> str:
    return f"attempt-{next(NUMBERS)}"


def generate_body(**fields: Any) -> dict[str, Any]:
    return {
        "attempt_id": new_id(),
        "model": "draft",
        "input": "six paper boats and a lake",
        "max_output_tokens": 32,
        "priority": 0,
        "resume_offset": 0,
        **fields,
    }


@pytest.fixture(scope="session")
def shared_servers(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Servers]:
    folder = tmp_path_factory.mktemp("standins")
    with running("bramleyturn.programs.standin", SETTINGS, folder) as process:
        yield Servers(process)


@pytest.fixture
def servers(shared_servers: Servers) -> Servers:
    """Return running servers with all injected faults reset."""
    for name in shared_servers.addresses:
        shared_servers.set(name, reset=True)
    return shared_servers
