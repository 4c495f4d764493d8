"""Know which backend servers are registered, and which of them take new work.

A server that leaves gets nothing new from the moment that this is known. An entry
that vanished while the store was away may be back soon after the store's return, so
its server is used a little longer.
"""

from typing import Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer

# Servers that live register again within about two seconds of the store's return.
LAPSE_GRACE_MS: Final = 2_200


class RegistryEntry(NamedTuple):
    """Hold a registered server as of ``revision`` of the store.

    ``usable_until_ms`` is set for a server whose entry has lapsed.
    """

    server: BackendServer
    revision: int
    usable_until_ms: int | None


class ServerRegistry:
    """Hold the registered servers by id, and the revisions of removed ones."""

    def __init__(self) -> None:
        self.entries: dict[str, RegistryEntry] = {}
        self.removed: dict[str, int] = {}


def register(book: ServerRegistry, server: BackendServer, revision: int) -> bool:
    """Take in a server's entry; return whether it is news."""
    known = book.entries.get(server.id)
    known_revision = known.revision if known else book.removed.get(server.id, -1)
    if revision <= known_revision:
        return False
    book.removed.pop(server.id, None)
    book.entries[server.id] = RegistryEntry(server, revision, None)
    return known is None or known.server != server or known.usable_until_ms is not None


def remove(
    book: ServerRegistry, server_id: str, revision: int, now_ms: int, may_return: bool
) -> bool:
    """Take in that an entry is gone; return whether it is news.

    ``may_return`` tells that the entry may have lapsed because of the store.
    """
    known = book.entries.get(server_id)
    if known is None:
        book.removed[server_id] = max(revision, book.removed.get(server_id, -1))
        return False
    if revision <= known.revision:
        return False
    if may_return and not known.server.is_leaving:
        until_ms = now_ms + LAPSE_GRACE_MS
        book.entries[server_id] = RegistryEntry(known.server, revision, until_ms)
        return True
    del book.entries[server_id]
    book.removed[server_id] = revision
    return True


def drop_lapsed(book: ServerRegistry, now_ms: int) -> list[str]:
    """Drop the lapsed servers that did not come back; return their ids."""
    dropped = [
        server_id
        for server_id, entry in book.entries.items()
        if entry.usable_until_ms is not None and entry.usable_until_ms <= now_ms
    ]
    for server_id in dropped:
        book.removed[server_id] = book.entries.pop(server_id).revision
    return dropped


def ready_servers(book: ServerRegistry, pool: str, now_ms: int) -> list[BackendServer]:
    """Return the servers of a pool that take new work."""
    return [
        entry.server
        for entry in book.entries.values()
        if entry.server.pool == pool
        and not entry.server.is_leaving
        and (entry.usable_until_ms is None or entry.usable_until_ms > now_ms)
    ]


def is_ready(book: ServerRegistry, server_id: str, now_ms: int) -> bool:
    """Return whether a server takes new work."""
    entry = book.entries.get(server_id)
    if entry is None or entry.server.is_leaving:
        return False
    return entry.usable_until_ms is None or entry.usable_until_ms > now_ms
