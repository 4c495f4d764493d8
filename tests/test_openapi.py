"""Test that the OpenAPI documents match what running processes serve."""

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
    ApiDocument,
    check_reply,
    described_operations,
    served_operations,
)
from tests.operators import operate, send_raw

ENTRY, ADMIN = "entry-duluth-1", "admin-duluth-1"
MAX_BODY_BYTES = 4_096
TIGHT_LIMITS = f"""
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
        extra_files={"60-tight.ini": TIGHT_LIMITS},
    )
    with Fleet(plan) as started:
        admin = started.addresses[ADMIN]
        wait_until(
            lambda: (
                operate(admin, "/readyz").status == 200
                and not operate(admin, "/v1/status").document["problems"]
            ),
            "the admin sees the whole fleet",
        )
        yield started


@pytest.fixture(scope="module")
def callers() -> ApiDocument:
    return ApiDocument("callers")


@pytest.fixture(scope="module")
def admin() -> ApiDocument:
    return ApiDocument("admin")


def fetch(
    fleet: Fleet,
    api: ApiDocument,
    operation: str,
    body: bytes | None = None,
    key: str = "lessons",
    **headers: str,
) -> Reply:
    """Make a call such as ``POST /v1/tickets`` and check its response."""
    method, target = operation.split(" ")
    name = ADMIN if api.document["info"]["title"].endswith("admin") else ENTRY
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    if key:
        named["Authorization"] = f"Bearer {workspace_key(key)}"
    reply = send_raw(fleet.addresses[name], method, target, body, named)
    check_reply(api, method, target, reply)
    return reply


class TestRoutes:
    def test_of_an_entry(self, callers: ApiDocument) -> None:
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

    def test_of_an_admin(self, admin: ApiDocument) -> None:
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
    def test_response_matches_the_document(
        self,
        fleet: Fleet,
        callers: ApiDocument,
        operation: str,
        status: int,
        body: bytes | None,
        key: str,
        headers: dict[str, str],
    ) -> None:
        reply = fetch(fleet, callers, operation, body, key, **headers)
        assert reply.status == status, reply.body

    def test_ticket_from_issue_to_stored_outcome(
        self, fleet: Fleet, callers: ApiDocument
    ) -> None:
        ticket_required = fetch(fleet, callers, f"POST {SIGN_UP}", BODY, "rosters")
        ticket = {"Bramleyturn_Ticket": ticket_required.document["ticket"]}
        answer = fetch(fleet, callers, f"POST {SIGN_UP}", BODY, "rosters", **ticket)
        assert answer.status == 200
        request_id = answer.document["request_id"]
        stored = fetch(fleet, callers, f"GET /v1/requests/{request_id}", key="rosters")
        assert stored.document == answer.document
        other = fetch(fleet, callers, f"GET /v1/requests/{request_id}", key="lessons")
        assert other.status == 404

    def test_rate_limit(self, fleet: Fleet, callers: ApiDocument) -> None:
        def is_limited() -> bool:
            reply = fetch(fleet, callers, f"POST {DRAFT}", BODY, "newsletter")
            return reply.status == 429

        wait_until(is_limited, "the rate limit")

    def test_deadline_that_cannot_be_met(
        self, fleet: Fleet, callers: ApiDocument
    ) -> None:
        headers = {"Bramleyturn_Deadline_Ms": "1"}
        reply = fetch(fleet, callers, f"POST {DRAFT}", BODY, "lessons", **headers)
        assert reply.document["outcome"] != "answered"

    @pytest.mark.parametrize(
        "path", ["/v1/status", "/v1/cost", "/v1/running", "/v1/timeline"]
    )
    def test_operators_routes(
        self, fleet: Fleet, callers: ApiDocument, path: str
    ) -> None:
        assert fetch(fleet, callers, f"GET {path}", key="operators").status == 200
        assert fetch(fleet, callers, f"GET {path}", key="lessons").status == 401


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
    def test_reads(self, fleet: Fleet, admin: ApiDocument, path: str) -> None:
        assert fetch(fleet, admin, f"GET {path}", key="operators").status == 200
        assert fetch(fleet, admin, f"GET {path}", key="lessons").status == 401
        assert fetch(fleet, admin, f"GET {path}", key="").status == 401

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
    def test_response_matches_the_document(
        self,
        fleet: Fleet,
        admin: ApiDocument,
        operation: str,
        status: int,
        body: bytes | None,
        key: str,
    ) -> None:
        reply = fetch(fleet, admin, operation, body, key)
        assert reply.status == status, reply.body


class TestDrain:
    """Drain entries and kill a watch; must run last, as it ends processes."""

    def test_of_an_entry(self, fleet: Fleet, callers: ApiDocument) -> None:
        for order, status in ((b"{}", 400), (b'{"process": "none"}', 409)):
            reply = fetch(fleet, callers, "POST /v1/drain", order, "operators")
            assert reply.status == status
        order = json.dumps({"process": ENTRY}).encode()
        refused = fetch(fleet, callers, "POST /v1/drain", order, "lessons")
        assert refused.status == 401
        assert fetch(fleet, callers, "POST /v1/drain", order, "operators").status == 202
        assert fleet.processes.wait_for_end(ENTRY) == 0

    def test_of_an_entry_that_is_gone(self, fleet: Fleet, admin: ApiDocument) -> None:
        order = json.dumps({"process": ENTRY}).encode()
        fleet.terminate(ENTRY)
        assert fetch(fleet, admin, "POST /v1/drain", order, "operators").status == 502
        status = fetch(fleet, admin, "GET /v1/status", key="operators").document
        assert any(ENTRY in line for line in status["problems"])

    def test_of_another_entry(self, fleet: Fleet, admin: ApiDocument) -> None:
        order = b'{"process": "entry-duluth-2"}'
        assert fetch(fleet, admin, "POST /v1/drain", order, "operators").status == 202

    def test_configuration_without_the_watch(
        self, fleet: Fleet, admin: ApiDocument
    ) -> None:
        fleet.kill("watch-duluth-1")
        path = "GET /v1/configuration"
        assert fetch(fleet, admin, path, key="operators").status == 502
