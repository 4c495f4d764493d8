"""A link between the entries and one backend server, which can be cut and heal.

While it is cut nothing passes. What was on its way, the end of a connection too, goes
on once the link has healed, as TCP sends it again then.
"""

import asyncio


class Link:
    """Passes the connections to one address on to another."""

    def __init__(self, target_host, target_port):
        self.target = (target_host, target_port)
        self.is_open = asyncio.Event()
        self.is_open.set()

    def cut(self):
        """Let nothing pass."""
        self.is_open.clear()

    def heal(self):
        """Let everything pass, first what was held up."""
        self.is_open.set()

    async def serve(self, reader, writer):
        """Pass one connection on."""
        await self.is_open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pass(reader, far_writer), self._pass(far_reader, writer)
        )

    async def _pass(self, reader, writer):
        """Pass one direction on, up to its end: orderly, or a reset."""
        try:
            while True:
                data = await reader.read(65536)
                await self.is_open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except ConnectionError:
            await self.is_open.wait()
            writer.transport.abort()
