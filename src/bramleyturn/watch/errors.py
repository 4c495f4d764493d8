"""Define how reads of the platform and of other watches fail."""

from enum import StrEnum
from typing import NamedTuple


class PlatformFailure(StrEnum):
    """Name the ways in which a read of the platform fails."""

    UNREACHABLE = "unreachable"
    RATE_LIMITED = "rate_limited"
    MALFORMED = "malformed"


class PlatformFailed(NamedTuple):
    """Explain a failed read. ``retry_after_ms`` is set where the platform named it."""

    failure: PlatformFailure
    detail: str
    retry_after_ms: int | None
