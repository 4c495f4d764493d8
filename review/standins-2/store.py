"""The platform's store, as PROTOCOL.md describes it, with what a test needs to steer it.

Reads answer after 4 ms. Entries of servers lapse after three heartbeat intervals.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from web import answer_bytes, read_request

ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Holds items, their history and the watches that wait."""

    def __init__(self, heartbeat_ms=1200):
        self.lapse_s = 3 * heartbeat_ms / 1000
        self.revision = 1
        self.items = {}
        self.history = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.heard = {}
        self.refuses = 0
        self.cut_off = set()

    def put(self, key, value):
        """Write a value, bytes, and tell the watches."""
        self.revision += 1
        created = self.items.get(key, {}).get("createRev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRev": created,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)

    def delete(self, key):
        """Remove an item, if it is there."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def beat(self, key, document):
        """Take a server's heartbeat; only a changed entry is written."""
        self.heard[key] = time.monotonic()
        value = json.dumps(document).encode()
        known = self.items.get(key)
        if known is None or known["value"] != base64.b64encode(value).decode():
            self.put(key, value)

    async def expire(self):
        """Remove the entries of servers that are silent."""
        while True:
            await asyncio.sleep(0.1)
            for key, heard in list(self.heard.items()):
                if time.monotonic() - heard > self.lapse_s:
                    del self.heard[key]
                    self.delete(key)

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                status, document = await self._handle(request)
                writer.write(
                    answer_bytes(
                        status,
                        [("Content-Type", "application/json"), ("Store-Era", "1")],
                        json.dumps(document).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, request):
        if request.method == "POST":
            # The servers' own way to write, which PROTOCOL.md does not describe.
            document = json.loads(request.body)
            if document["key"] in self.cut_off:
                # The server's packets don't arrive; it tries again by itself.
                await asyncio.sleep(5)
                raise ConnectionResetError
            if document.get("gone"):
                self.heard.pop(document["key"], None)
                self.delete(document["key"])
            else:
                self.beat(document["key"], document["entry"])
            return 200, {}
        await asyncio.sleep(ANSWER_S)
        if self.refuses:
            return self.refuses, {}
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/bramleyturn/kv-range":
            after = query.get("after", "")
            keys = sorted(
                key for key in self.items if key.startswith(prefix) and key > after
            )
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {
                "items": page,
                "truncated": len(keys) > PAGE_ITEMS,
                "currentRev": self.revision,
            }
        if parts.path == "/bramleyturn/kv-watch":
            return await self._watch(
                prefix, int(query["after"]), int(query["waitMs"]) / 1000
            )
        return 404, {}

    async def _watch(self, prefix, after, wait_s):
        if after < self.forgotten or after > self.revision:
            return 410, {}
        end = time.monotonic() + wait_s
        while True:
            changed = self.changed
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
