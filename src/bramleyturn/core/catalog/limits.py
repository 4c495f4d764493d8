"""Define the limits that apply until a configuration is known."""

from typing import Final

from bramleyturn.core.catalog.model import CallerLimits

KIBIBYTE: Final = 1024

# Used until the first configuration arrives, and for limits that it does not set.
DEFAULT_CALLER_LIMITS: Final = CallerLimits(
    max_header_bytes=16 * KIBIBYTE,
    max_body_bytes=4 * KIBIBYTE * KIBIBYTE,
    header_timeout_ms=3_000,
    idle_timeout_ms=15_000,
)
