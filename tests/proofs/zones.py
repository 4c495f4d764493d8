"""Run a fleet whose availability zones can be partitioned, under a steady load.

Each zone reaches the platform through a link of its own, and each entry and watch
advertises the address of a link, so that a whole zone can be cut off.
"""

import json
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPException
from pathlib import Path
from typing import Any, Final, NamedTuple

from scripts.fleet import (
    OPERATORS,
    PLATFORM,
    Fleet,
    FleetPlan,
    publish_instances,
    start_standins,
    wait_for_entry,
    workspace_key,
)
from scripts.fleet_settings import ANY_PORT, ini_text
from scripts.process_group import program, wait_until
from tests.http_calls import CALL_LIMIT_S, Reply, call, connect, receive

UNREACHABLE_ADDRESS: Final = "127.0.0.1:1"
PROXY: Final = "faultproxy"
WORKSPACE_OF: Final = {
    "lesson-draft": "lessons",
    "craft-idea": "lessons",
    "roster-signup": "rosters",
}
LOAD_PAUSE_S: Final = 0.02


class NoStatusError(Exception):
    """Raised when a process has no status, as it has no configuration yet."""


class Zones(NamedTuple):
    """Hold a fleet and the control address of the links between its zones."""

    fleet: Fleet
    proxy: str
    links: set[str]


class Sent(NamedTuple):
    """Hold the result of one request; status 0 if no complete answer arrived."""

    entry: str
    request_id: str
    status: int
    document: dict[str, Any]
    error: str


@contextmanager
def running_zones(plan: FleetPlan) -> Iterator[Zones]:
    """Run a fleet for the length of the block."""
    fleet = Fleet(plan)
    try:
        start_standins(fleet)
        zones = Zones(fleet, start_links(fleet), set())
        for role in ("watch", "entry"):
            for name in fleet.entry_names():
                launch(zones, name.replace("entry", role, 1))
        publish_instances(fleet)
        for name in fleet.entry_names():
            wait_for_entry(fleet, name)
        yield zones
    finally:
        fleet.stop()


def start_links(fleet: Fleet) -> str:
    """Start the links and return the address that controls them."""
    sections = {"control": {"listen": ANY_PORT}}
    for zone in fleet.plan.zones:
        sections[f"link {PLATFORM}-{zone}"] = {
            "listen": ANY_PORT,
            "target": fleet.addresses[PLATFORM],
        }
    path = fleet.plan.folder / f"{PROXY}.ini"
    path.write_text(ini_text(sections))
    fleet.processes.start(PROXY, [program("bramleyturn-faultproxy"), str(path)])
    line = fleet.processes.wait_for_ready_line(PROXY)
    links = line["addresses"]
    assert isinstance(links, dict)
    fleet.addresses.update(links)
    return str(line["address"])


def launch(
    zones: Zones, name: str, extra_settings: dict[str, str] | None = None
) -> None:
    """Start a watch or an entry under the address of its link."""
    fleet = zones.fleet
    role, zone, _number = name.split("-")
    link = f"to-{name}"
    created = put_links(zones, {link: {"target": UNREACHABLE_ADDRESS}})
    zones.links.add(link)
    values = {"name": name, "zone": zone, "listen": ANY_PORT}
    values["advertise"] = created[link]["address"]
    if role == "watch":
        values["platform"] = fleet.addresses[f"{PLATFORM}-{zone}"]
    else:
        watch = name.replace(role, "watch", 1)
        values["watch"] = fleet.addresses[f"own-{watch}"]
    path = fleet.plan.folder / "processes" / f"{name}.ini"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(ini_text({"process": values | (extra_settings or {})}), "utf-8")
    fleet.processes.start(name, [program(f"bramleyturn-{role}"), str(path)])
    line = fleet.processes.wait_for_ready_line(name)
    fleet.addresses[name] = str(line["advertise"])
    own_listen_address = listen_address(fleet, name)
    fleet.addresses[f"own-{name}"] = own_listen_address
    put_links(zones, {link: {"target": own_listen_address}})


def listen_address(fleet: Fleet, name: str) -> str:
    """Return the address on which a process listens, not the one it advertises."""
    return str(fleet.processes.wait_for_ready_line(name)["address"])


