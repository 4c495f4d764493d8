"""One backend server of a plain service, as a process of its own.

Started with its settings as JSON. It writes its entry to the store every heartbeat,
answers its health path, and runs requests. What it runs goes to standard output, a JSON
line for each event. A request may say in ``X-Work`` how it is answered, as JSON:
``ms`` of work, ``size`` of the body, ``frame`` (length or close) and ``pause_ms``
between the two halves of the body.
"""

import asyncio
import hashlib
import json
import sys
import time

from web import answer_bytes, head_bytes, read_head, read_request, request_bytes

BEAT_TIMEOUT_S = 0.4


def body_of(attempt_id, size):
    """Return the body of the answer to a request, which the client can tell."""
    seed = hashlib.sha256(attempt_id.encode()).hexdigest()
    return (seed * (size // len(seed) + 1))[:size].encode()


class Server:
    """Holds the settings of the server and what it has in progress."""

    def __init__(self, settings):
        self.settings = settings
        self.born = int(time.time() * 1000)
        self.running = 0

    def record(self, event, **fields):
        """Write a line for the test."""
        line = {"at": round(time.monotonic(), 3), "event": event, **fields}
        line["server"] = self.settings["id"]
        print(json.dumps(line), flush=True)

    async def beat(self):
        """Write the entry to the store at intervals."""
        settings = self.settings
        sequence = 0
        entry = {
            "service": settings["service"],
            "address": settings["advertised"],
            "zone": settings["zone"],
            "version": "v1",
            "slots": settings["slots"],
            "state": "ready",
            "coldRemainingMs": 0,
            "born": self.born,
        }
        host, _, port = settings["store"].rpartition(":")
        while True:
            body = json.dumps(
                {
                    "key": f"servers/{settings['id']}",
                    "entry": entry | {"sequence": sequence},
                }
            ).encode()
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(request_bytes("POST", "/beat", [("Host", host)], body))
                await asyncio.wait_for(read_head(reader), BEAT_TIMEOUT_S)
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(settings["heartbeat_ms"] / 1000)

    def identity(self):
        """Return the headers that name the server and its load."""
        return [
            ("Bramleyturn-Instance-Id", self.settings["id"]),
            ("Bramleyturn-Instance-Load", f"{self.running},0,{self.settings['slots']}"),
        ]

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, writer):
        expected = request.headers.get("bramleyturn-expected-instance")
        if expected not in (None, self.settings["id"]):
            writer.write(answer_bytes(421, self.identity()))
            return True
        if request.target == "/health":
            await asyncio.sleep(0.001)
            writer.write(answer_bytes(200, self.identity()))
            return True
        attempt_id = request.headers["bramleyturn-attempt-id"]
        work = json.loads(request.headers.get("x-work", "{}"))
        self.record("begins", id=attempt_id, method=request.method)
        self.running += 1
        await asyncio.sleep(work.get("ms", 20) / 1000)
        self.running -= 1
        body = body_of(attempt_id, work.get("size", 800))
        is_framed = work.get("frame", "length") == "length"
        headers = [
            *self.identity(),
            ("Bramleyturn-Attempt-Id", attempt_id),
            ("Bramleyturn-Response-Signature", f"s.{attempt_id}"),
            ("Content-Type", "application/octet-stream"),
        ]
        if is_framed:
            headers.append(("Content-Length", len(body)))
        else:
            headers.append(("Connection", "close"))
        half = len(body) // 2 if work.get("pause_ms") else len(body)
        writer.write(head_bytes(200, headers) + body[:half])
        await writer.drain()
        if half < len(body):
            self.record("half", id=attempt_id)
            await asyncio.sleep(work["pause_ms"] / 1000)
            writer.write(body[half:])
            await writer.drain()
        self.record("ends", id=attempt_id, bytes=len(body))
        return is_framed


async def main():
    """Run until killed."""
    server = Server(json.loads(sys.argv[1]))
    host, _, port = server.settings["address"].rpartition(":")
    listening = await asyncio.start_server(server.serve, host, int(port), limit=2**22)
    server.record("starts", born=server.born)
    async with listening:
        await server.beat()


if __name__ == "__main__":
    asyncio.run(main())
