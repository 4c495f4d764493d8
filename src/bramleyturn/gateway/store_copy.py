"""Keep a copy of the store's items, and apply their changes to what is believed.

The items come from the store itself or from another instance, and share one decoder.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from twisted.internet.task import deferLater

from bramleyturn.core.catalog.model import BackendServer, PublishedConfiguration
from bramleyturn.core.catalog.server_registry import (
    ServerRegistry,
    confirm_entries,
    drop_lapsed,
    register,
    register_from_copy,
    remove,
)
from bramleyturn.core.coldstart.cold_runs import forget_unnamed
from bramleyturn.core.fleet.freshness import age_ms, note_confirmed
from bramleyturn.core.fleet.large_values import PackedValues
from bramleyturn.core.fleet.store_revision import FIRST_REVISION, StoreRevision
from bramleyturn.core.placement.choice import forget_loads
from bramleyturn.core.placement.health import forget_servers
from bramleyturn.core.zones.evacuations import EvacuationChange, note_evacuation
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.balance import forget_balance
from bramleyturn.gateway.cold_servers import note_cold_entry
from bramleyturn.gateway.connection_pool import drop_idle
from bramleyturn.gateway.metrics import count, gauge
from bramleyturn.gateway.server_limits import forget_limits
from bramleyturn.gateway.serving import (
    Serving,
    apply_configuration,
    notify_servers_changed,
)
from bramleyturn.platform.configuration import CONFIGURATION_KEY, decode_in_steps
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.evacuations import EVACUATIONS_PREFIX, evacuated_zone
from bramleyturn.platform.servers import SERVERS_PREFIX, decode_server
from bramleyturn.platform.store import StoreItem

# Servers register again within about two seconds after the store is back.
REREGISTRATION_MS: Final = 2_500

logger = logging.getLogger(__name__)


class StoreCopy:
    """Hold the items of the store that are known.

    ``is_complete`` is whether changes after ``revision`` are all that is missing.
    Removals are known since ``whole_revision``, at which all items were read.
    ``returned_ms`` is when the store was last reached again after an outage, or came
    back from an older copy. ``configuration`` is the item of the configuration in
    force, ``decoded`` the one that is being decoded and ``undecoded`` those that
    follow it. ``on_new_revision`` is called for each newer revision.
    """

    def __init__(self, serving: Serving) -> None:
        self.serving = serving
        self.items: dict[str, StoreItem] = {}
        self.is_complete = False
        self.whole_revision = FIRST_REVISION
        self.returned_ms: int | None = None
        self.configuration: StoreItem | None = None
        self.decoded: StoreItem | None = None
        self.undecoded: list[StoreItem] = []
        self.packed = PackedValues()
        self.on_new_revision: Callable[[], None] = lambda: None

    @property
    def revision(self) -> StoreRevision:
        """Return the revision of the store up to which changes are known."""
        return self.serving.freshness.revision


def copy_age_ms(copy: StoreCopy) -> int:
    """Return how long ago the copy was last confirmed to be complete."""
    return age_ms(copy.serving.freshness, copy.serving.now_ms())


def note_return(copy: StoreCopy, era: int) -> None:
    """Note that the store came back from an older copy, with a higher era."""
    copy.is_complete = False
    count(copy.serving.metrics, "store_returns")
    logger.warning(
        "store came back from an older copy",
        extra={
            "era": era,
            "era_before": copy.revision.era,
            "revision_before": copy.revision.number,
        },
    )


def take_whole(
    copy: StoreCopy,
    found: Iterable[StoreItem],
    revision: StoreRevision,
    confirmed_ago_ms: int = 0,
) -> None:
    """Replace the copy by a list of all items, whose oldest part is at ``revision``."""
    by_key = {item.key: item for item in found}
    is_older_copy = bool(copy.items) and revision.era > copy.revision.era
    missing = [
        StoreItem(key, None, _missing_since(key, revision, is_older_copy))
        for key, item in copy.items.items()
        if item.value is not None and key not in by_key and item.revision <= revision
    ]
    if is_older_copy:
        copy.returned_ms = copy.serving.now_ms()
    apply_items(copy, [*by_key.values(), *missing], is_older_copy)
    copy.whole_revision = revision
    note_revision(copy, revision, confirmed_ago_ms)
    copy.is_complete = True


def _missing_since(
    key: str, revision: StoreRevision, is_older_copy: bool
) -> StoreRevision:
    """Return the revision from which on an item counts as removed.

    An evacuation that an older copy lacks is kept. It gets the first revision of the
    era, which is told to no other instance: that would take it for a later removal.
    """
    if is_older_copy and key.startswith(EVACUATIONS_PREFIX):
        return StoreRevision(revision.era, 0)
    return revision


def take_changes(
    copy: StoreCopy,
    items: Iterable[StoreItem],
    revision: StoreRevision,
    confirmed_ago_ms: int = 0,
) -> None:
    """Apply all changes up to ``revision``."""
    apply_changes(copy, items)
    note_revision(copy, revision, confirmed_ago_ms)
    copy.is_complete = True


def apply_changes(copy: StoreCopy, items: Iterable[StoreItem]) -> None:
    """Apply the items that were written after the last list of all items.

    Earlier ones are in that list, or were removed before it.
    """
    apply_items(copy, [item for item in items if item.revision > copy.whole_revision])


def apply_items(
    copy: StoreCopy, items: Iterable[StoreItem], is_older_copy: bool = False
) -> None:
    """Apply the items that are newer than the known ones."""
    has_changed = False
    for item in items:
        known = copy.items.get(item.key)
        if known is not None and item.revision <= known.revision:
            continue
        copy.items[item.key] = item
        if item.key == CONFIGURATION_KEY:
            apply_configuration_item(copy, item)
        elif item.key.startswith(SERVERS_PREFIX):
            has_changed = apply_server_item(copy, item, is_older_copy) or has_changed
        elif item.key.startswith(EVACUATIONS_PREFIX):
            has_changed = apply_evacuation(copy, item, is_older_copy) or has_changed
    if has_changed:
        apply_server_changes(copy)


def apply_configuration_item(copy: StoreCopy, item: StoreItem) -> None:
    """Put a new configuration in force, unless it is malformed.

    A large one is decoded in steps, so that requests are served in between.
    """
    if item.value is None:
        logger.warning("configuration removed", extra=item.revision._asdict())
        return
    known = (copy.configuration, copy.decoded, *copy.undecoded)
    if any(each is not None and each.value == item.value for each in known):
        return
    copy.undecoded.append(item)
    if copy.decoded is None:
        run_in_background(_decode_configurations(copy), "decode configuration")


async def _decode_configurations(copy: StoreCopy) -> None:
    """Decode one configuration after the other; their versions decide which counts."""
    try:
        while copy.undecoded:
            copy.decoded = copy.undecoded.pop(0)
            await _decode_configuration(copy, copy.decoded)
    finally:
        copy.decoded = None


async def _decode_configuration(copy: StoreCopy, item: StoreItem) -> None:
    """Decode one configuration in steps, and put it in force."""
    steps = decode_in_steps(item.value or b"")
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            published: PublishedConfiguration | Malformed = ended.value
            break
        await deferLater(copy.serving.reactor, 0)
    if isinstance(published, Malformed):
        log_malformed(published)
    elif apply_configuration(copy.serving, published, item.revision):
        copy.configuration = item


def apply_server_item(copy: StoreCopy, item: StoreItem, is_older_copy: bool) -> bool:
    """Apply a server's entry or its removal; return whether anything changed."""
    serving = copy.serving
    server_id = item.key.removeprefix(SERVERS_PREFIX)
    now_ms = serving.now_ms()
    server = None if item.value is None else decode_server(item.key, item.value)
    if isinstance(server, Malformed):
        log_malformed(server)
    if server is None or isinstance(server, Malformed):
        returned_ms = copy.returned_ms
        may_reregister = (
            returned_ms is not None and now_ms - returned_ms < REREGISTRATION_MS
        )
        may_reregister = may_reregister and item.value is None
        has_changed = remove(
            serving.registry, server_id, item.revision, now_ms, may_reregister
        )
        state = "lapsed" if may_reregister else "gone"
        if not may_reregister:
            forget_unnamed(serving.cold_runs, server_id)
    elif is_older_copy:
        has_changed = register_from_copy(
            serving.registry, server, item.revision, now_ms
        )
        state = state_of(serving.registry, server_id)
    else:
        has_changed = register(serving.registry, server, item.revision)
        state = state_of(serving.registry, server_id)
    if isinstance(server, BackendServer):
        known = serving.registry.entries.get(server_id)
        if known is not None and known.revision == item.revision:
            is_first_read = copy.whole_revision == FIRST_REVISION
            note_cold_entry(serving, known.server, is_first_read)
    if has_changed:
        logger.info(
            "backend server",
            extra={
                "server": server_id,
                "state": state,
                "pool": server.pool if isinstance(server, BackendServer) else None,
                "zone_of": server.zone if isinstance(server, BackendServer) else None,
                "revision": item.revision.number,
                "era": item.revision.era,
            },
        )
    return has_changed


