"""Start and stop a whole fleet on this machine as separate processes.

Run as ``python -m scripts.fleet`` from the root of the project.
"""

import json
import signal
import urllib.error
import urllib.request
from collections.abc import Mapping
from pathlib import Path
from types import TracebackType
from typing import Final, NamedTuple, Self

from scripts.fleet_settings import (
    ANY_PORT,
    SERVERS_FILE,
    FleetServer,
    ini_text,
    published_servers_text,
    read_folder,
    servers_in_zones,
    standin_text,
)
from scripts.process_group import ProcessGroup, program, wait_until

ROOT: Final = Path(__file__).resolve().parent.parent
LAKESHORE: Final = ROOT / "settings" / "lakeshore"
LAKESHORE_ZONES: Final = ("duluth", "milwaukee", "toledo", "rochester")
WORKSPACES: Final = ("lessons", "rosters", "printing", "library", "newsletter")
OPERATORS: Final = "operators"
HTTP_TIMEOUT_S: Final = 10.0
PLATFORM: Final = "platform"
CONTROL: Final = "platform-control"
FAULT_PROXY: Final = "faultproxy"
ENTRY_LINKS: Final = "links"
UNREACHABLE_ADDRESS: Final = "127.0.0.1:9"


class FleetPlan(NamedTuple):
    """Describe the fleet to start.

    ``separate_servers`` gives each backend server a process of its own, named after
    it, so that one can be killed alone. ``extra_files`` are published beside those
    of ``settings`` and may override single keys. ``standin_values`` are further
    keys of every backend server stand-in, ``process_values`` of every other process.
    With ``fault_links`` the entries reach each backend server over a fault proxy link
    that is named after the server. ``linked_entries`` puts such a link, named after the
    entry, between each entry and its peers. ``entry_command`` replaces the entry
    program if it is not empty.
    """

    folder: Path
    zones: tuple[str, ...] = LAKESHORE_ZONES[:2]
    entries_per_zone: int = 2
    admins: bool = False
    separate_servers: bool = False
    settings: Path = LAKESHORE
    extra_files: Mapping[str, str] = {}
    standin_values: Mapping[str, str] = {}
    process_values: Mapping[str, str] = {}
    fault_links: bool = False
    linked_entries: bool = False
    entry_command: tuple[str, ...] = ()


class Instance(NamedTuple):
    """Describe one instance in the platform's list."""

    name: str
    role: str
    zone: str
    address: str
    state: str


class Fleet:
    """Hold the processes of one fleet, their addresses and the published files."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.processes = ProcessGroup(plan.folder / "logs")
        self.addresses: dict[str, str] = {}
        self.server_links: dict[str, str] = {}
        self.advertised: dict[str, str] = {}
        self.servers: tuple[FleetServer, ...] = ()
        self.files: dict[str, str] = {}
        self.leaving: set[str] = set()
        self.unlisted: set[str] = set()

    def __enter__(self) -> Self:
        try:
            start_fleet(self)
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def stop(self) -> dict[str, int]:
        """End every process; return the exit codes by name."""
        return self.processes.end_all()

    def terminate(self, name: str) -> int:
        """Stop one process gracefully and return its exit code."""
        return self.processes.end(name)

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL."""
        self.processes.send_signal(name, signal.SIGKILL)
        self.processes.wait_for_end(name)

    def freeze(self, name: str) -> None:
        """Pause one process with SIGSTOP."""
        self.processes.send_signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a paused process."""
        self.processes.send_signal(name, signal.SIGCONT)

    def entry_names(self) -> tuple[str, ...]:
        """Return the names of the entry processes, zone by zone in turn."""
        return tuple(
            f"entry-{zone}-{number}"
            for number in range(1, self.plan.entries_per_zone + 1)
            for zone in self.plan.zones
        )

    def entry_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the entry processes."""
        return tuple(self.addresses[name] for name in self.entry_names())


def start_fleet(fleet: Fleet) -> None:
    """Start every process, publish what it needs, and wait until it is ready."""
    start_standins(fleet)
    _start_instances(fleet, "watch")
    if fleet.plan.linked_entries:
        _start_entry_links(fleet)
    _start_instances(fleet, "entry")
    if fleet.plan.admins:
        _start_admins(fleet)
    publish_instances(fleet)
    write_description(fleet, fleet.entry_addresses())
    for name in fleet.entry_names():
        wait_for_entry(fleet, name)


