"""Read a request whose body is bounded, by itself and together with all others."""

from io import BytesIO
from typing import Any, Final

import orjson
from twisted.web import http, server
from zope.interface import provider

STATUS_TOO_LARGE: Final = 413
STATUS_UNAVAILABLE: Final = 503
BUSY_BODY: Final = orjson.dumps(
    {
        "type": "about:blank",
        "title": "Too much to read",
        "status": STATUS_UNAVAILABLE,
        "detail": "this service reads too many bodies at once",
        "field": "body",
    }
)
TOO_LARGE_BODY: Final = orjson.dumps(
    {
        "type": "about:blank",
        "title": "Body too large",
        "status": STATUS_TOO_LARGE,
        "detail": "the body is larger than this service takes",
        "field": "body",
    }
)

# Twisted's classes have no type annotations.
_Request: Any = server.Request
_request_factory: Any = vars(http)["INonQueuedRequestFactory"]


@provider(_request_factory)
class BoundedRequest(_Request):  # type: ignore[misc]
    """Read a request and refuse a body that exceeds the limit of its path."""

    received_bytes = 0
    limit_bytes = 0
    is_refused = False
    is_complete = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose Content-Length exceeds the limit."""
        self.limit_bytes = self.channel.site.body_limit(self.channel._path)
        if length is not None and length > self.limit_bytes:
            self.refuse()
            return
        # Twisted would open a temporary file for a large body, or one in chunks.
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a part of the body while it stays within the limit."""
        if self.is_refused:
            return
        self.received_bytes += len(data)
        if self.received_bytes > self.limit_bytes:
            self.refuse()
            return
        super().handleContentChunk(data)
        self.channel.site.hold_body(self, len(data))

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Handle a complete request, unless it has been refused."""
        self.is_complete = True
        if not self.is_refused:
            super().requestReceived(command, path, version)

    def _cleanup(self) -> None:
        self.channel.site.release_body(self)
        super()._cleanup()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Forget the body, as the caller is gone."""
        self.channel.site.release_body(self)
        super().connectionLost(reason)

    def refuse(self) -> None:
        """Answer that the body is too large and close the connection."""
        self._refuse(f"{STATUS_TOO_LARGE} Body too large", TOO_LARGE_BODY)

    def refuse_over_bound(self) -> None:
        """Answer that all bodies together are too large, and close the connection."""
        self._refuse(f"{STATUS_UNAVAILABLE} Too much to read", BUSY_BODY)

    def _refuse(self, status: str, body: bytes) -> None:
        self.is_refused = True
        self.channel.site.release_body(self)
        self.content = BytesIO()
        transport: Any = self.channel.transport
        head = (
            f"HTTP/1.1 {status}\r\n"
            "Content-Type: application/problem+json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        transport.write(head.encode() + body)
        self.channel.linger()
