"""Track which backend servers are registered, and which of them accept new work.

A leaving server gets no new work as soon as this is known. An entry that expired while
the store was unavailable may be registered again soon after the store's return, so its
server is used a little longer.
"""

from typing import Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer

# Live servers register again within about two seconds of the store's return.
LAPSE_GRACE_MS: Final = 2_200


class RegistryEntry(NamedTuple):
    """Hold a registered server as of ``revision`` of the store.

    ``usable_until_ms`` is set for a server whose entry has lapsed, None for others.
    """

    server: BackendServer
    revision: int
    usable_until_ms: int | None


class ServerRegistry:
    """Hold the registered servers by id, and the revisions of removed ones."""

    def __init__(self) -> None:
        self.entries: dict[str, RegistryEntry] = {}
        self.removed: dict[str, int] = {}


def register(registry: ServerRegistry, server: BackendServer, revision: int) -> bool:
    """Add or update a server's entry; return whether the server is new or changed."""
    known = registry.entries.get(server.id)
    known_revision = known.revision if known else registry.removed.get(server.id, -1)
    if revision <= known_revision:
        return False
    registry.removed.pop(server.id, None)
    registry.entries[server.id] = RegistryEntry(server, revision, None)
    return known is None or known.server != server or known.usable_until_ms is not None


def remove(
    registry: ServerRegistry,
    server_id: str,
    revision: int,
    now_ms: int,
    may_return: bool,
) -> bool:
    """Remove a server's entry; return whether a registered server is affected.

    ``may_return`` means that the entry may only have lapsed because the store was
    unavailable; its server then stays usable for ``LAPSE_GRACE_MS``.
    """
    known = registry.entries.get(server_id)
    if known is None:
        registry.removed[server_id] = max(revision, registry.removed.get(server_id, -1))
        return False
    if revision <= known.revision:
        return False
    if may_return and not known.server.is_leaving:
        until_ms = now_ms + LAPSE_GRACE_MS
        registry.entries[server_id] = RegistryEntry(known.server, revision, until_ms)
        return True
    del registry.entries[server_id]
    registry.removed[server_id] = revision
    return True


def drop_lapsed(registry: ServerRegistry, now_ms: int) -> list[str]:
    """Drop the lapsed servers that were not registered again; return their ids."""
    dropped = [
        server_id
        for server_id, entry in registry.entries.items()
        if entry.usable_until_ms is not None and entry.usable_until_ms <= now_ms
    ]
    for server_id in dropped:
        registry.removed[server_id] = registry.entries.pop(server_id).revision
    return dropped


def ready_servers(
    registry: ServerRegistry, pool: str, now_ms: int
) -> list[BackendServer]:
    """Return the servers of a pool that accept new work."""
    return [
        entry.server
        for entry in registry.entries.values()
        if entry.server.pool == pool
        and not entry.server.is_leaving
        and (entry.usable_until_ms is None or entry.usable_until_ms > now_ms)
    ]


def is_ready(registry: ServerRegistry, server_id: str, now_ms: int) -> bool:
    """Return whether a server accepts new work."""
    entry = registry.entries.get(server_id)
    if entry is None or entry.server.is_leaving:
        return False
    return entry.usable_until_ms is None or entry.usable_until_ms > now_ms
