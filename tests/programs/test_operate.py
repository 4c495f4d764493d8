"""Test the operators' commands against a running fleet."""

import json
import os
import subprocess
from collections.abc import Iterator
from itertools import count
from pathlib import Path

import pytest

from scripts.fleet import Fleet, FleetPlan
from scripts.process_group import program
from tests.http_calls import wait_until
from tests.operators import OPERATORS_KEY, operate, send_request

ADMINS = ("admin-duluth-1", "admin-milwaukee-1")
ENTRY = "entry-duluth-1"
REQUEST_ID = "roster-by-command"
COMMAND_LIMIT_S = 60.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    folder: Path = tmp_path_factory.mktemp("operate")
    with Fleet(FleetPlan(folder, entries_per_zone=1, admins=True)) as started:
        for name in ADMINS:
            address = started.addresses[name]
            wait_until(
                lambda address=address: (  # type: ignore[misc]
                    operate(address, "/readyz").status == 200
                    and not operate(address, "/v1/status").document["problems"]
                ),
                f"{name} knows the fleet",
            )
        numbers = count(1)
        wait_until(
            lambda: sign_up(started, f"before-{next(numbers)}"),
            "a sign-up is answered with a backup",
        )
        assert sign_up(started, REQUEST_ID)
        yield started


def sign_up(fleet: Fleet, request_id: str) -> bool:
    """Send a request that may not be repeated; return whether it had a backup."""
    entry = fleet.addresses[ENTRY]
    given = {"child": "Ada"}
    name = {"Bramleyturn_Request_Id": request_id}
    needed = send_request(entry, "rosters", "roster-signup", given, **name)
    assert needed.status == 428
    ticket = {"Bramleyturn_Ticket": needed.document["ticket"]}
    reply = send_request(entry, "rosters", "roster-signup", given, **name, **ticket)
    assert reply.status == 200
    events = operate(entry, "/v1/timeline").document["events"]
    return any(
        event["kind"] == "intent_asked" and event["request_id"] == request_id
        for event in events
    )


def command(
    *arguments: str, key: str = OPERATORS_KEY
) -> subprocess.CompletedProcess[str]:
    variables = {**os.environ, "BRAMLEYTURN_KEY": key, "COLUMNS": "200"}
    return subprocess.run(
        [program("bramleyturn"), *arguments],
        env=variables,
        capture_output=True,
        text=True,
        timeout=COMMAND_LIMIT_S,
        check=False,
    )


class TestTables:
    def test_status(self, fleet: Fleet) -> None:
        done = command("status", "--admin", fleet.addresses[ADMINS[0]])
        assert done.returncode == 0, done.stderr
        assert ENTRY in done.stdout
        assert done.stdout.endswith("problem: none\n")

    @pytest.mark.parametrize(
        ("name", "expected"),
        [("cost", "roster-signup"), ("servers", "roster-duluth-1")],
    )
    def test_cost_and_servers(self, fleet: Fleet, name: str, expected: str) -> None:
        address = fleet.addresses[ADMINS[0]]
        done = command(name, "--admin", address)
        assert done.returncode == 0, done.stderr
        assert expected in done.stdout
        as_json = command(name, "--admin", address, "--json")
        assert expected in json.dumps(json.loads(as_json.stdout))


