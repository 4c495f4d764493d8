"""Send ticketed requests to a fleet of real processes and read its ledgers."""

import base64
import http.client
import json
import socket
import sys
from collections.abc import Iterable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from bramleyturn.core.model import PoolKind
from bramleyturn.standin.answers import expected_output, input_digest
from scripts.fleet import (
    Fleet,
    FleetPlan,
    change_link,
    restart,
    wait_for_entry,
    workspace_key,
)
from scripts.process_group import wait_until
from tests.http_calls import call
from tests.operators import operate

MAC_BYTES = 16
WORKSPACES = {"roster-signup": "rosters", "packet-order": "printing"}
STAGES = {"roster-signup": ("enrol",), "packet-order": ("charge", "print")}
POOLS = {"enrol": "roster", "charge": "roster", "print": "printing"}
RUNS_BY_OUTCOME = {"answered": {1}, "not_run": {0}, "unknown": {0, 1}, "failed": {1}}


class Ticket(NamedTuple):
    """Hold the text of a ticket and the names of its primary and its backup."""

    text: str
    primary: str
    backup: str


class Sent:
    """Hold one request in flight."""

    def __init__(self, connection: http.client.HTTPConnection) -> None:
        self.connection = connection
        self.status = 0
        self.document: dict[str, Any] = {}

    def end(self) -> dict[str, Any]:
        """Wait for the answer and return it."""
        if not self.document:
            response = self.connection.getresponse()
            self.status = response.status
            self.document = json.loads(response.read())
            self.connection.close()
        return self.document

    def drop(self) -> None:
        """Close the connection without reading the answer."""
        if self.connection.sock is not None:
            self.connection.sock.shutdown(socket.SHUT_RDWR)
        self.connection.close()


def ticket_plan(
    folder: Path, entries: int, lifetime_ms: int, concurrency: int
) -> FleetPlan:
    """Return the plan of a fleet with one linked entry in each of ``entries`` zones."""
    tickets = f"[tickets]\nlifetime_ms = {lifetime_ms}\nintent_timeout_ms = 3000\n"
    return FleetPlan(
        folder,
        zones=("duluth", "milwaukee", "toledo")[:entries],
        entries_per_zone=1,
        extra_files={"90-tickets.ini": tickets},
        standin_values={"concurrency": str(concurrency)},
        linked_entries=True,
    )


