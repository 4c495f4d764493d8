"""Start the project's entries with the deploy file's command before the stand-ins.

All addresses are loopback ones. Processes are ended by their ids when the test ends.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from link import Link
from store import Store
from web import read_answer, request_bytes

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
HEARTBEAT_MS = 1200
KEY = "key-of-north-0001"
READY_S = 20.0
MEMORY_MB = 222


class CannotRun(Exception):
    """Reports that the case could not run."""


class Fleet:
    """Holds the processes, the store and the record of one test."""

    def __init__(self, name, bounds=None):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.processes = {}
        self.outputs = {}
        self.store = Store(HEARTBEAT_MS)
        self.store_address = ""
        self.routes = []
        self.services = []
        self.version = 0
        self.bounds = bounds or {}
        self.servers = {}
        self.lines = []
        self.name = name
        self.ports = {}
        self.entries = []
        self.links = {}

    def record(self, event, **fields):
        """Keep a line for record.txt."""
        self.lines.append({"at": round(time.monotonic(), 3), "event": event, **fields})

    async def start(self):
        """Start the store."""
        hosts = [f"{self.net}.{n}" for n in (1, *range(11, 15), *range(21, 31))]
        for name in ("front", "ready", "control", "internal", "store", "server", "link"):
            self.ports[name] = free_port(hosts, set(self.ports.values()))
        host = f"{self.net}.1"
        self.store_address = f"{host}:{self.ports['store']}"
        await asyncio.start_server(
            self.store.serve, host, self.ports["store"], limit=2**20
        )
        asyncio.get_running_loop().create_task(self.store.expire())

    def publish(self, **changes):
        """Write the next version of the configuration."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "north", "apiKeys": [KEY], "priority": 0}],
        } | changes
        self.store.put("op/config", json.dumps(document).encode())
        self.record("configuration written", version=self.version)

    def launch(self, name, arguments, environment=None):
        """Start a process, its output going to a file of the test's folder."""
        path = self.folder / f"{name}.{len(self.outputs)}.out"
        with path.open("wb") as out:
            process = subprocess.Popen(
                arguments,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
                env={"PATH": os.environ.get("PATH", ""), **(environment or {})},
            )
        self.processes[name] = process
        self.outputs[path] = name
        return process

    def start_entry(self, number, zone):
        """Start an entry as the deploy file says."""
        host = f"{self.net}.{10 + number}"
        ports = self.ports
        seeds = ",".join(f"{self.net}.{10 + n}:{ports['control']}" for n in (1, 2, 3))
        lines = {
            "nodeName": f"front-{zone}-{number}",
            "role": "entry",
            "machineClass": "front",
            "serves": "front,control",
            "ip": host,
            "zone": zone,
            "region": "region",
            "zones.north": "region",
            "zones.south": "region",
            "listen.front": f"{host}:{ports['front']}",
            "listen.ready": f"{host}:{ports['ready']}",
            "listen.control": f"{host}:{ports['control']}",
            "internalPortRange": f"{ports['internal']},{ports['internal']}",
            "seeds": seeds,
            "bootstrap": "true",
            "limits.cpuShare": "0.731",
            "limits.cores": "1",
            "limits.memoryMb": str(MEMORY_MB),
            "limits.fileDescriptors": "1535",
            "limits.linkMbps": "350.0",
            "heartbeatMs": str(HEARTBEAT_MS),
            "bounds.seedLagS": "3",
            "bounds.addressReuseS": "2",
            "bounds.contactMs": "3000",
            "bounds.ackTimeoutMs": "4000",
            "bounds.catchUpS": "4",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000",
            "bounds.rollbackSlackMs": "250",
            "bounds.maxStretchMs": "5000",
            "bounds.strictRevocation": "false",
            "bounds.revokeMs": "5000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retryBudgetSlack": "129",
            "bounds.recoveryS": "12",
            "bounds.passMs": "120",
            "bounds.againS": "10",
            "platform.address": self.store_address,
            "platform.form": "read",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            **self.bounds,
        }
        settings = self.folder / f"local-{number}.conf"
        settings.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self.entries.append(number)
        return self.launch(
            f"entry-{number}",
            shlex.split(role["run"]),
            {
                "BRAMLEYTURN_CONFIG": str(settings),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
        )

    def start_server(
        self, server_id, service, zone, number, slots=6, program="server", link=""
    ):
        """Start a backend server, or start it again as it was.

        ``link`` is the address at which it is reached, if that is not its own.
        """
        settings = self.servers.setdefault(
            server_id,
            {
                "id": server_id,
                "service": service,
                "zone": zone,
                "address": f"{self.net}.{20 + number}:{self.ports['server']}",
                "advertised": link
                or f"{self.net}.{20 + number}:{self.ports['server']}",
                "slots": slots,
                "store": self.store_address,
                "heartbeat_ms": HEARTBEAT_MS,
            },
        )
        return self.launch(
            server_id,
            [sys.executable, str(HERE / f"{program}.py"), json.dumps(settings)],
            {"PYTHONDONTWRITEBYTECODE": "1"},
        )

    async def link(self, server_id, number):
        """Put a link before a server that is not started yet."""
        host, port = f"{self.net}.{20 + number}", self.ports["server"]
        link = Link(host, port)
        await asyncio.start_server(link.serve, host, self.ports["link"])
        self.links[server_id] = link
        return f"{host}:{self.ports['link']}"

    def cut(self, server_id):
        """Cut a server off from all entries and from the store."""
        self.record("cut off", server=server_id)
        self.links[server_id].cut()
        self.store.cut_off.add(f"servers/{server_id}")

    def heal(self, server_id):
        """End the cut."""
        self.record("cut ends", server=server_id)
        self.store.cut_off.discard(f"servers/{server_id}")
        self.links[server_id].heal()

    def signal(self, name, number):
        """Send a signal to a process of this test."""
        self.record("signal", process=name, signal=signal.Signals(number).name)
        os.kill(self.processes[name].pid, number)

    async def ready(self, number):
        """Wait until an entry says that it is ready."""
        host = f"{self.net}.{10 + number}"
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            if self.processes[f"entry-{number}"].poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(
                    host, self.ports["ready"]
                )
                writer.write(
                    request_bytes(
                        "GET", "/bramleyturn/readiness", [("Host", host)]
                    )
                )
                answer = await asyncio.wait_for(read_answer(reader), 1)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"entry {number} did not become ready")

    async def connect(self, number):
        """Open a client's connection to an entry."""
        host = f"{self.net}.{10 + number}"
        return await asyncio.open_connection(host, self.ports["front"], limit=2**22)

    async def call(
        self, number, method, path, wait_ms, work=None, attempt_id=None, headers=(),
        body=b"", kept=None, leave_s=None,
    ):  # fmt: skip
        """Send one client attempt and return its id and answer.

        With ``leave_s`` the client closes its connection if there is no answer by then.
        """
        attempt_id = attempt_id or f"{random.getrandbits(64):016x}"
        reader, writer = kept or await self.connect(number)
        fields = [
            ("Host", "site.example"),
            ("Bramleyturn-Attempt-Id", attempt_id),
            ("Bramleyturn-Deadline-Ms", wait_ms),
            ("Authorization", f"Bearer {KEY}"),
            *headers,
        ]
        if work is not None:
            fields.append(("X-Work", json.dumps(work)))
        self.record("sent", id=attempt_id, entry=number, method=method, path=path)
        writer.write(request_bytes(method, path, fields, body))
        try:
            answer = await asyncio.wait_for(
                read_answer(reader), leave_s or wait_ms / 1000 + 4
            )
        except TimeoutError:
            answer = None
            if leave_s is not None:
                self.record("left", id=attempt_id)
                writer.close()
                return attempt_id, None
        self.record(
            "answered",
            id=attempt_id,
            status=answer.status if answer else None,
            whole=answer.is_whole if answer else None,
            bytes=len(answer.body) if answer else None,
        )
        if kept is None:
            writer.close()
        return attempt_id, answer

    def memory_mb(self, name):
        """Return the resident memory of a process, 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in status.splitlines() if "VmRSS" in line]
        return int(sizes[0]) / 1024 if sizes else 0.0

    def log_of(self, process):
        """Return the JSON lines that a process, or its earlier starts, wrote."""
        found = []
        for path, name in self.outputs.items():
            if name != process:
                continue
            for line in path.read_text(errors="replace").splitlines():
                if not line:
                    continue
                try:
                    found.append(json.loads(line))
                except ValueError:
                    found.append({"text": line})
        return found

    def end(self):
        """End every process, and write record.txt."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def ran(self):
        """Return what all servers wrote down."""
        return [line for name in self.servers for line in self.log_of(name)]

    def write_record(self, case_folder, verdict):
        """Write what was sent, answered and run, in the order of time."""
        lines = sorted(
            self.lines + [line for line in self.ran() if "at" in line],
            key=lambda line: line["at"],
        )
        base = lines[0]["at"] if lines else 0
        text = "".join(
            f"{line['at'] - base:8.3f} "
            + json.dumps({k: v for k, v in line.items() if k != "at"})
            + "\n"
            for line in lines
        )
        Path(case_folder, "record.txt").write_text(text + verdict + "\n")


