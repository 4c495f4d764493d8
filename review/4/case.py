"""The two entries of a zone are stopped in turn; one takes streams late and cuts them.

Each is stopped while it answers a request. The streams come when neither is ready, as
the platform then sends new connections to all entries of the zone.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from fleet import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST_NAME,
    Answer,
    Entry,
    Fleet,
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
LATE_AT_S = 3.2
LATE_STREAMS = 3


async def case(record: Record, has_trouble: bool) -> int:
    """Send streams, stop both entries in turn, and send long streams late."""
    fleet = Fleet(record)
    passed_on: dict[str, int] = {}
    at_work: set[str] = set()

    def engine(server_id: str):
        async def handle(request: Request, _: object, writer: asyncio.StreamWriter) -> bool:
            if request.headers.get("bramleyturn-expected-instance", server_id) != server_id:
                writer.write(answer_bytes(421, {"Bramleyturn-Not-Executed": "1"}, b""))
                return True
            if request.target in ("/health", "/bramleyturn/report"):
                headers = {"Bramleyturn-Instance-Id": server_id}
                writer.write(answer_bytes(200, headers, b'{"running":1,"waiting":0}'))
                return True
            attempt_id = request.headers["bramleyturn-attempt-id"]
            events = int(request.headers["bramleyturn-token-counts"].split(",")[1]) // 3
            passed_on[attempt_id] = record.now_ms()
            at_work.add(attempt_id)
            record.write(f"{server_id} begins to run {attempt_id}, {events} events")
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Bramleyturn-Attempt-Id: {attempt_id}\r\n"
                "Bramleyturn-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            )
            await asyncio.sleep(0.1)
            writer.write(head.encode())
            try:
                for number in range(1, events + 1):
                    text = f"id: {number}\ndata: piece {number} of {events}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                    await writer.drain()
                    await asyncio.sleep(PAUSE_S)
                writer.write(b"0\r\n\r\n")
            finally:
                at_work.discard(attempt_id)
            return True

        return handle

    numbers = iter(range(1, 1000))

    async def draft(entry: Entry, events: int) -> tuple[str, Answer]:
        place = next(numbers)
        attempt_id = f"5b2907c14da6{place:04x}"
        headers = {
            "Bramleyturn-Model": "m",
            "Bramleyturn-Token-Counts": f"1460,{3 * events}",
            "Bramleyturn-Prompt-Prefix": f"{0xb000 + place:x}:350,{0xa000 + place:x}:1110",
        }
        record.write(f"client sends {attempt_id} to {entry.host}, {events} events")
        answer = await fleet.call(
            entry, "POST", f"/puxa400/{place}", attempt_id, 15000, headers, b"x" * 1500
        )
        record.write(
            f"client of {attempt_id} gets {answer.status},"
            f" {answer.body.count(b'id: ')} of {events} events,"
            f" {'whole' if answer.is_whole else 'broken off'}, after {answer.took_ms} ms"
        )
        return attempt_id, answer

    async def is_ready(entry: Entry) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                entry.host, entry.ports["ready"]
            )
        except OSError:
            return False
        writer.write(b"GET /bramleyturn/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        status = (await read_answer(reader))[0]
        writer.close()
        return status == 200

    async def stop_and_start(entry: Entry) -> None:
        """Send SIGTERM, SIGKILL after the grace, and start the entry again."""
        record.write(f"{entry.host} gets SIGTERM")
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
        for server_id in ("i-5c1e07a2", "i-91bd3f06"):
            address = await fleet.listen(engine(server_id))
            fleet.register(server_id, "huvo11a", address, slots=64)
        route = {
            "name": "drafts",
            "host": HOST_NAME,
            "prefix": "/puxa400/",
            "kind": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 1600,
            "priority": 2,
            "service": "huvo11a",
            "maxAttempts": 2,
            "stages": [],
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapAimMs": 250,
        }
        service = {
            "name": "huvo11a",
            "healthPath": "/health",
            "maxConnections": 720,
            "protocol": "h1",
            "tls": False,
            "engine": {"slots": 64, "kvCapacityTokens": 581741, "models": [{"name": "m"}]},
        }
        fleet.store.put("op/config", configuration([route], [service]))
        await fleet.start_entries()
        await asyncio.sleep(2.0)
        first, second = fleet.entries
        usual = [draft(entry, USUAL_EVENTS) for entry in fleet.entries for _ in range(4)]
        await asyncio.gather(*usual)
        # Each entry is stopped while it answers a request.
        busy = [asyncio.create_task(draft(each, LONG_EVENTS - 20)) for each in (first, second)]
        await asyncio.sleep(0.3)
        stops = []
        if has_trouble:
            stops.append(asyncio.create_task(stop_and_start(first)))
        await asyncio.sleep(GAP_S)
        if has_trouble:
            stops.append(asyncio.create_task(stop_and_start(second)))
        await asyncio.sleep(LATE_AT_S)
        ready = [entry.host for entry in fleet.entries if await is_ready(entry)]
        record.write(f"entries of the zone that are ready: {ready}")
        if has_trouble and ready:
            record.write("a new connection would go to an entry that is ready")
            return COULD_NOT_RUN
        late = [asyncio.create_task(draft(second, LONG_EVENTS)) for _ in range(LATE_STREAMS)]
        ended = await asyncio.gather(*late)
        others = await asyncio.gather(*busy)
        await asyncio.gather(*stops)
        cut = [
            attempt_id
            for attempt_id, answer in ended
            if not answer.is_whole and attempt_id in passed_on
        ]
        record.write(
            f"late streams that were passed on and ended without a complete answer: {cut};"
            f" streams under way at SIGTERM that were whole:"
            f" {sum(answer.is_whole for _, answer in others)} of {len(others)}"
        )
        if not has_trouble and not all(answer.is_whole for _, answer in [*ended, *others]):
            return COULD_NOT_RUN
        return BROKEN if cut else HELD
    finally:
        fleet.stop()


run_case(FOLDER, case)
