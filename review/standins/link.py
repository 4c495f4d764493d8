"""Relay connections to a replica; while the link is cut, bytes are held up."""

import asyncio


class Link:
    """Relay both ways. The end of a connection waits behind the bytes before it."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.passes = asyncio.Event()
        self.passes.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def listen(self, host: str) -> None:
        """Start to accept connections."""
        self.server = await asyncio.start_server(self._accept, host, 0)
        found = self.server.sockets[0].getsockname()
        self.address = f"{found[0]}:{found[1]}"

    def cut(self) -> None:
        """Hold up all bytes."""
        self.passes.clear()

    def heal(self) -> None:
        """Let all bytes pass."""
        self.passes.set()

    def close(self) -> None:
        """Stop."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self.passes.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            # A port without a listener resets the connection.
            writer.transport.abort()
            return
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._relay(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _relay(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                data = await source.read(65_536)
                await self.passes.wait()
                if not data:
                    break
                sink.write(data)
                await sink.drain()
            sink.close()
        except ConnectionResetError:
            await self.passes.wait()
            sink.transport.abort()
        except OSError:
            sink.close()
