"""One engine, as a process of its own: it streams events and reports on itself.

Started like server.py, whose entry and health it shares. ``X-Work`` of a request has
``events``, ``gap_ms`` between them and ``frame`` (chunked or close). After SIGUSR1 the
engine is in need: it refuses new requests with 503 and ``Retry-After``, and goes on
with those that it runs. From SIGUSR2 on, until the next one, it answers a share of the
requests with bytes that are no answer, without end.
"""

import asyncio
import json
import random
import signal
import sys

from server import Server
from web import answer_bytes, head_bytes

RETRY_AFTER_S = 8
# The share of their requests that servers in trouble fail, in both site files.
ENDLESS_SHARE = 0.45
# Chunks of one byte, as many as are written at once.
TINY_CHUNKS = b"1\r\nx\r\n" * 4096


def event(number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: word {number}\n\n".encode()


class Engine(Server):
    """Holds the engine's state."""

    def __init__(self, settings):
        super().__init__(settings)
        self.is_in_need = False
        self.is_endless = False

    def toggle_endless(self):
        """Begin or end to answer without end."""
        self.is_endless = not self.is_endless
        self.record("answers without end" if self.is_endless else "answers as usual")

    def need(self):
        """Refuse new requests from now on."""
        self.is_in_need = True
        self.record("in need")

    async def _answer(self, request, writer):
        expected = request.headers.get("bramleyturn-expected-instance")
        if expected not in (None, self.settings["id"]):
            writer.write(answer_bytes(421, self.identity()))
            return True
        if request.target == "/bramleyturn/report":
            report = {
                "stage": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 1,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 500_000,
                "handles": 0,
                "born": self.born,
            }
            self.record("reports")
            writer.write(
                answer_bytes(
                    200,
                    [("Content-Type", "application/json")],
                    json.dumps(report).encode(),
                )
            )
            return True
        if request.target == "/health":
            return await super()._answer(request, writer)
        attempt_id = request.headers["bramleyturn-attempt-id"]
        if self.is_in_need:
            self.record("refuses", id=attempt_id)
            headers = [
                *self.identity(),
                ("Bramleyturn-Attempt-Id", attempt_id),
                ("Bramleyturn-Not-Executed", "1"),
                ("Retry-After", RETRY_AFTER_S),
            ]
            writer.write(answer_bytes(503, headers))
            return True
        work = json.loads(request.headers.get("x-work", "{}"))
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.record("begins", id=attempt_id, method=request.method, first=first)
        self.running += 1
        is_chunked = work.get("frame", "chunked") == "chunked"
        framing = ("Transfer-Encoding", "chunked")
        if self.is_endless and random.random() < ENDLESS_SHARE:
            await self._answer_without_end(attempt_id, writer)
            return False
        headers = [
            *self.identity(),
            ("Bramleyturn-Attempt-Id", attempt_id),
            ("Bramleyturn-Response-Signature", f"s.{attempt_id}"),
            ("Content-Type", "text/event-stream"),
            framing if is_chunked else ("Connection", "close"),
        ]
        writer.write(head_bytes(200, headers))
        for number in range(first, work.get("events", 20) + 1):
            await asyncio.sleep(work.get("gap_ms", 50) / 1000)
            data = event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data) if is_chunked else data)
            await writer.drain()
            self.record("event", id=attempt_id, number=number)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        self.running -= 1
        self.record("ends", id=attempt_id)
        return is_chunked

    async def _answer_without_end(self, attempt_id, writer):
        headers = [
            ("Bramleyturn-Attempt-Id", attempt_id),
            ("Bramleyturn-Response-Signature", f"s.{attempt_id}"),
            ("Content-Type", "application/octet-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(head_bytes(200, headers))
        sent = 0
        try:
            while True:
                writer.write(TINY_CHUNKS)
                await writer.drain()
                sent += len(TINY_CHUNKS)
        finally:
            self.running -= 1
            self.record("closed", id=attempt_id, bytes=sent)


async def main():
    """Run until killed."""
    engine = Engine(json.loads(sys.argv[1]))
    host, _, port = engine.settings["address"].rpartition(":")
    listening = await asyncio.start_server(engine.serve, host, int(port))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, engine.need)
    loop.add_signal_handler(signal.SIGUSR2, engine.toggle_endless)
    engine.record("starts", born=engine.born)
    async with listening:
        await engine.beat()


if __name__ == "__main__":
    asyncio.run(main())
