"""Apply updates of the configuration and of the list of backend servers."""

from typing import Final

from bramleyturn.core.actions import Action
from bramleyturn.core.admission import update_limits
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.events import ServersListed
from bramleyturn.core.model import Configuration
from bramleyturn.core.retry_budget import forget_pools
from bramleyturn.core.routing import apply_servers, server_back, server_leaving
from bramleyturn.core.timeline import EventKind, record

# How far the platform's list may lag beyond the age that it states.
LIST_LAG_MS: Final = 60_000


def accept_configuration(
    state: EntryState, configuration: Configuration, now_ms: int
) -> list[Action]:
    """Put a newer configuration in force. Older ones are ignored."""
    if configuration.revision <= state.configuration.revision:
        return []
    state.configuration = configuration
    apply_servers(state.routing, configuration, now_ms)
    update_limits(state.admission, configuration)
    state.retry_budget.ratio_percent = configuration.limits.retry_ratio_percent
    forget_pools(state.retry_budget, frozenset(configuration.pools))
    record(
        state.timeline,
        EventKind.CONFIGURATION_IN_FORCE,
        now_ms,
        detail=f"revision {configuration.revision}",
        cause=f"revision-{configuration.revision}",
    )
    return []


def apply_server_list(state: EntryState, event: ServersListed, now_ms: int) -> None:
    """Record which backend servers are leaving and which are not.

    Absence from the list means nothing, because the list lags. For the same reason a
    server that left counts as live only once the list has shown it as live for longer
    than the list may lag.
    """
    for server in event.servers:
        if server.leaving:
            server_leaving(state.routing, server.name, now_ms, is_listed=True)
        else:
            shown_ms = now_ms - event.age_ms - LIST_LAG_MS
            server_back(state.routing, server.name, shown_ms, now_ms)
