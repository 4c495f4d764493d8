"""Parse the start time of a query, given as an age or a timestamp."""

import re
from datetime import UTC, datetime
from typing import Final

from bramleyturn.core.units import MS_PER_S

AGE: Final = re.compile(r"([0-9]{1,9})(s|m|h)")
SECONDS_PER_UNIT: Final = {"s": 1, "m": 60, "h": 3_600}


def parse_since_ms(text: str, now_ms: int) -> int | None:
    """Parse an age or an ISO 8601 time to a wall-clock time, None if malformed.

    A time without an offset is in UTC.
    """
    age = AGE.fullmatch(text)
    if age is not None:
        return now_ms - int(age[1]) * SECONDS_PER_UNIT[age[2]] * MS_PER_S
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        return None
    if at.tzinfo is None:
        at = at.replace(tzinfo=UTC)
    return int(at.timestamp() * MS_PER_S)
