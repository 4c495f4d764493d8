"""Tell how long callers wait for the first event of a stream.

Load pattern handled here: a burst in which requests wait for their stages for longer
than their callers do, although their deadlines are far away. Work for them is lost, and
it takes the place of others. They are refused at once and can come back in time.
"""

from typing import Final

from bramleyturn.core.catalog.model import Route, RouteKind

# The platform's callers give a stream up after the longest of these.
MIN_PATIENCE_MS: Final = 2_000
PATIENCE_PER_AIM: Final = 4
PATIENCE_PER_PAUSE: Final = 8


def patience_ms(route: Route) -> int | None:
    """Return how long a caller waits for the first event, None if to its deadline."""
    if route.kind is not RouteKind.STREAM:
        return None
    return max(
        MIN_PATIENCE_MS,
        PATIENCE_PER_AIM * route.aim_ms,
        PATIENCE_PER_PAUSE * route.pause_aim_ms,
    )