class TestTimeline:
    def test_of_one_request_in_two_zones(self, fleet: Fleet) -> None:
        admins = [f"--admin={fleet.addresses[name]}" for name in ADMINS]
        done = command("timeline", *admins, "--request", REQUEST_ID)
        assert done.returncode == 0, done.stderr
        lines = done.stdout.splitlines()
        asked = next(i for i, line in enumerate(lines) if "intent_asked" in line)
        received = next(i for i, line in enumerate(lines) if "message_received" in line)
        answered = next(i for i, line in enumerate(lines) if "intent_answered" in line)
        assert asked < received < answered
        assert ENTRY in lines[asked]
        assert "entry-milwaukee-1" in lines[received]

    def test_of_a_forwarded_request(self, fleet: Fleet) -> None:
        given = {"child": "Ada"}
        name = {"Bramleyturn_Request_Id": "forwarded-1"}
        primary = fleet.addresses["entry-milwaukee-1"]
        needed = send_request(primary, "rosters", "roster-signup", given, **name)
        ticket = {"Bramleyturn_Ticket": needed.document["ticket"]}
        other = fleet.addresses[ENTRY]
        reply = send_request(other, "rosters", "roster-signup", given, **name, **ticket)
        assert reply.status == 200
        admins = [f"--admin={fleet.addresses[name]}" for name in ADMINS]
        done = command("timeline", *admins, "--request", "forwarded-1", "--json")
        events = [(e["process"], e["kind"]) for e in json.loads(done.stdout)]
        assert events[0] == (ENTRY, "ticket_forwarded")
        assert events[1] == ("entry-milwaukee-1", "message_received")
        assert events[2] == ("entry-milwaukee-1", "request_arrived")
        assert events[-1] == (ENTRY, "request_ended")

    def test_page(self, fleet: Fleet, tmp_path: Path) -> None:
        page = tmp_path / "timeline.html"
        admin = fleet.addresses[ADMINS[0]]
        done = command("timeline", "--admin", admin, "--html", str(page))
        assert done.returncode == 0, done.stderr
        text = page.read_text("utf-8")
        assert REQUEST_ID in text
        assert "http" not in text
        assert "src=" not in text

    @pytest.mark.parametrize(("since", "is_empty"), [("1h", False), ("0s", True)])
    def test_since(self, fleet: Fleet, since: str, is_empty: bool) -> None:
        admin = fleet.addresses[ADMINS[0]]
        done = command("timeline", "--admin", admin, "--since", since)
        assert done.returncode == 0, done.stderr
        assert (done.stdout == "") is is_empty


class TestExitCodes:
    def test_wrong_key(self, fleet: Fleet) -> None:
        done = command("status", "--admin", fleet.addresses[ADMINS[0]], key="wrong")
        assert done.returncode == 1
        assert "Unknown key" in done.stderr

    def test_key_from_a_file(self, fleet: Fleet, tmp_path: Path) -> None:
        file = tmp_path / "key"
        file.write_text(f"{OPERATORS_KEY}\n")
        admin = fleet.addresses[ADMINS[0]]
        named = ("--admin", admin, "--key-file", str(file))
        assert command("status", *named, key="wrong").returncode == 0

    @pytest.mark.parametrize(
        ("arguments", "key"),
        [
            (("status", "--admin", "127.0.0.1:9"), ""),
            (("status", "--admin", "somewhere"), "key"),
            (("status",), "key"),
            (("timeline",), "key"),
            (("timeline", "--admin", "127.0.0.1:9", "--since", "once"), "key"),
            (("drain", "--admin", "127.0.0.1:9"), "key"),
            (("cost", "--admin", "127.0.0.1:9", "--key-file", "missing"), "key"),
        ],
    )
    def test_usage(self, arguments: tuple[str, ...], key: str) -> None:
        assert command(*arguments, key=key).returncode == 2

    def test_unreachable(self) -> None:
        done = command("status", "--admin", "127.0.0.1:1")
        assert done.returncode == 3
        assert "unreachable" in done.stderr

    def test_drain(self, fleet: Fleet) -> None:
        admin = fleet.addresses[ADMINS[1]]
        refused = command("drain", "--admin", admin, ENTRY)
        assert refused.returncode == 1
        assert "Unknown process" in refused.stderr
        done = command("drain", "--admin", admin, "entry-milwaukee-1")
        assert (done.returncode, done.stdout) == (0, "entry-milwaukee-1 is draining\n")
        assert fleet.processes.wait_for_end("entry-milwaukee-1") == 0
        assert command("status", "--admin", admin).returncode == 1
