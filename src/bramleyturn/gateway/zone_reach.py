"""Avoid the servers of zones that can't be reached from here, as attempts show."""

import logging
from typing import Final

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.fleet.reachability import (
    note_server_answered,
    note_server_hung,
    unreached_zones,
)
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.attempts import AttemptEnd, AttemptFailed, NotRun
from bramleyturn.gateway.connection_pool import CONNECT_TIMEOUT_S
from bramleyturn.gateway.metrics import gauge
from bramleyturn.gateway.serving import Serving

CONNECT_TIMEOUT_MS: Final = int(CONNECT_TIMEOUT_S * MS_PER_S)

logger = logging.getLogger(__name__)


def note_attempt(
    serving: Serving, server: BackendServer, ended: AttemptEnd, took_ms: int
) -> None:
    """Record whether an attempt shows that the zone of its server can be reached.

    A connection that is refused ends sooner than one that hangs, and shows nothing of
    the zone. Neither does one that breaks: it may have been opened earlier.
    """
    reachability = serving.reachability
    now_ms = serving.now_ms()
    if isinstance(ended, AttemptFailed) and ended.body_end is None:
        return
    if not isinstance(ended, NotRun) or ended.status:
        has_changed = note_server_answered(reachability, server.zone)
    elif took_ms >= CONNECT_TIMEOUT_MS:
        has_changed = note_server_hung(
            reachability, server.zone, serving.me.zone, server.id, now_ms
        )
    else:
        return
    if has_changed:
        zones = sorted(reachability.zones)
        gauge(serving.metrics, "avoided_zones", len(zones))
        logger.info("zones avoided", extra={"zones": zones})


def avoided_zones(serving: Serving) -> frozenset[str]:
    """Return the zones whose servers are used only if there are no others."""
    unreached = unreached_zones(serving.reachability, serving.now_ms())
    return serving.silent_zones | unreached
