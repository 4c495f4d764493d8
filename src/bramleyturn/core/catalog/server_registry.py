"""Track which backend servers are registered, and which of them accept new work.

A leaving server gets no new work as soon as this is known. An entry that expired while
the store was unavailable may be registered again soon after the store's return, so its
server is used a little longer. An entry of a server that has left may be back after the
store came back from an older copy; it is not used before it is confirmed. Servers of an
evacuated zone get no new work either.
"""

from collections import OrderedDict
from typing import Final, NamedTuple

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.core.zones.evacuations import Evacuations, is_evacuated

# Live servers register again within about two seconds of the store's return.
LAPSE_GRACE_MS: Final = 2_200
# By then the store has removed the entries of servers that no longer write them.
CONFIRM_MS: Final = 5_000
MAX_ANNOUNCED: Final = 1_000

# Lower than that of every entry.
NO_REVISION: Final = StoreRevision(-1, -1)


class RegistryEntry(NamedTuple):
    """Hold a registered server as of ``revision`` of the store.

    ``usable_until_ms`` is set for a server whose entry has lapsed, and
    ``usable_from_ms`` for one that may have left already, None for others.
    """

    server: BackendServer
    revision: StoreRevision
    usable_until_ms: int | None = None
    usable_from_ms: int | None = None


class ReportedRun(NamedTuple):
    """Hold the run that a server named itself, before its entry had it.

    ``registered_ms`` is the start of the run in the entry then, ``started_ms`` that of
    the run which the server named, and ``heard_ms`` when it did.
    """

    registered_ms: int
    started_ms: int
    heard_ms: int


class ServerRegistry:
    """Hold the registered servers by id, and the revisions of removed ones.

    ``announced`` has the start of each run that said itself that it leaves, by id, and
    ``reported`` the runs that servers named before their entries had them.
    ``evacuations`` has the zones whose servers get no new work.
    """

    def __init__(self) -> None:
        self.entries: dict[str, RegistryEntry] = {}
        self.removed: dict[str, StoreRevision] = {}
        self.announced: OrderedDict[str, int] = OrderedDict()
        self.reported: dict[str, ReportedRun] = {}
        self.evacuations = Evacuations()


def register(
    registry: ServerRegistry, server: BackendServer, revision: StoreRevision
) -> bool:
    """Add or update a server's entry; return whether the server is new or changed."""
    known = registry.entries.get(server.id)
    if revision <= known_revision(registry, server.id):
        return False
    return _replace(registry, known, RegistryEntry(server, revision))


def register_from_copy(
    registry: ServerRegistry,
    server: BackendServer,
    revision: StoreRevision,
    now_ms: int,
) -> bool:
    """Add an entry that the store has after its return from an older copy.

    What is known of the server's run and the copy can't know goes before it: that it is
    leaving, that a later run has begun, or that it has left. Return whether the server
    is new or changed.
    """
    known = registry.entries.get(server.id)
    if revision <= known_revision(registry, server.id):
        return False
    if known is None or known.usable_from_ms is not None:
        entry = RegistryEntry(server, revision, usable_from_ms=now_ms + CONFIRM_MS)
    elif server.started_ms < known.server.started_ms:
        until_ms = now_ms + LAPSE_GRACE_MS
        entry = RegistryEntry(known.server, revision, usable_until_ms=until_ms)
    elif server.started_ms == known.server.started_ms and known.server.is_leaving:
        entry = RegistryEntry(server._replace(is_leaving=True), revision)
    else:
        entry = RegistryEntry(server, revision)
    return _replace(registry, known, entry)


def known_revision(registry: ServerRegistry, server_id: str) -> StoreRevision:
    """Return the revision up to which a server's entry is known."""
    known = registry.entries.get(server_id)
    if known is not None:
        return known.revision
    return registry.removed.get(server_id, NO_REVISION)


def _replace(
    registry: ServerRegistry, known: RegistryEntry | None, entry: RegistryEntry
) -> bool:
    server = entry.server
    if registry.announced.get(server.id) == server.started_ms:
        entry = entry._replace(server=server._replace(is_leaving=True))
    registry.removed.pop(server.id, None)
    registry.entries[server.id] = entry
    return known is None or known[0] != entry[0] or known[2:] != entry[2:]