def free_port(hosts, taken):
    """Return a port that is free at all of the addresses."""
    for port in random.sample(range(10_000, 32_000), 200):
        if port in taken or port == 9464:
            continue
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return port
    raise CannotRun("no free port")


def plain_service(name):
    """Return a plain service for the configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 244,
        "protocol": "h1",
        "tls": False,
    }


def route(name, kind, service, timeout_ms, aim_ms, attempts, **fields):
    """Return a route for the configuration."""
    return {
        "name": name,
        "host": "site.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": aim_ms,
        "priority": 2,
        "maxAttempts": attempts,
        "public": False,
        "sticky": False,
        "resumable": False,
        "stages": [],
        **fields,
    }


def engine_service(name, slots=64):
    """Return a service of engines for the configuration."""
    engine = {"slots": slots, "kvCapacityTokens": 500_000}
    return plain_service(name) | {"engine": engine}


def run_case(case_folder, play, name):
    """Play a case; exit with 1 if the rule was broken, 0 if not, 2 if it couldn't run.

    ``play`` gets the fleet and whether the disruption is to happen, and returns what
    broke the rule.
    """
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(name)

    async def run():
        await fleet.start()
        return await asyncio.wait_for(play(fleet, is_disturbed), 110)

    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
        verdict = "RULE BROKEN: " + "; ".join(broken) if broken else "the rule held"
    except (CannotRun, TimeoutError, OSError) as error:
        code, verdict = 2, f"could not run: {error!r}"
    finally:
        fleet.end()
    fleet.write_record(case_folder, verdict)
    if os.environ.get("KEEP"):
        print(fleet.folder)
    else:
        for path in fleet.folder.iterdir():
            path.unlink()
        fleet.folder.rmdir()
    print(verdict, flush=True)
    # Without the complaints of connections whose event loop is gone.
    os._exit(code)