def start_standins(fleet: Fleet) -> None:
    """Start the backend servers and the platform, and publish the configuration."""
    plan = fleet.plan
    fleet.files = {**read_folder(plan.settings), **plan.extra_files}
    fleet.servers = servers_in_zones(fleet.files, plan.zones)
    _start_servers(fleet)
    _start_platform(fleet)
    if plan.fault_links:
        _start_server_links(fleet)
    addresses = {**fleet.addresses, **fleet.server_links}
    fleet.files[SERVERS_FILE] = published_servers_text(fleet.servers, addresses)
    publish_files(fleet)


def wait_for_entry(fleet: Fleet, name: str) -> None:
    """Wait until the entry process ``name`` reports that it is ready."""
    url = f"http://{fleet.addresses[name]}/readyz"
    wait_until(lambda: http_status(url) == 200, f"{name} is ready")


def restart(fleet: Fleet, name: str) -> None:
    """Restart an ended watch, entry or admin process with its former settings."""
    role = name.partition("-")[0]
    fleet.processes.start(name, _command(fleet, role, _path(fleet, name)))
    fleet.addresses[name] = fleet.processes.wait_for_address(name)
    _retarget_link(fleet, name)
    publish_instances(fleet)


def change_link(fleet: Fleet, name: str, changes: Mapping[str, object]) -> None:
    """Change the fault proxy's link in front of an entry."""
    put_json(f"http://{fleet.addresses[ENTRY_LINKS]}/links/{name}", dict(changes))


def publish_files(fleet: Fleet) -> None:
    """Publish the folder of the fleet under the next revision."""
    _write_published_files(fleet)
    put_json(
        f"http://{fleet.addresses[CONTROL]}/standin/config", {"files": fleet.files}
    )


def publish_instances(fleet: Fleet) -> None:
    """Publish the instance list."""
    instances = [each._asdict() for each in fleet_instances(fleet)]
    put_json(
        f"http://{fleet.addresses[CONTROL]}/standin/instances", {"instances": instances}
    )


def fleet_instances(fleet: Fleet) -> list[Instance]:
    """Return the entries, watches and servers that the platform is to list."""
    located = [
        (name, role, zone)
        for zone in fleet.plan.zones
        for number in range(1, fleet.plan.entries_per_zone + 1)
        for role in ("entry", "watch")
        if (name := f"{role}-{zone}-{number}") in fleet.addresses
    ]
    located += [(server.name, "server", server.zone) for server in fleet.servers]
    return [
        Instance(
            name=name,
            role=role,
            zone=zone,
            address=fleet.advertised.get(name, fleet.addresses[name]),
            state="leaving" if name in fleet.leaving else "live",
        )
        for name, role, zone in located
        if name not in fleet.unlisted
    ]


def workspace_key(workspace: str) -> str:
    """Return the bearer key of a workspace of the example settings."""
    return f"example-key-of-{workspace}"


def description_path(fleet: Fleet) -> Path:
    """Return the JSON file that describes the running fleet."""
    return fleet.plan.folder / "fleet.json"


def put_json(url: str, document: object) -> None:
    """Send a document with PUT; raise ``URLError`` if it is not accepted."""
    request = urllib.request.Request(
        url,
        data=json.dumps(document).encode(),
        headers={"Content-Type": "application/json"},
        method="PUT",
    )
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
        response.read()


def http_status(url: str) -> int:
    """Return the status of a GET, or 0 if there is no response."""
    try:
        with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S) as response:
            return int(response.status)
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def _start_servers(fleet: Fleet) -> None:
    groups: dict[str, list[FleetServer]] = {}
    for server in fleet.servers:
        separate = fleet.plan.separate_servers
        process = server.name if separate else f"servers-{server.zone}"
        groups.setdefault(process, []).append(server)
    ledgers = fleet.plan.folder / "ledgers"
    ledgers.mkdir(parents=True, exist_ok=True)
    for process, servers in groups.items():
        text = standin_text(servers, ledgers, fleet.plan.standin_values)
        _start(fleet, process, "standin", text)
    for process in groups:
        _store_addresses(fleet, process)


