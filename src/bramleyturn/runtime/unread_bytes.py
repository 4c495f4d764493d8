"""Tell whether a socket holds bytes that the reactor has not read yet."""

from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any, Final

# Time for a late reactor to read what has arrived.
READ_WAIT_S: Final = 0.01


def has_unread_bytes(transport: Any) -> bool:
    """Tell whether bytes have arrived that the reactor has not read yet.

    Where the reactor is late, its timers run before it reads what arrived meanwhile.
    """
    try:
        return bool(transport.getHandle().recv(1, MSG_PEEK | MSG_DONTWAIT))
    except OSError:
        return False
