"""Accept connections at a bounded rate, and close a port without losing any."""

import logging
import socket
import struct
from array import array
from collections.abc import Callable
from typing import Any, Final

from twisted.internet import tcp
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

MAX_ACCEPT_ROUNDS: Final = 64
# New connections that a late process finds.
LISTEN_BACKLOG: Final = 512
# Accepted in one turn of the event loop. Twisted alone would accept the whole backlog,
# before the connections that are closed for new ones give their descriptors back.
MAX_ACCEPTS_PER_TURN: Final = 32
# From the headers of Linux: a socket option that Python has no name for, and the size
# of an instruction of the classic packet filter.
SO_ATTACH_FILTER: Final = 26
INSTRUCTION_BYTES: Final = 8
# Instructions as code, jumps and operand: drop the packet if its TCP flags, at byte
# 13, have SYN and not ACK, which opens a connection.
DROP_OPENING_PACKETS: Final = b"".join(
    struct.pack("=HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # load a byte
        (0x54, 0, 0, 0x12),  # keep SYN and ACK
        (0x15, 0, 1, 0x02),  # skip one instruction unless it is SYN
        (0x06, 0, 0, 0),  # drop
        (0x06, 0, 0, 0xFFFFFFFF),  # keep the whole packet
    )
)

logger = logging.getLogger(__name__)

# Twisted's classes have no type annotations.
_Port: Any = tcp.Port


class BoundedPort(_Port):  # type: ignore[misc]
    """Listen, and accept a bounded number of connections in one turn of the loop."""

    numberAccepts: int  # noqa: N815

    def doRead(self) -> None:  # noqa: N802
        """Accept connections that wait."""
        self.numberAccepts = min(self.numberAccepts, MAX_ACCEPTS_PER_TURN)
        super().doRead()


def open_port(reactor: Any, port: int, factory: Any, host: str) -> Any:
    """Listen at an address; return the port."""
    opened = BoundedPort(port, factory, LISTEN_BACKLOG, host, reactor)
    opened.startListening()
    return opened


def close_port(port: Any, accepted: Callable[[], int]) -> None:
    """Accept pending connections and close the port in the same reactor turn.

    ``accepted`` returns the number of connections accepted so far. Twisted's
    ``stopListening`` closes a port one turn later, and would reset the connections that
    are set up in between.
    """
    hold_off_new(port.socket)
    accept_waiting(port, accepted)
    port.stopReading()
    port.connectionLost(Failure(ConnectionDone()))


def hold_off_new(listening: socket.socket) -> None:
    """Ignore attempts to connect: callers repeat them, and find the port closed.

    Otherwise a connection could be set up between the last accept and the close, which
    resets it, whatever it has sent.
    """
    program = array("B", DROP_OPENING_PACKETS)
    address, size = program.buffer_info()
    option = struct.pack("@HP", size // INSTRUCTION_BYTES, address)
    try:
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
    except OSError as error:
        # Only Linux has packet filters.
        logger.info("no packet filter", extra={"reason": str(error)})


def accept_waiting(port: Any, accepted: Callable[[], int]) -> None:
    """Accept every connection in the listen backlog.

    Closing the port would reset them, whatever they have sent.
    """
    for _ in range(MAX_ACCEPT_ROUNDS):
        before = accepted()
        port.doRead()
        if accepted() == before:
            return
