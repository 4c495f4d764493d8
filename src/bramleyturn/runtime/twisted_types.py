"""Declare types for the parts of Twisted that are used.

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
        """Return a Deferred that fails if the caller disconnects."""


class DelayedCall(Protocol):
    """Describe a scheduled call."""

    def active(self) -> bool:
        """Tell whether the call is still pending."""

    def cancel(self) -> None:
        """Cancel the call."""


class Reactor(Protocol):
    """Describe the reactor."""

    def seconds(self) -> float:
        """Return the reactor's time, from an arbitrary start."""

    # Only Twisted itself needs the other methods, so they are not declared.
    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """Call something after ``delay`` seconds."""
