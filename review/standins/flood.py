"""Run one model replica as a process that sends streams without an end.

Arguments: the address and port to listen at, and the id. Each stream begins with sound
events.
"""

import asyncio
import sys

from fleet import Request, answer_bytes, serve

SOUND_EVENTS = 20
PAUSE_S = 0.03
PART = b"data: " + b"#" * 200_000 + b"\n\n"


async def main(host: str, port: int, server_id: str) -> None:
    """Serve until the process is killed."""

    async def handle(request: Request, _: object, writer: asyncio.StreamWriter) -> bool:
        if request.headers.get("bramleyturn-expected-instance", server_id) != server_id:
            writer.write(answer_bytes(421, {"Bramleyturn-Not-Executed": "1"}, b""))
            return True
        if request.target in ("/health", "/bramleyturn/report"):
            headers = {"Bramleyturn-Instance-Id": server_id}
            writer.write(answer_bytes(200, headers, b'{"running":1,"waiting":0}'))
            return True
        attempt_id = request.headers["bramleyturn-attempt-id"]
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Bramleyturn-Attempt-Id: {attempt_id}\r\n"
            "Bramleyturn-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, SOUND_EVENTS + 1):
            text = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await asyncio.sleep(PAUSE_S)
        print(f"{server_id} sends bytes without end to {attempt_id}", flush=True)
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(PART), PART))
            await writer.drain()

    server = await serve(host, port, handle)
    print("listens", flush=True)
    await server.serve_forever()


asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
