"""Listen at an address that can be cut off: open connections are reset, new ones hang."""

import asyncio
import socket

from fleet import Handler, read_request, reset


class CuttableServer:
    """Serve connections until the address is cut off from its callers.

    While it is cut, the packets that open a connection get no answer, as on a machine
    behind a partition.
    """

    def __init__(self, host: str, handle: Handler) -> None:
        self.handle = handle
        self.listener = socket.socket()
        self.listener.bind((host, 0))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.writers: set[asyncio.StreamWriter] = set()
        self.fillers: list[socket.socket] = []
        self.accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            asyncio.create_task(self._run(reader, writer))

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def cut(self) -> None:
        """Reset the open connections; leave new ones without an answer."""
        self.accepting.cancel()
        self.listener.listen(0)
        for _ in range(4):
            # The queue of the listening socket is full after the first ones.
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)
        for writer in list(self.writers):
            reset(writer)

    def close(self) -> None:
        """Close all sockets."""
        self.accepting.cancel()
        for each in [*self.fillers, self.listener]:
            each.close()