def note_announced(registry: ServerRegistry, server: BackendServer) -> bool:
    """Record that a run of a server said that it leaves; return whether that is news.

    Only another run of the server ends this, whatever the store has about this one.
    """
    if registry.announced.get(server.id, -1) >= server.started_ms:
        return False
    registry.announced[server.id] = server.started_ms
    if len(registry.announced) > MAX_ANNOUNCED:
        registry.announced.popitem(last=False)
    known = registry.entries.get(server.id)
    if known is None or known.server.started_ms != server.started_ms:
        return False
    has_news = not known.server.is_leaving
    leaving = known.server._replace(is_leaving=True)
    registry.entries[server.id] = known._replace(server=leaving)
    return has_news


def is_same_run(
    registry: ServerRegistry,
    server: BackendServer,
    started_ms: int | None,
    sent_ms: int,
) -> bool:
    """Return whether a server's present run also had a request sent at ``sent_ms``.

    ``server`` is its entry as of then. ``started_ms`` is the start of the present run
    as the server names it, None if it names none: then the present entry decides.
    """
    if not server.started_ms:
        return True
    if started_ms is None:
        entry = registry.entries.get(server.id)
        return entry is None or entry.server.started_ms == server.started_ms
    reported = registry.reported.get(server.id)
    is_reported = (
        reported is not None
        and reported.registered_ms == server.started_ms
        and reported.heard_ms < sent_ms
    )
    if reported is not None and is_reported:
        return started_ms == reported.started_ms
    return started_ms == server.started_ms


def note_reported_run(
    registry: ServerRegistry, server: BackendServer, started_ms: int, now_ms: int
) -> None:
    """Record the run that a server names, if its entry has another one."""
    entry = registry.entries.get(server.id)
    if entry is None or entry.server.started_ms == started_ms:
        return
    registered_ms = entry.server.started_ms
    known = registry.reported.get(server.id)
    if known is None or known[:2] != (registered_ms, started_ms):
        reported = ReportedRun(registered_ms, started_ms, now_ms)
        registry.reported[server.id] = reported


def remove(
    registry: ServerRegistry,
    server_id: str,
    revision: StoreRevision,
    now_ms: int,
    may_return: bool,
) -> bool:
    """Remove a server's entry; return whether a registered server is affected.

    ``may_return`` means that the entry may only have lapsed because the store was
    unavailable; its server then stays usable for ``LAPSE_GRACE_MS``.
    """
    known = registry.entries.get(server_id)
    if known is None:
        registry.removed[server_id] = max(revision, known_revision(registry, server_id))
        return False
    if revision <= known.revision:
        return False
    if may_return and not known.server.is_leaving and known.usable_from_ms is None:
        until_ms = now_ms + LAPSE_GRACE_MS
        lapsed = RegistryEntry(known.server, revision, usable_until_ms=until_ms)
        registry.entries[server_id] = lapsed
        return True
    del registry.entries[server_id]
    registry.reported.pop(server_id, None)
    registry.removed[server_id] = revision
    if not known.server.started_ms:
        # Its runs can't be told apart: one that is registered anew is the next one.
        registry.announced.pop(server_id, None)
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
        registry.reported.pop(server_id, None)
    return dropped


def confirm_entries(registry: ServerRegistry, fresh_ms: int) -> list[str]:
    """Confirm the entries that the store has kept long enough; return their ids.

    ``fresh_ms`` is when the registry was last known to agree with the store.
    """
    confirmed = [
        server_id
        for server_id, entry in registry.entries.items()
        if entry.usable_from_ms is not None and entry.usable_from_ms <= fresh_ms
    ]
    for server_id in confirmed:
        entry = registry.entries[server_id]
        registry.entries[server_id] = entry._replace(usable_from_ms=None)
    return confirmed


def ready_servers(
    registry: ServerRegistry, pool: str, now_ms: int
) -> list[BackendServer]:
    """Return the servers of a pool that accept new work."""
    return [
        entry.server
        for entry in registry.entries.values()
        if entry.server.pool == pool and _accepts_work(registry, entry, now_ms)
    ]


def is_ready(registry: ServerRegistry, server_id: str, now_ms: int) -> bool:
    """Return whether a server accepts new work."""
    entry = registry.entries.get(server_id)
    return entry is not None and _accepts_work(registry, entry, now_ms)


def _accepts_work(registry: ServerRegistry, entry: RegistryEntry, now_ms: int) -> bool:
    if entry.server.is_leaving or entry.usable_from_ms is not None:
        return False
    if is_evacuated(registry.evacuations, entry.server.zone):
        return False
    return entry.usable_until_ms is None or entry.usable_until_ms > now_ms
