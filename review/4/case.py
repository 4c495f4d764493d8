"""The two entries of a zone are stopped in turn; one takes streams late and cuts them.

Each is stopped while it answers streams. When these have ended, clients send the next
ones on the same connections.
"""

import asyncio
import signal
import sys
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from fleet import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST_NAME,
    KEY,
    Entry,
    Fleet,
    Handler,
    Record,
    Request,
    answer_bytes,
    configuration,
    read_answer,
    run_case,
    wait_ready,
)

GRACE_S = 8.0
GAP_S = 1.0
RESTART_S = 0.5
PAUSE_S = 0.03
# craft-idea: 57 events on average, 200 at most.
USUAL_EVENTS = 40
LONG_EVENTS = 190
# These end 3.1 to 3.2 s after the second SIGTERM.
FIRST_EVENTS = 108
KEPT_CLIENTS = 3
DRAFTS, IDEAS = "puxa400", "wuhu344"

# The rule excuses streams that were sent no later than this after SIGTERM.
OUT_OF_ROTATION_MS = 3_000

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Sent(NamedTuple):
    """Hold what became of a stream's request."""

    attempt_id: str
    sent_ms: int
    status: int
    is_whole: bool
    may_reuse: bool


async def case(record: Record, has_trouble: bool) -> int:
    """Send streams, stop both entries in turn, and go on with kept connections."""
    fleet = Fleet(record)
    passed_on: set[str] = set()
    stopped_ms: dict[str, int] = {}

    def engine(server_id: str) -> Handler:
        async def handle(
            request: Request, _: object, writer: asyncio.StreamWriter
        ) -> bool:
            if (
                request.headers.get("bramleyturn-expected-instance", server_id)
                != server_id
            ):
                writer.write(answer_bytes(421, {"Bramleyturn-Not-Executed": "1"}, b""))
                return True
            if request.target in ("/health", "/bramleyturn/report"):
                headers = {"Bramleyturn-Instance-Id": server_id}
                writer.write(answer_bytes(200, headers, b'{"running":1,"waiting":0}'))
                return True
            attempt_id = request.headers["bramleyturn-attempt-id"]
            events = int(request.headers["bramleyturn-token-counts"].split(",")[1]) // 3
            passed_on.add(attempt_id)
            record.write(f"{server_id} begins to run {attempt_id}, {events} events")
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Bramleyturn-Attempt-Id: {attempt_id}\r\n"
                "Bramleyturn-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            )
            await asyncio.sleep(0.1)
            writer.write(head.encode())
            for number in range(1, events + 1):
                text = f"id: {number}\ndata: piece {number} of {events}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
            writer.write(b"0\r\n\r\n")
            return True

        return handle

    numbers = iter(range(1, 1000))

    async def send(
        entry: Entry,
        streams: Streams,
        route: str,
        events: int,
    ) -> Sent:
        """Send a stream's request on a connection and read its answer."""
        reader, writer = streams
        place = next(numbers)
        attempt_id = f"5b2907c14da6{place:04x}"
        lines = [
            f"POST /{route}/{place} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Bramleyturn-Attempt-Id: {attempt_id}",
            "Bramleyturn-Deadline-Ms: 15000",
            f"Authorization: Bearer {KEY}",
            "Bramleyturn-Model: m",
            f"Bramleyturn-Token-Counts: 1460,{3 * events}",
            f"Bramleyturn-Prompt-Prefix: b{place:03x}:350,a{place:03x}:1110",
            "Content-Length: 1500",
        ]
        record.write(f"client sends {attempt_id} to {entry.host}, {events} events")
        sent_ms = record.now_ms()
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + b"x" * 1500)
            status, headers, body, is_whole = await read_answer(reader)
        except OSError:
            status, headers, body, is_whole = 0, {}, b"", False
        record.write(
            f"client of {attempt_id} gets {status}, {body.count(b'id: ')} of {events}"
            f" events, {'whole' if is_whole else 'broken off'},"
            f" Connection: {headers.get('connection', 'kept')}"
        )
        may_reuse = is_whole and headers.get("connection", "").lower() != "close"
        return Sent(attempt_id, sent_ms, status, is_whole, may_reuse)

    async def draft(entry: Entry, route: str, events: int) -> Sent:
        """Send one stream's request on a new connection."""
        streams = await asyncio.open_connection(entry.host, entry.ports["front"])
        try:
            return await send(entry, streams, route, events)
        finally:
            streams[1].close()

    async def keep_drafting(entry: Entry) -> list[Sent]:
        """Send a draft, and a longer idea on the same connection."""
        streams = await asyncio.open_connection(entry.host, entry.ports["front"])
        try:
            sent = [await send(entry, streams, DRAFTS, FIRST_EVENTS)]
            if sent[0].may_reuse:
                sent.append(await send(entry, streams, IDEAS, LONG_EVENTS))
            return sent
        finally:
            streams[1].close()

    async def stop_and_start(entry: Entry) -> None:
        """Send SIGTERM, SIGKILL after the grace, and start the entry again."""
        record.write(f"{entry.host} gets SIGTERM")
        stopped_ms[entry.host] = record.now_ms()
        entry.signal(signal.SIGTERM)
        for _ in range(int(GRACE_S / 0.01)):
            if entry.process.poll() is not None:
                break
            await asyncio.sleep(0.01)
        else:
            record.write(f"{entry.host} gets SIGKILL")
            entry.signal(signal.SIGKILL)
            entry.process.wait()
        record.write(f"{entry.host} has ended")
        await asyncio.sleep(RESTART_S)
        fleet.launch(entry)
        await wait_ready(entry)
        record.write(f"{entry.host} is ready again")

    try:
        for server_id, pool in (
            ("i-5c1e07a2", "huvo11a"),
            ("i-91bd3f06", "huvo11a"),
            ("i-e4402b7d", "hole38f"),
            ("i-7c1e07a2", "hole38f"),
        ):
            address = await fleet.listen(engine(server_id))
            fleet.register(server_id, pool, address, slots=64)
        routes = [
            {
                "name": name,
                "host": HOST_NAME,
                "prefix": f"/{name}/",
                "kind": "streaming",
                "timeoutMs": 15000,
                "targetLatencyMs": 1600,
                "priority": 2,
                "service": pool,
                "maxAttempts": 2,
                "stages": [],
                "public": False,
                "sticky": True,
                "resumable": True,
                "gapAimMs": 250,
            }
            for name, pool in ((DRAFTS, "huvo11a"), (IDEAS, "hole38f"))
        ]
        services = [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 720,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 581741,
                    "models": [{"name": "m"}],
                },
            }
            for name in ("huvo11a", "hole38f")
        ]
        fleet.store.put("op/config", configuration(routes, services))
        await fleet.start_entries()
        await asyncio.sleep(2.0)
        first, second = fleet.entries
        await asyncio.gather(
            *(
                draft(entry, route, USUAL_EVENTS)
                for entry in fleet.entries
                for route in (DRAFTS, IDEAS, DRAFTS, IDEAS)
            )
        )
        # Each entry is stopped while it answers streams.
        busy = asyncio.create_task(draft(first, DRAFTS, LONG_EVENTS))
        await asyncio.sleep(0.3)
        stops = []
        if has_trouble:
            stops.append(asyncio.create_task(stop_and_start(first)))
        await asyncio.sleep(GAP_S - 0.3)
        kept = [asyncio.create_task(keep_drafting(second)) for _ in range(KEPT_CLIENTS)]
        await asyncio.sleep(0.3)
        if has_trouble:
            stops.append(asyncio.create_task(stop_and_start(second)))
        sent = [each for both in await asyncio.gather(*kept) for each in both]
        is_busy_whole = (await busy).is_whole
        await asyncio.gather(*stops)
        late = [
            each
            for each in sent
            if each.sent_ms > stopped_ms.get(second.host, 10**9) + OUT_OF_ROTATION_MS
        ]
        cut = [
            each for each in late if not each.is_whole and each.attempt_id in passed_on
        ]
        record.write(
            f"{len(late)} streams were sent on kept connections more than 3 s after the"
            " SIGTERM; passed on and ended without a complete answer:"
            f" {[each.attempt_id for each in cut]};"
            f" the stream under way at the other entry was whole: {is_busy_whole}"
        )
        if has_trouble and not late:
            return COULD_NOT_RUN
        if not has_trouble and not all(each.is_whole for each in sent):
            return COULD_NOT_RUN
        return BROKEN if cut else HELD
    finally:
        fleet.stop()


run_case(FOLDER, case)
