"""Tell which servers are cold, and take turns for the calls of the owner itself."""

import logging
from collections.abc import Callable
from typing import Final

from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.coldstart.cold_runs import (
    ColdRule,
    cold_until_ms,
    note_ended,
    note_entry,
    note_remaining,
)
from bramleyturn.core.coldstart.turns import (
    RETRY_MS,
    USE_MS,
    Hearing,
    grant_turn,
    may_grant,
    note_ownership,
    wait_ms,
)
from bramleyturn.core.fleet.members import recent_members
from bramleyturn.core.fleet.owners import STAGES, owner_of
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.metrics import count
from bramleyturn.gateway.serving import Serving

# Whether turns may be granted depends on all instances, and a burst asks very often.
GRANT_CHECK_MS: Final = 50

logger = logging.getLogger(__name__)


def cold_rule(serving: Serving, pool: str) -> ColdRule | None:
    """Return the bound of a pool's cold servers, None if there is none."""
    bounds, published = serving.settings.bounds, serving.published
    if bounds.cold_overage is None or bounds.cold_slack is None or published is None:
        return None
    known = published.pools.get(pool)
    if known is None or not known.cold_per_s:
        return None
    most_per_s = known.cold_per_s * bounds.cold_overage + bounds.cold_slack
    return ColdRule(known.cold_start_ms, known.cold_per_s, most_per_s)


def is_cold(serving: Serving, server: BackendServer) -> bool:
    """Return whether a server has a bound on its requests now."""
    return cold_rule_now(serving, server) is not None


def cold_rule_now(serving: Serving, server: BackendServer) -> ColdRule | None:
    """Return the bound that a server has now, None if it is warm."""
    rule = cold_rule(serving, server.pool)
    return rule if rule is not None and _left_ms(serving, server, rule) > 0 else None


def cold_left_ms(serving: Serving, server: BackendServer) -> int:
    """Return how much longer a server is cold, 0 if it is warm."""
    rule = cold_rule(serving, server.pool)
    return 0 if rule is None else max(0, _left_ms(serving, server, rule))


def _left_ms(serving: Serving, server: BackendServer, rule: ColdRule) -> int:
    returned_ms = serving.registry.evacuations.ended_ms.get(server.zone)
    until_ms = cold_until_ms(serving.cold_runs, server, rule, returned_ms)
    return until_ms - serving.now_ms()


def note_cold_entry(
    serving: Serving, server: BackendServer, is_first_read: bool
) -> None:
    """Record what a registered entry says of a server's start."""
    was_cold = is_cold(serving, server)
    has_started = note_entry(serving.cold_runs, server, is_first_read, serving.now_ms())
    if not was_cold and is_cold(serving, server):
        _log_cold(serving, server, "started" if has_started else "entry")


def note_cold_answer(
    serving: Serving, server: BackendServer, left_ms: int | None
) -> None:
    """Record what an answer says of how long its server stays cold."""
    if not left_ms:
        return
    if note_remaining(serving.cold_runs, run_name(server), left_ms, serving.now_ms()):
        _log_cold(serving, server, "answer")


def note_crashed(serving: Serving, run: str) -> None:
    """Record that a run has ended; the next one may be at its address already."""
    note_ended(serving.cold_runs, run, serving.now_ms())


def note_owner(serving: Serving) -> bool:
    """Check whether this instance may grant turns; return whether it may."""
    grants, now_ms = serving.turn_grants, serving.now_ms()
    live = serving.live()
    owner = owner_of(STAGES, live)
    is_owner = owner is not None and owner.name == serving.me.name
    note_ownership(grants, is_owner, now_ms)
    members = serving.members
    recent = len(recent_members(members, now_ms))
    hearing = Hearing(len(live), recent, bool(members.seeds))
    was_allowed, grants.is_allowed = (
        grants.is_allowed,
        is_owner and may_grant(grants, hearing, now_ms),
    )
    if was_allowed != grants.is_allowed:
        state = {"grants": grants.is_allowed, "live": len(live), "recent": recent}
        logger.info("cold turns", extra=state)
    return grants.is_allowed


def may_grant_now(serving: Serving) -> bool:
    """Return whether this instance may grant turns, as of ``GRANT_CHECK_MS`` ago."""
    grants = serving.turn_grants
    if serving.now_ms() - grants.checked_ms <= GRANT_CHECK_MS:
        return grants.is_allowed
    return note_owner(serving)


def own_turn_wait_ms(serving: Serving, server: BackendServer) -> int:
    """Return how long to wait before this instance takes a turn for itself."""
    if not is_cold(serving, server):
        return 0
    if not may_grant_now(serving):
        return RETRY_MS
    return wait_ms(serving.turn_grants, run_name(server), serving.now_ms())


def take_own_turn(serving: Serving, server: BackendServer) -> Callable[[], bool]:
    """Take a turn of this instance for a call to a server, if the server is cold.

    The result is to be called once the connection is open, and returns whether the call
    may be sent.
    """
    rule = cold_rule_now(serving, server)
    if rule is None:
        return lambda: not is_cold(serving, server)
    now_ms = serving.now_ms()
    options = [(run_name(server), rule)]
    is_granted = may_grant_now(serving) and bool(
        grant_turn(serving.turn_grants, options, 0, now_ms).run
    )
    count(serving.metrics, "cold_own_turns", "taken" if is_granted else "none")
    return lambda: is_granted and serving.now_ms() <= now_ms + USE_MS


def _log_cold(serving: Serving, server: BackendServer, cause: str) -> None:
    rule = cold_rule(serving, server.pool)
    if rule is None:
        return
    count(serving.metrics, "cold_servers", f"{server.pool} {cause}")
    logger.info(
        "server is cold",
        extra={
            "server": run_name(server),
            "pool": server.pool,
            "cause": cause,
            "start_s": rule.start_ms / MS_PER_S,
            "rate_per_s": rule.rate_per_s,
        },
    )
