"""Run entry processes before a small stand-in of the platform, all on loopback.

The store, the replicas and the callers run in the process of the script, on one asyncio
loop. The entries are separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

REPOSITORY = Path(__file__).resolve().parents[2]
DEPLOY_FILE = REPOSITORY / "deploy" / "system.toml"
PACKAGES = REPOSITORY / "target" / "deps"
KEY = "9dnn2ctnfzs989anu6ws"
HOST_NAME = "site.example"
READY_LIMIT_S = 20.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

Headers = dict[str, str]


class Request(NamedTuple):
    """Hold a request as a server reads it. Header names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes


class Answer(NamedTuple):
    """Hold what a caller received; ``status`` is 0 if there was no answer."""

    status: int
    headers: Headers
    body: bytes
    is_whole: bool
    took_ms: int


Handler = Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


class Record:
    """Write what happens to ``record.txt``, with milliseconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", buffering=1)
        self.started_s = time.monotonic()

    def now_ms(self) -> int:
        """Return the milliseconds since the start of the script."""
        return int((time.monotonic() - self.started_s) * 1000)

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now_ms():7d} ms  {text}\n")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request with a length, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def answer_bytes(status: int, headers: Headers, body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    found = writer.get_extra_info("socket")
    if found is not None:
        linger = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def serve(host: str, port: int, handle: Handler) -> asyncio.Server:
    """Serve connections, one request at a time; ``handle`` returns False to end one."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await handle(request, reader, writer):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, host, port, backlog=128)


class Store:
    """Serve the platform's store: items, and a watch for their changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[bytes, int]] = {}
        self.history: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def put(self, key: str, document: Any) -> int:
        """Write an item; return its revision."""
        self.revision += 1
        value = json.dumps(document).encode()
        self.items[key] = (value, self.revision)
        self.history.append(self._item(key))
        self._notify()
        return self.revision

    def delete(self, key: str) -> int:
        """Remove an item; return the revision."""
        self.revision += 1
        self.items.pop(key, None)
        event = {"key": key, "revision": self.revision, "tombstone": True}
        self.history.append(event)
        self._notify()
        return self.revision

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        value, revision = self.items[key]
        text = base64.b64encode(value).decode()
        fields = {"key": key, "value": text, "revision": revision}
        return fields | {"createRev": revision, "lease": 0}

    async def handle(
        self, request: Request, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call of the system."""
        path, _, query = request.target.partition("?")
        fields = dict(each.split("=", 1) for each in query.split("&") if "=" in each)
        document: dict[str, Any]
        if path == "/bramleyturn/kv-range":
            document = {"items": [self._item(key) for key in sorted(self.items)]}
            document |= {"truncated": False}
        elif path == "/bramleyturn/kv-watch":
            after = int(fields["after"])
            until_s = time.monotonic() + int(fields["waitMs"]) / 1000
            while self.revision <= after and time.monotonic() < until_s:
                left_s = until_s - time.monotonic()
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, left_s))
                except TimeoutError:
                    break
            events = [each for each in self.history if each["revision"] > after]
            document = {"events": events}
        else:
            writer.write(answer_bytes(404, {}, b""))
            return True
        document["currentRev"] = self.revision
        body = json.dumps(document).encode()
        writer.write(answer_bytes(200, {"Content-Type": "application/json"}, body))
        return True


