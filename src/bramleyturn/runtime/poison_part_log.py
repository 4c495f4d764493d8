"""Log which parts of requests were found to crash servers, for both interfaces."""

import logging
from collections.abc import Mapping
from typing import Final

from bramleyturn.core.crashes import PoisonPart

MAX_LOGGED_SERVERS: Final = 8

logger = logging.getLogger(__name__)


def log_poison_parts(
    before: Mapping[str, PoisonPart], found: Mapping[str, PoisonPart], now_ms: int
) -> None:
    """Log the parts that are quarantined since ``before``, and those that no more are.

    Their names are the ids of prompt parts, or digests of members of an input.
    """
    for part in found.keys() - before.keys():
        poison = found[part]
        logger.warning(
            "shared part quarantined",
            extra={
                "part": part,
                "crashes": len(poison.servers),
                "servers": poison.servers[-MAX_LOGGED_SERVERS:],
                "workspaces": len(poison.workspaces),
                "left_ms": poison.until_ms - now_ms,
            },
        )
    for part in before.keys() - found.keys():
        logger.info("shared part cleared", extra={"part": part})
