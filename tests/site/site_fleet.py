"""Run a site of stand-ins with entry processes in front of it, and call them."""

import http.client
import itertools
import json
import os
import random
import signal
import socket
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final, NamedTuple

from bramleyturn.standin.site.deployment import SMALL_SITE, Deployment
from bramleyturn.standin.site.site import API_KEY
from tests.processes import (
    READY_LIMIT_S,
    NotReadyError,
    RunningProcess,
    kill,
    launch,
    output_of,
    wait_ready,
)

TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.02
# Below the ports that the kernel gives to connections.
LISTENING_PORTS: Final = range(10_000, 32_768)
# Entries know the addresses of this many at least, whether they run or not.
MIN_SEEDS: Final = 2
# As on the platform, which names at most three instances.
MAX_SEEDS: Final = 3
IN_FORCE: Final = "configuration in force"
_ids = itertools.count(1)


def loopback_hosts(count: int) -> tuple[str, ...]:
    """Return loopback addresses that no other test process listens at.

    Entries listen at ports that were found free before they start, which another test
    process could take meanwhile.
    """
    second, third = divmod(os.getpid() % (254 * 256), 256)
    return tuple(f"127.{1 + second}.{third}.{host}" for host in range(2, 2 + count))


HOSTS: Final = loopback_hosts(4)


class Answer(NamedTuple):
    """Hold the answer to a caller. ``is_whole`` is False if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class SiteFleet:
    """Hold the processes of a site, and where its entries are.

    ``entry_source`` is the folder of the packages that the entries run, if it is not
    this project's. ``added_settings`` are further lines of their settings.
    """

    def __init__(
        self,
        site: RunningProcess,
        hosts: Sequence[str],
        zones: Sequence[str],
        grace_s: int,
        entry_source: str = "",
    ) -> None:
        self.site = site
        self.entries: list[RunningProcess] = []
        self.ports: dict[str, int] = {}
        self.hosts = hosts
        self.zones = zones
        self.grace_s = grace_s
        self.entry_source = entry_source
        self.seeds: Sequence[str] = hosts[:MIN_SEEDS]
        self.added_settings: Mapping[str, str] = {}

    def call(
        self,
        path: str,
        method: str = "GET",
        entry: int = 0,
        body: bytes = b"",
        wait_ms: int = 2_000,
        attempt_id: str = "",
        key: str = API_KEY,
        extra_headers: dict[str, str] | None = None,
        kept: http.client.HTTPConnection | None = None,
    ) -> Answer:
        """Send one request to an entry and return the answer.

        It is sent on the connection ``kept``, which stays open, or on a new one.
        """
        headers = {
            "Host": "site.example",
            "Bramleyturn-Attempt-Id": attempt_id or f"a{next(_ids):08x}",
            "Bramleyturn-Deadline-Ms": str(wait_ms),
            "Authorization": f"Bearer {key}",
            **(extra_headers or {}),
        }
        connection = kept or self.connection(entry)
        try:
            connection.request(method, path, body=body or None, headers=headers)
            response = connection.getresponse()
            found = {name.lower(): value for name, value in response.getheaders()}
            try:
                return Answer(response.status, found, response.read(), True)
            except http.client.IncompleteRead as cut:
                return Answer(response.status, found, cut.partial, False)
        finally:
            if kept is None:
                connection.close()

    def connection(self, entry: int) -> http.client.HTTPConnection:
        """Return a connection to an entry, which is opened with its first request."""
        return http.client.HTTPConnection(
            self.hosts[entry], self.ports["front"], timeout=TIMEOUT_S
        )

    def draft(
        self,
        body: bytes = b"x",
        piece_key: str = "7c1e",
        pieces: str = "2",
        prompt: str = "aa:80,bb:20",
        **options: Any,
    ) -> Answer:
        """Request a stream with two pieces of a stage, or ``pieces`` of its stages."""
        extra_headers = {
            "Bramleyturn-Pieces": pieces,
            "Bramleyturn-Piece-Key": piece_key,
            "Bramleyturn-Token-Counts": "100,20",
            "Bramleyturn-Prompt-Prefix": prompt,
            "Bramleyturn-Model": "m",
        }
        options.setdefault("wait_ms", 8_000)
        return self.call(
            "/draft/1", method="POST", body=body, extra_headers=extra_headers, **options
        )

    def send_control(self, target: str, **fields: Any) -> dict[str, Any]:
        """Send a command to the stand-ins, or read their ledger."""
        host, _, port = self.site.addresses["control"].partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        try:
            connection.request("POST", target, body=json.dumps(fields))
            document: dict[str, Any] = json.loads(connection.getresponse().read())
            return document
        finally:
            connection.close()

    def ran(self, attempt_id: str) -> list[dict[str, Any]]:
        """Return every run of a request recorded by any server."""
        servers = self.send_control("/ledger")["servers"].values()
        return [
            ran
            for server in servers
            for ran in server["ran"]
            if ran["attempt_id"] == attempt_id
        ]

    def is_ready(self, entry: int) -> bool:
        """Return whether an entry reports that it is ready."""
        try:
            return self.get(entry, "ready", "/bramleyturn/readiness")[0] == 200
        except OSError:
            return False

    def get(self, entry: int, port: str, path: str) -> tuple[int, bytes]:
        """Read a page of an entry."""
        connection = http.client.HTTPConnection(self.hosts[entry], self.ports[port])
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def events(self, entry: int, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an entry with the given event."""
        text = self.entries[entry].output_file.read_text()
        lines = [json.loads(line) for line in text.splitlines() if line]
        return [line for line in lines if line["event"] == event]

    def in_progress(self, entry: int) -> int:
        """Return how many requests an entry is serving."""
        page = self.get(entry, "metrics", "/metrics")[1].decode()
        (line,) = (each for each in page.splitlines() if "requests_in_progress" in each)
        return int(float(line.split()[-1]))

    def in_force(self, entry: int) -> int:
        """Return the version of the configuration that an entry has in force."""
        versions = [line["version"] for line in self.events(entry, IN_FORCE)]
        return max(versions, default=0)

    def stop_entry(self, entry: int) -> None:
        """Ask an entry to stop."""
        os.kill(self.entries[entry].pid, signal.SIGTERM)