class Entry:
    """Hold an entry process and its addresses."""

    def __init__(self, host: str, ports: dict[str, int], folder: Path) -> None:
        self.host = host
        self.ports = ports
        self.settings = folder / f"local-{host}.conf"
        self.log = folder / f"entry-{host}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Fleet:
    """Hold the stand-ins and the entries of a small deployment."""

    def __init__(self, record: Record, zone: str = "duluth") -> None:
        self.record = record
        self.zone = zone
        self.store = Store()
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.servers: list[asyncio.Server] = []
        self.entries: list[Entry] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.places = itertools.count(100)

    def next_host(self) -> str:
        """Return a loopback address of its own for a replica."""
        return f"{self.net}.{next(self.places)}"

    async def listen(self, handle: Handler, host: str = "", port: int = 0) -> str:
        """Start a server; return its address."""
        server = await serve(host or self.next_host(), port, handle)
        self.servers.append(server)
        found = server.sockets[0].getsockname()
        return f"{found[0]}:{found[1]}"

    def register(self, server_id: str, pool: str, address: str, **more: Any) -> None:
        """Write the entry of a replica into the store."""
        entry = {
            "service": pool,
            "address": address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        self.store.put(f"servers/{server_id}", entry | more)

    async def start_entries(self, count: int = 2) -> None:
        """Start the entries and wait until they are ready."""
        store = await self.listen(self.store.handle)
        ports = free_ports(self.net, count)
        seeds = [f"{self.net}.{2 + place}:{ports['control']}" for place in range(count)]
        for place in range(count):
            entry = Entry(f"{self.net}.{2 + place}", ports, self.folder)
            self.entries.append(entry)
            lines = {
                "nodeName": f"front-{self.zone}-{place + 1}",
                "role": "entry",
                "machineClass": "front",
                "serves": "front,control",
                "ip": entry.host,
                "zone": self.zone,
                "region": "great-lakes",
                f"zones.{self.zone}": "great-lakes",
                "listen.front": f"{entry.host}:{ports['front']}",
                "listen.ready": f"{entry.host}:{ports['ready']}",
                "listen.control": f"{entry.host}:{ports['control']}",
                "internalPortRange": f"{ports['internal']},{ports['internal']}",
                "seeds": ",".join(seeds),
                "bootstrap": "true",
                "limits.cpuShare": "0.731",
                "limits.cores": "1",
                "limits.memoryMb": "222",
                "limits.fileDescriptors": "1535",
                "limits.linkMbps": "350.0",
                "limits.diskMb": "0",
                "discovery": "platform",
                "heartbeatMs": "1200",
                "contracts": "base,drain,config,cost,retry,recover,engine,stream,"
                "tenants,platform,stages",
                "bounds.contactMs": "3000",
                "bounds.drainMs": "2000",
                "bounds.graceS": "8",
                "bounds.lossSlackMs": "200",
                "bounds.configApplyMs": "2000",
                "bounds.rollbackSlackMs": "250",
                "bounds.retryBudgetRatio": "0.2",
                "bounds.budgetWindowS": "10",
                "bounds.retryBudgetSlack": "108",
                "bounds.passMs": "120",
                "platform.address": store,
                "platform.form": "read",
                "platform.readsPerS": "2000",
                "platform.historyS": "20",
            }
            text = "".join(f"{name}={value}\n" for name, value in lines.items())
            entry.settings.write_text(text)
            self.launch(entry)
        for entry in self.entries:
            await wait_ready(entry)

    def launch(self, entry: Entry) -> None:
        """Start the process of an entry with the command of the deploy file."""
        deploy = tomllib.loads(DEPLOY_FILE.read_text())
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(PACKAGES)
        environment["BRAMLEYTURN_CONFIG"] = str(entry.settings)
        with entry.log.open("ab") as log:
            entry.process = subprocess.Popen(
                role["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def stop(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        for server in self.servers:
            server.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def call(
        self,
        entry: Entry,
        method: str,
        target: str,
        attempt_id: str,
        deadline_ms: int,
        headers: Headers | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Send a request on a new connection and read its answer."""
        started_s = time.monotonic()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}"]
        fields = {
            "Bramleyturn-Attempt-Id": attempt_id,
            "Bramleyturn-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        if body:
            fields["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in fields.items()]
        data = "\r\n".join([*lines, "", ""]).encode() + body

        def ended(status: int, found: Headers, body: bytes, is_whole: bool) -> Answer:
            took_ms = int((time.monotonic() - started_s) * 1000)
            return Answer(status, found, body, is_whole, took_ms)

        try:
            reader, writer = await asyncio.open_connection(
                entry.host, entry.ports["front"]
            )
        except OSError:
            return ended(0, {}, b"", False)
        try:
            writer.write(data)
            return ended(*await read_answer(reader))
        finally:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, Headers, bytes, bool]:
    """Read an answer with a length or in chunks."""
    body = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, {}, b"", False
    first, *lines = head.decode("latin-1").split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "") == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return status, headers, body, True
                body += data[:-2]
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return status, headers, body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, headers, body, False


async def wait_ready(entry: Entry) -> None:
    """Wait until an entry says that it is ready; raise RuntimeError if it doesn't."""
    until_s = time.monotonic() + READY_LIMIT_S
    while time.monotonic() < until_s:
        try:
            reader, writer = await asyncio.open_connection(
                entry.host, entry.ports["ready"]
            )
            writer.write(b"GET /bramleyturn/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            status = (await read_answer(reader))[0]
            writer.close()
            if status == 200:
                return
        except OSError:
            pass
        if entry.process is not None and entry.process.poll() is not None:
            break
        await asyncio.sleep(0.1)
    raise RuntimeError("an entry is not ready; KEEP_LOGS=1 keeps its output")


def free_ports(net: str, count: int) -> dict[str, int]:
    """Return ports that are free at the address of every entry."""
    ports: dict[str, int] = {}
    for name in ("front", "ready", "control", "internal"):
        while name not in ports:
            port = random.randint(10_000, 32_000)
            is_free = port not in ports.values()
            for place in range(count):
                with socket.socket() as probe:
                    try:
                        probe.bind((f"{net}.{2 + place}", port))
                    except OSError:
                        is_free = False
            if is_free:
                ports[name] = port
    return ports


def configuration(routes: list[Any], services: list[Any], version: int = 7) -> Any:
    """Return a configuration of the operator with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "bozi300", "apiKeys": [KEY], "priority": 1}],
    }


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[int]]) -> None:
    """Run a case, with its disruption unless TROUBLE=0, and exit with its result."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"starts, with {'the' if has_trouble else 'no'} disruption")
    try:
        code = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110))
    except (RuntimeError, OSError, TimeoutError, KeyError, ValueError) as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        code = COULD_NOT_RUN
    outcome = {
        HELD: "the rule held",
        BROKEN: "the rule was broken",
        COULD_NOT_RUN: "no result",
    }
    record.write(outcome[code])
    # Connections that are still open need no orderly end.
    os._exit(code)
