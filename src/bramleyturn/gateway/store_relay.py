"""Copy the store's items from other instances.

Only some instances watch the store (core/fleet/freshness.py). The others, and those
that can't reach it, copy from them.
"""

import base64
import logging
from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

import orjson
from twisted.internet.task import deferLater

from bramleyturn.core.fleet.freshness import NETWORK_DELAY_MS, full_revision
from bramleyturn.core.fleet.large_values import (
    digest_of,
    is_large,
    pack,
    unpack_all,
)
from bramleyturn.core.fleet.members import (
    MemberRef,
    newer_configuration_holder,
    newest_holder,
)
from bramleyturn.core.fleet.store_revision import UNKNOWN_ERA, StoreRevision
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.answer_bounds import MAX_BODY_BYTES
from bramleyturn.gateway.calls import CallFailed, Peer, call
from bramleyturn.gateway.store_copy import (
    StoreCopy,
    apply_configuration_item,
    copy_age_ms,
    note_return,
    take_changes,
    take_whole,
    update_entries,
)
from bramleyturn.platform.store import StoreItem

STATUS_OK: Final = 200
# How often an instance checks whether others know a newer revision. Changes within one
# interval are copied together.
RELAY_INTERVAL_MS: Final = 100
RELAY_TIMEOUT_MS: Final = 500
# How long the bytes of an answer that has begun may pause.
RELAY_GAP_MS: Final = 500
RELAY_TARGET: Final = "/v1/store-items"
# Marks an item that has the digest of its value in place of the value.
BY_DIGEST: Final = "digest"
# If the store was not confirmed for this long, entries may have lapsed meanwhile.
OUTAGE_THRESHOLD_MS: Final = 2_000

logger = logging.getLogger(__name__)


async def copy_from_peers(copy: StoreCopy) -> None:
    """Copy newer items from other instances, for as long as the process runs."""
    serving = copy.serving
    while True:
        await deferLater(serving.reactor, RELAY_INTERVAL_MS / MS_PER_S)
        update_entries(copy)
        holder = choose_holder(copy)
        if holder is not None:
            await fetch_from_peer(copy, holder.name, holder.address)


def choose_holder(copy: StoreCopy) -> MemberRef | None:
    """Return an instance that has newer items, or a newer configuration in force."""
    serving = copy.serving
    now_ms = serving.now_ms()
    holder = newest_holder(serving.members, copy.revision, serving.random, now_ms)
    if holder is not None:
        return holder
    version = serving.published.version if serving.published is not None else 0
    return newer_configuration_holder(serving.members, version, serving.random, now_ms)


async def fetch_from_peer(copy: StoreCopy, name: str, address: str) -> None:
    """Copy the items that changed after the known revision from one instance."""
    serving = copy.serving
    host = address.partition(":")[0]
    peer = Peer(name, host, serving.settings.control.port)
    known = copy.revision
    held = held_values(copy)
    answer = await call(
        serving.peers_pool,
        peer,
        b"GET",
        relay_target(known, held),
        [],
        b"",
        RELAY_TIMEOUT_MS,
        RELAY_GAP_MS,
    )
    if isinstance(answer, CallFailed) or answer.status != STATUS_OK:
        return
    relayed = decode_relayed(answer.body, held)
    if relayed is None:
        logger.warning("relayed items rejected", extra={"peer": name})
        return
    if relayed.configuration is not None:
        apply_configuration_item(copy, relayed.configuration)
    revision = full_revision(serving.freshness, *relayed.revision)
    # This process may have read a newer state while the call was under way.
    if revision <= copy.revision or (
        revision.era > copy.revision.era and not relayed.is_whole
    ):
        return
    if copy_age_ms(copy) > OUTAGE_THRESHOLD_MS:
        # Another instance reached the store again first.
        copy.returned_ms = serving.now_ms()
    take_relayed(copy, relayed, revision)
    logger.info(
        "store items taken over",
        extra={
            "peer": name,
            "revision_before": known.number,
            "revision": revision.number,
            "era": revision.era,
            "age_ms": relayed.age_ms,
        },
    )


