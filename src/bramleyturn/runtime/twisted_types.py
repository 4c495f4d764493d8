"""Describe the parts of Twisted that are used, for the type checker.

Twisted declares its interfaces with zope.interface, which type checkers can't read.
"""

from collections.abc import Callable
from typing import Any, BinaryIO, Protocol


class HttpRequest(Protocol):
    """Describe a request that is being answered."""

    content: BinaryIO
    args: dict[bytes, list[bytes]]
    uri: bytes

    def getHeader(self, key: str) -> str | None:  # noqa: N802
        """Return a header of the request."""

    def setHeader(self, name: str, value: str) -> None:  # noqa: N802
        """Set a header of the answer."""

    def setResponseCode(self, code: int) -> None:  # noqa: N802
        """Set the status of the answer."""

    def getClientAddress(self) -> Any:  # noqa: N802
        """Return the address of the peer; ``host`` is its IP number."""

    def getHost(self) -> Any:  # noqa: N802
        """Return the address that the peer connected to, with a ``host`` too."""

    def notifyFinish(self) -> Any:  # noqa: N802
        """Return a Deferred that fails if the caller goes away."""


class DelayedCall(Protocol):
    """Describe a call that is to come."""

    def active(self) -> bool:
        """Tell whether the call is still to come."""

    def cancel(self) -> None:
        """Prevent the call."""


class Reactor(Protocol):
    """Describe the loop."""

    # Whatever takes a whole reactor is the library itself, so the rest is left open.
    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """Call something after ``delay`` seconds."""
