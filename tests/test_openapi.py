"""Test that the OpenAPI documents tell the truth about running processes."""

import json
from collections.abc import Iterator
from random import Random
from typing import Any

import pytest
from klein import Klein
from twisted.internet.task import Clock as Reactor

from bramleyturn.core.entry_state import entry_state
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.programs.entry import add_routes, empty_configuration
from bramleyturn.runtime.admin_api import admin_api
from bramleyturn.runtime.admin_gather import AdminLoop
from bramleyturn.runtime.entry_loop import EntryLoop
from bramleyturn.runtime.lifecycle import ShutdownHooks, new_lifecycle
from bramleyturn.runtime.system_clock import system_clock
from scripts.fleet import Fleet, FleetPlan, workspace_key
from tests.http_calls import Reply, wait_until
from tests.openapi_check import (
    Described,
    check_reply,
    described_operations,
    served_operations,
)
from tests.operators import operate, send_raw

ENTRY, ADMIN = "entry-duluth-1", "admin-duluth-1"
MAX_BODY_BYTES = 4_096
TIGHT = f"""
[limits]
max_body_bytes = {MAX_BODY_BYTES}
[workspace newsletter]
rate_per_s = 1
burst = 1
"""
DRAFT = "/v1/pipelines/craft-idea/requests"
SIGN_UP = "/v1/pipelines/roster-signup/requests"
BODY = json.dumps({"input": {"text": "Consider the lilies"}}).encode()
TOO_LARGE = json.dumps({"input": "x" * MAX_BODY_BYTES}).encode()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    plan = FleetPlan(
        tmp_path_factory.mktemp("openapi"),
        zones=("duluth",),
        admins=True,
        extra_files={"60-tight.ini": TIGHT},
    )
    with Fleet(plan) as started:
        admin = started.addresses[ADMIN]
        wait_until(
            lambda: (
                operate(admin, "/readyz").status == 200
                and not operate(admin, "/v1/status").document["problems"]
            ),
            "the admin has the fleet",
        )
        yield started


@pytest.fixture(scope="module")
def callers() -> Described:
    return Described("callers")


@pytest.fixture(scope="module")
def admin() -> Described:
    return Described("admin")


def ask(
    fleet: Fleet,
    described: Described,
    operation: str,
    body: bytes | None = None,
    key: str = "lessons",
    **headers: str,
) -> Reply:
    """Make a call such as ``POST /v1/tickets`` and check its answer."""
    method, target = operation.split(" ")
    name = ADMIN if described.document["info"]["title"].endswith("admin") else ENTRY
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    if key:
        named["Authorization"] = f"Bearer {workspace_key(key)}"
    reply = send_raw(fleet.addresses[name], method, target, body, named)
    check_reply(described, method, target, reply)
    return reply


class TestRoutes:
    def test_of_an_entry(self, callers: Described) -> None:
        state = entry_state(
            "entry",
            "duluth",
            ProcessRef("127.0.0.1:1", "one"),
            empty_configuration(),
            Random(1),
            0,
        )
        peers: Any = None
        loop = EntryLoop(Reactor(), system_clock(), state, peers)
        app = Klein()
        ending = ShutdownHooks(drain=lambda: None, end=lambda: None)
        add_routes(loop, app, new_lifecycle(ending), "127.0.0.1:2")
        assert served_operations(app) == described_operations(callers.document)

    def test_of_an_admin(self, admin: Described) -> None:
        loop = AdminLoop(
            Reactor(), system_clock(), "duluth", "127.0.0.1:2", empty_configuration()
        )
        served = served_operations(admin_api(loop))
        assert served == described_operations(admin.document)