def take_relayed(
    copy: StoreCopy, relayed: "RelayedItems", revision: StoreRevision
) -> None:
    """Apply what another instance knows up to ``revision``, which is newer."""
    items = [
        item._replace(revision=StoreRevision(revision.era, item.revision.number))
        for item in relayed.items
    ]
    confirmed_ago_ms = relayed.age_ms + NETWORK_DELAY_MS
    if relayed.is_whole:
        if copy.items and revision.era > copy.revision.era:
            note_return(copy, revision.era)
        take_whole(copy, items, revision, confirmed_ago_ms)
    else:
        # The watch continues from this revision: the items cover all changes up to it.
        take_changes(copy, items, revision, confirmed_ago_ms)


def held_values(copy: StoreCopy) -> dict[str, bytes]:
    """Return by digest the large values that need not be sent again."""
    value = None if copy.configuration is None else copy.configuration.value
    return {} if value is None or not is_large(value) else {digest_of(value): value}


def relay_target(known: StoreRevision, held: Iterable[str]) -> str:
    """Return the target that asks for newer items than ``known``."""
    query = f"after={known.number}&era={known.era}&held={','.join(held)}"
    return f"{RELAY_TARGET}?{query}"


def relay_document(
    copy: StoreCopy, after: int, era: int | None, held: str | None
) -> bytes:
    """Encode the items that changed after a revision, for another instance.

    All items are sent if the revision is of another era, or if removals since then may
    be unknown here. An instance of an earlier build names no era and gets no whole
    list. ``held`` has the digests of the large values that the other instance has; it
    is None for an earlier build, which gets all values as they are.
    """
    own_era = copy.revision.era
    known = StoreRevision(own_era, after)
    is_whole = era is not None and (era != own_era or known < copy.whole_revision)
    if is_whole:
        known = StoreRevision(own_era, 0)
    values: dict[str, str] = {}

    def encode(item: StoreItem) -> list[Any]:
        if held is None or item.value is None or not is_large(item.value):
            return encode_item(item)
        digest, text = pack(copy.packed, item.value)
        if digest not in held:
            values[digest] = text
        return [item.key, digest, item.revision.number, BY_DIGEST]

    items = [encode(each) for each in copy.items.values() if each.revision > known]
    configuration = copy.configuration
    document = {
        "revision": copy.revision.number,
        "era": own_era,
        "age_ms": copy_age_ms(copy),
        "is_whole": is_whole,
        "items": items,
        "configuration": None if configuration is None else encode(configuration),
        "values": values,
    }
    return orjson.dumps(document)


def encode_item(item: StoreItem) -> list[Any]:
    """Encode one item with its value; its era is that of the document."""
    value = None if item.value is None else base64.b64encode(item.value).decode()
    return [item.key, value, item.revision.number]


class RelayedItems(NamedTuple):
    """Hold copied items, the revision they reach and the age of that revision.

    ``is_whole`` is whether they are all items. ``configuration`` is the item of the
    configuration that the other instance has in force, which the store may have lost.
    """

    items: list[StoreItem]
    revision: StoreRevision
    age_ms: int
    is_whole: bool = False
    configuration: StoreItem | None = None


def decode_relayed(body: bytes, held: Mapping[str, bytes]) -> RelayedItems | None:
    """Decode items copied from an instance; return None if malformed.

    ``held`` has the values by digest that the instance was told not to send.
    """
    try:
        document = orjson.loads(body)
        number = document["revision"]
        era = document.get("era", UNKNOWN_ERA)
        age = document["age_ms"]
        values = {
            **held,
            **unpack_all(document.get("values", {}), MAX_BODY_BYTES),
        }
        items = [decode_item(row, era, values) for row in document["items"]]
        row = document.get("configuration")
        configuration = None if row is None else decode_item(row, era, values)
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    if not isinstance(number, int) or not isinstance(era, int):
        return None
    if not isinstance(age, int) or age < 0:
        return None
    is_whole = document.get("is_whole") is True
    revision = StoreRevision(era, number)
    return RelayedItems(items, revision, age, is_whole, configuration)


def decode_item(row: list[Any], era: int, values: Mapping[str, bytes]) -> StoreItem:
    """Decode one item with its value, or with its digest among ``values``.

    Raise ValueError, TypeError or KeyError if it is malformed.
    """
    key, value, number, *form = row
    revision = StoreRevision(era, int(number))
    if form:
        if form != [BY_DIGEST]:
            raise ValueError("an unknown form of a value")
        return StoreItem(str(key), values[value], revision)
    decoded = None if value is None else base64.b64decode(value, validate=True)
    return StoreItem(str(key), decoded, revision)
