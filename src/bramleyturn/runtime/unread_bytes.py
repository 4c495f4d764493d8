"""Tell whether a connection holds bytes that were not read or sent yet."""

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


def unsent_bytes(transport: Any) -> int:
    """Return how many bytes a transport holds until the socket has taken all of them.

    Twisted does not publish this; its own transports keep it in these attributes.
    """
    begun = len(getattr(transport, "dataBuffer", b""))
    return begun + int(getattr(transport, "_tempDataLen", 0))


def has_unsent_bytes(transport: Any) -> bool:
    """Tell whether bytes that were written wait until the socket takes them."""
    return unsent_bytes(transport) > 0