def _store_addresses(fleet: Fleet, process: str) -> None:
    """Store the address of each stand-in that ``process`` hosts."""
    addresses = fleet.processes.wait_for_ready_line(process)["addresses"]
    assert isinstance(addresses, dict)
    fleet.addresses.update(addresses)


def _start_server_links(fleet: Fleet) -> None:
    sections = {
        f"link {server.name}": {
            "listen": ANY_PORT,
            "target": fleet.addresses[server.name],
        }
        for server in fleet.servers
    }
    text = ini_text({"control": {"listen": ANY_PORT}, **sections})
    _start(fleet, FAULT_PROXY, "faultproxy", text)
    ready = fleet.processes.wait_for_ready_line(FAULT_PROXY)
    addresses = ready["addresses"]
    assert isinstance(addresses, dict)
    fleet.server_links = addresses
    fleet.addresses[FAULT_PROXY] = str(ready["address"])


def _start_platform(fleet: Fleet) -> None:
    text = ini_text({"platform": {"listen": ANY_PORT, "control": ANY_PORT}})
    _start(fleet, PLATFORM, "standin", text)
    _store_addresses(fleet, PLATFORM)


def _start_instances(fleet: Fleet, role: str) -> None:
    names = [name.replace("entry", role, 1) for name in fleet.entry_names()]
    for name in names:
        _start(fleet, name, role, _process_text(fleet, name, role))
    for name in names:
        fleet.addresses[name] = fleet.processes.wait_for_address(name)
        _retarget_link(fleet, name)


def _start_entry_links(fleet: Fleet) -> None:
    unreachable = {"listen": ANY_PORT, "target": UNREACHABLE_ADDRESS}
    sections = {f"link {name}": unreachable for name in fleet.entry_names()}
    _start(fleet, ENTRY_LINKS, "faultproxy", ini_text(sections))
    ready = fleet.processes.wait_for_ready_line(ENTRY_LINKS)
    fleet.addresses[ENTRY_LINKS] = str(ready["address"])
    addresses = ready["addresses"]
    assert isinstance(addresses, dict)
    fleet.advertised.update(addresses)


def _retarget_link(fleet: Fleet, name: str) -> None:
    if name in fleet.advertised:
        change_link(fleet, name, {"target": fleet.addresses[name]})


def _start_admins(fleet: Fleet) -> None:
    names = [f"admin-{zone}-1" for zone in fleet.plan.zones]
    for name in names:
        _start(fleet, name, "admin", _process_text(fleet, name, "admin"))
    for name in names:
        fleet.addresses[name] = fleet.processes.wait_for_address(name)


def _process_text(fleet: Fleet, name: str, role: str) -> str:
    zone = name.split("-")[1]
    values = {"name": name, "zone": zone, "listen": ANY_PORT}
    if role == "watch":
        values["platform"] = fleet.addresses[PLATFORM]
    else:
        values["watch"] = fleet.addresses[name.replace(role, "watch", 1)]
    if name in fleet.advertised:
        values["advertise"] = fleet.advertised[name]
    return ini_text({"process": {**values, **fleet.plan.process_values}})


def _start(fleet: Fleet, name: str, role: str, text: str) -> None:
    path = Path(_path(fleet, name))
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, "utf-8")
    fleet.processes.start(name, _command(fleet, role, str(path)))


def _command(fleet: Fleet, role: str, path: str) -> list[str]:
    if role == "entry" and fleet.plan.entry_command:
        return [*fleet.plan.entry_command, path]
    return [program(f"bramleyturn-{role}"), path]


def _path(fleet: Fleet, name: str) -> str:
    return str(fleet.plan.folder / "processes" / f"{name}.ini")


def _write_published_files(fleet: Fleet) -> None:
    folder = fleet.plan.folder / "published"
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in fleet.files.items():
        (folder / name).write_text(text, "utf-8")


def write_description(fleet: Fleet, entries: tuple[str, ...]) -> None:
    """Write the file by which the load tool finds ``entries`` and the servers."""
    document = {
        "entries": entries,
        "keys": {name: workspace_key(name) for name in WORKSPACES},
        "settings": str(fleet.plan.folder / "published"),
        "addresses": fleet.addresses,
    }
    description_path(fleet).write_text(json.dumps(document, indent=2), "utf-8")