class TestCallers:
    @pytest.mark.parametrize(
        ("operation", "status", "body", "key", "headers"),
        [
            (f"POST {DRAFT}", 200, BODY, "lessons", {}),
            (f"POST {DRAFT}", 400, b"{", "lessons", {}),
            (f"POST {DRAFT}", 400, b"[]", "lessons", {}),
            (f"POST {DRAFT}", 400, BODY, "lessons", {"Bramleyturn_Deadline_Ms": "x"}),
            (f"POST {DRAFT}", 400, BODY, "lessons", {"Bramleyturn_Request_Id": "/"}),
            (f"POST {DRAFT}", 401, BODY, "", {}),
            (f"POST {DRAFT}", 401, BODY, "nobody", {}),
            (f"POST {DRAFT}", 413, TOO_LARGE, "lessons", {}),
            ("POST /v1/pipelines/none/requests", 404, BODY, "lessons", {}),
            (f"POST {SIGN_UP}", 428, BODY, "rosters", {}),
            (f"POST {SIGN_UP}", 409, BODY, "rosters", {"Bramleyturn_Ticket": "old"}),
            ("POST /v1/tickets", 400, b"{", "rosters", {}),
            ("POST /v1/tickets", 400, b"{}", "rosters", {}),
            ("POST /v1/tickets", 401, b"{}", "", {}),
            ("POST /v1/tickets", 404, b'{"pipeline": "none"}', "rosters", {}),
            ("POST /v1/tickets", 413, TOO_LARGE, "rosters", {}),
            ("POST /v1/tickets", 200, b'{"pipeline": "roster-signup"}', "rosters", {}),
            ("GET /v1/requests/none", 404, None, "lessons", {}),
            ("GET /v1/requests/none", 401, None, "", {}),
            ("POST /peer/v1/message", 403, b"{}", "", {"Bramleyturn_Mac": "no"}),
            ("GET /healthz", 200, None, "", {}),
            ("GET /readyz", 200, None, "", {}),
            ("GET /v1/openapi.json", 200, None, "", {}),
        ],
    )
    def test_answer_is_as_described(
        self,
        fleet: Fleet,
        callers: Described,
        operation: str,
        status: int,
        body: bytes | None,
        key: str,
        headers: dict[str, str],
    ) -> None:
        reply = ask(fleet, callers, operation, body, key, **headers)
        assert reply.status == status, reply.body

    def test_a_whole_ticket(self, fleet: Fleet, callers: Described) -> None:
        needed = ask(fleet, callers, f"POST {SIGN_UP}", BODY, "rosters")
        ticket = {"Bramleyturn_Ticket": needed.document["ticket"]}
        answer = ask(fleet, callers, f"POST {SIGN_UP}", BODY, "rosters", **ticket)
        assert answer.status == 200
        request_id = answer.document["request_id"]
        kept = ask(fleet, callers, f"GET /v1/requests/{request_id}", key="rosters")
        assert kept.document == answer.document
        other = ask(fleet, callers, f"GET /v1/requests/{request_id}", key="lessons")
        assert other.status == 404

    def test_a_limit(self, fleet: Fleet, callers: Described) -> None:
        def is_limited() -> bool:
            reply = ask(fleet, callers, f"POST {DRAFT}", BODY, "newsletter")
            return reply.status == 429

        wait_until(is_limited, "the rate limit")

    def test_a_deadline_that_cannot_be_met(
        self, fleet: Fleet, callers: Described
    ) -> None:
        headers = {"Bramleyturn_Deadline_Ms": "1"}
        reply = ask(fleet, callers, f"POST {DRAFT}", BODY, "lessons", **headers)
        assert reply.document["outcome"] != "answered"

    @pytest.mark.parametrize(
        "path", ["/v1/status", "/v1/cost", "/v1/running", "/v1/timeline"]
    )
    def test_operators_routes(
        self, fleet: Fleet, callers: Described, path: str
    ) -> None:
        assert ask(fleet, callers, f"GET {path}", key="operators").status == 200
        assert ask(fleet, callers, f"GET {path}", key="lessons").status == 401


class TestAdmin:
    @pytest.mark.parametrize(
        "path",
        [
            "/v1/status",
            "/v1/configuration",
            "/v1/cost",
            "/v1/servers",
            "/v1/requests",
            "/v1/timeline",
        ],
    )
    def test_reads(self, fleet: Fleet, admin: Described, path: str) -> None:
        assert ask(fleet, admin, f"GET {path}", key="operators").status == 200
        assert ask(fleet, admin, f"GET {path}", key="lessons").status == 401
        assert ask(fleet, admin, f"GET {path}", key="").status == 401

    @pytest.mark.parametrize(
        ("operation", "status", "body", "key"),
        [
            ("GET /v1/timeline?since_ms=x", 400, None, "operators"),
            ("POST /v1/drain", 400, b"{", "operators"),
            ("POST /v1/drain", 401, b"{}", "lessons"),
            ("POST /v1/drain", 404, b'{"process": "none"}', "operators"),
            ("POST /v1/drain", 413, b"x" * 70_000, "operators"),
            ("GET /healthz", 200, None, ""),
            ("GET /readyz", 200, None, ""),
            ("GET /v1/openapi.json", 200, None, ""),
        ],
    )
    def test_answer_is_as_described(
        self,
        fleet: Fleet,
        admin: Described,
        operation: str,
        status: int,
        body: bytes | None,
        key: str,
    ) -> None:
        reply = ask(fleet, admin, operation, body, key)
        assert reply.status == status, reply.body


class TestDrain:
    """Ends an entry and a watch, so it comes last."""

    def test_of_an_entry(self, fleet: Fleet, callers: Described) -> None:
        for order, status in ((b"{}", 400), (b'{"process": "none"}', 409)):
            reply = ask(fleet, callers, "POST /v1/drain", order, "operators")
            assert reply.status == status
        order = json.dumps({"process": ENTRY}).encode()
        refused = ask(fleet, callers, "POST /v1/drain", order, "lessons")
        assert refused.status == 401
        assert ask(fleet, callers, "POST /v1/drain", order, "operators").status == 202
        assert fleet.processes.wait_for_end(ENTRY) == 0

    def test_of_an_entry_that_is_gone(self, fleet: Fleet, admin: Described) -> None:
        order = json.dumps({"process": ENTRY}).encode()
        fleet.terminate(ENTRY)
        assert ask(fleet, admin, "POST /v1/drain", order, "operators").status == 502
        status = ask(fleet, admin, "GET /v1/status", key="operators").document
        assert any(ENTRY in line for line in status["problems"])

    def test_of_another_entry(self, fleet: Fleet, admin: Described) -> None:
        order = b'{"process": "entry-duluth-2"}'
        assert ask(fleet, admin, "POST /v1/drain", order, "operators").status == 202

    def test_configuration_without_the_watch(
        self, fleet: Fleet, admin: Described
    ) -> None:
        fleet.kill("watch-duluth-1")
        path = "GET /v1/configuration"
        assert ask(fleet, admin, path, key="operators").status == 502