def wait_until(
    condition: Callable[[], bool], what: str, limit_s: float = TIMEOUT_S
) -> None:
    """Poll until ``condition`` holds; fail after ``limit_s``."""
    end_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end_s, f"did not happen within {limit_s} s: {what}"
        time.sleep(POLL_S)


@contextmanager
def running_fleet(
    folder: Path,
    entries: int = 2,
    deployment: Deployment = SMALL_SITE,
    hosts: Sequence[str] = HOSTS,
    entry_source: str = "",
    added_settings: Mapping[str, str] | None = None,
) -> Iterator[SiteFleet]:
    """Run a site with entries until the block ends.

    ``added_settings`` replace lines of the entries' settings, or are added to them.
    """
    deployment_file = folder / "deployment.json"
    deployment_file.write_text(json.dumps(deployment))
    site = launch(
        "bramleyturn.programs.standin_site",
        "",
        folder,
        arguments=["127.0.0.1", str(deployment_file)],
    )
    zones = [zone for zone, size in deployment["zones"].items() for _ in range(size)]
    fleet = SiteFleet(site, hosts, zones, deployment["grace_s"], entry_source)
    fleet.added_settings = added_settings or {}
    try:
        wait_ready(site)
        fleet.ports = _free_ports(hosts)
        fleet.seeds = hosts[: min(MAX_SEEDS, max(MIN_SEEDS, entries))]
        for place in range(entries):
            fleet.entries.append(launch_entry(fleet, folder, place, f"entry-{place}"))
        for place in range(entries):
            wait_entry_ready(fleet, place)
        yield fleet
    finally:
        for running in [site, *fleet.entries]:
            kill(running)


def wait_entry_ready(fleet: SiteFleet, place: int) -> None:
    """Wait until an entry is ready; fail at once if its process has ended."""
    entry = fleet.entries[place]
    end_s = time.monotonic() + READY_LIMIT_S
    while not fleet.is_ready(place):
        code = entry.process.poll()
        if code is not None or time.monotonic() >= end_s:
            raise NotReadyError(f"{entry.name}: exit code {code}\n{output_of(entry)}")
        time.sleep(POLL_S)


def launch_entry(
    fleet: SiteFleet, folder: Path, place: int, name: str, store: str = ""
) -> RunningProcess:
    """Start the entry with the index ``place``, without waiting until it is ready.

    ``store`` is the address of the store, if it is not the site's.
    """
    host, ports = fleet.hosts[place], fleet.ports
    control = ports["control"]
    lines = {
        "nodeName": f"front-{place}",
        "zone": fleet.zones[place % len(fleet.zones)],
        "listen.front": f"{host}:{ports['front']}",
        "listen.ready": f"{host}:{ports['ready']}",
        "listen.control": f"{host}:{control}",
        "internalPortRange": f"{ports['internal']},{ports['internal']}",
        "seeds": ",".join(f"{each}:{control}" for each in fleet.seeds),
        "heartbeatMs": "1200",
        "limits.cpuShare": "1",
        "limits.memoryMb": "222",
        "limits.fileDescriptors": "1535",
        "platform.address": store or fleet.site.addresses["store"],
        "bounds.drainMs": "2000",
        "bounds.configApplyMs": "2000",
        "bounds.graceS": str(fleet.grace_s),
        "bounds.retryBudgetRatio": "0.2",
        "bounds.retryBudgetSlack": "108",
        "bounds.budgetWindowS": "10",
        "bounds.passMs": "120",
        **fleet.added_settings,
    }
    settings = folder / f"local-{place}.conf"
    settings.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
    environment = {"BRAMLEYTURN_CONFIG": str(settings)}
    if fleet.entry_source:
        environment["PYTHONPATH"] = fleet.entry_source
    return launch(
        "bramleyturn.programs.serve",
        "",
        folder,
        name,
        environment=environment,
        arguments=[str(ports["metrics"])],
    )


def _free_ports(hosts: Sequence[str]) -> dict[str, int]:
    """Return ports that are free at every address of the fleet."""
    names = ("front", "ready", "control", "metrics", "internal")
    ports: dict[str, int] = {}
    for name in names:
        ports[name] = _free_port(hosts, set(ports.values()))
    return ports


def _free_port(hosts: Sequence[str], taken: set[int]) -> int:
    for port in random.sample(LISTENING_PORTS, 100):
        if port not in taken and all(_is_free(host, port) for host in hosts):
            return port
    raise AssertionError("no port is free at every address")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