def apply_evacuation(copy: StoreCopy, item: StoreItem, is_older_copy: bool) -> bool:
    """Apply an entry that evacuates a zone; return whether its servers are affected."""
    serving = copy.serving
    evacuations = serving.registry.evacuations
    zone = evacuated_zone(item.key)
    is_present = item.value is not None
    change = note_evacuation(
        evacuations, zone, is_present, is_older_copy, serving.now_ms()
    )
    if change is EvacuationChange.NONE:
        return False
    gauge(serving.metrics, "evacuated_zones", len(evacuations.started_ms))
    logger.info(
        "zone evacuation",
        extra={
            "evacuated_zone": zone,
            "change": str(change),
            "revision": item.revision.number,
            "era": item.revision.era,
        },
    )
    return change is not EvacuationChange.KEPT


def state_of(registry: ServerRegistry, server_id: str) -> str:
    """Return what is believed of a registered server, for the log."""
    entry = registry.entries[server_id]
    if entry.usable_from_ms is not None:
        return "unconfirmed"
    if entry.usable_until_ms is not None:
        return "lapsed"
    return "leaving" if entry.server.is_leaving else "ready"


def apply_server_changes(copy: StoreCopy) -> None:
    """Drop the state of removed servers, and notify the subscribers."""
    serving = copy.serving
    known = frozenset(serving.registry.entries)
    forget_servers(serving.health, known)
    forget_loads(serving.loads, known)
    forget_limits(serving)
    forget_balance(serving)
    for name in set(serving.servers_pool.idle) - known:
        drop_idle(serving.servers_pool, name)
    notify_servers_changed(serving)