class TicketFleet:
    """Hold a running fleet and the number of cases that it has served."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.cases = 0
        for name in fleet.entry_names():
            wait_until(partial(self.has_met_all, name), "the entries have met")

    def has_met_all(self, name: str) -> bool:
        """Return whether an entry knows the current incarnation of every other one."""
        found = {
            peer["address"]: peer["incarnation"] for peer in self.status(name)["peers"]
        }
        others = [other for other in self.fleet.entry_names() if other != name]
        return all(
            found.get(self.fleet.advertised[other]) == self.status(other)["incarnation"]
            for other in others
        )

    def status(self, name: str) -> dict[str, Any]:
        """Return the status of an entry."""
        found: dict[str, Any] = operate(
            self.fleet.addresses[name], "/v1/status"
        ).document
        return found

    def new_input(self) -> dict[str, str]:
        """Return an input that no other case has."""
        self.cases += 1
        return {"text": f"case {self.cases}"}

    def ticket(self, primary: str, backup: str, pipeline: str) -> Ticket:
        """Return a ticket for the current incarnations of these two entries.

        A primary names the incarnation of the backup that it last heard from. A ticket
        with an earlier incarnation permits no run, so a case that needs one would wait
        for it until its time limit.
        """
        names = {address: name for name, address in self.fleet.advertised.items()}
        found = Ticket("", "", "")

        def is_found() -> bool:
            nonlocal found
            text = self._take_ticket(primary, pipeline)
            padded = text + "=" * (-len(text) % 4)
            fields = json.loads(base64.urlsafe_b64decode(padded)[MAC_BYTES:])
            backup_name = names[fields[5][0]] if fields[5] else ""
            found = Ticket(text, names[fields[4][0]], backup_name)
            if backup_name != backup:
                return False
            return bool(fields[5][1] == self.status(backup)["incarnation"])

        wait_until(is_found, f"a ticket of {primary} with {backup} as its backup")
        return found

    def _take_ticket(self, name: str, pipeline: str) -> str:
        connection = http.client.HTTPConnection(self.fleet.addresses[name], timeout=30)
        connection.request(
            "POST",
            "/v1/tickets",
            json.dumps({"pipeline": pipeline}),
            _headers(pipeline),
        )
        document = json.loads(connection.getresponse().read())
        connection.close()
        return str(document["ticket"])

    def send(
        self,
        name: str,
        ticket: Ticket,
        input_: dict[str, str],
        *,
        pipeline: str = "roster-signup",
        deadline_ms: int = 4_000,
    ) -> Sent:
        """Send a request to one entry."""
        connection = http.client.HTTPConnection(self.fleet.addresses[name], timeout=30)
        connection.request(
            "POST",
            f"/v1/pipelines/{pipeline}/requests",
            json.dumps({"input": input_}),
            {
                **_headers(pipeline),
                "Bramleyturn-Ticket": ticket.text,
                "Bramleyturn-Deadline-Ms": str(deadline_ms),
            },
        )
        return Sent(connection)

    def runs(self, input_: dict[str, str], stage: str) -> int:
        """Return how often the servers ran a stage of a request."""
        work: Any = input_
        if stage == "print":
            work = expected_output(PoolKind.PLAIN, "", input_)
        digest = input_digest(work)
        return sum(
            entry["input_digest"] == digest
            for server in self.fleet.servers
            if server.pool == POOLS[stage]
            for entry in self.ledger(server.name)["entries"]
        )

    def ledger(self, server: str) -> dict[str, Any]:
        """Return the ledger of a backend server."""
        found: dict[str, Any] = call(
            self.fleet.addresses[server], "GET", "/standin/ledger"
        ).document
        return found

    def set_behaviour(self, pool: str, **changes: Any) -> None:
        """Change how every server of a pool behaves."""
        for server in self.fleet.servers:
            if server.pool == pool:
                call(
                    self.fleet.addresses[server.name],
                    "POST",
                    "/standin/behaviour",
                    changes,
                )

    def change_links(self, *names: str, **changes: Any) -> None:
        """Change the links in front of entries."""
        for name in names:
            change_link(self.fleet, name, changes)

    def events(self, name: str, kind: str, stage: str) -> int:
        """Return how many events of a kind an entry has on its timeline."""
        document = operate(self.fleet.addresses[name], "/v1/timeline").document
        return sum(
            event["kind"] == kind and event["stage"] == stage
            for event in document["events"]
        )

    def wait_for_run(self, input_: dict[str, str], stage: str) -> None:
        """Wait until a server has begun to run a stage."""
        wait_until(lambda: self.runs(input_, stage) == 1, f"{stage} runs")

    def wait_until_idle(self, *names: str) -> None:
        """Wait until nothing is in flight at the named entries."""
        for name in names:
            wait_until(partial(self.is_idle, name), f"{name} is idle")

    def is_idle(self, name: str) -> bool:
        """Tell whether nothing is in flight at an entry."""
        status = self.status(name)
        return not status["running_requests"] and not status["forwarded_requests"]

    def restart(self, *names: str) -> None:
        """Restart killed entries under their addresses and wait until they serve."""
        for name in names:
            restart(self.fleet, name)
        for name in names:
            wait_for_entry(self.fleet, name)

    def wait_for_event(self, name: str, kind: str, stage: str, count: int) -> None:
        """Wait until an entry's timeline has ``count`` events of a kind."""
        wait_until(
            lambda: self.events(name, kind, stage) >= count, f"{name}: {kind} {stage}"
        )

    def ask(
        self,
        name: str,
        ticket: Ticket,
        input_: dict[str, str],
        pipeline: str = "roster-signup",
        deadline_ms: int = 4_000,
    ) -> dict[str, Any]:
        """Send a copy of a request to one entry and return the answer."""
        return self.send(
            name, ticket, input_, pipeline=pipeline, deadline_ms=deadline_ms
        ).end()

    def replace_frozen(self, name: str) -> str:
        """Give a frozen entry's address to a new process; return the old one's name."""
        processes = self.fleet.processes
        processes.started[f"frozen-{name}"] = processes.started.pop(name)
        self.change_links(name, mode="cut")
        self.change_links(name, reset=True)
        self.restart(name)
        return f"frozen-{name}"

    def restart_with_stepped_wall_clock(self, name: str) -> None:
        """Restart an entry under its address with a wall clock that jumps."""
        self.fleet.kill(name)
        settings = self.fleet.plan.folder / "processes" / f"{name}.ini"
        module = "tests.proofs.stepped_wall_clock"
        command = [sys.executable, "-m", module, "bramleyturn.programs.entry"]
        self.fleet.processes.start(name, [*command, str(settings)])
        self.fleet.addresses[name] = self.fleet.processes.wait_for_address(name)
        self.change_links(name, target=self.fleet.addresses[name])
        wait_for_entry(self.fleet, name)

    def occupy(self, pool: str) -> list[http.client.HTTPConnection]:
        """Fill the only slot of each server of a pool with a call of many seconds."""
        self.set_behaviour(pool, slow_factor=4_000)
        held = []
        for number, server in enumerate(self.servers(pool)):
            address = self.fleet.addresses[server]
            connection = http.client.HTTPConnection(address, timeout=30)
            document = {"attempt_id": f"occupied-{number}", "input": "occupied"}
            connection.request("POST", "/v1/call", json.dumps(document))
            held.append(connection)
            wait_until(partial(self.is_occupied, server), f"{server} is occupied")
        return held

    def release(self, pool: str, held: list[http.client.HTTPConnection]) -> None:
        """Wait until the calls have ended, after which any queued call has begun."""
        self.set_behaviour(pool, reset=True)
        for connection in held:
            connection.getresponse().read()
            connection.close()

    def is_occupied(self, server: str) -> bool:
        """Tell whether a server runs a call."""
        entries = self.ledger(server)["entries"]
        return any(entry["state"] == "running" for entry in entries)

    def queued(self, pool: str) -> int:
        """Return how many calls are queued at the servers of a pool."""
        return sum(
            call(self.fleet.addresses[server], "GET", "/v1/load").document["queued"]
            for server in self.servers(pool)
        )

    def servers(self, pool: str) -> list[str]:
        """Return the names of the servers of a pool."""
        return [server.name for server in self.fleet.servers if server.pool == pool]

    def check(
        self,
        pipeline: str,
        input_: dict[str, str],
        answers: Iterable[dict[str, Any]],
    ) -> dict[str, int]:
        """Check the answers that callers got against the ledger; return the runs."""
        runs = {stage: self.runs(input_, stage) for stage in STAGES[pipeline]}
        assert all(count in (0, 1) for count in runs.values()), runs
        for answer in answers:
            assert sum(runs.values()) or answer["outcome"] != "failed", answer
            if answer["outcome"] == "not_run":
                assert not any(runs.values()), (runs, answer)
            if answer["outcome"] == "answered":
                assert all(runs.values()), (runs, answer)
            for stage, result in answer.get("stages", {}).items():
                assert runs[stage] in RUNS_BY_OUTCOME[result["outcome"]], (runs, answer)
        return runs


def _headers(pipeline: str) -> dict[str, str]:
    key = workspace_key(WORKSPACES[pipeline])
    return {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
