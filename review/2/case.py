"""A replica runs orders, its connections are reset, and it can't be reached for a while.

The entry answers 503, which promises that the order has not run and never will.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from cuttable import CuttableServer  # noqa: E402
from fleet import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST_NAME,
    Answer,
    Fleet,
    Record,
    Request,
    answer_bytes,
    configuration,
    run_case,
)

PROMISES = {408, 421, 429, 503}
# The members service works 15 ms on average, 110 ms at most, and 5 times as long if slow.
WORK_S = 0.25
# What a client has left that comes again within its deadline of 1,000 ms.
LEFT_MS = 450
CUT_AFTER_S = 0.15
ORDERS = 12


async def case(record: Record, has_trouble: bool) -> int:
    """Send orders; cut one of two replicas off while it works on them."""
    fleet = Fleet(record)
    began: dict[str, str] = {}
    replicas: list[CuttableServer] = []

    def replica(server_id: str) -> CuttableServer:
        async def handle(request: Request, _: object, writer: asyncio.StreamWriter) -> bool:
            attempt_id = request.headers.get("bramleyturn-attempt-id", "")
            if request.headers.get("bramleyturn-expected-instance", server_id) != server_id:
                writer.write(answer_bytes(421, {"Bramleyturn-Not-Executed": "1"}, b""))
                return True
            if request.target == "/health":
                writer.write(answer_bytes(200, {"Bramleyturn-Instance-Id": server_id}, b""))
                return True
            began[attempt_id] = server_id
            record.write(f"{server_id} begins to work on {attempt_id}")
            await asyncio.sleep(WORK_S)
            headers = {
                "Bramleyturn-Attempt-Id": attempt_id,
                "Bramleyturn-Response-Signature": "3e1b.07.5a2.600.0.c9f2a4d1",
                "Content-Type": "text/plain",
            }
            writer.write(answer_bytes(200, headers, f"order {attempt_id}".encode()))
            record.write(f"{server_id} has run {attempt_id}")
            return True

        return CuttableServer(fleet.next_host(), handle)

    try:
        for server_id in ("i-7f3a91c2", "i-02d9e6b4"):
            replicas.append(replica(server_id))
            fleet.register(server_id, "wuno96b", replicas[-1].address)
        route = {
            "name": "orders",
            "host": HOST_NAME,
            "prefix": "/bobo563/",
            "kind": "non_idempotent",
            "timeoutMs": 1000,
            "targetLatencyMs": 100,
            "priority": 2,
            "service": "wuno96b",
            "maxAttempts": 1,
            "stages": [],
            "public": False,
        }
        service = {
            "name": "wuno96b",
            "healthPath": "/health",
            "maxConnections": 200,
            "protocol": "h1",
            "tls": False,
        }
        fleet.store.put("op/config", configuration([route], [service]))
        await fleet.start_entries()

        async def order(place: int) -> tuple[str, Answer]:
            attempt_id = f"9c41d07be2a3{place:04x}"
            entry = fleet.entries[place % len(fleet.entries)]
            record.write(f"client sends {attempt_id} with {LEFT_MS} ms left")
            answer = await fleet.call(
                entry, "POST", f"/bobo563/{place}", attempt_id, LEFT_MS, body=b"x" * 600
            )
            retry = answer.headers.get("retry-after")
            record.write(
                f"client gets {answer.status} for {attempt_id} after {answer.took_ms} ms"
                f" (Retry-After: {retry}) {answer.body[:80]!r}"
            )
            return attempt_id, answer

        orders = [asyncio.create_task(order(place)) for place in range(ORDERS)]
        await asyncio.sleep(CUT_AFTER_S)
        if has_trouble:
            record.write("the first replica is cut off; its connections are reset")
            replicas[0].cut()
        answers = await asyncio.gather(*orders)
        await asyncio.sleep(0.5)
        if not any(began.get(attempt_id) == "i-7f3a91c2" for attempt_id, _ in answers):
            record.write("no order was at the first replica")
            return COULD_NOT_RUN
        false = [
            attempt_id
            for attempt_id, answer in answers
            if answer.status in PROMISES and attempt_id in began
        ]
        record.write(f"{len(began)} orders ran; {len(false)} of them got a promise: {false}")
        if not has_trouble and any(answer.status != 200 for _, answer in answers):
            record.write("not all orders were answered though nothing happened")
            return BROKEN
        return BROKEN if false else HELD
    finally:
        fleet.stop()
        for each in replicas:
            each.close()


run_case(FOLDER, case)