def note_revision(
    copy: StoreCopy, revision: StoreRevision, confirmed_ago_ms: int
) -> None:
    """Record the revision known; announce a new one to other instances at once."""
    serving = copy.serving
    has_changed = revision > copy.revision
    note_confirmed(serving.freshness, revision, serving.now_ms() - confirmed_ago_ms)
    gauge(serving.metrics, "store_revision", copy.revision.number)
    gauge(serving.metrics, "store_era", copy.revision.era)
    if has_changed:
        copy.on_new_revision()


def log_malformed(malformed: Malformed) -> None:
    """Log that a published entry was rejected."""
    logger.warning(
        "published entry rejected",
        extra={"entry": malformed.where, "reason": malformed.reason},
    )


def update_entries(copy: StoreCopy) -> None:
    """Drop servers that did not register again, and use those that are confirmed."""
    registry = copy.serving.registry
    dropped = drop_lapsed(registry, copy.serving.now_ms())
    confirmed = confirm_entries(registry, copy.serving.freshness.confirmed_ms)
    for server_id in dropped:
        logger.info("backend server", extra={"server": server_id, "state": "gone"})
    for server_id in confirmed:
        state = state_of(registry, server_id)
        logger.info("backend server", extra={"server": server_id, "state": state})
    if dropped or confirmed:
        apply_server_changes(copy)
