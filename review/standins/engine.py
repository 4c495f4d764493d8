"""Run one model replica as a process: its streams have no length.

Arguments: the address and port to listen at, the id, the number of events of a stream,
and the pause between them in seconds. It prints when it was born, and what it runs, one
line each.
"""

import asyncio
import json
import sys
import time

from fleet import Request, answer_bytes, serve

FIRST_EVENT_S = 0.1


async def main(
    host: str, port: int, server_id: str, events: int, pause_s: float
) -> None:
    """Serve until the process is killed."""
    born_ms = int(time.time() * 1000)
    running: set[str] = set()

    async def handle(request: Request, _: object, writer: asyncio.StreamWriter) -> bool:
        if request.headers.get("bramleyturn-expected-instance", server_id) != server_id:
            writer.write(answer_bytes(421, {"Bramleyturn-Not-Executed": "1"}, b""))
            return True
        if request.target == "/health":
            writer.write(answer_bytes(200, {"Bramleyturn-Instance-Id": server_id}, b""))
            return True
        if request.target == "/bramleyturn/report":
            report = {
                "stage": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "waiting": 0,
                "running": len(running),
                "kvUsed": 0,
                "kvTotal": 581741,
                "handles": 0,
                "born": born_ms,
            }
            print(f"reports that it was born at {born_ms}", flush=True)
            headers = {"Content-Type": "application/json"}
            writer.write(answer_bytes(200, headers, json.dumps(report).encode()))
            return True
        attempt_id = request.headers.get("bramleyturn-attempt-id", "")
        first = int(request.headers.get("last-event-id", "0")) + 1
        print(f"runs {attempt_id} from event {first}", flush=True)
        running.add(attempt_id)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Bramleyturn-Attempt-Id: {attempt_id}\r\nConnection: close\r\n"
            "Bramleyturn-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"
        )
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write(head.encode())
        for number in range(first, events + 1):
            writer.write(f"id: {number}\ndata: piece {number} of {events}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(pause_s)
        running.discard(attempt_id)
        print(f"has run {attempt_id}", flush=True)
        return False

    server = await serve(host, port, handle)
    print(f"born at {born_ms}", flush=True)
    await server.serve_forever()


asyncio.run(
    main(
        sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4]), float(sys.argv[5])
    )
)
