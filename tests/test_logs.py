"""Test what the logs of real processes contain, and that they leak no secrets."""

import json
import signal
from typing import Any

import pytest

from scripts.fleet import (
    LAKESHORE,
    OPERATORS,
    WORKSPACES,
    Fleet,
    FleetPlan,
    publish_files,
    workspace_key,
)
from tests.http_calls import wait_until
from tests.operators import operate, send_raw, send_request

ENTRY, ADMIN = "entry-duluth-1", "admin-duluth-1"
TEXT = "consider-the-lilies-of-the-field"
WRONG_KEY = "a-key-that-nobody-has"
TYPO = "a-secret-under-a-misspelt-name"
OUR_PROGRAMS = ("entry-", "watch-", "admin-")


@pytest.fixture(scope="module")
def secrets() -> set[str]:
    """Return the texts that no log line may contain; a ticket is added later."""
    keys = {workspace_key(name) for name in (*WORKSPACES, OPERATORS)}
    settings = (LAKESHORE / "40-keys.ini").read_text("utf-8").splitlines()
    shared_keys = {line.partition("=")[2].strip() for line in settings if "key" in line}
    return {TEXT, WRONG_KEY, TYPO, *keys, *(value for value in shared_keys if value)}


@pytest.fixture(scope="module")
def lines(
    tmp_path_factory: pytest.TempPathFactory, secrets: set[str]
) -> list[dict[str, Any]]:
    """Return every log line of a fleet that received good and bad requests."""
    plan = FleetPlan(
        tmp_path_factory.mktemp("logs"),
        zones=("duluth",),
        admins=True,
        separate_servers=True,
        process_values={"log_level": "debug"},
    )
    with Fleet(plan) as fleet:
        wait_until(
            lambda: operate(fleet.addresses[ADMIN], "/readyz").status == 200,
            "the admin is ready",
        )
        secrets.add(send_good_requests(fleet))
        send_bad_requests(fleet)
        kill_drafting_servers(fleet)
        publish_faults(fleet)
        use_admin(fleet)
    logs = sorted((plan.folder / "logs").glob("*.log"))
    ours = [log for log in logs if log.name.startswith(OUR_PROGRAMS)]
    assert len(ours) == 5
    return [json.loads(line) for log in ours for line in log.read_text().splitlines()]


def send_good_requests(fleet: Fleet) -> str:
    """Send some requests and return a ticket."""
    entry = fleet.addresses[ENTRY]
    document = {"text": TEXT, "curriculum": TEXT}
    named = {"Bramleyturn_Request_Id": "answered-1"}
    assert (
        send_request(entry, "lessons", "lesson-draft", document, **named).status == 200
    )
    ticket_required = send_request(entry, "rosters", "roster-signup", document)
    ticket = str(ticket_required.document["ticket"])
    for _ in range(2):
        send_request(
            entry, "rosters", "roster-signup", document, Bramleyturn_Ticket=ticket
        )
    other = {"text": TEXT, "other": TEXT}
    send_request(entry, "rosters", "roster-signup", other, Bramleyturn_Ticket=ticket)
    return ticket


def send_bad_requests(fleet: Fleet) -> None:
    """Send requests to be refused, with the text in each part that takes text."""
    entry = fleet.addresses[ENTRY]
    path = "/v1/pipelines/lesson-draft/requests"
    wrong = {"Authorization": f"Bearer {WRONG_KEY}"}
    right = {"Authorization": f"Bearer {workspace_key('lessons')}"}
    member = {"Authorization": f"Bearer {workspace_key('rosters')}"}
    sign_up = "/v1/pipelines/roster-signup/requests"
    body = json.dumps({"input": TEXT}).encode()
    for headers, content, target in (
        (wrong, body, path),
        (right, TEXT.encode(), path),
        (right, b'{"input": "' + TEXT.encode(), path),
        ({**right, "Bramleyturn-Deadline-Ms": TEXT}, body, path),
        ({**right, "Bramleyturn-Request-Id": f"/{TEXT}"}, body, path),
        ({**member, "Bramleyturn-Ticket": TEXT}, body, sign_up),
        (right, body, f"/v1/pipelines/{TEXT}/requests"),
        (right, body, f"/{TEXT}"),
        (right, body, f"/v1/timeline?after={TEXT}"),
        ({"Bramleyturn-Mac": TEXT}, body, "/peer/v1/message"),
    ):
        assert send_raw(entry, "POST", target, content, headers).status >= 400


def kill_drafting_servers(fleet: Fleet) -> None:
    """Kill every drafting server, so that attempts and requests fail."""
    for server in fleet.servers:
        if server.pool == "drafting":
            fleet.processes.send_signal(server.name, signal.SIGKILL)
    reply = send_request(
        fleet.addresses[ENTRY],
        "newsletter",
        "craft-idea",
        {"text": TEXT},
        Bramleyturn_Deadline_Ms="1500",
        Bramleyturn_Request_Id="broken-1",
    )
    assert reply.status >= 500


def publish_faults(fleet: Fleet) -> None:
    """Publish a faulty revision with secrets next to its faults."""
    fleet.files["70-faulty.ini"] = (
        f"[tickets]\nkei = {TYPO}\nprevious_key = {TYPO[:4]}\n"
        f"[workspace lessons]\nkey_sha256 = {TYPO}\n[tickets\n{TYPO}\n"
    )
    publish_files(fleet)
    wait_until(
        lambda: bool(
            operate(fleet.addresses[ADMIN], "/v1/configuration").document["refused"]
        ),
        "the revision is refused",
    )


def use_admin(fleet: Fleet) -> None:
    """Call the administration API with a right and a wrong key."""
    for key in (workspace_key(OPERATORS), WRONG_KEY):
        for path in ("/v1/status", "/v1/requests", "/v1/drain"):
            operate(fleet.addresses[ADMIN], path, key)


class TestLogs:
    def test_hold_no_text_key_or_ticket(
        self, lines: list[dict[str, Any]], secrets: set[str]
    ) -> None:
        leaks = [
            (secret, line)
            for line in lines
            for secret in secrets
            if secret in json.dumps(line, ensure_ascii=False)
        ]
        assert leaks == []

    def test_name_zone_instance_and_revision(self, lines: list[dict[str, Any]]) -> None:
        for line in lines:
            assert line["zone"] == "duluth"
            assert line["instance"].startswith(OUR_PROGRAMS)
            assert line["revision"] >= 0
            assert line["level"] in {"DEBUG", "INFO", "WARNING", "ERROR"}
        assert any(line["revision"] > 0 for line in lines)

    @pytest.mark.parametrize(
        ("message", "request_id"),
        [("attempt started", "answered-1"), ("attempt broke", "broken-1")],
    )
    def test_name_the_request_and_the_attempt(
        self, lines: list[dict[str, Any]], message: str, request_id: str
    ) -> None:
        found = [
            line
            for line in lines
            if line["message"] == message and line["request_id"] == request_id
        ]
        assert found
        for line in found:
            assert line["stage"]
            assert line["attempt_id"]

    def test_report_the_outcome_of_a_request(self, lines: list[dict[str, Any]]) -> None:
        ended = {
            line["request_id"]: line["outcome"]
            for line in lines
            if line["message"] == "request ended"
        }
        assert ended["answered-1"] == "answered"
        assert ended["broken-1"] in {"failed", "not_run"}

    def test_report_a_refused_revision(self, lines: list[dict[str, Any]]) -> None:
        refused = [line for line in lines if line["message"] == "configuration refused"]
        assert refused
        assert refused[0]["fault_count"] >= 1
