"""A replica runs an order and its answer is lost; the next opening packet is lost, too.

The entry answers 503, which promises that the order has not run and never will.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from fleet import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST_NAME,
    Fleet,
    Record,
    Request,
    answer_bytes,
    configuration,
    reset,
    run_case,
)
from lossy import LossyServer  # noqa: E402

PROMISES = {408, 421, 429, 503}
WORK_S = 0.025
# What a client has left that comes again within its deadline of 1,000 ms.
LEFT_MS = 300
ORDERS = 120
# Of the answers of one of the two replicas, two in five are lost, with a reset.
LOST_OF_FIVE = 2
# The share of all opening packets to the replicas that may be lost.
LOST_PACKETS = 0.025
LOSS_S = 0.6


async def case(record: Record, has_trouble: bool) -> int:
    """Send orders one after the other, with lost answers and lost packets."""
    fleet = Fleet(record)
    began: dict[str, str] = {}
    replicas: list[LossyServer] = []
    lost_packets = 0

    def replica(server_id: str, loses_answers: bool) -> LossyServer:
        orders = 0

        async def handle(
            request: Request, _: object, writer: asyncio.StreamWriter
        ) -> bool:
            nonlocal orders, lost_packets
            attempt_id = request.headers.get("bramleyturn-attempt-id", "")
            if (
                request.headers.get("bramleyturn-expected-instance", server_id)
                != server_id
            ):
                writer.write(answer_bytes(421, {"Bramleyturn-Not-Executed": "1"}, b""))
                return True
            if request.target == "/health":
                writer.write(
                    answer_bytes(200, {"Bramleyturn-Instance-Id": server_id}, b"")
                )
                return True
            began[attempt_id] = server_id
            orders += 1
            record.write(f"{server_id} begins to work on {attempt_id}")
            await asyncio.sleep(WORK_S)
            if loses_answers and orders % 5 < LOST_OF_FIVE:
                opened = sum(each.opened for each in replicas)
                if lost_packets + 1 <= LOST_PACKETS * opened:
                    lost_packets += 1
                    record.write(
                        f"the next opening packet to {server_id} is lost"
                        f" ({lost_packets} of {opened})"
                    )
                    replicas[0].lose()
                    asyncio.get_running_loop().call_later(LOSS_S, replicas[0].restore)
                record.write(f"{server_id} has run {attempt_id}; its answer is lost")
                reset(writer)
                return False
            headers = {
                "Bramleyturn-Attempt-Id": attempt_id,
                "Bramleyturn-Response-Signature": "3e1b.07.5a2.600.0.c9f2a4d1",
                "Content-Type": "text/plain",
            }
            writer.write(answer_bytes(200, headers, f"order {attempt_id}".encode()))
            return True

        return LossyServer(fleet.next_host(), handle)

    try:
        for place, server_id in enumerate(("i-7f3a91c2", "i-02d9e6b4")):
            replicas.append(replica(server_id, has_trouble and place == 0))
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
        false = []
        answered = 0
        for place in range(ORDERS):
            attempt_id = f"9c41d07be2a3{place:04x}"
            entry = fleet.entries[place % len(fleet.entries)]
            answer = await fleet.call(
                entry, "POST", f"/bobo563/{place}", attempt_id, LEFT_MS, body=b"x" * 600
            )
            answered += answer.status == 200
            record.write(
                f"client gets {answer.status} for {attempt_id}"
                f" after {answer.took_ms} ms {answer.body[:80]!r}"
            )
            if answer.status in PROMISES and attempt_id in began:
                false.append(attempt_id)
            while any(each.is_losing for each in replicas):
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.1)
        opened = sum(each.opened for each in replicas)
        record.write(
            f"{len(began)} of {ORDERS} orders ran, {answered} were answered;"
            f" {lost_packets} of {opened} opening packets were lost;"
            f" orders that ran and got a promise: {false}"
        )
        if has_trouble and not lost_packets:
            return COULD_NOT_RUN
        if not has_trouble and answered != ORDERS:
            return BROKEN
        return BROKEN if false else HELD
    finally:
        fleet.stop()
        for each in replicas:
            each.close()


run_case(FOLDER, case)