def put_links(zones: Zones, links: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Change or add links and return them."""
    reply = call(zones.proxy, "PUT", "/links", {"links": links})
    assert reply.status == 200, reply.body
    changed: dict[str, Any] = reply.document["links"]
    return changed


def cut_zone(zones: Zones, zone: str, mode: str = "cut") -> None:
    """Cut ``zone`` off from the platform and from the one other zone."""
    between = [name for name in zones.links if name.startswith("to-")]
    names = [f"{PLATFORM}-{zone}", *between]
    put_links(zones, {name: {"mode": mode} for name in names})


def heal_zone(zones: Zones, zone: str) -> None:
    """End the partition of ``zone``."""
    cut_zone(zones, zone, "pass")


def set_platform_behaviour(fleet: Fleet, **fields: Any) -> None:
    """Inject a fault into the platform, or remove it."""
    control = fleet.addresses["platform-control"]
    reply = call(control, "POST", "/standin/behaviour", fields)
    assert reply.status == 200, reply.body


def set_server_behaviour(fleet: Fleet, server: str, **fields: Any) -> None:
    """Inject a fault into a backend server, or remove it."""
    reply = call(fleet.addresses[server], "POST", "/standin/behaviour", fields)
    assert reply.status == 200, reply.body


def ledger(fleet: Fleet, server: str) -> dict[str, Any]:
    """Return the ledger of a backend server."""
    document: dict[str, Any] = call(
        fleet.addresses[server], "GET", "/standin/ledger"
    ).document
    return document


def running_ids(fleet: Fleet, name: str) -> set[str]:
    """Return the ids of the requests that run at an entry."""
    connection = connect(fleet.addresses[f"own-{name}"])
    try:
        key = {"Authorization": f"Bearer {workspace_key(OPERATORS)}"}
        connection.request("GET", "/v1/running", headers=key)
        rows = receive(connection).document["requests"]
    finally:
        connection.close()
    return {row["request_id"] for row in rows if row["state"] == "running"}


def status_of(fleet: Fleet, name: str, limit_s: float = CALL_LIMIT_S) -> dict[str, Any]:
    """Return the status of an entry or a watch, requested at its listen address."""
    address = fleet.addresses[f"own-{name}"]
    connection = connect(address, limit_s)
    try:
        key = {"Authorization": f"Bearer {workspace_key(OPERATORS)}"}
        connection.request("GET", "/v1/status", headers=key)
        reply = receive(connection)
    finally:
        connection.close()
    if reply.status != 200:
        raise NoStatusError(reply.body)
    document: dict[str, Any] = reply.document
    return document


def wait_seconds(seconds: float) -> None:
    """Wait for a fixed time."""
    end = time.monotonic() + seconds
    wait_until(lambda: time.monotonic() >= end, "the period is over")


def send_request(
    address: str,
    pipeline: str,
    request_id: str,
    value: Any,
    *,
    deadline_ms: int = 8_000,
    ticket: str = "",
) -> Sent:
    """Send one request on a connection of its own; status 0 if it breaks."""
    headers = {
        "Authorization": f"Bearer {workspace_key(WORKSPACE_OF[pipeline])}",
        "Bramleyturn-Deadline-Ms": str(deadline_ms),
        "Bramleyturn-Request-Id": request_id,
        "Content-Type": "application/json",
    }
    if ticket:
        headers["Bramleyturn-Ticket"] = ticket
    connection = connect(address)
    try:
        connection.connect()
    except OSError as error:
        connection.close()
        return Sent(address, request_id, 0, {}, f"not connected: {error}")
    try:
        path = f"/v1/pipelines/{pipeline}/requests"
        connection.request("POST", path, json.dumps({"input": value}), headers)
        reply = receive(connection)
    except (OSError, HTTPException) as error:
        return Sent(address, request_id, 0, {}, f"cut: {type(error).__name__} {error}")
    finally:
        connection.close()
    if reply.status == 428 and not ticket:
        return send_request(
            address,
            pipeline,
            request_id,
            value,
            deadline_ms=deadline_ms,
            ticket=ticket_of(reply),
        )
    return Sent(address, request_id, reply.status, reply.document, "")


def ticket_of(reply: Reply) -> str:
    """Return the ticket that an answer offers."""
    return str(reply.document["ticket"])


class SteadyLoad:
    """Send requests to each address from a thread of its own."""

    def __init__(self, addresses: dict[str, str], pipelines: tuple[str, ...]) -> None:
        self.addresses = addresses
        self.pipelines = pipelines
        self.sent: list[Sent] = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(name,), daemon=True)
            for name in addresses
        ]

    def __enter__(self) -> "SteadyLoad":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, name: str) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            pipeline = self.pipelines[number % len(self.pipelines)]
            request_id = f"{name}-{number}"
            address = self.addresses[name]
            self.sent.append(
                send_request(address, pipeline, request_id, f"text {request_id}")
            )
            self.stopping.wait(LOAD_PAUSE_S)


def two_zone_plan(
    folder: Path, entries_per_zone: int = 1, **plan_options: Any
) -> FleetPlan:
    """Return a plan of two zones."""
    return FleetPlan(
        folder,
        zones=("duluth", "milwaukee"),
        entries_per_zone=entries_per_zone,
        **plan_options,
    )
